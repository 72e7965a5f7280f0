package kernel

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
)

// Ring is a bounded FIFO queue between duties. A full ring refuses values and counts
// the refusals; it never blocks a producer.
type Ring[T any] struct {
	ch      chan T
	refused *metrics.Counter
}

// NewRing returns a ring with a capacity of size values. The counter
// nutmeg_ring_refused_total with the ring's name counts the refusals.
func NewRing[T any](set *metrics.Set, name string, size int) *Ring[T] {
	return &Ring[T]{
		ch:      make(chan T, size),
		refused: set.GetOrCreateCounter(`nutmeg_ring_refused_total{ring="` + name + `"}`),
	}
}

// Push adds a value. It returns false if the ring is full.
func (r *Ring[T]) Push(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Inc()
		return false
	}
}

// Pop removes the oldest value. It waits until there is one or the context ends, and
// then returns the context's error.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.ch:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel of values for use in a select.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Signal wakes the duty that reads the channel, which must have a capacity of one.
// Signals sent before the duty reads the channel are merged into one. It never blocks.
func Signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
