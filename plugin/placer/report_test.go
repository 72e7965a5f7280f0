package placer

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
)

// fullReport makes another instance the owner and returns the report for it.
func (r *harness) fullReport(term uint64) placewire.EntryMessage {
	r.p.leaderChanged("o", term)
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	return r.p.pending
}

// Guards against a new owner that does not count a request which the former one has just granted:
// the report is made after the grant has arrived and before the request's goroutine runs.
func TestReportHasGrantsNotYetAccepted(t *testing.T) {
	r := newHarness(t)
	wt := &waiter{work: &api.PlacementRequest{Service: "m", Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{}}, response: make(chan ownerResponse, 1)}
	r.p.waiting[1] = wt
	r.grant(1)
	report := r.fullReport(2)
	r.Equal(len(report.Running), 1)
	r.Equal(report.Running[0].Number, uint64(1))
	r.Equal(report.Running[0].Target, "t1")
	r.Equal(len(report.Requests), 0)

	r.p.withdraw(1, wt) // the caller disconnects
	r.Equal(r.endedRequests(), []uint64{1})
	r.Equal(len(r.fullReport(3).Running), 0)
}

// Guards against a decision that arrives while its caller disconnects and leaves the target
// reserved.
func TestWithdrawnRequestReleasesGrant(t *testing.T) {
	r := newHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := r.p.Place(ctx, &api.PlacementRequest{Service: "m", Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{}})
		done <- err
	}()
	n := r.waitForAsk(0)
	r.True(r.p.sendPending())
	cancel()
	r.True(errors.Is(<-done, context.Canceled))
	r.grant(n)
	r.Equal(len(r.p.running), 0)
	r.Equal(r.endedRequests(), []uint64{n, n}) // of the request and of its grant
}

// Guards against a new owner that takes a flooding workspace for a small one, because a full
// report drops the requests that this instance has refused and not yet reported.
func TestReportKeepsRefusals(t *testing.T) {
	r := newHarness(t)
	w := &api.PlacementRequest{Service: "m", Workspace: "flood", PromptTokens: 100, Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{}, Prompt: []api.PromptPart{{ID: "own"}}}
	r.p.throttle.SetShare("flood", 0, r.p.clock.Now())
	r.True(r.p.Precheck(w) != nil)
	r.p.ReportShed(w)
	report := r.fullReport(2)
	r.Equal(len(report.Refused["flood"]), 1)
	r.Equal(report.Shed["flood"], 100)
}

// failingMesh is a mesh without a link to the owner.
type failingMesh struct{ mesh }

func (failingMesh) Reachable(string) bool           { return false }
func (failingMesh) Notify(_, _ string, _ any) error { return errors.New("no link") }

// Guards against refusals that are lost with a message that could not be sent, and against
// keeping them without a bound.
func TestUnsentRefusalsAreKept(t *testing.T) {
	r := newHarness(t)
	r.p.mesh = failingMesh{}
	w := &api.PlacementRequest{Service: "m", Workspace: "flood", PromptTokens: 100, Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{}, Prompt: []api.PromptPart{{ID: "own"}}}
	r.p.throttle.SetShare("flood", 0, r.p.clock.Now())
	for range maxPendingRefusals + 10 {
		r.p.throttle.SetShare("flood", 0, r.p.clock.Now())
		r.True(r.p.Precheck(w) != nil)
		r.Advance(time.Millisecond, time.Millisecond)
	}
	r.True(!r.p.sendPending())
	r.True(r.p.Precheck(w) != nil)
	r.True(!r.p.sendPending())
	r.Equal(len(r.p.pending.Refused["flood"]), maxPendingRefusals)
}

// Guards against refusals whose times are those of the refusal and not of the message, so that the owner takes the retry
// of a request for a new one, and against times that run twice while a message cannot be sent.
func TestRefusalsAreToldWithTheTimesLeft(t *testing.T) {
	r := newHarness(t)
	w := modelRequest()
	w.Objective, w.CallerDeadline = r.p.clock.Now()+time.Second, r.p.clock.Now()+9*time.Second
	r.p.throttle.SetShare("flood", 0, r.p.clock.Now())
	r.True(r.p.Precheck(w) != nil)
	connected := r.p.mesh
	r.p.mesh = failingMesh{}
	for range 2 {
		r.Advance(600*time.Millisecond, 600*time.Millisecond)
		r.True(!r.p.sendPending())
	}
	r.p.mesh = connected
	r.Advance(300*time.Millisecond, 300*time.Millisecond)
	r.True(r.p.sendPending())
	refused := r.sent[len(r.sent)-1].Refused["flood"]
	r.Equal(len(refused), 1)
	told := refused[0].ToPlacement()
	r.Equal(told.Objective, -500*time.Millisecond)
	r.Equal(told.CallerDeadline, 7500*time.Millisecond)
	r.Equal(told.Hash, placewire.RequestHash(w))
}

// modelRequest returns a request of the workspace flood with its identity.
func modelRequest() *api.PlacementRequest {
	return &api.PlacementRequest{
		Service: "m", Workspace: "flood", PromptTokens: 100, Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{}, Prompt: []api.PromptPart{{ID: "root"}, {ID: "session"}},
		Identity: api.NewRequestIdentity("flood", []byte("POST"), []byte("h"), []byte("/chat"), nil),
	}
}
