package placement

import (
	"time"

	"nutmegrouter/internal/api"
)

// health is what the outcomes of real work say about a target.
type health struct {
	failures float64 // ratio of the newest outcomes
	strikes  int     // failures without an answer in a row
	until    time.Duration
}

// note counts an outcome.
func (h *health) note(o api.WorkOutcome, now time.Duration) {
	switch o {
	case api.WorkServed:
		h.failures *= 1 - failureWeight
		h.strikes = 0
	case api.WorkUnreachable, api.WorkBroken, api.WorkOther, api.WorkLate:
		h.failures += failureWeight * (1 - h.failures)
		h.until = now + min(suspectFor<<min(h.strikes, 8), suspectMost)
		h.strikes++
	case api.WorkFailed, api.WorkFull:
		h.failures += failureWeight * (1 - h.failures)
	}
}
