package placement

import (
	"math"
	"slices"
	"time"

	"nutmegrouter/internal/api"
)

const (
	// suspectFor is how long a target that failed without an answer gets nothing;
	// it doubles with each further failure up to suspectMost.
	suspectFor  = 300 * time.Millisecond
	suspectMost = 3 * time.Second
	// otherCentre is the cost of a target in another data centre, in requests under
	// way: it decides between targets with equal load.
	otherCentre = 0.3
	// failureWeight is the share of the newest outcome in the failure ratio.
	failureWeight = 0.2
	// failureCost is what a target that always fails costs, in requests under way.
	failureCost = 8.0
	// homeSaves is what the usual target of a prompt saves, in requests under way.
	homeSaves = 3.0
	// slowCost is what a target costs for each multiple of the usual time that it
	// takes beyond the first.
	slowCost = 1.0
	// timeWeight is the share of the newest answer in the mean time.
	timeWeight = 0.2
)

// Local places requests by the load that one instance has given to each target.
// It is not safe for concurrent use.
type Local struct {
	dataCentre string
	loads      map[string]*load // by target ID
	typical    map[string]time.Duration
}

// load is what an instance knows about a target by its own requests.
type load struct {
	health
	running int
	mean    time.Duration // of answered requests
	bornMs  int64
}

// NewLocal returns a placer for an instance in a data centre.
func NewLocal(dataCentre string) *Local {
	return &Local{dataCentre: dataCentre, loads: map[string]*load{}, typical: map[string]time.Duration{}}
}

// Query is what a choice depends on.
type Query struct {
	Service string
	Targets []api.Target
	Out     map[string]bool // data centres out of service
	Tried   []string
	Now     time.Duration
	// Home names the usual place of a prompt by its shared parts; 0 = none.
	Home PartID
	// MostRunning bounds the requests of this instance on one target; 0 = no bound.
	MostRunning int
	// Random is uniform in [0, 1); it decides between equal targets.
	Random float64
}

// Choose returns a target, or false if none may be used. Targets that leave, are
// cold or are in a data centre out of service are not used; targets that failed
// lately or were tried before only if there is no other.
func (l *Local) Choose(q Query) (api.Target, bool) {
	best, cost := -1, math.Inf(1)
	home := q.home()
	shift := int(q.Random * float64(len(q.Targets)))
	for i := range q.Targets {
		j := (i + shift) % len(q.Targets)
		t := &q.Targets[j]
		if !q.usable(t) {
			continue
		}
		if q.MostRunning > 0 && l.load(t).running >= q.MostRunning {
			continue
		}
		c := l.cost(t, q)
		if j == home {
			c -= homeSaves
		}
		if c < cost {
			best, cost = j, c
		}
	}
	if best < 0 {
		return api.Target{}, false
	}
	return q.Targets[best], true
}

// usable reports whether a target may get requests of the query at all.
func (q *Query) usable(t *api.Target) bool {
	return t.Service == q.Service && !t.Leaving && !q.Out[t.DataCentre] && t.ColdUntil <= q.Now
}

// home returns the index of the target on which all instances read the prompt first,
// or -1.
func (q *Query) home() int {
	return homeAmong(q.Home, len(q.Targets), func(i int) (uint64, bool) {
		t := &q.Targets[i]
		if !q.usable(t) {
			return 0, false
		}
		return hashName(t.ID), true
	})
}

func (l *Local) cost(t *api.Target, q Query) float64 {
	s := l.load(t)
	c := float64(s.running) + failureCost*s.failures
	if typical := l.typical[t.Service]; typical > 0 && s.mean > typical {
		c += slowCost * (float64(s.mean)/float64(typical) - 1)
	}
	if t.DataCentre != l.dataCentre {
		c += otherCentre
	}
	if s.until > q.Now {
		c += 1e3
	}
	if slices.Contains(q.Tried, t.ID) {
		c += 1e6
	}
	return c
}

// load returns the record of a target and begins a new one for a new life.
func (l *Local) load(t *api.Target) *load {
	s := l.loads[t.ID]
	if s == nil || s.bornMs != t.BornMs {
		s = &load{bornMs: t.BornMs}
		l.loads[t.ID] = s
	}
	return s
}

// Start counts a request on a target.
func (l *Local) Start(t api.Target) { l.load(&t).running++ }

// End counts the outcome of a request that took a time on a target.
func (l *Local) End(t api.Target, o api.WorkOutcome, took, now time.Duration) {
	s := l.loads[t.ID]
	if s == nil {
		return
	}
	s.running = max(0, s.running-1)
	s.note(o, now)
	if o == api.WorkServed {
		s.mean = blend(s.mean, took)
		l.typical[t.Service] = blend(l.typical[t.Service], took)
	}
}

func blend(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(timeWeight*float64(newest-mean))
}

// Keep forgets the targets that are not in the list.
func (l *Local) Keep(targets []api.Target) {
	known := make(map[string]bool, len(targets))
	for _, t := range targets {
		known[t.ID] = true
	}
	for id, s := range l.loads {
		if !known[id] && s.running == 0 {
			delete(l.loads, id)
		}
	}
}
