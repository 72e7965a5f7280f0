package fleetstate

import (
	"nutmegrouter/internal/api"
)

const (
	// claimTTLMs is the time after which a claim and its outcome expire.
	claimTTLMs = 24 * 60 * 60 * 1000
	// maxOutcomeBytes bounds a stored body. Of a longer one only the mark that it was
	// truncated is stored.
	maxOutcomeBytes = 4 << 10
	// maxClaims bounds the number of stored claims. It is reached at 4.6 keyed requests
	// per second for a whole day. Further claims are refused, so that no key is dropped
	// before it expires.
	maxClaims = 400_000
	// maxStoredBodyBytes bounds all stored bodies together, because they are part of
	// every snapshot. Beyond it outcomes are stored without a body.
	maxStoredBodyBytes = 32 << 20
)

// claimsFullText is the Error of a Result for a claim that is refused because the maximum
// number of claims is stored.
const claimsFullText = "fleetstate: too many claims are stored"

// claimReleased is the state of a claim whose request was certainly not run. The claim is
// kept until it expires, so that a delayed copy of the holder's claim command does not
// claim the key again.
const claimReleased api.ClaimState = "released"

// claim is the claim of one key.
type claim struct {
	Key    api.ClaimKey   `json:"key"`
	Holder string         `json:"holder"`
	State  api.ClaimState `json:"state"`
	UnixMs int64          `json:"ms"` // time of the claim
	// QueuedMs is the time at which the claim was last added to expiryOrder. It is
	// before UnixMs if the key was released or expired and then claimed again.
	QueuedMs int64             `json:"queued_ms"`
	Outcome  *api.ClaimOutcome `json:"outcome,omitempty"`
}

// claims holds the claims by key and in the order of QueuedMs.
type claims struct {
	byKey           map[api.ClaimKey]*claim
	expiryOrder     []*claim // oldest QueuedMs first
	storedBodyBytes int      // size of all stored bodies

	maxClaims, maxStoredBodyBytes int // the constants; tests set lower limits
}

func newClaims() claims {
	return claims{byKey: map[api.ClaimKey]*claim{}, maxClaims: maxClaims, maxStoredBodyBytes: maxStoredBodyBytes}
}

// expire drops the expired claims. A claim that was renewed since it was added to
// expiryOrder is added again at the end.
func (c *claims) expire(nowMs int64) {
	for len(c.expiryOrder) > 0 && nowMs-c.expiryOrder[0].QueuedMs >= claimTTLMs {
		oldest := c.expiryOrder[0]
		c.expiryOrder = c.expiryOrder[1:]
		if oldest.expired(nowMs) {
			c.storedBodyBytes -= oldest.bodyBytes()
			delete(c.byKey, oldest.Key)
			continue
		}
		oldest.QueuedMs = nowMs
		c.expiryOrder = append(c.expiryOrder, oldest)
	}
}

// bodyBytes returns the size of the stored body.
func (c *claim) bodyBytes() int {
	if c.Outcome == nil {
		return 0
	}
	return len(c.Outcome.Body)
}

func (c *claim) expired(nowMs int64) bool { return nowMs-c.UnixMs >= claimTTLMs }

// claim claims a key for the holder, or returns the state of an earlier claim.
func (c *claims) claim(cmd *Claim, nowMs int64) Result {
	existing, ok := c.byKey[cmd.Key]
	switch {
	case ok && existing.expired(nowMs): // replaced below
	case ok && existing.State == claimReleased && existing.Holder == cmd.Holder:
		return Result{Error: "fleetstate: the holder has released this claim"}
	case ok && existing.State == api.ClaimDone:
		return Result{Claim: &api.ClaimResult{State: api.ClaimDone, Outcome: existing.Outcome}}
	case ok && existing.State == api.ClaimRunning && existing.Holder == cmd.Holder:
		return Result{Claim: &api.ClaimResult{State: api.ClaimNew}} // a resent command
	case ok && existing.State == api.ClaimRunning:
		return Result{Claim: &api.ClaimResult{State: api.ClaimRunning}}
	case !ok && len(c.expiryOrder) >= c.maxClaims:
		return Result{Error: claimsFullText}
	}
	if !ok {
		existing = &claim{QueuedMs: nowMs}
		c.byKey[cmd.Key] = existing
		c.expiryOrder = append(c.expiryOrder, existing)
	}
	c.storedBodyBytes -= existing.bodyBytes()
	*existing = claim{Key: cmd.Key, Holder: cmd.Holder, State: api.ClaimRunning, UnixMs: nowMs, QueuedMs: existing.QueuedMs}
	return Result{Claim: &api.ClaimResult{State: api.ClaimNew}}
}

// settle ends a running claim of the holder.
func (c *claims) settle(cmd *Settle) Result {
	existing, ok := c.byKey[cmd.Key]
	if !ok || existing.Holder != cmd.Holder {
		return Result{Error: "fleetstate: the holder has no claim on this key"}
	}
	if existing.State != api.ClaimRunning {
		return Result{} // a resent command
	}
	if cmd.Outcome == nil {
		existing.State = claimReleased
		return Result{}
	}
	outcome := *cmd.Outcome
	if len(outcome.Body) > maxOutcomeBytes || c.storedBodyBytes+len(outcome.Body) > c.maxStoredBodyBytes {
		outcome.Body, outcome.Truncated = nil, true
	}
	existing.State, existing.Outcome = api.ClaimDone, &outcome
	c.storedBodyBytes += existing.bodyBytes()
	return Result{}
}
