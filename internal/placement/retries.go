package placement

import "time"

const (
	// retryMemory is the minimum time for which a refused request is remembered. Callers retry
	// within a third of their remaining time, 5 s on both users' sites.
	retryMemory = 6 * time.Second
	// maxRememberedRefusals bounds each of the two generations, which last retryMemory each.
	// Both users' sites refuse less than 2,000 requests per second.
	maxRememberedRefusals = 30_000
)

// retryTracker detects retries of refused requests, because an attempt does not tell how
// long its caller has already waited. It identifies a request by the last part of its
// prompt, which no other request has.
type retryTracker struct {
	current, previous map[PartID]time.Duration // objective of the first attempt
	rotatedAt         time.Duration
}

func newRetryTracker() *retryTracker {
	return &retryTracker{current: map[PartID]time.Duration{}, previous: map[PartID]time.Duration{}}
}

// remember stores a refused request with the time at which its first event was due. For a
// retry it keeps the earlier time.
func (r *retryTracker) remember(uniquePart PartID, objectiveAt, now time.Duration) {
	r.rotate(now)
	if first, ok := r.firstObjective(uniquePart); ok {
		objectiveAt = min(objectiveAt, first)
	}
	if uniquePart != 0 && len(r.current) < maxRememberedRefusals {
		r.current[uniquePart] = objectiveAt
	}
}

// firstObjective returns when the first event was due for the first attempt of a request, if
// an attempt was refused recently.
func (r *retryTracker) firstObjective(uniquePart PartID) (time.Duration, bool) {
	if objectiveAt, ok := r.current[uniquePart]; ok {
		return objectiveAt, true
	}
	objectiveAt, ok := r.previous[uniquePart]
	return objectiveAt, ok
}

// rotate starts a new generation every retryMemory and drops the oldest one.
func (r *retryTracker) rotate(now time.Duration) {
	if now-r.rotatedAt < retryMemory {
		return
	}
	r.rotatedAt = now
	r.previous, r.current = r.current, make(map[PartID]time.Duration, len(r.current))
}

// uniquePart returns the last part of a prompt, which no other request has. 0 = none.
func uniquePart(prompt []Part) PartID {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[len(prompt)-1].ID
}
