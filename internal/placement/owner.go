package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// Key identifies a request in the fleet by its entry instance and its number there.
type Key struct {
	Entry  string
	Number uint64
}

// Request describes a request for which an entry instance asks the owner for a target.
type Request struct {
	Service   string
	Workspace string
	// DataCentre is the data centre of the entry instance.
	DataCentre   string
	PromptTokens int
	OutputTokens int // estimate
	Prompt       []Part
	// Objective is the time until the first event is due, Deadline the time until the response
	// is of no use any more. Both are relative to the call of Owner.Submit.
	Objective, Deadline time.Duration
	// Lateness is how long ago the entry instance asked, if the owner has been busy with other work.
	// Objective, Deadline and CallerDeadline allow for it.
	Lateness time.Duration
	// RouteObjective is the whole objective of the route, from the caller's request on.
	RouteObjective time.Duration
	Tried          []string // IDs of targets to which the request was already sent
	Resumes        bool     // the request continues an interrupted stream
	// Plain reports that it is a request to a plain service, with no more than the service, the
	// fingerprint and the candidates.
	Plain bool
	// Candidates are, for a plain request, the IDs of the targets with a rate limit of which the entry
	// instance asks for one, best first. Without candidates it asks whether it may send the request.
	Candidates []string
	// Fingerprint is set if several targets have crashed with the request.
	Fingerprint api.Fingerprint
	// Hash identifies the request together with CallerDeadline, the time from the call of Owner.Submit until the caller
	// stops waiting, as it has stated; 0 = not stated. Deadline may be earlier.
	Hash           RequestHash
	CallerDeadline time.Duration
	// Route is the name of its route; "" if the entry instance knows of no running rollout of the service.
	Route string
}

// Decision is the owner's reply to a Request: a grant with a target, or a refusal with a code.
type Decision struct {
	Key Key
	// Target is the ID of the granted target; "" = refused. Metered reports that the request was
	// counted against the target's rate limit.
	Target  string
	Metered bool
	// FetchFrom is the ID of the target from which the granted one fetches parts of the prompt, and
	// FetchStartedUnixMs its incarnation; "" = none.
	FetchFrom          string
	FetchStartedUnixMs int64
	// Permitted reports, for a plain request without candidates, that it may be sent.
	Permitted bool
	// NewVersion reports that the request goes to the new version of its service, whose rollout runs: the target has
	// that version, or a plain request, with or without candidates, is permitted on any target of it.
	NewVersion bool
	// Expected is, for a model request of a service whose rollout runs, the time from the send to the first event
	// that is expected of the versions before; 0 = no rollout runs.
	Expected time.Duration
	// Code is the reason of a refusal, RetryAfter the time after which the caller may retry.
	Code       string
	RetryAfter time.Duration
	// QueueDelay is the queue delay of a granted request, or the predicted one of a refused
	// request. Excess is the ratio of the tokens granted to the workspace, this request
	// included, to its share; 0 within the share.
	QueueDelay time.Duration
	Excess     float64
	// Retry reports that the request was taken for a retry of a refused one.
	Retry bool
	// ForwardShare is the share of the workspace's requests that the entry instance forwards to
	// the owner from now on; 1 = all.
	ForwardShare float64
	// UncachedTokens is the number of uncached prompt tokens on the target, MinUncachedTokens
	// the lowest such number on any target that was examined, and MinUncachedWait the predicted
	// wait for that target. For a request that starts from the queue, MinUncachedTokens equals
	// UncachedTokens.
	UncachedTokens, MinUncachedTokens int
	MinUncachedWait                   time.Duration
	// IdleTarget reports, for a request of a workspace that exceeds its share, whether an
	// examined target was idle.
	IdleTarget bool
}

// Reasons of refusals.
const (
	CodeNoTarget       = "no_target"       // no target of the service accepts requests
	CodeTooLate        = "too_late"        // the first event would come after the caller gives up
	CodeShareExceeded  = "share_exceeded"  // misses its objective, and the workspace exceeds its share
	CodeShareYields    = "share_yields"    // granted too much more than a workspace with unmet demand
	CodeLimitReached   = "limit_reached"   // all targets are at the rate limit that they have named
	CodeStartsReached  = "starts_reached"  // without an owner, the entry instance has used its part of the starts per second
	CodeRequestCrashes = "request_crashes" // targets crash when they run it
	CodePartCrashes    = "part_crashes"    // targets crash when they begin to answer a part of its prompt
)

// View is the configuration and fleet state that the owner decides by.
type View struct {
	Services     map[string]*routing.Service // by name
	Targets      []api.Target
	OutOfService map[string]bool // data centres out of service
	// TokensPerSecond is the configured throughput of all engines together, in tokens as
	// shares count them: prompt tokens plus twice the output tokens.
	TokensPerSecond float64
	// Rollouts holds the newest rollout of each service that has had one, by service.
	Rollouts map[string]api.Rollout
}

// Config holds the settings of an owner.
type Config struct {
	// ShareWindow is the sliding window of the workspace shares, at least a second.
	ShareWindow time.Duration
	// ColdOverage and ColdSlack limit the starts per second on a target that is not known to be
	// cold, because it may turn cold at any time: at most routing.Service.ColdPerSecond times
	// ColdOverage plus ColdSlack, less a safety margin.
	ColdOverage, ColdSlack float64
}

// Owner schedules the model requests of all entry instances. Each request is decided on when
// it arrives: it is granted a target, refused, or queued for the target with the lowest
// score. It is not safe for concurrent use.
type Owner struct {
	cfg            Config
	view           View
	targets        map[string]*target
	sortedTargets  []*target                  // by ID
	usable         map[string][]*target       // targets that accept new requests, by service, sorted by ID; without those of serviceRollout
	rollouts       map[string]*serviceRollout // running ones by service
	cacheIndex     cacheIndex
	affinity       map[affinityKey]*target // of the usable targets
	searches       uint64                  // calls of choose
	sources        fetchSources            // for the last request that was decided on
	scanFrom       int                     // index of the target at which the next scan of choose begins
	asked          *intake
	requests       map[Key]*work
	numPending     int
	shares         *shares
	retries        *retryTracker
	crashes        *crashTracker
	requestCrashes *requestCrashes
	meanRunTimes   map[string]time.Duration // mean run time of a request on a target, by service
	decisions      []Decision
	newlyBlocked   []PartID
	unsettled      map[*target]struct{} // targets with failures
	listed         map[string]int64     // Target.StartedUnixMs of all targets, plain ones too, by ID
	limits         map[string]*targetLimit
	changedLimits  map[string]struct{}  // IDs of targets whose rate limit has changed
	lastTick       time.Duration        // last review of the queued requests
	reviewFrom     int                  // index of the target whose queue the next review begins with
	followers      map[string]*follower // entry instances that report their starts, by name
	reserved       map[string]int       // sum of the parts of followers, by target ID
	takeover       *takeover            // nil = no entry instance has an unknown part
}

// NewOwner returns an owner without targets; SetView adds them.
func NewOwner(c Config) *Owner {
	return &Owner{
		cfg: c, targets: map[string]*target{}, cacheIndex: cacheIndex{}, affinity: map[affinityKey]*target{}, asked: newIntake(), requests: map[Key]*work{},
		shares: newShares(c.ShareWindow), retries: newRetryTracker(), crashes: newCrashTracker(), requestCrashes: newRequestCrashes(), unsettled: map[*target]struct{}{}, limits: map[string]*targetLimit{}, changedLimits: map[string]struct{}{}, meanRunTimes: map[string]time.Duration{},
		followers: map[string]*follower{}, reserved: map[string]int{}}
}

// SetView replaces the fleet view. Running requests on removed targets are tracked until they
// end. Requests queued for targets that are removed or accept no requests are decided anew.
func (o *Owner) SetView(v View, now time.Duration) {
	o.view = v
	o.sources.setServices(v.Services)
	o.retainLimits(v.Targets)
	current := make(map[string]*target, len(v.Targets))
	for _, info := range v.Targets {
		if s := v.Services[info.Service]; s != nil && s.Engine != nil {
			t := o.targetModel(info, *s.Engine)
			t.limit = o.limits[info.ID]
			current[info.ID] = t
		}
	}
	previous := o.sortedTargets
	o.targets, o.sortedTargets = current, make([]*target, 0, len(current))
	for _, t := range current {
		o.sortedTargets = append(o.sortedTargets, t)
	}
	slices.SortFunc(o.sortedTargets, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
	o.usable = map[string][]*target{}
	clear(o.affinity)
	changedSides := o.applyRollouts()
	for _, r := range o.rollouts {
		r.newTargets = nil
	}
	for _, t := range o.sortedTargets {
		switch {
		case !o.inService(t):
		case t.isNew:
			r := o.rollouts[t.info.Service]
			r.newTargets = append(r.newTargets, t)
		default:
			o.usable[t.info.Service] = append(o.usable[t.info.Service], t)
		}
	}
	for service, r := range o.rollouts {
		o.refreshRollout(service, r, now)
	}
	for _, t := range previous {
		if current[t.info.ID] != t {
			t.cache.removeFromIndex()
		}
	}
	for _, t := range previous {
		if current[t.info.ID] != t || !o.inService(t) || changedSides[t] {
			o.redecidePending(t, now)
		}
	}
}

// targetModel returns the model of a target, and a new one for a new incarnation.
func (o *Owner) targetModel(info api.Target, e routing.Engine) *target {
	t := o.targets[info.ID]
	if t == nil || t.info.StartedUnixMs != info.StartedUnixMs {
		return newTarget(info, e, o.cacheIndex)
	}
	t.info, t.engine = info, e
	t.cache.capacity = e.CacheTokens
	return t
}

// Serves reports whether a service has model engines, whose requests the owner schedules.
func (o *Owner) Serves(service string) bool {
	s := o.view.Services[service]
	return s != nil && s.Engine != nil
}

// Submit decides on a request or queues it; Decisions returns the result. A request
// whose key is already known is ignored.
func (o *Owner) Submit(k Key, req Request, now time.Duration) { o.submit(k, req, now) }

// submit is Submit. It reports whether a target was chosen or looked for.
func (o *Owner) submit(k Key, req Request, now time.Duration) (decided bool) {
	if o.requests[k] != nil {
		return false
	}
	if o.refuseRepeat(k, req, now) {
		return false
	}
	if req.Plain {
		o.decidePlain(k, req, now)
		return false
	}
	o.advanceShares(now)
	w := newWork(k, req, now)
	if remaining, refused := o.refusesPrompt(req, now); refused {
		o.decisions = append(o.decisions, Decision{
			Key: k, Code: CodePartCrashes, RetryAfter: max(remaining, minRetryAfter), ForwardShare: o.shares.forwardShare(req.Workspace)})
		return false
	}
	o.requests[k] = w
	w.effectiveObjectiveAt = max(w.objectiveAt, now-req.Lateness+time.Duration(longPromptFactor*float64(o.typicalPrefillTime(req)+baseLatency)))
	if first, isRetry := o.retries.firstAttempt(w.identity); isRetry && !req.Resumes {
		w.objectiveAt, w.identity = min(w.objectiveAt, first.objectiveAt), first.identity
		// It is late because of its first attempt, not for lack of capacity.
		w.effectiveObjectiveAt, w.missCounted, w.isRetry = w.objectiveAt, true, true
	} else if !req.Resumes {
		o.shares.recordRequested(req.Workspace, w.cost)
	}
	if req.Lateness >= maxLateness && o.refuseLate(w, now) {
		return false
	}
	w.arrivedLate = w.missesObjective(baseLatency, now)
	if !req.Resumes && !w.arrivedLate {
		o.shares.usageOf(req.Workspace).forwardControl.recordForwarded(w.cost)
	}
	o.decide(w, now)
	return true
}

// refusesPrompt reports whether a request may crash its target: a part of its prompt is blocked,
// or it has failed at a target and shares a part with other requests that did. A stream that is
// resumed has been answered before.
func (o *Owner) refusesPrompt(req Request, now time.Duration) (remaining time.Duration, refused bool) {
	if req.Resumes {
		return 0, false
	}
	if len(req.Tried) > 0 && o.crashes.isSuspect(req.Prompt, now) {
		return maxRetryAfter, true
	}
	return o.crashes.refuses(req.Prompt, now)
}

// BlockedParts returns the prompt parts whose requests are refused, ordered by ID.
func (o *Owner) BlockedParts(now time.Duration) []BlockedPart { return o.crashes.blockedParts(now) }

// BlockedVersion returns a number that grows when BlockedParts changes other than by time.
func (o *Owner) BlockedVersion() uint64 { return o.crashes.version }

// MergeBlocked adds prompt parts that an earlier owner has blocked.
func (o *Owner) MergeBlocked(parts []BlockedPart, now time.Duration) { o.crashes.merge(parts, now) }

// NewlyBlocked returns the prompt parts that were blocked since the last call, for the log.
func (o *Owner) NewlyBlocked() []PartID {
	out := o.newlyBlocked
	o.newlyBlocked = nil
	return out
}

// RecordAnswered records that a target has begun to answer a running request and did not crash.
func (o *Owner) RecordAnswered(k Key, now time.Duration) {
	if w := o.requests[k]; w != nil && w.target != nil {
		o.noteAnswered(w, now)
	}
}

// CountThrottled counts a request that a throttling entry instance refused on the owner's
// behalf, and of which it told lateness before now.
func (o *Owner) CountThrottled(workspace string, r ThrottledRequest, lateness, now time.Duration) {
	o.advanceShares(now)
	id := newIdentity(r.Hash, r.CallerDeadline, now-lateness)
	if _, isRetry := o.retries.firstAttempt(id); !isRetry {
		o.shares.recordRequested(workspace, float64(r.Tokens))
	}
	o.retries.recordRefusal(id, now-lateness+r.Objective, now)
	o.shares.recordUnmet(workspace, now)
}

// ThrottledRequest is a request that an entry instance refused.
type ThrottledRequest struct {
	Tokens int // as in View.TokensPerSecond
	// Hash and CallerDeadline are as in Request.
	Hash           RequestHash
	CallerDeadline time.Duration
	Objective      time.Duration // time left until its first event is due
}

// CountShed counts requests of a workspace that an entry instance shed for lack of processor
// time or memory, in tokens as in View.TokensPerSecond.
func (o *Owner) CountShed(workspace string, tokens int, now time.Duration) {
	o.advanceShares(now)
	o.shares.recordShed(workspace, float64(tokens), now)
}

// rateSample is the approximate number of targets over which the typical prefill rate is
// averaged.
const rateSample = 64

// typicalPrefillTime returns the prefill time of a whole prompt at the mean rate of the
// service's targets, 0 without targets.
func (o *Owner) typicalPrefillTime(req Request) time.Duration {
	usable := o.usable[req.Service]
	if len(usable) == 0 {
		return 0
	}
	// A sample is enough: the rates of targets of one service differ little.
	sum, n := 0.0, 0
	for i := 0; i < len(usable); i += 1 + len(usable)/rateSample {
		sum += usable[i].prefillRate
		n++
	}
	return time.Duration(float64(req.PromptTokens) / (sum / float64(n)) * float64(time.Millisecond))
}

// AddRunning adds a request that runs on a target without a decision of this owner: the
// previous owner or the entry instance itself placed it. It was sent sentAgo before now;
// firstEvent reports whether its first event has arrived, answered is as in RecordAnswered. A request already known to run is
// left unchanged, and a queued one leaves the queue. If the target is unknown, the request is
// dropped.
func (o *Owner) AddRunning(k Key, req Request, targetID string, firstEvent, answered bool, sentAgo, now time.Duration) {
	if w := o.requests[k]; w != nil {
		if w.target != nil {
			return
		}
		o.dropPending(w)
	}
	t := o.targets[targetID]
	if t == nil {
		delete(o.requests, k)
		return
	}
	w := newWork(k, req, now)
	w.answered = answered
	w.fetchUnknown = t.engine.CanFetch()
	o.requests[k] = w
	t.start(w, start{at: now - max(0, sentAgo), by: o.followers[k.Entry]})
	if sentAgo < startWindow {
		w.metered = t.countAgainstLimit(now)
	}
	if firstEvent {
		w.gotFirstEvent = true
		t.cache.markPrefilled(req.Prompt)
		t.removeFromPrefill(w, false)
	}
}

// RecordFirstEvent records the first event of a running request and starts queued requests
// for which the target now has capacity.
func (o *Owner) RecordFirstEvent(k Key, now time.Duration) {
	if w := o.requests[k]; w != nil && w.target != nil {
		w.target.recordFirstEvent(w, now)
		o.startPending(w.target, now)
	}
}

// End removes a request that has ended on its target or was withdrawn while queued, records
// the outcome in the target's health, and starts queued requests. What a request that did not
// run was charged is given back to its workspace.
func (o *Owner) End(k Key, outcome api.AttemptOutcome, now time.Duration) {
	w := o.requests[k]
	if w == nil {
		o.asked.withdraw(k)
		return
	}
	delete(o.requests, k)
	if w.target == nil {
		o.dropPending(w)
		return
	}
	w.target.end(w)
	w.target.health.record(outcome, now)
	w.target.loseParts(outcome)
	o.noteFailure(w, outcome, now)
	if outcome == api.AttemptServed {
		o.recordRunTime(w.target.info.Service, now-w.sentAt)
	}
	switch outcome {
	case api.AttemptUnreachable, api.AttemptUnsent, api.AttemptTargetFull, api.AttemptPaused, api.AttemptWrongTarget:
		o.shares.refund(w.request.Workspace, w.charge)
	}
	if w.metered && (outcome == api.AttemptUnreachable || outcome == api.AttemptUnsent) {
		w.target.limit.account.giveBack(now)
	}
	if w.target.health.suspectUntil > now {
		o.redecidePending(w.target, now)
		return
	}
	o.startPending(w.target, now)
}

// meanRunTime returns the mean run time of a request of a service on a target.
func (o *Owner) meanRunTime(service string) time.Duration {
	if mean, ok := o.meanRunTimes[service]; ok {
		return mean
	}
	return initialRunTime
}

// recordRunTime updates the mean run time of a service.
func (o *Owner) recordRunTime(service string, runTime time.Duration) {
	mean := o.meanRunTime(service)
	o.meanRunTimes[service] = mean + time.Duration(runTimeWeight*float64(runTime-mean))
}

// RemoveEntry removes all requests of an entry instance that is disconnected. Capacity that
// becomes free is used by the next Tick.
func (o *Owner) RemoveEntry(entry string) {
	for k := range o.asked.byKey {
		if k.Entry == entry {
			o.asked.withdraw(k)
		}
	}
	for k, w := range o.requests {
		if k.Entry != entry {
			continue
		}
		delete(o.requests, k)
		if w.target == nil {
			o.dropPending(w)
		} else {
			w.target.end(w)
		}
	}
}

// Searches returns how often a target was chosen or looked for, which is most of the owner's work.
func (o *Owner) Searches() uint64 { return o.searches }

// Waiting returns the number of queued requests.
func (o *Owner) Waiting() int { return o.numPending }

// WaitingEntries returns the entry instances that have queued requests, or some that wait for their first
// decision, in no particular order.
func (o *Owner) WaitingEntries() []string {
	seen := map[string]bool{}
	for k := range o.asked.byKey {
		seen[k.Entry] = true
	}
	for _, t := range o.sortedTargets {
		for _, w := range t.pending {
			seen[w.key.Entry] = true
		}
	}
	return slices.Collect(maps.Keys(seen))
}

// Decisions returns the decisions made since the last call, oldest first.
func (o *Owner) Decisions() []Decision {
	out := o.decisions
	o.decisions = nil
	return out
}

// minTickInterval is the minimum time between two reviews of the queued requests.
const minTickInterval = 10 * time.Millisecond

const (
	// maxReviews is the number of queued requests that one review decides on anew at most. The next review
	// goes on behind them, so that a review takes no longer if more requests wait.
	maxReviews = 32
	// maxReviewsBusy replaces it while other requests wait for their first decision.
	maxReviewsBusy = 4
)

// Tick starts queued requests for which there is capacity and reviews the others: those that
// miss their objective are moved or refused. It does nothing within 10 ms (minTickInterval)
// of the last review.
func (o *Owner) Tick(now time.Duration) {
	o.refreshRollouts(now)
	if o.numPending == 0 || now-o.lastTick < minTickInterval {
		return
	}
	o.lastTick = now
	o.expireFollowers(now)
	o.advanceShares(now)
	from, left := o.reviewFrom, maxReviews
	if o.Asked() > 0 {
		left = maxReviewsBusy
	}
	for i := range o.sortedTargets {
		n := (from + i) % len(o.sortedTargets)
		t := o.sortedTargets[n]
		if len(t.pending) == 0 {
			continue
		}
		o.startPending(t, now)
		if left > 0 {
			left -= o.reviewPending(t, left, now)
			o.reviewFrom = n
		}
	}
}

// advanceShares moves the share window to now. The capacity is the configured throughput,
// reduced by the fraction of targets that are out of service or suspect.
func (o *Owner) advanceShares(now time.Duration) {
	if !o.shares.slotEnded(now) {
		return
	}
	for t := range o.unsettled {
		o.settleFailures(t, now)
	}
	usable, all := 0, 0
	for _, t := range o.sortedTargets {
		if t.isNew || t.excluded { // beside those that make up the configured throughput
			continue
		}
		all++
		if o.inService(t) && t.health.suspectUntil <= now {
			usable++
		}
	}
	capacity := o.view.TokensPerSecond
	if all > 0 {
		capacity *= float64(usable) / float64(all)
	}
	if capacity <= 0 {
		capacity = math.Inf(1)
	}
	o.shares.advance(now, capacity)
}

// inService reports whether a target accepts new requests.
func (o *Owner) inService(t *target) bool {
	return !t.info.Leaving && !t.saysLeaving && !t.excluded && !o.view.OutOfService[t.info.DataCentre]
}
