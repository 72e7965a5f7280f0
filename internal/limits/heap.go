package limits

import "time"

// Slots of Target.pos.
const (
	slotAll  = 0 // heap of all targets of the pool
	slotNear = 1 // heap of the target's data centre
)

// heap orders targets by their free share, largest first. It is written out
// because container/heap boxes its elements.
type heap struct {
	slot  int
	items []*Target
}

func (h *heap) top() *Target {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// best returns the first target that is not the one to avoid, or nil.
func (h *heap) best(avoid string) *Target {
	t := h.top()
	if t == nil || avoid == "" || t.Name != avoid {
		return t
	}
	switch len(h.items) {
	case 1:
		return nil
	case 2:
		return h.items[1]
	}
	if before(h.items[2], h.items[1]) {
		return h.items[2]
	}
	return h.items[1]
}

func before(a, b *Target) bool { return a.free() > b.free() }

// refresh puts the target in its heaps, moves it there, or takes it out.
func (s *Set) refresh(t *Target, now time.Duration) {
	if !t.room(now) {
		s.leaveHeaps(t)
		return
	}
	s.rooms.place(t)
	near := s.byDC[t.DataCentre]
	if near == nil {
		near = &heap{slot: slotNear}
		s.byDC[t.DataCentre] = near
	}
	near.place(t)
}

func (s *Set) leaveHeaps(t *Target) {
	s.rooms.remove(t)
	if near := s.byDC[t.DataCentre]; near != nil {
		near.remove(t)
	}
}

func (h *heap) place(t *Target) {
	if t.pos[h.slot] < 0 {
		t.pos[h.slot] = len(h.items)
		h.items = append(h.items, t)
	}
	if !h.up(t.pos[h.slot]) {
		h.down(t.pos[h.slot])
	}
}

func (h *heap) remove(t *Target) {
	i := t.pos[h.slot]
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	t.pos[h.slot] = -1
	if i < last && !h.up(i) {
		h.down(i)
	}
}

func (h *heap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].pos[h.slot], h.items[j].pos[h.slot] = i, j
}

// up reports whether the element moved.
func (h *heap) up(i int) bool {
	start := i
	for i > 0 {
		parent := (i - 1) / 2
		if !before(h.items[i], h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i = parent
	}
	return i != start
}

func (h *heap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && before(h.items[right], h.items[child]) {
			child = right
		}
		if !before(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
