package placer

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
)

// hear delivers a message of the owner that says how late it is.
func (r *harness) hear(sent int64, lateness time.Duration) {
	raw, err := json.Marshal(placewire.OwnerMessage{Term: 1, Sent: sent, LatenessMs: lateness.Milliseconds()})
	r.NoErr(err)
	_, err = r.p.handleOwnerMessage(context.Background(), "o", raw)
	r.NoErr(err)
}

// ask adds a request that waits for the owner.
func (r *harness) ask() (uint64, *waiter) {
	n, wt, ok := r.p.askOwner(&api.PlacementRequest{
		Service: "m", Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{Objective: time.Second}, Objective: r.Now() + time.Second, Deadline: r.Now() + 3*time.Second,
	}, nil, suspicion{})
	r.True(ok)
	return n, wt
}

// Guards against entry instances that send a late owner a message for each event: it then spends its
// processor time on messages, and gets later.
func TestLateOwnerGetsFewMessages(t *testing.T) {
	r := newHarness(t)
	r.p.sendDueAt = -1
	r.Advance(time.Minute, time.Minute)
	wait := func() time.Duration {
		d, due := r.p.sendWait()
		r.True(due)
		return max(0, d)
	}
	r.hear(1, 5*time.Millisecond) // as after the way of a message and its answer
	r.ask()
	r.Equal(wait(), time.Duration(0))
	r.True(r.p.sendPending())
	r.ask()
	r.Equal(wait(), time.Duration(0))

	r.hear(2, 80*time.Millisecond)
	r.True(r.p.sendPending())
	r.ask()
	r.Equal(wait(), 80*time.Millisecond)
	r.ask()
	r.Equal(wait(), 80*time.Millisecond) // with the next message, not one of its own
	r.Advance(80*time.Millisecond, 80*time.Millisecond)
	r.Equal(wait(), time.Duration(0))

	r.hear(3, time.Minute)
	r.True(r.p.sendPending())
	r.ask()
	r.Equal(wait(), maxSendInterval)
	r.Advance(latenessLifetime+time.Millisecond, latenessLifetime+time.Millisecond) // the owner says nothing
	r.Equal(wait(), time.Duration(0))
}

// Guards against an owner that is asked for a request whose caller has left before the message was sent,
// and against times in a message that count from the request instead of from the message.
func TestMessageHoldsWhatStillWaits(t *testing.T) {
	r := newHarness(t)
	n1, wt1 := r.ask()
	n2, _ := r.ask()
	r.p.withdraw(n1, wt1)
	r.Equal(r.endedRequests(), nil)
	r.Advance(200*time.Millisecond, 200*time.Millisecond)
	r.p.mu.Lock()
	requests := r.p.takeRequests(r.p.pending.Requests)
	r.p.mu.Unlock()
	r.Equal(len(requests), 1)
	r.Equal(requests[0].Number, n2)
	r.Equal(requests[0].TimesMs[0], int64(800))
	r.Equal(requests[0].TimesMs[1], int64(2800))
}
