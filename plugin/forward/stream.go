package forward

import (
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/sse"
)

var (
	errGap  = errors.New("events are missing from the stream")
	errTorn = errors.New("the stream ended inside an event")
)

// streamAnswer is a stream of numbered events. It delivers whole events, each once
// and in order, goes on at another target where the route allows, and ends with
// io.EOF only after the whole stream.
type streamAnswer struct {
	c      *call
	a      *attempt
	header fasthttp.ResponseHeader // of the first target
	events *sse.Reader

	last     uint64 // newest delivered number
	numbered bool
	count    int // events delivered
	seenAt   time.Duration
	out      []byte // bytes to deliver before the next event
	err      error  // end of the answer, set once
}

// openStream waits for the first event, so that a target that dies before it can
// be replaced by another one.
func (a *attempt) openStream() (api.ForwardAnswer, *fault) {
	s := &streamAnswer{c: a.c}
	a.x.Resp.Header.CopyTo(&s.header)
	if after, err := strconv.ParseUint(a.c.r.Fields.After, 10, 64); err == nil {
		s.last, s.numbered = after, true
	}
	s.attach(a)
	for len(s.out) == 0 && s.err == nil {
		if err := s.step(); err != nil {
			s.events.Release()
			return nil, a.fail(a.unread("first event", err))
		}
	}
	a.c.log.Info("stream began", "step", "stream", "target", a.place.Target().ID, "first_ms", a.took().Milliseconds())
	return s, nil
}

func (s *streamAnswer) attach(a *attempt) {
	s.a, s.events, s.seenAt = a, sse.NewReader(a.x, a.c.f.answers), a.c.f.clock.Now()
}

// brokenBy tells apart a caller that left from a target that failed.
func (a *attempt) brokenBy(err error) api.WorkOutcome {
	switch {
	case a.c.ctx.Err() != nil:
		return api.WorkCancelled
	case a.c.left() < leastTime:
		return api.WorkLate
	}
	return api.WorkBroken
}

// Header implements api.ForwardAnswer.
func (s *streamAnswer) Header() *fasthttp.ResponseHeader { return &s.header }

// Whole implements api.ForwardAnswer.
func (s *streamAnswer) Whole() ([]byte, bool) { return nil, false }

// Read implements api.ForwardAnswer.
func (s *streamAnswer) Read(p []byte) (int, error) {
	for len(s.out) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		if err := s.step(); err != nil {
			s.recover(err)
		}
	}
	n := copy(p, s.out)
	s.out = s.out[n:]
	return n, nil
}

// step takes one event from the target. The end of the stream sets s.err.
func (s *streamAnswer) step() error {
	e, err := s.events.Next()
	if err == io.EOF {
		if s.events.Rest() > 0 {
			return errTorn
		}
		s.finish()
		return nil
	}
	if err != nil {
		return err
	}
	now := s.c.f.clock.Now()
	s.c.f.stats.gap.Update((now - s.seenAt).Seconds())
	s.seenAt = now
	return s.deliver(&e)
}

// deliver checks the number of an event.
func (s *streamAnswer) deliver(e *sse.Event) error {
	switch {
	case !e.HasID:
	case s.numbered && e.ID <= s.last:
		s.c.f.stats.duplicates.Inc()
		return nil
	case s.numbered && e.ID != s.last+1:
		return errGap
	default:
		s.last, s.numbered = e.ID, true
	}
	s.out = e.Raw
	if e.HasData {
		s.count++
		s.a.place.Progress(s.count)
	}
	return nil
}

// finish ends a whole stream.
func (s *streamAnswer) finish() {
	s.err = io.EOF
	s.events.Release()
	took := s.a.took()
	s.c.f.outputs.note(s.c.r, s.count)
	s.c.f.stats.whole.Update(took.Seconds())
	s.c.log.Info("answered", "step", "stream", "target", s.a.place.Target().ID, "events", s.count, "took_ms", took.Milliseconds())
	s.a.end(api.WorkServed, true)
}

// recover goes on at another target after a failure, or ends the answer.
func (s *streamAnswer) recover(cause error) {
	s.events.Release()
	s.a.fail(s.a.unread("stream", cause))
	for {
		if s.c.ctx.Err() != nil {
			s.err = s.c.ctx.Err()
			return
		}
		if why := s.stop(); why != "" {
			s.c.log.Warn("stream broken", "step", "stream", "events", s.count, "last", s.last, "why", why)
			s.err = errors.WithMessage(cause, "stream broken")
			return
		}
		if s.resume() {
			return
		}
	}
}

// stop returns why the stream cannot go on at another target, or "".
func (s *streamAnswer) stop() string {
	if !s.numbered && s.count > 0 {
		return "its events have no numbers"
	}
	return s.c.stop(&fault{outcome: api.WorkBroken})
}

// resume opens the rest of the stream at another target.
func (s *streamAnswer) resume() bool {
	if s.numbered { // else it begins anew
		s.c.after = strconv.FormatUint(s.last, 10)
	}
	s.c.f.stats.resumes.Inc()
	a, err := s.c.place()
	if err != nil {
		s.c.log.Info("no target for the rest of the stream", "step", "resume", "error", err)
		s.c.sends = s.c.r.Route.MaxAttempts // a further question would be answered alike
		return false
	}
	f, flt := a.head()
	if flt != nil {
		a.fail(flt)
		return false
	}
	if !isStream(s.c.r.Route, &a.x.Resp.Header) || !f.Signed || f.NotRun {
		a.fail(&fault{outcome: api.WorkFull, step: "resume", cause: errors.Errorf("status %d", a.x.Resp.StatusCode()), notRun: f.NotRun})
		return false
	}
	a.place.Began()
	s.c.log.Info("stream resumed", "step", "resume", "target", a.place.Target().ID, "last", s.last)
	s.attach(a)
	return true
}

// Close implements api.ForwardAnswer. It cancels a stream that has not ended.
func (s *streamAnswer) Close() error {
	if s.err == nil {
		s.err = errors.New("closed")
		s.events.Release()
		s.c.log.Info("stream cancelled", "step", "stream", "target", s.a.place.Target().ID, "events", s.count)
		s.a.end(api.WorkCancelled, false)
	}
	return nil
}
