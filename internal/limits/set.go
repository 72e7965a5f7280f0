package limits

import (
	"time"

	"nutmegrouter/internal/api"
)

// Change is a change of a target's state. Event is one of:
//   - "warm": evidence that the target is warm
//   - "cold", "boot", "failed", "expired": no longer warm, because the target said so,
//     restarted, failed, or gave no evidence for the WarmthTTL
//   - "leaving", "out", "back": availability, see SetLeaving and SetOut
//   - "clear": orphaned work no longer counts
type Change struct {
	Target string
	Event  string
}

// maxChanges bounds the changes kept between two calls of Changes. Further changes
// are dropped.
const maxChanges = 1024

// Set holds the targets of one pool.
type Set struct {
	byName         map[string]*Target
	targets        []*Target
	available      heap             // targets with free capacity
	availableByDC  map[string]*heap // targets with free capacity, by data centre
	outDataCentres map[string]bool
	leavingTargets map[string]bool
	awaitUntil     time.Duration
	changes        []Change
}

// NewSet returns a set without targets.
func NewSet() *Set {
	return &Set{byName: map[string]*Target{}, availableByDC: map[string]*heap{}}
}

// Target returns the target with the given name, or nil.
func (s *Set) Target(name string) *Target { return s.byName[name] }

// Targets returns all targets, including removed ones with running work. The caller
// must not modify the slice.
func (s *Set) Targets() []*Target { return s.targets }

// Changes returns the state changes since the last call, at most 1024 (maxChanges).
// The next change overwrites the slice.
func (s *Set) Changes() []Change {
	c := s.changes
	s.changes = s.changes[:0]
	return c
}

func (s *Set) recordChange(t *Target, _ time.Duration, what string) {
	if len(s.changes) < maxChanges {
		s.changes = append(s.changes, Change{t.Name, what})
	}
}

// Configure replaces the list of targets. New targets start cold. A target that is
// no longer in the list gets no new work and is deleted once its work has ended.
// Capacities below 1 count as 1, and the cold capacity is at most the warm capacity.
func (s *Set) Configure(configs []Config, now time.Duration) {
	configured := make(map[string]bool, len(configs))
	for _, c := range configs {
		c.WarmCapacity = max(1, c.WarmCapacity)
		c.ColdCapacity = min(max(1, c.ColdCapacity), c.WarmCapacity)
		configured[c.Name] = true
		t := s.byName[c.Name]
		if t == nil {
			t = &Target{limit: c.ColdCapacity, set: s, heapIndex: [2]int{-1, -1},
				awaitingReport: now < s.awaitUntil, awaitUntil: s.awaitUntil}
			s.byName[c.Name] = t
			s.targets = append(s.targets, t)
		}
		s.removeFromHeaps(t)
		t.Config, t.removed = c, false
		t.limit = min(max(t.limit, c.ColdCapacity), c.WarmCapacity)
	}
	for _, t := range s.targets {
		t.removed = !configured[t.Name]
	}
	s.refreshAll(now)
}

// SetOut replaces the set of data centres that are out of service: their targets get
// no new work. The caller must not modify the map afterwards.
func (s *Set) SetOut(dataCentres map[string]bool, now time.Duration) {
	s.outDataCentres = dataCentres
	s.refreshAll(now)
}

// SetLeaving replaces the set of targets, by name, that are leaving the pool: they
// get no new work. The caller must not modify the map afterwards.
func (s *Set) SetLeaving(targets map[string]bool, now time.Duration) {
	s.leavingTargets = targets
	s.refreshAll(now)
}

// AwaitReports withholds new work from each target until it has been polled, at most
// up to the time until. It applies to all targets, including those configured before
// that time. A new owner calls it because work of an unreachable instance is visible
// only in the load reports of the targets.
func (s *Set) AwaitReports(until, now time.Duration) {
	s.awaitUntil = until
	for _, t := range s.targets {
		t.awaitingReport, t.awaitUntil = true, until
		s.updateHeaps(t, now)
	}
}

func (s *Set) refreshAll(now time.Duration) {
	remaining := s.targets[:0]
	for _, t := range s.targets {
		s.updateAvailability(t, now)
		s.updateHeaps(t, now)
		if t.removed && t.tracked == 0 {
			delete(s.byName, t.Name)
			continue
		}
		remaining = append(remaining, t)
	}
	clear(s.targets[len(remaining):])
	s.targets = remaining
}

// updateAvailability updates whether the target is leaving or out of service. A target
// that returns starts cold.
func (s *Set) updateAvailability(t *Target, now time.Duration) {
	wasUnavailable := t.leaving || t.out
	t.leaving, t.out = s.leavingTargets[t.Name], s.outDataCentres[t.DataCentre]
	switch {
	case t.leaving && !wasUnavailable:
		s.recordChange(t, now, "leaving")
	case t.out && !wasUnavailable:
		s.recordChange(t, now, "out")
	case wasUnavailable && !t.leaving && !t.out:
		s.recordChange(t, now, "back")
		t.warm = false
		t.limit = t.ColdCapacity
	}
}

// Pick returns the target with the largest free share of its limit, or nil if none
// has free capacity. Among equal shares it prefers the given data centre. It returns
// the target named avoid only if no other has free capacity.
func (s *Set) Pick(dataCentre, avoid string) *Target {
	best := s.available.topExcept(avoid)
	if best == nil {
		return s.available.top()
	}
	if local := s.availableByDC[dataCentre]; local != nil {
		if t := local.topExcept(avoid); t != nil && t.freeShare() >= best.freeShare() {
			return t
		}
	}
	return best
}

// Begin adds unconfirmed work, granted now, to the target and overwrites w.
func (s *Set) Begin(t *Target, w *Work, now time.Duration) {
	*w = Work{started: now}
	s.link(t, w)
	t.liveHistory.set(t.tracked-t.orphans, now, t.ReportLag)
	s.updateHeaps(t, now)
}

// Adopt adds work that an instance reports as started under a previous owner and
// overwrites w. If the target has untracked work, the new work counts as part of it.
func (s *Set) Adopt(t *Target, w *Work, started time.Duration, confirmed bool, now time.Duration) {
	*w = Work{started: started, confirmed: confirmed}
	s.link(t, w)
	t.liveHistory.set(t.liveHistory.value, now, t.ReportLag)
	t.liveHistory.shift(1)
	if t.untracked > 0 {
		t.untracked--
	}
	s.updateHeaps(t, now)
}

func (s *Set) link(t *Target, w *Work) {
	w.target = t
	w.next = t.newestWork
	if w.next != nil {
		w.next.prev = w
	}
	t.newestWork = w
	t.tracked++
	if !w.confirmed {
		t.unconfirmed++
	}
}

func (s *Set) unlink(w *Work, now time.Duration) {
	t := w.target
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		t.newestWork = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	}
	t.tracked--
	if !w.confirmed {
		t.unconfirmed--
	}
	if w.orphan {
		t.orphans--
	}
	w.target, w.prev, w.next = nil, nil, nil
	t.liveHistory.set(t.tracked-t.orphans, now, t.ReportLag)
}

// Confirm handles a response header. If it is evidence that the target is warm, it
// confirms the work and raises the limit by one, up to the warm capacity.
func (s *Set) Confirm(w *Work, warmth api.Warmth, boot uint64, now time.Duration) {
	t := w.target
	if t == nil {
		return
	}
	w.headerReceived, w.headerCold = true, warmth == api.WarmthCold
	if t.observe(warmth, boot, now) {
		t.confirm(w)
		t.recordEvidence(now)
	}
	s.updateHeaps(t, now)
}

// Acknowledge confirms work that a full report of its instance lists as confirmed.
// It is not evidence that the target is warm now.
func (s *Set) Acknowledge(w *Work, now time.Duration) {
	if t := w.target; t != nil {
		t.confirm(w)
		s.updateHeaps(t, now)
	}
}

func (t *Target) confirm(w *Work) {
	if !w.confirmed {
		w.confirmed = true
		t.unconfirmed--
	}
}

// End handles the outcome of work and frees its slot. It ignores the warmth in the
// outcome if Confirm has handled the response header before.
func (s *Set) End(w *Work, o api.GrantOutcome, now time.Duration) {
	t := w.target
	if t == nil {
		return
	}
	previousBoot := o.BootNumber != 0 && o.BootNumber < t.boot
	if !w.headerReceived {
		w.headerCold = o.Warmth == api.WarmthCold
		t.observe(o.Warmth, o.BootNumber, now)
	} else {
		t.observe(api.WarmthUnknown, o.BootNumber, now)
	}
	switch {
	case previousBoot:
	case o.Result == api.ResultFailed:
		t.recordFailure(now, "failed")
	case o.Result == api.ResultOK && !w.headerCold:
		t.recordEvidence(now)
	}
	s.unlink(w, now)
	s.updateHeaps(t, now)
}

// Remove removes work without an outcome: it was not started, or its outcome was
// lost.
func (s *Set) Remove(w *Work, now time.Duration) {
	if t := w.target; t != nil {
		s.unlink(w, now)
		s.updateHeaps(t, now)
	}
}

// Orphan marks work whose instance is unreachable or has restarted. The work counts
// until a load report of the target shows that it has ended, or until the
// RequestLimit has passed since its start.
func (s *Set) Orphan(w *Work, now time.Duration) {
	t := w.target
	if t == nil || w.orphan {
		return
	}
	w.orphan, w.orphanedAt = true, now
	t.orphans++
	t.liveHistory.set(t.liveHistory.value, now, t.ReportLag)
	t.liveHistory.shift(-1)
}

// Restore reverses Orphan after the instance has reported the work again.
func (s *Set) Restore(w *Work, now time.Duration) {
	if t := w.target; t != nil && w.orphan {
		w.orphan = false
		t.orphans--
		t.liveHistory.set(t.liveHistory.value, now, t.ReportLag)
		t.liveHistory.shift(1)
	}
}

// Tick handles the expiry of evidence, back-offs, orphans and the wait for first
// reports (see AwaitReports). It visits every target.
func (s *Set) Tick(now time.Duration) {
	removable := false
	for _, t := range s.targets {
		if t.warm && now-t.lastEvidence > t.WarmthTTL {
			t.markCold(now, "expired")
		}
		if t.awaitingReport && now >= t.awaitUntil {
			t.awaitingReport = false
		}
		if t.orphans > 0 {
			s.expireOrphans(t, now)
		}
		s.updateHeaps(t, now)
		removable = removable || (t.removed && t.tracked == 0)
	}
	if removable {
		s.refreshAll(now)
	}
}

// expireOrphans removes orphans that started more than the RequestLimit ago.
func (s *Set) expireOrphans(t *Target, now time.Duration) {
	for w := t.newestWork; w != nil; {
		next := w.next
		if w.orphan && now-w.started > t.RequestLimit {
			s.unlink(w, now)
		}
		w = next
	}
}
