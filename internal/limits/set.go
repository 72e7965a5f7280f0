package limits

import (
	"time"

	"nutmegrouter/internal/api"
)

// Change is a change of a target's state for the timeline.
type Change struct {
	Target string
	What   string // warm, cold, boot, failed, expired, leaving, out, back, clear
}

// maxChanges bounds the changes kept between two calls of Changes.
const maxChanges = 1024

// Set holds the targets of one pool.
type Set struct {
	byName  map[string]*Target
	all     []*Target
	rooms   heap             // targets with room
	byDC    map[string]*heap // the same per data centre
	out     map[string]bool
	leaving map[string]bool
	gateEnd time.Duration
	changes []Change
}

// NewSet returns a set without targets.
func NewSet() *Set {
	return &Set{byName: map[string]*Target{}, byDC: map[string]*heap{}}
}

// Target returns the target with the name, or nil.
func (s *Set) Target(name string) *Target { return s.byName[name] }

// Targets returns all targets. The slice must not be changed.
func (s *Set) Targets() []*Target { return s.all }

// Changes returns and clears the state changes since the last call. The slice
// is reused.
func (s *Set) Changes() []Change {
	c := s.changes
	s.changes = s.changes[:0]
	return c
}

func (s *Set) changed(t *Target, _ time.Duration, what string) {
	if len(s.changes) < maxChanges {
		s.changes = append(s.changes, Change{t.Name, what})
	}
}

// Configure replaces the configuration. New targets start cold. A target that
// is no longer configured gets nothing new and goes once its work has ended.
func (s *Set) Configure(targets []Config, now time.Duration) {
	keep := make(map[string]bool, len(targets))
	for _, c := range targets {
		c.WarmCapacity = max(1, c.WarmCapacity)
		c.ColdCapacity = min(max(1, c.ColdCapacity), c.WarmCapacity)
		keep[c.Name] = true
		t := s.byName[c.Name]
		if t == nil {
			t = &Target{limit: c.ColdCapacity, set: s, pos: [2]int{-1, -1}, gated: now < s.gateEnd, gateEnd: s.gateEnd}
			s.byName[c.Name] = t
			s.all = append(s.all, t)
		}
		s.leaveHeaps(t)
		t.Config, t.removed = c, false
		t.limit = min(max(t.limit, c.ColdCapacity), c.WarmCapacity)
	}
	for _, t := range s.all {
		t.removed = !keep[t.Name]
	}
	s.refreshAll(now)
}

// SetOut sets the data centres that are out of service.
func (s *Set) SetOut(out map[string]bool, now time.Duration) {
	s.out = out
	s.refreshAll(now)
}

// SetLeaving sets the names of the targets that are leaving.
func (s *Set) SetLeaving(leaving map[string]bool, now time.Duration) {
	s.leaving = leaving
	s.refreshAll(now)
}

// Gate keeps all targets, those configured until then included, free of new work
// until each has sent a load report or the time has come. A new owner uses it
// because work of a dead router is known to the targets alone.
func (s *Set) Gate(until, now time.Duration) {
	s.gateEnd = until
	for _, t := range s.all {
		t.gated, t.gateEnd = true, until
		s.refresh(t, now)
	}
}

func (s *Set) refreshAll(now time.Duration) {
	kept := s.all[:0]
	for _, t := range s.all {
		s.markAway(t, now)
		s.refresh(t, now)
		if t.removed && t.used == 0 {
			delete(s.byName, t.Name)
			continue
		}
		kept = append(kept, t)
	}
	clear(s.all[len(kept):])
	s.all = kept
}

// markAway updates whether the target is leaving or out. A target that comes
// back has to show that it is warm again.
func (s *Set) markAway(t *Target, now time.Duration) {
	was := t.leaving || t.out
	t.leaving, t.out = s.leaving[t.Name], s.out[t.DataCentre]
	switch {
	case t.leaving && !was:
		s.changed(t, now, "leaving")
	case t.out && !was:
		s.changed(t, now, "out")
	case was && !t.leaving && !t.out:
		s.changed(t, now, "back")
		t.warm = false
		t.limit = t.ColdCapacity
	}
}

// Pick returns the target with the largest free share of its limit, or nil if
// none has room. Equal shares prefer the data centre; the target named avoid is
// taken only if no other has room.
func (s *Set) Pick(dataCentre, avoid string) *Target {
	best := s.rooms.best(avoid)
	if best == nil {
		return s.rooms.top()
	}
	if near := s.byDC[dataCentre]; near != nil {
		if t := near.best(avoid); t != nil && t.free() >= best.free() {
			return t
		}
	}
	return best
}

// Begin counts work that is granted now.
func (s *Set) Begin(t *Target, w *Work, now time.Duration) {
	*w = Work{started: now}
	s.link(t, w)
	t.live.set(t.used-t.orphans, now, t.ReportLag)
	s.refresh(t, now)
}

// Adopt counts work that a router reports as started under a former owner.
func (s *Set) Adopt(t *Target, w *Work, started time.Duration, confirmed bool, now time.Duration) {
	*w = Work{started: started, confirmed: confirmed}
	s.link(t, w)
	t.live.set(t.live.value, now, t.ReportLag)
	t.live.shift(1)
	if t.foreign > 0 {
		t.foreign--
	}
	s.refresh(t, now)
}

func (s *Set) link(t *Target, w *Work) {
	w.target = t
	w.next = t.works
	if w.next != nil {
		w.next.prev = w
	}
	t.works = w
	t.used++
	if !w.confirmed {
		t.unconfirmed++
	}
}

func (s *Set) unlink(w *Work, now time.Duration) {
	t := w.target
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		t.works = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	}
	t.used--
	if !w.confirmed {
		t.unconfirmed--
	}
	if w.orphan {
		t.orphans--
	}
	w.target, w.prev, w.next = nil, nil, nil
	t.live.set(t.used-t.orphans, now, t.ReportLag)
}

// Confirm handles the first byte of a response.
func (s *Set) Confirm(w *Work, warmth api.Warmth, boot uint64, now time.Duration) {
	t := w.target
	if t == nil {
		return
	}
	w.seen, w.cold = true, warmth == api.WarmthCold
	if t.observe(warmth, boot, now) {
		t.confirm(w)
		t.grow(now)
	}
	s.refresh(t, now)
}

// Acknowledge confirms work by a full report of its router. It is no evidence
// of the target's present state.
func (s *Set) Acknowledge(w *Work, now time.Duration) {
	if t := w.target; t != nil {
		t.confirm(w)
		s.refresh(t, now)
	}
}

func (t *Target) confirm(w *Work) {
	if !w.confirmed {
		w.confirmed = true
		t.unconfirmed--
	}
}

// End handles the end of work and frees its slot. The warmth of the head is not
// a new sign if Confirm has reported it before.
func (s *Set) End(w *Work, o api.Outcome, now time.Duration) {
	t := w.target
	if t == nil {
		return
	}
	old := o.Boot != 0 && o.Boot < t.boot
	if !w.seen {
		w.cold = o.Warmth == api.WarmthCold
		t.observe(o.Warmth, o.Boot, now)
	} else {
		t.observe(api.WarmthUnknown, o.Boot, now)
	}
	switch {
	case old:
	case o.Result == api.ResultFailed:
		t.fail(now, "failed")
	case o.Result == api.ResultOK && !w.cold:
		t.grow(now)
	}
	s.unlink(w, now)
	s.refresh(t, now)
}

// Discard forgets work that was never started.
func (s *Set) Discard(w *Work, now time.Duration) {
	if t := w.target; t != nil {
		s.unlink(w, now)
		s.refresh(t, now)
	}
}

// Orphan marks work whose router is dead. It counts until a report of the
// target clears it or the request limit has passed.
func (s *Set) Orphan(w *Work, now time.Duration) {
	t := w.target
	if t == nil || w.orphan {
		return
	}
	w.orphan, w.orphaned = true, now
	t.orphans++
	t.live.set(t.live.value, now, t.ReportLag)
	t.live.shift(-1)
}

// Restore takes back the mark of Orphan: the router has reported the work.
func (s *Set) Restore(w *Work, now time.Duration) {
	if t := w.target; t != nil && w.orphan {
		w.orphan = false
		t.orphans--
		t.live.set(t.live.value, now, t.ReportLag)
		t.live.shift(1)
	}
}

// Tick handles the passing of time. It costs one step for each target.
func (s *Set) Tick(now time.Duration) {
	gone := false
	for _, t := range s.all {
		if t.warm && now-t.evidence > t.EvidenceLife {
			t.chill(now, "expired")
		}
		if t.gated && now >= t.gateEnd {
			t.gated = false
		}
		if t.orphans > 0 {
			s.expire(t, now)
		}
		s.refresh(t, now)
		gone = gone || (t.removed && t.used == 0)
	}
	if gone {
		s.refreshAll(now)
	}
}

// expire drops orphans that have outlived the request limit.
func (s *Set) expire(t *Target, now time.Duration) {
	for w := t.works; w != nil; {
		next := w.next
		if w.orphan && now-w.started > t.RequestLimit {
			s.unlink(w, now)
		}
		w = next
	}
}
