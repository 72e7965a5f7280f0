package placement

import "container/list"

// PartID identifies a prompt part together with all parts before it; 0 = none.
type PartID uint64

// Part is one part of a prompt, with its length in tokens.
type Part struct {
	ID     PartID
	Tokens int
}

// promptCache models the assumed content of a target's prompt cache. The parts of running
// requests are pinned. The others are evicted in least-recently-used order, as the target
// does.
type promptCache struct {
	capacity     int // in tokens
	usedTokens   int // tokens of all cached parts
	pinnedTokens int // tokens of the parts of running requests, each part counted once
	byID         map[PartID]*list.Element
	// index lists the targets that have cached a first part shared by several prompts. nil =
	// no index is kept.
	index    cacheIndex
	target   *target
	unpinned *list.List // parts without running requests, most recently used first
	// generation is increased when the target may have lost the parts that it has prefilled.
	generation uint32
}

// cachedPart is a part in a prompt cache.
type cachedPart struct {
	Part
	pins    int32
	indexed bool // first part of a longer prompt, or of several prompts, which further ones may share
	// prefilledIn is the generation of the cache in which the part was prefilled; 0 = not yet.
	prefilledIn uint32
}

// cacheIndex maps a prompt part to the targets that have cached it.
type cacheIndex map[PartID]map[*target]struct{}

func (index cacheIndex) add(id PartID, t *target) {
	if index == nil {
		return
	}
	if index[id] == nil {
		index[id] = map[*target]struct{}{}
	}
	index[id][t] = struct{}{}
}

func (index cacheIndex) remove(id PartID, t *target) {
	delete(index[id], t)
	if len(index[id]) == 0 {
		delete(index, id)
	}
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, byID: map[PartID]*list.Element{}, unpinned: list.New(), generation: 1}
}

// uncachedTokens returns the prompt tokens that the target must prefill: all tokens from the
// first uncached part on, as later parts depend on the earlier ones.
func (c *promptCache) uncachedTokens(prompt []Part) int {
	n, cached := 0, true
	for _, p := range prompt {
		cached = cached && c.byID[p.ID] != nil
		if !cached {
			n += p.Tokens
		}
	}
	return n
}

// markPrefilled records that the target has prefilled the cached parts of a prompt.
func (c *promptCache) markPrefilled(prompt []Part) {
	for _, p := range prompt {
		if e := c.byID[p.ID]; e != nil {
			e.Value.(*cachedPart).prefilledIn = c.generation
		}
	}
}

// prefilledTokens returns the number of tokens up to the first one that is not cached or has not
// been prefilled yet.
func (c *promptCache) prefilledTokens(prompt []Part) (n int) {
	for _, p := range prompt {
		e := c.byID[p.ID]
		if e == nil || e.Value.(*cachedPart).prefilledIn != c.generation {
			break
		}
		n += p.Tokens
	}
	return n
}

// forget drops the assumption that the target has the parts of a prompt. Parts of running requests
// stay cached, but do not count as prefilled.
func (c *promptCache) forget(prompt []Part) {
	for _, p := range prompt {
		e := c.byID[p.ID]
		if e == nil {
			continue
		}
		part := e.Value.(*cachedPart)
		if part.prefilledIn = 0; part.pins == 0 {
			c.unpinned.Remove(e)
			c.remove(part)
		}
	}
}

// pin adds the parts of a starting request to the cache and protects them from eviction.
// otherTokens is the memory that running requests occupy besides their prompts.
func (c *promptCache) pin(prompt []Part, otherTokens int) {
	for i, p := range prompt {
		e := c.byID[p.ID]
		known := e != nil
		if !known {
			e = &list.Element{Value: &cachedPart{Part: p}}
			c.byID[p.ID] = e
			c.usedTokens += p.Tokens
		} else if e.Value.(*cachedPart).pins == 0 {
			c.unpinned.Remove(e)
		}
		part := e.Value.(*cachedPart)
		// The only part of a prompt is a session's once a second request has it. Those of single
		// requests would make the index large.
		if i == 0 && !part.indexed && (known || len(prompt) > 1) {
			part.indexed = true
			c.index.add(part.ID, c.target)
		}
		if part.pins == 0 {
			c.pinnedTokens += part.Tokens
		}
		part.pins++
	}
	c.evict(otherTokens)
}

// unpin releases the parts of a request that has ended. They stay cached until evicted. The
// parts are released in reverse order, so that the first ones, which other prompts share,
// are evicted last.
func (c *promptCache) unpin(prompt []Part, otherTokens int) {
	for i := len(prompt) - 1; i >= 0; i-- {
		e := c.byID[prompt[i].ID]
		if e == nil {
			continue // never pinned here; the target has restarted since
		}
		part := e.Value.(*cachedPart)
		if part.pins == 0 {
			continue
		}
		if part.pins--; part.pins == 0 {
			c.pinnedTokens -= part.Tokens
			c.byID[part.ID] = c.unpinned.PushFront(part)
		}
	}
	c.evict(otherTokens)
}

// evict removes unpinned parts, least recently used first, until the rest fits into the
// capacity.
func (c *promptCache) evict(otherTokens int) {
	for c.usedTokens+otherTokens > c.capacity && c.unpinned.Len() > 0 {
		part := c.unpinned.Remove(c.unpinned.Back()).(*cachedPart)
		c.remove(part)
	}
}

// remove removes a part that is not in the list of unpinned parts any more.
func (c *promptCache) remove(part *cachedPart) {
	delete(c.byID, part.ID)
	c.usedTokens -= part.Tokens
	if part.indexed {
		c.index.remove(part.ID, c.target)
	}
}

// removeFromIndex removes a target from the index after it was removed or has restarted.
func (c *promptCache) removeFromIndex() {
	for id, e := range c.byID {
		if part, ok := e.Value.(*cachedPart); ok && part.indexed {
			c.index.remove(id, c.target)
		}
	}
	c.index = nil
}
