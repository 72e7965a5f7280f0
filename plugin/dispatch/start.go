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

// start sends the request to the granted target and returns the response once its
// header is known, and its body or first event where that is read ahead. After a
// failure the outcome of the attempt has been reported, or will be once the target
// has confirmed the cancellation.
func (c *call) start(a *attempt) (api.Response, error) {
	x, f := c.exchange(a)
	if f != nil {
		return nil, c.reportFailure(a, f)
	}
	state := x.targetState()
	a.confirm(state)
	c.stats.headerSeconds.Update(time.Since(a.sentAt).Seconds())
	status := x.resp.StatusCode()
	if status < fasthttp.StatusOK {
		x.close(false)
		return nil, c.reportFailure(a, &fault{code: codeTargetFailed, step: "head", status: 502, sentBytes: 1, cause: statusError(status)})
	}
	if c.retryableStatus(status) {
		x.close(false)
		return nil, c.reportFailure(a, &fault{code: codeTargetFailed, step: "head", status: status, sentBytes: 1, cause: statusError(status)})
	}
	if isEventStream(x) && c.pool.Kind == fleetconfig.KindEngine {
		return c.openStream(a, x, state)
	}
	return c.openPlain(a, x, state)
}

// exchange sends the request and reads the response header. If the target had
// closed a reused connection, it sends an idempotent request once more, on a new
// connection, unless that would exceed maxSends.
func (c *call) exchange(a *attempt) (*exchange, *fault) {
	m, limits, ctx := c.targetRequest(a.grant), c.timeLimits(), c.workContext()
	check := func() error { return c.beginSend(a) }
	x, f := c.d.open(ctx, m, c.req.NonIdempotent, limits, check)
	sentBefore := int64(0)
	if f != nil && f.staleConnection() && !c.req.NonIdempotent && c.sends+1 < maxSends && ctx.Err() == nil {
		c.countSend(f)
		sentBefore = f.sentBytes
		c.d.conns.CloseIdle(m.host)
		x, f = c.d.open(ctx, m, true, limits, check)
	}
	if f != nil {
		c.countSend(f)
		f.sentBytes = max(f.sentBytes, sentBefore) // the target may have run the first send
		return nil, f.classify(limits)
	}
	c.mayHaveRun = true
	c.sends++
	return x, nil
}

// beginSend runs immediately before the first byte of a request is written. It
// returns an error if the request must not be sent.
func (c *call) beginSend(a *attempt) error {
	if err := c.d.checkTarget(a.grant.Target); err != nil {
		return err
	}
	c.stats.started.Inc()
	a.sentAt = time.Now()
	return nil
}

// countSend counts a failed exchange as a send if a byte may have reached the
// target.
func (c *call) countSend(f *fault) {
	if f.sentBytes > 0 {
		c.mayHaveRun = true
		c.sends++
	}
}

// reportFailure reports the outcome of an attempt that failed with f and returns f.
func (c *call) reportFailure(a *attempt, f *fault) error {
	c.prepareFailure(a, f)()
	return f
}

// prepareFailure derives the outcome of an attempt that failed with f. It returns
// the function that reports the outcome to the scheduler. A failure of the target
// also closes the idle connections to it.
func (c *call) prepareFailure(a *attempt, f *fault) (report func()) {
	f.target = a.grant.Target
	a.failureDetail = f.Error()
	cancelled := c.workContext().Err() != nil
	result, cost := api.ResultFailed, c.serviceCost(a)
	switch {
	case f.sentBytes == 0 && (cancelled || f.code == codeNotStarted || targetconn.IsLocalError(f.cause)):
		result, cost = api.ResultNotStarted, 0
	case cancelled:
		result = api.ResultCancelled
	default:
		c.d.conns.CloseIdle(a.grant.Address)
	}
	return func() { a.finish(result, cost) }
}

// serviceCost returns the cost of an attempt on a plain service in milliseconds.
// It returns 0 for an engine, whose cost is known only from its usage event.
func (c *call) serviceCost(a *attempt) float64 {
	if c.pool.Kind == fleetconfig.KindEngine {
		return 0
	}
	return a.elapsedMs()
}

// retryableStatus reports whether a response with this status is dropped and the
// request is retried: the target refused it, and another send is allowed. The
// response to the last allowed send is passed on.
func (c *call) retryableStatus(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable:
		return !c.req.NonIdempotent && c.sends < maxSends && !c.deadlinePassed()
	}
	return false
}

// workContext returns the context of the exchange with the target. A plain service
// cannot be cancelled, so a claimed request to one continues after the caller has
// disconnected, and a retry by the caller receives the stored outcome.
func (c *call) workContext() context.Context {
	if c.claimed && c.pool.Kind != fleetconfig.KindEngine {
		return context.WithoutCancel(c.ctx)
	}
	return c.ctx
}

// timeLimits returns the limits of an exchange that starts now.
func (c *call) timeLimits() timeLimits {
	deadline := time.Now().Add(c.pool.RequestLimit())
	limits := timeLimits{ioTimeout: c.pool.SilenceLimit(), headerDeadline: deadline, deadline: deadline}
	if c.req.ResponseTimeout > 0 {
		if t := time.Now().Add(c.deadline() - c.d.clock.Now()); t.Before(deadline) {
			limits.headerDeadline = t
		}
	}
	return limits
}

// targetRequest returns the request to send to the granted target.
func (c *call) targetRequest(g api.Grant) *targetRequest {
	return &targetRequest{
		method: c.req.Method, path: c.req.Path, host: g.Address,
		header: c.req.Header, body: c.req.Body,
	}
}

func isEventStream(x *exchange) bool {
	return mediaType(string(x.resp.Header.ContentType())) == "text/event-stream"
}

// mediaType returns the lower-case media type without parameters.
func mediaType(s string) string {
	s, _, _ = strings.Cut(s, ";")
	return strings.ToLower(strings.TrimSpace(s))
}

// statusError is a response status by which a target refused a request.
type statusError int

// Error implements error.
func (e statusError) Error() string {
	return "the target refused the request with status " + fasthttp.StatusMessage(int(e))
}
