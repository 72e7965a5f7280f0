package fleetstate

import (
	"nutmegrouter/internal/api"
)

const (
	// claimLifeMs is how long a claim and its outcome are kept.
	claimLifeMs = 24 * 60 * 60 * 1000
	// maxOutcomeBytes bounds a stored body; longer ones are marked as truncated.
	maxOutcomeBytes = 4 << 10
	// maxClaims bounds the memory of claims; it is reached at 4.6 keyed requests
	// a second for a whole day. A claim beyond it is refused, so that no key is
	// forgotten before its time.
	maxClaims = 400_000
	// maxBodies bounds the bytes of all stored bodies, because they are part of
	// every snapshot. Beyond it outcomes are stored without a body.
	maxBodies = 32 << 20
)

// ErrClaimsFull is the refusal of a claim beyond the bound.
const ErrClaimsFull = "fleetstate: too many claims are stored"

// released is the state of a claim whose request was certainly not run. It stays
// until its time is over, so that a late copy of the holder's claim command does
// not claim the key again.
const released api.ClaimState = "released"

// claim is one claimed key.
type claim struct {
	Key    api.ClaimKey   `json:"key"`
	Holder string         `json:"holder"`
	State  api.ClaimState `json:"state"`
	UnixMs int64          `json:"ms"`
	// QueuedMs is the time by which the claim stands in the order. It is older
	// than UnixMs if the key was released and claimed again.
	QueuedMs int64             `json:"queued_ms"`
	Outcome  *api.ClaimOutcome `json:"outcome,omitempty"`
}

// claims holds the claims by key and in the order of their time.
type claims struct {
	byKey  map[api.ClaimKey]*claim
	order  []*claim
	bodies int // bytes of the stored bodies

	maxClaims, maxBodies int
}

func newClaims() claims {
	return claims{byKey: map[api.ClaimKey]*claim{}, maxClaims: maxClaims, maxBodies: maxBodies}
}

// expire drops the claims whose life is over.
func (c *claims) expire(nowMs int64) {
	for len(c.order) > 0 && nowMs-c.order[0].QueuedMs >= claimLifeMs {
		old := c.order[0]
		c.order = c.order[1:]
		if old.over(nowMs) {
			c.bodies -= old.bodyBytes()
			delete(c.byKey, old.Key)
			continue
		}
		old.QueuedMs = nowMs
		c.order = append(c.order, old)
	}
}

func (c *claim) bodyBytes() int {
	if c.Outcome == nil {
		return 0
	}
	return len(c.Outcome.Body)
}

func (c *claim) over(nowMs int64) bool { return nowMs-c.UnixMs >= claimLifeMs }

func (c *claims) claim(cmd *Claim, nowMs int64) Result {
	have, ok := c.byKey[cmd.Key]
	switch {
	case ok && have.over(nowMs): // claimed anew below
	case ok && have.State == released && have.Holder == cmd.Holder:
		return Result{Error: "fleetstate: the holder has released this claim"}
	case ok && have.State == api.ClaimDone:
		return Result{Claim: &api.ClaimResult{State: api.ClaimDone, Outcome: have.Outcome}}
	case ok && have.State == api.ClaimRunning && have.Holder == cmd.Holder:
		return Result{Claim: &api.ClaimResult{State: api.ClaimNew}} // a resend of the claim that made it
	case ok && have.State == api.ClaimRunning:
		return Result{Claim: &api.ClaimResult{State: api.ClaimRunning}}
	case !ok && len(c.order) >= c.maxClaims:
		return Result{Error: ErrClaimsFull}
	}
	if !ok {
		have = &claim{QueuedMs: nowMs}
		c.byKey[cmd.Key] = have
		c.order = append(c.order, have)
	}
	c.bodies -= have.bodyBytes()
	*have = claim{Key: cmd.Key, Holder: cmd.Holder, State: api.ClaimRunning, UnixMs: nowMs, QueuedMs: have.QueuedMs}
	return Result{Claim: &api.ClaimResult{State: api.ClaimNew}}
}

func (c *claims) settle(cmd *Settle) Result {
	have, ok := c.byKey[cmd.Key]
	if !ok || have.Holder != cmd.Holder {
		return Result{Error: "fleetstate: the holder has no claim on this key"}
	}
	if have.State != api.ClaimRunning {
		return Result{} // a resend
	}
	if cmd.Outcome == nil {
		have.State = released
		return Result{}
	}
	outcome := *cmd.Outcome
	if len(outcome.Body) > maxOutcomeBytes || c.bodies+len(outcome.Body) > c.maxBodies {
		outcome.Body, outcome.Truncated = nil, true
	}
	have.State, have.Outcome = api.ClaimDone, &outcome
	c.bodies += have.bodyBytes()
	return Result{}
}
