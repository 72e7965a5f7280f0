package dispatch

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/sse"
)

var (
	// The text does not name the end mark, because callers search for it.
	errNoDone   = errors.New("the stream ended before its end mark")
	errSequence = errors.New("events are missing from the stream")
	errGone     = errors.New("the caller closed the connection")
)

// eventAnswer is the stream of an engine. It delivers whole events, each once
// and in order, resumes a broken stream where the engine can, and ends with
// io.EOF only after [DONE].
type eventAnswer struct {
	call *call
	slot *slot
	x    *exchange
	head api.AnswerHead

	events   *sse.Reader
	order    sequencer
	streamID string
	cost     float64
	lastSeen time.Time
	hard     time.Time // end of the request on the target

	sample []byte // start of the stream, kept under a claim
	seen   int    // bytes delivered

	out      []byte // bytes to deliver before the next event
	progress bool   // an event was delivered since the last resume
	resumes  int    // resumes in a row without progress
	err      error  // end of the answer, set once
}

// openEvents reads up to the first event, so that a target that dies before it
// can still be replaced by another one.
func (c *call) openEvents(s *slot, x *exchange, st headState) (api.Answer, error) {
	a := &eventAnswer{
		call: c, slot: s, x: x, head: c.answerHead(s, x, -1), streamID: st.streamID,
		events: sse.NewReader(readFunc(x.read), c.d.answers), lastSeen: time.Now(), hard: x.conn.Hard(),
	}
	for len(a.out) == 0 {
		if err := a.step(); err != nil {
			return nil, a.failFirst(err)
		}
	}
	return a, nil
}

// failFirst gives up a stream that delivered nothing.
func (a *eventAnswer) failFirst(err error) error {
	f := &fault{step: "first event", cause: err, sent: a.x.conn.Sent}
	a.closeExchange()
	done := a.call.ending(a.slot, f.classify(bounds{head: a.hard, hard: a.hard}))
	a.call.cancelStream(a.slot.grant.Address, a.streamID, done)
	return f
}

// Head implements api.Answer.
func (a *eventAnswer) Head() api.AnswerHead { return a.head }

// Read implements api.Answer.
func (a *eventAnswer) Read(p []byte) (int, error) {
	for len(a.out) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		if err := a.step(); err != nil {
			a.recover(err)
		}
	}
	n := copy(p, a.out)
	a.out = a.out[n:]
	return n, nil
}

// step takes one event from the target.
func (a *eventAnswer) step() error {
	e, err := a.events.Next()
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return errNoDone
	}
	if err != nil {
		return err
	}
	now := time.Now()
	a.call.stats.eventGap.Update(now.Sub(a.lastSeen).Seconds())
	a.lastSeen = now
	out, v := a.order.push(&e)
	switch v {
	case broken:
		return errSequence
	case duplicate:
		a.call.stats.dropped.Inc()
		return nil
	case held:
		return nil
	}
	if cost, ok := usageCost(e.Data); ok {
		a.cost = cost
	}
	a.out, a.progress = out, true
	a.keep(out)
	if e.Done() {
		a.finish()
	}
	return nil
}

// finish ends a whole stream. The connection is kept if the body's end has
// already arrived; waiting for it would delay the caller.
func (a *eventAnswer) finish() {
	a.err = io.EOF
	a.x.close(a.x.ended())
	a.events.Release()
	a.slot.done(api.ResultOK, a.cost)
	if a.call.claimed {
		a.call.settle(outcome(a.head, a.sample, a.seen))
	}
	a.call.cancel()
}

// keep copies the start of a stream under a claim, for its stored outcome.
func (a *eventAnswer) keep(out []byte) {
	a.seen += len(out)
	if a.call.claimed && a.seen <= maxOutcome {
		a.sample = append(a.sample, out...)
	}
}

// recover resumes the stream after a failure or ends the answer with an error.
func (a *eventAnswer) recover(cause error) {
	if a.call.ctx.Err() != nil {
		a.end(api.ResultCancelled, errGone)
		return
	}
	if a.resume(cause) {
		return
	}
	if a.call.ctx.Err() != nil {
		a.end(api.ResultCancelled, errGone)
		return
	}
	a.call.stats.broken.Inc()
	a.slot.detail = cause.Error()
	a.call.d.record("stream", "broken", a.call, a.slot.grant.Target, cause.Error())
	a.end(api.ResultFailed, &api.Refusal{
		Code: codeBroken, Status: 502, Run: api.RunUnknown, Step: "stream",
		Peer: a.slot.grant.Target, Message: cause.Error(), RetryAfter: retryAdvice,
	})
}

// end gives up a stream that is not whole.
func (a *eventAnswer) end(result api.Result, err error) {
	if a.err != nil {
		return
	}
	a.err = err
	a.closeExchange()
	a.call.cancel()
	if result == api.ResultFailed {
		a.call.d.conns.Drop(a.slot.grant.Address)
	}
	a.call.cancelStream(a.slot.grant.Address, a.streamID, func() { a.slot.done(result, a.cost) })
}

func (a *eventAnswer) closeExchange() {
	if a.x != nil {
		a.x.close(false)
		a.x = nil
		a.events.Release()
	}
}

// Close implements api.Answer. A stream that has not ended is cancelled at the
// engine before its slot is freed.
func (a *eventAnswer) Close() error {
	a.end(api.ResultCancelled, errGone)
	return nil
}

// readFunc makes a function an io.Reader.
type readFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readFunc) Read(p []byte) (int, error) { return f(p) }
