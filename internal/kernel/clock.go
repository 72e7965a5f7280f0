package kernel

import "time"

// Clock is a monotonic clock. It goes on while the process is stopped by a signal.
type Clock interface {
	// Now returns the time since the start of the clock.
	Now() time.Duration
}

type systemClock struct{ start time.Time }

// NewClock returns the system's monotonic clock, starting at zero.
func NewClock() Clock { return systemClock{start: time.Now()} }

// Now implements Clock.
func (c systemClock) Now() time.Duration { return time.Since(c.start) }

// Instant is a point in time on two clocks of the system: the monotonic clock, which
// stands still while the machine is suspended, and the wall clock, which may be set.
// Monotonic counts from the start of the process, Wall from the Unix epoch.
type Instant struct{ Monotonic, Wall time.Duration }

var epoch = time.Now()

// Now returns the current Instant.
func Now() Instant {
	now := time.Now()
	return Instant{Monotonic: now.Sub(epoch), Wall: time.Duration(now.UnixNano())}
}

// Since returns the longer of the times that have passed on the two clocks since an
// earlier Instant, so that a suspension of the process or the machine counts. A wall
// clock that is set forward counts, too. The result may therefore be longer than the true
// time: use it to check whether a lease may have expired, not to measure.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall-earlier.Wall)
}

// Lapse detects suspensions and delays of the process: its user calls Look at short
// intervals, and a long time between two calls means that the process did not run. It
// is not safe for concurrent use.
type Lapse struct {
	last   Instant // of the previous Look
	looked bool    // last is set
}

// Look returns the time since the previous call; 0 for the first one.
func (l *Lapse) Look(now Instant) time.Duration {
	elapsed := now.Since(l.last)
	if !l.looked {
		elapsed = 0
	}
	l.last, l.looked = now, true
	return elapsed
}

// Forget makes the next call of Look the first one. It is called when there was no
// reason to call Look for a while, so that this time does not count as a suspension.
func (l *Lapse) Forget() { l.looked = false }
