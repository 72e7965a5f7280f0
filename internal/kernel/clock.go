package kernel

import "time"

// Clock tells the time since the start of the process on the monotonic clock.
// It goes on while the process is stopped by a signal.
type Clock interface {
	Now() time.Duration
}

type systemClock struct{ start time.Time }

// NewClock returns the system's monotonic clock, starting at zero.
func NewClock() Clock { return systemClock{start: time.Now()} }

// Now implements Clock.
func (c systemClock) Now() time.Duration { return time.Since(c.start) }

// Instant is a moment by two clocks of the system: the monotonic one, which stands still
// while the machine is suspended, and the time of day, which may be set.
type Instant struct{ Monotonic, Wall time.Duration }

var epoch = time.Now()

// Now returns the present Instant.
func Now() Instant {
	now := time.Now()
	return Instant{Monotonic: now.Sub(epoch), Wall: time.Duration(now.UnixNano())}
}

// Since returns the time since an earlier Instant, at least: time for which the process
// or the machine was stopped counts. A time of day that is set forward counts, too, so
// the result is fit to tell that a permission may have run out, not to measure.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall-earlier.Wall)
}

// Lapse tells a process that was stopped or delayed from one that ran: somebody looks
// often while it runs. It is not safe for concurrent use.
type Lapse struct {
	last Instant
	seen bool
}

// Look returns the time since the last look; 0 for the first one.
func (l *Lapse) Look(now Instant) time.Duration {
	took := now.Since(l.last)
	if !l.seen {
		took = 0
	}
	l.last, l.seen = now, true
	return took
}

// Forget makes the next look the first one, after a time without looks.
func (l *Lapse) Forget() { l.seen = false }
