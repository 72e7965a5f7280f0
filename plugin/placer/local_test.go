package placer

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
)

// Guards against a workspace that floods this instance while no owner responds and takes all of its
// part of the slots, and against a part that stays counted after its requests have ended.
func TestFloodWithoutOwnerLeavesRoom(t *testing.T) {
	r := newHarness(t)
	r.p.leaderChanged("", 2)
	place := func(workspace string) (api.Placement, error) {
		w := &api.PlacementRequest{Service: "m", Workspace: workspace, Engine: &routing.Engine{Slots: 40}, Route: &routing.Route{}}
		return r.p.Place(context.Background(), w)
	}
	for range 3 {
		var placed []api.Placement
		for range 30 { // this instance's part is 14
			p, err := place("flood")
			if err == nil {
				placed = append(placed, p)
				continue
			}
			var refusal *api.Refusal
			r.True(errors.As(err, &refusal))
			r.Equal(refusal.Code, placement.CodeShareExceeded)
			r.Equal(refusal.Run, api.NotRun)
			r.True(refusal.RetryAfter >= ownerRetryDelay)
		}
		r.Equal(len(placed), 7)
		other, err := place("other")
		r.NoErr(err)
		other.End(api.AttemptServed)
		for _, p := range placed {
			p.End(api.AttemptServed)
		}
		r.Equal(len(r.p.localByWorkspace), 0)
	}
}

// Guards against a flood that the owner refused and that passes in full while the owner is late, and
// against shares that are applied for good when it is gone.
func TestThrottleHoldsWhileOwnerIsSilent(t *testing.T) {
	r := newHarness(t)
	w := promptRequest("own")
	w.Workspace = "flood"
	r.p.throttle.SetShare("flood", 0, r.p.clock.Now())
	for range 16 { // 8 s without an answer
		r.Advance(500*time.Millisecond, 500*time.Millisecond)
		r.respond(placewire.OwnerMessage{Term: 1, NotOwner: true})
		r.True(r.p.Precheck(w) != nil)
	}
	r.Advance(3*time.Second, 3*time.Second)
	r.respond(placewire.OwnerMessage{Term: 1, NotOwner: true})
	r.True(r.p.Precheck(w) == nil)
	r.p.throttle.SetShare("flood", 0, r.p.clock.Now())
	r.Advance(1100*time.Millisecond, 1100*time.Millisecond) // the owner responds and says nothing of it
	r.True(r.p.Precheck(w) == nil)
}
