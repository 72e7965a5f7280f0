package forward

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/exchange"
	"nutmegrouter/internal/routing"
	"nutmegrouter/internal/targetconn"
)

// Limits on the attempts of one request.
const (
	// maxUnsentAttempts limits the attempts that failed before a byte was sent. They are
	// limited separately from Route.MaxAttempts because they put no load on a target.
	maxUnsentAttempts = 4
	// maxIdleBeforeNonRetryable is how long a pooled connection may have been idle to be
	// reused for a request that must not be retried: if the target closes the connection
	// at that moment, the request is lost.
	maxIdleBeforeNonRetryable = 700 * time.Millisecond
	// minAttemptTime is the least time before the deadline that is worth an attempt.
	minAttemptTime = 20 * time.Millisecond
	// refusedRetryAfter is the RetryAfter of a request that no target accepted.
	refusedRetryAfter = 200 * time.Millisecond
)

// Codes of refusals.
const (
	codeDeadline    = "deadline"
	codeUnreachable = "target_unreachable"
	codeRefused     = "target_refused"
	codeBroken      = "target_broken"
)

// call is the state of one caller's request over all its attempts.
type call struct {
	fwd *Forwarder
	req *api.ForwardRequest
	ctx context.Context
	log *slog.Logger

	sendCount      int      // attempts that sent at least one byte of the request
	unsentAttempts int      // attempts that failed before a byte was sent
	mayHaveRun     bool     // an attempt may have run the request on a target
	triedTargets   []string // IDs of the targets of all attempts
	lastEventID    string   // ID of the last delivered event, if a stream is being resumed

	requestIdentity *api.RequestIdentity // nil until it is needed
}

// attempt is the placement of a request on one target and the exchange with it.
type attempt struct {
	call      *call
	placement api.Placement
	exchange  *exchange.Exchange
	sentAt    time.Duration // kernel-clock time of the first byte; 0 = nothing sent
	sendBegun bool          // the check before the first byte of the latest send has passed
	ended     bool
}

// attemptFailure describes why an attempt returned no usable response.
type attemptFailure struct {
	outcome api.AttemptOutcome
	step    string
	cause   error
	// notRun is true only if the target has certainly not run the request.
	notRun bool
	// response is the target's error response, which can still be passed to the caller;
	// nil if there is none.
	response *plainResponse
}

// Precheck implements api.Forwarder. Requests to plain services always pass.
func (f *Forwarder) Precheck(r *api.ForwardRequest) *api.Refusal {
	if r.Engine == nil {
		return nil
	}
	return f.placer.Precheck((&call{fwd: f, req: r}).work())
}

// ReportShed implements api.Forwarder. Requests to plain services are not counted.
func (f *Forwarder) ReportShed(r *api.ForwardRequest) {
	if r.Engine != nil {
		f.placer.ReportShed((&call{fwd: f, req: r}).work())
	}
}

// RefuseWaiting implements api.Forwarder.
func (f *Forwarder) RefuseWaiting(r *api.Refusal) { f.placer.RefuseWaiting(r) }

// Forward implements api.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, r *api.ForwardRequest) (api.ForwardResponse, error) {
	c := &call{fwd: f, req: r, ctx: ctx, log: f.log.With("request", r.ID)}
	f.retryBudget.CountRequest(r.Service, f.clock.Now())
	return c.run()
}

// run makes attempts until one returns a response or no further attempt is allowed.
func (c *call) run() (api.ForwardResponse, error) {
	for {
		att, err := c.requestPlacement()
		if err != nil {
			return nil, err
		}
		response, failure := att.open()
		if failure == nil {
			return response, nil
		}
		if err := c.callerDisconnected(failure); err != nil {
			failure.discard()
			return nil, err
		}
		if reason := c.stopReason(failure); reason != "" {
			c.log.Info("no further attempt", "step", "retry", "why", reason, "sends", c.sendCount,
				"left_ms", c.remaining().Milliseconds())
			if failure.response != nil {
				return failure.response, nil
			}
			return nil, c.refusal(failure)
		}
		failure.discard()
		c.log.Info("further attempt", "step", "retry", "after", string(failure.outcome), "sends", c.sendCount,
			"left_ms", c.remaining().Milliseconds())
	}
}

// callerDisconnected returns a non-nil error if the caller has disconnected or the
// request's context has ended.
func (c *call) callerDisconnected(failure *attemptFailure) error {
	if errors.Is(failure.cause, context.Canceled) && failure.outcome == api.AttemptUnsent {
		return context.Canceled
	}
	return c.ctx.Err()
}

// discard frees the error response, if there is one.
func (f *attemptFailure) discard() {
	if f.response != nil {
		_ = f.response.Close() // the response has been read completely
	}
}

// requestPlacement waits for a placement and starts an attempt. A refusal of the placer
// says that this attempt did not run. If an earlier attempt may have run the request, the
// refusal is replaced by one that says so.
func (c *call) requestPlacement() (*attempt, error) {
	p, err := c.fwd.placer.Place(c.ctx, c.work())
	if err == nil {
		return &attempt{call: c, placement: p}, nil
	}
	var refusal *api.Refusal
	if errors.As(err, &refusal) && c.mayHaveRun {
		return nil, c.refusalRunUnknown(refusal.Code, refusal.Message)
	}
	return nil, err
}

// work describes the request to the placer.
func (c *call) work() *api.PlacementRequest {
	w := &api.PlacementRequest{
		RequestID: c.req.ID, Workspace: c.req.Workspace, Route: c.req.Route, Service: c.req.Service, Engine: c.req.Engine, ColdPerSecond: c.req.ColdPerSecond,
		PromptTokens: c.req.Fields.PromptTokens, ExpectedOutputTokens: c.fwd.outputLengths.estimate(c.req), Prompt: c.req.Fields.Prompt,
		Objective: c.req.ReceivedAt - c.req.PriorWait + c.req.Route.Objective, Deadline: c.req.Deadline,
		TriedTargets: c.triedTargets, Resumed: c.lastEventID != "", Identity: c.identity(),
	}
	if timeout := c.req.Fields.Timeout; timeout > 0 {
		w.CallerDeadline = c.req.ReceivedAt + timeout
	}
	return w
}

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration { return c.req.Deadline - c.fwd.clock.Now() }

// stopReason returns why no attempt may follow a failed one, or "" if one may. In that
// case a retry after a send has been charged to the retry budget.
func (c *call) stopReason(failure *attemptFailure) string {
	switch {
	case c.remaining() < minAttemptTime:
		return "not enough time before the deadline"
	case failure.outcome == api.AttemptUnreachable || failure.outcome == api.AttemptUnsent:
		if c.unsentAttempts >= maxUnsentAttempts {
			return "too many attempts without a connection"
		}
		return ""
	case c.sendCount >= c.req.Route.MaxAttempts:
		return "no attempt left on the route"
	case !failure.notRun && !c.req.Route.Retryable():
		return "the request may have run and the route allows no retry"
	case !c.fwd.retryBudget.AllowRetry(c.req.Service, c.fwd.clock.Now()):
		c.fwd.stats.retriesOverBudget.Inc()
		return "the retry budget is used up"
	}
	c.fwd.stats.retries.Inc()
	return ""
}

// refusal returns the refusal for a request whose last attempt has failed.
func (c *call) refusal(failure *attemptFailure) *api.Refusal {
	switch {
	case c.mayHaveRun:
		return c.refusalRunUnknown(codeBroken, "the request failed at its target")
	case c.remaining() < minAttemptTime:
		return &api.Refusal{Code: codeDeadline, Status: fasthttp.StatusServiceUnavailable, Run: api.NotRun, Step: failure.step,
			Message: "no target took the request in time"}
	case failure.outcome == api.AttemptUnreachable || failure.outcome == api.AttemptUnsent:
		return &api.Refusal{Code: codeUnreachable, Status: fasthttp.StatusServiceUnavailable, Run: api.NotRun, Step: failure.step,
			Message: "no target accepted a connection", RetryAfter: refusedRetryAfter}
	}
	return &api.Refusal{Code: codeRefused, Status: fasthttp.StatusServiceUnavailable, Run: api.NotRun, Step: failure.step,
		Message: "the targets had no room", RetryAfter: refusedRetryAfter}
}

// refusalRunUnknown returns the refusal for a request that a target may have run. Its
// status is 502, or 504 if the deadline is too close for a further attempt.
func (c *call) refusalRunUnknown(code, message string) *api.Refusal {
	status := fasthttp.StatusBadGateway
	if c.remaining() < minAttemptTime {
		code, status = codeDeadline, fasthttp.StatusGatewayTimeout
	}
	return &api.Refusal{Code: code, Status: status, Run: api.RunUnknown, Step: "forward", Message: message}
}

// open sends the request to the target and reads the response as far as needed to decide
// whether it can be passed on.
func (a *attempt) open() (api.ForwardResponse, *attemptFailure) {
	fields, failure := a.receiveHeader()
	if failure != nil {
		return nil, a.fail(failure)
	}
	a.call.fwd.stats.headerSeconds.Update((a.call.fwd.clock.Now() - a.sentAt).Seconds())
	return a.handleResponse(fields)
}

// receiveHeader sends the request and reads the header of the response to it.
func (a *attempt) receiveHeader() (fields api.ResponseFields, failure *attemptFailure) {
	a.call.triedTargets = append(a.call.triedTargets, a.placement.Target().ID)
	if a.exchange, failure = a.connectAndSend(); failure != nil {
		return fields, failure
	}
	if fields, failure = a.matchResponse(); failure == nil {
		a.passNotice(fields)
	}
	return fields, failure
}

// passNotice passes on what the target says of itself.
func (a *attempt) passNotice(fields api.ResponseFields) {
	if fields.InvalidPause {
		a.call.fwd.stats.invalidPauses.Inc()
	}
	if fields.InvalidRateLimit {
		a.call.fwd.stats.invalidRateLimits.Inc()
	}
	if fields.WrongTarget {
		fields.Notice.RateLimit = api.RateLimit{Unknown: true} // that of another target
	}
	a.placement.ReportNotice(fields.Notice)
}

// connectAndSend sends the request over a pooled or new connection. If the target closed
// a pooled connection without sending a byte, a request that may be retried is sent again
// over a new one, if the route and the retry budget allow a further send.
func (a *attempt) connectAndSend() (*exchange.Exchange, *attemptFailure) {
	conn, failure := a.connect(false)
	if failure != nil {
		return nil, failure
	}
	exch, sendFailure := a.send(conn)
	switch {
	case sendFailure == nil:
		return exch, nil
	case !a.mayResend(sendFailure):
		return nil, a.classify(sendFailure)
	}
	exch, failure = a.resend()
	if failure != nil && failure.notRun {
		// The target may have run the request that was sent first.
		failure.outcome, failure.notRun = api.AttemptIncomplete, false
	}
	return exch, failure
}

// mayResend reports whether the request may be sent to the same target again after a failed
// send. If so, the send has been charged to the retry budget.
func (a *attempt) mayResend(sendFailure *exchange.Failure) bool {
	c := a.call
	return isStaleConnection(sendFailure) && c.req.Route.Retryable() && c.sendCount < c.req.Route.MaxAttempts &&
		c.ctx.Err() == nil && c.fwd.retryBudget.AllowRetry(c.req.Service, c.fwd.clock.Now())
}

// resend sends the request over a new connection.
func (a *attempt) resend() (*exchange.Exchange, *attemptFailure) {
	conn, failure := a.connect(true)
	if failure != nil {
		return nil, failure
	}
	exch, sendFailure := a.send(conn)
	if sendFailure != nil {
		return nil, a.classify(sendFailure)
	}
	return exch, nil
}

// isStaleConnection reports whether the target probably closed the connection while it
// was idle in the pool.
func isStaleConnection(sendFailure *exchange.Failure) bool {
	return sendFailure.Reused && sendFailure.Received == 0 && sendFailure.Sent > 0 &&
		!errors.Is(sendFailure.Cause, os.ErrDeadlineExceeded)
}

// connect returns a connection to the target: a pooled one if fresh is false and one is
// usable, a new one otherwise.
func (a *attempt) connect(fresh bool) (*targetconn.Conn, *attemptFailure) {
	f, address := a.call.fwd, a.placement.Target().Address
	if !fresh {
		limit := defaultIdleLimit
		if !a.call.req.Route.Retryable() {
			limit = maxIdleBeforeNonRetryable
		}
		if conn := f.conns.TakeIdleWithin(address, limit); conn != nil {
			f.stats.reusedConns.Inc()
			return conn, nil
		}
	}
	f.stats.newConns.Inc()
	conn, err := f.conns.Dial(a.call.ctx, address)
	if err != nil {
		outcome := api.AttemptUnreachable
		if targetconn.IsLocalError(err) || a.call.ctx.Err() != nil {
			outcome = api.AttemptUnsent
		}
		return nil, &attemptFailure{outcome: outcome, step: "connect", cause: err, notRun: true}
	}
	return conn, nil
}

// send writes the request and reads the response header, both before the deadline.
func (a *attempt) send(conn *targetconn.Conn) (*exchange.Exchange, *exchange.Failure) {
	a.sendBegun = false
	header := a.call.header(a.placement)
	defer fasthttp.ReleaseRequest(header)
	remaining := a.call.remaining()
	deadline := time.Now().Add(remaining)
	timeouts := exchange.Timeouts{IOTimeout: remaining, HeaderDeadline: deadline, Deadline: deadline}
	return exchange.Open(a.call.ctx, a.call.fwd.conns, conn,
		exchange.Request{Header: &header.Header, Body: a.call.req.Body}, timeouts, a.beforeSend)
}

// errCallerDisconnected ends an attempt whose caller has closed its connection.
var errCallerDisconnected = errors.WithMessage(context.Canceled, "the caller has disconnected")

// beforeSend runs immediately before the first byte is written. It checks the caller's
// connection directly: when the process is short of processor time, the goroutine that
// watches the connection may not have noticed a disconnect, and the target would do work
// that nobody needs.
func (a *attempt) beforeSend() error {
	if connected := a.call.req.CallerConnected; connected != nil && !connected() {
		return errCallerDisconnected
	}
	if err := a.placement.BeforeSend(); err != nil {
		return err
	}
	if a.sentAt == 0 {
		a.sentAt = a.call.fwd.clock.Now()
	}
	a.sendBegun = true
	a.call.sendCount++
	a.call.log.Info("sent", "step", "send", "target", a.placement.Target().ID, "address", a.placement.Target().Address,
		"send", a.call.sendCount, "after", a.call.lastEventID, "left_ms", a.call.remaining().Milliseconds())
	return nil
}

// header returns a request with the request line and headers for a target. The caller
// must release it with fasthttp.ReleaseRequest.
func (c *call) header(p api.Placement) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.req.Header.CopyTo(&req.Header)
	exchange.StripRequest(&req.Header)
	req.Header.SetNoDefaultContentType(true)
	c.fwd.dialect.SetTargetHeaders(&req.Header, api.TargetFields{
		Workspace: c.req.Workspace, Timeout: c.remaining(), ExpectedTarget: p.Target().ID, LastEventID: c.lastEventID,
		FetchFrom: p.FetchFrom(),
	})
	return req
}

// classify converts a failed exchange into the failure of the attempt.
func (a *attempt) classify(sendFailure *exchange.Failure) *attemptFailure {
	failure := &attemptFailure{outcome: api.AttemptIncomplete, step: sendFailure.Step, cause: sendFailure.Cause}
	switch {
	case sendFailure.Sent == 0:
		failure.outcome, failure.notRun = api.AttemptUnsent, true
		if a.sendBegun {
			failure.outcome = api.AttemptUnreachable
			a.call.sendCount--
		}
	case a.call.ctx.Err() != nil:
		failure.outcome = api.AttemptCancelled
	case errors.Is(sendFailure.Cause, os.ErrDeadlineExceeded):
		failure.outcome = api.AttemptTimedOut
	}
	return failure
}

// matchResponse skips responses to other requests and checks that the response belongs to
// this request. On a new connection, a response without a request ID is accepted.
func (a *attempt) matchResponse() (fields api.ResponseFields, failure *attemptFailure) {
	const maxStrayResponses = 4
	for range maxStrayResponses {
		fields = a.call.fwd.dialect.ParseResponse(&a.exchange.Resp.Header)
		if fields.RequestID == a.call.req.Fields.RequestID || (fields.RequestID == "" && !a.exchange.Conn.Reused) {
			return fields, nil
		}
		if fields.RequestID == "" {
			return fields, &attemptFailure{outcome: api.AttemptIncomplete, step: "head", cause: targetconn.ErrNoRequestID}
		}
		a.call.fwd.stats.strayResponses.Inc()
		a.call.log.Warn("response to another request discarded", "step", "head", "target", a.placement.Target().ID, "belongs_to", fields.RequestID)
		if err := a.exchange.SkipResponse(); err != nil {
			return fields, &attemptFailure{outcome: api.AttemptIncomplete, step: "head", cause: err}
		}
	}
	return fields, &attemptFailure{outcome: api.AttemptIncomplete, step: "head", cause: errors.New("too many responses to other requests")}
}

// handleResponse decides by the response header whether the response is passed on or the
// attempt has failed.
func (a *attempt) handleResponse(fields api.ResponseFields) (api.ForwardResponse, *attemptFailure) {
	status := a.exchange.Resp.StatusCode()
	a.exchange.Conn.IdleLimit = fields.IdleTimeout
	switch {
	case fields.NotRun:
		outcome := api.AttemptTargetFull
		switch {
		case fields.WrongTarget:
			outcome = api.AttemptWrongTarget
		case fields.Notice.Pause > 0:
			outcome = api.AttemptPaused
		}
		return nil, a.fail(&attemptFailure{outcome: outcome, step: "head",
			cause: errors.Errorf("status %d, the target has not run the request", status), notRun: true})
	case status < fasthttp.StatusOK || (status < fasthttp.StatusMultipleChoices && !fields.Signed):
		return nil, a.fail(&attemptFailure{outcome: api.AttemptIncomplete, step: "head",
			cause: errors.Errorf("status %d, response is not signed", status)})
	case statusImpliesNotRun(status) && !a.call.req.Route.Retryable():
		return nil, a.fail(&attemptFailure{outcome: api.AttemptFailed, step: "head",
			cause: errors.Errorf("status %d, but the request may have run", status)})
	case isStream(a.call.req.Route, &a.exchange.Resp.Header):
		a.placement.ResponseStarted()
		return a.openStream()
	}
	a.placement.ResponseStarted()
	return a.openPlainResponse()
}

// statusImpliesNotRun reports whether callers conclude from a status that the request has
// not run. Targets state that in a header instead, so a target's response with such a
// status must not be passed on if the request must not run twice.
func statusImpliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// isStream reports whether a response is a stream of events.
func isStream(r *routing.Route, h *fasthttp.ResponseHeader) bool {
	return r.Kind == routing.Streaming && h.StatusCode() == fasthttp.StatusOK
}

// fail ends the attempt, logs the failure and returns it.
func (a *attempt) fail(failure *attemptFailure) *attemptFailure {
	if failure.outcome == api.AttemptUnsent || failure.outcome == api.AttemptUnreachable {
		a.call.unsentAttempts++
	}
	if !failure.notRun {
		a.call.mayHaveRun = true
	}
	if failure.outcome == api.AttemptIncomplete || failure.outcome == api.AttemptTimedOut || failure.outcome == api.AttemptWrongTarget {
		a.call.fwd.conns.CloseIdle(a.placement.Target().Address)
	}
	a.call.log.Warn("attempt failed", "step", failure.step, "target", a.placement.Target().ID, "outcome", string(failure.outcome),
		"not_run", failure.notRun, "took_ms", a.elapsed().Milliseconds(), "error", failure.cause)
	a.end(failure.outcome, false)
	return failure
}

// elapsed returns the time since the first byte was sent; 0 if nothing was sent.
func (a *attempt) elapsed() time.Duration {
	if a.sentAt == 0 {
		return 0
	}
	return a.call.fwd.clock.Now() - a.sentAt
}

// end releases the target. Only the first call has an effect. The connection may return to
// the pool only if the response is complete.
func (a *attempt) end(outcome api.AttemptOutcome, complete bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.exchange != nil {
		a.exchange.Close(complete)
	}
	a.call.fwd.stats.countOutcome(a.call.req.Service, string(outcome))
	a.placement.End(outcome)
	if outcome == api.AttemptIncomplete {
		a.checkCrash()
	}
}
