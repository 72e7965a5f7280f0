package placement

import "container/list"

// PartID identifies a prompt part together with all parts before it.
type PartID uint64

// Part is one part of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// held is the assumed content of a target's prompt memory. Parts of running
// requests stay; of the others the least recently used yield, as they do at the
// target.
type held struct {
	capacity int // tokens
	used     int // tokens of all parts
	inUse    int // tokens of the parts of running requests, each counted once
	byID     map[PartID]*list.Element
	// keepers tells which targets keep a part with which several prompts begin. nil = not
	// told.
	keepers keepers
	owner   *target
	free    *list.List // parts that no running request uses, most recently used first
}

// heldPart is a part that a target keeps.
type heldPart struct {
	Part
	users int
	first bool // several prompts may begin with it
}

// keepers holds the targets that keep a part, by the part.
type keepers map[PartID]map[*target]struct{}

func (k keepers) add(id PartID, t *target) {
	if k == nil {
		return
	}
	if k[id] == nil {
		k[id] = map[*target]struct{}{}
	}
	k[id][t] = struct{}{}
}

func (k keepers) remove(id PartID, t *target) {
	delete(k[id], t)
	if len(k[id]) == 0 {
		delete(k, id)
	}
}

func newHeld(capacity int) *held {
	return &held{capacity: capacity, byID: map[PartID]*list.Element{}, free: list.New()}
}

// missing returns the tokens of a prompt that the target must read: all from the
// first part on that it does not keep.
func (h *held) missing(prompt []Part) int {
	n, kept := 0, true
	for _, p := range prompt {
		kept = kept && h.byID[p.ID] != nil
		if !kept {
			n += p.Tokens
		}
	}
	return n
}

// take begins the use of the parts of a prompt. Other is the memory that running
// requests take besides their prompts.
func (h *held) take(prompt []Part, other int) {
	for i, p := range prompt {
		e := h.byID[p.ID]
		if e == nil {
			first := i == 0 && len(prompt) > 1
			e = &list.Element{Value: &heldPart{Part: p, first: first}}
			h.byID[p.ID] = e
			h.used += p.Tokens
			if first {
				h.keepers.add(p.ID, h.owner)
			}
		} else if e.Value.(*heldPart).users == 0 {
			h.free.Remove(e)
		}
		part := e.Value.(*heldPart)
		if part.users == 0 {
			h.inUse += part.Tokens
		}
		part.users++
	}
	h.yield(other)
}

// release ends the use of the parts of a prompt. They stay while there is room;
// the first parts, which others share, are taken as used last.
func (h *held) release(prompt []Part, other int) {
	for i := len(prompt) - 1; i >= 0; i-- {
		e := h.byID[prompt[i].ID]
		if e == nil {
			continue // the target has begun a new life meanwhile
		}
		part := e.Value.(*heldPart)
		if part.users == 0 {
			continue
		}
		if part.users--; part.users == 0 {
			h.inUse -= part.Tokens
			h.byID[part.ID] = h.free.PushFront(part)
		}
	}
	h.yield(other)
}

// yield drops the least recently used parts that do not fit.
func (h *held) yield(other int) {
	for h.used+other > h.capacity && h.free.Len() > 0 {
		part := h.free.Remove(h.free.Back()).(*heldPart)
		delete(h.byID, part.ID)
		h.used -= part.Tokens
		if part.first {
			h.keepers.remove(part.ID, h.owner)
		}
	}
}

// forget tells that the target keeps nothing that counts any more.
func (h *held) forget() {
	for id, e := range h.byID {
		if part, ok := e.Value.(*heldPart); ok && part.first {
			h.keepers.remove(id, h.owner)
		}
	}
	h.keepers = nil
}
