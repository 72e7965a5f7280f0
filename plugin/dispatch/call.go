package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// Bounds of retries.
const (
	maxUnsent    = 10                    // attempts that sent nothing
	maxSends     = 4                     // attempts that sent at least a byte
	firstBackoff = 10 * time.Millisecond // doubled for each further attempt
	maxBackoff   = time.Second
	retryAdvice  = time.Second // advice to callers after a target failed
)

// call is one request of a caller across its attempts.
type call struct {
	d      *Dispatcher
	req    *api.Request
	id     string
	ctx    context.Context // ends when the caller goes away or the process ends
	cancel context.CancelFunc
	pool   fleetconfig.Pool
	stats  *poolStats

	begin   time.Duration // on the kernel clock
	touched bool          // a byte of the request may have reached a target
	sends   int           // attempts that sent at least one byte
	claimed bool          // the claim of this call is in the log
	avoid   string        // target of the last failed attempt
}

// Do implements api.Dispatcher.
func (d *Dispatcher) Do(ctx context.Context, r *api.Request) (api.Answer, error) {
	c, err := d.newCall(ctx, r)
	if err != nil {
		return nil, err
	}
	ans, err := c.run()
	if err != nil {
		c.releaseUnlessRun()
		c.cancel()
		return nil, err
	}
	return ans, nil
}

func (d *Dispatcher) newCall(ctx context.Context, r *api.Request) (*call, error) {
	x := d.current()
	pool, ok := x.pools[r.Pool]
	if !ok {
		return nil, &api.Refusal{
			Code: codeUnknownPool, Status: 404, Run: api.NotRun, Step: "dispatch",
			Message: "no such pool: " + r.Pool,
		}
	}
	c := &call{d: d, req: r, id: d.nextID(), pool: pool, stats: d.stats.pool(r.Pool), begin: d.clock.Now()}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if r.Gone != nil && r.Gone != ctx.Done() {
		go func() {
			select {
			case <-r.Gone:
				c.cancel()
			case <-c.ctx.Done():
			}
		}()
	}
	return c, nil
}

// run makes attempts until one gives an answer or no further one is allowed.
func (c *call) run() (api.Answer, error) {
	for n := 0; ; n++ {
		ans, err := c.attempt(n > 0)
		if err == nil {
			return ans, nil
		}
		var f *fault
		if !errors.As(err, &f) {
			return nil, err
		}
		if c.ctx.Err() != nil {
			return nil, c.gone()
		}
		if !c.mayRetry(f, n) {
			return nil, c.refusal(f)
		}
		c.stats.retries.Inc()
		c.avoid = f.target
		if err := c.pause(n); err != nil {
			return nil, err
		}
	}
}

// mayRetry applies the rule of section 9.7: again only if no byte of the
// request can have reached the target, or if it is idempotent. No byte of an
// answer has been sent to the caller while attempts are made.
func (c *call) mayRetry(f *fault, n int) bool {
	if f.final || c.expired() {
		return false
	}
	if f.certainlyNotRun() {
		return n+1 < maxUnsent
	}
	return !c.req.NonIdempotent && c.sends < maxSends
}

// pause waits before the next attempt. The first one follows at once because
// another target usually has room.
func (c *call) pause(n int) error {
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
		return c.gone()
	}
}

// deadline returns the end of the wait for the answer's start on the kernel
// clock; 0 = none.
func (c *call) deadline() time.Duration {
	if c.req.Deadline <= 0 {
		return 0
	}
	return c.begin + c.req.Deadline
}

func (c *call) expired() bool {
	return c.req.Deadline > 0 && c.d.clock.Now() >= c.deadline()
}

// attempt queues the request, waits for a grant and runs it on the target. A
// further attempt keeps the admission of the first one.
func (c *call) attempt(admitted bool) (api.Answer, error) {
	ticket, err := c.d.pool.Enqueue(api.Demand{
		ID: c.d.attemptID(c), Pool: c.req.Pool, Workspace: c.req.Workspace, Class: c.req.Class,
		Hint: c.req.Hint, Deadline: c.deadline(), Avoid: c.avoid, Admitted: admitted,
	})
	if err != nil {
		var r *api.Refusal
		if errors.As(err, &r) {
			return nil, c.amend(r)
		}
		return nil, errors.WithMessage(err, "enqueue")
	}
	g, err := c.await(ticket)
	if err != nil {
		return nil, err
	}
	s := &slot{call: c, ticket: ticket, grant: g}
	if c.req.NonIdempotent && c.req.Key != "" && !c.claimed {
		if ans, err := c.claim(s); ans != nil || err != nil {
			return ans, err
		}
	}
	return c.start(s)
}

// attemptID returns a new id for each attempt, because the scheduler may still
// know the one before.
func (d *Dispatcher) attemptID(c *call) string {
	if c.avoid == "" && c.sends == 0 {
		return c.id
	}
	return d.nextID()
}

func (c *call) await(t api.Ticket) (api.Grant, error) {
	select {
	case g, ok := <-t.Granted():
		if ok {
			return g, nil
		}
		if r := t.Refusal(); r != nil {
			return api.Grant{}, c.amend(r)
		}
		return api.Grant{}, &api.Refusal{
			Code: codeNotStarted, Status: 503, Run: c.runState(), Step: "queue",
			Message: "the request left the queue without a grant", RetryAfter: retryAdvice,
		}
	case <-c.ctx.Done():
		t.Cancel()
		return api.Grant{}, c.gone()
	}
}
