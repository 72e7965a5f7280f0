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
