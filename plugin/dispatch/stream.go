package dispatch

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/sse"
)

var (
	// The text does not contain the end mark, because callers search the stream for it.
	errNoEndMark          = errors.New("the stream ended before its end mark")
	errMissingEvents      = errors.New("events are missing from the stream")
	errCallerDisconnected = errors.New("the caller closed the connection")
)

// streamResponse is the event stream of an engine. It delivers complete events, each
// once and in order, resumes an interrupted stream if the engine supports that, and
// returns io.EOF only after [DONE].
type streamResponse struct {
	call     *call
	attempt  *attempt
	exchange *exchange
	head     api.ResponseHead

	reader      *sse.Reader
	sequencer   sequencer
	streamID    string
	cost        float64
	lastEventAt time.Time
	deadline    time.Time // of the whole request on the target

	bodyStart      []byte // first delivered bytes, kept for the outcome of a claim
	deliveredBytes int

	pending                []byte // to deliver before the next event is read
	deliveredSinceResume   bool   // whether an event was delivered since the last resume
	resumesWithoutProgress int    // consecutive resumes without a delivered event
	finalErr               error  // returned by Read after pending; set once, when the stream ends
}

// openStream returns the response after it has read the first event. A target that
// fails before its first event can thus still be replaced by another one.
func (c *call) openStream(a *attempt, x *exchange, state targetState) (api.Response, error) {
	r := &streamResponse{
		call: c, attempt: a, exchange: x, head: c.responseHeader(a, x, -1), streamID: state.streamID,
		reader: sse.NewReader(readFunc(x.read), c.d.eventMemory), lastEventAt: time.Now(), deadline: x.conn.RequestDeadline(),
	}
	for len(r.pending) == 0 {
		if err := r.readEvent(); err != nil {
			return nil, r.failBeforeFirstEvent(err)
		}
	}
	return r, nil
}

// failBeforeFirstEvent cancels a stream that delivered no event and returns its
// fault.
func (r *streamResponse) failBeforeFirstEvent(err error) error {
	f := &fault{step: "first event", cause: err, sentBytes: r.exchange.conn.Sent}
	r.closeExchange()
	done := r.call.prepareFailure(r.attempt, f.classify(timeLimits{headerDeadline: r.deadline, deadline: r.deadline}))
	r.call.cancelStream(r.attempt.grant.Address, r.streamID, done)
	return f
}

// Head implements api.Response. The length of a stream is unknown (-1).
func (r *streamResponse) Head() api.ResponseHead { return r.head }

// Read implements api.Response. It blocks until an event can be delivered. If the
// stream is broken and cannot be resumed it returns an *api.Refusal, and an error that
// the caller closed the connection if the request was cancelled.
func (r *streamResponse) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.finalErr != nil {
			return 0, r.finalErr
		}
		if err := r.readEvent(); err != nil {
			r.resumeOrFail(err)
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// readEvent reads one event from the target and sets pending to the bytes that can be
// delivered now, if any.
func (r *streamResponse) readEvent() error {
	e, err := r.reader.Next()
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return errNoEndMark
	}
	if err != nil {
		return err
	}
	now := time.Now()
	r.call.stats.eventGapSeconds.Update(now.Sub(r.lastEventAt).Seconds())
	r.lastEventAt = now
	deliverable, v := r.sequencer.push(&e)
	switch v {
	case verdictBroken:
		return errMissingEvents
	case verdictDuplicate:
		r.call.stats.duplicateEvents.Inc()
		return nil
	case verdictEarly:
		return nil
	}
	if cost, ok := usageCost(e.Data); ok {
		r.cost = cost
	}
	r.pending, r.deliveredSinceResume = deliverable, true
	r.keepBodyStart(deliverable)
	if e.Done() {
		r.complete()
	}
	return nil
}

// complete ends a stream after [DONE]. The connection is kept only if the end of the
// body has already arrived, because waiting for it would delay the caller.
func (r *streamResponse) complete() {
	r.finalErr = io.EOF
	r.exchange.close(r.exchange.endReceived())
	r.reader.Release()
	r.attempt.finish(api.ResultOK, r.cost)
	if r.call.claimed {
		r.call.settle(claimOutcome(r.head, r.bodyStart, r.deliveredBytes))
	}
	r.call.cancel()
}

// keepBodyStart copies the start of a claimed stream for the stored outcome.
func (r *streamResponse) keepBodyStart(out []byte) {
	r.deliveredBytes += len(out)
	if r.call.claimed && r.deliveredBytes <= maxOutcomeBytes {
		r.bodyStart = append(r.bodyStart, out...)
	}
}

// resumeOrFail resumes the stream after a failure, or aborts it if the caller has
// disconnected or the resume fails.
func (r *streamResponse) resumeOrFail(cause error) {
	if r.call.ctx.Err() != nil {
		r.abort(api.ResultCancelled, errCallerDisconnected)
		return
	}
	if r.resume(cause) {
		return
	}
	if r.call.ctx.Err() != nil {
		r.abort(api.ResultCancelled, errCallerDisconnected)
		return
	}
	r.call.stats.brokenResponses.Inc()
	r.attempt.failureDetail = cause.Error()
	r.call.d.recordEvent("stream", "broken", r.call, r.attempt.grant.Target, cause.Error())
	r.abort(api.ResultFailed, &api.Refusal{
		Code: codeStreamBroken, Status: 502, Run: api.RunUnknown, Step: "stream",
		Peer: r.attempt.grant.Target, Message: cause.Error(), RetryAfter: retryAfter,
	})
}

// abort ends an incomplete stream: it cancels the stream at the engine, and then
// reports the outcome. err is returned by later reads.
func (r *streamResponse) abort(result api.GrantResult, err error) {
	if r.finalErr != nil {
		return
	}
	r.finalErr = err
	r.closeExchange()
	r.call.cancel()
	if result == api.ResultFailed {
		r.call.d.conns.CloseIdle(r.attempt.grant.Address)
	}
	r.call.cancelStream(r.attempt.grant.Address, r.streamID, func() { r.attempt.finish(result, r.cost) })
}

// closeExchange closes the connection to the target and frees the read buffer.
func (r *streamResponse) closeExchange() {
	if r.exchange != nil {
		r.exchange.close(false)
		r.exchange = nil
		r.reader.Release()
	}
}

// Close implements api.Response. An incomplete stream is cancelled at the engine
// before the engine's slot is freed.
func (r *streamResponse) Close() error {
	r.abort(api.ResultCancelled, errCallerDisconnected)
	return nil
}

// readFunc adapts a function to io.Reader.
type readFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readFunc) Read(p []byte) (int, error) { return f(p) }
