package fairness

import "math"

// minWeight keeps a wrong configuration from dividing by zero.
const minWeight = 1e-6

// Workspace is the account of one workspace in one pool.
type Workspace struct {
	Name string
	// Data belongs to the user of the table.
	Data any
	// Running counts charges that are not yet settled.
	Running int

	weight    float64
	virtual   float64 // service per weight, estimates of running work included
	served    float64 // cost of settled work
	means     [Kinds]mean
	suspended int    // calls of Forget until the credit is lost
	loaded    bool   // the account was in the table of the former owner
	pos       int    // index in the heap, -1 = not backlogged
	since     uint64 // order in which workspaces became backlogged
}

// Virtual returns the virtual service.
func (w *Workspace) Virtual() float64 { return w.virtual }

// Served returns the cost of the work settled since the account was made.
func (w *Workspace) Served() float64 { return w.served }

// Backlogged reports whether the workspace has waiting requests.
func (w *Workspace) Backlogged() bool { return w.pos >= 0 }

// Table holds the accounts of all workspaces of one pool.
type Table struct {
	byName  map[string]*Workspace
	weights map[string]float64
	heap    []*Workspace // backlogged workspaces, smallest virtual service first
	now     float64      // virtual time of the pool
	arrived uint64
	means   [Kinds]mean
	all     mean
}

// New returns an empty table.
func New() *Table { return &Table{byName: map[string]*Workspace{}} }

// SetWeights replaces the weights. Workspaces without a weight count as 1. The
// map must not be changed afterwards.
func (t *Table) SetWeights(weights map[string]float64) {
	t.weights = weights
	for _, w := range t.byName {
		w.weight = t.weightOf(w.Name)
	}
}

func (t *Table) weightOf(name string) float64 {
	if x, ok := t.weights[name]; ok && !math.IsInf(x, 0) && !math.IsNaN(x) {
		return math.Max(x, minWeight)
	}
	return 1
}

// Get returns the account with the name and makes one if there is none.
func (t *Table) Get(name string) *Workspace {
	w := t.byName[name]
	if w == nil {
		w = &Workspace{Name: name, weight: t.weightOf(name), pos: -1}
		t.byName[name] = w
	}
	return w
}

// Len returns the number of accounts.
func (t *Table) Len() int { return len(t.byName) }

// VirtualTime returns the virtual time of the pool.
func (t *Table) VirtualTime() float64 { return t.now }

// Activate marks a workspace as backlogged. One that returns from idle starts
// at the pool's virtual time and so keeps debt but no credit.
func (t *Table) Activate(w *Workspace) {
	if w.pos >= 0 {
		return
	}
	if w.suspended == 0 {
		w.virtual = math.Max(w.virtual, t.now)
	}
	w.suspended = 0
	t.arrived++
	w.since = t.arrived
	t.push(w)
}

// Deactivate marks a workspace as idle.
func (t *Table) Deactivate(w *Workspace) {
	if w.pos >= 0 {
		t.remove(w)
	}
}

// Suspend marks a workspace as idle because its router is silent, not because it
// has no waiting requests. It keeps its credit until the second call of Forget.
func (t *Table) Suspend(w *Workspace) {
	t.Deactivate(w)
	w.suspended = 2
}

// Min returns the backlogged workspace with the smallest virtual service, or nil.
func (t *Table) Min() *Workspace {
	if len(t.heap) == 0 {
		return nil
	}
	return t.heap[0]
}

// Charge accounts for a grant to the workspace and returns the estimate.
func (t *Table) Charge(w *Workspace, kind int, hint float64) float64 {
	est := t.Estimate(w, kind, hint)
	t.now = math.Max(t.now, w.virtual)
	w.Running++
	t.add(w, est)
	return est
}

// Adopt counts running work whose estimate a former owner has charged.
func (t *Table) Adopt(w *Workspace) { w.Running++ }

// Settle replaces the estimate of finished work by its true cost. An unknown
// cost leaves the estimate in place and teaches nothing.
func (t *Table) Settle(w *Workspace, kind int, est, cost float64, known bool) {
	w.Running--
	if !known {
		w.served += est
		return
	}
	cost = clampCost(cost)
	w.served += cost
	t.learn(w, kind, cost)
	t.add(w, cost-est)
}

// Refund takes back the estimate of work that was never started.
func (t *Table) Refund(w *Workspace, est float64) {
	w.Running--
	t.add(w, -est)
}

func (t *Table) add(w *Workspace, service float64) {
	w.virtual += service / w.weight
	if w.pos >= 0 {
		t.fix(w)
	}
}

// Forget is called once a second. It drops the accounts that carry no debt, no backlog and no running work
// and that are not configured. It bounds the table.
func (t *Table) Forget() {
	for name, w := range t.byName {
		w.suspended = max(0, w.suspended-1)
		_, configured := t.weights[name]
		if !configured && w.pos < 0 && w.Running == 0 && w.virtual <= t.now {
			delete(t.byName, name)
		}
	}
}

// Each calls f for all accounts.
func (t *Table) Each(f func(w *Workspace)) {
	for _, w := range t.byName {
		f(w)
	}
}
