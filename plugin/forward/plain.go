package forward

import (
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/overload"
)

// wholeLimit bounds the answers that are read whole before the caller gets the
// head. Until then a failed target can be replaced by another one.
const wholeLimit = 1 << 20 // bytes

// plainAnswer is an answer that is not a stream of events.
type plainAnswer struct {
	a      *attempt
	header fasthttp.ResponseHeader
	held   *overload.Buffer
	body   []byte // the whole body, or its begin
	whole  bool
	done   bool
}

// openPlain reads an answer of usual length whole. An error answer to a request
// that may be repeated becomes a fault that holds the answer.
func (a *attempt) openPlain() (api.ForwardAnswer, *fault) {
	p := &plainAnswer{a: a, held: overload.NewBuffer(a.c.f.answers)}
	a.x.Resp.Header.CopyTo(&p.header)
	_, err := io.CopyN(p.held, a.x, wholeLimit)
	p.body = p.held.Bytes()
	switch {
	case err == nil:
		return p, nil // longer; the rest is passed on as it arrives
	case err != io.EOF:
		p.held.Free()
		return nil, a.fail(a.unread("body", err))
	}
	p.whole = true
	status := p.header.StatusCode()
	if status < fasthttp.StatusInternalServerError {
		p.finish(api.WorkServed)
		return p, nil
	}
	a.c.maybe = true
	p.finish(api.WorkFailed)
	if !a.c.r.Route.Repeatable() {
		return p, nil
	}
	return nil, &fault{outcome: api.WorkFailed, step: "body", answer: p}
}

// unread is the fault of an answer that cannot be read to its end. Where this instance
// has no memory for it, it says nothing about the target.
func (a *attempt) unread(step string, err error) *fault {
	f := &fault{outcome: a.brokenBy(err), step: step, cause: err}
	if errors.Is(err, overload.ErrNoMemory) {
		a.c.f.stats.noMemory.Inc()
		f.outcome = api.WorkCancelled
	}
	return f
}

func (p *plainAnswer) finish(o api.WorkOutcome) {
	p.done = true
	took := p.a.took()
	p.a.c.f.stats.whole.Update(took.Seconds())
	p.a.c.log.Info("answered", "step", "body", "target", p.a.place.Target().ID, "outcome", string(o),
		"status", p.header.StatusCode(), "bytes", len(p.body), "took_ms", took.Milliseconds())
	p.a.end(o, o != api.WorkBroken && o != api.WorkCancelled)
}

// Header implements api.ForwardAnswer.
func (p *plainAnswer) Header() *fasthttp.ResponseHeader { return &p.header }

// Whole implements api.ForwardAnswer.
func (p *plainAnswer) Whole() ([]byte, bool) { return p.body, p.whole }

// Read implements api.ForwardAnswer.
func (p *plainAnswer) Read(b []byte) (int, error) {
	if len(p.body) > 0 {
		n := copy(b, p.body)
		p.body = p.body[n:]
		return n, nil
	}
	if p.done {
		return 0, io.EOF
	}
	n, err := p.a.x.Read(b)
	switch {
	case err == io.EOF:
		p.finish(api.WorkServed)
	case err != nil:
		p.finish(api.WorkBroken)
	}
	return n, err
}

// Close implements api.ForwardAnswer.
func (p *plainAnswer) Close() error {
	if !p.done {
		p.finish(api.WorkCancelled)
	}
	p.held.Free()
	p.body = nil
	return nil
}
