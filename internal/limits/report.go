package limits

import (
	"time"

	"nutmegrouter/internal/api"
)

// Report is a load report of a target. Boot is its boot number, 0 if unknown.
type Report struct {
	Warmth  api.Warmth
	Boot    uint64
	Running int // requests running
	Queued  int // requests admitted but not yet running
}

// maxReportedCount limits implausible counts in a report.
const maxReportedCount = 1 << 20

// Report handles a load report that was received now. The report describes the
// target at some time within the last ReportLag. Reports of unknown targets are
// ignored.
func (s *Set) Report(name string, r Report, now time.Duration) {
	t := s.byName[name]
	if t == nil {
		return
	}
	t.awaitingReport = false
	if r.Boot != 0 && r.Boot < t.boot && now-t.bootAt > t.ReportLag {
		t.recordBoot(r.Boot, now) // the target has reset its boot counter
	}
	currentBoot := r.Boot == 0 || r.Boot >= t.boot
	if t.observe(r.Warmth, r.Boot, now) {
		t.confirmBefore(now - t.ReportLag)
		t.recordEvidence(now)
	}
	if currentBoot {
		s.reconcile(t, r.total(), now)
	}
	s.updateHeaps(t, now)
}

func (r Report) total() int {
	return min(max(0, r.Running), maxReportedCount) + min(max(0, r.Queued), maxReportedCount)
}

// PollFailed handles a poll that yielded no load report: the target no longer waits for
// its first report (see AwaitReports).
func (s *Set) PollFailed(name string, now time.Duration) {
	if t := s.byName[name]; t != nil {
		t.awaitingReport = false
		s.updateHeaps(t, now)
	}
}

// ConnectionRefused handles a poll whose connection the target refused or reset. It counts as
// a failure of the target.
func (s *Set) ConnectionRefused(name string, now time.Duration) {
	if t := s.byName[name]; t != nil {
		t.awaitingReport = false
		t.recordFailure(now, "failed")
		s.updateHeaps(t, now)
	}
}

// confirmBefore confirms all work that was started before the given time.
func (t *Target) confirmBefore(before time.Duration) {
	for w := t.newestWork; w != nil && t.unconfirmed > 0; w = w.next {
		if w.started < before {
			t.confirm(w)
		}
	}
}

// reconcile compares the reported load with the tracked work of reachable instances
// over the last ReportLag. Load in excess of it belongs to unreachable instances: it
// is either orphaned, or untracked because it was started under a previous owner.
func (s *Set) reconcile(t *Target, reported int, now time.Duration) {
	t.liveHistory.set(t.tracked-t.orphans, now, t.ReportLag)
	low, high := t.liveHistory.bounds()
	upper, lower := t.excessBound(reported, low), max(0, reported-high)
	s.clearOrphans(t, upper, now)
	t.untracked = max(0, min(max(t.untracked, lower-t.orphans), upper-t.orphans))
}

// excessBound returns how much of the reported load may be work of unreachable
// instances. The minimum of the tracked work within the ReportLag gives a strict
// bound. Under full load the tracked work dips for a moment whenever one request ends
// and the next begins, and the strict bound would block slots for minutes. At a warm
// target with a steady mean of the tracked work, the bound therefore follows from the
// mean, as the larger value of two successive reports.
func (t *Target) excessBound(reported, low int) int {
	strict := max(0, reported-low)
	current := strict
	if mean, ok := t.liveHistory.steady(); ok && t.warm {
		current = max(0, reported-mean)
	}
	previous := t.lastExcess
	t.lastExcess = current
	return min(strict, max(current, previous))
}

// clearOrphans removes orphans in excess of limit, the number that may still run,
// starting with those that were added first. It considers only work that was already
// orphaned when the report was taken.
func (s *Set) clearOrphans(t *Target, limit int, now time.Duration) {
	eligible := 0
	reportedAt := now - t.ReportLag
	for w := t.newestWork; w != nil; {
		next := w.next
		if w.orphan && w.orphanedAt < reportedAt {
			eligible++
			if eligible > limit {
				s.unlink(w, now)
				s.recordChange(t, now, "clear")
			}
		}
		w = next
	}
}
