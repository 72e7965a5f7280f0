package limits

import (
	"time"

	"nutmegrouter/internal/api"
)

// Report is what a target said about its load.
type Report struct {
	Warmth  api.Warmth
	Boot    uint64
	Running int // requests running
	Queued  int // requests admitted but not yet running
}

// maxReported bounds the counts of a report against nonsense.
const maxReported = 1 << 20

// Report handles a load report that was received now. It describes the target
// at some time within the last report lag.
func (s *Set) Report(name string, r Report, now time.Duration) {
	t := s.byName[name]
	if t == nil {
		return
	}
	t.gated = false
	if r.Boot != 0 && r.Boot < t.boot && now-t.bootAt > t.ReportLag {
		t.restart(r.Boot, now) // the target counts its boots from the start again
	}
	current := r.Boot == 0 || r.Boot >= t.boot
	if t.observe(r.Warmth, r.Boot, now) {
		t.confirmBefore(now - t.ReportLag)
		t.grow(now)
	}
	if current {
		s.reconcile(t, r.reported(), now)
	}
	s.refresh(t, now)
}

func (r Report) reported() int {
	return min(max(0, r.Running), maxReported) + min(max(0, r.Queued), maxReported)
}

// Silent handles a target that gives no load reports: it ends the gate.
func (s *Set) Silent(name string, now time.Duration) {
	if t := s.byName[name]; t != nil {
		t.gated = false
		s.refresh(t, now)
	}
}

// Refused handles a refused or reset connection to the target.
func (s *Set) Refused(name string, now time.Duration) {
	if t := s.byName[name]; t != nil {
		t.gated = false
		t.fail(now, "failed")
		s.refresh(t, now)
	}
}

// confirmBefore confirms work that was started before the time.
func (t *Target) confirmBefore(before time.Duration) {
	for w := t.works; w != nil && t.unconfirmed > 0; w = w.next {
		if w.started < before {
			t.confirm(w)
		}
	}
}

// reconcile compares the reported load with the work known over the report lag.
// What exceeds the known work of living routers is work of dead ones: orphans,
// and foreign work that was started under a former owner.
func (s *Set) reconcile(t *Target, reported int, now time.Duration) {
	t.live.set(t.used-t.orphans, now, t.ReportLag)
	low, high := t.live.bounds()
	most, least := t.bound(reported, low), max(0, reported-high)
	s.clearOrphans(t, most, now)
	t.foreign = max(0, min(max(t.foreign, least-t.orphans), most-t.orphans))
}

// bound returns how much of the reported load may be work of dead routers. The
// smallest known work within the report lag gives a strict bound. Under full load
// the known work dips for a moment whenever a slot changes hands, and the strict
// bound would keep slots blocked for minutes; so at a warm target the bound is
// taken from the usual value if that is steady and two reports agree.
func (t *Target) bound(reported, low int) int {
	strict := max(0, reported-low)
	now := strict
	if usual, ok := t.live.steady(); ok && t.warm {
		now = max(0, reported-usual)
	}
	last := t.excess
	t.excess = now
	return min(strict, max(now, last))
}

// clearOrphans drops the oldest orphans beyond the number that may still run.
// Only those count whose router was dead when the report was taken.
func (s *Set) clearOrphans(t *Target, most int, now time.Duration) {
	settled := 0
	asOf := now - t.ReportLag
	for w := t.works; w != nil; {
		next := w.next
		if w.orphan && w.orphaned < asOf {
			settled++
			if settled > most {
				s.unlink(w, now)
				s.changed(t, now, "clear")
			}
		}
		w = next
	}
}
