package placement

import "time"

const (
	// floodWindow is the time over which refusals of a workspace are counted.
	floodWindow = time.Second
	// floodFree is the number of refusals in the window that hold nothing back.
	floodFree = 120
	// floodStep is how long requests of a workspace are held back after a refusal,
	// for each refusal in the window beyond the free ones; floodMost is the bound.
	floodStep = 500 * time.Microsecond
	floodMost = 100 * time.Millisecond
	// floodAdvice is the advice for each floodFree refusals in the window: the more
	// callers come, the longer it takes until one more has a chance. Callers seldom
	// wait for longer than floodAdviceMost.
	floodAdvice     = 500 * time.Millisecond
	floodAdviceMost = 4 * time.Second
)

// Flood spares the owner the requests of a workspace that sends many times its
// share through one entry instance: after a refusal its next requests are refused
// here for a moment. It answers for the load of one workspace's callers that come
// again at once. It is not safe for concurrent use.
type Flood struct {
	byName map[string]*flooded
}

type flooded struct {
	slot     int64
	refusals [2]int // of the window under way and the one before
	until    time.Duration
}

// NewFlood returns a Flood that holds nothing back.
func NewFlood() *Flood { return &Flood{byName: map[string]*flooded{}} }

// Refused notes that the owner refused a request because its workspace exceeds its
// share.
func (f *Flood) Refused(workspace string, now time.Duration) {
	s := f.byName[workspace]
	if s == nil {
		s = &flooded{}
		f.byName[workspace] = s
	}
	s.advance(now)
	s.refusals[0]++
	if n := s.refusals[0] + s.refusals[1] - floodFree; n > 0 {
		s.until = now + min(time.Duration(n)*floodStep, floodMost)
	}
}

func (s *flooded) advance(now time.Duration) {
	slot := int64(now / floodWindow)
	switch slot - s.slot {
	case 0:
	case 1:
		s.refusals = [2]int{0, s.refusals[0]}
	default:
		s.refusals = [2]int{}
	}
	s.slot = slot
}

// Held returns how long requests of a workspace are held back; 0 = not at all.
func (f *Flood) Held(workspace string, now time.Duration) time.Duration {
	s := f.byName[workspace]
	if s == nil {
		return 0
	}
	if s.until <= now {
		if int64(now/floodWindow)-s.slot > 1 {
			delete(f.byName, workspace) // no refusal in the window counts any more
		}
		return 0
	}
	s.advance(now)
	s.refusals[0]++
	return s.until - now
}

// Advice returns after what time a caller of a workspace that is held back may come
// again.
func (f *Flood) Advice(workspace string) time.Duration {
	s := f.byName[workspace]
	if s == nil {
		return floodAdvice
	}
	n := float64(s.refusals[0]+s.refusals[1]) / floodFree
	return max(floodAdvice, min(floodAdviceMost, time.Duration(n*float64(floodAdvice))))
}
