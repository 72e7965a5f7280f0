// Package callerconn tracks the server connections of callers: it limits their number and
// read times, closes idle ones and detects a caller's disconnect while its request is
// served, which fasthttp does not.
package callerconn

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/targetconn"
)

// connState is the progress of the current request on a caller's connection.
type connState int

const (
	stateIdle          connState = iota // no byte of a request has been received
	stateReadingHeader                  // the header of a request is being read
	stateHeaderRead                     // the header has been read; the body is being read or the request served
	stateHandled                        // the handler has returned; the response may still be being written
)

// Limits of a connection's reads, writes and close.
const (
	lingerTimeout  = time.Second            // after a refusal, for the caller to read it before the close
	minIdleTime    = 250 * time.Millisecond // a request may still be in transit on a connection that is idle for less
	writeTimeout   = 30 * time.Second       // of a single write to a caller that does not read
	maxLingerBytes = 64 << 20               // bytes read and discarded during lingerTimeout
	maxSavedBytes  = 64 << 10               // bytes of pipelined requests kept while a request is served
	// lingerBufferSize is the size in bytes of a read during lingerTimeout. An overloaded instance has
	// many connections in that state.
	lingerBufferSize = 4 << 10
)

// Conn is a caller's connection. It implements the net.Conn that the server reads from, and
// WatchDisconnect detects a disconnect while a request is served.
type Conn struct {
	net.Conn
	tracker *Tracker

	mu            sync.Mutex
	state         connState
	stateSince    time.Time // start of the idle period, or when the request's first byte was read
	bodyDeadline  time.Time // by when the rest of the request must have arrived; valid from stateHeaderRead on
	lingerOnClose bool      // see LingerOnClose
	// closed is set before the socket is closed, so that a request that is read at that
	// moment is not served.
	closed bool

	idleElement *list.Element // in the tracker's list of idle connections, or nil; guarded by the tracker

	readAhead []byte // bytes that Read returns next; owned by the goroutine of WatchDisconnect while it runs, else by the reader
}

// Read implements net.Conn. It updates the connection's state and applies the tracker's
// limits.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.beforeRead(); err != nil {
		return 0, err
	}
	if len(c.readAhead) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		if !c.requestBytesRead() {
			return 0, net.ErrClosed
		}
		return n, nil
	}
	if len(p) == 1 {
		return c.readFirstByte(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.requestBytesRead() {
		return 0, net.ErrClosed
	}
	return n, err
}

// firstReadSize is the size of the read when the server requests the first byte only.
const firstReadSize = 2 << 10 // bytes

// readFirstByte reads the first byte of a request, which the server reads with a buffer of
// one byte. It reads more at once and keeps the rest for the next Read.
func (c *Conn) readFirstByte(p []byte) (int, error) {
	buf := make([]byte, firstReadSize)
	n, err := c.Conn.Read(buf)
	if n > 0 && !c.requestBytesRead() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		p[0] = buf[0]
		c.readAhead = buf[1:n]
		return 1, err
	}
	return 0, err
}

// beforeRead updates the state and sets the deadline before the server reads. After a
// handled request, a read means that its response has been written.
func (c *Conn) beforeRead() error {
	c.mu.Lock()
	responseWritten := c.state == stateHandled
	if responseWritten {
		c.state, c.stateSince = stateIdle, time.Now()
	}
	state, since, bodyDeadline := c.state, c.stateSince, c.bodyDeadline
	c.mu.Unlock()
	if responseWritten {
		c.tracker.markIdle(c)
	}
	l := c.tracker.limits
	if l == nil {
		return nil
	}
	switch state {
	case stateIdle:
		return c.Conn.SetReadDeadline(since.Add(l.IdleTimeout()))
	case stateReadingHeader:
		return c.Conn.SetReadDeadline(since.Add(l.HeaderTimeout()))
	}
	return c.Conn.SetReadDeadline(bodyDeadline)
}

// requestBytesRead records that bytes of a request have been read. It reports false if the
// connection is being closed: the request must not be served, because its response would be
// lost.
func (c *Conn) requestBytesRead() bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	newRequest := c.state == stateIdle
	if newRequest {
		c.state, c.stateSince = stateReadingHeader, time.Now()
	}
	c.mu.Unlock()
	if newRequest {
		c.tracker.markBusy(c)
	}
	return true
}

// LimitBody shortens the time that is left for the rest of a request's body.
func (c *Conn) LimitBody(left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if deadline := time.Now().Add(left); deadline.Before(c.bodyDeadline) {
		c.bodyDeadline = deadline
	}
}

// HandlerReturned records that the handler of a request has returned.
func (c *Conn) HandlerReturned() { c.setState(stateHandled) }

// HandlerStarted records that the handler of a request starts. It returns the time when the
// first bytes of the request were read; for a pipelined request, the current time.
func (c *Conn) HandlerStarted() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerRead()
	return c.stateSince
}

// headerRead records that the header of a request has been read. c.mu must be held.
func (c *Conn) headerRead() {
	if c.state == stateHandled || c.state == stateIdle { // the request was pipelined
		c.stateSince = time.Now()
	}
	c.state = stateHeaderRead
}

// SetReadDeadline implements net.Conn. If the tracker has limits, they replace the server's
// deadlines but for one: the server sets a deadline when it has read the header of a request
// with a body, and the body must have arrived by then. The time that the header took counts
// as time of the body.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.tracker.limits == nil {
		return c.Conn.SetReadDeadline(t)
	}
	if t.IsZero() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerRead()
	c.bodyDeadline = c.stateSince.Add(time.Until(t))
	return nil
}

// SetDeadline implements net.Conn. It has no effect if the tracker has limits.
func (c *Conn) SetDeadline(t time.Time) error {
	if c.tracker.limits != nil {
		return nil
	}
	return c.Conn.SetDeadline(t)
}

// Write implements net.Conn with a deadline for each write. While no request has been
// received, it discards the bytes and reports success: fasthttp writes a response to a
// connection on which nothing is received in time, and the caller could mistake that for
// the response to a request that it is just sending.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.busy() {
		return len(p), nil
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.tracker.countSent(n)
	return n, err
}

func (c *Conn) setState(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

// busy reports whether bytes of a request have been read and its response may not be
// completely written.
func (c *Conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != stateIdle
}

// closeIfIdle closes a connection that has been idle for minIdleTime. On a busy instance a
// request may wait longer than that to be read, so the socket must have no unread bytes.
func (c *Conn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.closed && c.state == stateIdle && time.Since(c.stateSince) >= minIdleTime && !targetconn.HasUnreadBytes(c.Conn)
	if idle {
		c.closed = true
	}
	c.mu.Unlock()
	if idle {
		c.tracker.remove(c)
		_ = c.Conn.Close() // no written bytes can be lost
	}
}

// Connected reports whether the caller has not closed the connection. It checks the socket
// itself, because the goroutine of WatchDisconnect may not have run yet.
func (c *Conn) Connected() bool { return targetconn.IsOpen(c.Conn) }

// LingerOnClose makes Close read and discard the rest of the request for up to a second
// before it closes the connection. Closing a connection with unread bytes resets it, and the
// caller would lose the refusal.
func (c *Conn) LingerOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingerOnClose = true
}

// Close implements net.Conn. A second call returns net.ErrClosed.
func (c *Conn) Close() error {
	c.mu.Lock()
	firstClose, linger := !c.closed, c.lingerOnClose
	c.closed = true
	c.mu.Unlock()
	if !firstClose {
		return net.ErrClosed
	}
	c.tracker.remove(c)
	if linger {
		c.discardInput()
	}
	return c.Conn.Close()
}

// discardInput ends the sending side and discards what the caller still sends.
func (c *Conn) discardInput() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	buf := make([]byte, lingerBufferSize)
	for total := 0; total < maxLingerBytes; {
		n, err := c.Conn.Read(buf)
		total += n
		if err != nil {
			return
		}
	}
}

// WatchDisconnect starts a goroutine that calls onDisconnect once if the caller closes the
// connection, or its sending side, before stop is called. It must only be used while the
// server does not read. stop returns after the goroutine has ended, so that the server may
// read again. After 64 KiB of pipelined requests a disconnect is not detected any more.
func (c *Conn) WatchDisconnect(onDisconnect func()) (stop func()) {
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		onDisconnect()
		return func() {}
	}
	done := make(chan struct{})
	stopping := make(chan struct{})
	go func() {
		defer close(done)
		c.watchReads(onDisconnect, stopping)
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			close(stopping)
			c.Conn.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
			<-done
			c.Conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
		})
	}
}

// watchReads reads ahead until the caller disconnects or stopping is closed.
func (c *Conn) watchReads(onDisconnect func(), stopping <-chan struct{}) {
	buf := make([]byte, 512)
	for len(c.readAhead) < maxSavedBytes {
		n, err := c.Conn.Read(buf)
		c.readAhead = append(c.readAhead, buf[:n]...)
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
		onDisconnect()
		return
	}
}
