package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// Limits of attempts and retries.
const (
	maxUnsentAttempts = 10                    // per call, while no byte of its request has been sent
	maxSends          = 4                     // per call, of at least one byte
	firstBackoff      = 10 * time.Millisecond // doubled for each further retry
	maxBackoff        = time.Second
	retryAfter        = time.Second // Retry-After of refusals caused by a target
)

// call is a caller's request with the state that its attempts share.
type call struct {
	d      *Dispatcher
	req    *api.Request
	id     string
	ctx    context.Context // cancelled when the caller disconnects or the process stops
	cancel context.CancelFunc
	pool   fleetconfig.Pool
	stats  *poolStats

	startedAt   time.Duration // kernel clock
	mayHaveRun  bool          // a byte of the request may have reached a target
	sends       int           // sends of at least one byte
	claimed     bool          // the claim of this call is in the log
	avoidTarget string        // target of the last failed attempt, "" = none
}

// Dispatch implements api.Dispatcher. It runs the request, with retries, and
// returns the response once its header is known; the caller must close it. An
// error is an *api.Refusal that says whether the request may have run, unless
// api.PoolQueue returned another error. Cancelling ctx or closing r.Disconnected
// cancels the request.
func (d *Dispatcher) Dispatch(ctx context.Context, r *api.Request) (api.Response, error) {
	c, err := d.newCall(ctx, r)
	if err != nil {
		return nil, err
	}
	resp, err := c.run()
	if err != nil {
		c.releaseClaimIfNotRun()
		c.cancel()
		return nil, err
	}
	return resp, nil
}

// newCall returns the call for a request, or a refusal if its pool is unknown.
func (d *Dispatcher) newCall(ctx context.Context, r *api.Request) (*call, error) {
	x := d.currentIndex()
	pool, ok := x.pools[r.Pool]
	if !ok {
		return nil, &api.Refusal{
			Code: codeUnknownPool, Status: 404, Run: api.NotRun, Step: "dispatch",
			Message: "no such pool: " + r.Pool,
		}
	}
	c := &call{d: d, req: r, id: d.nextID(), pool: pool, stats: d.stats.pool(r.Pool), startedAt: d.clock.Now()}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if r.Disconnected != nil && r.Disconnected != ctx.Done() {
		go func() {
			select {
			case <-r.Disconnected:
				c.cancel()
			case <-c.ctx.Done():
			}
		}()
	}
	return c, nil
}

// run makes attempts until one returns a response or no retry is allowed.
func (c *call) run() (api.Response, error) {
	for n := 0; ; n++ {
		resp, err := c.runAttempt(n > 0)
		if err == nil {
			return resp, nil
		}
		var f *fault
		if !errors.As(err, &f) {
			return nil, err
		}
		if c.ctx.Err() != nil {
			return nil, c.disconnectRefusal()
		}
		if !c.mayRetry(f, n) {
			return nil, c.refusal(f)
		}
		c.stats.retries.Inc()
		c.avoidTarget = f.target
		if err := c.backOff(n); err != nil {
			return nil, err
		}
	}
}

// mayRetry applies the rule of section 9.7 after attempt n, counted from 0: a
// request is retried only if it is idempotent or none of its bytes can have
// reached the target. The caller receives no byte of a response before the
// attempts end.
func (c *call) mayRetry(f *fault, n int) bool {
	if f.noRetry || c.deadlinePassed() {
		return false
	}
	if f.certainlyNotRun() {
		return n+1 < maxUnsentAttempts
	}
	return !c.req.NonIdempotent && c.sends < maxSends
}

// backOff waits before retry n, counted from 0. Retry 0 is not delayed, because
// another target usually has free capacity. It returns a refusal if the caller
// disconnects.
func (c *call) backOff(n int) error {
	if n == 0 {
		return nil
	}
	wait := min(firstBackoff<<(n-1), maxBackoff)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c.ctx.Done():
		return c.disconnectRefusal()
	}
}

// deadline returns the time on the kernel clock by which the response header must
// arrive; 0 = none.
func (c *call) deadline() time.Duration {
	if c.req.ResponseTimeout <= 0 {
		return 0
	}
	return c.startedAt + c.req.ResponseTimeout
}

// deadlinePassed reports whether the deadline, if any, has passed.
func (c *call) deadlinePassed() bool {
	return c.req.ResponseTimeout > 0 && c.d.clock.Now() >= c.deadline()
}

// runAttempt queues the request, waits for a grant and sends the request to the
// target. A retry sets admitted: it keeps the admission of the first attempt.
func (c *call) runAttempt(admitted bool) (api.Response, error) {
	ticket, err := c.d.pool.Enqueue(api.SlotRequest{
		ID: c.d.attemptID(c), Pool: c.req.Pool, Workspace: c.req.Workspace, Class: c.req.Class,
		CostHint: c.req.CostHint, Deadline: c.deadline(), AvoidTarget: c.avoidTarget, Admitted: admitted,
	})
	if err != nil {
		var r *api.Refusal
		if errors.As(err, &r) {
			return nil, c.correctRunState(r)
		}
		return nil, errors.WithMessage(err, "enqueue")
	}
	g, err := c.awaitGrant(ticket)
	if err != nil {
		return nil, err
	}
	a := &attempt{call: c, ticket: ticket, grant: g}
	if c.req.NonIdempotent && c.req.IdempotencyKey != "" && !c.claimed {
		if resp, err := c.claim(a); resp != nil || err != nil {
			return resp, err
		}
	}
	return c.start(a)
}

// attemptID returns a new id for each retry, because the scheduler may still have
// the previous attempt under its id.
func (d *Dispatcher) attemptID(c *call) string {
	if c.avoidTarget == "" && c.sends == 0 {
		return c.id
	}
	return d.nextID()
}

// awaitGrant waits until the ticket is granted. It returns a refusal if the
// scheduler refuses the request or the caller disconnects.
func (c *call) awaitGrant(ticket api.Ticket) (api.Grant, error) {
	select {
	case g, ok := <-ticket.Granted():
		if ok {
			return g, nil
		}
		if r := ticket.Refusal(); r != nil {
			return api.Grant{}, c.correctRunState(r)
		}
		return api.Grant{}, &api.Refusal{
			Code: codeNotStarted, Status: 503, Run: c.runState(), Step: "queue",
			Message: "the request left the queue without a grant", RetryAfter: retryAfter,
		}
	case <-c.ctx.Done():
		ticket.Cancel()
		return api.Grant{}, c.disconnectRefusal()
	}
}
