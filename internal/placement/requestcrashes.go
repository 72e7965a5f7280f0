package placement

import (
	"slices"
	"time"

	"nutmegrouter/internal/api"
)

const (
	// suspectRequestCrashes is the number of crashes after which a request is suspect: only one
	// repeat at a time reaches a target. blockRequestCrashes is the number after which its repeats are
	// refused.
	suspectRequestCrashes = 2
	blockRequestCrashes   = 3
	// suspectTrialTime is how long other repeats of a suspect request wait for the result of one.
	suspectTrialTime = 2 * time.Second
	// maxCrashRecords bounds the requests with a record, maxListedRequests those that are suspect or
	// blocked, of which the entry instances are told.
	maxCrashRecords   = 4096
	maxListedRequests = 256
)

// SuspectRequest is a request with which several targets have crashed.
type SuspectRequest struct {
	Fingerprint api.Fingerprint
	// Blocked reports that its repeats are refused, for the time Remaining. Then one tries it.
	Blocked   bool
	Remaining time.Duration
}

// requestCrashes finds the requests that crash each target that runs them. A crash counts against all
// requests that the target ran then; one that any target answers is cleared.
type requestCrashes struct {
	records map[api.Fingerprint]*requestCrashRecord
	listed  int    // suspect or blocked ones
	version uint64 // grows when these change
}

// requestCrashRecord is the record of a request with which targets crashed.
type requestCrashRecord struct {
	crashes      int
	target       string // of the newest crash
	crashedAt    time.Duration
	countedAt    time.Duration // when crashes last grew
	blocked      bool
	blockedUntil time.Duration
	blockTime    time.Duration
	trialUntil   time.Duration // a repeat is tried until then
}

func newRequestCrashes() *requestCrashes {
	return &requestCrashes{records: map[api.Fingerprint]*requestCrashRecord{}}
}

func (r *requestCrashRecord) isListed() bool { return r.crashes >= suspectRequestCrashes || r.blocked }

// expired reports whether the record says nothing any more.
func (r *requestCrashRecord) expired(now time.Duration) bool {
	if r.blocked {
		return now-r.blockedUntil > maxBlockTime
	}
	return now-r.crashedAt > suspicionTime
}

// recordCrash counts the crash of a target against a request that it ran. It reports whether the
// request is blocked from now on.
func (c *requestCrashes) recordCrash(f api.Fingerprint, target string, now time.Duration) (blocked bool) {
	r := c.records[f]
	if r != nil && r.expired(now) {
		c.remove(f, r)
		r = nil
	}
	if r == nil {
		c.makeRoom(now)
		r = &requestCrashRecord{}
		c.records[f] = r
	}
	// The same crash is reported for each send of the request, and a common cause, such as a loss of
	// power, ends several targets at once.
	if r.crashes > 0 && (now-r.countedAt <= commonCauseTime || r.target == target && now-r.crashedAt <= sameCrashTime) {
		return false
	}
	wasListed := r.isListed()
	r.crashes++
	r.target, r.crashedAt, r.countedAt = target, now, now
	switch {
	case r.blocked && now < r.blockedUntil:
		return false // of a repeat that was under way
	case r.blocked:
		r.blockTime = min(maxBlockTime, 2*r.blockTime)
	case r.crashes >= blockRequestCrashes:
		r.blocked, r.blockTime, blocked = true, initialBlockTime, true
	}
	r.trialUntil = 0
	if r.blocked {
		r.blockedUntil = now + r.blockTime
	}
	if r.isListed() {
		c.version++
		if !wasListed {
			c.listed++
			c.limitListed(f)
		}
	}
	return blocked
}

// recordAnswered clears a request that a target has answered.
func (c *requestCrashes) recordAnswered(f api.Fingerprint) {
	if r := c.records[f]; r != nil {
		c.remove(f, r)
	}
}

func (c *requestCrashes) remove(f api.Fingerprint, r *requestCrashRecord) {
	delete(c.records, f)
	if r.isListed() {
		c.listed--
		c.version++
	}
}

// refuses reports whether a request must not be sent now, and the time until one of its repeats may
// be. If it may, it is the only repeat until its result is known.
func (c *requestCrashes) refuses(f api.Fingerprint, now time.Duration) (remaining time.Duration, refused bool) {
	r := c.records[f]
	if r == nil || !r.isListed() {
		return 0, false
	}
	if r.expired(now) {
		c.remove(f, r)
		return 0, false
	}
	if until := max(r.blockedUntil, r.trialUntil); until > now {
		return until - now, true
	}
	r.trialUntil = now + suspectTrialTime
	if r.blocked {
		r.trialUntil = now + trialTime
	}
	return 0, false
}

// list returns the suspect and blocked requests, ordered by fingerprint.
func (c *requestCrashes) list(now time.Duration) []SuspectRequest {
	var out []SuspectRequest
	for f, r := range c.records {
		if r.isListed() && !r.expired(now) {
			out = append(out, SuspectRequest{f, r.blocked, max(0, r.blockedUntil-now)})
		}
	}
	slices.SortFunc(out, func(a, b SuspectRequest) int { return slices.Compare(a.Fingerprint.Digest[:], b.Fingerprint.Digest[:]) })
	return out
}

// merge adds requests of which another owner has told the entry instances.
func (c *requestCrashes) merge(requests []SuspectRequest, now time.Duration) {
	for _, s := range requests {
		if r := c.records[s.Fingerprint]; r != nil && r.isListed() || c.listed >= maxListedRequests {
			continue
		}
		c.makeRoom(now)
		r := &requestCrashRecord{crashes: suspectRequestCrashes, crashedAt: now, blocked: s.Blocked}
		if s.Blocked {
			r.crashes, r.blockTime, r.blockedUntil = blockRequestCrashes, initialBlockTime, now+min(s.Remaining, maxBlockTime)
		}
		c.records[s.Fingerprint] = r
		c.listed++
		c.version++
	}
}

// limitListed removes the listed request, other than one, that crashed a target longest ago, if there
// are too many.
func (c *requestCrashes) limitListed(kept api.Fingerprint) {
	if c.listed <= maxListedRequests {
		return
	}
	var oldest *requestCrashRecord
	var fingerprint api.Fingerprint
	for f, r := range c.records {
		if f != kept && r.isListed() && (oldest == nil || r.crashedAt < oldest.crashedAt) {
			oldest, fingerprint = r, f
		}
	}
	c.remove(fingerprint, oldest)
}

// makeRoom removes a record if there are too many: of a few, one that has expired, or else the one
// with the fewest and oldest crashes.
func (c *requestCrashes) makeRoom(now time.Duration) {
	if len(c.records) < maxCrashRecords {
		return
	}
	var least *requestCrashRecord
	var fingerprint api.Fingerprint
	examined := 0
	for f, r := range c.records { // in random order
		if least == nil || r.countsLess(least, now) {
			least, fingerprint = r, f
		}
		if examined++; examined >= evictionSample {
			break
		}
	}
	c.remove(fingerprint, least)
}

// countsLess reports whether a record is rather removed than another one.
func (r *requestCrashRecord) countsLess(other *requestCrashRecord, now time.Duration) bool {
	switch expired, otherExpired := r.expired(now), other.expired(now); {
	case expired != otherExpired:
		return expired
	case r.blocked != other.blocked:
		return other.blocked
	case r.crashes != other.crashes:
		return r.crashes < other.crashes
	}
	return r.crashedAt < other.crashedAt
}

// refuseRepeat refuses a request with which targets crash, and reports whether it did.
func (o *Owner) refuseRepeat(k Key, req Request, now time.Duration) bool {
	if req.Resumes || req.Fingerprint == (api.Fingerprint{}) {
		return false
	}
	remaining, refused := o.requestCrashes.refuses(req.Fingerprint, now)
	if refused {
		d := Decision{Key: k, Code: CodeRequestCrashes, RetryAfter: max(remaining, minRetryAfter), ForwardShare: 1}
		if !req.Plain {
			d.ForwardShare = o.shares.forwardShare(req.Workspace)
		}
		o.decisions = append(o.decisions, d)
	}
	return refused
}

// RecordRequestCrash records that a target has crashed while it ran a request. It reports whether the
// request is blocked from now on.
func (o *Owner) RecordRequestCrash(f api.Fingerprint, target string, now time.Duration) (blocked bool) {
	return o.requestCrashes.recordCrash(f, target, now)
}

// RecordRequestAnswered records that a target has answered a suspect request.
func (o *Owner) RecordRequestAnswered(f api.Fingerprint) { o.requestCrashes.recordAnswered(f) }

// SuspectRequests returns the requests with which several targets have crashed.
func (o *Owner) SuspectRequests(now time.Duration) []SuspectRequest {
	return o.requestCrashes.list(now)
}

// SuspectVersion returns a number that grows when SuspectRequests changes other than by time.
func (o *Owner) SuspectVersion() uint64 { return o.requestCrashes.version }

// MergeSuspects adds requests that an earlier owner has suspected or blocked.
func (o *Owner) MergeSuspects(requests []SuspectRequest, now time.Duration) {
	o.requestCrashes.merge(requests, now)
}

// SuspectList holds the requests with which several targets have crashed, for an entry instance: those
// on the owner's list, and until the next list those that crashed targets at this instance alone. The
// repeats of those need the owner's permission; while no owner responds, blocked ones are refused. It
// is not safe for concurrent use.
type SuspectList struct {
	bySelector map[uint64][]listedRequest
	own        *requestCrashes // crashes at this instance
}

type listedRequest struct {
	fingerprint  api.Fingerprint
	blocked      bool
	blockedUntil time.Duration
}

// NewSuspectList returns an empty list.
func NewSuspectList() *SuspectList {
	return &SuspectList{bySelector: map[uint64][]listedRequest{}, own: newRequestCrashes()}
}

// RecordCrash records that a target has crashed while it ran a request of this instance.
func (l *SuspectList) RecordCrash(f api.Fingerprint, target string, now time.Duration) {
	l.own.recordCrash(f, target, now)
	r := l.own.records[f]
	if !r.isListed() {
		return
	}
	listed := listedRequest{f, r.blocked, max(now, r.blockedUntil)}
	list := l.bySelector[f.Selector]
	if i := slices.IndexFunc(list, func(other listedRequest) bool { return other.fingerprint == f }); i >= 0 {
		list[i].blocked, list[i].blockedUntil = list[i].blocked || listed.blocked, max(list[i].blockedUntil, listed.blockedUntil)
		return
	}
	l.bySelector[f.Selector] = append(list, listed)
}

// RecordAnswered records that a target has answered a request of this instance.
func (l *SuspectList) RecordAnswered(f api.Fingerprint) { l.own.recordAnswered(f) }

// Set replaces the list.
func (l *SuspectList) Set(requests []SuspectRequest, now time.Duration) {
	clear(l.bySelector)
	for _, r := range requests {
		s := r.Fingerprint.Selector
		l.bySelector[s] = append(l.bySelector[s], listedRequest{r.Fingerprint, r.Blocked, now + r.Remaining})
	}
}

// Find returns the fingerprint of a request if it is listed, whether it is blocked, and for how long.
// It reads the body only of a request with the selector of a listed one.
func (l *SuspectList) Find(i *api.RequestIdentity, now time.Duration) (f api.Fingerprint, blocked bool, remaining time.Duration) {
	if len(l.bySelector) == 0 || i == nil {
		return api.Fingerprint{}, false, 0
	}
	for _, r := range l.bySelector[i.Selector()] {
		if f := i.Fingerprint(); r.fingerprint == f {
			return f, r.blocked, max(0, r.blockedUntil-now)
		}
	}
	return api.Fingerprint{}, false, 0
}

// Requests returns the listed requests, ordered by fingerprint.
func (l *SuspectList) Requests(now time.Duration) []SuspectRequest {
	var out []SuspectRequest
	for _, list := range l.bySelector {
		for _, r := range list {
			out = append(out, SuspectRequest{r.fingerprint, r.blocked, max(0, r.blockedUntil-now)})
		}
	}
	slices.SortFunc(out, func(a, b SuspectRequest) int { return slices.Compare(a.Fingerprint.Digest[:], b.Fingerprint.Digest[:]) })
	return out
}
