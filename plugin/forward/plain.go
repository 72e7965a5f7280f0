package forward

import (
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/overload"
)

// maxBufferedResponse is the size up to which a response is read completely before the
// caller gets its header. Until then another attempt can replace a failed one.
const maxBufferedResponse = 1 << 20 // bytes

// plainResponse is a response that is not a stream of events.
type plainResponse struct {
	attempt  *attempt
	header   fasthttp.ResponseHeader
	buffer   *overload.Buffer
	body     []byte // the whole body, or its buffered beginning that is not yet read
	complete bool   // the body was read to its end and is in body
	finished bool   // the attempt has ended
}

// openPlainResponse reads a response of up to maxBufferedResponse bytes completely. A 5xx
// response to a request that may be retried becomes a failure with that response.
func (a *attempt) openPlainResponse() (api.ForwardResponse, *attemptFailure) {
	p := &plainResponse{attempt: a, buffer: overload.NewBuffer(a.call.fwd.responseMemory)}
	a.exchange.Resp.Header.CopyTo(&p.header)
	_, err := io.CopyN(p.buffer, a.exchange, maxBufferedResponse)
	p.body = p.buffer.Bytes()
	switch {
	case err == nil:
		return p, nil // longer: the rest is passed on as it arrives
	case err != io.EOF:
		p.buffer.Free()
		return nil, a.fail(a.readFailure("body", err))
	}
	p.complete = true
	status := p.header.StatusCode()
	if status < fasthttp.StatusInternalServerError {
		p.finish(api.AttemptServed)
		return p, nil
	}
	a.call.mayHaveRun = true
	p.finish(api.AttemptFailed)
	if !a.call.req.Route.Retryable() {
		return p, nil
	}
	return nil, &attemptFailure{outcome: api.AttemptFailed, step: "body", response: p}
}

// readFailure describes a response that could not be read to its end. If this instance
// had no memory for it, the outcome does not count against the target.
func (a *attempt) readFailure(step string, err error) *attemptFailure {
	failure := &attemptFailure{outcome: a.readOutcome(err), step: step, cause: err}
	if errors.Is(err, overload.ErrNoMemory) {
		a.call.fwd.stats.outOfMemory.Inc()
		failure.outcome = api.AttemptCancelled
	}
	return failure
}

// finish logs the end of the response and ends the attempt.
func (p *plainResponse) finish(outcome api.AttemptOutcome) {
	p.finished = true
	elapsed := p.attempt.elapsed()
	p.attempt.call.fwd.stats.responseSeconds.Update(elapsed.Seconds())
	p.attempt.call.log.Info("answered", "step", "body", "target", p.attempt.placement.Target().ID, "outcome", string(outcome),
		"status", p.header.StatusCode(), "bytes", len(p.body), "took_ms", elapsed.Milliseconds())
	p.attempt.end(outcome, outcome != api.AttemptIncomplete && outcome != api.AttemptCancelled)
}

// Header implements api.ForwardResponse.
func (p *plainResponse) Header() *fasthttp.ResponseHeader { return &p.header }

// CompleteBody implements api.ForwardResponse.
func (p *plainResponse) CompleteBody() ([]byte, bool) { return p.body, p.complete }

// Read implements api.ForwardResponse.
func (p *plainResponse) Read(b []byte) (int, error) {
	if len(p.body) > 0 {
		n := copy(b, p.body)
		p.body = p.body[n:]
		return n, nil
	}
	if p.finished {
		return 0, io.EOF
	}
	n, err := p.attempt.exchange.Read(b)
	switch {
	case err == io.EOF:
		p.finish(api.AttemptServed)
	case err != nil:
		p.finish(api.AttemptIncomplete)
	}
	return n, err
}

// Close implements api.ForwardResponse.
func (p *plainResponse) Close() error {
	if !p.finished {
		p.finish(api.AttemptCancelled)
	}
	p.buffer.Free()
	p.body = nil
	return nil
}
