package fairness

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type work struct {
	w         *Workspace
	est, cost float64
}

// Guards against a gap between backlogged workspaces beyond the bound
// (Lmax_i+U_i)/w_i + (Lmax_j+U_j)/w_j, whatever the costs, hints, weights and the
// order of completions are.
func TestGapBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		n := rapid.IntRange(2, 8).Draw(t, "workspaces")
		weights := map[string]float64{}
		for i := range n {
			weights[fmt.Sprint(i)] = rapid.Float64Range(0.5, 10).Draw(t, "weight")
		}
		table.SetWeights(weights)
		served, largest := make([]float64, n), make([]float64, n)
		errs, worst := make([]float64, n), make([]float64, n)
		var all []*Workspace
		index := map[*Workspace]int{}
		for i := range n {
			w := table.Get(fmt.Sprint(i))
			table.Activate(w)
			all, index[w] = append(all, w), i
		}
		var running []work
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "complete") {
				k := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				x := running[k]
				running = append(running[:k], running[k+1:]...)
				table.Settle(x.w, 0, x.est, x.cost, true)
				errs[index[x.w]] -= math.Abs(x.est - x.cost)
				continue
			}
			w := table.Min()
			i := index[w]
			cost := rapid.Float64Range(1, 100).Draw(t, "cost")
			est := table.Charge(w, 0, cost*rapid.Float64Range(0.2, 5).Draw(t, "hint error"))
			running = append(running, work{w, est, cost})
			served[i] += cost
			largest[i] = math.Max(largest[i], cost)
			errs[i] += math.Abs(est - cost)
			worst[i] = math.Max(worst[i], errs[i])
			for j := range n {
				bound := (largest[i]+worst[i])/all[i].weight + (largest[j]+worst[j])/all[j].weight
				if gap := served[i]/all[i].weight - served[j]/all[j].weight; gap > bound*1.000001 {
					t.Fatalf("gap %v of %d and %d exceeds %v", gap, i, j, bound)
				}
			}
		}
	})
}

// Guards against a heap that loses its order when accounts change in place.
func TestMinIsSmallest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w := table.Get(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "workspace")))
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0:
				table.Activate(w)
			case 1:
				table.Deactivate(w)
			case 2:
				table.Charge(w, 0, rapid.Float64Range(1, 100).Draw(t, "hint"))
			case 3:
				table.Settle(w, 0, 50, rapid.Float64Range(1, 100).Draw(t, "cost"), true)
			case 4:
				table.Refund(w, 10)
			}
			m := table.Min()
			table.Each(func(x *Workspace) {
				if x.Backlogged() && (m == nil || less(x, m)) {
					t.Fatalf("%s comes before the minimum", x.Name)
				}
			})
		}
	})
}

// Guards against credit saved while idle, and against debt that is forgotten.
func TestReturnFromIdle(t *testing.T) {
	is := is.New(t)
	table := New()
	busy, idle, debtor := table.Get("busy"), table.Get("idle"), table.Get("debtor")
	table.Activate(debtor)
	est := table.Charge(debtor, 0, 10)
	table.Deactivate(debtor)
	table.Settle(debtor, 0, est, 5000, true)
	table.Activate(busy)
	for range 20 {
		table.Charge(busy, 1, 100)
	}
	table.Activate(idle)
	is.Equal(idle.Virtual(), table.VirtualTime()) // no credit
	table.Forget()
	table.Activate(table.Get("debtor"))
	is.Equal(table.Get("debtor").Virtual(), 5000.0) // debt is kept
	is.Equal(table.Min(), idle)
}

// Guards against estimates that trust a hint too far or values that are no cost.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	table := New()
	w, other := table.Get("w"), table.Get("other")
	is.Equal(table.Estimate(w, 0, 0), float64(defaultCost))
	is.Equal(table.Estimate(w, 0, 70), 70.0)
	is.Equal(table.Estimate(w, 0, math.Inf(1)), float64(MaxCost))
	for range enoughSamples {
		table.Settle(other, 0, 0, 100, true)
	}
	is.Equal(table.Estimate(w, 0, 5), 20.0)                // a fifth of the pool's mean
	is.Equal(table.Estimate(w, 0, 5e6), 500.0)             // five times the pool's mean
	is.Equal(table.Estimate(w, 0, 0), 100.0)               // the pool's mean
	is.Equal(table.Estimate(w, 1, 5e3), 5e3)               // another kind is no bound
	is.Equal(table.Estimate(other, 0, 5), 100.0)           // learned: hints are ignored
	table.Settle(w, 0, 0, math.NaN(), true)                // counts as the smallest cost
	is.True(!math.IsNaN(w.Virtual()) && w.Virtual() < 1.0) // no value may poison an account
}

// Guards against service lost or made up when a new owner loads the table.
func TestRowsAndLoad(t *testing.T) {
	is := is.New(t)
	old := New()
	a, b := old.Get("a"), old.Get("b")
	old.Activate(a)
	old.Activate(b)
	for range 8 {
		est := old.Charge(a, 2, 30)
		old.Settle(a, 2, est, 40, true)
	}
	fresh := New()
	fresh.Activate(fresh.Get("b")) // reported before the table was loaded
	fresh.Activate(fresh.Get("late"))
	fresh.Load(old.VirtualTime(), old.Rows(nil, true))
	fresh.Credit("a", 11)
	fresh.Credit("new", 5)
	fresh.Credit("a", math.NaN())
	is.Equal(fresh.Get("a").Virtual(), a.Virtual()+11)
	is.Equal(fresh.Get("b").Virtual(), b.Virtual())
	is.Equal(fresh.Get("late").Virtual(), old.VirtualTime())
	is.Equal(fresh.Get("new").Virtual(), old.VirtualTime()+5)
	is.Equal(fresh.Min().Name, "b")
	is.Equal(fresh.Estimate(fresh.Get("a"), 2, 1), 40.0)
	fresh.Load(old.VirtualTime(), []Row{{Workspace: "b", Ahead: math.NaN()}})
	is.Equal(fresh.Get("b").Virtual(), b.Virtual())
}

// Guards against a table that grows with every workspace name ever seen.
func TestForget(t *testing.T) {
	is := is.New(t)
	table := New()
	table.SetWeights(map[string]float64{"kept": 1})
	table.Get("kept")
	for i := range 1000 {
		w := table.Get(fmt.Sprint(i))
		table.Activate(w)
		est := table.Charge(w, 0, 1)
		table.Deactivate(w)
		table.Settle(w, 0, est, 1, true)
	}
	w := table.Get("kept")
	w.virtual = 10
	table.Activate(w)
	table.Charge(w, 0, 1)
	table.Forget()
	is.Equal(table.Len(), 1)
}
