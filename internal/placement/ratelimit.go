package placement

import (
	"math"
	"time"

	"nutmegrouter/internal/api"
)

const (
	// limitReportInterval is how often an entry instance reports a rate limit that a target goes on
	// naming.
	limitReportInterval = 500 * time.Millisecond
	// limitChangeRatio is the change of a rate limit from which it is reported at once.
	limitChangeRatio = 0.1
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

// storedLimit is what an entry instance knows of a target's rate limit. The zero value is no limit.
type storedLimit struct {
	limited    bool
	perSecond  float64
	statedAt   time.Duration
	observed   bool // by this instance; false = the owner has told it
	reportedAt time.Duration
}

// limitDiffers reports whether a rate limit differs so much from an earlier one that others must be
// told at once.
func limitDiffers(limited bool, perSecond float64, wasLimited bool, was float64) bool {
	return limited != wasLimited || limited && math.Abs(perSecond-was) > limitChangeRatio*was
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
	old := s.limit
	s.limit = storedLimit{limited: l.Limited, perSecond: l.PerSecond, statedAt: now, observed: true, reportedAt: old.reportedAt}
	if !l.Limited {
		s.limit.statedAt = sentAt
	}
	isNew = limitDiffers(l.Limited, l.PerSecond, old.limited, old.perSecond)
	due = isNew || now-old.reportedAt >= limitReportInterval
	if due {
		s.limit.reportedAt = now
	}
	n.byTarget[t.ID] = s
	return n.limitNotice(t.ID, s, now), isNew, due
}

// limitNotice returns the notice of a target's rate limit.
func (n *Notices) limitNotice(id string, s storedNotice, now time.Duration) TargetNotice {
	return TargetNotice{Target: id, StartedUnixMs: s.startedUnixMs, Limit: LimitNotice{
		Stated: true, Limited: s.limit.limited, PerSecond: s.limit.perSecond, StatedAgo: now - s.limit.statedAt,
	}}
}

// stored returns what is known of an incarnation of a target.
func (n *Notices) stored(t *api.Target) (storedNotice, bool) {
	if len(n.byTarget) == 0 {
		return storedNotice{}, false
	}
	s, ok := n.byTarget[t.ID]
	if !ok || s.startedUnixMs != t.StartedUnixMs {
		return storedNotice{}, false
	}
	return s, true
}
