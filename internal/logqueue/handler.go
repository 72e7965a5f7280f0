// Package logqueue writes structured log lines without ever blocking the code that
// makes them. Lines wait in bounded queues and one goroutine writes them. The
// volume is bounded: when requests make more lines than allowed, the lines of some
// requests are left out, all of them alike. Lines of failed requests (level Warn)
// and lines about the process and what it believes (levels Notice and Error) have
// bounds of their own, and are written first.
package logqueue

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// LevelNotice marks changes of what the process believes.
const LevelNotice = slog.LevelInfo + 2

// NoticeName is the name of LevelNotice in lines.
const NoticeName = "NOTICE"

// RequestKey is the attribute that holds a request's id.
const RequestKey = "request"

// Bounds of the volume of one process.
const (
	// OrdinaryBytes bounds the lines of requests that went well, in bytes a second.
	OrdinaryBytes = 96 << 10
	// FailedBytes bounds the lines of failed requests.
	FailedBytes = 64 << 10
	// BeliefBytes bounds all other lines.
	BeliefBytes = 64 << 10
	// queueLines bounds the lines that wait for the writer, for each kind.
	queueLines = 2048
	// writeBytes is what one write takes at most.
	writeBytes = 64 << 10
	// interval is how often the bounds are settled.
	interval = time.Second
)

// Queue is the destination of lines. It must be run.
type Queue struct {
	out      io.Writer
	ordinary class
	failed   class
	beliefs  class
	kept     atomic.Uint32 // share of requests whose lines are kept, of 2^32
	writing  sync.Mutex
}

// class is one kind of lines.
type class struct {
	lines   chan []byte
	limit   int64
	bytes   atomic.Int64 // wanted in this interval, also by ordinary lines left out
	used    atomic.Int64 // queued in this interval
	dropped *metrics.Counter
}

// New returns a queue that counts what it drops.
func New(out io.Writer, set *metrics.Set) *Queue {
	q := &Queue{
		out:      out,
		ordinary: newClass(set, "ordinary", OrdinaryBytes),
		failed:   newClass(set, "failed", FailedBytes),
		beliefs:  newClass(set, "beliefs", BeliefBytes),
	}
	q.kept.Store(^uint32(0))
	return q
}

func newClass(set *metrics.Set, kind string, limit int64) class {
	return class{
		lines: make(chan []byte, queueLines), limit: limit,
		dropped: set.GetOrCreateCounter(`nutmeg_log_lines_dropped_total{kind="` + kind + `"}`),
	}
}

// Run writes lines until the context ends, then those that are left.
func (q *Queue) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case l := <-q.beliefs.lines:
			q.write(l)
		case l := <-q.failed.lines:
			q.write(l)
		case l := <-q.ordinary.lines:
			q.write(l)
		case <-t.C:
			q.settle()
		case <-ctx.Done():
			q.Flush()
			return
		}
	}
}

// settle adapts the share of requests whose lines are kept to the volume of the
// last interval, and begins a new one.
func (q *Queue) settle() {
	wanted := q.ordinary.bytes.Swap(0)
	for _, c := range []*class{&q.ordinary, &q.failed, &q.beliefs} {
		c.used.Store(0)
	}
	share := 1.0
	if wanted > q.ordinary.limit {
		share = float64(q.ordinary.limit) / float64(wanted)
	}
	q.kept.Store(uint32(share * float64(^uint32(0))))
}

// write writes a line and those that wait behind it in one call.
func (q *Queue) write(first []byte) {
	q.writing.Lock()
	defer q.writing.Unlock()
	batch := first
	for len(batch) < writeBytes {
		l := q.next()
		if l == nil {
			break
		}
		batch = append(batch, l...)
	}
	_, _ = q.out.Write(batch) // there is no other place to report to
}

// next returns a waiting line, the most important one first, or nil.
func (q *Queue) next() []byte {
	for _, c := range []*class{&q.beliefs, &q.failed, &q.ordinary} {
		select {
		case l := <-c.lines:
			return l
		default:
		}
	}
	return nil
}

// Flush writes the lines that wait now.
func (q *Queue) Flush() {
	for l := q.next(); l != nil; l = q.next() {
		q.write(l)
	}
}

// push queues a line, or drops it if the queue or the volume is full.
func (c *class) push(line []byte) {
	c.bytes.Add(int64(len(line)))
	if c.used.Add(int64(len(line))) > c.limit {
		c.dropped.Inc()
		return
	}
	select {
	case c.lines <- line:
	default:
		c.dropped.Inc()
	}
}

// Notice logs a change of what the process believes.
func Notice(l *slog.Logger, msg string, args ...any) {
	l.Log(context.Background(), LevelNotice, msg, args...)
}

// Discard drops the lines of a library that logs the faults of its callers; they are
// counted instead.
type Discard struct{}

// Printf implements the loggers of fasthttp.
func (Discard) Printf(string, ...any) {}

// Handler implements slog.Handler on a queue.
type Handler struct {
	q       *Queue
	json    slog.Handler // writes to a buffer
	buf     *buffer
	request uint32 // hash of the request's id
	bound   bool   // the handler carries a request's id
}

// Handler returns a handler of lines in JSON from a level on.
func (q *Queue) Handler(level slog.Level) *Handler {
	buf := &buffer{}
	return &Handler{q: q, buf: buf, json: slog.NewJSONHandler(buf, &slog.HandlerOptions{Level: level, ReplaceAttr: nameLevels})}
}

// nameLevels gives the level of changed beliefs its name.
func nameLevels(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.LevelKey && a.Value.Any() == LevelNotice {
		return slog.String(slog.LevelKey, NoticeName)
	}
	return a
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.json.Enabled(ctx, l) }

// averageLine is counted for a line that is left out without being made.
const averageLine = 320 // bytes

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	c := &h.q.beliefs
	hash, ofRequest := h.requestOf(r)
	switch {
	case r.Level <= slog.LevelInfo:
		c = &h.q.ordinary
		if ofRequest && hash > h.q.kept.Load() {
			c.bytes.Add(averageLine)
			c.dropped.Inc()
			return nil
		}
	case r.Level == slog.LevelWarn && ofRequest:
		c = &h.q.failed
	}
	if c.used.Load() > c.limit {
		c.bytes.Add(averageLine)
		c.dropped.Inc()
		return nil
	}
	h.buf.Lock()
	h.buf.line = make([]byte, 0, 2*averageLine)
	err := h.json.Handle(ctx, r)
	line := h.buf.line
	h.buf.line = nil
	h.buf.Unlock()
	if err == nil {
		c.push(line)
	}
	return err
}

// requestOf returns the hash of the request that a line belongs to.
func (h *Handler) requestOf(r slog.Record) (hash uint32, ok bool) {
	if h.bound {
		return h.request, true
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == RequestKey {
			hash, ok = hashID(a.Value.String()), true
		}
		return !ok
	})
	return hash, ok
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	n := *h
	n.json = h.json.WithAttrs(attrs)
	for _, a := range attrs {
		if a.Key == RequestKey {
			n.request, n.bound = hashID(a.Value.String()), true
		}
	}
	return &n
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	n := *h
	n.json = h.json.WithGroup(name)
	return &n
}

func hashID(id string) uint32 {
	f := fnv.New32a()
	_, _ = f.Write([]byte(id)) // never fails
	// The low bits of FNV vary more than the high ones that the share is taken of.
	return f.Sum32() * 2654435761
}

// buffer takes one line from the JSON handler. Its lock is held around the call.
type buffer struct {
	sync.Mutex
	line []byte
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.line = append(b.line, p...)
	return len(p), nil
}
