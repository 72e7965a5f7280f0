package placer

import (
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placewire"
)

const (
	// recentPromptTime is the age up to which prompts are reported to a new owner. Targets keep the parts of a
	// prompt for some seconds after its request.
	recentPromptTime = 10 * time.Second
	// maxRecentPrompts bounds the prompts that are kept.
	maxRecentPrompts = 512
	// recentPromptsDelay is the time from the full report to a new owner until the prompts are sent, and
	// recentPromptsSpread the time over which the entry instances spread them: requests come first.
	recentPromptsDelay  = 300 * time.Millisecond
	recentPromptsSpread = 700 * time.Millisecond
)

// recentPrompt is a prompt whose shared parts a target has prefilled.
type recentPrompt struct {
	target        string
	startedUnixMs int64 // of the target's incarnation
	parts         []api.PromptPart
	at            time.Duration
}

// recentKey identifies the shared parts of a prompt at a target by the last one of them.
type recentKey struct{ target, part string }

// recentPrompts holds the shared parts of the prompts that targets have prefilled for this instance lately, so
// that a new owner does not take their prompt caches for empty.
type recentPrompts struct {
	byKey map[recentKey]*recentPrompt
}

func newRecentPrompts() recentPrompts { return recentPrompts{byKey: map[recentKey]*recentPrompt{}} }

// record records that a target has prefilled a prompt. The last part belongs to the request alone and is left
// out. At maxRecentPrompts, prompts that are new are left out until older ones have expired.
func (r *recentPrompts) record(t *api.Target, prompt []api.PromptPart, now time.Duration) {
	if len(prompt) < 2 {
		return
	}
	shared := prompt[:len(prompt)-1]
	key := recentKey{t.ID, shared[len(shared)-1].ID}
	if known := r.byKey[key]; known != nil {
		known.at, known.startedUnixMs, known.parts = now, t.StartedUnixMs, shared
		return
	}
	if len(r.byKey) >= maxRecentPrompts {
		r.expire(now)
	}
	if len(r.byKey) < maxRecentPrompts {
		r.byKey[key] = &recentPrompt{target: t.ID, startedUnixMs: t.StartedUnixMs, parts: shared, at: now}
	}
}

// expire drops the prompts that are older than recentPromptTime.
func (r *recentPrompts) expire(now time.Duration) {
	for key, p := range r.byKey {
		if now-p.at > recentPromptTime {
			delete(r.byKey, key)
		}
	}
}

// report returns the prompts for a new owner.
func (r *recentPrompts) report(now time.Duration) []placewire.RecentPrompt {
	r.expire(now)
	out := make([]placewire.RecentPrompt, 0, len(r.byKey))
	for _, p := range r.byKey {
		out = append(out, placewire.NewRecentPrompt(p.target, p.startedUnixMs, p.parts, now-p.at))
	}
	return out
}

// recordPrefilled records the prompt of a model request whose first event has arrived. The lock must be held.
func (a *assignment) recordPrefilled(now time.Duration) {
	if a.work.Engine != nil && a.work.Engine.CanFetch() {
		a.placer.recent.record(&a.target, a.work.Prompt, now)
	}
}

// scheduleRecentPrompts has the recent prompts sent to the present owner after recentPromptsDelay. A full report that is
// queued before they are sent drops them: then the owner has shared parts prefilled again. The lock must be held.
func (p *Placer) scheduleRecentPrompts(random float64) {
	term := p.owner.term
	time.AfterFunc(recentPromptsDelay+time.Duration(random*float64(recentPromptsSpread)), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.owner.term != term {
			return
		}
		if p.pending.Recent = p.recent.report(p.clock.Now()); len(p.pending.Recent) > 0 {
			p.signalSendWithin(lazyDelay)
		}
	})
}
