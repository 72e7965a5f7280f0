package dispatch

import (
	"sync"
	"time"

	"nutmegrouter/internal/api"
)

// attempt is the execution of a call under one grant. Its outcome is reported to
// the scheduler exactly once.
type attempt struct {
	call   *call
	ticket api.Ticket
	grant  api.Grant
	once   sync.Once

	failureDetail string // cause of a failure, for the timeline
	warmth        api.Warmth
	boot          uint64
	sentAt        time.Time // when the first byte of the request was written
}

// confirm reports the target's state from a response header to the scheduler and
// stores it for the outcome.
func (a *attempt) confirm(h targetState) {
	a.warmth = h.warmth
	if h.boot != 0 {
		a.boot = h.boot
	}
	a.ticket.ResponseStarted(h.warmth, h.boot)
}

// finish reports the outcome with its cost in cost units. Only the first call has
// an effect.
func (a *attempt) finish(result api.GrantResult, cost float64) {
	a.once.Do(func() {
		o := api.GrantOutcome{Result: result, Cost: cost, Warmth: a.warmth, BootNumber: a.boot}
		a.call.d.recordHealth(a, o, a.failureDetail)
		a.ticket.Done(o)
	})
}

// elapsedMs returns the milliseconds since the first byte of the request was
// written, or 0 if none was. Work of plain services is charged in this unit.
func (a *attempt) elapsedMs() float64 {
	if a.sentAt.IsZero() {
		return 0
	}
	return float64(time.Since(a.sentAt)) / float64(time.Millisecond)
}
