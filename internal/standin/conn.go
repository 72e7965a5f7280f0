package standin

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// controlPaths begin the requests that stay reachable while faults are active.
var controlPaths = [][]byte{[]byte("POST /fault"), []byte("GET /stats"), []byte("GET /runs"), []byte("POST /instances")}

// reopenEvery is the interval of attempts to listen again after "refuse".
const reopenEvery = 20 * time.Millisecond

var errClosed = errors.New("stand-in: listener closed")

// door is a listener that can refuse, cut and silence connections.
type door struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	// dropping reports that a data connection must be reset at its first
	// byte, silent that it must not be read.
	dropping, silent func() bool

	mu     sync.Mutex
	inner  net.Listener
	open   map[*faultConn]struct{}
	closed bool
	// refusing is true while the port is closed for a while.
	refusing bool
}

func openDoor(address string) (*door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	d := &door{address: l.Addr().String(), conns: make(chan net.Conn), done: make(chan struct{}),
		inner: l, open: map[*faultConn]struct{}{}}
	go d.acceptFrom(l)
	return d, nil
}

func (d *door) acceptFrom(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		fc := &faultConn{Conn: c, door: d, gone: make(chan struct{})}
		d.mu.Lock()
		d.open[fc] = struct{}{}
		d.mu.Unlock()
		select {
		case d.conns <- fc:
		case <-d.done:
			_ = fc.Close()
			return
		}
	}
}

// Accept implements net.Listener.
func (d *door) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.done:
		return nil, errClosed
	}
}

// Addr implements net.Listener.
func (d *door) Addr() net.Addr { return d.inner.Addr() }

// Close implements net.Listener.
func (d *door) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	close(d.done)
	return d.inner.Close()
}

// refuse closes the port for a while, so that connections are refused, and
// cuts all open connections.
func (d *door) refuse(pause time.Duration) {
	d.mu.Lock()
	l := d.inner
	d.refusing = true
	d.mu.Unlock()
	_ = l.Close()
	d.cut()
	go d.reopen(pause)
}

func (d *door) reopen(pause time.Duration) {
	wait := pause
	for {
		select {
		case <-d.done:
			return
		case <-time.After(wait):
		}
		if l, err := net.Listen("tcp", d.address); err == nil {
			d.install(l)
			return
		}
		wait = reopenEvery
	}
}

func (d *door) install(l net.Listener) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = l.Close()
		return
	}
	d.inner, d.refusing = l, false
	go d.acceptFrom(l)
}

// drops reports whether a data connection must be closed at its first byte.
func (d *door) drops() bool {
	d.mu.Lock()
	refusing := d.refusing
	d.mu.Unlock()
	return refusing || (d.dropping != nil && d.dropping())
}

// each calls f for all open connections except those of the control paths.
func (d *door) each(f func(*faultConn)) {
	d.mu.Lock()
	var list []*faultConn
	for c := range d.open {
		list = append(list, c)
	}
	d.mu.Unlock()
	for _, c := range list {
		if !c.isControl() {
			f(c)
		}
	}
}

func (d *door) cut() { d.each(func(c *faultConn) { _ = c.Close() }) }

// silence makes the open connections silent for good; new ones work.
func (d *door) silence() { d.each((*faultConn).hush) }

// faultConn is a connection that can be silenced.
type faultConn struct {
	net.Conn
	door *door
	gone chan struct{}

	mu      sync.Mutex
	control bool
	hushed  bool
	closed  bool
}

func (c *faultConn) isControl() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.control
}

func (c *faultConn) hush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hushed = true
}

func (c *faultConn) isHushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hushed
}

// Read implements net.Conn. A silent connection swallows nothing more and
// returns only when it is closed.
func (c *faultConn) Read(p []byte) (int, error) {
	if c.isHushed() {
		return c.block()
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	if c.markControl(p[:n]) {
		return n, nil
	}
	if c.door.drops() {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	if c.isHushed() || (c.door.silent != nil && c.door.silent()) {
		c.hush()
		return c.block()
	}
	return n, nil
}

func (c *faultConn) markControl(first []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.HasPrefix(first, []byte("GET /")) || bytes.HasPrefix(first, []byte("POST /")) {
		c.control = slices.ContainsFunc(controlPaths, func(p []byte) bool { return bytes.HasPrefix(first, p) })
	}
	return c.control
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.isHushed() {
		return c.block()
	}
	return c.Conn.Write(p)
}

func (c *faultConn) block() (int, error) {
	<-c.gone
	return 0, net.ErrClosed
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	close(c.gone)
	c.door.mu.Lock()
	delete(c.door.open, c)
	c.door.mu.Unlock()
	return c.Conn.Close()
}
