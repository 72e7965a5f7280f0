package entry

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// connState tells what a caller's connection is doing.
type connState int

const (
	stateIdle   connState = iota // no byte of a request has arrived
	stateBusy                    // a request is being read or served
	stateServed                  // the handler has ended, the answer may be on its way
)

// Bounds of a connection's end after a refusal.
const (
	lingerTime  = time.Second            // wait for the caller to read the refusal
	quietTime   = 250 * time.Millisecond // an idle connection may still get a request for this long
	lingerBytes = 64 << 20               // bytes discarded meanwhile
	savedLimit  = 64 << 10               // bytes of pipelined requests kept while watching
)

// callerConn is a caller's connection. While a request is served it can be
// watched, because fasthttp does not notice that a caller went away.
type callerConn struct {
	net.Conn
	conns *tracker

	mu     sync.Mutex
	state  connState
	since  time.Time // beginning of the idle state
	linger bool
	closed bool

	saved []byte // read by the watch, owned by the reader between watches
}

// Read implements net.Conn and follows the connection's state.
func (c *callerConn) Read(p []byte) (int, error) {
	c.reading()
	if len(c.saved) > 0 {
		n := copy(p, c.saved)
		c.saved = c.saved[n:]
		c.setState(stateBusy)
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setState(stateBusy)
	}
	return n, err
}

// Write implements net.Conn with a deadline for each write. Bytes that no
// request asked for are dropped: fasthttp answers a new connection on which
// nothing arrives in time, and the caller could take that for the answer to the
// request that it sends at this moment.
func (c *callerConn) Write(p []byte) (int, error) {
	if !c.busy() {
		return len(p), nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.conns.sent(n)
	return n, err
}

// reading notes that the server wants the next request: the answer before it
// has been written.
func (c *callerConn) reading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateServed {
		c.state, c.since = stateIdle, time.Now()
	}
}

func (c *callerConn) setState(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

func (c *callerConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != stateIdle
}

// closeIfIdle closes a connection on which no request has begun for a while. A
// request that is on its way to a connection that closes is lost.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	idle := c.state == stateIdle && time.Since(c.since) >= quietTime
	c.mu.Unlock()
	if idle {
		c.Close()
	}
}

// lingerOnClose keeps the connection open for a moment after its end. Closing
// with unread request bytes resets it, and the caller loses the refusal.
func (c *callerConn) lingerOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	first, linger := !c.closed, c.linger
	c.closed = true
	c.mu.Unlock()
	if !first {
		return net.ErrClosed
	}
	c.conns.remove(c)
	if linger {
		c.discard()
	}
	return c.Conn.Close()
}

func (c *callerConn) discard() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	buf := make([]byte, 32<<10)
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(buf)
		total += n
		if err != nil {
			return
		}
	}
}

// watch calls gone once if the caller closes the connection before stop is
// called. The end of the caller's sending side counts as closing. Stop returns
// after the watch has ended, so the server may read again.
func (c *callerConn) watch(gone func()) (stop func()) {
	if c.SetReadDeadline(time.Time{}) != nil {
		gone()
		return func() {}
	}
	done := make(chan struct{})
	stopping := make(chan struct{})
	go func() {
		defer close(done)
		c.watchReads(gone, stopping)
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			close(stopping)
			c.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
			<-done
			c.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
		})
	}
}

func (c *callerConn) watchReads(gone func(), stopping <-chan struct{}) {
	buf := make([]byte, 512)
	for len(c.saved) < savedLimit {
		n, err := c.Conn.Read(buf)
		c.saved = append(c.saved, buf[:n]...)
		if err == nil {
			continue
		}
		select {
		case <-stopping:
			return
		default:
		}
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			continue
		}
		gone()
		return
	}
}
