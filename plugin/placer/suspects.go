package placer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// blockedRetryAfter is the retry delay of a blocked request that is due to be tried while no owner
// responds: only an owner lets just one of its repeats pass.
const blockedRetryAfter = 2 * time.Second

const requestCrashesMessage = "targets crash when they run the request"

// suspicion is what the owner has told of a request with which targets have crashed. The zero value is
// a request of which it has told nothing.
type suspicion struct {
	fingerprint api.Fingerprint
	blocked     bool
	remaining   time.Duration // until a repeat of a blocked request may be tried
}

func (s suspicion) suspect() bool { return s.fingerprint != api.Fingerprint{} }

// findSuspicion returns what is known of a request. A stream that is resumed has been answered.
func (p *Placer) findSuspicion(w *api.PlacementRequest) suspicion {
	if w.Resumed {
		return suspicion{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	f, blocked, remaining := p.suspects.Find(w.Identity, p.clock.Now())
	return suspicion{f, blocked, remaining}
}

// crashRefusal refuses a request with which targets crash.
func (p *Placer) crashRefusal(retryAfter time.Duration) *api.Refusal {
	return &api.Refusal{
		Code: placement.CodeRequestCrashes, Status: 503, Run: api.NotRun, Step: "place",
		Message: requestCrashesMessage, RetryAfter: retryAfter, LogAttrs: []any{"by", "entry"},
	}
}

// setSuspects replaces the list of suspect requests by the owner's. The lock must be held.
func (p *Placer) setSuspects(raw json.RawMessage, now time.Duration) error {
	var requests []placewire.SuspectRequest
	if err := json.Unmarshal(raw, &requests); err != nil {
		return errors.WithMessage(err, placewire.MethodDown)
	}
	p.suspects.Set(placewire.SuspectsToPlacement(requests), now)
	p.listsOnce.Do(func() { close(p.listsKnown) })
	return nil
}

// startTimeout is how long after the start of the process requests wait for the first lists of the
// owner: without them this instance would send what all others refuse.
const startTimeout = time.Second

// awaitLists waits for the first lists of the owner, at most until startTimeout. The error is that of
// the context.
func (p *Placer) awaitLists(ctx context.Context) error {
	select {
	case <-p.listsKnown:
		return nil
	default:
	}
	remaining := p.startedAt + startTimeout - p.clock.Now()
	if remaining <= 0 {
		return nil
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-p.listsKnown:
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
