package dispatch

import (
	"bytes"
	"io"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// maxBufferedBytes is the longest body that is read completely before the caller
// receives the response header. Until then a failed target can be replaced by
// another one.
const maxBufferedBytes = 256 << 10 // bytes

// plainResponse is a response that is not the event stream of an engine.
type plainResponse struct {
	call          *call
	attempt       *attempt
	exchange      *exchange
	streamID      string // for a cancel at the engine, "" = none
	head          api.ResponseHead
	buffered      []byte // bytes read ahead, not yet delivered
	bodyStart     []byte // first bytes of the body, up to maxBufferedBytes, for usage and claims
	receivedBytes int    // of the body
	finalErr      error  // returned by Read after buffered; set once, when the response ends
}

// openPlain returns a response after reading a short body completely. A long body is
// passed through as it arrives.
func (c *call) openPlain(a *attempt, x *exchange, state targetState) (api.Response, error) {
	length := int64(x.resp.Header.ContentLength())
	if length < 0 {
		length = -1
	}
	r := &plainResponse{call: c, attempt: a, exchange: x, streamID: state.streamID, head: c.responseHeader(a, x, length)}
	if x.body == nil {
		r.head.BodyBytes = length
		r.complete()
		return r, nil
	}
	if !r.shouldReadAhead() {
		return r, nil
	}
	if err := r.readAhead(); err != nil {
		return nil, r.failBeforeHeader(err)
	}
	return r, nil
}

// shouldReadAhead reports whether the body is read before the caller receives the
// header. A body of unknown length may be a stream, so it is read ahead only if it is
// JSON.
func (r *plainResponse) shouldReadAhead() bool {
	if n := r.exchange.resp.Header.ContentLength(); n >= 0 {
		return n <= maxBufferedBytes
	}
	return mediaType(string(r.exchange.resp.Header.ContentType())) == "application/json"
}

// readAhead reads the body into buffered, up to one byte above maxBufferedBytes. The
// response is complete if the body ends there.
func (r *plainResponse) readAhead() error {
	var b bytes.Buffer
	if r.head.BodyBytes > 0 {
		b.Grow(int(r.head.BodyBytes) + bytes.MinRead) // the last Read, which returns io.EOF, needs free space, too
	}
	n, err := io.CopyN(&b, readFunc(r.readTarget), maxBufferedBytes+1)
	r.buffered = b.Bytes()
	if err == io.EOF {
		r.complete()
		r.head.BodyBytes = n
		return nil
	}
	return err
}

// readTarget reads from the target's body and copies its start to bodyStart.
func (r *plainResponse) readTarget(p []byte) (int, error) {
	n, err := r.exchange.read(p)
	r.receivedBytes += n
	if room := maxBufferedBytes - len(r.bodyStart); room > 0 && r.needsBodyStart() {
		r.bodyStart = append(r.bodyStart, p[:min(n, room)]...)
	}
	return n, err
}

// needsBodyStart reports whether the start of the body is needed, for the outcome of a
// claim or for the token usage of an engine.
func (r *plainResponse) needsBodyStart() bool {
	return r.call.claimed || r.call.pool.Kind == fleetconfig.KindEngine
}

// failBeforeHeader ends a response of which the caller has received nothing, and
// returns its fault.
func (r *plainResponse) failBeforeHeader(err error) error {
	f := &fault{step: "body", cause: err, sentBytes: r.exchange.conn.Sent}
	limits := timeLimits{headerDeadline: r.exchange.conn.RequestDeadline(), deadline: r.exchange.conn.RequestDeadline()}
	connClosed := r.exchange.conn.Failure() == io.EOF
	r.exchange.close(false)
	f.classify(limits)
	if connClosed || errors.Is(err, io.ErrUnexpectedEOF) {
		f.code = codeAnswerTruncated
	}
	r.call.cancelStream(r.attempt.grant.Address, r.streamID, r.call.prepareFailure(r.attempt, f))
	return f
}

// Head implements api.Response. The length is that of the body, or -1 if unknown.
func (r *plainResponse) Head() api.ResponseHead { return r.head }

// Read implements api.Response. For a truncated body it returns an *api.Refusal, and
// an error that the caller closed the connection if the request was cancelled.
func (r *plainResponse) Read(p []byte) (int, error) {
	if len(r.buffered) > 0 {
		n := copy(p, r.buffered)
		r.buffered = r.buffered[n:]
		return n, nil
	}
	if r.finalErr != nil {
		return 0, r.finalErr
	}
	n, err := r.readTarget(p)
	switch {
	case err == io.EOF:
		r.complete()
	case err != nil:
		r.fail(err)
	}
	if n > 0 {
		return n, nil
	}
	return 0, r.finalErr
}

// complete ends a response whose body has arrived completely.
func (r *plainResponse) complete() {
	r.finalErr = io.EOF
	r.exchange.close(true)
	r.attempt.finish(resultForStatus(r.head.Status), r.cost())
	r.settle()
	r.call.cancel()
}

// settle stores the outcome of a claimed request before the caller receives the end
// of the response, so that a retry by the caller receives it.
func (r *plainResponse) settle() {
	if !r.call.claimed {
		return
	}
	r.call.settle(claimOutcome(r.head, r.bodyStart, r.receivedBytes))
}

// cost returns the cost of a complete response in cost units, 0 if unknown.
func (r *plainResponse) cost() float64 {
	if r.call.pool.Kind != fleetconfig.KindEngine {
		return r.attempt.elapsedMs()
	}
	cost, _ := usageCost(r.bodyStart)
	return cost
}

// resultForStatus returns the result of an attempt with a complete response. The
// statuses by which targets refuse work count as failed.
func resultForStatus(status int) api.GrantResult {
	switch status {
	case 429, 502, 503, 504:
		return api.ResultFailed
	}
	return api.ResultOK
}

// fail ends an incomplete response whose start the caller has received. Later reads
// return a refusal, or errCallerDisconnected.
func (r *plainResponse) fail(cause error) {
	result := api.ResultFailed
	if r.call.workContext().Err() != nil {
		result, r.finalErr = api.ResultCancelled, errCallerDisconnected
	} else {
		r.call.stats.brokenResponses.Inc()
		r.call.d.conns.CloseIdle(r.attempt.grant.Address)
		r.attempt.failureDetail = cause.Error()
		r.call.d.recordEvent("answer", "broken", r.call, r.attempt.grant.Target, cause.Error())
		r.finalErr = &api.Refusal{
			Code: codeAnswerTruncated, Status: 502, Run: api.RunUnknown, Step: "answer",
			Peer: r.attempt.grant.Target, Message: cause.Error(),
		}
	}
	r.exchange.close(false)
	cost := r.call.serviceCost(r.attempt)
	r.call.cancelStream(r.attempt.grant.Address, r.streamID, func() { r.attempt.finish(result, cost) })
	r.call.cancel()
}

// Close implements api.Response. It cancels an incomplete response, except one of a
// plain service under a claim: that is read to its end in the background, so that a
// retry by the caller receives the stored outcome.
func (r *plainResponse) Close() error {
	if r.finalErr != nil {
		return nil
	}
	if !r.call.claimed || r.call.workContext() == r.call.ctx {
		r.call.cancel()
		r.fail(errCallerDisconnected)
		return nil
	}
	r.call.d.background.Add(1)
	go func() {
		defer r.call.d.background.Done()
		io.Copy(io.Discard, r) //nolint:errcheck // the outcome is settled or stays unknown
	}()
	return nil
}
