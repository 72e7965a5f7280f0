package fairness

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type runningWork struct {
	w         *Workspace
	est, cost float64
}

// Guards against a service gap between backlogged workspaces above the bound
// (Lmax_i+U_i)/w_i + (Lmax_j+U_j)/w_j, for random costs, hints, weights and orders
// of completion.
func TestServiceGapBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		n := rapid.IntRange(2, 8).Draw(t, "workspaces")
		weights := map[string]float64{}
		for i := range n {
			weights[fmt.Sprint(i)] = rapid.Float64Range(0.5, 10).Draw(t, "weight")
		}
		table.SetWeights(weights)
		served, largest := make([]float64, n), make([]float64, n)
		estErrors, maxErrors := make([]float64, n), make([]float64, n)
		var all []*Workspace
		index := map[*Workspace]int{}
		for i := range n {
			w := table.Get(fmt.Sprint(i))
			table.Activate(w)
			all, index[w] = append(all, w), i
		}
		var running []runningWork
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "complete") {
				k := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				x := running[k]
				running = append(running[:k], running[k+1:]...)
				table.Settle(x.w, 0, x.est, x.cost, true)
				estErrors[index[x.w]] -= math.Abs(x.est - x.cost)
				continue
			}
			w := table.Min()
			i := index[w]
			cost := rapid.Float64Range(1, 100).Draw(t, "cost")
			est := table.Charge(w, 0, cost*rapid.Float64Range(0.2, 5).Draw(t, "hint error"))
			running = append(running, runningWork{w, est, cost})
			served[i] += cost
			largest[i] = math.Max(largest[i], cost)
			estErrors[i] += math.Abs(est - cost)
			maxErrors[i] = math.Max(maxErrors[i], estErrors[i])
			for j := range n {
				bound := (largest[i]+maxErrors[i])/all[i].weight + (largest[j]+maxErrors[j])/all[j].weight
				if gap := served[i]/all[i].weight - served[j]/all[j].weight; gap > bound*1.000001 {
					t.Fatalf("gap %v of %d and %d exceeds %v", gap, i, j, bound)
				}
			}
		}
	})
}

// Guards against a wrong minimum after accounts in the heap have changed.
func TestMinAfterUpdates(t *testing.T) {
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

// Guards against a workspace that accumulates credit or loses its debt while idle.
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
	table.RemoveIdle()
	table.Activate(table.Get("debtor"))
	is.Equal(table.Get("debtor").Virtual(), 5000.0) // debt is kept
	is.Equal(table.Min(), idle)
}

// Guards against estimates that follow an implausible hint, and against costs that
// are not finite.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	table := New()
	w, other := table.Get("w"), table.Get("other")
	is.Equal(table.Estimate(w, 0, 0), float64(defaultCost))
	is.Equal(table.Estimate(w, 0, 70), 70.0)
	is.Equal(table.Estimate(w, 0, math.Inf(1)), float64(MaxCost))
	for range minSamples {
		table.Settle(other, 0, 0, 100, true)
	}
	is.Equal(table.Estimate(w, 0, 5), 20.0)                // a fifth of the pool's mean
	is.Equal(table.Estimate(w, 0, 5e6), 500.0)             // five times the pool's mean
	is.Equal(table.Estimate(w, 0, 0), 100.0)               // the pool's mean
	is.Equal(table.Estimate(w, 1, 5e3), 5e3)               // completions of another class do not bound the hint
	is.Equal(table.Estimate(other, 0, 5), 100.0)           // hints are ignored after enough completions
	table.Settle(w, 0, 0, math.NaN(), true)                // counts as the smallest cost
	is.True(!math.IsNaN(w.Virtual()) && w.Virtual() < 1.0) // NaN does not reach the account
}

// Guards against service that is lost or counted twice when a new owner restores the
// previous owner's table.
func TestLoadAndCredit(t *testing.T) {
	is := is.New(t)
	previous := New()
	a, b := previous.Get("a"), previous.Get("b")
	previous.Activate(a)
	previous.Activate(b)
	for range 8 {
		est := previous.Charge(a, 2, 30)
		previous.Settle(a, 2, est, 40, true)
	}
	restored := New()
	restored.Activate(restored.Get("b")) // backlogged before Load
	restored.Activate(restored.Get("late"))
	restored.Load(previous.VirtualTime(), previous.Rows(nil, true))
	restored.Credit("a", 11)
	restored.Credit("new", 5)
	restored.Credit("a", math.NaN())
	is.Equal(restored.Get("a").Virtual(), a.Virtual()+11)
	is.Equal(restored.Get("b").Virtual(), b.Virtual())
	is.Equal(restored.Get("late").Virtual(), previous.VirtualTime())
	is.Equal(restored.Get("new").Virtual(), previous.VirtualTime()+5)
	is.Equal(restored.Min().Name, "b")
	is.Equal(restored.Estimate(restored.Get("a"), 2, 1), 40.0)
	restored.Load(previous.VirtualTime(), []Row{{Workspace: "b", RelativeService: math.NaN()}})
	is.Equal(restored.Get("b").Virtual(), b.Virtual())
}

// Guards against a table that grows with every workspace name.
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
	w.virtualService = 10
	table.Activate(w)
	table.Charge(w, 0, 1)
	table.RemoveIdle()
	is.Equal(table.Len(), 1)
}
