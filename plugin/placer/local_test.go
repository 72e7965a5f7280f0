package placer

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
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
