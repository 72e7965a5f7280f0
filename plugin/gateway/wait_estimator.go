package gateway

import (
	"sync"
	"time"
)

// deadlineSpread is the fraction by which the deadlines of first attempts on one route
// differ: they are 0.85 to 1.0 of the longest one.
const deadlineSpread = 0.15

// waitEstimator estimates how long callers have waited in earlier attempts. The deadline
// header carries a caller's whole waiting time on its first attempt and the remaining
// time on a retry, so the longest deadline of a route approximates the whole time. It is
// safe for concurrent use; the zero value is ready to use.
type waitEstimator struct {
	mu          sync.Mutex
	maxDeadline map[string]time.Duration // by route name
}

// earlierWait returns a lower bound of the time that a caller has spent on earlier
// attempts, given the deadline of this attempt (0 = none). A deadline within
// deadlineSpread of the longest counts as a first attempt: if it were taken for a retry,
// a request that can still meet its deadline would be refused.
func (e *waitEstimator) earlierWait(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.maxDeadline == nil {
		e.maxDeadline = map[string]time.Duration{}
	}
	e.maxDeadline[route] = max(e.maxDeadline[route], deadline)
	return max(0, time.Duration((1-deadlineSpread)*float64(e.maxDeadline[route]))-deadline)
}
