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

// ClockReading is a point in time on two clocks of the system: the monotonic clock, which
// stands still while the machine is suspended, and the wall clock, which may be set.
// Monotonic counts from the start of the process, Wall from the Unix epoch.
type ClockReading struct{ Monotonic, Wall time.Duration }

var epoch = time.Now()

// ReadClocks returns the current ClockReading.
func ReadClocks() ClockReading {
	now := time.Now()
	return ClockReading{Monotonic: now.Sub(epoch), Wall: time.Duration(now.UnixNano())}
}

// Since returns the longer of the times that have passed on the two clocks since an
// earlier reading, so that a suspension of the process or the machine counts. A wall
// clock that is set forward counts, too. The result may therefore be longer than the true
// time: use it to check whether a lease may have expired, not to measure.
func (r ClockReading) Since(earlier ClockReading) time.Duration {
	return max(r.Monotonic-earlier.Monotonic, r.Wall-earlier.Wall)
}

// SuspensionDetector detects suspensions and delays of the process: its user calls
// Elapsed at short intervals, and a long time between two calls means that the process
// did not run. It is not safe for concurrent use.
type SuspensionDetector struct {
	last    ClockReading // of the previous call of Elapsed
	started bool         // last is set
}

// Elapsed returns the time since the previous call; 0 for the first one.
func (d *SuspensionDetector) Elapsed(now ClockReading) time.Duration {
	elapsed := now.Since(d.last)
	if !d.started {
		elapsed = 0
	}
	d.last, d.started = now, true
	return elapsed
}

// Reset makes the next call of Elapsed the first one. It is called when there was no
// reason to call Elapsed for a while, so that this time does not count as a suspension.
func (d *SuspensionDetector) Reset() { d.started = false }
