package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/rollout"
	"nutmegrouter/internal/routing"
)

const (
	// evidenceInterval is the shortest time between two messages with the evidence of a rollout.
	evidenceInterval = 100 * time.Millisecond
	// maxEvidenceInterval is the longest one: a message may be lost, and the owner takes the elapsed time of the
	// rollout from them.
	maxEvidenceInterval = time.Second
	// crashCheckTime is how long a broken attempt is not counted yet, because its target may have crashed. A
	// refused connection, by which a crash is found, comes back within a round trip.
	crashCheckTime = 200 * time.Millisecond
	// sameCrashTime is the time within which reports of a crash of one incarnation of a target are one crash.
	sameCrashTime = 5 * time.Second
	// minMeanSamples is the number of responses of old targets from which their mean is used, meanSamples the
	// number over which it is taken.
	minMeanSamples, meanSamples = 3, 50
)

// Errors of an assignment whose target has a version that must not run the request.
var (
	errVersionExcluded = errors.New("the version of the target is not used any more")
	errVersionNotGiven = errors.New("the request was not given to the new version of its service")
	errVersionUsed     = errors.New("the grant to the new version of the service was good for one send")
)

// attemptResult is a finished attempt. Times that were not measured are 0.
type attemptResult struct {
	route   string
	target  api.Target
	outcome api.AttemptOutcome
	cold    bool          // the target was cold at the start
	took    time.Duration // from the send to the end of a response that is not a stream
	// firstEvent is the time from the send to the first event of a stream, expected what the owner has expected
	// for it, gap the mean time between events.
	firstEvent, expected, gap time.Duration
}

// outcomeKey selects the counters of attempts: a route, and a target of the new version or "" for all others.
type outcomeKey struct{ route, target string }

type outcomeCounts struct {
	failed, served, crashes int
	pace                    [rollout.NumPaceBuckets]int
}

// brokenAttempt is an attempt that broke off and counts as a failure unless its target has crashed.
type brokenAttempt struct {
	key           outcomeKey
	target        string
	startedUnixMs int64
	at            time.Duration
}

type targetCrash struct {
	startedUnixMs int64
	at            time.Duration
}

// runningMean is the mean of the last meanSamples or so values.
type runningMean struct {
	mean float64
	n    int
}

func (m *runningMean) add(v time.Duration) {
	m.n = min(m.n+1, meanSamples)
	m.mean += (float64(v) - m.mean) / float64(m.n)
}

// ratio returns a value over the mean; 0 = not known.
func (m *runningMean) ratio(v time.Duration) float64 {
	if v <= 0 || m.n < minMeanSamples || m.mean <= 0 {
		return 0
	}
	return float64(v) / m.mean
}

// routeTimes are the mean times of a route on old targets.
type routeTimes struct{ response, gap runningMean }

// rolloutEvidence collects what this instance has seen of one running rollout, as cumulative counters. It is not
// safe for concurrent use.
type rolloutEvidence struct {
	version string
	seenAt  time.Duration // when this instance first had a view with the rollout, on its monotonic clock
	counts  map[outcomeKey]*outcomeCounts
	times   map[string]*routeTimes // by route
	broken  []brokenAttempt        // oldest first
	crashes map[string]targetCrash // newest by target ID
}

func newRolloutEvidence(version string, now time.Duration) *rolloutEvidence {
	return &rolloutEvidence{version: version, seenAt: now, counts: map[outcomeKey]*outcomeCounts{}, times: map[string]*routeTimes{}, crashes: map[string]targetCrash{}}
}

func (e *rolloutEvidence) isNew(t *api.Target) bool { return t.Version == e.version }

func (e *rolloutEvidence) key(route string, t *api.Target) outcomeKey {
	if e.isNew(t) {
		return outcomeKey{route, t.ID}
	}
	return outcomeKey{route, ""}
}

func (e *rolloutEvidence) countsOf(k outcomeKey) *outcomeCounts {
	c := e.counts[k]
	if c == nil {
		c = &outcomeCounts{}
		e.counts[k] = c
	}
	return c
}

// Record counts a finished attempt. It ignores those that say nothing of the version: not sent, not run, of another
// target, or cancelled by the caller. One that broke off is counted by a later call of Settle.
func (e *rolloutEvidence) Record(r attemptResult, now time.Duration) {
	k := e.key(r.route, &r.target)
	switch r.outcome {
	case api.AttemptServed:
		c := e.countsOf(k)
		c.served++
		if ratio := e.pace(&r); ratio > 0 {
			c.pace[rollout.PaceBucket(ratio)]++
		}
	case api.AttemptFailed, api.AttemptTimedOut:
		e.countsOf(k).failed++
	case api.AttemptIncomplete:
		e.broken = append(e.broken, brokenAttempt{k, r.target.ID, r.target.StartedUnixMs, now})
	}
}

// pace returns the time of a served attempt over the expected one, 0 if that is not known or the target was cold.
// For a stream it is the larger one of those of the first event and of the time between events. The times of old
// targets make up what is expected.
func (e *rolloutEvidence) pace(r *attemptResult) (ratio float64) {
	if r.cold {
		return 0
	}
	t := e.times[r.route]
	if t == nil {
		t = &routeTimes{}
		e.times[r.route] = t
	}
	if r.firstEvent > 0 {
		if r.expected > 0 {
			ratio = float64(r.firstEvent) / float64(r.expected)
		}
		ratio = max(ratio, t.gap.ratio(r.gap))
	} else {
		ratio = t.response.ratio(r.took)
	}
	if e.isNew(&r.target) {
		return ratio
	}
	switch {
	case r.firstEvent == 0 && r.took > 0:
		t.response.add(r.took)
	case r.gap > 0:
		t.gap.add(r.gap)
	}
	return ratio
}

// RecordCrash records that a target has crashed while it ran an attempt on a route, which has been passed to
// Record. All attempts that broke off with one crash count as one crash and not as failures.
func (e *rolloutEvidence) RecordCrash(route string, t *api.Target, now time.Duration) {
	k := e.key(route, t)
	i := slices.IndexFunc(e.broken, func(b brokenAttempt) bool {
		return b.key == k && b.target == t.ID && b.startedUnixMs == t.StartedUnixMs
	})
	c := e.countsOf(k)
	if i >= 0 {
		e.broken = slices.Delete(e.broken, i, i+1)
	} else {
		c.failed = max(0, c.failed-1)
	}
	if known, ok := e.crashes[t.ID]; ok && known.startedUnixMs == t.StartedUnixMs && now-known.at < sameCrashTime {
		return
	}
	e.crashes[t.ID] = targetCrash{t.StartedUnixMs, now}
	c.crashes++
}

// Settle counts broken attempts as failures whose targets would have been found to have crashed by now. It reports
// whether there were any.
func (e *rolloutEvidence) Settle(now time.Duration) (counted bool) {
	for len(e.broken) > 0 && now-e.broken[0].at >= crashCheckTime {
		e.countsOf(e.broken[0].key).failed++
		e.broken = e.broken[1:]
		counted = true
	}
	return counted
}

// Counts returns the counters, ordered by route and target.
func (e *rolloutEvidence) Counts() []placewire.RolloutOutcomes {
	out := make([]placewire.RolloutOutcomes, 0, len(e.counts))
	for k, c := range e.counts {
		o := placewire.RolloutOutcomes{Route: k.route, Target: k.target, Failed: c.failed, Served: c.served, Crashes: c.crashes}
		last := len(c.pace)
		for last > 0 && c.pace[last-1] == 0 {
			last--
		}
		o.Pace = slices.Clone(c.pace[:last])
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b placewire.RolloutOutcomes) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// runningRollout is a rollout that runs in this instance's view.
type runningRollout struct {
	api.Rollout
	evidence  *rolloutEvidence
	oldListed bool          // a target of another version has been listed
	changed   bool          // since the evidence was last sent
	sentAt    time.Duration // when the evidence was last sent; 0 = not yet
}

// nextSendAt returns when the evidence is to be sent next.
func (r *runningRollout) nextSendAt() time.Duration {
	if r.changed {
		return r.sentAt + evidenceInterval
	}
	at := r.sentAt + maxEvidenceInterval
	if len(r.evidence.broken) > 0 {
		at = min(at, max(r.sentAt+evidenceInterval, r.evidence.broken[0].at+crashCheckTime))
	}
	return at
}

// viewChanged begins to collect the evidence of rollouts that run in a view, and drops that of rollouts that have ended.
func (p *Placer) viewChanged(v *api.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, r := range p.rollouts {
		if now := v.Rollouts[service]; now.State != api.RolloutRunning || now.Started != r.Started {
			delete(p.rollouts, service)
		}
	}
	for service, running := range v.Rollouts {
		if running.State != api.RolloutRunning || p.rollouts[service] != nil {
			continue
		}
		if p.rollouts == nil {
			p.rollouts = map[string]*runningRollout{}
		}
		r := &runningRollout{Rollout: running, evidence: newRolloutEvidence(running.Version, p.clock.Now()), changed: true}
		p.rollouts[service] = r
		p.findOldTargets(r)
		p.signalSend()
	}
}

// findOldTargets records whether a target of another version is listed. The lock must be held.
func (p *Placer) findOldTargets(r *runningRollout) {
	r.oldListed = r.oldListed || slices.ContainsFunc(p.directory.Targets(), func(t api.Target) bool {
		return t.Service == r.Service && t.Version != r.Version
	})
}

// currentRollout returns the newest rollout of a service in this instance's view, nil if it has had none. nothingToMove
// reports that it runs and that no target of another version has been listed since it started.
func (p *Placer) currentRollout(service string) (r *api.Rollout, nothingToMove bool) {
	newest, ok := p.fleet.View().Rollouts[service]
	if !ok {
		return nil, false
	}
	if newest.State != api.RolloutRunning {
		return &newest, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	running := p.rollouts[service]
	if running == nil || running.Started != newest.Started {
		return &newest, false // the view has just changed
	}
	if !running.oldListed {
		p.findOldTargets(running)
	}
	return &newest, !running.oldListed
}

// rolloutRoute returns the name of a request's route if the owner decides which version of the service gets it;
// "" = no rollout of the service runs.
func (p *Placer) rolloutRoute(w *api.PlacementRequest) string {
	if r, _ := p.currentRollout(w.Service); r == nil || r.State != api.RolloutRunning {
		return ""
	}
	return routeName(w.Route)
}

// routeName returns what a route is called in decisions on rollouts and in their evidence. It is never empty.
func routeName(r *routing.Route) string { return cmp.Or(r.Name, "-") }

// placeNewVersion chooses a target of the new version for a plain request that the owner has given to it. Without
// one that can be used at once, the request goes to another version.
func (p *Placer) placeNewVersion(w *api.PlacementRequest) (*assignment, error) {
	q := p.query(w)
	q.NewVersion = true
	p.mu.Lock()
	t, ok := p.local.Choose(q)
	if ok && !slices.Contains(w.TriedTargets, t.ID) && !p.local.IsSuspect(&t, q.Now) {
		defer p.mu.Unlock()
		a := p.startLocal(w, t)
		a.newVersion = true
		return a, nil
	}
	p.mu.Unlock()
	return p.placeLocal(w)
}

// checkVersion returns an error if the target's version must not run the request. A grant to the new version is good
// for one send, so that the owner counts each.
func (a *assignment) checkVersion() error {
	r, nothingToMove := a.placer.currentRollout(a.target.Service)
	running := r != nil && r.State == api.RolloutRunning
	switch {
	case r != nil && r.Excludes(a.target.Version):
		return errVersionExcluded
	case running && a.newVersion && a.versionUsed:
		a.resendRefused = true
		return errVersionUsed
	case running && !a.newVersion && r.Version == a.target.Version && !nothingToMove:
		return errVersionNotGiven
	}
	a.versionUsed, a.tracked = true, running
	return nil
}

// recordEvents records an event of a stream for the evidence.
func (a *assignment) recordEvents() {
	if !a.tracked {
		return
	}
	a.lastEventAt = a.placer.clock.Now()
	if a.trackedEvents == 0 {
		a.firstTrackedAt = a.lastEventAt
	}
	a.trackedEvents++
}

// noteRollout has the evidence of a rollout of a service sent, because requests of it have started or ended. The
// lock must be held.
func (p *Placer) noteRollout(service string) *runningRollout {
	r := p.rollouts[service]
	if r != nil {
		r.changed = true
		p.signalSendWithin(max(0, r.nextSendAt()-p.clock.Now()))
	}
	return r
}

// recordEvidence counts a finished attempt. The lock must be held.
func (a *assignment) recordEvidence(o api.AttemptOutcome, now time.Duration) {
	r := a.placer.noteRollout(a.target.Service)
	if r == nil || a.sentAt == 0 || a.resendRefused {
		// After a refused resend it is only known that a pooled connection was closed.
		return
	}
	result := attemptResult{route: routeName(a.work.Route), target: a.target, outcome: o, cold: a.target.ColdUntil > a.sentAt}
	switch {
	case !a.tracked: // it was sent before the rollout: its times have not been measured
	case a.trackedEvents > 0:
		result.firstEvent, result.expected = a.firstTrackedAt-a.sentAt, a.expected
		if a.trackedEvents > 1 {
			result.gap = (a.lastEventAt - a.firstTrackedAt) / time.Duration(a.trackedEvents-1)
		}
	default:
		result.took = now - a.sentAt
	}
	r.evidence.Record(result, now)
}

// recordRolloutCrash records that the target has crashed during the attempt. The lock must be held.
func (a *assignment) recordRolloutCrash(now time.Duration) {
	if r := a.placer.noteRollout(a.target.Service); r != nil && a.sentAt > 0 && !a.resendRefused {
		r.evidence.RecordCrash(routeName(a.work.Route), &a.target, now)
	}
}

// addEvidence adds to a message that is sent to the owner now the evidence that is due, all of it to a full report,
// and has the next message sent when more is due. The lock must be held.
func (p *Placer) addEvidence(u *placewire.EntryMessage) {
	now := p.clock.Now()
	for _, r := range p.rollouts {
		if r.evidence.Settle(now) {
			r.changed = true
		}
		if u.FullReport || r.sentAt == 0 || now >= r.nextSendAt() {
			u.Rollouts = append(u.Rollouts, placewire.RolloutEvidence{
				Service: r.Service, Started: r.Started, Process: p.process, AgeMs: (now - r.evidence.seenAt).Milliseconds(),
				RunningOld: p.runningOld(r), Counts: r.evidence.Counts(),
			})
			r.sentAt, r.changed = now, false
		}
		p.signalSendWithin(max(0, r.nextSendAt()-now))
	}
}

// runningOld returns the number of requests that run on listed targets of other versions than the new one. The lock
// must be held.
func (p *Placer) runningOld(r *runningRollout) (n int) {
	for _, t := range p.directory.Targets() {
		if t.Service == r.Service && t.Version != r.Version {
			n += p.local.Running(&t)
		}
	}
	return n
}

// applyRollout restricts a local choice to targets of versions that may be used.
func (p *Placer) applyRollout(q *placement.Query) {
	q.Rollout, q.AllVersions = p.currentRollout(q.Service)
}
