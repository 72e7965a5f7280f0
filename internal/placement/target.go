package placement

import (
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// Parameters of the engine model. The rates are initial values and adapt to the observed
// responses of each target.
const (
	initialPrefillRate = 35.0                  // prompt tokens per millisecond, while other requests run
	minPrefillRate     = 1.0                   // lower bound of the learned rate
	baseLatency        = 30 * time.Millisecond // time to the first event without prefill
	prefillRateWeight  = 0.15                  // weight of the newest observation in the prefill rate
	minRateSample      = 400                   // uncached tokens from which a response updates the rate
	// The first request of the prefill queue counts as stuck after stuckFactor times its
	// expected time plus stuckMargin. Until its first event, at most maxHeadProgress of its
	// prefill is assumed to be done.
	stuckFactor     = 2.5
	stuckMargin     = 250 * time.Millisecond
	maxHeadProgress = 0.95
	startWindow     = time.Second     // over which the start limit holds
	initialRunTime  = 2 * time.Second // assumed run time of a request until some have ended
	runTimeWeight   = 0.02            // weight of the newest run time in the mean of a service
)

// work is one request of an entry instance, queued at the owner or running on a target.
type work struct {
	key         Key
	request     Request
	identity    RequestIdentity
	cost        float64       // in tokens of the share: prompt tokens plus twice the output tokens
	submittedAt time.Duration // on the owner's clock, like all times here
	objectiveAt time.Duration // when the first event is due
	deadline    time.Duration // when the response is of no use any more
	// effectiveObjectiveAt is objectiveAt, or later for a prompt whose prefill alone takes longer.
	effectiveObjectiveAt time.Duration
	excess               float64 // ratio of the workspace's grants to its share; 0 within the share
	overloaded           bool    // the workspace asks for more than its share
	overShare            bool    // with it, the workspace exceeds its share of the configured throughput
	isRetry              bool    // of a refused request
	arrivedLate          bool    // no target could have met its objective when it arrived
	missCounted          bool    // recorded once as a request that no target could begin in time
	predictedMiss        bool    // the last decision or review predicted that it misses its objective

	pendingOn       *target // target for which it is queued, or nil
	pendingUncached int     // prompt tokens that need prefill there
	pendingRank     rank    // rank under which the target counts it
	reviewedAt      time.Duration

	target        *target // on which it runs; nil while queued
	charge        charge  // against the share of its workspace
	metered       bool    // counted against the target's rate limit
	uncached      int     // prompt tokens that need prefill
	fetchSource   *target // from which it fetches fetchedTokens further prompt tokens; nil = none
	fetchedTokens int
	fetchDelay    time.Duration // by which the fetch is expected to delay the prefill
	fetchUnknown  bool          // another instance placed it, and it may fetch
	sentAt        time.Duration
	gotFirstEvent bool
	answered      bool // the target has begun to answer and did not crash
	overtaken     bool // a request sent to the target later got its first event earlier

	newVersion bool // it is to run, or runs, on the new version of its service
	splitAsked bool // the Splitter of its service has counted it
}

func newWork(k Key, req Request, now time.Duration) *work {
	return &work{
		key: k, request: req, identity: newIdentity(req.Hash, req.CallerDeadline, now), submittedAt: now, objectiveAt: now + req.Objective, deadline: now + req.Deadline,
		cost: req.cost(),
	}
}

// cost returns the tokens of a request as shares count them.
func (r *Request) cost() float64 { return float64(r.PromptTokens) + 2*float64(r.OutputTokens) }

// rank is the priority class of a queued request: lower ranks start first.
type rank int

const (
	rankResumed         rank = iota // continues an interrupted stream
	rankMeetsObjective              // within the share, can meet its objective
	rankOverloaded                  // like rankMeetsObjective, of an overloaded workspace
	rankMissesObjective             // within the share, misses its objective
	rankOverShare                   // exceeds the workspace's share
	numRanks
)

func (w *work) rank() rank {
	switch {
	case w.request.Resumes:
		return rankResumed
	case w.excess > 0:
		return rankOverShare
	case w.predictedMiss:
		return rankMissesObjective
	case w.overloaded:
		return rankOverloaded
	}
	return rankMeetsObjective
}

// target is the owner's model of one target: its running and queued requests, cache and speed.
type target struct {
	// These fields are read for each target that a search examines.
	prefillRate       float64       // prompt tokens per millisecond
	lastBacklog       time.Duration // at backlogComputedAt
	backlogComputedAt time.Duration // -1 = invalid
	health            health
	running           map[Key]*work
	examinedIn        uint64 // number of the last search that found a part of the prompt in its cache

	info   api.Target
	idHash uint64 // of the ID
	engine routing.Engine

	prefillQueue     []*work // sent but without a first event, oldest first
	outputTokens     int     // expected output of the running requests
	cache            *promptCache
	lastFirstEventAt time.Duration
	lastStartAt      time.Duration
	recentStarts     []start                // within startWindow or held, oldest first
	isNew            bool                   // of the new version of a running rollout
	excluded         bool                   // of a version that must not be used any more, see api.Rollout.Excludes
	saysLeaving      bool                   // it has said that it leaves, whatever the list says
	pausedUntil      time.Duration          // it has asked for no requests until then
	limit            *targetLimit           // its rate limit; nil = it has named none
	link             link                   // for fetches
	failures         []failure              // that may be a crash, oldest first
	pending          []*work                // requests queued at the owner for this target
	pendingByRank    [numRanks]pendingTotal // sums over pending
}

// failure is a request that failed on a target before it was answered.
type failure struct {
	at      time.Duration
	request failedRequest
}

const (
	// maxFailures bounds the failures that are kept for a target.
	maxFailures = 64
	// maxSettleTime is how long failures wait for the other requests of the target to end. The
	// entry instance of one of them may be disconnected.
	maxSettleTime = time.Second
)

func newTarget(info api.Target, e routing.Engine, index cacheIndex) *target {
	t := &target{
		info: info, idHash: hashName(info.ID), engine: e, running: map[Key]*work{},
		cache: newPromptCache(e.CacheTokens), prefillRate: initialPrefillRate, backlogComputedAt: -1,
	}
	t.cache.index, t.cache.target = index, t
	return t
}

// backlog returns the expected time until the target has prefilled all requests sent to it.
// Each decision needs it for many targets, so the value is reused for a millisecond.
func (t *target) backlog(now time.Duration) time.Duration {
	const maxAge = time.Millisecond
	if t.backlogComputedAt < 0 || now-t.backlogComputedAt >= maxAge {
		t.lastBacklog, t.backlogComputedAt = t.computeBacklog(now), now
	}
	return t.lastBacklog
}

func (t *target) invalidateBacklog() { t.backlogComputedAt = -1 }

func (t *target) computeBacklog(now time.Duration) time.Duration {
	tokens, first := 0.0, true
	var stuck time.Duration
	for _, w := range t.prefillQueue {
		if w.overtaken {
			continue
		}
		n := float64(w.uncached)
		if first {
			first = false
			elapsed := now - max(w.sentAt, t.lastFirstEventAt)
			expected := t.prefillTime(n) + baseLatency
			n -= min(maxHeadProgress*n, elapsed.Seconds()*1e3*t.prefillRate)
			if limit := time.Duration(stuckFactor*float64(expected)) + stuckMargin; elapsed > limit {
				stuck = elapsed - limit
			}
		}
		tokens += n
	}
	return t.prefillTime(tokens) + stuck
}

func (t *target) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / t.prefillRate * float64(time.Millisecond))
}

// pendingTotal sums up requests that are queued for a target and their uncached tokens.
type pendingTotal struct{ requests, tokens int }

func (n *pendingTotal) add(requests, tokens int) {
	n.requests, n.tokens = n.requests+requests, n.tokens+tokens
}

// pendingBefore returns the queued requests that may start before another one: those of the
// same or a lower rank.
func (t *target) pendingBefore(w *work) pendingTotal {
	var n pendingTotal
	last := w.rank()
	for _, r := range t.pendingByRank[:last+1] {
		n.add(r.requests, r.tokens)
	}
	if w.pendingOn == t && w.pendingRank <= last {
		n.add(-1, -w.pendingUncached)
	}
	return n
}

// addPending queues a request for the target.
func (t *target) addPending(w *work, uncached int) {
	w.pendingOn, w.pendingUncached, w.pendingRank = t, uncached, w.rank()
	t.pending = append(t.pending, w)
	t.pendingByRank[w.pendingRank].add(1, uncached)
}

// updatePendingRank moves a queued request to the sums of its current rank.
func (t *target) updatePendingRank(w *work) {
	t.pendingByRank[w.pendingRank].add(-1, -w.pendingUncached)
	w.pendingRank = w.rank()
	t.pendingByRank[w.pendingRank].add(1, w.pendingUncached)
}

// removePending removes a request from the target's queue.
func (t *target) removePending(w *work) {
	if i := slices.Index(t.pending, w); i >= 0 {
		t.pending = slices.Delete(t.pending, i, i+1)
		t.pendingByRank[w.pendingRank].add(-1, -w.pendingUncached)
	}
	w.pendingOn = nil
}

// canStart reports whether the target can accept a request now: by its backlog, slots, memory
// and start limit.
func (t *target) canStart(w *work, maxStarts int, now time.Duration) bool {
	return t.backlog(now) <= maxTargetBacklog && t.pausedUntil <= now &&
		t.hasCapacity(w, t.cache.uncachedTokens(w.request.Prompt)) &&
		t.startWait(maxStarts, 0, now) == 0
}

// hasCapacity reports whether the target has a slot and memory for a request with a number of
// uncached tokens. A target without running requests has memory for any request.
func (t *target) hasCapacity(w *work, uncached int) bool {
	if slots := t.slots(); slots > 0 && len(t.running) >= slots {
		return false
	}
	capacity := t.engine.CacheTokens
	return capacity == 0 || len(t.running) == 0 ||
		t.cache.pinnedTokens+t.outputTokens+uncached+w.request.OutputTokens <= capacity
}

func (t *target) slots() int {
	if t.info.Slots > 0 {
		return t.info.Slots
	}
	return t.engine.Slots
}

// freeSlots returns the number of free slots; for a target without a slot limit it always
// exceeds the number of queued requests.
func (t *target) freeSlots() int {
	if slots := t.slots(); slots > 0 {
		return slots - len(t.running)
	}
	return len(t.pending) + 1
}

// capacityWait estimates the time until a full target has capacity for a request that starts
// after pendingBefore others. It assumes that the running requests end evenly spread over the
// mean run time.
func (t *target) capacityWait(pendingBefore int, run time.Duration) time.Duration {
	ends := max(1, pendingBefore+1-max(0, t.freeSlots()))
	return run * time.Duration(ends) / time.Duration(max(1, len(t.running)))
}

// start adds a request that is sent to the target now or, if another owner or the entry
// instance placed it, was sent earlier.
func (t *target) start(w *work, s start) {
	sentAt := s.at
	w.target, w.sentAt = t, sentAt
	t.lastStartAt = max(t.lastStartAt, sentAt)
	w.uncached = t.cache.uncachedTokens(w.request.Prompt)
	t.invalidateBacklog()
	t.running[w.key] = w
	t.prefillQueue = append(t.prefillQueue, w)
	t.outputTokens += w.request.OutputTokens
	t.cache.pin(w.request.Prompt, t.outputTokens)
	t.recordStart(s)
}

// recordFirstEvent records the first event of a request and updates the prefill rate.
func (t *target) recordFirstEvent(w *work, now time.Duration) {
	if w.gotFirstEvent {
		return
	}
	w.gotFirstEvent = true
	prefillFrom := max(w.sentAt, t.lastFirstEventAt)
	waitedForPrevious := t.lastFirstEventAt > w.sentAt
	t.removeFromPrefill(w, true)
	t.lastFirstEventAt = now
	if t.engine.CanFetch() {
		t.cache.markPrefilled(w.request.Prompt)
	}
	took, prefilled := now-prefillFrom, w.uncached
	if w.fetchSource != nil && !w.overtaken {
		prefilled, took = t.recordFetched(w, took, waitedForPrevious)
	}
	if w.overtaken || w.fetchUnknown || prefilled < minRateSample {
		return
	}
	if !waitedForPrevious {
		took -= baseLatency
	}
	rate := float64(prefilled) / max(1, took.Seconds()*1e3)
	t.prefillRate = max(minPrefillRate, t.prefillRate+prefillRateWeight*(min(rate, 2*t.prefillRate)-t.prefillRate))
}

// removeFromPrefill removes a request that got its first event or ended. After a first event,
// the requests before it no longer count in the backlog: the target does not work on them.
func (t *target) removeFromPrefill(w *work, gotFirstEvent bool) {
	t.invalidateBacklog()
	for i, q := range t.prefillQueue {
		if q != w {
			continue
		}
		if gotFirstEvent {
			for _, before := range t.prefillQueue[:i] {
				before.overtaken = true
			}
		}
		t.prefillQueue = append(t.prefillQueue[:i], t.prefillQueue[i+1:]...)
		return
	}
}

// end removes a request from the target.
func (t *target) end(w *work) {
	if t.running[w.key] != w {
		return
	}
	delete(t.running, w.key)
	t.removeFromPrefill(w, false)
	t.outputTokens -= w.request.OutputTokens
	t.cache.unpin(w.request.Prompt, t.outputTokens)
}
