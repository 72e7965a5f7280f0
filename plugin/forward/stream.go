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
	errMissingEvents  = errors.New("event numbers are missing from the stream")
	errTruncatedEvent = errors.New("the stream ended within an event")
)

// streamResponse is a response that is a stream of events. It delivers complete events,
// numbered ones exactly once and in order. If a target fails, it resumes the stream at
// another target where the route allows. It returns io.EOF only after the whole stream.
type streamResponse struct {
	call    *call
	attempt *attempt
	header  fasthttp.ResponseHeader // of the first target's response
	reader  *sse.Reader

	sequence    sse.Sequence  // of the delivered events
	delivered   int           // events with data that were delivered
	unnumbered  int           // those of them without a number since the last numbered one
	lastEventAt time.Duration // on the kernel clock
	pending     []byte        // unread bytes of the current event
	err         error         // result of Read after pending; set once, at the end of the response
}

// openStream waits for the first event, so that another attempt can replace a target that
// fails before it.
func (a *attempt) openStream() (api.ForwardResponse, *attemptFailure) {
	s := &streamResponse{call: a.call}
	a.exchange.Resp.Header.CopyTo(&s.header)
	if after, err := strconv.ParseUint(a.call.req.Fields.LastEventID, 10, 64); err == nil {
		s.sequence = sse.After(after)
	}
	s.attach(a)
	for len(s.pending) == 0 && s.err == nil {
		if err := s.readEvent(); err != nil {
			s.reader.Release()
			return nil, a.fail(a.readFailure("first event", err))
		}
	}
	a.call.log.Info("stream began", "step", "stream", "target", a.placement.Target().ID, "first_ms", a.elapsed().Milliseconds())
	return s, nil
}

// attach makes the response read its events from an attempt.
func (s *streamResponse) attach(a *attempt) {
	s.attempt, s.reader, s.lastEventAt = a, sse.NewReader(a.exchange, a.call.fwd.responseMemory), a.call.fwd.clock.Now()
}

// readOutcome returns the outcome of an attempt whose response could not be read: the caller
// disconnected, the deadline is near, or the target failed.
func (a *attempt) readOutcome(err error) api.AttemptOutcome {
	switch {
	case a.call.ctx.Err() != nil:
		return api.AttemptCancelled
	case a.call.remaining() < minAttemptTime:
		return api.AttemptTimedOut
	}
	return api.AttemptIncomplete
}

// Header implements api.ForwardResponse.
func (s *streamResponse) Header() *fasthttp.ResponseHeader { return &s.header }

// CompleteBody implements api.ForwardResponse.
func (s *streamResponse) CompleteBody() ([]byte, bool) { return nil, false }

// Read implements api.ForwardResponse.
func (s *streamResponse) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		if err := s.readEvent(); err != nil {
			s.resumeOrEnd(err)
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// readEvent reads one event from the target. At the end of the stream it sets s.err.
func (s *streamResponse) readEvent() error {
	e, err := s.reader.Next()
	if err == io.EOF {
		if s.reader.Unconsumed() > 0 {
			return errTruncatedEvent
		}
		s.finish()
		return nil
	}
	if err != nil {
		return err
	}
	now := s.call.fwd.clock.Now()
	s.call.fwd.stats.eventGapSeconds.Update((now - s.lastEventAt).Seconds())
	s.lastEventAt = now
	return s.deliver(&e)
}

// deliver checks the number of an event and makes it pending. It drops events that were
// already delivered and fails if events are missing before this one.
func (s *streamResponse) deliver(e *sse.Event) error {
	if e.HasID {
		switch s.sequence.Check(e.ID) {
		case sse.Duplicate:
			s.call.fwd.stats.duplicateEvents.Inc()
			return nil
		case sse.Missing:
			return errMissingEvents
		}
		s.unnumbered = 0
	}
	s.pending = e.Raw
	if e.HasData {
		s.delivered++
		if !e.HasID {
			s.unnumbered++
		}
		s.attempt.placement.ReportEvents(s.delivered)
	}
	return nil
}

// finish ends a complete stream.
func (s *streamResponse) finish() {
	s.err = io.EOF
	s.reader.Release()
	elapsed := s.attempt.elapsed()
	s.call.fwd.outputLengths.recordStream(s.call.req, s.delivered)
	s.call.fwd.stats.responseSeconds.Update(elapsed.Seconds())
	s.call.log.Info("answered", "step", "stream", "target", s.attempt.placement.Target().ID,
		"events", s.delivered, "took_ms", elapsed.Milliseconds())
	s.attempt.end(api.AttemptServed, true)
}

// resumeOrEnd resumes the stream at another target after a failure, or ends the response
// with an error.
func (s *streamResponse) resumeOrEnd(cause error) {
	s.reader.Release()
	s.attempt.fail(s.attempt.readFailure("stream", cause))
	for {
		if s.call.ctx.Err() != nil {
			s.err = s.call.ctx.Err()
			return
		}
		if reason := s.stopReason(); reason != "" {
			last, _ := s.sequence.Last()
			s.call.log.Warn("stream broken", "step", "stream", "events", s.delivered, "last", last, "why", reason)
			s.err = errors.WithMessage(cause, "stream broken")
			return
		}
		if s.resume() {
			return
		}
	}
}

// stopReason returns why the stream cannot be resumed at another target, or "" if it can.
func (s *streamResponse) stopReason() string {
	if s.unnumbered > 0 {
		return "the last events have no numbers" // another target would send them again
	}
	return s.call.stopReason(&attemptFailure{outcome: api.AttemptIncomplete})
}

// resume requests the rest of the stream from another target and reports whether that
// succeeded.
func (s *streamResponse) resume() bool {
	last, numbered := s.sequence.Last()
	if numbered { // otherwise no data was delivered, and the stream starts from its beginning
		s.call.lastEventID = strconv.FormatUint(last, 10)
	}
	s.call.fwd.stats.resumes.Inc()
	next, err := s.call.requestPlacement()
	if err != nil {
		s.call.log.Info("no target to resume the stream", "step", "resume", "error", err)
		// Another request for a placement would be refused too, so no further attempt is made.
		s.call.sendCount = s.call.req.Route.MaxAttempts
		return false
	}
	fields, failure := next.receiveHeader()
	if failure != nil {
		next.fail(failure)
		return false
	}
	if !isStream(s.call.req.Route, &next.exchange.Resp.Header) || !fields.Signed || fields.NotRun {
		next.fail(&attemptFailure{outcome: api.AttemptTargetFull, step: "resume",
			cause: errors.Errorf("status %d", next.exchange.Resp.StatusCode()), notRun: fields.NotRun})
		return false
	}
	next.placement.ResponseStarted()
	s.call.log.Info("stream resumed", "step", "resume", "target", next.placement.Target().ID, "last", last)
	s.sequence.Resume()
	s.attach(next)
	return true
}

// Close implements api.ForwardResponse. It cancels a stream that has not ended.
func (s *streamResponse) Close() error {
	if s.err == nil {
		s.err = errors.New("closed")
		s.reader.Release()
		s.call.log.Info("stream cancelled", "step", "stream", "target", s.attempt.placement.Target().ID, "events", s.delivered)
		s.attempt.end(api.AttemptCancelled, false)
	}
	return nil
}
