package standin

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

var errCut = errors.New("stand-in: stream cut")

// maxEventBytes bounds one event, so that a read never has to split one.
const maxEventBytes = 256

// stream produces the events of one response at the engine's pace. Read gives
// every event that is due, so a delayed reader catches up in one step.
type stream struct {
	t      *target
	w      *work
	forget func()
	seed   uint64
	prompt int
	tokens int
	sent   int // number of the last event sent
	due    time.Time
	timer  *time.Timer
	rest   []byte
}

func newStream(t *target, w *work, body []byte, tokens, from int, forget func()) *stream {
	s := &stream{t: t, w: w, forget: forget, seed: Seed(body), prompt: PromptTokens(body), tokens: tokens, sent: from}
	s.due = time.Now().Add(s.step())
	s.timer = time.NewTimer(time.Until(s.due))
	return s
}

// step returns the time of one token of the present batch.
func (s *stream) step() time.Duration {
	us := s.t.spec.PaceUs + s.t.spec.PerSequenceUs*max(0, s.t.gate.batch()-1)
	return time.Duration(float64(us) * s.t.faults.slowness() * float64(time.Microsecond))
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		if s.sent >= s.tokens+2 {
			s.end(endComplete)
			return 0, io.EOF
		}
		if !s.waitDue() {
			return 0, errCut
		}
		s.fill(len(p))
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	if len(s.rest) == 0 && s.sent >= s.tokens+2 {
		return n, io.EOF
	}
	return n, nil
}

// waitDue waits for the next token and reports false if the work was ended.
func (s *stream) waitDue() bool {
	if s.sent >= s.tokens { // the usage event follows at once after a resume
		return true
	}
	s.timer.Reset(time.Until(s.due))
	select {
	case <-s.w.cancel:
		return false
	case <-s.timer.C:
		return true
	}
}

// fill appends the events that are due. The last token brings the usage and
// [DONE] with it, and the slot is free before they are sent.
func (s *stream) fill(room int) {
	s.rest = s.rest[:0]
	step, events, now := s.step(), 0, time.Now()
	for s.sent < s.tokens && len(s.rest)+maxEventBytes < max(room, 2*maxEventBytes) && !s.due.After(now) {
		s.sent++
		events++
		s.due = s.due.Add(step)
		s.rest = appendEvent(s.rest, s.seed, s.sent, s.tokens, s.prompt)
	}
	s.addTokens(events)
	if s.t.faults.sent(events) {
		s.t.restart()
		return
	}
	if s.sent >= s.tokens {
		for s.sent < s.tokens+2 {
			s.sent++
			s.rest = appendEvent(s.rest, s.seed, s.sent, s.tokens, s.prompt)
		}
		s.end(endComplete)
	}
}

func (s *stream) addTokens(n int) {
	g := s.t.gate
	g.mu.Lock()
	g.count.Tokens += uint64(n)
	g.mu.Unlock()
}

func (s *stream) end(how ending) {
	s.timer.Stop()
	s.t.gate.finish(s.w, how)
	s.forget()
}

// Close implements io.Closer. fasthttp calls it when the connection is lost.
func (s *stream) Close() error {
	s.end(endAbandon)
	return nil
}

// wholeReader turns a stream into an unstreamed response.
type wholeReader struct {
	stream *stream
	body   []byte
	ready  bool
}

// Read implements io.Reader.
func (r *wholeReader) Read(p []byte) (int, error) {
	if !r.ready {
		s := r.stream
		for s.sent < s.tokens {
			if !s.waitDue() {
				return 0, errCut
			}
			s.fill(1 << 16)
		}
		r.body, r.ready = wholeFromSeed(s.seed, s.prompt, s.tokens), true
	}
	n := copy(p, r.body)
	r.body = r.body[n:]
	if len(r.body) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (r *wholeReader) Close() error { return r.stream.Close() }

// hold keeps a request without a response until the fault ends, the work is
// ended, or the caller closes the connection.
func (t *target) hold(ctx *fasthttp.RequestCtx, w *work) {
	gone := make(chan struct{})
	conn := ctx.Conn()
	go func() {
		defer close(gone)
		var b [1]byte
		_, _ = conn.Read(b[:])
	}()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for t.faults.isOn(FaultSilentAfter) && !ended(gone, w.cancel) {
		<-tick.C
	}
	t.gate.finish(w, endAbandon)
	drop(ctx)
	<-gone
}

func ended(a, b <-chan struct{}) bool {
	select {
	case <-a:
	case <-b:
	default:
		return false
	}
	return true
}
