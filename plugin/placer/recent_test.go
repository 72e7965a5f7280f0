package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// Guards against prompts that are reported without the last part, which a session's next request needs, after targets
// have dropped them, or without bound.
func TestRecentPrompts(t *testing.T) {
	is := is.New(t)
	r := newRecentPrompts()
	target := &api.Target{ID: "t", StartedUnixMs: 5}
	prompt := []api.PromptPart{{ID: "a", Tokens: 512}, {ID: "b", Tokens: 4000}, {ID: "session", Tokens: 100}}
	other := []api.PromptPart{prompt[0], prompt[1], {ID: "other", Tokens: 200}}
	part := func(id string, tokens int) [2]uint64 { return [2]uint64{uint64(placewire.PartID(id)), uint64(tokens)} }
	r.record(target, prompt, 0)
	r.record(target, other, 1*time.Second)
	r.record(target, prompt, 2*time.Second) // counts once, with its newest use
	is.Equal(r.report(3*time.Second), []placewire.RecentPrompt{{
		Target: "t", StartedUnixMs: 5, AgoMs: 1000,
		Parts:     [][2]uint64{part("a", 512), part("b", 4000)},
		LastParts: [][2]uint64{part("session", 100), part("other", 200)},
	}})
	is.Equal(len(r.report(2*time.Second+recentPromptTime+1)), 0)
	is.Equal(len(r.lastParts), 0)
	for n := range 3 * maxRecentPrompts {
		r.record(target, []api.PromptPart{{ID: fmt.Sprint(n), Tokens: 1}, {ID: "session", Tokens: 1}}, time.Minute)
	}
	is.Equal(len(r.report(time.Minute)), maxRecentPrompts)
}

// Guards against last parts of single requests that take the room of shared parts or of newer last parts, and against
// those of an earlier incarnation that are reported for the next one.
func TestManyRecentLastParts(t *testing.T) {
	is := is.New(t)
	r := newRecentPrompts()
	target := &api.Target{ID: "t", StartedUnixMs: 5}
	prompt := func(last string) []api.PromptPart {
		return []api.PromptPart{{ID: "shared", Tokens: 1}, {ID: last, Tokens: 1}}
	}
	for n := range 3 * maxRecentLastParts {
		r.record(target, prompt(fmt.Sprint(n)), time.Second)
	}
	r.record(target, []api.PromptPart{{ID: "new", Tokens: 1}, {ID: "newest", Tokens: 1}}, time.Second)
	r.record(target, []api.PromptPart{{ID: "alone", Tokens: 1}}, time.Second) // a session without shared parts
	report := r.report(time.Second)
	is.Equal(len(report), 3)
	n, lengths := 0, map[placement.PartID]int{} // of prompts by their last parts
	for _, p := range report {
		n += len(p.LastParts)
		for _, whole := range p.ToPlacement() {
			if len(whole.Parts) > 0 {
				lengths[whole.Parts[len(whole.Parts)-1].ID] = len(whole.Parts)
			}
		}
	}
	is.Equal(n, maxRecentLastParts)
	is.Equal(len(r.lastParts), maxRecentLastParts)
	is.Equal(lengths[placewire.PartID("newest")], 2)
	is.Equal(lengths[placewire.PartID("alone")], 1)

	target.StartedUnixMs = 6
	r.record(target, prompt("after the restart"), time.Second)
	for _, p := range r.report(time.Second) {
		if p.StartedUnixMs == 6 {
			is.Equal(p.LastParts, [][2]uint64{{uint64(placewire.PartID("after the restart")), 1}})
		}
	}
}

// Guards against a report before the first prompt that ends the process.
func TestReportWithoutRecentPrompts(t *testing.T) {
	var r recentPrompts
	is.New(t).Equal(len(r.report(time.Minute)), 0)
}
