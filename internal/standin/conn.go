package standin

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// controlPaths are the beginnings of requests that are served while faults are active.
// Faults do not affect their connections.
var controlPaths = [][]byte{[]byte("POST /fault"), []byte("GET /stats"), []byte("GET /runs"), []byte("POST /instances")}

// reopenInterval is the time between attempts to listen again after FaultRefuse.
const reopenInterval = 20 * time.Millisecond

var errListenerClosed = errors.New("stand-in: listener closed")

// faultListener is a net.Listener that can refuse, close and silence connections.
type faultListener struct {
	address  string
	accepted chan net.Conn
	done     chan struct{}
	// shouldReset reports whether a data connection must be closed when it
	// receives bytes, shouldSilence whether it must become silent.
	shouldReset, shouldSilence func() bool

	mu        sync.Mutex
	inner     net.Listener
	openConns map[*faultConn]struct{}
	closed    bool
	// refusing is true while the port is closed by FaultRefuse.
	refusing bool
}

// newFaultListener listens on an IP:port and accepts connections in the background.
func newFaultListener(address string) (*faultListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	fl := &faultListener{address: l.Addr().String(), accepted: make(chan net.Conn), done: make(chan struct{}),
		inner: l, openConns: map[*faultConn]struct{}{}}
	go fl.acceptFrom(l)
	return fl, nil
}

func (fl *faultListener) acceptFrom(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		fc := &faultConn{Conn: c, listener: fl, done: make(chan struct{})}
		fl.mu.Lock()
		fl.openConns[fc] = struct{}{}
		fl.mu.Unlock()
		select {
		case fl.accepted <- fc:
		case <-fl.done:
			_ = fc.Close()
			return
		}
	}
}

// Accept implements net.Listener.
func (fl *faultListener) Accept() (net.Conn, error) {
	select {
	case c := <-fl.accepted:
		return c, nil
	case <-fl.done:
		return nil, errListenerClosed
	}
}

// Addr implements net.Listener.
func (fl *faultListener) Addr() net.Addr { return fl.inner.Addr() }

// Close implements net.Listener.
func (fl *faultListener) Close() error {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.closed {
		return nil
	}
	fl.closed = true
	close(fl.done)
	return fl.inner.Close()
}

// refuse closes all data connections and the port, and opens the port again after the
// outage.
func (fl *faultListener) refuse(outage time.Duration) {
	fl.mu.Lock()
	l := fl.inner
	fl.refusing = true
	fl.mu.Unlock()
	_ = l.Close()
	fl.cutConns()
	go fl.reopen(outage)
}

// reopen listens on the same address again after the outage. It retries until the port
// is available.
func (fl *faultListener) reopen(outage time.Duration) {
	wait := outage
	for {
		select {
		case <-fl.done:
			return
		case <-time.After(wait):
		}
		if l, err := net.Listen("tcp", fl.address); err == nil {
			fl.replaceListener(l)
			return
		}
		wait = reopenInterval
	}
}

// replaceListener accepts from a new listener after an outage.
func (fl *faultListener) replaceListener(l net.Listener) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.closed {
		_ = l.Close()
		return
	}
	fl.inner, fl.refusing = l, false
	go fl.acceptFrom(l)
}

// mustReset reports whether a data connection must be closed when it receives bytes.
func (fl *faultListener) mustReset() bool {
	fl.mu.Lock()
	refusing := fl.refusing
	fl.mu.Unlock()
	return refusing || (fl.shouldReset != nil && fl.shouldReset())
}

// eachDataConn calls f for each open connection whose last request was not for a control
// path.
func (fl *faultListener) eachDataConn(f func(*faultConn)) {
	fl.mu.Lock()
	var conns []*faultConn
	for c := range fl.openConns {
		conns = append(conns, c)
	}
	fl.mu.Unlock()
	for _, c := range conns {
		if !c.isControl() {
			f(c)
		}
	}
}

func (fl *faultListener) cutConns() { fl.eachDataConn(func(c *faultConn) { _ = c.Close() }) }

// silenceConns makes the open data connections silent until they are closed. New ones
// are not affected.
func (fl *faultListener) silenceConns() { fl.eachDataConn((*faultConn).silence) }

// faultConn is a connection that can be silenced: it then stays open, but transfers
// nothing more.
type faultConn struct {
	net.Conn
	listener *faultListener
	done     chan struct{}

	mu       sync.Mutex
	control  bool
	silenced bool
	closed   bool
}

func (c *faultConn) isControl() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.control
}

func (c *faultConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenced = true
}

func (c *faultConn) isSilenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced
}

// Read implements net.Conn. On a silent connection it reads nothing more and returns only
// when the connection is closed.
func (c *faultConn) Read(p []byte) (int, error) {
	if c.isSilenced() {
		return c.blockUntilClosed()
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	if c.classify(p[:n]) {
		return n, nil
	}
	if c.listener.mustReset() {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	if c.isSilenced() || (c.listener.shouldSilence != nil && c.listener.shouldSilence()) {
		c.silence()
		return c.blockUntilClosed()
	}
	return n, nil
}

// classify updates whether the connection is used for a control path, if the bytes begin
// a request. It returns the present value.
func (c *faultConn) classify(first []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.HasPrefix(first, []byte("GET /")) || bytes.HasPrefix(first, []byte("POST /")) {
		c.control = slices.ContainsFunc(controlPaths, func(p []byte) bool { return bytes.HasPrefix(first, p) })
	}
	return c.control
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.isSilenced() {
		return c.blockUntilClosed()
	}
	return c.Conn.Write(p)
}

func (c *faultConn) blockUntilClosed() (int, error) {
	<-c.done
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
	close(c.done)
	c.listener.mu.Lock()
	delete(c.listener.openConns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
