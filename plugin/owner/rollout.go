package owner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/rollout"
)

const (
	// rolloutTargetsInterval is how often the controller of a rollout is given the targets that can be used.
	rolloutTargetsInterval = 100 * time.Millisecond
	// rolloutCallTimeout bounds one call of the control group for a rollout.
	rolloutCallTimeout = time.Second
	// rolloutRetryDelay is the time between two such calls after a failure.
	rolloutRetryDelay = 50 * time.Millisecond
	// rolloutMetricsInterval is how often the metrics of the evidence are computed.
	rolloutMetricsInterval = time.Second
	// maxReportWait is the longest time for which a new owner gives new versions nothing because it waits for the full
	// reports of entry instances, without which it has no evidence against a version. evidenceTime is the
	// time from the last of them until the controller has evaluated them, which it does ten times a second.
	maxReportWait = time.Second
	evidenceTime  = 150 * time.Millisecond
	// slowFactor is the multiple of the old versions' median from which a response counts as slow in the metrics.
	slowFactor = 2.6
)

// rolloutController is the interface of rollout.Controller.
type rolloutController interface {
	SetTargets(t rollout.Targets, now time.Duration)
	IsCanary(target string) bool
	Choose(route string, now time.Duration) (newVersion bool)
	RecordGrant(now time.Duration)
	Reservation(now time.Duration) (rollout.Account, bool)
	Reserved(a rollout.Account, now time.Duration)
	ReservationFailed(now time.Duration)
	SetEvidence(entry, process string, e rollout.Evidence, now time.Duration)
	Phase() rollout.Phase
	Elapsed(now time.Duration) time.Duration
	Verdict(now time.Duration) (rollout.Verdict, bool)
}

// newController returns the controller of a rollout. Tests replace it.
var newController = func(c rollout.Config, a rollout.Account, orderedAt, now time.Duration) rolloutController {
	return rollout.New(c, a, orderedAt, now)
}

// runningRollout is a rollout that runs in the view of this instance. The fields from controller on belong to the
// present ownership.
type runningRollout struct {
	api.Rollout
	seenAt time.Duration // when this instance first had a view with it

	controller rolloutController // nil until the account of the owners before has been read
	reading    bool
	saving     bool
	readDueAt  time.Duration
	targetsAt  time.Duration
	metricsAt  time.Duration
	oldListed  bool // a target of another version has been listed
	phase      rollout.Phase
	evidence   map[evidenceSource]placewire.RolloutEvidence

	verdict   *rollout.Verdict // nil = none yet
	change    api.Submission   // the end that follows from verdict
	submitAt  time.Duration
	submitted bool // a submission is under way, or has been committed
}

// evidenceSource is a process of an entry instance.
type evidenceSource struct{ entry, process string }

// resetOwnership discards what belongs to an ownership that has ended.
func (r *runningRollout) resetOwnership() {
	*r = runningRollout{Rollout: r.Rollout, seenAt: r.seenAt, evidence: map[evidenceSource]placewire.RolloutEvidence{}}
}

// noteRollouts records which rollouts run in a view and when they were first seen. All control instances do so,
// because each may become the owner, and the age of a rollout must not depend on the wall clock.
func (o *Owner) noteRollouts(v *api.View) {
	for service, r := range o.rollouts {
		now := v.Rollouts[service]
		if now.State == api.RolloutRunning && now.Started == r.Started {
			continue
		}
		delete(o.rollouts, service)
		if o.term == 0 {
			continue
		}
		if now.Started == r.Started {
			o.logRollout(r, "ended", "state", string(now.State), "reason", now.Reason, "replaced", now.Replaced)
			o.setStateMetric(r, now.State)
		} else {
			o.logRollout(r, "ended", "state", "another rollout")
		}
	}
	for service, running := range v.Rollouts {
		if running.State != api.RolloutRunning || o.rollouts[service] != nil || o.rolloutBounds == nil {
			continue
		}
		if o.rollouts == nil {
			o.rollouts = map[string]*runningRollout{}
		}
		r := &runningRollout{Rollout: running, seenAt: o.clock.Now()}
		r.resetOwnership()
		o.rollouts[service] = r
	}
}

// refreshRolloutTargets makes the targets of all rollouts due, because the view or the list has changed.
func (o *Owner) refreshRolloutTargets() {
	for _, r := range o.rollouts {
		r.targetsAt = o.clock.Now() - rolloutTargetsInterval
	}
}

// resetRollouts discards what belongs to the ownership that has ended or begins.
func (o *Owner) resetRollouts() {
	for _, r := range o.rollouts {
		r.resetOwnership()
	}
}

// logRollout logs a step of a rollout.
func (o *Owner) logRollout(r *runningRollout, event string, args ...any) {
	args = append([]any{"step", "rollout", "event", event, "service", r.Service, "version", r.Version, "started", r.Started, "term", o.term}, args...)
	logqueue.Notice(o.log, "rollout", args...)
}

// advanceRollouts does what is due of the running rollouts: reads accounts, reserves grants, submits verdicts. The
// calls of the control group run in goroutines, which end with the context.
func (o *Owner) advanceRollouts(ctx context.Context) {
	if len(o.rollouts) == 0 {
		return
	}
	now := o.clock.Now()
	if now-o.rolloutsAt < tickInterval && o.rolloutsAt > 0 {
		return
	}
	o.rolloutsAt = now
	if o.takingOver {
		o.reportedAt = now
	}
	o.awaitsReports = now-o.reportedAt < evidenceTime && now-o.ownedSince < maxReportWait
	for _, r := range o.rollouts {
		if r.controller == nil {
			if !r.reading && now >= r.readDueAt {
				r.reading = true
				go o.readAccount(ctx, o.term, r.Service, r.Started)
			}
		} else {
			o.advanceRollout(ctx, r, now)
		}
		o.endRollout(ctx, r, now)
	}
}

// advanceRollout advances a rollout whose controller exists.
func (o *Owner) advanceRollout(ctx context.Context, r *runningRollout, now time.Duration) {
	if now-r.targetsAt >= rolloutTargetsInterval {
		r.targetsAt = now
		r.controller.SetTargets(o.rolloutTargets(r, now), now)
		o.state.SetSplitter(r.Service, r.Started, &splitter{o, r}, now)
	}
	if phase := r.controller.Phase(); phase != r.phase {
		r.phase = phase
		o.setPhaseMetric(r)
		switch phase {
		case rollout.PhaseCanary:
			o.logRollout(r, "canary", "after_ms", r.controller.Elapsed(now).Milliseconds())
		case rollout.PhaseMoved:
			o.logRollout(r, "moved", "after_ms", r.controller.Elapsed(now).Milliseconds(), "running_old", r.runningOld())
		}
	}
	if a, due := r.controller.Reservation(now); due && !r.saving && !o.unconfirmed && r.verdict == nil {
		r.saving = true
		go o.saveAccount(ctx, o.term, r.Service, r.Started, a)
	}
	if now-r.metricsAt >= rolloutMetricsInterval {
		r.metricsAt = now
		o.setEvidenceMetrics(r)
	}
}

// rolloutTargets describes the targets of a service to the controller of its rollout.
func (o *Owner) rolloutTargets(r *runningRollout, now time.Duration) rollout.Targets {
	var out rollout.Targets
	dataCentresOut := o.fleet.View().DataCentresOut
	for _, t := range o.directory.Targets() {
		if t.Service != r.Service {
			continue
		}
		usable := !t.Leaving && !dataCentresOut[t.DataCentre] && o.state.CanUse(t.ID, now)
		switch {
		case t.Version != r.Version:
			r.oldListed = true
			if usable {
				out.Old++
			}
		case usable:
			out.New = append(out.New, t.ID)
		}
	}
	// Old targets that are lost during the rollout do not make its version a good one.
	out.OldListed = r.oldListed
	return out
}

// readAccount reads the account of a rollout until that succeeds, the leadership in the term has ended, or the
// context ends.
func (o *Owner) readAccount(ctx context.Context, term uint64, service string, started uint64) {
	for {
		limited, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
		accounts, err := o.control.ReadRolloutAccounts(limited)
		cancel()
		if err != nil {
			o.log.Warn("account of a rollout not read", "step", "rollout", "service", service, "term", term, "error", err)
		} else if o.inbox.Push(func() { o.accountRead(term, service, started, accounts[service]) }) {
			return
		}
		if !o.stillLeads(term) || !sleep(ctx, rolloutRetryDelay) {
			return
		}
	}
}

// stillLeads reports whether this instance is the control leader in a term. It may be called from any goroutine.
func (o *Owner) stillLeads(term uint64) bool {
	s := o.control.Status()
	return s.Role == "leader" && s.Term == term
}

// sleep waits for a time; false = the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// rolloutOf returns the running rollout of a service, or nil if the ownership or the rollout is another one.
func (o *Owner) rolloutOf(term uint64, service string, started uint64) *runningRollout {
	if r := o.rollouts[service]; r != nil && o.term == term && r.Started == started {
		return r
	}
	return nil
}

// accountRead creates the controller of a rollout from the account of the owners before.
func (o *Owner) accountRead(term uint64, service string, started uint64, a api.RolloutAccount) {
	r := o.rolloutOf(term, service, started)
	if r == nil || r.controller != nil {
		return
	}
	now := o.clock.Now()
	r.reading = false
	if a.Started != started { // it has ended, or a later one runs; the view follows
		r.readDueAt = now + rolloutRetryDelay
		return
	}
	r.controller = newController(rollout.Config{
		Duration: time.Duration(r.DurationMs) * time.Millisecond, ExposureShare: o.rolloutBounds.ExposureShare, ExposureSlack: o.rolloutBounds.ExposureSlack,
	}, rollout.Account{Requests: a.Requests, Allowed: a.Allowed, Elapsed: time.Duration(a.ElapsedMs) * time.Millisecond}, r.seenAt, now)
	for source, e := range r.evidence {
		r.controller.SetEvidence(source.entry, source.process, newEvidence(&e), now)
	}
	r.targetsAt = now - rolloutTargetsInterval // they are due
	o.setPhaseMetric(r)
	o.logRollout(r, "started", "after_ms", r.controller.Elapsed(now).Milliseconds(), "duration_ms", r.DurationMs,
		"requests_before", a.Requests, "allowed_before", a.Allowed)
}

// saveAccount saves the account of a rollout.
func (o *Owner) saveAccount(ctx context.Context, term uint64, service string, started uint64, a rollout.Account) {
	limited, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	err := o.control.SaveRolloutAccount(limited, api.RolloutAccount{
		Service: service, Started: started, Requests: a.Requests, Allowed: a.Allowed, ElapsedMs: a.Elapsed.Milliseconds(),
	})
	cancel()
	if err != nil {
		o.log.Warn("account of a rollout not saved", "step", "rollout", "service", service, "term", term, "error", err)
	}
	// A new owner may have read the account before this call stored it.
	saved := err == nil && o.stillLeads(term)
	o.pushUntilTaken(ctx, term, func() { o.accountSaved(term, service, started, a, saved) })
}

// pushUntilTaken queues a function. If the inbox is full it tries again until the leadership in a term or the
// context has ended.
func (o *Owner) pushUntilTaken(ctx context.Context, term uint64, f func()) {
	for !o.inbox.Push(f) {
		if !o.stillLeads(term) || !sleep(ctx, rolloutRetryDelay) {
			return
		}
	}
}

func (o *Owner) accountSaved(term uint64, service string, started uint64, a rollout.Account, saved bool) {
	r := o.rolloutOf(term, service, started)
	if r == nil || r.controller == nil {
		return
	}
	r.saving = false
	if saved {
		r.controller.Reserved(a, o.clock.Now())
	} else {
		r.controller.ReservationFailed(o.clock.Now())
	}
}

// endRollout submits the verdict on a rollout once it is reached, again until it is committed.
func (o *Owner) endRollout(ctx context.Context, r *runningRollout, now time.Duration) {
	if o.unconfirmed { // another owner may know better
		return
	}
	if r.verdict == nil {
		v, ok := o.findVerdict(r, now)
		if !ok {
			return
		}
		o.decideRollout(r, v, now)
	}
	if !r.submitted && now >= r.submitAt {
		r.submitted = true
		go o.submitVerdict(ctx, o.term, r.Service, r.Started, r.change)
	}
}

// findVerdict returns how a rollout is to end, once that is known.
func (o *Owner) findVerdict(r *runningRollout, now time.Duration) (rollout.Verdict, bool) {
	if o.table != nil && o.table.Services[r.Service] == nil {
		return rollout.Verdict{Reason: rollout.ReasonServiceRemoved}, true
	}
	if r.controller == nil {
		return rollout.Verdict{}, false
	}
	return r.controller.Verdict(now)
}

// decideRollout records the verdict on a rollout.
func (o *Owner) decideRollout(r *runningRollout, v rollout.Verdict, now time.Duration) {
	change := &api.RolloutChange{Service: r.Service, Ends: r.Started, State: api.RolloutRolledBack, Reason: v.Reason}
	if v.Succeeded {
		change.State, change.Replaced = api.RolloutSucceeded, o.otherVersions(r)
	}
	r.verdict = &v
	r.change = api.Submission{ChangeID: kernel.NewID(), Author: "owner", OnNewestRevision: true, Rollout: change}
	attrs := []any{"state", string(change.State), "reason", v.Reason, "route", v.Route, "running_old", r.runningOld()}
	if r.controller != nil {
		attrs = append(attrs, "after_ms", r.controller.Elapsed(now).Milliseconds())
	}
	o.logRollout(r, "verdict", append(attrs, v.Attrs...)...)
	o.setEvidenceMetrics(r)
}

// otherVersions returns the versions of the listed targets of a service other than the new one, sorted.
func (o *Owner) otherVersions(r *runningRollout) (out []string) {
	for _, t := range o.directory.Targets() {
		if t.Service == r.Service && t.Version != r.Version && !slices.Contains(out, t.Version) {
			out = append(out, t.Version)
		}
	}
	slices.Sort(out)
	return out
}

// submitVerdict submits the end of a rollout once.
func (o *Owner) submitVerdict(ctx context.Context, term uint64, service string, started uint64, s api.Submission) {
	limited, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	result, err := o.control.Submit(limited, s)
	cancel()
	o.pushUntilTaken(ctx, term, func() { o.verdictSubmitted(term, service, started, result, err) })
}

// verdictSubmitted lets a verdict that was not committed be submitted again. After a commit the view ends the
// rollout here.
func (o *Owner) verdictSubmitted(term uint64, service string, started uint64, result api.SubmitResult, err error) {
	r := o.rolloutOf(term, service, started)
	if r == nil {
		return
	}
	if err == nil && result.Error == "" && result.ConflictingChange == "" {
		o.logRollout(r, "submitted", "revision", result.Revision)
		return
	}
	o.log.Warn("end of a rollout not committed", "step", "rollout", "service", service, "term", term, "error", err,
		"reason", result.Error, "conflict", result.ConflictingChange)
	r.submitted, r.submitAt = false, o.clock.Now()+rolloutRetryDelay
}

// recordEvidence passes on what an entry instance has seen of running rollouts. Counters are cumulative, so a
// message that a later one has overtaken is recognised by its age.
func (o *Owner) recordEvidence(from string, all []placewire.RolloutEvidence, now time.Duration) {
	for i := range all {
		e := &all[i]
		r := o.rollouts[e.Service]
		if r == nil || r.Started != e.Started {
			continue
		}
		source := evidenceSource{from, e.Process}
		if known, ok := r.evidence[source]; ok && known.AgeMs > e.AgeMs {
			continue
		}
		r.evidence[source] = *e
		if r.controller != nil {
			r.controller.SetEvidence(from, e.Process, newEvidence(e), now)
		}
	}
}

// newEvidence converts a message to the type of package rollout.
func newEvidence(e *placewire.RolloutEvidence) rollout.Evidence {
	out := rollout.Evidence{Age: time.Duration(e.AgeMs) * time.Millisecond, RunningOld: e.RunningOld}
	for i := range e.Counts {
		c := &e.Counts[i]
		outcomes := rollout.Outcomes{Route: c.Route, Target: c.Target, Failed: c.Failed, Served: c.Served, Crashes: c.Crashes}
		copy(outcomes.Pace[:], c.Pace)
		out.Outcomes = append(out.Outcomes, outcomes)
	}
	return out
}

// runningOld returns the number of requests that run on targets of other versions, as entry instances have
// reported.
func (r *runningRollout) runningOld() (n int) {
	for _, e := range r.evidence {
		n += e.RunningOld
	}
	return n
}

// splitter implements placement.Splitter for a running rollout. An owner whose leadership is unconfirmed gives the new version nothing,
// because another one may have been elected.
type splitter struct {
	o *Owner
	r *runningRollout
}

var _ placement.Splitter = (*splitter)(nil)

// mayGrant reports whether the new version may be given requests.
func (s *splitter) mayGrant() bool {
	return !s.o.unconfirmed && !s.o.awaitsReports && s.r.controller != nil && (s.r.verdict == nil || s.r.verdict.Succeeded)
}

// Choose implements placement.Splitter.
func (s *splitter) Choose(route string, now time.Duration) bool {
	if s.o.unconfirmed || s.r.controller == nil {
		return false
	}
	chosen := s.r.controller.Choose(route, now) // counts the request in any case
	return chosen && s.mayGrant()
}

// IsCanary implements placement.Splitter.
func (s *splitter) IsCanary(target string) bool {
	return s.mayGrant() && s.r.controller.IsCanary(target)
}

// HasMoved implements placement.Splitter.
func (s *splitter) HasMoved() bool {
	// After a verdict, Choose still distinguishes how the rollout ends.
	return s.mayGrant() && s.r.controller.Phase() >= rollout.PhaseMoved
}

// RecordGrant implements placement.Splitter.
func (s *splitter) RecordGrant(now time.Duration) {
	s.r.controller.RecordGrant(now)
	s.o.metrics.GetOrCreateCounter(s.r.metric("nutmeg_rollout_grants_total", s.r.Version)).Inc()
}

// metric returns the name of a metric for a version of the service.
func (r *runningRollout) metric(name, version string) string {
	return fmt.Sprintf("%s{service=%q,version=%q}", name, r.Service, version)
}

// Values of the metric nutmeg_rollout_state beside those of the phases, which are rollout.Phase plus 1.
const (
	stateSucceeded  = 10
	stateRolledBack = 11
)

func (o *Owner) setPhaseMetric(r *runningRollout) {
	o.metrics.GetOrCreateGauge(r.metric("nutmeg_rollout_state", r.Version), nil).Set(float64(r.phase) + 1)
}

func (o *Owner) setStateMetric(r *runningRollout, state api.RolloutState) {
	value := float64(stateRolledBack)
	if state == api.RolloutSucceeded {
		value = stateSucceeded
	}
	o.metrics.GetOrCreateGauge(r.metric("nutmeg_rollout_state", r.Version), nil).Set(value)
}

// otherVersionsLabel is the version label of the evidence of all versions but the new one.
const otherVersionsLabel = "other"

// setEvidenceMetrics sets the counts of failed and of slow responses.
func (o *Owner) setEvidenceMetrics(r *runningRollout) {
	var failed [2]int
	var pace [2][rollout.NumPaceBuckets]int // of the new version, of the others
	for _, e := range r.evidence {
		for _, c := range e.Counts {
			side := 0
			if c.Target == "" {
				side = 1
			}
			failed[side] += c.Failed + c.Crashes
			for i, n := range c.Pace[:min(len(c.Pace), rollout.NumPaceBuckets)] {
				pace[side][i] += n
			}
		}
	}
	slowFrom := firstSlowBucket(pace[1])
	for side, version := range []string{r.Version, otherVersionsLabel} {
		slow := 0
		for _, n := range pace[side][slowFrom:] {
			slow += n
		}
		o.metrics.GetOrCreateCounter(r.metric("nutmeg_rollout_failed_total", version)).Set(uint64(failed[side]))
		o.metrics.GetOrCreateCounter(r.metric("nutmeg_rollout_slow_total", version)).Set(uint64(slow))
	}
}

// firstSlowBucket returns the first bucket above slowFactor times the median of the old versions.
func firstSlowBucket(old [rollout.NumPaceBuckets]int) int {
	total, median := 0, 1.0
	for _, n := range old {
		total += n
	}
	sum := 0
	for i, bound := range rollout.PaceBuckets {
		if sum += old[i]; total > 0 && 2*sum >= total {
			median = bound
			break
		}
	}
	return min(rollout.PaceBucket(slowFactor*median)+1, rollout.NumPaceBuckets-1)
}
