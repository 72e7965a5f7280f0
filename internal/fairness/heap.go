package fairness

// The heap does not use container/heap, which boxes its elements and compares them
// through an interface.

// less orders by virtual service, then by the order of activation.
func less(a, b *Workspace) bool {
	if a.virtualService != b.virtualService {
		return a.virtualService < b.virtualService
	}
	return a.activation < b.activation
}

func (t *Table) push(w *Workspace) {
	w.heapIndex = len(t.heap)
	t.heap = append(t.heap, w)
	t.up(w.heapIndex)
}

func (t *Table) remove(w *Workspace) {
	i, last := w.heapIndex, len(t.heap)-1
	t.swap(i, last)
	t.heap[last] = nil
	t.heap = t.heap[:last]
	w.heapIndex = -1
	if i < last && !t.up(i) {
		t.down(i)
	}
}

// fix restores the heap order after the virtual service of a workspace has changed.
func (t *Table) fix(w *Workspace) {
	if !t.up(w.heapIndex) {
		t.down(w.heapIndex)
	}
}

func (t *Table) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].heapIndex, t.heap[j].heapIndex = i, j
}

// up moves the element at index i towards the root and reports whether it moved.
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

// down moves the element at index i towards the leaves.
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
