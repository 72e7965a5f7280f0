package placement

import (
	"math"
	"time"
)

const (
	// forwardShareTTL is how long an entry instance applies the latest share from the owner.
	forwardShareTTL = time.Second
	// maxShareAge is how long a share is applied at most while the owner is silent.
	maxShareAge = 10 * time.Second
	// throttleRetryAfter is the Retry-After of throttled callers if nearly all requests are
	// forwarded. It grows inversely with the forwarded share, because a retry is then less
	// likely to pass. The maximum is about as long as callers wait.
	throttleRetryAfter    = 500 * time.Millisecond
	maxThrottleRetryAfter = 4 * time.Second
)

// Throttle throttles overloaded workspaces at an entry instance: it refuses part of their
// requests on the owner's behalf and lets the share pass that the owner has set. It bounds
// the load of one workspace that sends many times its share through one instance. It is not
// safe for concurrent use.
type Throttle struct {
	byWorkspace map[string]forwardLimit
}

type forwardLimit struct {
	share            float64
	setAt, expiresAt time.Duration
}

// NewThrottle returns a Throttle that throttles no workspace.
func NewThrottle() *Throttle { return &Throttle{byWorkspace: map[string]forwardLimit{}} }

// SetShare sets the share of a workspace's requests that pass, from 0 to 1; 1 ends the
// throttling. The setting expires after 1 s (forwardShareTTL).
func (th *Throttle) SetShare(workspace string, share float64, now time.Duration) {
	if share >= 1 {
		delete(th.byWorkspace, workspace)
		return
	}
	th.byWorkspace[workspace] = forwardLimit{share: share, setAt: now, expiresAt: now + forwardShareTTL}
}

// Hold keeps the shares that have not expired for a further 1 s (forwardShareTTL), at most until 10 s
// (maxShareAge) after they were set. It is called while the owner is silent: what it last refused would
// otherwise be placed without it.
func (th *Throttle) Hold(now time.Duration) {
	for workspace, limit := range th.byWorkspace {
		if limit.expiresAt <= now {
			continue
		}
		limit.expiresAt = max(limit.expiresAt, min(now+forwardShareTTL, limit.setAt+maxShareAge))
		th.byWorkspace[workspace] = limit
	}
}

// Refuses reports whether a request is throttled, that is, refused by the entry instance. It
// depends on the identity of the request, and not on chance or on its session: a retry through
// another instance with the same share gets the same result. callerDeadline is when its caller
// stops waiting, on the wall clock, which instances share; without one it is the present time.
func (th *Throttle) Refuses(workspace string, hash RequestHash, callerDeadline, now time.Duration) bool {
	limit, ok := th.byWorkspace[workspace]
	if !ok {
		return false
	}
	if limit.expiresAt <= now {
		delete(th.byWorkspace, workspace)
		return false
	}
	return float64(mix(drawOf(hash, callerDeadline), hashName(workspace)))/math.MaxUint64 >= limit.share
}

// drawPeriod is the time for which requests with the same hash are drawn alike, by their callers'
// deadlines. The deadlines of the attempts of one request differ by a small part of it, those of
// requests that a session repeats word for word mostly by more.
const drawPeriod = 2 * time.Second

// drawOf returns the number by which a request is drawn. The periods of different hashes begin at
// different times, so that not all callers who repeat a request are drawn anew at once.
func drawOf(hash RequestHash, callerDeadline time.Duration) uint64 {
	offset := time.Duration(mix(uint64(hash), 0) % uint64(drawPeriod))
	return mix(uint64(hash), uint64((callerDeadline+offset)/drawPeriod))
}

// Share returns the share of a workspace's requests that pass, 1 if it is not throttled. It
// does not check whether the setting has expired.
func (th *Throttle) Share(workspace string) float64 {
	if limit, ok := th.byWorkspace[workspace]; ok {
		return limit.share
	}
	return 1
}

// RetryAfter returns the Retry-After for throttled callers of a workspace.
func (th *Throttle) RetryAfter(workspace string) time.Duration {
	return min(maxThrottleRetryAfter, time.Duration(float64(throttleRetryAfter)/th.Share(workspace)))
}
