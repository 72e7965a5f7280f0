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

// Bounds of the attempts of one request.
const (
	// maxUnsent bounds the attempts that sent nothing. They cost a target nothing.
	maxUnsent = 4
	// freshFor is how long a kept connection is used again for a request that must
	// not be repeated: one that the target closes meanwhile would lose the request.
	freshFor = 700 * time.Millisecond
	// leastTime is the time below which a further attempt is of no use.
	leastTime = 20 * time.Millisecond
	// comeBack is the advice after an attempt that a target has refused.
	comeBack = 200 * time.Millisecond
)

// Codes of refusals.
const (
	codeDeadline    = "deadline"
	codeUnreachable = "target_unreachable"
	codeRefused     = "target_refused"
	codeBroken      = "target_broken"
)

// call is one request of a caller across its attempts.
type call struct {
	f   *Forwarder
	r   *api.ForwardRequest
	ctx context.Context
	log *slog.Logger

	sends  int      // targets to which at least a byte was sent
	unsent int      // attempts that sent nothing
	maybe  bool     // a target may have run the request
	tried  []string // targets
	after  string   // last event delivered, for a resumed stream
}

// attempt is the use of one target.
type attempt struct {
	c     *call
	place api.Placement
	x     *exchange.Exchange
	sent  time.Duration // when the first byte was written; 0 = not yet
	ended bool
}

// fault is the failure of an attempt.
type fault struct {
	outcome api.WorkOutcome
	step    string
	cause   error
	// notRun reports that the target certainly has not run the request.
	notRun bool
	// answer is an error answer of the target that can be passed on.
	answer *plainAnswer
}

// Precheck implements api.Forwarder.
func (f *Forwarder) Precheck(r *api.ForwardRequest) *api.Refusal {
	if r.Engine == nil {
		return nil
	}
	return f.placer.Precheck((&call{f: f, r: r}).work())
}

// TurnedAway implements api.Forwarder.
func (f *Forwarder) TurnedAway(r *api.ForwardRequest) {
	if r.Engine != nil {
		f.placer.TurnedAway((&call{f: f, r: r}).work())
	}
}

// Forward implements api.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, r *api.ForwardRequest) (api.ForwardAnswer, error) {
	c := &call{f: f, r: r, ctx: ctx, log: f.log.With("request", r.ID)}
	f.budget.Request(r.Service, f.clock.Now())
	return c.run()
}

// run makes attempts until one gives an answer or no further one is allowed.
func (c *call) run() (api.ForwardAnswer, error) {
	for {
		a, err := c.place()
		if err != nil {
			return nil, err
		}
		ans, flt := a.open()
		if flt == nil {
			return ans, nil
		}
		if err := c.callerLeft(flt); err != nil {
			flt.discard()
			return nil, err
		}
		if why := c.stop(flt); why != "" {
			c.log.Info("no further attempt", "step", "retry", "why", why, "sends", c.sends, "left_ms", c.left().Milliseconds())
			if flt.answer != nil {
				return flt.answer, nil
			}
			return nil, c.refusal(flt)
		}
		flt.discard()
		c.log.Info("further attempt", "step", "retry", "after", string(flt.outcome), "sends", c.sends, "left_ms", c.left().Milliseconds())
	}
}

// callerLeft returns context.Canceled if nobody waits for the answer any more.
func (c *call) callerLeft(f *fault) error {
	if errors.Is(f.cause, context.Canceled) && f.outcome == api.WorkUnsent {
		return context.Canceled
	}
	return c.ctx.Err()
}

func (f *fault) discard() {
	if f.answer != nil {
		_ = f.answer.Close() // the answer was read to its end
	}
}

// place asks for a target. A refusal of the placer is truthful about this attempt
// only, so an earlier one that may have run the request changes it.
func (c *call) place() (*attempt, error) {
	p, err := c.f.placer.Place(c.ctx, c.work())
	if err == nil {
		return &attempt{c: c, place: p}, nil
	}
	var r *api.Refusal
	if errors.As(err, &r) && c.maybe {
		return nil, c.unknown(r.Code, r.Message)
	}
	return nil, err
}

func (c *call) work() *api.Work {
	return &api.Work{
		RequestID: c.r.ID, Workspace: c.r.Workspace, Route: c.r.Route, Service: c.r.Service, Engine: c.r.Engine,
		PromptTokens: c.r.Fields.PromptTokens, OutputTokens: c.f.outputs.guess(c.r), Prompt: c.r.Fields.Prompt,
		Objective: c.r.Arrived - c.r.Waited + c.r.Route.Objective, Deadline: c.r.Deadline,
		Tried: c.tried, Resumes: c.after != "",
	}
}

func (c *call) left() time.Duration { return c.r.Deadline - c.f.clock.Now() }

// stop returns why no further attempt may follow a failed one, or "".
func (c *call) stop(f *fault) string {
	switch {
	case c.left() < leastTime:
		return "no time left"
	case f.outcome == api.WorkUnreachable || f.outcome == api.WorkUnsent:
		if c.unsent >= maxUnsent {
			return "too many targets without a connection"
		}
		return ""
	case c.sends >= c.r.Route.MaxAttempts:
		return "no attempt left on the route"
	case !f.notRun && !c.r.Route.Repeatable():
		return "it may have run and must not run twice"
	case !c.f.budget.Repeat(c.r.Service, c.f.clock.Now()):
		c.f.stats.overBudget.Inc()
		return "the budget for repeats is used up"
	}
	c.f.stats.repeats.Inc()
	return ""
}

// refusal answers a request after its last attempt.
func (c *call) refusal(f *fault) *api.Refusal {
	switch {
	case c.maybe:
		return c.unknown(codeBroken, "the request failed at its target")
	case c.left() < leastTime:
		return &api.Refusal{Code: codeDeadline, Status: fasthttp.StatusServiceUnavailable, Run: api.NotRun, Step: f.step,
			Message: "no target took the request in time"}
	case f.outcome == api.WorkUnreachable || f.outcome == api.WorkUnsent:
		return &api.Refusal{Code: codeUnreachable, Status: fasthttp.StatusServiceUnavailable, Run: api.NotRun, Step: f.step,
			Message: "no target accepted a connection", RetryAfter: comeBack}
	}
	return &api.Refusal{Code: codeRefused, Status: fasthttp.StatusServiceUnavailable, Run: api.NotRun, Step: f.step,
		Message: "the targets had no room", RetryAfter: comeBack}
}

// unknown is a refusal of a request that a target may have run.
func (c *call) unknown(code, message string) *api.Refusal {
	status := fasthttp.StatusBadGateway
	if c.left() < leastTime {
		code, status = codeDeadline, fasthttp.StatusGatewayTimeout
	}
	return &api.Refusal{Code: code, Status: status, Run: api.RunUnknown, Step: "forward", Message: message}
}

// open sends the request to the target and reads the begin of the answer.
func (a *attempt) open() (api.ForwardAnswer, *fault) {
	f, flt := a.head()
	if flt != nil {
		return nil, a.fail(flt)
	}
	a.c.f.stats.head.Update((a.c.f.clock.Now() - a.sent).Seconds())
	return a.accept(f)
}

// head sends the request and reads the head of the target's own answer.
func (a *attempt) head() (f api.AnswerFields, flt *fault) {
	a.c.tried = append(a.c.tried, a.place.Target().ID)
	if a.x, flt = a.exchange(); flt != nil {
		return f, flt
	}
	return a.ownAnswer()
}

// exchange connects and sends. A reused connection that the target closed without
// a byte is replaced by a fresh one, if the request may be repeated.
func (a *attempt) exchange() (*exchange.Exchange, *fault) {
	conn, flt := a.connect(false)
	if flt != nil {
		return nil, flt
	}
	x, failure := a.send(conn)
	if failure == nil {
		return x, nil
	}
	if stale(failure) && a.c.r.Route.Repeatable() && a.c.ctx.Err() == nil && a.c.f.budget.Repeat(a.c.r.Service, a.c.f.clock.Now()) {
		if conn, flt = a.connect(true); flt != nil {
			return nil, flt
		}
		if x, failure = a.send(conn); failure == nil {
			return x, nil
		}
	}
	return nil, a.classify(failure)
}

func stale(f *exchange.Failure) bool {
	return f.Reused && f.Received == 0 && f.Sent > 0 && !errors.Is(f.Cause, os.ErrDeadlineExceeded)
}

func (a *attempt) connect(fresh bool) (*targetconn.Conn, *fault) {
	f, address := a.c.f, a.place.Target().Address
	if !fresh {
		limit := idleLimit
		if !a.c.r.Route.Repeatable() {
			limit = freshFor
		}
		if conn := f.conns.TakeFresh(address, limit); conn != nil {
			f.stats.reused.Inc()
			return conn, nil
		}
	}
	f.stats.fresh.Inc()
	conn, err := f.conns.Dial(a.c.ctx, address)
	if err != nil {
		outcome := api.WorkUnreachable
		if targetconn.LocalFault(err) || a.c.ctx.Err() != nil {
			outcome = api.WorkUnsent
		}
		return nil, &fault{outcome: outcome, step: "connect", cause: err, notRun: true}
	}
	return conn, nil
}

func (a *attempt) send(conn *targetconn.Conn) (*exchange.Exchange, *exchange.Failure) {
	h := a.c.header(a.place.Target())
	defer fasthttp.ReleaseRequest(h)
	left := a.c.left()
	end := time.Now().Add(left)
	b := exchange.Bounds{Silence: left, Head: end, Hard: end}
	return exchange.Open(a.c.ctx, a.c.f.conns, conn, exchange.Request{Header: &h.Header, Body: a.c.r.Body}, b, a.begin)
}

// errCallerLeft ends an attempt for a caller that has closed its connection.
var errCallerLeft = errors.WithMessage(context.Canceled, "the caller has left")

// begin is called immediately before the first byte is written. It looks at the
// caller's connection itself: in a process without processor time left the watch is
// late, and work would be sent for nobody.
func (a *attempt) begin() error {
	if p := a.c.r.Present; p != nil && !p() {
		return errCallerLeft
	}
	if err := a.place.Sent(); err != nil {
		return err
	}
	if a.sent == 0 {
		a.sent = a.c.f.clock.Now()
		a.c.sends++
		a.c.log.Info("sent", "step", "send", "target", a.place.Target().ID, "address", a.place.Target().Address,
			"send", a.c.sends, "after", a.c.after, "left_ms", a.c.left().Milliseconds())
	}
	return nil
}

// header returns the request line and headers for a target. The caller releases it.
func (c *call) header(t api.Target) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.r.Header.CopyTo(&req.Header)
	exchange.StripRequest(&req.Header)
	req.Header.SetNoDefaultContentType(true)
	c.f.dialect.Forward(&req.Header, api.TargetFields{
		Workspace: c.r.Workspace, Deadline: c.left(), Target: t.ID, After: c.after,
	})
	return req
}

// classify turns a failed exchange into a fault.
func (a *attempt) classify(e *exchange.Failure) *fault {
	f := &fault{outcome: api.WorkBroken, step: e.Step, cause: e.Cause}
	switch {
	case e.Sent == 0:
		f.outcome, f.notRun = api.WorkUnsent, true
		if a.sent != 0 {
			f.outcome = api.WorkUnreachable
			a.c.sends--
		}
	case a.c.ctx.Err() != nil:
		f.outcome = api.WorkCancelled
	case errors.Is(e.Cause, os.ErrDeadlineExceeded):
		f.outcome = api.WorkLate
	}
	return f
}

// ownAnswer skips answers to earlier requests and checks that the answer is the
// target's own.
func (a *attempt) ownAnswer() (f api.AnswerFields, flt *fault) {
	const maxStrays = 4
	for range maxStrays {
		f = a.c.f.dialect.Answer(&a.x.Resp.Header)
		if f.ID == a.c.r.Fields.ID || (f.ID == "" && !a.x.Conn.Reused) {
			return f, nil
		}
		if f.ID == "" {
			return f, &fault{outcome: api.WorkBroken, step: "head", cause: targetconn.ErrNameless}
		}
		a.c.f.stats.strays.Inc()
		a.c.log.Warn("answer to another request dropped", "step", "head", "target", a.place.Target().ID, "belongs_to", f.ID)
		if err := a.x.Skip(); err != nil {
			return f, &fault{outcome: api.WorkBroken, step: "head", cause: err}
		}
	}
	return f, &fault{outcome: api.WorkBroken, step: "head", cause: errors.New("too many answers to other requests")}
}

// accept decides what an answer's head means.
func (a *attempt) accept(f api.AnswerFields) (api.ForwardAnswer, *fault) {
	status := a.x.Resp.StatusCode()
	a.x.Conn.IdleLimit = f.IdleLimit
	switch {
	case f.NotRun:
		outcome := api.WorkFull
		if f.OtherTarget {
			outcome = api.WorkOther
		}
		return nil, a.fail(&fault{outcome: outcome, step: "head", cause: errors.Errorf("status %d, not run", status), notRun: true})
	case status < fasthttp.StatusOK || (status < fasthttp.StatusMultipleChoices && !f.Signed):
		return nil, a.fail(&fault{outcome: api.WorkBroken, step: "head", cause: errors.Errorf("status %d without a signature", status)})
	case promisesNotRun(status) && !a.c.r.Route.Repeatable():
		return nil, a.fail(&fault{outcome: api.WorkFailed, step: "head", cause: errors.Errorf("status %d of a request that may have run", status)})
	case isStream(a.c.r.Route, &a.x.Resp.Header):
		a.place.Began()
		return a.openStream()
	}
	a.place.Began()
	return a.openPlain()
}

// promisesNotRun reports whether callers take a status as the promise that the
// request has not run. A target makes that promise by another header, so its
// answer with such a status must not be passed on for a request that may not run
// twice.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

func isStream(r *routing.Route, h *fasthttp.ResponseHeader) bool {
	return r.Kind == routing.Streaming && h.StatusCode() == fasthttp.StatusOK
}

// fail ends an attempt without an answer.
func (a *attempt) fail(f *fault) *fault {
	if f.outcome == api.WorkUnsent || f.outcome == api.WorkUnreachable {
		a.c.unsent++
	}
	if !f.notRun {
		a.c.maybe = true
	}
	if f.outcome == api.WorkBroken || f.outcome == api.WorkLate || f.outcome == api.WorkOther {
		a.c.f.conns.Drop(a.place.Target().Address)
	}
	a.c.log.Warn("attempt failed", "step", f.step, "target", a.place.Target().ID, "outcome", string(f.outcome),
		"not_run", f.notRun, "took_ms", a.took().Milliseconds(), "error", f.cause)
	a.end(f.outcome, false)
	return f
}

func (a *attempt) took() time.Duration {
	if a.sent == 0 {
		return 0
	}
	return a.c.f.clock.Now() - a.sent
}

// end gives the target free. The connection is kept only after a whole answer.
func (a *attempt) end(o api.WorkOutcome, whole bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.x != nil {
		a.x.Close(whole)
	}
	a.c.f.stats.outcome(a.c.r.Service, string(o))
	a.place.End(o)
}
