package dispatch

import (
	"bytes"
	"io"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// bufferLimit bounds the answers that are read whole before the caller gets the
// head. Until then a failed target can be replaced by another one.
const bufferLimit = 256 << 10 // bytes

// plainAnswer is an answer that is not an engine's event stream.
type plainAnswer struct {
	call   *call
	slot   *slot
	x      *exchange
	id     string // under which an engine can cancel the work, "" = none
	head   api.AnswerHead
	prefix []byte // bytes read before Do returned
	sample []byte // start of the body, kept for usage and claims
	seen   int    // body bytes read
	err    error  // end of the answer, set once
}

// openPlain reads a short answer whole and passes a long one through.
func (c *call) openPlain(s *slot, x *exchange, st headState) (api.Answer, error) {
	length := int64(x.resp.Header.ContentLength())
	if length < 0 {
		length = -1
	}
	a := &plainAnswer{call: c, slot: s, x: x, id: st.streamID, head: c.answerHead(s, x, length)}
	if x.body == nil {
		a.head.Length = length
		a.finish()
		return a, nil
	}
	if !a.buffered() {
		return a, nil
	}
	if err := a.readAhead(); err != nil {
		return nil, a.failFirst(err)
	}
	return a, nil
}

// buffered reports whether the body is read before the caller gets the head.
// A body of unknown length may be a stream, so only JSON is waited for.
func (a *plainAnswer) buffered() bool {
	if n := a.x.resp.Header.ContentLength(); n >= 0 {
		return n <= bufferLimit
	}
	return mediaType(string(a.x.resp.Header.ContentType())) == "application/json"
}

// readAhead reads up to the buffer's limit.
func (a *plainAnswer) readAhead() error {
	var b bytes.Buffer
	if a.head.Length > 0 {
		b.Grow(int(a.head.Length) + bytes.MinRead) // one more read finds the end
	}
	n, err := io.CopyN(&b, readFunc(a.source), bufferLimit+1)
	a.prefix = b.Bytes()
	if err == io.EOF {
		a.finish()
		a.head.Length = n
		return nil
	}
	return err
}

// source reads from the target and keeps the start of the body.
func (a *plainAnswer) source(p []byte) (int, error) {
	n, err := a.x.read(p)
	a.seen += n
	if room := bufferLimit - len(a.sample); room > 0 && a.keepsSample() {
		a.sample = append(a.sample, p[:min(n, room)]...)
	}
	return n, err
}

func (a *plainAnswer) keepsSample() bool {
	return a.call.claimed || a.call.pool.Kind == fleetconfig.KindEngine
}

// failFirst gives up an answer of which the caller has received nothing.
func (a *plainAnswer) failFirst(err error) error {
	f := &fault{step: "body", cause: err, sent: a.x.conn.Sent}
	b := bounds{head: a.x.conn.Hard(), hard: a.x.conn.Hard()}
	ended := a.x.conn.Failure() == io.EOF
	a.x.close(false)
	f.classify(b)
	if ended || errors.Is(err, io.ErrUnexpectedEOF) {
		f.code = codeTruncated
	}
	a.call.cancelStream(a.slot.grant.Address, a.id, a.call.ending(a.slot, f))
	return f
}

// Head implements api.Answer.
func (a *plainAnswer) Head() api.AnswerHead { return a.head }

// Read implements api.Answer.
func (a *plainAnswer) Read(p []byte) (int, error) {
	if len(a.prefix) > 0 {
		n := copy(p, a.prefix)
		a.prefix = a.prefix[n:]
		return n, nil
	}
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.source(p)
	switch {
	case err == io.EOF:
		a.finish()
	case err != nil:
		a.broken(err)
	}
	if n > 0 {
		return n, nil
	}
	return 0, a.err
}

// finish ends a whole answer.
func (a *plainAnswer) finish() {
	a.err = io.EOF
	a.x.close(true)
	a.slot.done(resultOf(a.head.Status), a.cost())
	a.settle()
	a.call.cancel()
}

// settle stores the outcome of a claimed request before the caller gets the
// end of the answer, so that a resend finds it.
func (a *plainAnswer) settle() {
	if !a.call.claimed {
		return
	}
	a.call.settle(outcome(a.head, a.sample, a.seen))
}

func (a *plainAnswer) cost() float64 {
	if a.call.pool.Kind != fleetconfig.KindEngine {
		return a.slot.elapsed()
	}
	cost, _ := usageCost(a.sample)
	return cost
}

// resultOf tells whether a whole answer was the target's refusal of work.
func resultOf(status int) api.Result {
	switch status {
	case 429, 502, 503, 504:
		return api.ResultFailed
	}
	return api.ResultOK
}

// broken ends an answer that is not whole after the caller got its start.
func (a *plainAnswer) broken(cause error) {
	result := api.ResultFailed
	if a.call.workContext().Err() != nil {
		result, a.err = api.ResultCancelled, errGone
	} else {
		a.call.stats.broken.Inc()
		a.call.d.conns.Drop(a.slot.grant.Address)
		a.slot.detail = cause.Error()
		a.call.d.record("answer", "broken", a.call, a.slot.grant.Target, cause.Error())
		a.err = &api.Refusal{
			Code: codeTruncated, Status: 502, Run: api.RunUnknown, Step: "answer",
			Peer: a.slot.grant.Target, Message: cause.Error(),
		}
	}
	a.x.close(false)
	cost := a.call.serviceCost(a.slot)
	a.call.cancelStream(a.slot.grant.Address, a.id, func() { a.slot.done(result, cost) })
	a.call.cancel()
}

// Close implements api.Answer. An answer under a claim is read to its end in
// the background, so that a resend receives the stored outcome.
func (a *plainAnswer) Close() error {
	if a.err != nil {
		return nil
	}
	if !a.call.claimed || a.call.workContext() == a.call.ctx {
		a.call.cancel()
		a.broken(errGone)
		return nil
	}
	a.call.d.background.Add(1)
	go func() {
		defer a.call.d.background.Done()
		io.Copy(io.Discard, a) //nolint:errcheck // the outcome is settled or stays unknown
	}()
	return nil
}
