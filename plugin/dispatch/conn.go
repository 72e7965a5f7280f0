package dispatch

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Bounds of connections to targets.
const (
	dialTimeout = 2 * time.Second  // a connect without an answer for this long fails
	idleLimit   = 15 * time.Second // shorter than the keep-alive time of common servers
	idleSweep   = 5 * time.Second
	idlePerHost = 64       // connections
	writePiece  = 64 << 10 // bytes written under one deadline
	readBuffer  = 16 << 10 // bytes; bounds the head of an answer
	writeBuffer = 4 << 10  // bytes
)

// targetConn is a connection to a target. It calls check before the first byte
// of a request, counts the bytes of the request that the kernel accepted, and
// bounds the silence of each single read and write.
type targetConn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer

	check    func() error  // called before the first byte of a request
	silence  time.Duration // longest time of one read or write
	hard     time.Time     // end of all reads and writes of the request
	sent     int64         // request bytes accepted by the kernel
	received int64         // answer bytes read
	failure  error         // first error of the connection itself

	host      string
	reused    bool
	idleSince time.Time
}

func newTargetConn(nc net.Conn, host string) *targetConn {
	c := &targetConn{Conn: nc, host: host}
	c.br, c.bw = readers.Get().(*bufio.Reader), writers.Get().(*bufio.Writer)
	c.br.Reset(c)
	c.bw.Reset(c)
	return c
}

// Buffers of closed connections are used again, because every non-idempotent
// request opens a connection of its own.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

// release closes a connection that no one reads or writes any more.
func (c *targetConn) release() {
	c.Close()
	c.br.Reset(nil)
	c.bw.Reset(nil)
	readers.Put(c.br)
	writers.Put(c.bw)
	c.br, c.bw = nil, nil
}

// arm prepares the connection for one request.
func (c *targetConn) arm(silence time.Duration, hard time.Time, check func() error) {
	c.silence, c.hard, c.check = silence, hard, check
	c.sent, c.received, c.failure = 0, 0, nil
}

func (c *targetConn) deadline() time.Time {
	t := time.Now().Add(c.silence)
	if t.After(c.hard) {
		return c.hard
	}
	return t
}

// Read implements net.Conn with a deadline for each read.
func (c *targetConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline()); err != nil {
		return 0, c.failed(err)
	}
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	return n, c.failed(err)
}

// failed keeps the connection's first error, because fasthttp reports some
// errors of a read as the end of the stream.
func (c *targetConn) failed(err error) error {
	if err != nil && c.failure == nil {
		c.failure = err
	}
	return err
}

// Write implements net.Conn. A large body is written in pieces, each under its
// own deadline, so that a slow but moving target is not taken for a silent one.
func (c *targetConn) Write(p []byte) (int, error) {
	if c.sent == 0 && c.check != nil {
		if err := c.check(); err != nil {
			return 0, c.failed(err)
		}
	}
	total := 0
	for total < len(p) {
		if err := c.SetWriteDeadline(c.deadline()); err != nil {
			return total, c.failed(err)
		}
		n, err := c.Conn.Write(p[total:min(len(p), total+writePiece)])
		total += n
		c.sent += int64(n)
		if err != nil {
			return total, c.failed(err)
		}
	}
	return total, nil
}

// alive reports whether an idle connection is open and has nothing to read.
// Bytes that arrive without a request belong to no one.
func (c *targetConn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN
	})
	return err == nil && open
}

// localDialFault reports whether a dial failed for want of local resources, so
// that it says nothing about the target.
func localDialFault(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
