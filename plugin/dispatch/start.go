package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/targetconn"
)

// start sends the request on a grant and returns the answer once its start is
// known. Every failure ends the work on the grant.
func (c *call) start(s *slot) (api.Answer, error) {
	x, f := c.exchange(s)
	if f != nil {
		return nil, c.failed(s, f)
	}
	st := x.state()
	s.confirm(st)
	c.stats.head.Update(time.Since(s.sentAt).Seconds())
	status := x.resp.StatusCode()
	if status < fasthttp.StatusOK {
		x.close(false)
		return nil, c.failed(s, &fault{code: codeFailed, step: "head", status: 502, sent: 1, cause: statusError(status)})
	}
	if c.repeatable(status) {
		x.close(false)
		return nil, c.failed(s, &fault{code: codeFailed, step: "head", status: status, sent: 1, cause: statusError(status)})
	}
	if isEvents(x) && c.pool.Kind == fleetconfig.KindEngine {
		return c.openEvents(s, x, st)
	}
	return c.openPlain(s, x, st)
}

// exchange sends the request, once more on a fresh connection if a reused one
// turned out to be closed by the target.
func (c *call) exchange(s *slot) (*exchange, *fault) {
	m, b, ctx := c.message(s.grant), c.bounds(), c.workContext()
	check := func() error { return c.permitStart(s) }
	x, f := c.d.open(ctx, m, c.req.NonIdempotent, b, check)
	if f != nil && f.stale() && !c.req.NonIdempotent && ctx.Err() == nil {
		c.note(f)
		c.d.conns.Drop(m.host)
		x, f = c.d.open(ctx, m, true, b, check)
	}
	if f != nil {
		c.note(f)
		return nil, f.classify(b)
	}
	c.touched = true
	c.sends++
	return x, nil
}

// permitStart is called immediately before the first byte of a request.
func (c *call) permitStart(s *slot) error {
	if err := c.d.permit(s.grant.Target); err != nil {
		return err
	}
	c.stats.started.Inc()
	s.sentAt = time.Now()
	return nil
}

// note keeps whether a failed exchange may have reached the target.
func (c *call) note(f *fault) {
	if f.sent > 0 {
		c.touched = true
		c.sends++
	}
}

// failed ends the work on a grant after a fault.
func (c *call) failed(s *slot, f *fault) error {
	c.ending(s, f)()
	return f
}

// ending returns the function that ends the work on a grant after a fault.
func (c *call) ending(s *slot, f *fault) (done func()) {
	f.target = s.grant.Target
	s.detail = f.Error()
	gone := c.workContext().Err() != nil
	result, cost := api.ResultFailed, c.serviceCost(s)
	switch {
	case f.sent == 0 && (gone || f.code == codeNotStarted || targetconn.LocalFault(f.cause)):
		result, cost = api.ResultNotStarted, 0
	case gone:
		result = api.ResultCancelled
	default:
		c.d.conns.Drop(s.grant.Address)
	}
	return func() { s.done(result, cost) }
}

// serviceCost returns the cost of a plain service's work; the cost of an
// engine's work is known only from its usage event.
func (c *call) serviceCost(s *slot) float64 {
	if c.pool.Kind == fleetconfig.KindEngine {
		return 0
	}
	return s.elapsed()
}

// repeatable reports whether an answer with this status is given up for another
// attempt: the target refused the work and the request may be repeated. The
// last allowed attempt passes the answer on.
func (c *call) repeatable(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable:
		return !c.req.NonIdempotent && c.sends < maxSends && !c.expired()
	}
	return false
}

// workContext ends when work on a target must end. A plain service cannot
// be cancelled, so its work under a claim goes on after the caller went away and
// a resend receives the stored outcome.
func (c *call) workContext() context.Context {
	if c.claimed && c.pool.Kind != fleetconfig.KindEngine {
		return context.WithoutCancel(c.ctx)
	}
	return c.ctx
}

func (c *call) bounds() bounds {
	hard := time.Now().Add(c.pool.RequestLimit())
	b := bounds{silence: c.pool.SilenceLimit(), head: hard, hard: hard}
	if c.req.Deadline > 0 {
		if t := time.Now().Add(c.deadline() - c.d.clock.Now()); t.Before(hard) {
			b.head = t
		}
	}
	return b
}

func (c *call) message(g api.Grant) *message {
	return &message{
		method: c.req.Method, path: c.req.Path, host: g.Address,
		header: c.req.Header, body: c.req.Body,
	}
}

func isEvents(x *exchange) bool {
	return mediaType(string(x.resp.Header.ContentType())) == "text/event-stream"
}

// mediaType returns the lower-case media type without parameters.
func mediaType(s string) string {
	s, _, _ = strings.Cut(s, ";")
	return strings.ToLower(strings.TrimSpace(s))
}

type statusError int

// Error implements error.
func (e statusError) Error() string {
	return "the target refused the request with status " + fasthttp.StatusMessage(int(e))
}
