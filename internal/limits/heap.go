package limits

import "time"

// Indices of Target.heapIndex.
const (
	heapOfAll        = 0 // heap of all targets with free capacity
	heapOfDataCentre = 1 // heap of those in the target's data centre
)

// heap orders targets by the free share of their limit, largest first. It does not
// use container/heap, which boxes its elements.
type heap struct {
	index int
	items []*Target
}

func (h *heap) top() *Target {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// topExcept returns the first target whose name is not avoid, or nil.
func (h *heap) topExcept(avoid string) *Target {
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
	if freer(h.items[2], h.items[1]) {
		return h.items[2]
	}
	return h.items[1]
}

func freer(a, b *Target) bool { return a.freeShare() > b.freeShare() }

// updateHeaps adds the target to its heaps or moves it there if it has free capacity,
// and removes it otherwise.
func (s *Set) updateHeaps(t *Target, now time.Duration) {
	if !t.hasCapacity(now) {
		s.removeFromHeaps(t)
		return
	}
	s.available.place(t)
	local := s.availableByDC[t.DataCentre]
	if local == nil {
		local = &heap{index: heapOfDataCentre}
		s.availableByDC[t.DataCentre] = local
	}
	local.place(t)
}

func (s *Set) removeFromHeaps(t *Target) {
	s.available.remove(t)
	if local := s.availableByDC[t.DataCentre]; local != nil {
		local.remove(t)
	}
}

// place adds the target, or moves it if the heap contains it.
func (h *heap) place(t *Target) {
	if t.heapIndex[h.index] < 0 {
		t.heapIndex[h.index] = len(h.items)
		h.items = append(h.items, t)
	}
	if !h.up(t.heapIndex[h.index]) {
		h.down(t.heapIndex[h.index])
	}
}

func (h *heap) remove(t *Target) {
	i := t.heapIndex[h.index]
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	t.heapIndex[h.index] = -1
	if i < last && !h.up(i) {
		h.down(i)
	}
}

func (h *heap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.index], h.items[j].heapIndex[h.index] = i, j
}

// up moves the element at index i towards the root and reports whether it moved.
func (h *heap) up(i int) bool {
	start := i
	for i > 0 {
		parent := (i - 1) / 2
		if !freer(h.items[i], h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i = parent
	}
	return i != start
}

// down moves the element at index i towards the leaves.
func (h *heap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && freer(h.items[right], h.items[child]) {
			child = right
		}
		if !freer(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
