// Package orders decides which orders the owner of an engine pool sends to its
// targets and when. It is pure: the caller gives the time and the states of the
// targets, and reports the outcome of each order.
//
// A target that serves, or is about to serve again after a planned move, gets a
// load order for the pool's model and then a warm order, once for each boot of
// the target. Load orders are paced so that the weight store's rate holds. After
// a takeover the first load waits one interval, because the former owner may
// have sent one just before.
package orders

import (
	"sort"
	"time"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// Timing of orders.
const (
	// ReturnLead is how long before the planned return of a data centre its
	// targets are loaded.
	ReturnLead = 2 * time.Minute
	// FirstRetry and MaxRetry bound the pause after a failed order.
	FirstRetry = time.Second
	MaxRetry   = 30 * time.Second
)

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	Load Kind = "load" // load the model's weights from the weight store
	Warm Kind = "warm" // warm up caches before traffic
)

// Order is one order to an engine.
type Order struct {
	Kind    Kind
	Target  fleetconfig.Target
	Boot    uint64 // boot number of the target that the order is meant for
	Model   string
	Version string
}

// Verdict is the outcome of an order.
type Verdict int

// Outcomes of an order.
const (
	Accepted Verdict = iota // the engine carried it out or started to
	Failed                  // no answer or an error; it is sent again later
	Stale                   // refused because of an old fencing token
)

// progress is what has been ordered of one target.
type progress struct {
	boot    uint64
	version string
	loaded  bool
	warmed  bool
	pending bool
	retryAt time.Duration
	pause   time.Duration
}

// Planner plans the orders of one pool. Use NewPlanner to make one.
type Planner struct {
	pool     fleetconfig.Pool
	interval time.Duration
	nextLoad time.Duration
	targets  map[string]*progress
	stale    bool
}

// NewPlanner returns a planner for a pool just taken over at the time now.
func NewPlanner(pool fleetconfig.Pool, interval, now time.Duration) *Planner {
	return &Planner{pool: pool, interval: interval, nextLoad: now + interval, targets: map[string]*progress{}}
}

// Configure installs the pool's settings of a newer view. A new version is
// loaded on all targets again.
func (p *Planner) Configure(pool fleetconfig.Pool, interval time.Duration) {
	p.pool, p.interval = pool, interval
}

// Stale reports whether an engine refused an order because of an old fencing
// token. No further order is planned until Renewed is called.
func (p *Planner) Stale() bool { return p.stale }

// Renewed tells that a newer fencing token was obtained.
func (p *Planner) Renewed() { p.stale = false }

// Plan returns the orders to send now. Returning names data centres that are
// out and will be back within ReturnLead.
func (p *Planner) Plan(now time.Duration, states []api.TargetState, returning map[string]bool) []Order {
	if p.stale {
		return nil
	}
	p.forget(states)
	sort.Slice(states, func(i, j int) bool { return before(states[i], states[j]) })
	var out []Order
	for _, s := range states {
		if s.Leaving || s.Out && !returning[s.Target.DataCentre] {
			continue
		}
		pr := p.progressOf(s)
		if pr.pending || now < pr.retryAt {
			continue
		}
		if kind, ok := p.next(now, s, pr); ok {
			pr.pending = true
			out = append(out, Order{kind, s.Target, s.Boot, p.pool.Model, p.pool.Version})
		}
	}
	return out
}

// before puts targets in service ahead of those that return later, because
// their capacity is missed now.
func before(a, b api.TargetState) bool {
	if a.Out != b.Out {
		return b.Out
	}
	return a.Target.Name < b.Target.Name
}

// next tells which order a target needs and takes its share of the load rate.
func (p *Planner) next(now time.Duration, s api.TargetState, pr *progress) (Kind, bool) {
	switch {
	case !pr.loaded && s.Warmth == api.WarmthWarm:
		// A warm target serves the model already; a load would only use up
		// the weight store's rate.
		pr.loaded, pr.warmed = true, true
		return "", false
	case !pr.loaded && now >= p.nextLoad:
		p.nextLoad = now + p.interval
		return Load, true
	case pr.loaded && !pr.warmed:
		return Warm, true
	}
	return "", false
}

// progressOf returns what was ordered of the target since its present boot.
func (p *Planner) progressOf(s api.TargetState) *progress {
	pr, ok := p.targets[s.Target.Name]
	if !ok || s.Boot != pr.boot || pr.version != p.pool.Version {
		pr = &progress{boot: s.Boot, version: p.pool.Version}
		p.targets[s.Target.Name] = pr
	}
	return pr
}

// forget drops targets that are no longer in the pool.
func (p *Planner) forget(states []api.TargetState) {
	if len(p.targets) <= len(states) {
		return
	}
	present := make(map[string]bool, len(states))
	for _, s := range states {
		present[s.Target.Name] = true
	}
	for name := range p.targets {
		if !present[name] {
			delete(p.targets, name)
		}
	}
}

// Done reports the outcome of an order.
func (p *Planner) Done(now time.Duration, o Order, v Verdict) {
	pr, ok := p.targets[o.Target.Name]
	if !ok || pr.boot != o.Boot || pr.version != o.Version {
		return
	}
	pr.pending = false
	switch v {
	case Accepted:
		pr.pause, pr.retryAt = 0, 0
		pr.loaded = true
		pr.warmed = pr.warmed || o.Kind == Warm
	case Failed:
		pr.pause = min(MaxRetry, max(FirstRetry, 2*pr.pause))
		pr.retryAt = now + pr.pause
	case Stale:
		p.stale = true
	}
}
