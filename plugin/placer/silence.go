package placer

import "time"

const (
	// silenceCheckInterval is the interval of checks of the owner's silence.
	silenceCheckInterval = 50 * time.Millisecond
	// maxSilenceStep is the most that one check adds. After a suspension, or without
	// processor time, the owner's messages are unread rather than missing.
	maxSilenceStep = 2 * silenceCheckInterval
)

// silenceTimer measures how long the owner has sent no message while this process was
// running.
type silenceTimer struct {
	lastCheck time.Duration // time of the last check or message of the owner
	elapsed   time.Duration
}

// reset sets the silence to zero.
func (s *silenceTimer) reset(now time.Duration) { s.lastCheck, s.elapsed = now, 0 }

// advance adds the time since the last check, at most maxSilenceStep, and returns the
// silence so far.
func (s *silenceTimer) advance(now time.Duration) time.Duration {
	s.elapsed += min(now-s.lastCheck, maxSilenceStep)
	s.lastCheck = now
	return s.elapsed
}
