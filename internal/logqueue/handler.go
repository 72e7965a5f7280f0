// Package logqueue is an asynchronous slog handler that never blocks the code that
// logs. Lines wait in bounded queues and one goroutine writes them. The volume is
// limited: if requests produce more lines than allowed, requests are sampled, and all
// lines of the others are dropped. Lines of failed requests (level Warn) and lines
// about the state of the process (levels Notice and Error) have limits of their own
// and are written first.
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

// LevelNotice is the level of lines about changes of the state of the process, such as
// the known leader or the configuration in force.
const LevelNotice = slog.LevelInfo + 2

// NoticeName is the name of LevelNotice in log lines.
const NoticeName = "NOTICE"

// RequestKey is the key of the attribute with a request's id.
const RequestKey = "request"

// Limits on the log volume of one process.
const (
	// OrdinaryBytesPerSecond limits lines up to the level Info, which are those of
	// requests without failures.
	OrdinaryBytesPerSecond = 96 << 10
	// FailedBytesPerSecond limits the lines of failed requests.
	FailedBytesPerSecond = 64 << 10
	// StateBytesPerSecond limits all other lines.
	StateBytesPerSecond = 64 << 10
	// queueCapacity bounds the lines of each class that wait for the writer.
	queueCapacity = 2048
	// maxWriteBytes is the size from which on no more lines are added to a write.
	maxWriteBytes = 64 << 10
	// volumeInterval is the time over which the volume is limited.
	volumeInterval = time.Second
)

// Queue holds log lines until they are written. Lines are written by Run or Flush.
type Queue struct {
	out       io.Writer
	ordinary  lineClass
	failed    lineClass
	state     lineClass
	keptShare atomic.Uint32 // share of requests whose lines are kept, of 2^32
	writeMu   sync.Mutex    // serializes writes to out
}

// lineClass is a class of lines with its own queue and volume limit.
type lineClass struct {
	lines    chan []byte
	maxBytes int64        // bytes per interval
	offered  atomic.Int64 // logged in this interval, including dropped lines
	charged  atomic.Int64 // counted against the limit in this interval
	dropped  *metrics.Counter
}

// New returns a queue that writes to out. The counter nutmeg_log_lines_dropped_total in
// the set counts dropped lines; its label kind is ordinary, failed or beliefs, the class
// of lines about the state of the process.
func New(out io.Writer, set *metrics.Set) *Queue {
	q := &Queue{
		out:      out,
		ordinary: newLineClass(set, "ordinary", OrdinaryBytesPerSecond),
		failed:   newLineClass(set, "failed", FailedBytesPerSecond),
		state:    newLineClass(set, "beliefs", StateBytesPerSecond),
	}
	q.keptShare.Store(^uint32(0))
	return q
}

func newLineClass(set *metrics.Set, kind string, limit int64) lineClass {
	return lineClass{
		lines: make(chan []byte, queueCapacity), maxBytes: limit,
		dropped: set.GetOrCreateCounter(`nutmeg_log_lines_dropped_total{kind="` + kind + `"}`),
	}
}

// Run writes lines until the context ends, and then the lines still queued.
func (q *Queue) Run(ctx context.Context) {
	t := time.NewTicker(volumeInterval)
	defer t.Stop()
	for {
		select {
		case l := <-q.state.lines:
			q.write(l)
		case l := <-q.failed.lines:
			q.write(l)
		case l := <-q.ordinary.lines:
			q.write(l)
		case <-t.C:
			q.startInterval()
		case <-ctx.Done():
			q.Flush()
			return
		}
	}
}

// startInterval resets the volume counters and sets the share of requests whose lines
// are kept according to the volume of the last interval.
func (q *Queue) startInterval() {
	wanted := q.ordinary.offered.Swap(0)
	for _, c := range []*lineClass{&q.ordinary, &q.failed, &q.state} {
		c.charged.Store(0)
	}
	share := 1.0
	if wanted > q.ordinary.maxBytes {
		share = float64(q.ordinary.maxBytes) / float64(wanted)
	}
	q.keptShare.Store(uint32(share * float64(^uint32(0))))
}

// write writes a line and the lines queued after it in one call.
func (q *Queue) write(first []byte) {
	q.writeMu.Lock()
	defer q.writeMu.Unlock()
	batch := first
	for len(batch) < maxWriteBytes {
		l := q.next()
		if l == nil {
			break
		}
		batch = append(batch, l...)
	}
	_, _ = q.out.Write(batch) // an error of the log cannot be logged
}

// next returns the next queued line of the most important class, or nil.
func (q *Queue) next() []byte {
	for _, c := range []*lineClass{&q.state, &q.failed, &q.ordinary} {
		select {
		case l := <-c.lines:
			return l
		default:
		}
	}
	return nil
}

// Flush writes all queued lines.
func (q *Queue) Flush() {
	for l := q.next(); l != nil; l = q.next() {
		q.write(l)
	}
}

// enqueue queues a line, or drops it if the queue is full or the volume limit exceeded.
func (c *lineClass) enqueue(line []byte) {
	c.offered.Add(int64(len(line)))
	if c.charged.Add(int64(len(line))) > c.maxBytes {
		c.dropped.Inc()
		return
	}
	select {
	case c.lines <- line:
	default:
		c.dropped.Inc()
	}
}

// Notice logs a change of the state of the process at LevelNotice.
func Notice(l *slog.Logger, msg string, args ...any) {
	l.Log(context.Background(), LevelNotice, msg, args...)
}

// Discard is a fasthttp logger that drops all lines. The library logs the errors of its
// clients, which are counted in metrics instead.
type Discard struct{}

// Printf implements fasthttp.Logger.
func (Discard) Printf(string, ...any) {}

// Handler is a slog.Handler that formats lines as JSON and adds them to a Queue.
type Handler struct {
	queue      *Queue
	json       slog.Handler // writes to buf
	buf        *lineBuffer
	idHash     uint32 // hash of the request's id
	hasRequest bool   // WithAttrs has set a request's id
}

// Handler returns a handler for lines of at least this level.
func (q *Queue) Handler(level slog.Level) *Handler {
	buf := &lineBuffer{}
	return &Handler{queue: q, buf: buf, json: slog.NewJSONHandler(buf, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceLevelName})}
}

// replaceLevelName replaces the standard name of LevelNotice, INFO+2, by NoticeName.
func replaceLevelName(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.LevelKey && a.Value.Any() == LevelNotice {
		return slog.String(slog.LevelKey, NoticeName)
	}
	return a
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.json.Enabled(ctx, l) }

// averageLineBytes is the estimated size of a line that is dropped before it is
// formatted.
const averageLineBytes = 320

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	c := &h.queue.state
	hash, hasRequest := h.requestHash(r)
	switch {
	case r.Level <= slog.LevelInfo:
		c = &h.queue.ordinary
		if hasRequest && hash > h.queue.keptShare.Load() {
			c.offered.Add(averageLineBytes)
			c.dropped.Inc()
			return nil
		}
	case r.Level == slog.LevelWarn && hasRequest:
		c = &h.queue.failed
	}
	if c.charged.Load() > c.maxBytes {
		c.offered.Add(averageLineBytes)
		c.dropped.Inc()
		return nil
	}
	h.buf.Lock()
	h.buf.line = make([]byte, 0, 2*averageLineBytes)
	err := h.json.Handle(ctx, r)
	line := h.buf.line
	h.buf.line = nil
	h.buf.Unlock()
	if err == nil {
		c.enqueue(line)
	}
	return err
}

// requestHash returns the hash of the id of the request to which a line belongs; ok is
// false if it belongs to none.
func (h *Handler) requestHash(r slog.Record) (hash uint32, ok bool) {
	if h.hasRequest {
		return h.idHash, true
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
			n.idHash, n.hasRequest = hashID(a.Value.String()), true
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
	// The comparison with the share depends on the high bits, which vary less than the
	// low ones in FNV. The multiplication mixes the low bits into the high ones.
	return f.Sum32() * 2654435761
}

// lineBuffer receives one line from the JSON handler. Its lock is held while the handler
// runs.
type lineBuffer struct {
	sync.Mutex
	line []byte
}

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.line = append(b.line, p...)
	return len(p), nil
}
