package dispatch

import (
	"context"
	"net"
	"sync"
	"time"
)

// connPool keeps idle connections per address, newest first. fasthttp's own
// client hides which connection a request used and repeats some requests, so
// the router keeps the connections and uses fasthttp for the wire format.
type connPool struct {
	mu     sync.Mutex
	idle   map[string][]*targetConn
	closed bool
}

func newConnPool() *connPool { return &connPool{idle: map[string][]*targetConn{}} }

// dial opens a fresh connection.
func (p *connPool) dial(ctx context.Context, host string) (*targetConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", host)
	if err != nil {
		return nil, err
	}
	return newTargetConn(nc, host), nil
}

// take returns an idle connection that is still open, or nil.
func (p *connPool) take(host string) *targetConn {
	for {
		c := p.pop(host)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < idleLimit && c.alive() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

func (p *connPool) pop(host string) *targetConn {
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

// put keeps a connection whose last answer was whole.
func (p *connPool) put(c *targetConn) {
	c.check = nil
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.host]) >= idlePerHost {
		c.Close()
		return
	}
	p.idle[c.host] = append(p.idle[c.host], c)
}

// drop closes the idle connections to an address. After one of them failed or
// went silent the others are suspect too.
func (p *connPool) drop(host string) {
	p.mu.Lock()
	list := p.idle[host]
	delete(p.idle, host)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// sweep closes connections that were idle for too long.
func (p *connPool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < idleLimit {
				keep = append(keep, c)
				continue
			}
			c.Close()
		}
		p.idle[host] = keep
		if len(keep) == 0 {
			delete(p.idle, host)
		}
	}
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for host, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, host)
	}
}
