package placewire

import (
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
)

// RecentPrompt names parts of prompts that a target has prefilled: the parts that the prompts share, and the last part
// of each, newest first. AgoMs is the time since, in milliseconds.
type RecentPrompt struct {
	Target        string      `json:"a"`
	StartedUnixMs int64       `json:"s,omitempty"` // of the target's incarnation
	Parts         [][2]uint64 `json:"p"`
	LastParts     [][2]uint64 `json:"l,omitempty"`
	AgoMs         int64       `json:"g,omitempty"`
}

// NewRecentPrompt returns the message for prompt parts.
func NewRecentPrompt(target string, startedUnixMs int64, parts, lastParts []api.PromptPart, ago time.Duration) RecentPrompt {
	return RecentPrompt{Target: target, StartedUnixMs: startedUnixMs, Parts: encodePrompt(parts), LastParts: encodePrompt(lastParts), AgoMs: ago.Milliseconds()}
}

// ToPlacement converts the message to prompts of package placement.
func (r *RecentPrompt) ToPlacement() []placement.RecentPrompt {
	prompt := func(parts []placement.Part) placement.RecentPrompt {
		return placement.RecentPrompt{Target: r.Target, StartedUnixMs: r.StartedUnixMs, Parts: parts, Ago: time.Duration(r.AgoMs) * time.Millisecond}
	}
	shared := decodePrompt(r.Parts)
	out := []placement.RecentPrompt{prompt(shared)}
	for _, last := range decodePrompt(r.LastParts) {
		out = append(out, prompt(append(slices.Clip(shared), last)))
	}
	return out
}
