package pool

import (
	"sync/atomic"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/schedule"
)

// ticket is a queued or running request. It implements api.Ticket.
type ticket struct {
	client    *Client
	request   *schedule.LocalRequest
	granted   chan api.Grant
	refusal   atomic.Pointer[api.Refusal]
	leftQueue bool // no longer counted as queued; guarded by the client's lock
}

// Granted implements api.Ticket.
func (t *ticket) Granted() <-chan api.Grant { return t.granted }

// Refusal implements api.Ticket.
func (t *ticket) Refusal() *api.Refusal { return t.refusal.Load() }

// ResponseStarted implements api.Ticket.
func (t *ticket) ResponseStarted(w api.Warmth, boot uint64) {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryQueues[t.request.Demand.Pool].Confirm(t.request, w, boot, c.now())
	c.signalFlush()
}

// Done implements api.Ticket.
func (t *ticket) Done(o api.GrantOutcome) {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.request.Started() {
		c.metricsOf(t.request.Demand.Pool).countEnded(o.Result)
	}
	c.entryQueues[t.request.Demand.Pool].Done(t.request, o, c.now())
	c.signalFlush()
}

// Cancel implements api.Ticket.
func (t *ticket) Cancel() {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryQueues[t.request.Demand.Pool].Cancel(t.request, c.now())
	c.leaveQueue(t)
	c.signalFlush()
}
