// Package targetconn provides client connections to targets and a pool of idle ones.
// fasthttp's own client hides which connection a request used and retries some requests by
// itself, so the router manages the connections and uses fasthttp for the wire format only.
package targetconn

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Sizes of a connection's buffers and writes.
const (
	maxWriteSize    = 64 << 10 // bytes; limit of a single write, which has a deadline of its own
	readBufferSize  = 16 << 10 // bytes; limits the response header
	writeBufferSize = 4 << 10  // bytes
	// maxOverheadBytes limits the bytes that are received without a byte of a response
	// body: headers, chunk sizes with their extensions, trailers.
	maxOverheadBytes = 64 << 10 // bytes
)

// Errors of responses. Their texts can reach callers in a refusal.
var (
	// ErrOverhead reports a target that has sent more than 64 KiB since the last byte of a
	// response body.
	ErrOverhead = errors.New("the target sends bytes that are no answer")
	// ErrNoRequestID reports a response without a request ID on a reused connection: it may
	// be a second response to the earlier request.
	ErrNoRequestID = errors.New("the answer does not say to which request it belongs")
)

// Conn is a connection to a target that carries one request at a time. It runs a check
// before the first byte of a request, counts the bytes of the request and the response, and
// applies a deadline to each single read and write. R and W are buffered.
type Conn struct {
	net.Conn
	R *bufio.Reader
	W *bufio.Writer

	// Sent is the number of bytes of the request that the kernel accepted, Received the
	// number of bytes received since StartRequest.
	Sent, Received int64
	// ReadFailure and WriteFailure are the first errors of the connection itself since
	// StartRequest. They are kept because fasthttp reports some read errors as the end of
	// the stream.
	ReadFailure, WriteFailure error
	// Reused reports whether the connection came from the pool, after an earlier request.
	Reused bool
	// Host is the target's address, IP:port.
	Host string
	// IdleLimit is how long the target keeps an idle connection open; 0 = unknown.
	IdleLimit time.Duration

	hardDeadline  atomic.Int64  // of all reads and writes of the request; monotonic nanoseconds since epoch
	beforeSend    func() error  // called before the first byte of a request; nil = none
	ioTimeout     time.Duration // of a single read or write
	idleSince     time.Time
	overheadBytes int // bytes received since the last call of BodyRead
}

func newConn(nc net.Conn, host string) *Conn {
	c := &Conn{Conn: nc, Host: host}
	c.R, c.W = readers.Get().(*bufio.Reader), writers.Get().(*bufio.Writer)
	c.R.Reset(c)
	c.W.Reset(c)
	return c
}

// Buffers of closed connections are reused, because every non-idempotent request opens a
// connection of its own.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// Release closes the connection and frees its buffers. No goroutine may use the connection
// any more.
func (c *Conn) Release() {
	_ = c.Close() // the connection is not used any more
	c.R.Reset(nil)
	c.W.Reset(nil)
	readers.Put(c.R)
	writers.Put(c.W)
	c.R, c.W = nil, nil
}

// StartRequest prepares the connection for one request and resets its counters and errors.
// Each single read or write must end within ioTimeout, and all of them before the deadline.
// beforeSend is called before the first byte is written; its error fails the write.
func (c *Conn) StartRequest(ioTimeout time.Duration, deadline time.Time, beforeSend func() error) {
	c.ioTimeout, c.beforeSend = ioTimeout, beforeSend
	c.SetRequestDeadline(deadline)
	c.Sent, c.Received, c.ReadFailure, c.WriteFailure = 0, 0, nil, nil
	c.overheadBytes = 0
}

// BodyRead reports that bytes of a response body have been read, which restarts the limit of
// ErrOverhead.
func (c *Conn) BodyRead() { c.overheadBytes = 0 }

// epoch is the reference of stored times. They use the monotonic clock, because the time of
// day may jump.
var epoch = time.Now()

// SetRequestDeadline sets the deadline of all reads and writes of the request.
func (c *Conn) SetRequestDeadline(t time.Time) { c.hardDeadline.Store(int64(t.Sub(epoch))) }

// RequestDeadline returns the deadline of all reads and writes of the request.
func (c *Conn) RequestDeadline() time.Time { return epoch.Add(time.Duration(c.hardDeadline.Load())) }

// Failure returns the first write error of the connection since StartRequest, or else the
// first read error, or nil.
func (c *Conn) Failure() error {
	if c.WriteFailure != nil {
		return c.WriteFailure
	}
	return c.ReadFailure
}

// ioDeadline returns the deadline of a read or write that starts now.
func (c *Conn) ioDeadline() time.Time {
	t := time.Now().Add(c.ioTimeout)
	if deadline := c.RequestDeadline(); t.After(deadline) {
		return deadline
	}
	return t
}

// Read implements net.Conn with a deadline for each read. It fails with ErrOverhead.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.ioDeadline()); err != nil {
		return 0, recordFirst(&c.ReadFailure, err)
	}
	if c.overheadBytes > maxOverheadBytes {
		return 0, recordFirst(&c.ReadFailure, ErrOverhead)
	}
	n, err := c.Conn.Read(p)
	c.Received += int64(n)
	c.overheadBytes += n
	return n, recordFirst(&c.ReadFailure, err)
}

// recordFirst stores err in first if that is the first error, and returns err.
func recordFirst(first *error, err error) error {
	if err != nil && *first == nil {
		*first = err
	}
	return err
}

// Write implements net.Conn. A large body is written in chunks with a deadline each, so that
// a target that reads slowly does not time out as a silent one.
func (c *Conn) Write(p []byte) (int, error) {
	if c.Sent == 0 && c.beforeSend != nil {
		if err := c.beforeSend(); err != nil {
			return 0, recordFirst(&c.WriteFailure, err)
		}
	}
	total := 0
	for total < len(p) {
		if err := c.SetWriteDeadline(c.ioDeadline()); err != nil {
			return total, recordFirst(&c.WriteFailure, err)
		}
		n, err := c.Conn.Write(p[total:min(len(p), total+maxWriteSize)])
		total += n
		c.Sent += int64(n)
		if err != nil {
			return total, recordFirst(&c.WriteFailure, err)
		}
	}
	return total, nil
}

// reusable reports whether an idle connection is open and has no bytes to read. Bytes that
// were received without a request would be mistaken for the next response.
func (c *Conn) reusable() bool {
	return c.R.Buffered() == 0 && peekState(c.Conn) == stateOpen
}

// IsOpen reports whether the peer of a connection has not closed it, without reading from
// it. A connection with unread bytes is open.
func IsOpen(conn net.Conn) bool {
	s := peekState(conn)
	return s == stateOpen || s == stateReadable
}

// HasUnreadBytes reports whether the connection has unread bytes, without reading them.
func HasUnreadBytes(conn net.Conn) bool { return peekState(conn) == stateReadable }

// socketState is what can be read from a socket without waiting.
type socketState int

const (
	stateClosed socketState = iota
	stateOpen
	stateReadable
)

// peekState returns the state of a socket without reading from it. A connection without a
// socket counts as open.
func peekState(conn net.Conn) socketState {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return stateOpen
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stateClosed
	}
	s := stateClosed
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case rerr == syscall.EAGAIN:
			s = stateOpen
		case rerr == nil && n > 0:
			s = stateReadable
		}
	})
	if err != nil {
		return stateClosed
	}
	return s
}

// IsLocalError reports whether a dial failed because this host has no file descriptor or
// local port left. Such an error must not count against the target.
func IsLocalError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
