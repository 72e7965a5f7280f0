package fairness

// The heap is written out because container/heap boxes its elements and calls
// through an interface on every comparison.

func less(a, b *Workspace) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.since < b.since
}

func (t *Table) push(w *Workspace) {
	w.pos = len(t.heap)
	t.heap = append(t.heap, w)
	t.up(w.pos)
}

func (t *Table) remove(w *Workspace) {
	i, last := w.pos, len(t.heap)-1
	t.swap(i, last)
	t.heap[last] = nil
	t.heap = t.heap[:last]
	w.pos = -1
	if i < last && !t.up(i) {
		t.down(i)
	}
}

func (t *Table) fix(w *Workspace) {
	if !t.up(w.pos) {
		t.down(w.pos)
	}
}

func (t *Table) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].pos, t.heap[j].pos = i, j
}

// up reports whether the element moved.
func (t *Table) up(i int) bool {
	start := i
	for i > 0 {
		parent := (i - 1) / 2
		if !less(t.heap[i], t.heap[parent]) {
			break
		}
		t.swap(i, parent)
		i = parent
	}
	return i != start
}

func (t *Table) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(t.heap) {
			return
		}
		if right := child + 1; right < len(t.heap) && less(t.heap[right], t.heap[child]) {
			child = right
		}
		if !less(t.heap[child], t.heap[i]) {
			return
		}
		t.swap(i, child)
		i = child
	}
}
