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
// long its caller has already waited. A retry has the hash of a refused request, and its
// caller's deadline is that request's. A request without a stated deadline counts as new: if
// it were taken for a retry, the requests of a session could be refused without an end.
type retryTracker struct {
	current, previous map[refusalKey]refusedRequest
	rotatedAt         time.Duration
}

// refusalKey finds the record of a refused request.
type refusalKey struct {
	hash         RequestHash
	deadlineSlot int64
}

// refusedRequest is what the first attempt of a refused request has told.
type refusedRequest struct {
	identity    RequestIdentity
	objectiveAt time.Duration // when its first event was due
}

func newRetryTracker() *retryTracker {
	return &retryTracker{current: map[refusalKey]refusedRequest{}, previous: map[refusalKey]refusedRequest{}}
}

// recordRefusal stores a refused request with the time at which its first event was due. For a
// retry it keeps the first attempt's times, so that a record describes no other request than
// that one however often it is renewed.
func (r *retryTracker) recordRefusal(id RequestIdentity, objectiveAt, now time.Duration) {
	refused, isRetry := r.firstAttempt(id) // before its record is dropped
	r.rotate(now)
	if id.Hash == 0 || id.CallerDeadline == 0 {
		return
	}
	if !isRetry {
		refused = refusedRequest{id, objectiveAt}
	}
	if len(r.current) < maxTrackedRefusals {
		r.current[refusalKey{refused.identity.Hash, refused.identity.deadlineSlot()}] = refused
	}
}

// firstAttempt returns the refused request of which a request is a retry, if there is one. Of
// several it is the one with the nearest deadline.
func (r *retryTracker) firstAttempt(id RequestIdentity) (first refusedRequest, isRetry bool) {
	if id.Hash == 0 || id.CallerDeadline == 0 {
		return refusedRequest{}, false
	}
	nearest := deadlineTolerance
	for _, generation := range [...]map[refusalKey]refusedRequest{r.current, r.previous} {
		for slot := id.deadlineSlot() - 1; slot <= id.deadlineSlot()+1; slot++ {
			refused, ok := generation[refusalKey{id.Hash, slot}]
			if difference := refused.identity.deadlineDifference(id); ok && difference <= nearest {
				first, isRetry, nearest = refused, true, difference
			}
		}
	}
	return first, isRetry
}

// rotate starts a new generation every refusalTTL and drops the oldest one.
func (r *retryTracker) rotate(now time.Duration) {
	if now-r.rotatedAt < refusalTTL {
		return
	}
	r.rotatedAt = now
	r.previous, r.current = r.current, make(map[refusalKey]refusedRequest, len(r.current))
}
