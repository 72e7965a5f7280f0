package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmegrouter/internal/api"
)

const (
	// minCrashes is the lowest number of crashes after which a prompt part is blocked, maxCrashes
	// the highest: where requests fail for other reasons too, more crashes are needed.
	minCrashes = 3
	maxCrashes = 8
	// minCrashRequests is the number of different requests with the part that these crashes need.
	minCrashRequests = 2
	// minSuspectCrashes is the number of crashes after which a request that has failed is not sent
	// to a further target.
	minSuspectCrashes = 2
	// maxChance is the highest probability that a sound part is blocked, if requests fail
	// independently of each other.
	maxChance = 1e-4
	// sameCrashTime is the time within which failures on one target count as one crash.
	sameCrashTime = time.Second
	// commonCauseTime is the time within which crashes of several targets count as one. They have a
	// common cause, such as a loss of power.
	commonCauseTime = 50 * time.Millisecond
	// initialBlockTime is how long a part is blocked at first. Then one request tries it; each
	// further crash doubles the time up to maxBlockTime.
	initialBlockTime = time.Minute
	maxBlockTime     = time.Hour
	// trialTime is how long further requests wait for the result of that request.
	trialTime = 15 * time.Second
	// suspicionTime is how long a crash counts against a part that is not blocked.
	suspicionTime = time.Minute
	// maxSuspects bounds the parts with a record, maxBlocked the blocked ones, and
	// maxPartsPerPrompt the parts of one prompt that get a record.
	maxSuspects       = 4096
	maxBlocked        = 256
	maxPartsPerPrompt = 32
	// evictionSample is the number of records that are compared when one has to be removed.
	evictionSample = 16
	// failureDecayTime is the time over which the ratio of failed requests is averaged.
	failureDecayTime = 10 * time.Second
)

// BlockedPart is a prompt part whose requests are refused, because targets crash when they begin
// to answer one.
type BlockedPart struct {
	Part PartID
	// Remaining is the time until the part is tried again.
	Remaining time.Duration
}

// crashTracker finds the prompt parts that crash targets. A part is blamed if targets crash with
// each of its requests, so a single request that a target answers clears all of its parts. Each
// part may be that of several requests, the last one of a prompt too: it may belong to a session.
type crashTracker struct {
	suspects   map[PartID]*suspect
	numBlocked int
	version    uint64 // grows when the blocked parts change
	// failed and answered are decayed counts of requests up to countedAt.
	failed, answered float64
	countedAt        time.Duration
}

// suspect is the record of a prompt part of requests with which targets crashed.
type suspect struct {
	crashes      int
	requests     [minCrashRequests]RequestIdentity // the first different ones
	numRequests  int
	sent         int    // requests with the part that were sent to targets since the first crash
	target       string // of the newest crash
	crashedAt    time.Duration
	countedAt    time.Duration // when crashes last grew
	blocked      bool
	blockedUntil time.Duration
	blockTime    time.Duration
	trialUntil   time.Duration // a request tries the blocked part until then
}

func newCrashTracker() *crashTracker { return &crashTracker{suspects: map[PartID]*suspect{}} }

// trackedParts returns the parts of a prompt that get a record: the first ones, which most requests
// share, and the last one, which may be all that the requests of a session share with no others.
func trackedParts(prompt []Part) []Part {
	if len(prompt) <= maxPartsPerPrompt {
		return prompt
	}
	return append(slices.Clip(prompt[:maxPartsPerPrompt-1]), prompt[len(prompt)-1])
}

// failedRequest is a request that a target did not answer.
type failedRequest struct {
	identity RequestIdentity
	prompt   []Part
}

// recordCrash records that a target failed before it had answered some requests. It returns the
// parts that are blocked from now on.
func (c *crashTracker) recordCrash(targetID string, now time.Duration, requests ...failedRequest) (blocked []PartID) {
	for _, r := range requests {
		c.recordFailed(r, targetID, now)
	}
	for _, r := range requests {
		for _, p := range trackedParts(r.prompt) {
			if s := c.suspects[p.ID]; s != nil && c.block(s, now) {
				blocked = append(blocked, p.ID)
			}
		}
	}
	return blocked
}

// recordFailed adds a failed request to the records of its parts.
func (c *crashTracker) recordFailed(r failedRequest, targetID string, now time.Duration) {
	c.decay(now)
	c.failed++
	for _, p := range trackedParts(r.prompt) {
		s := c.suspects[p.ID]
		if s == nil {
			if !c.makeRoom(now) {
				continue
			}
			s = &suspect{}
			c.suspects[p.ID] = s
		}
		if !s.blocked && now-s.crashedAt > suspicionTime {
			*s = suspect{}
		}
		s.addRequest(r.identity)
		if s.crashes == 0 || (now-s.countedAt > commonCauseTime && (s.target != targetID || now-s.crashedAt > sameCrashTime)) {
			s.crashes++
			s.countedAt = now
		}
		s.sent = max(s.sent, s.crashes)
		s.target, s.crashedAt = targetID, now
	}
}

// addRequest counts a request that has not been counted before.
func (s *suspect) addRequest(id RequestIdentity) {
	if s.numRequests < len(s.requests) && !slices.ContainsFunc(s.requests[:s.numRequests], id.maybeSame) {
		s.requests[s.numRequests] = id
		s.numRequests++
	}
}

// block blocks a part if its crashes suffice, or if its trial has crashed a target. It reports
// whether the part is newly blocked.
func (c *crashTracker) block(s *suspect, now time.Duration) bool {
	switch {
	case s.blocked && now < s.trialUntil:
		s.blockTime = min(maxBlockTime, 2*s.blockTime)
	case s.blocked || s.numRequests < minCrashRequests || s.crashes < c.requiredCrashes(s):
		return false
	case c.hasNarrowerSuspect(s, now) || !c.makeRoomBlocked(now):
		return false
	default:
		s.blocked, s.blockTime = true, initialBlockTime
		c.numBlocked++
		c.acquitOthers()
	}
	s.blockedUntil, s.trialUntil = now+s.blockTime, 0
	c.version++
	return true
}

// hasNarrowerSuspect reports whether another part, which took part in the newest crash, explains the
// crashes of a part and fewer requests have it. Where targets crash faster than they answer, the parts that many requests share are
// suspect, too.
func (c *crashTracker) hasNarrowerSuspect(s *suspect, now time.Duration) bool {
	for _, other := range c.suspects {
		if other == s || other.blocked || other.numRequests < minCrashRequests || now-other.crashedAt > sameCrashTime {
			continue
		}
		if (2*other.crashes >= s.crashes && 2*other.sent <= s.sent) || (other.crashes+1 >= s.crashes && other.sent < s.sent) {
			return true
		}
	}
	return false
}

// makeRoomBlocked reports whether another part may be blocked. At the limit it forgets the blocked
// parts whose time has ended.
func (c *crashTracker) makeRoomBlocked(now time.Duration) bool {
	if c.numBlocked < maxBlocked {
		return true
	}
	for id, s := range c.suspects {
		if s.blocked && max(s.blockedUntil, s.trialUntil) <= now {
			c.remove(id, s)
		}
	}
	return c.numBlocked < maxBlocked
}

// acquitOthers forgets the crashes of all parts that are not blocked: the newly blocked part
// explains them.
func (c *crashTracker) acquitOthers() {
	for id, s := range c.suspects {
		if !s.blocked {
			delete(c.suspects, id)
		}
	}
}

// requiredCrashes returns the number of crashes after which a part is blocked: so many that they
// are no coincidence, given the ratio of failed requests without the part.
func (c *crashTracker) requiredCrashes(s *suspect) int {
	failed := max(0, c.failed-float64(s.crashes))
	ratio := (failed + 1) / (failed + c.answered + 2)
	return min(maxCrashes, max(minCrashes, int(math.Ceil(math.Log(maxChance)/math.Log(ratio)))))
}

// recordSent records that a request is sent to a target.
func (c *crashTracker) recordSent(prompt []Part) {
	if len(c.suspects) == 0 {
		return
	}
	for _, p := range trackedParts(prompt) {
		if s := c.suspects[p.ID]; s != nil {
			s.sent++
		}
	}
}

// recordAnswered records that a target has answered a request without a crash.
func (c *crashTracker) recordAnswered(prompt []Part, now time.Duration) {
	c.decay(now)
	c.answered++
	if len(c.suspects) == 0 {
		return
	}
	for _, p := range trackedParts(prompt) {
		if s := c.suspects[p.ID]; s != nil {
			c.remove(p.ID, s)
		}
	}
}

func (c *crashTracker) remove(id PartID, s *suspect) {
	delete(c.suspects, id)
	if s.blocked {
		c.numBlocked--
		c.version++
	}
}

// refuses reports whether a request has a blocked part, and the time until the part is tried
// again. Once the block has ended, one request passes as the trial.
func (c *crashTracker) refuses(prompt []Part, now time.Duration) (remaining time.Duration, refused bool) {
	if c.numBlocked == 0 {
		return 0, false
	}
	var trials []*suspect
	for _, p := range trackedParts(prompt) {
		s := c.suspects[p.ID]
		if s == nil || !s.blocked {
			continue
		}
		if until := max(s.blockedUntil, s.trialUntil); until > now {
			remaining, refused = max(remaining, until-now), true
			continue
		}
		trials = append(trials, s)
	}
	if !refused {
		for _, s := range trials {
			s.trialUntil = now + trialTime
		}
	}
	return remaining, refused
}

// isSuspect reports whether targets crashed with several requests that share a part with this
// prompt, and none has answered one since.
func (c *crashTracker) isSuspect(prompt []Part, now time.Duration) bool {
	for _, p := range trackedParts(prompt) {
		if s := c.suspects[p.ID]; s != nil && s.numRequests >= minCrashRequests && s.crashes >= minSuspectCrashes &&
			now-s.crashedAt <= suspicionTime && !c.hasNarrowerSuspect(s, now) {
			return true
		}
	}
	return false
}

// blockedParts returns the blocked parts, ordered by ID.
func (c *crashTracker) blockedParts(now time.Duration) []BlockedPart {
	var out []BlockedPart
	for id, s := range c.suspects {
		if s.blocked && s.blockedUntil > now {
			out = append(out, BlockedPart{id, s.blockedUntil - now})
		}
	}
	slices.SortFunc(out, func(a, b BlockedPart) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// merge adds parts that another owner has blocked.
func (c *crashTracker) merge(parts []BlockedPart, now time.Duration) {
	for _, p := range parts {
		s := c.suspects[p.Part]
		if s == nil {
			if !c.makeRoom(now) {
				return
			}
			s = &suspect{crashedAt: now}
			c.suspects[p.Part] = s
		}
		if s.blocked || c.numBlocked >= maxBlocked {
			continue
		}
		s.blocked, s.blockTime = true, initialBlockTime
		s.blockedUntil = now + min(p.Remaining, maxBlockTime)
		c.numBlocked++
		c.version++
	}
}

// makeRoom reports whether another part may get a record. If there are too many, it removes the
// one that counts least of a few: one that has expired, or else one with few and old crashes.
func (c *crashTracker) makeRoom(now time.Duration) bool {
	if len(c.suspects) < maxSuspects {
		return true
	}
	var least *suspect
	var leastID PartID
	examined := 0
	for id, s := range c.suspects { // in random order
		if s.blocked && now-s.blockedUntil > maxBlockTime {
			c.remove(id, s)
			return true
		}
		if !s.blocked && (least == nil || s.countsLess(least, now)) {
			least, leastID = s, id
		}
		if examined++; examined >= evictionSample {
			break
		}
	}
	if least == nil {
		return false
	}
	c.remove(leastID, least)
	return true
}

// countsLess reports whether a record is rather removed than another one.
func (s *suspect) countsLess(other *suspect, now time.Duration) bool {
	expired, otherExpired := now-s.crashedAt > suspicionTime, now-other.crashedAt > suspicionTime
	switch {
	case expired != otherExpired:
		return expired
	case s.crashes != other.crashes:
		return s.crashes < other.crashes
	}
	return s.crashedAt < other.crashedAt
}

// decay reduces the counts of requests to those of the last failureDecayTime.
func (c *crashTracker) decay(now time.Duration) {
	factor := math.Exp(-float64(now-c.countedAt) / float64(failureDecayTime))
	c.failed, c.answered, c.countedAt = c.failed*factor, c.answered*factor, now
}

// noteFailure derives from an outcome whether the target may have crashed, or has answered. Without
// an event for any request since this one was sent, a target that missed the deadline is taken for
// one that crashed silently.
func (o *Owner) noteFailure(w *work, outcome api.AttemptOutcome, now time.Duration) {
	t := w.target
	silent := outcome == api.AttemptTimedOut && t.lastFirstEventAt < w.sentAt
	switch {
	case outcome == api.AttemptServed:
		o.noteAnswered(w, now)
	case !w.answered && (outcome == api.AttemptIncomplete || silent) && len(t.failures) < maxFailures:
		t.failures = append(t.failures, failure{now, failedRequest{w.identity, w.request.Prompt}})
		o.unsettled[t] = struct{}{}
	}
	o.settleFailures(t, now)
}

// noteAnswered records that a target has answered a request. It has not crashed since it received
// that request, because a crash ends all of them.
func (o *Owner) noteAnswered(w *work, now time.Duration) {
	if !w.answered {
		w.answered = true
		o.crashes.recordAnswered(w.request.Prompt, now)
	}
	t := w.target
	t.failures = slices.DeleteFunc(t.failures, func(f failure) bool { return w.sentAt < f.at })
}

// settleFailures counts the failures of a target as a crash once all of its requests that were sent
// before have ended, or after maxSettleTime.
func (o *Owner) settleFailures(t *target, now time.Duration) {
	if len(t.failures) == 0 {
		delete(o.unsettled, t)
		return
	}
	oldest := now
	for _, w := range t.running {
		oldest = min(oldest, w.sentAt)
	}
	var failed []failedRequest
	t.failures = slices.DeleteFunc(t.failures, func(f failure) bool {
		if oldest < f.at && now-f.at < maxSettleTime {
			return false
		}
		failed = append(failed, f.request)
		return true
	})
	if len(failed) > 0 {
		t.cache.generation++
	}
	o.newlyBlocked = append(o.newlyBlocked, o.crashes.recordCrash(t.info.ID, now, failed...)...)
}

// BlockList holds the prompt parts that the owner has blocked, for an entry instance, which
// refuses their requests also while no owner responds. It is not safe for concurrent use.
type BlockList struct {
	until map[PartID]time.Duration
}

// NewBlockList returns an empty list.
func NewBlockList() *BlockList { return &BlockList{until: map[PartID]time.Duration{}} }

// Set replaces the list.
func (b *BlockList) Set(parts []BlockedPart, now time.Duration) {
	clear(b.until)
	for _, p := range parts {
		b.until[p.Part] = now + p.Remaining
	}
}

// Empty reports whether no part is blocked.
func (b *BlockList) Empty() bool { return len(b.until) == 0 }

// Remaining returns the time for which a part stays blocked, 0 if it is not.
func (b *BlockList) Remaining(part PartID, now time.Duration) time.Duration {
	until, ok := b.until[part]
	if !ok {
		return 0
	}
	if until <= now {
		delete(b.until, part)
		return 0
	}
	return until - now
}

// Parts returns the blocked parts, ordered by ID.
func (b *BlockList) Parts(now time.Duration) []BlockedPart {
	out := make([]BlockedPart, 0, len(b.until))
	for part, until := range b.until {
		if until > now {
			out = append(out, BlockedPart{part, until - now})
		}
	}
	slices.SortFunc(out, func(a, b BlockedPart) int { return cmp.Compare(a.Part, b.Part) })
	return out
}
