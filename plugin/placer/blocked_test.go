package placer

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
)

// block delivers a message of the owner that blocks a prompt part.
func (r *harness) block(part string, remaining time.Duration) {
	blocked := placewire.NewBlockedParts([]placement.BlockedPart{{Part: placewire.PartID(part), Remaining: remaining}})
	raw, err := json.Marshal(placewire.OwnerMessage{Term: r.p.owner.term, Blocked: &blocked})
	r.NoErr(err)
	_, err = r.p.handleOwnerMessage(context.Background(), r.p.owner.name, raw)
	r.NoErr(err)
}

func promptRequest(parts ...string) *api.PlacementRequest {
	w := &api.PlacementRequest{Service: "m", Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{}}
	for _, id := range parts {
		w.Prompt = append(w.Prompt, api.PromptPart{ID: id, Tokens: 10})
	}
	return w
}

// Guards against requests that crash targets while no owner responds, and against refusing those
// that only share other parts with them.
func TestBlockedPartIsRefusedWithoutOwner(t *testing.T) {
	r := newHarness(t)
	r.block("deadly", 20*time.Second)
	r.p.leaderChanged("", 2) // the owner is lost
	refusal := r.p.Precheck(promptRequest("root", "deadly", "own"))
	r.True(refusal != nil)
	r.Equal(refusal.Code, placement.CodePartCrashes)
	r.Equal(refusal.Run, api.NotRun)
	r.Equal(refusal.RetryAfter, 20*time.Second)
	r.True(r.p.Precheck(promptRequest("root", "sound", "own")) == nil)
	r.True(r.p.Precheck(promptRequest("root", "deadly")) != nil) // the last part of a session
	r.True(r.p.Precheck(promptRequest("deadly")) != nil)
	r.Advance(20*time.Second, 20*time.Second)
	r.True(r.p.Precheck(promptRequest("root", "deadly", "own")) == nil) // the owner lets one try it
}

// Guards against a new owner that doesn't learn which parts the former one had blocked, and
// against an unblocked part that entry instances go on refusing.
func TestReportHasBlockedParts(t *testing.T) {
	r := newHarness(t)
	r.block("deadly", 20*time.Second)
	r.Advance(5*time.Second, 5*time.Second)
	report := r.fullReport(2)
	r.Equal(report.Blocked.ToPlacement(), []placement.BlockedPart{{Part: placewire.PartID("deadly"), Remaining: 15 * time.Second}})
	none := placewire.BlockedParts{}
	raw, err := json.Marshal(placewire.OwnerMessage{Term: 2, Blocked: &none})
	r.NoErr(err)
	_, err = r.p.handleOwnerMessage(context.Background(), "o", raw)
	r.NoErr(err)
	r.True(r.p.Precheck(promptRequest("root", "deadly", "own")) == nil)
}

// Guards against a first event that clears a prompt part although the target crashes while it
// writes it, and against a report for each event.
func TestAnsweredIsReportedOnce(t *testing.T) {
	r := newHarness(t)
	a := &assignment{placer: r.p, work: promptRequest("root", "own"), number: 5}
	a.ReportEvents(1)
	r.Equal(len(r.p.pending.Answered), 0)
	for n := range 10 {
		r.Advance(answeredAfter/4, answeredAfter/4)
		a.ReportEvents(2 + n)
	}
	r.Equal(r.p.pending.Answered, []uint64{5})
	r.True(a.report(r.p.clock.Now()).Answered) // a new owner learns it, too
}
