package mesh

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a connection's send queue and of a blocked write.
const (
	maxQueuedFrames   = 4096                    // one message each
	maxQueuedBytes    = 64 << 20                // a few frames of the largest size
	writeChunkBytes   = 64 << 10                // written under one deadline
	chunkWriteTimeout = 1500 * time.Millisecond // equals silenceTimeout
)

// ErrQueueFull is returned when the bounded send queue of a link is full.
var ErrQueueFull = errors.New("send queue full")

// queuedFrame is an encoded frame and the method under which it is counted.
type queuedFrame struct {
	bytes  []byte
	method string
}

// stream implements jsonrpc2.ObjectStream over a connection. A write only queues
// the frame; one goroutine writes to the socket, so that a silent link does not
// block senders.
type stream struct {
	conn     net.Conn
	r        *bufio.Reader
	counters atomic.Pointer[counters] // of the peer; those of "" before the handshake
	now      func() time.Duration

	queue       chan queuedFrame
	queuedBytes atomic.Int64 // size of the queued frames
	closed      chan struct{}
	closeOnce   sync.Once
	writerDone  chan struct{} // closed after the writer has returned

	lastReceived   atomic.Int64 // time of the last received byte
	heartbeatSince atomic.Int64 // send time of the oldest heartbeat with no byte received since; 0 = none

	writeMethod   string // of the message to write next; guarded by the connection's send lock
	lastFrameSize int    // size of the last received frame in bytes; used by the read loop only
}

// newStream returns a stream on the connection and starts its writer.
func newStream(conn net.Conn, c *counters, now func() time.Duration) *stream {
	s := &stream{
		conn: conn, now: now,
		queue:  make(chan queuedFrame, maxQueuedFrames),
		closed: make(chan struct{}), writerDone: make(chan struct{}),
	}
	s.counters.Store(c)
	s.r = bufio.NewReader(s)
	s.lastReceived.Store(int64(now()))
	go s.runWriter()
	return s
}

// Read reads from the connection. Any received byte resets the silence timers.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	if n > 0 {
		s.lastReceived.Store(int64(s.now()))
		s.heartbeatSince.Store(0)
	}
	return n, err
}

// ReadObject implements jsonrpc2.ObjectStream. It returns ErrOversized or
// ErrMalformed, and counts it, for a frame that violates the format.
func (s *stream) ReadObject(v any) error {
	body, size, err := readFrame(s.r)
	s.lastFrameSize = size
	if err == nil {
		if jerr := json.Unmarshal(unpack(body), v); jerr != nil {
			err = errors.WithMessage(ErrMalformed, jerr.Error())
		}
	}
	switch {
	case errors.Is(err, ErrOversized):
		s.counters.Load().oversized.Inc()
	case errors.Is(err, ErrMalformed):
		s.counters.Load().malformed.Inc()
	}
	return err
}

// WriteObject implements jsonrpc2.ObjectStream. It queues the message without
// blocking, and returns ErrOversized above MaxFrameBytes, ErrQueueFull if the
// queue is full, or net.ErrClosed after Close.
func (s *stream) WriteObject(v any) error {
	method := s.writeMethod
	s.writeMethod = ""
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > MaxFrameBytes {
		s.counters.Load().oversized.Inc()
		return ErrOversized
	}
	return s.enqueue(queuedFrame{appendFrame(nil, pack(body)), method})
}

// enqueue adds a frame to the send queue, within the bounds on frames and bytes.
func (s *stream) enqueue(f queuedFrame) error {
	select {
	case <-s.closed:
		return net.ErrClosed
	default:
	}
	if s.queuedBytes.Add(int64(len(f.bytes))) <= maxQueuedBytes {
		select {
		case s.queue <- f:
			return nil
		default:
		}
	}
	s.queuedBytes.Add(-int64(len(f.bytes)))
	s.counters.Load().queueRefused.Inc()
	return ErrQueueFull
}

// Close implements jsonrpc2.ObjectStream. Queued frames are dropped.
func (s *stream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.conn.Close()
}

// runWriter sends queued frames until the stream is closed or a write fails.
func (s *stream) runWriter() {
	defer close(s.writerDone)
	w := bufio.NewWriterSize(deadlineWriter{s.conn}, writeChunkBytes)
	for {
		select {
		case <-s.closed:
			return
		case f := <-s.queue:
			if err := s.writeBatch(w, f); err != nil {
				s.counters.Load().writeErrors.Inc()
				_ = s.Close()
				return
			}
		}
	}
}

// writeBatch writes a frame and all frames queued after it, then flushes.
func (s *stream) writeBatch(w *bufio.Writer, f queuedFrame) error {
	for {
		s.queuedBytes.Add(-int64(len(f.bytes)))
		if _, err := w.Write(f.bytes); err != nil {
			return err
		}
		s.counters.Load().sent(f.method, len(f.bytes))
		select {
		case f = <-s.queue:
		default:
			return w.Flush()
		}
	}
}

// deadlineWriter sets a new deadline for every chunk, so that a large frame on a
// slow link is not mistaken for a silent link.
type deadlineWriter struct{ conn net.Conn }

func (d deadlineWriter) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		if err = d.conn.SetWriteDeadline(time.Now().Add(chunkWriteTimeout)); err != nil {
			return n, err
		}
		var k int
		k, err = d.conn.Write(p[:min(len(p), writeChunkBytes)])
		n += k
		p = p[k:]
	}
	if err == nil && len(p) > 0 {
		err = io.ErrShortWrite
	}
	return n, err
}
