package placement

import (
	"container/list"
	"time"
)

// PartID identifies a prompt part together with all parts before it.
type PartID uint64

// Part is one part of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// held is the assumed content of a target's prompt memory. The least recently
// used parts yield, as they do at the target.
type held struct {
	capacity int // tokens
	used     int
	byID     map[PartID]*list.Element
	order    *list.List // most recently used first
}

// heldPart is a part that a target keeps.
type heldPart struct {
	Part
	usedAt time.Duration
}

func newHeld(capacity int) *held {
	return &held{capacity: capacity, byID: map[PartID]*list.Element{}, order: list.New()}
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

// use marks the parts of a prompt as just used. The memory that running requests
// take reduces what can be kept.
func (h *held) use(prompt []Part, running int, now time.Duration) {
	for _, p := range prompt {
		if e := h.byID[p.ID]; e != nil {
			e.Value.(*heldPart).usedAt = now
			h.order.MoveToFront(e)
			continue
		}
		h.byID[p.ID] = h.order.PushFront(&heldPart{Part: p, usedAt: now})
		h.used += p.Tokens
	}
	for h.used > max(0, h.capacity-running) && h.order.Len() > len(prompt) {
		h.drop(h.order.Back())
	}
}

func (h *held) drop(e *list.Element) {
	p := h.order.Remove(e).(*heldPart)
	delete(h.byID, p.ID)
	h.used -= p.Tokens
}

func (h *held) clear() {
	h.used = 0
	clear(h.byID)
	h.order.Init()
}
