package fairness

import (
	"math"

	"nutmegrouter/internal/api"
)

const (
	// minSamples is the number of completions after which a workspace's mean
	// cost replaces the caller's hint.
	minSamples = 4
	// meanWindow is the window of the moving means, in completions.
	meanWindow = 32
	// maxHintFactor limits a hint to between 1/maxHintFactor and maxHintFactor
	// times the pool's mean cost.
	maxHintFactor = 5
	// defaultCost is the estimate, in cost units, without a hint and before the
	// first completion in the pool.
	defaultCost = 100
	// MinCost and MaxCost bound estimates and true costs, in cost units. They
	// limit the effect of one wrong value on the rank of a workspace.
	MinCost = 1e-3
	MaxCost = 1e7
)

// NumCostClasses is the number of cost classes, ClassUnknown included.
const NumCostClasses = 4

// CostClassIndex returns the index of a cost class, from 0 to NumCostClasses-1.
// Unrecognised classes count as ClassUnknown, which has index 0.
func CostClassIndex(c api.CostClass) int {
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

// movingMean is the arithmetic mean of the first meanWindow values and an
// exponentially weighted moving average after them.
type movingMean struct {
	value float64
	count int
}

func (m *movingMean) add(x float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (x - m.value) / float64(m.count)
}

// clampCost limits a cost to MinCost and MaxCost. NaN becomes MinCost.
func clampCost(x float64) float64 {
	if !(x > MinCost) {
		return MinCost
	}
	return math.Min(x, MaxCost)
}

// Estimate returns the expected cost, in cost units, of a request of the workspace.
// class is an index that CostClassIndex returns. hint is the caller's estimate, 0 if
// there is none; it is ignored after 4 completions (minSamples) of the class in the
// workspace.
func (t *Table) Estimate(w *Workspace, class int, hint float64) float64 {
	if m := w.meansByClass[class]; m.count >= minSamples {
		return m.value
	}
	pool := t.meansByClass[class]
	switch {
	case hint > 0 && pool.count >= minSamples:
		return clampCost(math.Min(math.Max(hint, pool.value/maxHintFactor), pool.value*maxHintFactor))
	case hint > 0:
		// The mean over all classes does not bound the hint: cheap requests complete
		// first, so early means are far below the cost of a long request.
		return clampCost(hint)
	case pool.count > 0:
		return pool.value
	case t.overallMean.count > 0:
		return t.overallMean.value
	}
	return defaultCost
}

// recordCost updates the moving means with the true cost of a completed request.
func (t *Table) recordCost(w *Workspace, class int, cost float64) {
	w.meansByClass[class].add(cost)
	t.meansByClass[class].add(cost)
	t.overallMean.add(cost)
}
