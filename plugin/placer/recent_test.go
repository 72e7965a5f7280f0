package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placewire"
)

// Guards against prompts that are reported with the part that belongs to one request alone, after targets have
// dropped them, or without bound.
func TestRecentPrompts(t *testing.T) {
	is := is.New(t)
	r := newRecentPrompts()
	target := &api.Target{ID: "t", StartedUnixMs: 5}
	prompt := []api.PromptPart{{ID: "a", Tokens: 512}, {ID: "b", Tokens: 4000}, {ID: "own", Tokens: 100}}
	r.record(target, prompt, 0)
	r.record(target, prompt, 2*time.Second) // counts once, with its newest use
	r.record(target, prompt[2:], 2*time.Second)
	is.Equal(r.report(3*time.Second), []placewire.RecentPrompt{{
		Target: "t", StartedUnixMs: 5, AgoMs: 1000,
		Parts: [][2]uint64{{uint64(placewire.PartID("a")), 512}, {uint64(placewire.PartID("b")), 4000}},
	}})
	is.Equal(len(r.report(2*time.Second+recentPromptTime+1)), 0)
	for n := range 3 * maxRecentPrompts {
		r.record(target, []api.PromptPart{{ID: fmt.Sprint(n), Tokens: 1}, {ID: "own", Tokens: 1}}, time.Minute)
	}
	is.Equal(len(r.report(time.Minute)), maxRecentPrompts)
}
