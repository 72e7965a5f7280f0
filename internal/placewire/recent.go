package placewire

import (
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
)

// RecentPrompt names shared parts of a prompt that a target has prefilled: AgoMs is the time since, in
// milliseconds.
type RecentPrompt struct {
	Target        string      `json:"a"`
	StartedUnixMs int64       `json:"s,omitempty"` // of the target's incarnation
	Parts         [][2]uint64 `json:"p"`
	AgoMs         int64       `json:"g,omitempty"`
}

// NewRecentPrompt returns the message for prompt parts.
func NewRecentPrompt(target string, startedUnixMs int64, parts []api.PromptPart, ago time.Duration) RecentPrompt {
	return RecentPrompt{Target: target, StartedUnixMs: startedUnixMs, Parts: encodePrompt(parts), AgoMs: ago.Milliseconds()}
}

// ToPlacement converts the message to the type of package placement.
func (r *RecentPrompt) ToPlacement() placement.RecentPrompt {
	return placement.RecentPrompt{Target: r.Target, StartedUnixMs: r.StartedUnixMs, Parts: decodePrompt(r.Parts), Ago: time.Duration(r.AgoMs) * time.Millisecond}
}
