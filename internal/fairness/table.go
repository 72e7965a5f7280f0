package fairness

import "math"

// minWeight prevents a division by zero if a configured weight is 0 or negative.
const minWeight = 1e-6

// Workspace is the account of one workspace in one pool. It belongs to one Table.
type Workspace struct {
	Name string
	// Data is for the user of the table, which does not read it.
	Data any
	// Running is the number of charged or adopted requests that are neither settled
	// nor refunded.
	Running int

	weight         float64
	virtualService float64 // service per weight, in cost units, with estimates for running requests
	settledCost    float64 // cost of settled requests, in cost units
	meansByClass   [NumCostClasses]movingMean
	creditTicks    int    // calls of RemoveIdle until the kept credit expires
	fromCopy       bool   // Load has restored the account from the previous owner's table
	heapIndex      int    // index in Table.heap; -1 if not backlogged
	activation     uint64 // Table.activations when the workspace became backlogged; breaks ties
}

// Virtual returns the virtual service: the service divided by the weight, in cost
// units, with estimates for running requests.
func (w *Workspace) Virtual() float64 { return w.virtualService }

// Served returns the cost of the requests settled since the account was created, in
// cost units. A request of unknown cost counts with its estimate.
func (w *Workspace) Served() float64 { return w.settledCost }

// Backlogged reports whether the workspace has waiting requests.
func (w *Workspace) Backlogged() bool { return w.heapIndex >= 0 }

// Table holds the accounts of all workspaces of one pool. It is not safe for
// concurrent use.
type Table struct {
	byName       map[string]*Workspace
	weights      map[string]float64
	heap         []*Workspace // backlogged workspaces, smallest virtual service first
	virtualTime  float64      // see VirtualTime; restored by Load
	activations  uint64
	meansByClass [NumCostClasses]movingMean
	overallMean  movingMean
}

// New returns an empty table.
func New() *Table { return &Table{byName: map[string]*Workspace{}} }

// SetWeights replaces the weights, by workspace name. Workspaces without a finite
// weight have weight 1. The caller must not modify the map afterwards.
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

// Get returns the account of a workspace and creates it if it does not exist.
func (t *Table) Get(name string) *Workspace {
	w := t.byName[name]
	if w == nil {
		w = &Workspace{Name: name, weight: t.weightOf(name), heapIndex: -1}
		t.byName[name] = w
	}
	return w
}

// Len returns the number of accounts.
func (t *Table) Len() int { return len(t.byName) }

// VirtualTime returns the virtual time of the pool: the largest virtual service that
// a workspace had when a request of it was charged.
func (t *Table) VirtualTime() float64 { return t.virtualTime }

// Activate marks a workspace as backlogged. A workspace that was idle keeps its debt
// but loses its credit: its virtual service is raised to the pool's virtual time.
// One that DeactivateKeepingCredit has marked keeps both until its credit expires.
func (t *Table) Activate(w *Workspace) {
	if w.heapIndex >= 0 {
		return
	}
	if w.creditTicks == 0 {
		w.virtualService = math.Max(w.virtualService, t.virtualTime)
	}
	w.creditTicks = 0
	t.activations++
	w.activation = t.activations
	t.push(w)
}

// Deactivate marks a workspace as not backlogged.
func (t *Table) Deactivate(w *Workspace) {
	if w.heapIndex >= 0 {
		t.remove(w)
	}
}

// DeactivateKeepingCredit marks a workspace as not backlogged because its instance is
// unreachable or has restarted, not because it has no waiting requests. The workspace
// keeps its credit until the second call of RemoveIdle, or until RemoveIdle deletes its
// account.
func (t *Table) DeactivateKeepingCredit(w *Workspace) {
	t.Deactivate(w)
	w.creditTicks = 2
}

// Min returns the backlogged workspace with the smallest virtual service, or nil.
func (t *Table) Min() *Workspace {
	if len(t.heap) == 0 {
		return nil
	}
	return t.heap[0]
}

// Charge adds the estimated cost of a granted request to the workspace and returns
// it, in cost units. class and hint are the arguments of Estimate.
func (t *Table) Charge(w *Workspace, class int, hint float64) float64 {
	est := t.Estimate(w, class, hint)
	t.virtualTime = math.Max(t.virtualTime, w.virtualService)
	w.Running++
	t.addService(w, est)
	return est
}

// Adopt counts a running request whose estimate the previous owner has charged.
func (t *Table) Adopt(w *Workspace) { w.Running++ }

// Settle replaces the estimate of a finished request by its true cost, both in cost
// units. If the cost is not known, the estimate stays and the means do not change.
func (t *Table) Settle(w *Workspace, class int, est, cost float64, known bool) {
	w.Running--
	if !known {
		w.settledCost += est
		return
	}
	cost = clampCost(cost)
	w.settledCost += cost
	t.recordCost(w, class, cost)
	t.addService(w, cost-est)
}

// Refund subtracts the estimate of a request that was not started.
func (t *Table) Refund(w *Workspace, est float64) {
	w.Running--
	t.addService(w, -est)
}

// addService adds service in cost units, which may be negative.
func (t *Table) addService(w *Workspace, service float64) {
	w.virtualService += service / w.weight
	if w.heapIndex >= 0 {
		t.fix(w)
	}
}

// RemoveIdle deletes the accounts without debt, backlog, running requests and configured
// weight, so that the table does not grow with every workspace name. It must be
// called once a second, because it also counts down to the expiry of the credit that
// DeactivateKeepingCredit keeps.
func (t *Table) RemoveIdle() {
	for name, w := range t.byName {
		w.creditTicks = max(0, w.creditTicks-1)
		_, configured := t.weights[name]
		if !configured && w.heapIndex < 0 && w.Running == 0 && w.virtualService <= t.virtualTime {
			delete(t.byName, name)
		}
	}
}

// Each calls f for all accounts, in no particular order.
func (t *Table) Each(f func(w *Workspace)) {
	for _, w := range t.byName {
		f(w)
	}
}
