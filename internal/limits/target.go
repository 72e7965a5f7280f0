package limits

import (
	"math"
	"time"

	"nutmegrouter/internal/api"
)

// Config is the configuration of one target.
type Config struct {
	Name       string
	DataCentre string
	// WarmCapacity and ColdCapacity are the largest numbers of concurrent requests
	// while the target is warm and cold. ColdCapacity also limits unconfirmed
	// requests.
	WarmCapacity int
	ColdCapacity int
	// WarmthTTL is how long a target counts as warm after the newest evidence.
	WarmthTTL time.Duration
	// ReportLag is the largest age of the state that a load report describes.
	ReportLag time.Duration
	// RequestLimit is how long orphaned work counts at most, from its start.
	RequestLimit time.Duration
}

const (
	// initialBackoff is how long a target gets no new work after a failure. Without
	// it a failed target, which always looks free, would attract all waiting requests.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff bounds the back-off, which doubles with each consecutive failure.
	maxBackoff = 2 * time.Second
	// maxSteadyChange is the largest difference between the mean counts of two
	// successive windows at which the count is considered steady.
	maxSteadyChange = 0.5
)

// Work is one request that was granted on a target. It belongs to one Set.
type Work struct {
	target         *Target
	started        time.Duration
	confirmed      bool
	headerReceived bool // Confirm has handled the response header
	headerCold     bool // the response header said that the target is cold
	orphan         bool
	orphanedAt     time.Duration // when Orphan was called
	prev           *Work
	next           *Work
}

// Target returns the target of the work, or nil if the work is not on a target.
func (w *Work) Target() *Target { return w.target }

// Started returns the time passed to Begin or Adopt as the start of the work.
func (w *Work) Started() time.Duration { return w.started }

// Confirmed reports whether the work is confirmed: evidence or a full report of its
// instance has shown that the target was warm after the start of the work, and the
// target has not restarted since.
func (w *Work) Confirmed() bool { return w.confirmed }

// Target is the state of one target. Its Set updates it.
type Target struct {
	Config
	set *Set

	limit       int
	tracked     int          // work on the list newestWork, orphans included
	unconfirmed int          // part of tracked without confirmation
	orphans     int          // part of tracked whose instance is unreachable
	untracked   int          // reported work that is not in tracked
	lastExcess  int          // bound on untracked work and orphans by the last report
	newestWork  *Work        // head of the list of tracked work, last added first
	liveHistory countHistory // tracked minus orphans over the last ReportLag

	boot           uint64        // newest boot number; 0 = unknown
	bootAt         time.Duration // when boot was first seen
	warm           bool          // the newest evidence is at most WarmthTTL old
	lastEvidence   time.Duration // time of the newest evidence that the target is warm
	failures       int           // consecutive failures
	backoffUntil   time.Duration // no new work before this time
	awaitingReport bool          // no new work before a poll or awaitUntil
	awaitUntil     time.Duration
	leaving        bool
	out            bool
	removed        bool

	heapIndex [2]int // index in the heaps heapOfAll and heapOfDataCentre; -1 = not in the heap
}

// Limit returns the current limit on concurrent requests. It is 0 while the target is
// leaving, out of service or removed.
func (t *Target) Limit() int {
	if t.leaving || t.out || t.removed {
		return 0
	}
	return t.limit
}

// Used returns the number of requests that count against the limit, including
// orphaned and untracked ones.
func (t *Target) Used() int { return t.tracked + t.untracked }

// Unconfirmed returns the number of tracked requests that are not confirmed.
func (t *Target) Unconfirmed() int { return t.unconfirmed }

// Orphans returns the number of tracked requests whose instances are unreachable or
// have restarted.
func (t *Target) Orphans() int { return t.orphans }

// Warm reports whether there is evidence within the WarmthTTL that the target is
// warm.
func (t *Target) Warm() bool { return t.warm }

// hasCapacity reports whether one more request may start.
func (t *Target) hasCapacity(now time.Duration) bool {
	return !t.leaving && !t.out && !t.removed && !t.awaitingReport && t.backoffUntil <= now &&
		t.tracked+t.untracked < t.limit && t.unconfirmed < t.ColdCapacity
}

// freeShare returns the part of the limit that is free, at most 1.
func (t *Target) freeShare() float64 {
	return float64(t.limit-t.tracked-t.untracked) / float64(t.limit)
}

// recordEvidence handles evidence that the target is warm: it raises the limit by one
// and ends a back-off.
func (t *Target) recordEvidence(now time.Duration) {
	t.lastEvidence = now
	t.failures, t.backoffUntil = 0, 0
	if !t.warm {
		t.warm = true
		t.set.recordChange(t, now, "warm")
	}
	if t.limit < t.WarmCapacity {
		t.limit++
	}
}

// markCold handles a sign that the target is cold. The reason is the Event of a Change.
func (t *Target) markCold(now time.Duration, reason string) {
	if t.warm {
		t.warm = false
		t.set.recordChange(t, now, reason)
	}
	t.limit = min(t.ColdCapacity, t.limit)
}

// recordFailure marks the target cold and starts a back-off. Failures during a
// back-off do not extend it.
func (t *Target) recordFailure(now time.Duration, reason string) {
	t.markCold(now, reason)
	if t.backoffUntil > now {
		return
	}
	t.failures++
	backoff := maxBackoff
	if t.failures < 6 {
		backoff = min(maxBackoff, initialBackoff<<(t.failures-1))
	}
	t.backoffUntil = now + backoff
}

// observe handles the warmth and boot number in a response or load report. It reports
// whether they are evidence that the target is warm since its newest known boot.
func (t *Target) observe(w api.Warmth, boot uint64, now time.Duration) bool {
	if boot != 0 && boot < t.boot {
		return false // sent before the restart
	}
	if boot > t.boot {
		t.recordBoot(boot, now)
	}
	if w == api.WarmthCold {
		t.markCold(now, "cold")
	}
	return w == api.WarmthWarm
}

// recordBoot handles a new boot number. It marks the target cold and its work
// unconfirmed, unless the previous boot number is unknown.
func (t *Target) recordBoot(boot uint64, now time.Duration) {
	known := t.boot != 0
	t.boot, t.bootAt = boot, now
	if !known {
		return
	}
	t.markCold(now, "boot")
	for w := t.newestWork; w != nil; w = w.next {
		if w.confirmed {
			w.confirmed = false
			t.unconfirmed++
		}
	}
}

// countHistory holds the minimum, maximum and time-weighted mean of a count over at
// least the last window and at most the last two.
type countHistory struct {
	value, low, high       int
	prevLow, prevHigh      int
	windowStart, updatedAt time.Duration // start of this window, time of the last update
	sum, prevSum           float64       // integral of the value over time, in seconds
	prevSpan               time.Duration
}

// set records that the count changed to v.
func (h *countHistory) set(v int, now, window time.Duration) {
	h.sum += float64(h.value) * (now - h.updatedAt).Seconds()
	h.updatedAt = now
	if now-h.windowStart >= window {
		h.rotate(now, window)
	}
	h.value = v
	h.low, h.high = min(h.low, v), max(h.high, v)
}

// rotate starts a new window.
func (h *countHistory) rotate(now, window time.Duration) {
	h.prevLow, h.prevHigh, h.prevSum, h.prevSpan = h.low, h.high, h.sum, now-h.windowStart
	if now-h.windowStart >= 2*window { // no change for at least one window
		h.prevLow, h.prevHigh = h.value, h.value
		h.prevSum, h.prevSpan = float64(h.value)*window.Seconds(), window
	}
	h.low, h.high, h.windowStart, h.sum = h.value, h.value, now, 0
}

// shift adds n to all values of both windows, for work that ran all the time but was
// counted elsewhere.
func (h *countHistory) shift(n int) {
	h.value += n
	h.low += n
	h.high += n
	h.prevLow += n
	h.prevHigh += n
	h.sum += float64(n) * (h.updatedAt - h.windowStart).Seconds()
	h.prevSum += float64(n) * h.prevSpan.Seconds()
}

// bounds returns the minimum and maximum of both windows, at least 0.
func (h *countHistory) bounds() (low, high int) {
	return max(0, min(h.low, h.prevLow)), max(0, h.high, h.prevHigh)
}

// steady returns the rounded mean of both windows. It reports false if their means
// differ by more than maxSteadyChange or there is no complete window yet.
func (h *countHistory) steady() (int, bool) {
	span := h.updatedAt - h.windowStart
	if h.prevSpan == 0 {
		return 0, false
	}
	prevMean := h.prevSum / h.prevSpan.Seconds()
	if span > 0 && math.Abs(h.sum/span.Seconds()-prevMean) > maxSteadyChange {
		return 0, false
	}
	return int(math.Round((h.sum + h.prevSum) / (span + h.prevSpan).Seconds())), true
}
