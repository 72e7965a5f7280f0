package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmegrouter/internal/api"
)

const (
	// limitBurstTime is the time whose requests a target with a rate limit may be sent at once.
	limitBurstTime = 500 * time.Millisecond
	// minLimitRate is the rate, in requests per second, at which a target with a lower limit is sent
	// requests: only its responses tell that the limit has ended.
	minLimitRate = 0.2
	// localLimitShare is the part of a rate limit that all entry instances together use while no owner
	// responds to them. It is beyond what the owner grants to those that it responds to.
	localLimitShare = 0.25
	// localShareTimeout is the time without use after which an instance's part begins empty again, so
	// that not all instances use a saved request when they lose the owner.
	localShareTimeout = 2 * time.Second
	// limitReportInterval is how often an entry instance reports a rate limit that a target goes on
	// naming.
	limitReportInterval = 500 * time.Millisecond
	// limitChangeRatio is the change of a rate limit from which it is reported at once.
	limitChangeRatio = 0.1
	// maxCandidates bounds the targets with a rate limit among which the owner grants one.
	maxCandidates = 8
)

// LimitNotice is what a target has said of the requests per second that it takes from all entry
// instances together.
type LimitNotice struct {
	Stated    bool // false = the notice is about something else
	Limited   bool // false = it has no limit any more
	PerSecond float64
	// StatedAgo is the time since the target has named the limit, or since the request was sent whose
	// response named none.
	StatedAgo time.Duration
}

// limitDiffers reports whether a rate limit differs so much from an earlier one that others must be
// told at once.
func limitDiffers(limited bool, perSecond float64, wasLimited bool, was float64) bool {
	return limited != wasLimited || limited && math.Abs(perSecond-was) > limitChangeRatio*was
}

// rateAccount is a token bucket that counts requests against a rate.
type rateAccount struct {
	perSecond float64
	tokens    float64 // below 0 after requests that were sent without being asked for
	countedAt time.Duration
}

func (a *rateAccount) burst() float64 { return max(1, a.perSecond*limitBurstTime.Seconds()) }

func (a *rateAccount) advance(now time.Duration) {
	if now > a.countedAt {
		a.tokens = min(a.burst(), a.tokens+a.perSecond*(now-a.countedAt).Seconds())
		a.countedAt = now
	}
}

// setRate changes the rate from now on.
func (a *rateAccount) setRate(perSecond float64, now time.Duration) {
	a.advance(now)
	a.perSecond = perSecond
	a.tokens = min(a.tokens, a.burst())
}

// wait returns the time until a request may be sent after a number of others.
func (a *rateAccount) wait(before int, now time.Duration) time.Duration {
	const rounding = 1e-6 // of a token
	a.advance(now)
	missing := float64(before+1) - a.tokens
	if missing <= rounding {
		return 0
	}
	return time.Duration(math.Ceil(missing / a.perSecond * float64(time.Second)))
}

// take counts a request that is sent.
func (a *rateAccount) take(now time.Duration) {
	a.advance(now)
	a.tokens--
}

// giveBack takes back the count of a request that did not reach the target.
func (a *rateAccount) giveBack(now time.Duration) {
	a.advance(now)
	a.tokens = min(a.burst(), a.tokens+1)
}

// targetLimit is the owner's record of a target's rate limit and of what all entry instances have
// been granted.
type targetLimit struct {
	startedUnixMs int64
	limited       bool
	perSecond     float64 // as named
	statedAt      time.Duration
	account       rateAccount
	// promised is the number of refused callers that have not had time to return yet.
	promised   float64
	promisedAt time.Duration
}

// retryAfter returns when the next refused caller may return: when there is room behind those refused
// before it.
func (l *targetLimit) retryAfter(now time.Duration) time.Duration {
	l.promised = max(0, l.promised-l.account.perSecond*(now-l.promisedAt).Seconds())
	l.promisedAt = now
	wait := l.account.wait(int(l.promised), now)
	if wait < maxRetryAfter {
		l.promised++
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// recordLimit applies what a target has said of its rate limit, unless a later statement is known. The
// entry instances are told of a change, and of one that is later than what an instance reports.
func (o *Owner) recordLimit(notice TargetNotice, now time.Duration) {
	started, listed := o.listed[notice.Target]
	if !notice.Limit.Stated || !listed || started != notice.StartedUnixMs {
		return
	}
	l, statedAt := o.limits[notice.Target], now-notice.Limit.StatedAgo
	if l == nil || l.startedUnixMs != started {
		if !notice.Limit.Limited {
			return
		}
		l = &targetLimit{startedUnixMs: started, statedAt: statedAt}
		o.limits[notice.Target] = l
	}
	differs := limitDiffers(notice.Limit.Limited, notice.Limit.PerSecond, l.limited, l.perSecond)
	if differs {
		o.changedLimits[notice.Target] = struct{}{}
	}
	if statedAt < l.statedAt {
		return
	}
	l.statedAt, l.perSecond = statedAt, notice.Limit.PerSecond
	rate := max(minLimitRate, notice.Limit.PerSecond)
	if notice.Limit.Limited && !l.limited {
		// Requests that were sent before may be on their way, or another owner has just granted some.
		l.account = rateAccount{perSecond: rate, countedAt: now}
	}
	l.limited = notice.Limit.Limited
	l.account.setRate(rate, now)
	if t := o.targets[notice.Target]; t != nil {
		t.limit = l
		if differs {
			o.redecidePending(t, now)
		}
	}
}

// retainLimits removes the records of targets that are not listed any more.
func (o *Owner) retainLimits(targets []api.Target) {
	o.listed = make(map[string]int64, len(targets))
	for _, t := range targets {
		o.listed[t.ID] = t.StartedUnixMs
	}
	for id, l := range o.limits {
		if started, listed := o.listed[id]; !listed || started != l.startedUnixMs {
			delete(o.limits, id)
		}
	}
}

// ChangedLimits returns the rate limits that have changed since the last call, ordered by target.
func (o *Owner) ChangedLimits(now time.Duration) []TargetNotice {
	if len(o.changedLimits) == 0 {
		return nil
	}
	var out []TargetNotice
	for id := range o.changedLimits {
		if l := o.limits[id]; l != nil {
			out = append(out, l.notice(id, now))
		}
	}
	clear(o.changedLimits)
	return sortedByTarget(out)
}

// Limits returns the rate limits of all targets that have one, ordered by target.
func (o *Owner) Limits(now time.Duration) []TargetNotice {
	var out []TargetNotice
	for id, l := range o.limits {
		if l.limited {
			out = append(out, l.notice(id, now))
		}
	}
	return sortedByTarget(out)
}

func (l *targetLimit) notice(id string, now time.Duration) TargetNotice {
	return TargetNotice{Target: id, StartedUnixMs: l.startedUnixMs, Limit: LimitNotice{
		Stated: true, Limited: l.limited, PerSecond: l.perSecond, StatedAgo: now - l.statedAt,
	}}
}

func sortedByTarget(notices []TargetNotice) []TargetNotice {
	slices.SortFunc(notices, func(a, b TargetNotice) int { return cmp.Compare(a.Target, b.Target) })
	return notices
}

// decidePlain grants a plain request the first of its candidates that has room within its rate limit,
// or refuses it. Without candidates it permits the request: the entry instance chooses the target. It
// does not count how many plain requests run.
func (o *Owner) decidePlain(k Key, req Request, now time.Duration) {
	if r := o.rollouts[req.Service]; r != nil && r.splitter != nil && req.Route != "" && r.splitter.Choose(req.Route, now) {
		r.splitter.RecordGrant(now)
		o.decisions = append(o.decisions, Decision{Key: k, ForwardShare: 1, Permitted: true, NewVersion: true})
		return
	}
	if r := o.view.Rollouts[req.Service]; req.Route != "" && o.hasMovedTo(req.Service, r.Version) {
		o.decisions = append(o.decisions, Decision{Key: k, ForwardShare: 1, Permitted: true, NewVersion: true})
		return
	}
	d := Decision{Key: k, ForwardShare: 1, Permitted: len(req.Candidates) == 0}
	var soonest *targetLimit
	soonestWait := time.Duration(math.MaxInt64)
	for _, id := range req.Candidates[:min(len(req.Candidates), maxCandidates)] {
		l := o.limits[id]
		if l == nil || !l.limited {
			d.Target = id
			break
		}
		wait := l.account.wait(0, now)
		if wait == 0 {
			l.account.take(now)
			d.Target, d.Metered = id, true
			break
		}
		if wait = l.account.wait(int(l.promised), now); wait < soonestWait {
			soonest, soonestWait = l, wait
		}
	}
	if d.Target == "" && !d.Permitted {
		d.Code, d.RetryAfter = CodeLimitReached, soonest.retryAfter(now)
	}
	o.decisions = append(o.decisions, d)
}

// limitWait returns the time until a target with a rate limit may be sent a request after a number of
// others, 0 for one without.
func (t *target) limitWait(before int, now time.Duration) time.Duration {
	if t.limit == nil || !t.limit.limited {
		return 0
	}
	return t.limit.account.wait(before, now)
}

// countAgainstLimit counts a request that is sent to the target, and reports whether the target has a
// rate limit.
func (t *target) countAgainstLimit(now time.Duration) bool {
	if t.limit == nil || !t.limit.limited {
		return false
	}
	t.limit.account.take(now)
	return true
}

// storedLimit is what an entry instance knows of a target's rate limit. The zero value is no limit.
type storedLimit struct {
	limited    bool
	perSecond  float64
	stated     bool // statedAt is set
	statedAt   time.Duration
	observed   bool // by this instance; false = the owner has told it
	reported   bool // to the present owner
	reportedAt time.Duration
	share      rateAccount // this instance's part while no owner responds
	shareUsed  bool
}

// RecordLimit records what a response of a target says of its rate limit; the request was sent at
// sentAt. It reports whether that is new, and returns the notice for the owner, which is due if it is
// new or the last one is old.
func (n *Notices) RecordLimit(t *api.Target, l api.RateLimit, sentAt, now time.Duration) (notice TargetNotice, isNew, due bool) {
	s, known := n.stored(t)
	switch {
	case l.Unknown, !l.Limited && (!s.limit.limited || sentAt <= s.limit.statedAt):
		return TargetNotice{}, false, false
	}
	if !known {
		s = storedNotice{startedUnixMs: t.StartedUnixMs}
	}
	isNew = limitDiffers(l.Limited, l.PerSecond, s.limit.limited, s.limit.perSecond)
	due = isNew || !s.limit.reported || now-s.limit.reportedAt >= limitReportInterval
	s.limit.limited, s.limit.perSecond, s.limit.observed = l.Limited, l.PerSecond, true
	s.limit.stated, s.limit.statedAt = true, now
	if !l.Limited {
		s.limit.statedAt = sentAt
	}
	n.storeLimit(t.ID, s)
	if due {
		return n.ReportLimit(t, now), isNew, true
	}
	return TargetNotice{}, isNew, false
}

// storeLimit replaces what is known of a target and counts the targets with a rate limit.
func (n *Notices) storeLimit(id string, s storedNotice) {
	if n.byTarget[id].limit.limited {
		n.numLimited--
	}
	if s.limit.limited {
		n.numLimited++
	}
	n.byTarget[id] = s
}

// ReportLimit returns the notice of a target's rate limit for the owner, and counts it as reported.
func (n *Notices) ReportLimit(t *api.Target, now time.Duration) TargetNotice {
	s, ok := n.stored(t)
	if !ok {
		return TargetNotice{}
	}
	s.limit.reported, s.limit.reportedAt = true, now
	n.byTarget[t.ID] = s
	return limitNotice(t.ID, s, now)
}

func limitNotice(id string, s storedNotice, now time.Duration) TargetNotice {
	return TargetNotice{Target: id, StartedUnixMs: s.startedUnixMs, Limit: LimitNotice{
		Stated: true, Limited: s.limit.limited, PerSecond: s.limit.perSecond, StatedAgo: now - s.limit.statedAt,
	}}
}

// MergeLimit applies a rate limit of which the owner has told. One that this instance knows to be
// outdated is ignored; the owner is told with the next notice of the target.
func (n *Notices) MergeLimit(notice TargetNotice, now time.Duration) {
	statedAt := now - notice.Limit.StatedAgo
	s, known := n.byTarget[notice.Target]
	if !known || s.startedUnixMs != notice.StartedUnixMs {
		if !notice.Limit.Limited {
			return
		}
		s = storedNotice{startedUnixMs: notice.StartedUnixMs}
	}
	if s.limit.stated && statedAt < s.limit.statedAt {
		s.limit.reported = false
		n.byTarget[notice.Target] = s
		return
	}
	s.limit.limited, s.limit.perSecond, s.limit.reported = notice.Limit.Limited, notice.Limit.PerSecond, true
	s.limit.stated, s.limit.statedAt = true, statedAt
	n.storeLimit(notice.Target, s)
}

// ResetReports makes all rate limits due to be reported, because there is another owner.
func (n *Notices) ResetReports() {
	for id, s := range n.byTarget {
		s.limit.reported = false
		n.byTarget[id] = s
	}
}

// Limited reports whether a target has a rate limit. Then a request may be sent to it only if the
// owner has counted it, or this instance's share.
func (n *Notices) Limited(t *api.Target) bool {
	if n.numLimited == 0 {
		return false
	}
	s, _ := n.stored(t)
	return s.limit.limited
}

// Unreported reports whether the present owner has not been told of a target's rate limit.
func (n *Notices) Unreported(t *api.Target) bool {
	s, ok := n.stored(t)
	return ok && s.limit.limited && !s.limit.reported
}

// TakeShare takes a request from this instance's part of a target's rate limit, one of a number of
// equal parts of localLimitShare. It reports whether the request may be sent, and if not, the time
// until one may. The instances start their parts at different times, by a random number in [0, 1).
func (n *Notices) TakeShare(t *api.Target, instances int, random float64, now time.Duration) (time.Duration, bool) {
	s, _ := n.stored(t)
	if !s.limit.limited {
		return 0, true
	}
	share, rate := &s.limit.share, localLimitShare*max(minLimitRate, s.limit.perSecond)/float64(max(1, instances))
	if !s.limit.shareUsed || now-share.countedAt > localShareTimeout {
		*share, s.limit.shareUsed = rateAccount{perSecond: rate, tokens: -random, countedAt: now}, true
	}
	share.setRate(rate, now)
	wait := share.wait(0, now)
	if wait == 0 {
		share.take(now)
	}
	n.byTarget[t.ID] = s
	return wait, wait == 0
}
