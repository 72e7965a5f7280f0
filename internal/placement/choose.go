package placement

import (
	"slices"
	"time"
)

// Weights of the cost function by which a target is selected, and limits on the load that
// is sent to a target.
const (
	// maxTargetBacklog is the prefill backlog of a target up to which it is sent another
	// request. It covers the message round trip to the owner, so that the target does not run
	// idle. Further requests wait at the owner, where they can still be reordered.
	maxTargetBacklog = 60 * time.Millisecond
	// prefillWeight is the cost of prefilling a part that another target has cached, as a
	// multiple of the prefill time: the target could serve another request in that time.
	prefillWeight = 3.0
	// fetchWeight is the cost of fetching such a part, as a multiple of the transfer time: it occupies
	// two links, and the copy evicts other parts.
	fetchWeight = 3.0
	// affinityBonus is the cost reduction of a prompt's affinity target. It decides where a
	// prompt goes that no target has cached, so that successive owners select alike.
	affinityBonus = 10 * time.Millisecond
	// remoteDataCentreCost is the cost of a target outside the data centre of the entry instance.
	remoteDataCentreCost = 4 * time.Millisecond
	// runningRequestCost is the cost of each request that runs on a target: it slows down the
	// others.
	runningRequestCost = 500 * time.Microsecond
	// failureTimeCost is the cost of a target with a failure ratio of 1.
	failureTimeCost = 400 * time.Millisecond
	// missedObjectivePenalty ranks every target on which a request meets its objective before
	// all targets on which it does not.
	missedObjectivePenalty = 5 * time.Second
	// suspectPenalty makes targets that failed recently, or that the request has already
	// tried, the last resort.
	suspectPenalty = time.Minute
	// longPromptFactor applies to prompts whose prefill alone takes longer than the objective.
	// They count as on time within this multiple of their prefill time; otherwise the longest
	// requests would never be served.
	longPromptFactor = 1.6
	// warmStartFactor is the part of the start limit of a cold target that is used for targets
	// not known to be cold. Starts are counted here when they are granted and at the target
	// when they arrive, so that a target may receive more in a second than were granted.
	warmStartFactor = 0.92
	// coldStartFactor is the part of the cold start rate that is used for a target known to be
	// cold.
	coldStartFactor = 0.8
	// responseMargin is the part of the objective that is reserved for the transmission of the
	// response to the caller.
	responseMargin = 15 * time.Millisecond
)

// candidate is a target for a request, with the predicted times.
type candidate struct {
	target          *target
	wait            time.Duration // until the target can accept the request
	firstEventAfter time.Duration // time until the first event
	score           time.Duration // cost; the lowest wins
	uncached        int           // prompt tokens that the target has not cached
	fetch           fetch         // of some of them
	prefill         time.Duration // of the others

	// idleTarget reports whether an examined target is idle. It is set only for a request of a
	// workspace that exceeds its share.
	idleTarget bool
	// minUncached is the lowest number of uncached tokens on any target for which choose
	// made a prediction, minUncachedWait the wait for that target.
	minUncached     int
	minUncachedWait time.Duration
}

// maxScannedTargets bounds the targets without a cached part of the prompt that one call of
// choose examines. The next call continues after the last one.
const maxScannedTargets = 256

// choose returns the target with the lowest score: a short time until the first event, and
// little work that delays other requests. Its target is nil if none is usable. For a request of
// an overloaded workspace, rested is the best target for which hasRested holds, if there is one.
//
// It examines the few targets that have cached a part of the prompt first. Of the others,
// which must prefill the whole prompt, it predicts only those whose lower bound by backlog
// is not above the best score. At most maxScannedTargets of them are examined, so that the
// number of predictions per decision stays bounded in large fleets.
func (o *Owner) choose(w *work, now time.Duration) (best, rested candidate) {
	o.searches++
	o.findSources(w, now)
	idleTarget := false
	minUncached, minUncachedWait := -1, time.Duration(0)
	consider := func(t *target, uncached int) candidate {
		c := o.predict(t, w, uncached, now)
		if minUncached < 0 || uncached < minUncached || (uncached == minUncached && c.wait < minUncachedWait) {
			minUncached, minUncachedWait = uncached, c.wait
		}
		return c
	}
	keepBest := func(c candidate) {
		if c.betterThan(best) {
			best = c
		}
		if w.overloaded && c.wait == 0 && c.score < suspectPenalty && o.hasRested(c.target, c.uncached, now) && c.betterThan(rested) {
			rested = c
		}
		idleTarget = idleTarget || w.overShare && o.isIdle(c.target, now)
	}
	preferred := o.affinityTarget(w)
	if preferred != nil {
		c := consider(preferred, preferred.cache.uncachedTokens(w.request.Prompt))
		c.score -= affinityBonus
		keepBest(c)
	}
	var caching map[*target]struct{}
	if len(w.request.Prompt) > 0 {
		caching = o.cacheIndex[w.request.Prompt[0].ID]
	}
	examined, truncated := 0, false
	for t := range caching {
		// Fetches may bring a part to all targets.
		if examined++; examined > maxScannedTargets && len(o.sources.list) > 0 {
			truncated = true
			break
		}
		t.examinedIn = o.searches
		if t == preferred || t.info.Service != w.request.Service || !o.inService(t) || !o.serves(t, w) {
			continue
		}
		uncached := t.cache.uncachedTokens(w.request.Prompt)
		if len(o.sources.list) > 0 && best.target != nil && uncached > minUncached && !w.overloaded && !w.overShare {
			if prefill, cost := o.sources.minPrefill(t, uncached); o.minScore(t, w, prefill, cost, now) > best.score {
				continue
			}
		}
		keepBest(consider(t, uncached))
	}
	promptTokens := 0
	for _, p := range w.request.Prompt {
		promptTokens += p.Tokens
	}
	others, hasSources := o.targetsFor(w.request.Service, w.newVersion), len(o.sources.list) > 0
	for i := range min(len(others), maxScannedTargets) {
		t := others[(o.scanFrom+i)%len(others)]
		if t.examinedIn == o.searches || t == preferred { // among those that have cached a part, or preferred
			continue
		}
		uncached := promptTokens
		if len(w.request.Prompt) == 1 || truncated {
			uncached = t.cache.uncachedTokens(w.request.Prompt)
		}
		prefill := t.prefillTime(float64(uncached))
		cost := prefillCost(prefill)
		if hasSources {
			prefill, cost = o.sources.minPrefill(t, uncached)
		}
		if best.target == nil || o.minScore(t, w, prefill, cost, now) <= best.score ||
			(w.overloaded && rested.target == nil && o.hasRested(t, uncached, now)) {
			keepBest(consider(t, uncached))
		} else {
			idleTarget = idleTarget || w.overShare && o.isIdle(t, now)
		}
	}
	if len(others) > maxScannedTargets {
		o.scanFrom = (o.scanFrom + maxScannedTargets) % len(others)
	}
	for _, c := range []*candidate{&best, &rested} {
		c.idleTarget, c.minUncached, c.minUncachedWait = idleTarget, minUncached, minUncachedWait
	}
	return best, rested
}

// betterThan reports whether the candidate has a lower score than another one, which may have
// no target.
func (c candidate) betterThan(other candidate) bool {
	return other.target == nil || c.score < other.score || (c.score == other.score && c.target.info.ID < other.target.info.ID)
}

// hasRested reports whether a target has been idle for as long as the prefill of a number of
// tokens takes. A request that misses its objective may use such a target: waiting for one that
// meets it has already cost as much capacity.
func (o *Owner) hasRested(t *target, uncached int, now time.Duration) bool {
	return now-max(t.lastFirstEventAt, t.lastStartAt) >= t.prefillTime(float64(uncached)) && o.isIdle(t, now)
}

// isIdle reports whether a target could begin a further request at no cost for others: it is
// not suspect, prefills no prompt, none waits for it, at least half of its slots are free, and
// its start limit allows a start.
func (o *Owner) isIdle(t *target, now time.Duration) bool {
	slots := t.slots()
	return t.health.suspectUntil <= now && t.pausedUntil <= now && len(t.prefillQueue) == 0 && len(t.pending) == 0 &&
		(slots == 0 || 2*len(t.running) <= slots) && t.startWait(o.maxStarts(t, now), 0, now) == 0
}

// minScore returns a lower bound of the score of a request on a target, for lower bounds of
// candidate.prefill and of its cost.
func (o *Owner) minScore(t *target, w *work, prefill, cost, now time.Duration) time.Duration {
	firstEventAfter := t.backlog(now) + prefill + baseLatency
	score := firstEventAfter + cost +
		time.Duration(len(t.running))*runningRequestCost
	if w.missesObjective(firstEventAfter, now) {
		score += missedObjectivePenalty
	}
	if t.health.suspectUntil > now {
		score += suspectPenalty
	}
	return score
}

// prefillCost returns the cost of a prefill without a fetch.
func prefillCost(prefill time.Duration) time.Duration {
	return time.Duration(prefillWeight * float64(prefill))
}

// predict estimates the times and the score of a request on a target that has to prefill a
// number of uncached tokens, or to fetch some of them from one of the sources that were found last.
func (o *Owner) predict(t *target, w *work, uncached int, now time.Duration) candidate {
	c := candidate{target: t, uncached: uncached}
	pendingBefore := t.pendingBefore(w)
	backlog := t.backlog(now) + t.prefillTime(float64(pendingBefore.tokens))
	c.wait = max(0, backlog-maxTargetBacklog)
	if !t.hasCapacity(w, uncached) || t.freeSlots() <= pendingBefore.requests {
		c.wait = max(c.wait, t.capacityWait(pendingBefore.requests, o.meanRunTime(t.info.Service)))
	}
	c.wait = max(c.wait, t.startWait(o.maxStarts(t, now), pendingBefore.requests, now), t.pausedUntil-now)
	c.prefill = t.prefillTime(float64(uncached))
	cost := prefillCost(c.prefill)
	if len(o.sources.list) > 0 {
		c.fetch = o.sources.best(t, uncached, max(backlog, c.wait), now)
		c.prefill = t.prefillTime(float64(uncached - c.fetch.tokens))
		cost = c.fetch.cost(c.prefill)
	}
	c.firstEventAfter = max(backlog, c.wait) + c.fetch.delay + c.prefill + baseLatency
	c.score = c.firstEventAfter + cost +
		time.Duration(len(t.running))*runningRequestCost +
		time.Duration(t.health.failureRatio*float64(failureTimeCost))
	if t.info.DataCentre != w.request.DataCentre {
		c.score += remoteDataCentreCost
	}
	if w.missesObjective(c.firstEventAfter, now) {
		c.score += missedObjectivePenalty
	}
	if t.health.suspectUntil > now || slices.Contains(w.request.Tried, t.info.ID) {
		c.score += suspectPenalty
	}
	return c
}

// affinityTarget returns the target that is preferred for the shared parts of a prompt while
// no target has cached them, or nil.
func (o *Owner) affinityTarget(w *work) *target {
	k := affinityKey{w.request.Service, w.newVersion, AffinityPart(w.request.Prompt)}
	if t, known := o.affinity[k]; known {
		return t
	}
	usable := o.targetsFor(k.service, k.newVersion)
	var t *target
	if i := rendezvousIndex(k.part, len(usable), func(i int) (uint64, bool) { return usable[i].idHash, true }); i >= 0 {
		t = usable[i]
	}
	if len(o.affinity) >= maxAffinity {
		clear(o.affinity)
	}
	o.affinity[k] = t
	return t
}

// maxAffinity bounds the affinity targets that are kept. Finding one takes the longer the more targets there
// are, and the same few parts come again and again.
const maxAffinity = 4096

// affinityKey selects an affinity target.
type affinityKey struct {
	service    string
	newVersion bool
	part       PartID
}

// rendezvousIndex selects one of n targets for a prompt part by rendezvous hashing: the one
// with the highest hash of part and target, so that all instances with the same target list
// select the same one. The function returns the hash of a target's ID and whether the target
// is usable. The result is -1 if there is no part or no usable target.
func rendezvousIndex(part PartID, n int, target func(i int) (targetHash uint64, usable bool)) int {
	best, highestScore := -1, uint64(0)
	if part == 0 {
		return best
	}
	for i := range n {
		targetHash, usable := target(i)
		if !usable {
			continue
		}
		if score := mix(uint64(part), targetHash); best < 0 || score > highestScore {
			best, highestScore = i, score
		}
	}
	return best
}

// AffinityPart returns the part by which a prompt's affinity target is selected: the last but
// one, as requests of several sessions may share it. 0 = none.
func AffinityPart(prompt []Part) PartID {
	if len(prompt) < 2 {
		return 0
	}
	return prompt[len(prompt)-2].ID
}

// hashName returns the FNV-1a hash of a target ID or workspace name.
func hashName(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

// mix combines the hashes of a prompt part and a name by the finalizer of MurmurHash3.
func mix(part, target uint64) uint64 {
	h := part*0x9e3779b97f4a7c15 ^ target
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
