package limits

import (
	"math"
	"time"

	"nutmegrouter/internal/api"
)

// Config describes one target.
type Config struct {
	Name       string
	DataCentre string
	// WarmCapacity and ColdCapacity are concurrent requests.
	WarmCapacity int
	ColdCapacity int
	// EvidenceLife is how long evidence of warmth lasts.
	EvidenceLife time.Duration
	// ReportLag is the largest lag of a load report.
	ReportLag time.Duration
	// RequestLimit bounds how long work of a dead router counts.
	RequestLimit time.Duration
}

const (
	// firstPause is the pause of a target after a failure. Without it a dead
	// target, which always looks free, would draw in all waiting requests.
	firstPause = 100 * time.Millisecond
	// maxPause bounds the pause, which doubles with each failure in a row.
	maxPause = 2 * time.Second
	// steadyChange is the largest change of a mean count between two windows that
	// counts as steady.
	steadyChange = 0.5
)

// Work is one request on a target.
type Work struct {
	target    *Target
	started   time.Duration
	confirmed bool
	seen      bool // the head of the response was seen
	cold      bool // the head said cold
	orphan    bool
	orphaned  time.Duration // when the work's router was declared dead
	prev      *Work
	next      *Work
}

// Target returns the target that carries the work; nil if none.
func (w *Work) Target() *Target { return w.target }

// Started returns when the work was started.
func (w *Work) Started() time.Duration { return w.started }

// Confirmed reports whether the target has confirmed the work.
func (w *Work) Confirmed() bool { return w.confirmed }

// Target is the state of one target.
type Target struct {
	Config
	set *Set

	limit       int
	used        int     // work known to the scheduler, orphans included
	unconfirmed int     // part of used without confirmation
	orphans     int     // part of used whose router is dead
	foreign     int     // work in the reports that nobody here knows of
	excess      int     // bound on foreign work and orphans by the last report
	works       *Work   // all known work, newest first
	live        history // used less orphans over the last report lag

	boot     uint64
	bootAt   time.Duration
	warm     bool          // evidence is younger than its lifetime
	evidence time.Duration // time of the newest evidence
	failures int
	paused   time.Duration // nothing new before this time
	gated    bool          // nothing new before a report or the gate's end
	gateEnd  time.Duration
	leaving  bool
	out      bool
	removed  bool

	pos [2]int // index in the heaps of all targets and of the data centre
}

// Limit returns the current limit on concurrent requests.
func (t *Target) Limit() int {
	if t.leaving || t.out || t.removed {
		return 0
	}
	return t.limit
}

// Used returns the work that counts against the limit.
func (t *Target) Used() int { return t.used + t.foreign }

// Unconfirmed returns the work that was started without confirmation.
func (t *Target) Unconfirmed() int { return t.unconfirmed }

// Orphans returns the work left behind by dead routers.
func (t *Target) Orphans() int { return t.orphans }

// Warm reports whether the target has given recent evidence of warmth.
func (t *Target) Warm() bool { return t.warm }

// room reports whether one more request may start.
func (t *Target) room(now time.Duration) bool {
	return !t.leaving && !t.out && !t.removed && !t.gated && t.paused <= now &&
		t.used+t.foreign < t.limit && t.unconfirmed < t.ColdCapacity
}

// free is the share of the limit that is free. It orders targets.
func (t *Target) free() float64 {
	return float64(t.limit-t.used-t.foreign) / float64(t.limit)
}

// grow handles evidence of warmth.
func (t *Target) grow(now time.Duration) {
	t.evidence = now
	t.failures, t.paused = 0, 0
	if !t.warm {
		t.warm = true
		t.set.changed(t, now, "warm")
	}
	if t.limit < t.WarmCapacity {
		t.limit++
	}
}

// chill handles a sign of cold.
func (t *Target) chill(now time.Duration, why string) {
	if t.warm {
		t.warm = false
		t.set.changed(t, now, why)
	}
	t.limit = min(t.ColdCapacity, t.limit)
}

// fail handles a failure of the target: cold, and paused for a while.
func (t *Target) fail(now time.Duration, why string) {
	t.chill(now, why)
	if t.paused > now {
		return
	}
	t.failures++
	pause := maxPause
	if t.failures < 6 {
		pause = min(maxPause, firstPause<<(t.failures-1))
	}
	t.paused = now + pause
}

// observe handles what the target said about itself. It reports whether that
// is evidence of warmth from the boot that is known to be the newest.
func (t *Target) observe(w api.Warmth, boot uint64, now time.Duration) bool {
	if boot != 0 && boot < t.boot {
		return false // an answer from before the restart proves nothing
	}
	if boot > t.boot {
		t.restart(boot, now)
	}
	if w == api.WarmthCold {
		t.chill(now, "cold")
	}
	return w == api.WarmthWarm
}

// restart handles a new boot number: confirmations of the former boot are void.
func (t *Target) restart(boot uint64, now time.Duration) {
	known := t.boot != 0
	t.boot, t.bootAt = boot, now
	if !known {
		return
	}
	t.chill(now, "boot")
	for w := t.works; w != nil; w = w.next {
		if w.confirmed {
			w.confirmed = false
			t.unconfirmed++
		}
	}
}

// history keeps the smallest, largest and mean value of a count over at least the
// last window and at most two windows.
type history struct {
	value, low, high  int
	lastLow, lastHigh int
	from, at          time.Duration // start of this window, time of the last change
	sum, lastSum      float64       // value times seconds
	lastSpan          time.Duration
}

func (h *history) set(v int, now, window time.Duration) {
	h.sum += float64(h.value) * (now - h.at).Seconds()
	h.at = now
	if now-h.from >= window {
		h.turn(now, window)
	}
	h.value = v
	h.low, h.high = min(h.low, v), max(h.high, v)
}

// turn starts a new window.
func (h *history) turn(now, window time.Duration) {
	h.lastLow, h.lastHigh, h.lastSum, h.lastSpan = h.low, h.high, h.sum, now-h.from
	if now-h.from >= 2*window { // no change for at least one window
		h.lastLow, h.lastHigh = h.value, h.value
		h.lastSum, h.lastSpan = float64(h.value)*window.Seconds(), window
	}
	h.low, h.high, h.from, h.sum = h.value, h.value, now, 0
}

// shift adds work that was there all the time but was counted elsewhere.
func (h *history) shift(n int) {
	h.value += n
	h.low += n
	h.high += n
	h.lastLow += n
	h.lastHigh += n
	h.sum += float64(n) * (h.at - h.from).Seconds()
	h.lastSum += float64(n) * h.lastSpan.Seconds()
}

func (h *history) bounds() (low, high int) {
	return max(0, min(h.low, h.lastLow)), max(0, h.high, h.lastHigh)
}

// steady returns the value that the count has most of the time, if it is steady.
func (h *history) steady() (int, bool) {
	span := h.at - h.from
	if h.lastSpan == 0 {
		return 0, false
	}
	last := h.lastSum / h.lastSpan.Seconds()
	if span > 0 && math.Abs(h.sum/span.Seconds()-last) > steadyChange {
		return 0, false
	}
	return int(math.Round((h.sum + h.lastSum) / (span + h.lastSpan).Seconds())), true
}
