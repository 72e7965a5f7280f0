// Package orders schedules the load and warm-up orders that the owner of an engine
// pool sends to the pool's targets. It does no I/O and reads no clock: the caller
// passes the time and the states of the targets, and reports the outcome of each
// order.
//
// A target that is in service, or returns to service soon after a planned move,
// receives a load order for the pool's model and then a warm order, once for each
// boot of the target and version of the model. Load orders are at least one load
// interval apart, so that they stay within the rate of the weight store. After a
// takeover the first load order waits for one load interval, because the former
// owner may have sent one just before.
package orders

import (
	"sort"
	"time"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// Timing of orders.
const (
	// ReturnLead is the time before the planned return of a data centre from
	// which its targets receive orders.
	ReturnLead = 2 * time.Minute
	// FirstRetry is the delay before the first retry of a failed order. The delay
	// doubles with each further failure.
	FirstRetry = time.Second
	// MaxRetry is the maximum delay before a retry.
	MaxRetry = 30 * time.Second
)

// Kind is the kind of an order as sent to the engine.
type Kind string

// Kinds of orders.
const (
	Load Kind = "load" // load the model's weights from the weight store
	Warm Kind = "warm" // fill the engine's caches before it receives requests
)

// Order is one order to the engine of a target.
type Order struct {
	Kind    Kind
	Target  fleetconfig.Target
	Boot    uint64 // boot number of the target when the order was planned
	Model   string
	Version string
}

// Outcome is the outcome of an order.
type Outcome int

// Outcomes of an order.
const (
	Accepted      Outcome = iota // the engine executed it or started to
	Failed                       // no response or an error; it is retried after a delay
	TokenOutdated                // refused because of an outdated fencing token
)

// progress is the state of the orders to one target for one boot and version.
type progress struct {
	boot     uint64
	version  string // of the model
	loaded   bool   // load order accepted or not needed
	warmed   bool   // warm order accepted or not needed
	inFlight bool   // an order was planned and its outcome is not reported yet
	retryAt  time.Duration
	backoff  time.Duration // delay before the next retry, 0 after an accepted order
}

// Planner plans the orders of one pool during one ownership. Create it with
// NewPlanner. It is not safe for concurrent use.
type Planner struct {
	pool          fleetconfig.Pool
	loadInterval  time.Duration
	nextLoadAt    time.Duration        // earliest time of the next load order
	targets       map[string]*progress // by name
	tokenOutdated bool                 // an engine refused the fencing token
}

// NewPlanner returns a planner for a pool whose ownership began at the time now.
// Load orders are at least loadInterval apart, and the first one waits for
// loadInterval.
func NewPlanner(pool fleetconfig.Pool, loadInterval, now time.Duration) *Planner {
	return &Planner{pool: pool, loadInterval: loadInterval, nextLoadAt: now + loadInterval, targets: map[string]*progress{}}
}

// Configure replaces the settings of the pool and the load interval. After a change
// of the model's version all targets receive their orders again.
func (p *Planner) Configure(pool fleetconfig.Pool, loadInterval time.Duration) {
	p.pool, p.loadInterval = pool, loadInterval
}

// HasOutdatedToken reports whether an engine refused an order because of an outdated
// fencing token. Plan returns no orders until TokenRenewed is called.
func (p *Planner) HasOutdatedToken() bool { return p.tokenOutdated }

// TokenRenewed records that the owner has obtained a newer fencing token.
func (p *Planner) TokenRenewed() { p.tokenOutdated = false }

// Plan returns the orders to send now, at most one for each target. The caller must
// report the outcome of each by RecordOutcome. states lists all targets of the pool;
// Plan sorts it in place. returning names the data centres that are out of service
// and return within ReturnLead.
func (p *Planner) Plan(now time.Duration, states []api.TargetState, returning map[string]bool) []Order {
	if p.tokenOutdated {
		return nil
	}
	p.removeAbsent(states)
	sort.Slice(states, func(i, j int) bool { return precedes(states[i], states[j]) })
	var out []Order
	for _, s := range states {
		if s.Leaving || s.Out && !returning[s.Target.DataCentre] {
			continue
		}
		pr := p.progressOf(s)
		if pr.inFlight || now < pr.retryAt {
			continue
		}
		if kind, ok := p.nextOrder(now, s, pr); ok {
			pr.inFlight = true
			out = append(out, Order{kind, s.Target, s.BootNumber, p.pool.Model, p.pool.Version})
		}
	}
	return out
}

// precedes sorts targets in service before those that return later, because the
// capacity of the former is needed now.
func precedes(a, b api.TargetState) bool {
	if a.Out != b.Out {
		return b.Out
	}
	return a.Target.Name < b.Target.Name
}

// nextOrder returns the kind of order that a target needs now, if any. For a load
// order it reserves the load interval.
func (p *Planner) nextOrder(now time.Duration, s api.TargetState, pr *progress) (Kind, bool) {
	switch {
	case !pr.loaded && s.Warmth == api.WarmthWarm:
		// A warm target already serves the model; a load order would only
		// use the rate of the weight store.
		pr.loaded, pr.warmed = true, true
		return "", false
	case !pr.loaded && now >= p.nextLoadAt:
		p.nextLoadAt = now + p.loadInterval
		return Load, true
	case pr.loaded && !pr.warmed:
		return Warm, true
	}
	return "", false
}

// progressOf returns the progress of a target. It starts anew after a change of the
// target's boot or the model's version.
func (p *Planner) progressOf(s api.TargetState) *progress {
	pr, ok := p.targets[s.Target.Name]
	if !ok || s.BootNumber != pr.boot || pr.version != p.pool.Version {
		pr = &progress{boot: s.BootNumber, version: p.pool.Version}
		p.targets[s.Target.Name] = pr
	}
	return pr
}

// removeAbsent deletes the progress of targets that are no longer in the pool.
func (p *Planner) removeAbsent(states []api.TargetState) {
	if len(p.targets) <= len(states) {
		return
	}
	listed := make(map[string]bool, len(states))
	for _, s := range states {
		listed[s.Target.Name] = true
	}
	for name := range p.targets {
		if !listed[name] {
			delete(p.targets, name)
		}
	}
}

// RecordOutcome records the outcome of an order. It ignores orders of an earlier boot
// of the target or another version of the model.
func (p *Planner) RecordOutcome(now time.Duration, o Order, outcome Outcome) {
	pr, ok := p.targets[o.Target.Name]
	if !ok || pr.boot != o.Boot || pr.version != o.Version {
		return
	}
	pr.inFlight = false
	switch outcome {
	case Accepted:
		pr.backoff, pr.retryAt = 0, 0
		pr.loaded = true
		pr.warmed = pr.warmed || o.Kind == Warm
	case Failed:
		pr.backoff = min(MaxRetry, max(FirstRetry, 2*pr.backoff))
		pr.retryAt = now + pr.backoff
	case TokenOutdated:
		p.tokenOutdated = true
	}
}
