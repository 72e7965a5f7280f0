package rollout

import (
	"math"
	"time"
)

const (
	// canaryShare is the part of the exposure bound that the canary phase may use. Where that are less than
	// minCanaryRequests at the deadline, it may use up to maxCanaryShare: too few responses can't tell a bad version,
	// and a move earlier by some tenths of a second helps few callers.
	canaryShare       = 0.35
	maxCanaryShare    = 0.65
	minCanaryRequests = 100
	// plannedShare is the part of the bound that may be used at the deadline if the load grows by loadGrowth after
	// the move; grantedShare is the part beyond which no grant is given, whatever the load does.
	plannedShare = 0.9
	grantedShare = 0.95
	loadGrowth   = 1.2
	// earliestMove is the part of the duration before which a service with few requests is not moved, so that the
	// version has answered some requests beside the old one.
	earliestMove = 0.75
	// maxEndMargin is the longest time before the deadline at which the end is submitted; endMarginShare bounds it
	// for short rollouts.
	maxEndMargin   = 250 * time.Millisecond
	endMarginShare = 1.0 / 20
	// stepInterval is the time between two evaluations of the evidence and of the schedule.
	stepInterval = 100 * time.Millisecond
	// minRateTime is the shortest time over which a rate of requests is used to plan the move.
	minRateTime = 300 * time.Millisecond
	// oldReportTime is a time after which entry instances have reported a request that was given to an old target.
	oldReportTime = 500 * time.Millisecond
)

// Controller decides on one running rollout. It belongs to the owner. It keeps the account, divides the requests,
// collects the evidence and reaches the verdict.
type Controller struct {
	config    Config
	account   Account // as stored when this owner began
	orderedAt time.Duration
	startedAt time.Duration

	requests uint64 // of the service since the order, as far as counted
	used     uint64 // grants that may have been given, by all owners
	reservation

	targets  Targets
	sawOld   bool // a target of another version was listed
	canary   canarySet
	rates    rates
	evidence evidence
	phase    Phase
	// canaryPart is the part of the bound for the canary phase.
	canaryPart float64
	coming     float64 // requests expected until the deadline
	afterEnd   float64 // those of them after the end
	nextStep   time.Duration
	lastOldAt  time.Duration // last request that was not granted on the new version

	chosenRoute int  // route of the last request
	chosenNew   bool // it was to go to the new version and no grant was recorded yet

	verdict *Verdict
}

// New returns the controller of a rollout that was ordered at a time, as far as this instance has seen. The
// account is that of the owners before: all that it allows counts as granted.
func New(c Config, a Account, orderedAt, now time.Duration) *Controller {
	ctl := &Controller{
		config: c, account: a, orderedAt: orderedAt, startedAt: now,
		requests: a.Requests, used: a.Allowed,
		reservation: reservation{allowed: a.Allowed, savedAt: now},
		rates:       newRates(now),
		evidence:    newEvidence(c.Duration, a.Allowed > 0, now),
		nextStep:    now,
		canaryPart:  canaryShare,
		lastOldAt:   now,
	}
	return ctl
}

// bound returns the greatest number of requests that a bad version may get at a number of requests of the service.
func (c *Controller) bound(requests float64) float64 {
	return c.config.ExposureShare*requests + c.config.ExposureSlack
}

// canaryBound returns the greatest number of requests that the version may get in the canary phase so far.
func (c *Controller) canaryBound() float64 { return c.canaryPart * c.bound(float64(c.requests)) }

// SetTargets sets the targets that can be used.
func (c *Controller) SetTargets(t Targets, now time.Duration) {
	c.targets = t
	c.sawOld = c.sawOld || t.OldListed
	if c.phase == PhaseBefore && len(t.New) > 0 {
		c.phase = PhaseCanary
		c.evidence.rampAt = now
	}
	c.canary.setListed(t.New)
	c.updateCanary()
}

// updateCanary fits the canary set to the load: each target gets about as many requests as an old one.
func (c *Controller) updateCanary() {
	c.canary.resize(int(math.Ceil(canaryShare*c.config.ExposureShare*float64(c.targets.Old))), c.evidence.suspects())
}

// IsCanary reports whether a target of the new version may get requests in the present phase.
func (c *Controller) IsCanary(target string) bool {
	switch {
	case c.phase == PhaseCanary:
		return c.canary.chosen[target]
	case c.phase == PhaseMoved, c.phase == PhaseDecided && c.verdict.Succeeded:
		return c.canary.listed[target]
	}
	return false
}

// Choose counts a request of the service that is about to be placed, and reports whether it is to go to the new
// version. The caller then calls RecordGrant if it grants it there. A retry and a resumed stream are requests of
// their own.
func (c *Controller) Choose(route string, now time.Duration) (newVersion bool) {
	c.requests++
	c.settleChoice(now)
	index := c.evidence.routeIndex(route)
	c.rates.count(index, now)
	c.step(now)
	c.chosenRoute = index
	c.chosenNew = c.mayGrant() && c.wantsNew(index)
	if !c.chosenNew {
		c.lastOldAt = now
	}
	return c.chosenNew
}

// settleChoice counts the last request as one on an old target if no grant followed.
func (c *Controller) settleChoice(now time.Duration) {
	if c.chosenNew {
		c.chosenNew = false
		c.lastOldAt = now
	}
}

// mayGrant reports whether the account and the bound leave room for one more grant, and for the requests between the end
// and the deadline: after the end the version gets all of them.
func (c *Controller) mayGrant() bool {
	used, requests := float64(c.used+1), float64(c.requests)
	return c.used < c.allowed && used <= grantedShare*c.bound(requests) &&
		used+c.afterEnd <= grantedShare*c.bound(requests+c.coming)
}

// wantsNew reports whether the schedule gives the present request of a route to the new version.
func (c *Controller) wantsNew(route int) bool {
	switch c.phase {
	case PhaseCanary:
		due := c.rates.takeShare(route)
		return due && float64(c.used+1) <= c.canaryBound()
	case PhaseMoved:
		return true
	case PhaseDecided:
		return c.verdict.Succeeded
	}
	return false
}

// RecordGrant counts a grant to the new version.
func (c *Controller) RecordGrant(now time.Duration) {
	c.used++
	c.chosenNew = false
	c.rates.granted(c.chosenRoute)
	c.evidence.countGrant(c.chosenRoute, now)
}

// Phase returns the present phase.
func (c *Controller) Phase() Phase { return c.phase }

// Elapsed returns the time since the order: the greatest of what this instance has seen, what any entry instance has
// reported, and what the account holds. Each of them is at most the true time, so the greatest is the closest.
func (c *Controller) Elapsed(now time.Duration) time.Duration {
	return max(now-c.orderedAt, c.account.Elapsed+now-c.startedAt, c.evidence.age(now))
}

// step evaluates the evidence and the schedule if that is due.
func (c *Controller) step(now time.Duration) {
	if now < c.nextStep || c.verdict != nil {
		return
	}
	c.nextStep = now + stepInterval
	// At a few requests a second their number varies by much: two standard deviations besides the growth.
	last := c.rates.total(now) * (c.config.Duration - c.endAt()).Seconds()
	c.coming = c.rates.total(now) * max(0, c.config.Duration-c.Elapsed(now)).Seconds()
	c.afterEnd = loadGrowth*last + 2*math.Sqrt(last)
	active := len(c.canary.chosen)
	if c.phase == PhaseMoved {
		active = len(c.targets.New)
	}
	c.evidence.evaluate(now, len(c.targets.New), active)
	if v, ok := c.decide(now); ok {
		c.verdict = &v
		c.phase = PhaseDecided
		return
	}
	if c.phase != PhaseCanary {
		return
	}
	c.updateCanary()
	if c.moveDue(now) {
		c.phase = PhaseMoved
		c.evidence.rampAt, c.evidence.moved = now, true
		return
	}
	rate := c.rates.total(now)
	left := max(0, c.config.Duration-c.Elapsed(now)).Seconds()
	c.canaryPart = max(canaryShare, min(maxCanaryShare, minCanaryRequests/c.bound(float64(c.requests)+rate*left)))
	missing := c.canaryBound() - float64(c.used)
	catchUp := max(time.Second, c.config.Duration/5)
	c.rates.divide(max(0, c.canaryPart*c.config.ExposureShare*rate+missing/catchUp.Seconds()), now)
}

// moveDue reports whether all requests until the deadline fit into the bound and there is no evidence against the version.
func (c *Controller) moveDue(now time.Duration) bool {
	elapsed := c.Elapsed(now)
	if float64(elapsed) < earliestMove*float64(c.config.Duration) || now-c.startedAt < minRateTime {
		return false
	}
	_, doubt := c.strengths()
	return c.evidence.answered() && c.evidence.result.strength < doubt && c.fits(loadGrowth, now)
}

// strengths returns the strength of the evidence that decides against the version, and the one that does so at the end.
func (c *Controller) strengths() (verdict, doubt float64) {
	verdict, doubt = verdictStrength, doubtStrength
	if c.evidence.numWindows <= shortWindows {
		verdict, doubt = shortVerdictStrength, shortDoubtStrength
	}
	if bad := c.evidence.result.newBad; bad >= limitedFrom && bad <= limitedTo {
		verdict = limitedStrength
	}
	return verdict, doubt
}

// fits reports whether all requests until the deadline, at a multiple of the present rate, fit into the bound.
func (c *Controller) fits(growth float64, now time.Duration) bool {
	left := max(0, c.config.Duration-c.Elapsed(now)).Seconds()
	coming := c.rates.total(now) * left
	return float64(c.used)+growth*coming <= plannedShare*c.bound(float64(c.requests)+coming)
}

// Verdict returns how the rollout is to end, once that is decided; the result does not change any more.
func (c *Controller) Verdict(now time.Duration) (Verdict, bool) {
	c.settleChoice(now)
	c.step(now)
	if c.verdict == nil && c.Elapsed(now) >= c.endAt() {
		c.nextStep = now // the end does not wait for the next step
		c.step(now)
	}
	if c.verdict == nil {
		return Verdict{}, false
	}
	return *c.verdict, true
}

// endAt returns the elapsed time at which the end is submitted at the latest.
func (c *Controller) endAt() time.Duration {
	return c.config.Duration - min(maxEndMargin, time.Duration(endMarginShare*float64(c.config.Duration)))
}

// decide returns the verdict if the evidence or the time requires one.
func (c *Controller) decide(now time.Duration) (Verdict, bool) {
	result := &c.evidence.result
	atEnd := c.Elapsed(now) >= c.endAt()
	verdict, doubt := c.strengths()
	switch {
	case !c.sawOld && len(c.targets.New) > 0 && c.account.Requests == 0:
		return Verdict{Succeeded: true, Reason: ReasonNoOtherVersion}, true
	case result.strength >= verdict, atEnd && result.strength >= doubt:
		v := result.verdict()
		v.Attrs = append(v.Attrs, "bound", verdict, "bound_at_end", doubt)
		return v, true
	case atEnd && !c.evidence.answered():
		return Verdict{Reason: ReasonNoResponses}, true
	case atEnd:
		return c.success(ReasonDeadline), true
	case c.phase == PhaseMoved && c.evidence.runningOld() == 0 && now-c.lastOldAt >= oldReportTime &&
		c.fits(2*loadGrowth, now):
		// After the end nothing holds back requests to a version that turns bad, so the load may double.
		return c.success(ReasonAllMoved), true
	}
	return Verdict{}, false
}

// success returns a verdict for the version with the figures for the log.
func (c *Controller) success(reason string) Verdict {
	return Verdict{Succeeded: true, Reason: reason, Attrs: []any{
		"requests", c.requests, "granted_at_most", c.used, "running_old", c.evidence.runningOld(),
		"evidence", c.evidence.result.strength,
	}}
}
