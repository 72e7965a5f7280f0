package targetconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Defaults of the pool.
const (
	dialTimeout = 2 * time.Second  // a connect without an answer for this long fails
	idleLimit   = 15 * time.Second // shorter than the keep-alive time of common servers
	idlePerHost = 64               // connections
	// SweepInterval is how often Sweep is to be called.
	SweepInterval = 5 * time.Second
)

// Options set the bounds of a pool. Zero values mean the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleLimit   time.Duration
	// Control sets options of a socket before it connects.
	Control func(network, address string, c syscall.RawConn) error
	// KeepAlive finds a target that has gone silent without a reset.
	KeepAlive net.KeepAliveConfig
}

// Pool keeps idle connections per address, newest first. It is safe for
// concurrent use.
type Pool struct {
	opt    Options
	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = dialTimeout
	}
	if o.IdleLimit == 0 {
		o.IdleLimit = idleLimit
	}
	return &Pool{opt: o, idle: map[string][]*Conn{}}
}

// Dial opens a fresh connection.
func (p *Pool) Dial(ctx context.Context, host string) (*Conn, error) {
	dialer := net.Dialer{Timeout: p.opt.DialTimeout, Control: p.opt.Control, KeepAliveConfig: p.opt.KeepAlive}
	nc, err := dialer.DialContext(ctx, "tcp", host)
	if err != nil {
		return nil, err
	}
	return newConn(nc, host), nil
}

// Take returns an idle connection that is still open, or nil.
func (p *Pool) Take(host string) *Conn { return p.TakeFresh(host, p.opt.IdleLimit) }

// TakeFresh returns an idle connection that was used within the limit and is
// still open, or nil. Older ones are closed.
func (p *Pool) TakeFresh(host string, limit time.Duration) *Conn {
	for {
		c := p.Pop(host)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < min(limit, p.keep(c)) && c.alive() {
			c.Reused = true
			return c
		}
		c.Release()
	}
}

// keep returns how long a connection is kept idle: half of what the target says,
// so that the target does not close it while a request is on its way.
func (p *Pool) keep(c *Conn) time.Duration {
	if c.IdleLimit > 0 {
		return min(p.opt.IdleLimit, c.IdleLimit/2)
	}
	return p.opt.IdleLimit
}

// Pop returns the newest idle connection, which the target may have closed, or nil.
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

// Put keeps a connection whose last answer was whole.
func (p *Pool) Put(c *Conn) {
	c.check = nil
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.Host]) >= idlePerHost {
		c.Release()
		return
	}
	p.idle[c.Host] = append(p.idle[c.Host], c)
}

// Drop closes the idle connections to an address. After one of them failed or
// went silent the others are suspect too.
func (p *Pool) Drop(host string) {
	p.mu.Lock()
	list := p.idle[host]
	delete(p.idle, host)
	p.mu.Unlock()
	for _, c := range list {
		c.Release()
	}
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < p.keep(c) {
				keep = append(keep, c)
				continue
			}
			c.Release()
		}
		p.idle[host] = keep
		if len(keep) == 0 {
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

// Close closes all idle connections. Later ones are closed when they are put back.
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
