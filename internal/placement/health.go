package placement

import (
	"time"

	"nutmegrouter/internal/api"
)

// health is a target's failure record, taken from the outcomes of real requests (passive
// outlier detection).
type health struct {
	failureRatio        float64       // moving average, 0 to 1
	consecutiveFailures int           // without a valid response, since the last served request
	suspectUntil        time.Duration // until then, only a last resort
}

// record updates the failure record with an outcome. After a failure without a valid
// response the target is suspect for a time that doubles with each further one.
func (h *health) record(o api.AttemptOutcome, now time.Duration) {
	switch o {
	case api.AttemptServed:
		h.failureRatio *= 1 - failureWeight
		h.consecutiveFailures = 0
	case api.AttemptUnreachable, api.AttemptIncomplete, api.AttemptWrongTarget, api.AttemptTimedOut:
		h.failureRatio += failureWeight * (1 - h.failureRatio)
		h.suspectUntil = now + min(initialSuspectTime<<min(h.consecutiveFailures, 8), maxSuspectTime)
		h.consecutiveFailures++
	case api.AttemptFailed, api.AttemptTargetFull:
		h.failureRatio += failureWeight * (1 - h.failureRatio)
	}
}
