package fairness

import (
	"math"

	"nutmegrouter/internal/api"
)

const (
	// enoughSamples is the number of completions after which a learned mean
	// replaces the caller's hint.
	enoughSamples = 4
	// meanWindow is the number of completions over which the mean moves.
	meanWindow = 32
	// hintSpread bounds a hint to this factor either side of the pool's mean.
	hintSpread = 5
	// defaultCost is the estimate before anything is known about the pool.
	defaultCost = 100
	// MinCost and MaxCost bound estimates and true costs in cost units, so
	// that a single wrong value cannot move a workspace out of reach.
	MinCost = 1e-3
	MaxCost = 1e7
)

// Kinds is the number of cost classes, ClassUnknown included.
const Kinds = 4

// Kind returns the index of a cost class; unknown words count as ClassUnknown.
func Kind(c api.CostClass) int {
	switch c {
	case api.ClassLong:
		return 1
	case api.ClassQuick:
		return 2
	case api.ClassLabel:
		return 3
	}
	return 0
}

// mean is a moving mean: exact for the first meanWindow values, exponential
// after them.
type mean struct {
	value float64
	count int
}

func (m *mean) add(x float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (x - m.value) / float64(m.count)
}

// clampCost maps NaN and negative values to MinCost.
func clampCost(x float64) float64 {
	if !(x > MinCost) {
		return MinCost
	}
	return math.Min(x, MaxCost)
}

// Estimate returns the expected cost of a request of the workspace.
func (t *Table) Estimate(w *Workspace, kind int, hint float64) float64 {
	if m := w.means[kind]; m.count >= enoughSamples {
		return m.value
	}
	pool := t.means[kind]
	switch {
	case hint > 0 && pool.count >= enoughSamples:
		return clampCost(math.Min(math.Max(hint, pool.value/hintSpread), pool.value*hintSpread))
	case hint > 0:
		// The mean of other kinds is no bound: cheap requests complete first, so
		// early means are far below the cost of a long request.
		return clampCost(hint)
	case pool.count > 0:
		return pool.value
	case t.all.count > 0:
		return t.all.value
	}
	return defaultCost
}

func (t *Table) learn(w *Workspace, kind int, cost float64) {
	w.means[kind].add(cost)
	t.means[kind].add(cost)
	t.all.add(cost)
}
