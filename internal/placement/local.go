package placement

import (
	"math"
	"slices"
	"time"

	"nutmegrouter/internal/api"
)

const (
	// initialSuspectTime is how long a target is suspect, and used only as a last resort, after
	// a failure without a valid response. It doubles with each consecutive failure up to
	// maxSuspectTime.
	initialSuspectTime = 300 * time.Millisecond
	maxSuspectTime     = 3 * time.Second
	// remoteDataCentreLoad is the cost of a target in another data centre, in running
	// requests. Below 1, it decides only between targets with equal load.
	remoteDataCentreLoad = 0.3
	// failureWeight is the weight of the newest outcome in the failure ratio.
	failureWeight = 0.2
	// failureLoad is the cost of a target with a failure ratio of 1, in running requests.
	failureLoad = 8.0
	// affinityLoadBonus is the cost reduction of the affinity target, in running requests.
	affinityLoadBonus = 3.0
	// limitedLoad is the cost of a target with a rate limit, in running requests.
	limitedLoad = 1.0
	// slowLoad is the cost, in running requests, of each multiple of the service's typical
	// latency by which a target is slower.
	slowLoad = 1.0
	// latencyWeight is the weight of the newest response in the mean latency.
	latencyWeight = 0.2
)

// Local selects targets by the load that this instance alone has placed on them. It is not
// safe for concurrent use.
type Local struct {
	dataCentre     string
	loads          map[string]*targetLoad   // by target ID
	typicalLatency map[string]time.Duration // mean of served requests, by service
}

// targetLoad is what this instance has observed of a target through its own requests.
type targetLoad struct {
	health
	running       int
	meanLatency   time.Duration // of served requests
	startedUnixMs int64         // api.Target.StartedUnixMs, which identifies the incarnation
}

// NewLocal returns a Local for an instance in a data centre, which prefers targets there.
func NewLocal(dataCentre string) *Local {
	return &Local{dataCentre: dataCentre, loads: map[string]*targetLoad{}, typicalLatency: map[string]time.Duration{}}
}

// Query describes one selection of a target.
type Query struct {
	Service      string
	Targets      []api.Target
	OutOfService map[string]bool // data centres out of service
	Tried        []string        // IDs of targets to which the request was already sent
	Notices      *Notices        // nil = none
	Now          time.Duration
	// AffinityPart is the prompt part by which the affinity target is selected, from
	// the function AffinityPart; 0 = none.
	AffinityPart PartID
	// MaxRunning bounds the requests of this instance on one target; 0 = no bound.
	MaxRunning int
	// Starts bounds the starts per second of this instance on a target; nil = no bound.
	Starts *StartShare
	// WorkspaceRunning is the number of local requests of the workspace, which may use as many slots as
	// it leaves free. It is used only with MaxRunning.
	WorkspaceRunning int
	// Rollout is the newest rollout of the service; nil = it has had none. While it runs, only targets of other versions
	// than the new one are used, with NewVersion only those of the new version, with AllVersions all.
	Rollout                 *api.Rollout
	NewVersion, AllVersions bool
	// Random is uniform in [0, 1). It breaks ties between targets with equal cost.
	Random float64
}

// Choose returns the target with the lowest cost, or false if none is usable. Targets that are
// leaving or cold, have MaxRunning requests, have a rate limit, have no room in Starts or are in a data
// centre out of service are not used. Targets that are suspect after a failure or already tried are used only if there is no other.
func (l *Local) Choose(q Query) (api.Target, bool) {
	t, ok, _ := l.ChooseShared(q)
	return t, ok
}

// ChooseShared is Choose, and reports whether no target may be used because the workspace has as many
// requests running as it leaves slots free.
func (l *Local) ChooseShared(q Query) (t api.Target, ok, overShare bool) {
	best, minCost, free := -1, math.Inf(1), 0
	preferred := q.affinityIndex()
	offset := int(q.Random * float64(len(q.Targets)))
	for i := range q.Targets {
		j := (i + offset) % len(q.Targets)
		t := &q.Targets[j]
		if !q.usable(t) || q.limited(t) {
			continue
		}
		slots := l.freeSlots(t, q)
		if slots <= 0 {
			continue
		}
		free += slots
		if q.Starts != nil && q.Starts.Room(t.ID, q.Now) <= 0 {
			continue
		}
		c := l.cost(t, q)
		if j == preferred {
			c -= affinityLoadBonus
		}
		if c < minCost {
			best, minCost = j, c
		}
	}
	switch {
	case free == 0:
		return api.Target{}, false, false
	case q.MaxRunning > 0 && q.WorkspaceRunning > 0 && q.WorkspaceRunning >= free:
		return api.Target{}, false, true
	}
	if best < 0 {
		return api.Target{}, false, false
	}
	return q.Targets[best], true, false
}

// freeSlots returns how many further requests this instance may run on a target, math.MaxInt32 without a
// bound.
func (l *Local) freeSlots(t *api.Target, q Query) int {
	if q.MaxRunning <= 0 {
		return math.MaxInt32
	}
	return q.MaxRunning - l.loadOf(t).running
}

// mayStart reports whether this instance has room for a further request on a target.
func (l *Local) mayStart(t *api.Target, q Query) bool {
	return l.freeSlots(t, q) > 0 && (q.Starts == nil || q.Starts.Room(t.ID, q.Now) > 0)
}

// AnyUsable reports whether a target of the service may be used as far as it is concerned, whatever room
// this instance has on it.
func (q *Query) AnyUsable() bool {
	return slices.ContainsFunc(q.Targets, func(t api.Target) bool { return q.usable(&t) })
}

// LocalTargets returns the targets of a service that an instance uses while no owner responds. Its part
// of a target's slots is share, in requests: below 1, it uses only that part of the targets, so that all
// instances together keep to the slots. It always has one target, and a second one in another data
// centre if there is one.
func LocalTargets(targets []api.Target, service string, share float64, instance string) []api.Target {
	if share >= 1 {
		return targets
	}
	instanceHash := hashName(instance)
	fraction := func(t *api.Target) float64 {
		return float64(mix(instanceHash, hashName(t.ID))) / math.MaxUint64
	}
	first, second := -1, -1
	for i := range targets {
		if targets[i].Service == service && !targets[i].Leaving && (first < 0 || fraction(&targets[i]) < fraction(&targets[first])) {
			first = i
		}
	}
	for i := range targets {
		if targets[i].Service == service && !targets[i].Leaving && targets[i].DataCentre != targets[first].DataCentre &&
			(second < 0 || fraction(&targets[i]) < fraction(&targets[second])) {
			second = i
		}
	}
	var out []api.Target
	for i := range targets {
		if t := &targets[i]; t.Service == service && (i == first || i == second || fraction(t) < share) {
			out = append(out, *t)
		}
	}
	return out
}

// ChooseLimited returns the usable targets with a rate limit that have the lowest cost, at most 8, best
// first. Each needs the owner's grant or this instance's share of the limit.
func (l *Local) ChooseLimited(q Query) []api.Target {
	if q.Notices == nil || q.Notices.numLimited == 0 {
		return nil
	}
	type choice struct {
		index int
		cost  float64
	}
	var best []choice
	offset := int(q.Random * float64(len(q.Targets)))
	for i := range q.Targets {
		j := (i + offset) % len(q.Targets)
		t := &q.Targets[j]
		if !q.limited(t) || !q.usable(t) || !l.mayStart(t, q) {
			continue
		}
		c := choice{j, l.cost(t, q)}
		if len(best) == maxCandidates && c.cost >= best[maxCandidates-1].cost {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, func(x, y choice) int {
			if x.cost <= y.cost {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), maxCandidates)]
	}
	out := make([]api.Target, len(best))
	for i, c := range best {
		out[i] = q.Targets[c.index]
	}
	return out
}

// PrefersLimited reports whether a target with a rate limit, which costs a message to the owner, is
// better than another one without.
func (l *Local) PrefersLimited(limited, other api.Target, q Query) bool {
	return l.cost(&limited, q)+limitedLoad < l.cost(&other, q)
}

// limited reports whether a target has a rate limit.
func (q *Query) limited(t *api.Target) bool { return q.Notices != nil && q.Notices.Limited(t) }

// usable reports whether a target serves the query's service and accepts new requests.
func (q *Query) usable(t *api.Target) bool {
	return q.mayUse(t) && (q.Notices == nil || q.Notices.Pause(t, q.Now) == 0)
}

// mayUse is usable without regard to pauses.
func (q *Query) mayUse(t *api.Target) bool {
	return t.Service == q.Service && !t.Leaving && (q.Notices == nil || !q.Notices.Leaving(t)) && !q.OutOfService[t.DataCentre] && t.ColdUntil <= q.Now && q.mayUseVersion(t)
}

// mayUseVersion reports whether the rollout of the service lets a target be used.
func (q *Query) mayUseVersion(t *api.Target) bool {
	switch r := q.Rollout; {
	case r == nil:
		return true
	case r.State == api.RolloutRunning:
		return q.AllVersions || (t.Version == r.Version) == q.NewVersion
	default:
		return !r.Excludes(t.Version)
	}
}

// Versions identifies the versions of targets that a query may use.
type Versions struct {
	Started                 uint64 // of the rollout; 0 = all versions
	State                   api.RolloutState
	NewVersion, AllVersions bool
}

// Versions returns what identifies the versions that the query may use.
func (q *Query) Versions() Versions {
	if q.Rollout == nil {
		return Versions{}
	}
	return Versions{q.Rollout.Started, q.Rollout.State, q.NewVersion, q.AllVersions}
}

// OfVersions returns the query's targets whose versions may be used.
func (q *Query) OfVersions() []api.Target {
	if q.Rollout == nil {
		return q.Targets
	}
	return slices.DeleteFunc(slices.Clone(q.Targets), func(t api.Target) bool { return t.Service == q.Service && !q.mayUseVersion(&t) })
}

// PauseEnd returns the time until the first of the paused targets may be sent requests again, 0 if
// none is paused.
func (q *Query) PauseEnd() time.Duration {
	soonest := time.Duration(0)
	if q.Notices == nil {
		return 0
	}
	for i := range q.Targets {
		t := &q.Targets[i]
		if pause := q.Notices.Pause(t, q.Now); pause > 0 && q.mayUse(t) && (soonest == 0 || pause < soonest) {
			soonest = pause
		}
	}
	return soonest
}

// affinityIndex returns the index of the target that all instances prefer for the prompt
// part, or -1.
func (q *Query) affinityIndex() int {
	return rendezvousIndex(q.AffinityPart, len(q.Targets), func(i int) (uint64, bool) {
		t := &q.Targets[i]
		if !q.usable(t) {
			return 0, false
		}
		return hashName(t.ID), true
	})
}

func (l *Local) cost(t *api.Target, q Query) float64 {
	load := l.loadOf(t)
	c := float64(load.running) + failureLoad*load.failureRatio
	if typical := l.typicalLatency[t.Service]; typical > 0 && load.meanLatency > typical {
		c += slowLoad * (float64(load.meanLatency)/float64(typical) - 1)
	}
	if t.DataCentre != l.dataCentre {
		c += remoteDataCentreLoad
	}
	if load.suspectUntil > q.Now {
		c += 1e3
	}
	if slices.Contains(q.Tried, t.ID) {
		c += 1e6
	}
	return c
}

// loadOf returns the record of a target, and a new one for a new incarnation of the target.
func (l *Local) loadOf(t *api.Target) *targetLoad {
	load := l.loads[t.ID]
	if load == nil || load.startedUnixMs != t.StartedUnixMs {
		load = &targetLoad{startedUnixMs: t.StartedUnixMs}
		l.loads[t.ID] = load
	}
	return load
}

// Running returns the number of running requests on a target.
func (l *Local) Running(t *api.Target) int {
	if load := l.loads[t.ID]; load != nil && load.startedUnixMs == t.StartedUnixMs {
		return load.running
	}
	return 0
}

// IsSuspect reports whether a target is a last resort after a failure.
func (l *Local) IsSuspect(t *api.Target, now time.Duration) bool {
	return l.loadOf(t).suspectUntil > now
}

// Start counts a running request on a target. Each call needs one call of End.
func (l *Local) Start(t api.Target) { l.loadOf(&t).running++ }

// End removes a running request from a target and records its outcome and, if it was served,
// its latency took. It does nothing if the target has no record.
func (l *Local) End(t api.Target, o api.AttemptOutcome, took, now time.Duration) {
	load := l.loads[t.ID]
	if load == nil {
		return
	}
	load.running = max(0, load.running-1)
	load.record(o, now)
	if o == api.AttemptServed {
		load.meanLatency = movingAverage(load.meanLatency, took)
		l.typicalLatency[t.Service] = movingAverage(l.typicalLatency[t.Service], took)
	}
}

func movingAverage(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(latencyWeight*float64(newest-mean))
}

// Retain removes the records of targets that are not in the list and have no running requests.
func (l *Local) Retain(targets []api.Target) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
	}
	for id, load := range l.loads {
		if !listed[id] && load.running == 0 {
			delete(l.loads, id)
		}
	}
}
