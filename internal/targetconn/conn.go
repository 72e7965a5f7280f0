// Package targetconn keeps connections to targets. fasthttp's own client hides
// which connection a request used and repeats some requests by itself, so the
// router keeps the connections and uses fasthttp for the wire format only.
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
	writePiece  = 64 << 10 // bytes written under one deadline
	readBuffer  = 16 << 10 // bytes; bounds the head of an answer
	writeBuffer = 4 << 10  // bytes
	// maxOverhead bounds the bytes that arrive without a byte of an answer's body: heads,
	// sizes of chunks with their extensions, trailers.
	maxOverhead = 64 << 10 // bytes
)

// Errors of answers.
var (
	// ErrOverhead reports a target that sends bytes without end that are no answer.
	ErrOverhead = errors.New("the target sends bytes that are no answer")
	// ErrNameless reports an answer on a connection that has served an earlier request: it
	// may be a second one to that.
	ErrNameless = errors.New("the answer does not say to which request it belongs")
)

// Conn is a connection to a target. It calls check before the first byte of a
// request, counts the bytes of the request that the kernel accepted, and bounds
// the silence of each single read and write. It carries one request at a time.
type Conn struct {
	net.Conn
	R *bufio.Reader
	W *bufio.Writer

	// Sent counts the bytes of the request that the kernel accepted, Received
	// those of the answer.
	Sent, Received int64
	// ReadFailure and WriteFailure are the first errors of the connection itself.
	// fasthttp reports some errors of a read as the end of the stream.
	ReadFailure, WriteFailure error
	// Reused reports that the connection served an earlier request.
	Reused bool
	// Host is the address of the target.
	Host string
	// IdleLimit is how long the target keeps the connection idle; 0 = unknown.
	IdleLimit time.Duration

	hard      atomic.Int64  // end of all reads and writes of the request, on the monotonic clock, since epoch
	check     func() error  // called before the first byte of a request
	silence   time.Duration // longest time of one read or write
	idleSince time.Time
	overhead  int // bytes received since the last progress
}

func newConn(nc net.Conn, host string) *Conn {
	c := &Conn{Conn: nc, Host: host}
	c.R, c.W = readers.Get().(*bufio.Reader), writers.Get().(*bufio.Writer)
	c.R.Reset(c)
	c.W.Reset(c)
	return c
}

// Buffers of closed connections are used again, because every non-idempotent
// request opens a connection of its own.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

// Release closes a connection that no one reads or writes any more.
func (c *Conn) Release() {
	_ = c.Close() // nothing depends on the outcome
	c.R.Reset(nil)
	c.W.Reset(nil)
	readers.Put(c.R)
	writers.Put(c.W)
	c.R, c.W = nil, nil
}

// Arm prepares the connection for one request.
func (c *Conn) Arm(silence time.Duration, hard time.Time, check func() error) {
	c.silence, c.check = silence, check
	c.SetHard(hard)
	c.Sent, c.Received, c.ReadFailure, c.WriteFailure = 0, 0, nil, nil
	c.overhead = 0
}

// Progress tells that bytes of a body have been read.
func (c *Conn) Progress() { c.overhead = 0 }

// epoch keeps times on the monotonic clock, because the time of day may jump.
var epoch = time.Now()

// SetHard sets the end of all reads and writes of the request.
func (c *Conn) SetHard(t time.Time) { c.hard.Store(int64(t.Sub(epoch))) }

// Hard returns the end of all reads and writes of the request.
func (c *Conn) Hard() time.Time { return epoch.Add(time.Duration(c.hard.Load())) }

// Failure returns the first error of the connection itself, or nil.
func (c *Conn) Failure() error {
	if c.WriteFailure != nil {
		return c.WriteFailure
	}
	return c.ReadFailure
}

func (c *Conn) deadline() time.Time {
	t := time.Now().Add(c.silence)
	if hard := c.Hard(); t.After(hard) {
		return hard
	}
	return t
}

// Read implements net.Conn with a deadline for each read.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline()); err != nil {
		return 0, keepFirst(&c.ReadFailure, err)
	}
	if c.overhead > maxOverhead {
		return 0, keepFirst(&c.ReadFailure, ErrOverhead)
	}
	n, err := c.Conn.Read(p)
	c.Received += int64(n)
	c.overhead += n
	return n, keepFirst(&c.ReadFailure, err)
}

func keepFirst(first *error, err error) error {
	if err != nil && *first == nil {
		*first = err
	}
	return err
}

// Write implements net.Conn. A large body is written in pieces, each under its
// own deadline, so that a slow but moving target is not taken for a silent one.
func (c *Conn) Write(p []byte) (int, error) {
	if c.Sent == 0 && c.check != nil {
		if err := c.check(); err != nil {
			return 0, keepFirst(&c.WriteFailure, err)
		}
	}
	total := 0
	for total < len(p) {
		if err := c.SetWriteDeadline(c.deadline()); err != nil {
			return total, keepFirst(&c.WriteFailure, err)
		}
		n, err := c.Conn.Write(p[total:min(len(p), total+writePiece)])
		total += n
		c.Sent += int64(n)
		if err != nil {
			return total, keepFirst(&c.WriteFailure, err)
		}
	}
	return total, nil
}

// alive reports whether an idle connection is open and has nothing to read.
// Bytes that arrive without a request belong to no one.
func (c *Conn) alive() bool {
	return c.R.Buffered() == 0 && peek(c.Conn) == stateOpen
}

// Open reports whether the peer of a connection has not closed it. Bytes that
// wait to be read are no end.
func Open(conn net.Conn) bool {
	s := peek(conn)
	return s == stateOpen || s == stateReadable
}

// Readable reports whether bytes of the peer wait to be read.
func Readable(conn net.Conn) bool { return peek(conn) == stateReadable }

type state int

const (
	stateClosed state = iota
	stateOpen
	stateReadable
)

// peek looks at a socket without reading from it.
func peek(conn net.Conn) state {
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

// LocalFault reports whether a dial failed for want of local resources, so that
// it says nothing about the target.
func LocalFault(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
