package placement

import "time"

const (
	// refusalTTL is the minimum time for which a refused request is recorded. It exceeds the
	// longest Retry-After, maxThrottleRetryAfter.
	refusalTTL = 6 * time.Second
	// maxTrackedRefusals bounds each of the two generations, which last refusalTTL each, to
	// 5,000 refusals per second.
	maxTrackedRefusals = 30_000
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

// recordRefusal stores a refused request with the time at which its first event was due. For a
// retry it keeps the earlier time.
func (r *retryTracker) recordRefusal(uniquePart PartID, objectiveAt, now time.Duration) {
	r.rotate(now)
	if first, ok := r.firstObjective(uniquePart); ok {
		objectiveAt = min(objectiveAt, first)
	}
	if uniquePart != 0 && len(r.current) < maxTrackedRefusals {
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

// rotate starts a new generation every refusalTTL and drops the oldest one.
func (r *retryTracker) rotate(now time.Duration) {
	if now-r.rotatedAt < refusalTTL {
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
