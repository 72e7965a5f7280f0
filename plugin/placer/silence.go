package placer

import "time"

const (
	// pulseEvery separates the looks at the owner's silence.
	pulseEvery = 50 * time.Millisecond
	// pulseMost is the most that one look adds. A process that was frozen or has no
	// processor time left finds the owner's messages unread, not missing.
	pulseMost = 2 * pulseEvery
)

// silence measures for how long the owner has said nothing while this process ran.
type silence struct {
	last  time.Duration // look, or message of the owner
	total time.Duration
}

// heard begins anew.
func (s *silence) heard(now time.Duration) { s.last, s.total = now, 0 }

// look adds the time since the last look and returns the silence.
func (s *silence) look(now time.Duration) time.Duration {
	s.total += min(now-s.last, pulseMost)
	s.last = now
	return s.total
}
