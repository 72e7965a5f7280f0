package placement

import (
	"cmp"
	"slices"
	"time"
)

// RecentPrompt names parts that a target has prefilled, all parts of a prompt from its first one on.
type RecentPrompt struct {
	Target        string // ID
	StartedUnixMs int64  // of the target's incarnation
	Parts         []Part
	Ago           time.Duration // since the target has prefilled them
}

// RecordRecentPrompts records what targets have prefilled before this owner began, as far as it does not know
// of later use and the targets have room for it. Parts of another incarnation are ignored.
func (o *Owner) RecordRecentPrompts(prompts []RecentPrompt) {
	slices.SortStableFunc(prompts, func(a, b RecentPrompt) int { return cmp.Compare(a.Ago, b.Ago) })
	for i := range prompts {
		p := &prompts[i]
		if t := o.targets[p.Target]; t != nil && t.info.StartedUnixMs == p.StartedUnixMs && len(p.Parts) > 0 {
			t.cache.addOldest(p.Parts, t.outputTokens)
		}
	}
}

// addOldest adds prefilled parts as the first ones to be evicted, while there is room without evicting others.
// otherTokens is as in pin.
func (c *promptCache) addOldest(parts []Part, otherTokens int) {
	for i, p := range parts {
		if c.byID[p.ID] != nil {
			continue
		}
		if c.usedTokens+otherTokens+p.Tokens > c.capacity {
			return
		}
		part := &cachedPart{Part: p, indexed: i == 0 && len(parts) > 1, prefilledIn: c.generation}
		c.byID[p.ID] = c.unpinned.PushBack(part)
		c.usedTokens += p.Tokens
		if part.indexed {
			c.index.add(p.ID, c.target)
		}
	}
}
