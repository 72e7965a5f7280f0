package placer

import (
	"container/list"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placewire"
)

const (
	// recentPromptTime is the age up to which prompts are reported to a new owner. Targets keep the parts of a
	// prompt for some seconds after its request.
	recentPromptTime = 10 * time.Second
	// maxRecentPrompts bounds the prompts with different shared parts that are kept, maxRecentLastParts their last
	// parts.
	maxRecentPrompts   = 512
	maxRecentLastParts = 512
	// recentPromptsDelay is the time from the full report to a new owner until the prompts are sent, and
	// recentPromptsSpread the time over which the entry instances spread them: requests come first.
	recentPromptsDelay  = 300 * time.Millisecond
	recentPromptsSpread = 700 * time.Millisecond
)

// recentPrompt is a prompt whose shared parts, all but the last one, a target has prefilled.
type recentPrompt struct {
	target        string
	startedUnixMs int64 // of the target's incarnation
	parts         []api.PromptPart
	at            time.Duration
}

// recentKey identifies a part of a prompt at a target. The shared parts of a prompt are identified by the last one of
// them; "" = it has none.
type recentKey struct{ target, part string }

// recentLastPart is the last part of a prompt that a target has prefilled, behind the shared parts with a key.
type recentLastPart struct {
	key    recentKey
	shared recentKey
	part   api.PromptPart
	at     time.Duration
}

// recentPrompts holds the prompts that targets have prefilled for this instance lately, so that a new owner does not
// take their prompt caches for empty. The last part of a prompt may be a session's, whose next request needs it, or
// that of one request alone. Last parts are therefore kept apart from the shared ones: they may be many, and must not
// take the room of those. A zero value can be reported, but not recorded in.
type recentPrompts struct {
	shared    map[recentKey]*recentPrompt
	lastParts map[recentKey]*list.Element // of newest
	newest    list.List                   // of *recentLastPart, newest first
}

func newRecentPrompts() recentPrompts {
	return recentPrompts{shared: map[recentKey]*recentPrompt{}, lastParts: map[recentKey]*list.Element{}}
}

// record records that a target has prefilled a prompt. At maxRecentPrompts, prompts whose shared parts are new are left
// out until older ones have expired.
func (r *recentPrompts) record(t *api.Target, prompt []api.PromptPart, now time.Duration) {
	if len(prompt) == 0 {
		return
	}
	shared, last := prompt[:len(prompt)-1], prompt[len(prompt)-1]
	key := recentKey{target: t.ID}
	if len(shared) > 0 {
		key.part = shared[len(shared)-1].ID
	}
	known := r.shared[key]
	if known == nil {
		if len(r.shared) >= maxRecentPrompts {
			r.expire(now)
		}
		if len(r.shared) >= maxRecentPrompts {
			return
		}
		known = &recentPrompt{target: t.ID}
		r.shared[key] = known
	}
	if known.startedUnixMs != t.StartedUnixMs {
		r.removeLastParts(key)
	}
	known.at, known.startedUnixMs, known.parts = now, t.StartedUnixMs, shared
	r.recordLastPart(recentLastPart{recentKey{t.ID, last.ID}, key, last, now})
}

// recordLastPart records the last part of a prompt in place of the oldest one, if there are too many.
func (r *recentPrompts) recordLastPart(p recentLastPart) {
	if e := r.lastParts[p.key]; e != nil {
		r.newest.Remove(e)
	}
	r.lastParts[p.key] = r.newest.PushFront(&p)
	if r.newest.Len() > maxRecentLastParts {
		r.removeLastPart(r.newest.Back())
	}
}

func (r *recentPrompts) removeLastPart(e *list.Element) {
	delete(r.lastParts, r.newest.Remove(e).(*recentLastPart).key)
}

// removeLastParts drops the last parts behind shared ones, whose target has restarted.
func (r *recentPrompts) removeLastParts(shared recentKey) {
	for e := r.newest.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*recentLastPart).shared == shared {
			r.removeLastPart(e)
		}
		e = next
	}
}

// expire drops the prompts that are older than recentPromptTime.
func (r *recentPrompts) expire(now time.Duration) {
	for key, p := range r.shared {
		if now-p.at > recentPromptTime {
			delete(r.shared, key)
		}
	}
	for e := r.newest.Back(); e != nil && now-e.Value.(*recentLastPart).at > recentPromptTime; e = r.newest.Back() {
		r.removeLastPart(e)
	}
}

// report returns the prompts for a new owner.
func (r *recentPrompts) report(now time.Duration) []placewire.RecentPrompt {
	r.expire(now)
	lastParts := map[recentKey][]api.PromptPart{}
	for e := r.newest.Front(); e != nil; e = e.Next() {
		p := e.Value.(*recentLastPart)
		lastParts[p.shared] = append(lastParts[p.shared], p.part)
	}
	out := make([]placewire.RecentPrompt, 0, len(r.shared))
	for key, p := range r.shared {
		out = append(out, placewire.NewRecentPrompt(p.target, p.startedUnixMs, p.parts, lastParts[key], now-p.at))
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
