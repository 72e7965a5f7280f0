package placer

import (
	"testing"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

// Guards against a model request that waits for the owner while its instance stops, or comes later, and is
// not refused; and against an owner that holds its place.
func TestWaitingRequestsAreRefusedInAStop(t *testing.T) {
	r := newHarness(t)
	waiting := r.place()
	number := r.waitForAsk(0)
	r.p.mu.Lock()
	r.p.waiting[number].sent = true
	r.p.mu.Unlock()
	stop := &api.Refusal{Code: "stopping", Status: 503, Run: api.NotRun}
	r.p.RefuseWaiting(stop)
	for _, done := range []chan result{waiting, r.place()} {
		var refusal *api.Refusal
		got := <-done
		r.True(got.placement == nil && errors.As(got.err, &refusal))
		r.Equal(refusal, stop)
	}
	r.Equal(len(r.p.waiting), 0)
	r.Equal(len(r.p.pending.Ends), 1)
	r.Equal(r.p.pending.Ends[0].Number, number)
	r.grant(number) // a late grant starts nothing
	r.Equal(len(r.p.running), 0)
}
