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

// Bounds of a link's send queue and of a blocked write.
const (
	queueFrames   = 4096                    // messages
	queueBytes    = 64 << 20                // bytes; room for a few of the largest frames
	writeChunk    = 64 << 10                // bytes written under one deadline
	writeDeadline = 1500 * time.Millisecond // per chunk; equals the silence limit
)

// ErrQueueFull is returned when the bounded send queue of a link is full.
var ErrQueueFull = errors.New("send queue full")

type frame struct {
	bytes  []byte
	method string
}

// stream implements jsonrpc2.ObjectStream. Writes only queue the frame; one
// goroutine writes to the socket, so that a link that has gone silent blocks no
// sender.
type stream struct {
	conn  net.Conn
	r     *bufio.Reader
	count atomic.Pointer[counters] // of the peer, known after the hello
	now   func() time.Duration

	queue  chan frame
	queued atomic.Int64 // bytes in the queue
	done   chan struct{}
	once   sync.Once
	ended  chan struct{} // closed when the writer has returned

	heard     atomic.Int64 // time of the last received byte
	firstBeat atomic.Int64 // time of the oldest beat without any byte received since; 0 = none

	method   string // of the message being written; guarded by the connection's send lock
	received int    // size of the last frame; used by the read loop only
}

func newStream(conn net.Conn, count *counters, now func() time.Duration) *stream {
	s := &stream{
		conn: conn, now: now,
		queue: make(chan frame, queueFrames),
		done:  make(chan struct{}), ended: make(chan struct{}),
	}
	s.count.Store(count)
	s.r = bufio.NewReader(s)
	s.heard.Store(int64(now()))
	go s.write()
	return s
}

// Read counts every received byte as a sign of life.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	if n > 0 {
		s.heard.Store(int64(s.now()))
		s.firstBeat.Store(0)
	}
	return n, err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	body, size, err := readFrame(s.r)
	s.received = size
	if err == nil {
		if jerr := json.Unmarshal(unpack(body), v); jerr != nil {
			err = errors.WithMessage(ErrMalformed, jerr.Error())
		}
	}
	switch {
	case errors.Is(err, ErrOversized):
		s.count.Load().oversized.Inc()
	case errors.Is(err, ErrMalformed):
		s.count.Load().malformed.Inc()
	}
	return err
}

// WriteObject implements jsonrpc2.ObjectStream. It never blocks.
func (s *stream) WriteObject(v any) error {
	method := s.method
	s.method = ""
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > MaxFrame {
		s.count.Load().oversized.Inc()
		return ErrOversized
	}
	return s.push(frame{appendFrame(nil, pack(body)), method})
}

func (s *stream) push(f frame) error {
	select {
	case <-s.done:
		return net.ErrClosed
	default:
	}
	if s.queued.Add(int64(len(f.bytes))) <= queueBytes {
		select {
		case s.queue <- f:
			return nil
		default:
		}
	}
	s.queued.Add(-int64(len(f.bytes)))
	s.count.Load().overflow.Inc()
	return ErrQueueFull
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.conn.Close()
}

// write sends queued frames until the stream is closed or a write fails.
func (s *stream) write() {
	defer close(s.ended)
	w := bufio.NewWriterSize(deadlineWriter{s.conn}, writeChunk)
	for {
		select {
		case <-s.done:
			return
		case f := <-s.queue:
			if err := s.writeBatch(w, f); err != nil {
				s.count.Load().writeErrors.Inc()
				_ = s.Close()
				return
			}
		}
	}
}

// writeBatch writes a frame and those queued behind it, then flushes.
func (s *stream) writeBatch(w *bufio.Writer, f frame) error {
	for {
		s.queued.Add(-int64(len(f.bytes)))
		if _, err := w.Write(f.bytes); err != nil {
			return err
		}
		s.count.Load().sent(f.method, len(f.bytes))
		select {
		case f = <-s.queue:
		default:
			return w.Flush()
		}
	}
}

// deadlineWriter gives every chunk its own deadline, so that a large frame on a
// slow link is not mistaken for a silent link.
type deadlineWriter struct{ conn net.Conn }

func (d deadlineWriter) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		if err = d.conn.SetWriteDeadline(time.Now().Add(writeDeadline)); err != nil {
			return n, err
		}
		var k int
		k, err = d.conn.Write(p[:min(len(p), writeChunk)])
		n += k
		p = p[k:]
	}
	if err == nil && len(p) > 0 {
		err = io.ErrShortWrite
	}
	return n, err
}
