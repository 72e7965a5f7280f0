// Package callerconn keeps track of the connections of callers. fasthttp does not
// notice that a caller goes away while its request is served; a Conn does.
package callerconn

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/targetconn"
)

// state tells what a caller's connection is doing.
type state int

const (
	stateIdle   state = iota // no byte of a request has arrived
	stateHead                // a request is being read
	stateBody                // the head of a request is known; it is being read or served
	stateServed              // the handler has ended, the answer may be on its way
)

// Bounds of a connection's end after a refusal.
const (
	lingerTime  = time.Second            // wait for the caller to read the refusal
	quietTime   = 250 * time.Millisecond // an idle connection may still get a request for this long
	writeLimit  = 30 * time.Second       // of one write to a caller that does not read
	lingerBytes = 64 << 20               // bytes discarded meanwhile
	savedLimit  = 64 << 10               // bytes of pipelined requests kept while watching
)

// Conn is a caller's connection. While a request is served it can be
// watched, because fasthttp does not notice that a caller went away.
type Conn struct {
	net.Conn
	conns *Tracker

	mu     sync.Mutex
	state  state
	since  time.Time // beginning of the idle state, or of the request
	linger bool
	// closed is set before the socket closes, so that a request read at that moment
	// is not served.
	closed bool

	place *list.Element // among the idle connections; guarded by the tracker

	saved []byte // read by the watch, owned by the reader between watches
}

// Read implements net.Conn and follows the connection's state.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.reading(); err != nil {
		return 0, err
	}
	if len(c.saved) > 0 {
		n := copy(p, c.saved)
		c.saved = c.saved[n:]
		if !c.arrived() {
			return 0, net.ErrClosed
		}
		return n, nil
	}
	if len(p) == 1 {
		return c.readFirst(p)
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.arrived() {
		return 0, net.ErrClosed
	}
	return n, err
}

// firstRead is how much is read when the server asks for one byte.
const firstRead = 2 << 10 // bytes

// readFirst serves the server's question for the first byte of a request, which it
// asks without a buffer. What arrives with it is kept for the next read.
func (c *Conn) readFirst(p []byte) (int, error) {
	buf := make([]byte, firstRead)
	n, err := c.Conn.Read(buf)
	if n > 0 && !c.arrived() {
		return 0, net.ErrClosed
	}
	if n > 0 {
		p[0] = buf[0]
		c.saved = buf[1:n]
		return 1, err
	}
	return 0, err
}

// reading notes that the server wants to read: at the beginning of a request the
// answer before it has been written. It sets the deadline of the read.
func (c *Conn) reading() error {
	c.mu.Lock()
	ended := c.state == stateServed
	if ended {
		c.state, c.since = stateIdle, time.Now()
	}
	state, since := c.state, c.since
	c.mu.Unlock()
	if ended {
		c.conns.nowIdle(c)
	}
	l := c.conns.limits
	if l == nil {
		return nil
	}
	switch state {
	case stateIdle:
		return c.Conn.SetReadDeadline(since.Add(l.Idle()))
	case stateHead:
		return c.Conn.SetReadDeadline(since.Add(l.Head()))
	}
	return c.Conn.SetReadDeadline(since.Add(l.Whole()))
}

// arrived notes the first bytes of a request. It reports false if the connection is
// being closed: the request must not be served, because its answer would be lost.
func (c *Conn) arrived() bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	begins := c.state == stateIdle
	if begins {
		c.state, c.since = stateHead, time.Now()
	}
	c.mu.Unlock()
	if begins {
		c.conns.nowBusy(c)
	}
	return true
}

// HeadRead notes that the head of a request has been read.
func (c *Conn) HeadRead() { c.setState(stateBody) }

// Served notes that the handler of a request has ended.
func (c *Conn) Served() { c.setState(stateServed) }

// Begin notes that the handler of a request starts and returns when the first
// bytes of the request were read.
func (c *Conn) Begin() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateServed || c.state == stateIdle { // it was pipelined
		c.since = time.Now()
	}
	c.state = stateBody
	return c.since
}

// SetReadDeadline implements net.Conn. With limits of its own the connection
// ignores the server's deadlines.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.conns.limits != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn like SetReadDeadline.
func (c *Conn) SetDeadline(t time.Time) error {
	if c.conns.limits != nil {
		return nil
	}
	return c.Conn.SetDeadline(t)
}

// Write implements net.Conn with a deadline for each write. Bytes that no
// request asked for are dropped: fasthttp answers a new connection on which
// nothing arrives in time, and the caller could take that for the answer to the
// request that it sends at this moment.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.busy() {
		return len(p), nil
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.conns.sent(n)
	return n, err
}

func (c *Conn) setState(s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

func (c *Conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != stateIdle
}

// closeIfIdle closes a connection on which no request has begun for a while. On a
// busy instance a request may have waited longer than that to be read, so the socket
// must be empty too.
func (c *Conn) closeIfIdle() {
	c.mu.Lock()
	quiet := !c.closed && c.state == stateIdle && time.Since(c.since) >= quietTime && !targetconn.Readable(c.Conn)
	if quiet {
		c.closed = true
	}
	c.mu.Unlock()
	if quiet {
		c.conns.remove(c)
		_ = c.Conn.Close() // nothing was written that could be lost
	}
}

// Present reports whether the caller has not closed the connection, without waiting
// for the watch to notice.
func (c *Conn) Present() bool { return targetconn.Open(c.Conn) }

// LingerOnClose keeps the connection open for a moment after its end. Closing
// with unread request bytes resets it, and the caller loses the refusal.
func (c *Conn) LingerOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
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

func (c *Conn) discard() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
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

// Watch calls gone once if the caller closes the connection before stop is
// called. The end of the caller's sending side counts as closing. Stop returns
// after the watch has ended, so the server may read again.
func (c *Conn) Watch(gone func()) (stop func()) {
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
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
			c.Conn.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
			<-done
			c.Conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
		})
	}
}

func (c *Conn) watchReads(gone func(), stopping <-chan struct{}) {
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
