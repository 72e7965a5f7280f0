package targetconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Defaults and limits of the pool.
const (
	defaultDialTimeout = 2 * time.Second  // of a connect
	defaultIdleLimit   = 15 * time.Second // shorter than the keep-alive timeout of common servers
	maxIdlePerHost     = 64               // connections
	// SweepInterval is the interval at which Sweep should be called.
	SweepInterval = 5 * time.Second
)

// Options configure a pool. A zero DialTimeout means 2 s, a zero IdleLimit 15 s.
type Options struct {
	DialTimeout time.Duration
	IdleLimit   time.Duration // longest idle time of a pooled connection
	// Control sets options of a socket before it connects, as net.Dialer.Control.
	Control func(network, address string, c syscall.RawConn) error
	// KeepAlive configures the probes that detect a target that disappeared without a reset.
	KeepAlive net.KeepAliveConfig
}

// Pool holds idle connections by target address and returns the most recently used one
// first. It is safe for concurrent use.
type Pool struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*Conn
	closed  bool
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleLimit == 0 {
		o.IdleLimit = defaultIdleLimit
	}
	return &Pool{options: o, idle: map[string][]*Conn{}}
}

// Dial opens a new connection to an address.
func (p *Pool) Dial(ctx context.Context, host string) (*Conn, error) {
	dialer := net.Dialer{Timeout: p.options.DialTimeout, Control: p.options.Control, KeepAliveConfig: p.options.KeepAlive}
	nc, err := dialer.DialContext(ctx, "tcp", host)
	if err != nil {
		return nil, err
	}
	return newConn(nc, host), nil
}

// Take returns an idle connection to an address that is still open, or nil.
func (p *Pool) Take(host string) *Conn { return p.TakeIdleWithin(host, p.options.IdleLimit) }

// TakeIdleWithin returns an idle connection to an address that was used within the limit and
// is still open, or nil. Connections that do not qualify are closed.
func (p *Pool) TakeIdleWithin(host string, limit time.Duration) *Conn {
	for {
		c := p.Pop(host)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < min(limit, p.maxIdle(c)) && c.reusable() {
			c.Reused = true
			return c
		}
		c.Release()
	}
}

// maxIdle returns how long a connection may stay idle in the pool: at most half of the
// target's own limit, so that the target does not close it while a request is in transit.
func (p *Pool) maxIdle(c *Conn) time.Duration {
	if c.IdleLimit > 0 {
		return min(p.options.IdleLimit, c.IdleLimit/2)
	}
	return p.options.IdleLimit
}

// Pop returns the most recently used idle connection to an address, or nil. The target may
// have closed it.
func (p *Pool) Pop(host string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[host]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[host] = list[:len(list)-1]
	return c
}

// Put returns a connection to the pool. Its last response must have been read completely.
// The connection is closed if the pool is closed or has 64 connections to the address.
func (p *Pool) Put(c *Conn) {
	c.beforeSend = nil
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.Host]) >= maxIdlePerHost {
		c.Release()
		return
	}
	p.idle[c.Host] = append(p.idle[c.Host], c)
}

// CloseIdle closes all idle connections to an address. After one of them failed or timed
// out, the others may be unusable too.
func (p *Pool) CloseIdle(host string) {
	p.mu.Lock()
	list := p.idle[host]
	delete(p.idle, host)
	p.mu.Unlock()
	for _, c := range list {
		c.Release()
	}
}

// Sweep closes the connections that have exceeded their idle limit.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < p.maxIdle(c) {
				kept = append(kept, c)
				continue
			}
			c.Release()
		}
		p.idle[host] = kept
		if len(kept) == 0 {
			delete(p.idle, host)
		}
	}
}

// Idle returns the number of idle connections to an address.
func (p *Pool) Idle(host string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[host])
}

// Close closes all idle connections and the pool. Connections that are in use are closed
// when they are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for host, list := range p.idle {
		for _, c := range list {
			c.Release()
		}
		delete(p.idle, host)
	}
}
