package standin

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

var errCut = errors.New("stand-in: work ended before the response was complete")

// maxEventBytes is an upper bound on the size of one event. appendDue adds an event only
// if that much of the read buffer is left.
const maxEventBytes = 256

// stream generates the events of one response at the engine's token rate. Read returns
// every event that is due, so that a delayed reader catches up in one call.
type stream struct {
	target       *target
	work         *work
	onEnd        func()
	seed         uint64
	promptTokens int
	tokens       int
	lastSent     int // number of the last event generated
	nextDue      time.Time
	timer        *time.Timer
	pending      []byte
}

func newStream(t *target, w *work, body []byte, tokens, lastEvent int, onEnd func()) *stream {
	s := &stream{target: t, work: w, onEnd: onEnd, seed: Seed(body), promptTokens: PromptTokens(body), tokens: tokens, lastSent: lastEvent}
	s.nextDue = time.Now().Add(s.tokenInterval())
	s.timer = time.NewTimer(time.Until(s.nextDue))
	return s
}

// tokenInterval returns the time per token at the present batch size.
func (s *stream) tokenInterval() time.Duration {
	us := s.target.spec.PaceUs + s.target.spec.PerSequenceUs*max(0, s.target.admission.batchSize()-1)
	return time.Duration(float64(us) * s.target.faults.slowFactor() * float64(time.Microsecond))
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.lastSent >= s.tokens+2 {
			s.finish(outcomeCompleted)
			return 0, io.EOF
		}
		if !s.waitForToken() {
			return 0, errCut
		}
		s.appendDue(len(p))
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	if len(s.pending) == 0 && s.lastSent >= s.tokens+2 {
		return n, io.EOF
	}
	return n, nil
}

// waitForToken waits until the next token is due. It returns false if the work was ended.
func (s *stream) waitForToken() bool {
	if s.lastSent >= s.tokens { // on a resume after the last token, usage follows at once
		return true
	}
	s.timer.Reset(time.Until(s.nextDue))
	select {
	case <-s.work.cancel:
		return false
	case <-s.timer.C:
		return true
	}
}

// appendDue refills pending with the events that are due, up to about maxBytes. The usage
// and [DONE] events follow the last token at once. The slot is freed before they are sent.
func (s *stream) appendDue(maxBytes int) {
	s.pending = s.pending[:0]
	interval, events, now := s.tokenInterval(), 0, time.Now()
	for s.lastSent < s.tokens && len(s.pending)+maxEventBytes < max(maxBytes, 2*maxEventBytes) && !s.nextDue.After(now) {
		s.lastSent++
		events++
		s.nextDue = s.nextDue.Add(interval)
		s.pending = appendEvent(s.pending, s.seed, s.lastSent, s.tokens, s.promptTokens)
	}
	s.countTokens(events)
	if s.target.faults.countEvents(events) {
		s.target.restart()
		return
	}
	if s.lastSent >= s.tokens {
		for s.lastSent < s.tokens+2 {
			s.lastSent++
			s.pending = appendEvent(s.pending, s.seed, s.lastSent, s.tokens, s.promptTokens)
		}
		s.finish(outcomeCompleted)
	}
}

func (s *stream) countTokens(n int) {
	a := s.target.admission
	a.mu.Lock()
	a.counters.Tokens += uint64(n)
	a.mu.Unlock()
}

func (s *stream) finish(result outcome) {
	s.timer.Stop()
	s.target.admission.finish(s.work, result)
	s.onEnd()
}

// Close implements io.Closer. fasthttp calls it at the end of the response, also if the
// connection was lost.
func (s *stream) Close() error {
	s.finish(outcomeAbandoned)
	return nil
}

// unstreamedReader waits for all tokens of a stream and returns the unstreamed response.
type unstreamedReader struct {
	stream *stream
	body   []byte
	ready  bool
}

// Read implements io.Reader.
func (r *unstreamedReader) Read(p []byte) (int, error) {
	if !r.ready {
		s := r.stream
		for s.lastSent < s.tokens {
			if !s.waitForToken() {
				return 0, errCut
			}
			s.appendDue(1 << 16)
		}
		r.body, r.ready = unstreamedFromSeed(s.seed, s.promptTokens, s.tokens), true
	}
	n := copy(p, r.body)
	r.body = r.body[n:]
	if len(r.body) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (r *unstreamedReader) Close() error { return r.stream.Close() }

// holdResponse keeps a request without a response until the fault ends, the work is
// ended, or the caller disconnects, and then closes the connection.
func (t *target) holdResponse(ctx *fasthttp.RequestCtx, w *work) {
	disconnected := make(chan struct{})
	conn := ctx.Conn()
	go func() {
		defer close(disconnected)
		var b [1]byte
		_, _ = conn.Read(b[:])
	}()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for t.faults.isActive(FaultSilentAfter) && !anyClosed(disconnected, w.cancel) {
		<-tick.C
	}
	t.admission.finish(w, outcomeAbandoned)
	abort(ctx)
	<-disconnected
}

// anyClosed reports whether at least one of the channels is closed.
func anyClosed(a, b <-chan struct{}) bool {
	select {
	case <-a:
	case <-b:
	default:
		return false
	}
	return true
}
