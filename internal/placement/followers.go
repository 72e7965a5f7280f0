package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// noStartLimit is the number of starts per second on a target without a limit.
const noStartLimit = math.MaxInt

// heldStartWait is the wait for a target whose starts are held for entry instances that may not follow
// the owner; it is not known when they end.
const heldStartWait = 50 * time.Millisecond

// follower is an entry instance as a holder of starts. While it does not surely follow the owner, it may
// repeat each start that it made in the last second, so that these still count.
type follower struct {
	heardAt      time.Duration // when its newest message arrived
	followsUntil time.Duration // before this it starts nothing by itself
	acks         []ack         // oldest first
	parts        map[string]int
	ceded        bool                 // its parts are counted in takeover.ceded
	lastStartAt  time.Duration        // of those on targets
	targets      map[*target]struct{} // on which it may have starts
	gone         bool                 // its process has ended, or it has not been heard from for too long
	goneAt       time.Duration
}

// ack is what a message of an entry instance says of the owner's messages: those sent until heard had
// arrived at receivedBy. Both are on the owner's clock.
type ack struct{ heard, receivedBy time.Duration }

const (
	// minAckDistance is the time between two acks that are kept.
	minAckDistance = 5 * time.Millisecond
	// ackLifetime is how long acks are kept. A later one serves in place of those that are gone.
	ackLifetime = 3 * time.Second
)

// addAck adds an ack that is newer than the others.
func (f *follower) addAck(a ack, now time.Duration) {
	if n := len(f.acks); n > 0 && (a.heard <= f.acks[n-1].heard || a.receivedBy-f.acks[n-1].receivedBy < minAckDistance) {
		return
	}
	for len(f.acks) > 0 && now-f.acks[0].receivedBy > ackLifetime {
		f.acks = f.acks[1:]
	}
	f.acks = append(f.acks, a)
}

// receivedBy returns when a message that was sent at a time had arrived at the latest; false = it is not
// known to have arrived.
func (f *follower) receivedBy(sent time.Duration) (time.Duration, bool) {
	i, _ := slices.BinarySearchFunc(f.acks, sent, func(a ack, sent time.Duration) int { return cmp.Compare(a.heard, sent) })
	if i == len(f.acks) {
		return 0, false
	}
	return f.acks[i].receivedBy, true
}

// start is a start on a target.
type start struct {
	at      time.Duration
	by      *follower // nil = the instance does not report its starts
	granted bool      // by this owner
}

// held reports whether a start that is older than startWindow still counts: the grant may have reached its
// entry instance less than startWindow ago, or the entry instance may repeat the start.
func (s start) held(now time.Duration) bool {
	if s.by == nil || now >= s.by.heardAt+OwnerlessTime+ownerlessMargin {
		return false
	}
	startedBy, arrived := s.at, true
	if s.granted {
		startedBy, arrived = s.by.receivedBy(s.at)
	}
	switch {
	case arrived && startedBy+startWindow <= min(now, s.by.followsUntil):
		return false
	case s.by.gone: // it may have repeated the start just before
		return s.by.goneAt+startWindow > now
	}
	return true
}

// takeover is the time after the begin of an ownership in which some entry instances may still use parts
// of the start limits that this owner does not know of.
type takeover struct {
	missing  map[string]bool // known instances that have not reported yet
	reported map[string]bool
	count    int            // number of instances of which those that have reported know
	ceded    map[string]int // sum of the parts that were reported, by target ID
	settled  time.Duration  // it does not end before
	ends     time.Duration  // the parts of instances that have not reported have ended
}

// over reports whether no entry instance can have an unknown part.
func (t *takeover) over(now time.Duration) bool {
	return now >= t.ends || now >= t.settled && len(t.missing) == 0 && len(t.reported) >= t.count
}

// BeginTakeover makes the owner keep to the parts that entry instances cede to it, until the known
// instances and as many as these know of have reported, and not before settled. After OwnerlessTime no
// part that was not reported can be in use.
func (o *Owner) BeginTakeover(known []string, settled, now time.Duration) {
	t := &takeover{missing: map[string]bool{}, reported: map[string]bool{}, ceded: map[string]int{}, settled: settled, ends: now + OwnerlessTime + ownerlessMargin}
	for _, entry := range known {
		t.missing[entry] = true
	}
	o.takeover = t
}

// TakingOver reports whether some entry instances may use parts that this owner does not know of.
func (o *Owner) TakingOver(now time.Duration) bool {
	if o.takeover != nil && o.takeover.over(now) {
		o.takeover = nil
	}
	return o.takeover != nil
}

// MissingReports returns the entry instances that are known and have not reported, and how many more are
// told of.
func (o *Owner) MissingReports() (missing []string, more int) {
	if t := o.takeover; t != nil {
		missing, more = slices.Sorted(maps.Keys(t.missing)), max(0, t.count-len(t.reported)-len(t.missing))
	}
	return missing, more
}

// RecordFullReport counts an entry instance that has reported, with the number of entry instances of
// which it knows; 0 = none.
func (o *Owner) RecordFullReport(entry string, count int) {
	if t := o.takeover; t != nil {
		delete(t.missing, entry)
		t.reported[entry] = true
		t.count = max(t.count, count)
	}
}

// RecordHeard records that a message of an entry instance has arrived which reports its starts. It
// answers a message that this owner sent at heard, 0 = none, and that had arrived at least ago before now.
// If it follows the owner, it starts nothing by itself from then on, until the owner has been silent.
func (o *Owner) RecordHeard(entry string, follows bool, heard, ago, now time.Duration) {
	f := o.followers[entry]
	if f == nil || f.gone {
		f = &follower{targets: map[*target]struct{}{}}
		o.followers[entry] = f
	}
	f.heardAt = now
	if heard > 0 {
		f.addAck(ack{heard, now - max(0, ago)}, now)
	}
	if follows && heard > 0 {
		f.followsUntil = max(f.followsUntil, heard+FollowLease)
	}
}

// RecordStarts replaces what is known of the starts and parts of an entry instance. Grants in messages
// sent after heard have not reached it yet.
func (o *Owner) RecordStarts(entry string, r StartReport, heard, now time.Duration) {
	f := o.followers[entry]
	if f == nil {
		return
	}
	o.setParts(f, r.Parts)
	for t := range f.targets {
		t.recentStarts = slices.DeleteFunc(t.recentStarts, func(s start) bool { return s.by == f && (!s.granted || s.at <= heard) })
		if !slices.ContainsFunc(t.recentStarts, func(s start) bool { return s.by == f }) {
			delete(f.targets, t)
		}
	}
	for id, ages := range r.Ago {
		if t := o.targets[id]; t != nil {
			for _, ago := range ages {
				t.recordStart(start{at: now - max(0, ago), by: f})
			}
		}
	}
	if o.takeover != nil && !f.ceded {
		f.ceded = true
		for id, n := range r.Parts {
			o.takeover.ceded[id] += n
		}
	}
}

// setParts replaces the parts of an entry instance, which this owner leaves to it.
func (o *Owner) setParts(f *follower, parts map[string]int) {
	for id, n := range f.parts {
		if o.reserved[id] -= n; o.reserved[id] <= 0 {
			delete(o.reserved, id)
		}
	}
	f.parts = parts
	for id, n := range parts {
		o.reserved[id] += n
	}
}

// ForgetStarts gives back the starts that are held for an entry instance, because its process has ended.
func (o *Owner) ForgetStarts(entry string, now time.Duration) {
	if f := o.followers[entry]; f != nil {
		f.gone, f.goneAt = true, now
		o.setParts(f, nil)
		delete(o.followers, entry)
	}
}

// expireFollowers gives back the starts of entry instances whose parts have ended.
func (o *Owner) expireFollowers(now time.Duration) {
	for entry, f := range o.followers {
		if now >= f.heardAt+OwnerlessTime+ownerlessMargin {
			o.ForgetStarts(entry, now)
		}
	}
}

// Followers returns the entry instances with starts that are held until they acknowledge a newer message,
// in no particular order.
func (o *Owner) Followers() []string {
	var out []string
	for entry, f := range o.followers {
		if f.lastStartAt > 0 && f.lastStartAt+startWindow > f.followsUntil {
			out = append(out, entry)
		}
	}
	return out
}

// FollowerCount returns the number of entry instances that report their starts.
func (o *Owner) FollowerCount() int { return len(o.followers) }

// HeldStarts returns the number of starts that are older than startWindow and still count. It visits all
// targets.
func (o *Owner) HeldStarts(now time.Duration) int {
	n := 0
	for _, t := range o.sortedTargets {
		for _, s := range t.recentStarts {
			if now-s.at < startWindow {
				break
			}
			n++
		}
	}
	return n
}

// maxStarts returns the number of starts per second that this owner may make on a target. A warm target
// may turn cold at any time, and the target list shows it with a delay. The limit for cold targets
// therefore always applies: with the allowed overage for warm targets, without it for cold ones. Parts of
// entry instances are left to them; during a takeover, nothing is used beyond the parts that were ceded.
func (o *Owner) maxStarts(t *target, now time.Duration) int {
	s := o.view.Services[t.info.Service]
	if s == nil || s.ColdPerSecond <= 0 {
		return noStartLimit
	}
	all := max(1, int((s.ColdPerSecond*o.cfg.ColdOverage+o.cfg.ColdSlack)*warmStartFactor))
	if o.TakingOver(now) {
		all = min(all, o.takeover.ceded[t.info.ID])
	}
	all -= o.reserved[t.info.ID]
	if t.info.ColdUntil > now {
		all = min(all, max(1, int(s.ColdPerSecond*coldStartFactor)))
	}
	return all
}

// recordStart adds a start, in the order of time.
func (t *target) recordStart(s start) {
	i, _ := slices.BinarySearchFunc(t.recentStarts, s.at, func(s start, at time.Duration) int {
		if s.at < at {
			return -1
		}
		return 1
	})
	t.recentStarts = slices.Insert(t.recentStarts, i, s)
	if s.by != nil {
		s.by.lastStartAt = max(s.by.lastStartAt, s.at)
		s.by.targets[t] = struct{}{}
	}
}

// startWait returns the time until one more start, after pendingBefore others, stays within a number of
// starts per second and within the target's rate limit.
func (t *target) startWait(maxStarts, pendingBefore int, now time.Duration) time.Duration {
	return max(t.limitWait(pendingBefore, now), t.startWindowWait(maxStarts, pendingBefore, now))
}

// startWindowWait is startWait without the target's rate limit.
func (t *target) startWindowWait(maxStarts, pendingBefore int, now time.Duration) time.Duration {
	if len(t.recentStarts) > 0 && now-t.recentStarts[0].at >= startWindow {
		t.recentStarts = slices.DeleteFunc(t.recentStarts, func(s start) bool { return now-s.at >= startWindow && !s.held(now) })
	}
	switch {
	case maxStarts == noStartLimit:
		return 0
	case maxStarts <= 0:
		return heldStartWait
	}
	// This start has to wait until the start that is maxStarts before it leaves the window. That
	// one is a recorded start, or one of the pending requests.
	i := len(t.recentStarts) + pendingBefore - maxStarts
	fullWindows := time.Duration(0)
	if n := len(t.recentStarts); n > 0 && i >= n {
		windows := (i-n)/maxStarts + 1
		i, fullWindows = i-windows*maxStarts, time.Duration(windows)
	}
	if i < 0 || len(t.recentStarts) == 0 {
		return fullWindows * startWindow
	}
	wait := t.recentStarts[i].at + startWindow*(fullWindows+1) - now
	if wait <= 0 {
		return heldStartWait
	}
	return wait
}
