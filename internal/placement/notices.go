package placement

import (
	"slices"
	"time"

	"nutmegrouter/internal/api"
)

// maxPause bounds the pause that a target may ask for. It only guards sums of times: a target is sent
// nothing for as long as it says, or until it starts again.
const maxPause = 24 * time.Hour

// TargetNotice is what a target has said of itself in a response.
type TargetNotice struct {
	Target        string // ID
	StartedUnixMs int64  // api.Target.StartedUnixMs, which identifies the incarnation
	Leaving       bool   // it leaves and must not be sent new requests
	// Pause is how long it must not be sent new requests from now on; 0 = no pause.
	Pause time.Duration
	Limit LimitNotice
}

// Notices holds the notices of targets for an entry instance, which decides by them at the moment
// of sending. They end with the incarnation of the target. It is not safe for concurrent use.
type Notices struct {
	byTarget   map[string]storedNotice
	numLimited int // targets with a rate limit
}

type storedNotice struct {
	startedUnixMs int64
	leaving       bool
	pausedUntil   time.Duration
	limit         storedLimit
}

// NewNotices returns a Notices without notices.
func NewNotices() *Notices { return &Notices{byTarget: map[string]storedNotice{}} }

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

// Record adds a notice that a target leaves or pauses and reports whether it says something new.
func (n *Notices) Record(notice TargetNotice, now time.Duration) bool {
	old := n.byTarget[notice.Target]
	if old.startedUnixMs != notice.StartedUnixMs {
		old = storedNotice{startedUnixMs: notice.StartedUnixMs}
		n.storeLimit(notice.Target, old)
	}
	stored := old
	stored.leaving = old.leaving || notice.Leaving
	if notice.Pause > 0 {
		stored.pausedUntil = max(old.pausedUntil, now+min(notice.Pause, maxPause))
	}
	n.byTarget[notice.Target] = stored
	return stored.leaving != old.leaving || stored.pausedUntil != old.pausedUntil
}

// Leaving reports whether a target has said that it leaves.
func (n *Notices) Leaving(t *api.Target) bool {
	s, _ := n.stored(t)
	return s.leaving
}

// Pause returns the time until a target may be sent requests again, 0 if it may be sent some now.
func (n *Notices) Pause(t *api.Target, now time.Duration) time.Duration {
	s, _ := n.stored(t)
	return max(0, s.pausedUntil-now)
}

// List returns the notices that still hold, ordered by target. Of the rate limits it has those that
// this instance has observed itself: other instances report the others.
func (n *Notices) List(now time.Duration) []TargetNotice {
	var out []TargetNotice
	for id, s := range n.byTarget {
		if s.leaving || s.pausedUntil > now {
			out = append(out, TargetNotice{Target: id, StartedUnixMs: s.startedUnixMs, Leaving: s.leaving, Pause: max(0, s.pausedUntil-now)})
		}
		if s.limit.limited && s.limit.observed {
			out = append(out, limitNotice(id, s, now))
		}
	}
	return sortedByTarget(out)
}

// Retain removes the notices of targets that are not in the list.
func (n *Notices) Retain(targets []api.Target) {
	listed := make(map[string]int64, len(targets))
	for _, t := range targets {
		listed[t.ID] = t.StartedUnixMs
	}
	for id, s := range n.byTarget {
		if started, ok := listed[id]; !ok || started != s.startedUnixMs {
			n.storeLimit(id, storedNotice{})
			delete(n.byTarget, id)
		}
	}
}

// RecordNotice applies the notice of a target to the decisions for all entry instances. Requests
// that are queued for it are decided anew. A notice of an unknown target or of an earlier
// incarnation is ignored.
func (o *Owner) RecordNotice(notice TargetNotice, now time.Duration) {
	o.recordLimit(notice, now)
	t := o.targets[notice.Target]
	if !notice.Leaving && notice.Pause == 0 || t == nil || t.info.StartedUnixMs != notice.StartedUnixMs {
		return
	}
	if notice.Pause > 0 {
		t.pausedUntil = max(t.pausedUntil, now+min(notice.Pause, maxPause))
	}
	if notice.Leaving && !t.saysLeaving {
		t.saysLeaving = true
		o.usable[t.info.Service] = slices.DeleteFunc(o.usable[t.info.Service], func(u *target) bool { return u == t })
		clear(o.affinity)
	}
	o.redecidePending(t, now)
}
