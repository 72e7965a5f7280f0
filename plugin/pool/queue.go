package pool

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/schedule"
)

const step = "queue"

// refusal returns a refusal of a request that was not sent to any target.
func refusal(code, text string, status int, retry time.Duration) *api.Refusal {
	return &api.Refusal{Code: code, Message: text, Status: status, Run: api.NotRun, RetryAfter: retry, Step: step}
}

// Enqueue implements api.PoolQueue. The error is an *api.Refusal: the pool is unknown, the
// queue of the workspace or the instance is full, or the instance has no lease or is
// stopping. A retry (d.Admitted) is refused only for an unknown pool or without a lease.
func (c *Client) Enqueue(d api.SlotRequest) (api.Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshView()
	now := c.now()
	limit, known := c.view.queueLimit(d.Pool, d.Workspace)
	if !known {
		return nil, c.refuse("", unknownPool())
	}
	if d.Admitted {
		limit = math.MaxInt
	}
	if r := c.admissionRefusal(d.Admitted, now); r != nil {
		return nil, c.refuse(d.Pool, r)
	}
	req, retry := c.queuesOf(d.Pool).Enqueue(d, limit, now)
	if req == nil {
		return nil, c.refuse(d.Pool, refusal("queue_full", "too many requests of the workspace wait", http.StatusTooManyRequests, retry))
	}
	if c.queued == 0 {
		kernel.Signal(c.tickSignal)
	}
	c.queued++
	t := &ticket{client: c, request: req, granted: make(chan api.Grant, 1)}
	req.Data = t
	c.signalFlush()
	return t, nil
}

// admissionRefusal returns the refusal of all new requests of this instance, or nil if they
// are accepted. Without a lease, admitted requests are refused too, because they cannot
// start.
func (c *Client) admissionRefusal(admitted bool, now time.Duration) *api.Refusal {
	switch {
	case c.draining && !admitted:
		return refusal("stopping", "the instance is stopping", http.StatusServiceUnavailable, time.Second)
	case c.leaseLost(now):
		return noLease()
	case c.queued >= c.kernel.Settings.MaxWaiting() && !admitted:
		return refusal("instance_full", "too many requests wait on the instance", http.StatusServiceUnavailable, time.Second)
	}
	return nil
}

func unknownPool() *api.Refusal {
	return refusal("unknown_pool", "the pool is not configured", http.StatusNotFound, 0)
}

func noLease() *api.Refusal {
	return refusal("no_lease", "the instance is cut off from the majority", http.StatusServiceUnavailable, time.Second)
}

// leaseLost reports whether the lease has been invalid for leaseGracePeriod.
func (c *Client) leaseLost(now time.Duration) bool {
	if c.lease.Valid() {
		c.leaseInvalidSince = 0
		return false
	}
	if c.leaseInvalidSince == 0 {
		c.leaseInvalidSince = now
	}
	return now-c.leaseInvalidSince >= leaseGracePeriod
}

// refuse counts a refusal and returns it.
func (c *Client) refuse(pool string, r *api.Refusal) *api.Refusal {
	c.metricsOf(pool).countRefused(r.Code)
	return r
}

// queuesOf returns the queues of a pool and creates them on first use.
func (c *Client) queuesOf(pool string) *schedule.EntryQueues {
	e := c.entryQueues[pool]
	if e == nil {
		e = schedule.NewEntryQueues(pool, c.newIncarnation())
		c.byIncarnation[e.Incarnation()] = e
		c.entryQueues[pool] = e
		c.syncOwner(pool, e)
	}
	return e
}

// incarnationBits is the size of an incarnation. An owner ignores messages of the earlier
// incarnations of an instance, so that a restarted process must not draw one of them again.
const incarnationBits = 40

// newIncarnation returns an unused random incarnation, which is not 0.
func (c *Client) newIncarnation() uint64 {
	for {
		n := rand.Uint64N(1<<incarnationBits) + 1
		if c.byIncarnation[n] == nil {
			return n
		}
	}
}

// syncOwner sets the owner of a pool as the lease reports it.
func (c *Client) syncOwner(pool string, e *schedule.EntryQueues) {
	if owner, epoch, ok := c.lease.Owner(pool); ok {
		_, was := e.Owner()
		e.SetOwner(owner, epoch)
		if epoch > was {
			c.kernel.Events.Record(kernel.Event{Kind: "pool", Step: "owner", Pool: pool, Peer: owner, Epoch: epoch})
		}
	}
}

// tick applies changes of ownership. It refuses queued requests that have missed their
// deadline or whose pool was removed, and all of them if the instance has lost its lease.
func (c *Client) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.refreshView()
	c.createQueues()
	lost := c.leaseLost(now)
	for pool, e := range c.entryQueues {
		c.syncOwner(pool, e)
		for _, req := range e.Tick(now) {
			c.refuseQueued(pool, req, refusal("deadline", "the deadline passed in the queue", http.StatusGatewayTimeout, time.Second))
		}
		switch {
		case e.Queued() == 0:
		case lost:
			c.refuseWaiting(pool, e, noLease, now)
		case !c.view.pools[pool]:
			c.refuseWaiting(pool, e, unknownPool, now)
		}
	}
	c.signalFlush()
}

// createQueues creates the queues of each pool, because a new owner waits for the report of
// every instance, also of those that never had a request.
func (c *Client) createQueues() {
	for pool := range c.view.pools {
		c.queuesOf(pool)
	}
}

// refuseWaiting refuses all queued requests of a pool. reason returns the refusal.
func (c *Client) refuseWaiting(pool string, e *schedule.EntryQueues, reason func() *api.Refusal, now time.Duration) {
	for _, req := range e.RefuseAll(now) {
		c.refuseQueued(pool, req, reason())
	}
	c.kernel.Events.Record(kernel.Event{Kind: "pool", Step: "refuse waiting", Pool: pool, Detail: reason().Code})
}

// refuseQueued refuses a request that was removed from the queue.
func (c *Client) refuseQueued(pool string, req *schedule.LocalRequest, r *api.Refusal) {
	t := req.Data.(*ticket)
	t.refusal.Store(c.refuse(pool, r))
	c.leaveQueue(t)
	close(t.granted)
}

// leaveQueue subtracts a request from the number of queued requests once.
func (c *Client) leaveQueue(t *ticket) {
	if !t.leftQueue {
		t.leftQueue = true
		c.queued--
	}
}

func (c *Client) now() time.Duration { return c.kernel.Clock.Now() }
