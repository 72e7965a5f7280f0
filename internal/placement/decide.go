package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// giveUpFactor is the multiple of the objective after which callers abandon a stream
	// without a first event; minGiveUpTime is the lower bound. Both count from the caller's
	// first attempt.
	giveUpFactor  = 4
	minGiveUpTime = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused callers.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// reviewInterval is the minimum time between two reviews of a queued request.
	reviewInterval = 50 * time.Millisecond
	// missedReviewInterval replaces it for a request that is predicted to miss its objective:
	// each review of such a request scores hundreds of targets.
	missedReviewInterval = 200 * time.Millisecond
)

// decide grants a request, refuses it, or queues it for the best target. A request that
// misses its objective on all targets gets a lower rank and takes the remaining capacity.
func (o *Owner) decide(w *work, now time.Duration) {
	w.excess, w.predictedMiss, w.overloaded, w.overShare = 0, false, false, false
	if !w.request.Resumes {
		w.excess = o.shares.excess(w.request.Workspace, w.cost)
		w.overloaded = o.shares.overloaded(w.request.Workspace)
		w.overShare = o.shares.exceedsShare(w.request.Workspace, w.cost)
	}
	if o.decideMoved(w, now) {
		return
	}
	c, rested := o.choose(w, now)
	ok := c.target != nil
	if ok && !w.missCounted && !w.request.Resumes && w.missesObjective(c.firstEventAfter, now) {
		w.missCounted = true
		o.shares.recordMissed(w.cost)
	}
	if ok && w.rank() < rankMissesObjective && w.missesObjective(c.firstEventAfter, now) {
		w.predictedMiss = true
		c, rested = o.choose(w, now)
	}
	if !ok {
		o.refuse(w, c, CodeNoTarget, 0, now)
		return
	}
	code := o.refusalCode(w, c, now)
	if code == CodeShareExceeded && rested.target != nil && !w.outlastsCaller(rested.firstEventAfter, now) {
		c, code = rested, ""
	}
	if code != "" {
		o.refuse(w, c, code, c.wait, now)
		return
	}
	if c.wait > 0 {
		c.target.addPending(w, c.prefillTokens())
		w.reviewedAt = now
		o.numPending++
		return
	}
	o.grant(w, c, now)
}

// maxLateness is the lateness from which an owner refuses requests without choosing a target for them.
const maxLateness = 100 * time.Millisecond

// refuseLate refuses a request that an owner which is late should not spend more time on: one that misses
// its objective on all targets, because it has waited too long here, or one of a workspace that has got its
// share of what this owner decides. What is left of its time goes to requests that can be served well.
func (o *Owner) refuseLate(w *work, now time.Duration) bool {
	if w.request.Resumes {
		return false
	}
	workspace := w.request.Workspace
	code := ""
	switch {
	case o.shares.overloaded(workspace) && o.shares.excess(workspace, w.cost) > 0:
		code = CodeShareExceeded
	case w.missesObjective(o.typicalPrefillTime(w.request)+baseLatency, now):
		code = CodeTooLate
	default:
		return false
	}
	o.shares.recordLate(workspace, w.cost, now)
	o.refuse(w, candidate{}, code, w.request.Lateness, now)
	return true
}

// missesObjective reports whether a request misses its objective if its first event comes
// firstEventAfter from now.
func (w *work) missesObjective(firstEventAfter, now time.Duration) bool {
	return now+firstEventAfter+responseMargin > w.effectiveObjectiveAt
}

// refusalCode returns the reason to refuse a request, or "" if it is accepted.
func (o *Owner) refusalCode(w *work, c candidate, now time.Duration) string {
	if w.request.Resumes {
		return ""
	}
	missed := w.missesObjective(c.firstEventAfter, now)
	if missed && !w.arrivedLate {
		o.shares.recordUnmet(w.request.Workspace, now)
	}
	overShare := o.shares.exceedsShare(w.request.Workspace, w.cost)
	switch {
	case overShare && c.wait > 0 && !c.idleTarget && o.shares.exceedsBusyLead(w.request.Workspace, w.cost, now):
		return CodeShareYields
	case overShare && o.shares.exceedsIdleLead(w.request.Workspace, w.cost, now):
		return CodeShareYields
	case missed && (w.excess > 0 || o.shares.overloaded(w.request.Workspace)):
		return CodeShareExceeded
	case missed && w.outlastsCaller(c.firstEventAfter, now):
		return CodeTooLate
	}
	return ""
}

// outlastsCaller reports whether the caller gives up before a first event that comes
// firstEventAfter from now.
func (w *work) outlastsCaller(firstEventAfter, now time.Duration) bool {
	return now+firstEventAfter+responseMargin > w.callerGivesUpAt()
}

// callerGivesUpAt returns when the caller is expected to abandon the request without a first
// event.
func (w *work) callerGivesUpAt() time.Duration {
	// For a retry, this is when the first attempt arrived.
	firstSubmittedAt := w.objectiveAt - w.request.RouteObjective
	return min(w.deadline, firstSubmittedAt+max(minGiveUpTime, giveUpFactor*w.request.RouteObjective))
}

func (o *Owner) refuse(w *work, c candidate, code string, wait, now time.Duration) {
	delete(o.requests, w.key)
	if !w.request.Resumes {
		o.retries.recordRefusal(w.identity, w.objectiveAt, now)
	}
	if !w.arrivedLate {
		o.shares.usageOf(w.request.Workspace).forwardControl.recordRefused(w.cost)
	}
	if code == CodeShareYields {
		wait = o.shares.window / windowSlots
	}
	d := o.newDecision(w, c)
	d.Code, d.RetryAfter = code, min(max(wait, minRetryAfter), maxRetryAfter)
	if c.target != nil && c.target.pausedUntil > now {
		d.RetryAfter = max(d.RetryAfter, spreadPause(c.target.pausedUntil-now, w.key))
	}
	o.decisions = append(o.decisions, d)
}

// pauseSpread is the fraction by which the Retry-After of callers exceeds the pause of a target at
// most, so that they do not return together.
const pauseSpread = 0.5

// MaxPauseRetryAfter bounds the pause from which the Retry-After of callers is derived: a target that asks
// for a long pause may start again sooner, or others may be added.
const MaxPauseRetryAfter = time.Minute

// spreadPause returns the Retry-After for a request that waits for the end of a pause.
func spreadPause(pause time.Duration, k Key) time.Duration {
	fraction := float64(mix(k.Number, hashName(k.Entry))) / math.MaxUint64
	return time.Duration(float64(min(pause, MaxPauseRetryAfter)) * (1 + pauseSpread*fraction))
}

// grant grants a request a target, or another one if the rollout of the service has it that way. It reports false
// if the target is of a new version to which the request must not go.
func (o *Owner) grant(w *work, c candidate, now time.Duration) bool {
	c, ok := o.split(w, c, now)
	if !ok {
		return false
	}
	var expected time.Duration
	if r := o.rollouts[w.request.Service]; r != nil {
		expected = r.expectedFirstEvent(c.target, c.prefillTokens(), now) + c.fetch.delay
		if w.newVersion {
			r.splitter.RecordGrant(now)
		}
	}
	c.target.start(w, start{at: now, by: o.followers[w.key.Entry], granted: true})
	c.target.beginFetch(w, c.fetch, now)
	w.metered = c.target.countAgainstLimit(now)
	o.crashes.recordSent(w.request.Prompt)
	if !w.request.Resumes {
		w.charge = o.shares.recordGranted(w.request.Workspace, w.cost)
	}
	d := o.newDecision(w, c)
	d.Target, d.Metered, d.QueueDelay = c.target.info.ID, w.metered, now-w.submittedAt
	d.NewVersion, d.Expected = w.newVersion || o.hasMovedTo(c.target.info.Service, c.target.info.Version), expected
	if s := c.fetch.source; s != nil {
		d.FetchFrom, d.FetchStartedUnixMs = s.info.ID, s.info.StartedUnixMs
	}
	o.decisions = append(o.decisions, d)
	return true
}

func (o *Owner) newDecision(w *work, c candidate) Decision {
	return Decision{
		Key: w.key, Excess: w.excess, Retry: w.isRetry, ForwardShare: o.shares.forwardShare(w.request.Workspace), QueueDelay: c.wait,
		UncachedTokens: c.uncached, MinUncachedTokens: c.minUncached, MinUncachedWait: c.minUncachedWait, IdleTarget: c.idleTarget,
	}
}

// dropPending removes a request from the queue of its target, if it is in one.
func (o *Owner) dropPending(w *work) {
	if w.pendingOn != nil {
		w.pendingOn.removePending(w)
		o.numPending--
	}
}

// startPending starts the queued requests of a target by rank, while it has capacity.
func (o *Owner) startPending(t *target, now time.Duration) {
	o.rerankMissed(t, now)
	for len(t.pending) > 0 {
		w := slices.MinFunc(t.pending, compareUrgency)
		if !t.canStart(w, o.maxStarts(t, now), now) {
			return
		}
		o.dropPending(w)
		o.findSources(w, now)
		c := o.predict(t, w, t.cache.uncachedTokens(w.request.Prompt), now)
		c.wait, c.minUncached = 0, c.uncached
		if !w.request.Resumes {
			w.excess = o.shares.excess(w.request.Workspace, w.cost)
		}
		if code := o.refusalCode(w, c, now); code != "" {
			o.refuse(w, c, code, 0, now)
			continue
		}
		if !o.grant(w, c, now) {
			o.decide(w, now)
		}
	}
}

// rerankMissed lowers the rank of queued requests that would miss their objective even if
// they started now.
func (o *Owner) rerankMissed(t *target, now time.Duration) {
	for _, w := range t.pending {
		firstEventAfter := t.prefillTime(float64(w.pendingUncached)) + baseLatency
		if w.pendingRank < rankMissesObjective && !w.request.Resumes && w.missesObjective(firstEventAfter, now) {
			w.predictedMiss = true
			t.updatePendingRank(w)
		}
	}
}

// compareUrgency orders queued requests by rank, then by excess over the workspace's share,
// then by objective.
func compareUrgency(a, b *work) int {
	if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.excess, b.excess); c != 0 {
		return c
	}
	return cmp.Compare(a.objectiveAt, b.objectiveAt)
}

// reviewPending decides anew on at most the given number of queued requests that miss their objective on
// the target, so that they move to a better one or are refused. It returns their number.
func (o *Owner) reviewPending(t *target, most int, now time.Duration) (reviewed int) {
	for _, w := range slices.Clone(t.pending) {
		if reviewed == most {
			break
		}
		interval := reviewInterval
		if w.predictedMiss {
			interval = missedReviewInterval
		}
		if w.pendingOn != t || now-w.reviewedAt < interval {
			continue
		}
		w.reviewedAt = now
		o.findSources(w, now)
		if !w.predictedMiss && !w.missesObjective(o.predict(t, w, t.cache.uncachedTokens(w.request.Prompt), now).firstEventAfter, now) {
			continue
		}
		o.dropPending(w)
		o.decide(w, now)
		reviewed++
	}
	return reviewed
}

// redecidePending decides anew on all requests queued for a target.
func (o *Owner) redecidePending(t *target, now time.Duration) {
	for _, w := range slices.Clone(t.pending) {
		o.dropPending(w)
		o.decide(w, now)
	}
}
