package dispatch

import (
	"bytes"
	"context"
	"io"
	"time"

	"nutmegrouter/internal/api"
)

// Limits of claims.
const (
	claimTimeout          = 3 * time.Second        // the request is refused if the claim is not made within this time
	settleTimeout         = 2 * time.Second        // of one settle call
	backgroundSettleTries = 5                      // for one outcome
	settleBackoff         = 500 * time.Millisecond // doubled for each further retry
	maxOutcomeBytes       = 4 << 10                // longest body that is stored
	claimMessagePrefix    = "the request with this idempotency key "
)

func (c *call) claimKey() api.ClaimKey {
	return api.ClaimKey{Workspace: c.req.Workspace, Pool: c.req.Pool, Key: c.req.IdempotencyKey}
}

// claim writes the idempotency key of a non-idempotent request to the control log
// before the request is sent. It returns nil and nil if the request may be sent,
// the stored response if an earlier request with this key has finished, and a
// refusal otherwise.
func (c *call) claim(a *attempt) (api.Response, error) {
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	res, err := c.d.control.Claim(ctx, c.claimKey(), c.id)
	if err == nil && res.State == api.ClaimNew {
		c.claimed = true
		return nil, nil
	}
	a.finish(api.ResultNotStarted, 0)
	switch {
	case err != nil:
		// The claim may be in the log although no response arrived.
		c.claimed = true
		c.d.recordEvent("claim", "unreachable", c, a.grant.Target, err.Error())
		return nil, &api.Refusal{
			Code: codeClaimUnavailable, Status: 503, Run: api.NotRun, Step: "claim",
			Message: "the claim could not be made: " + err.Error(), RetryAfter: retryAfter,
		}
	case res.State == api.ClaimDone && res.Outcome != nil && !res.Outcome.Truncated:
		c.cancel()
		return newStoredResponse(res.Outcome), nil
	case res.State == api.ClaimDone:
		return nil, claimRefusal(codeClaimOutcomeTooLarge, claimMessagePrefix+"has finished; its answer was too large to store")
	}
	return nil, claimRefusal(codeClaimRunning, claimMessagePrefix+"was started earlier; its outcome is unknown")
}

// claimRefusal returns a refusal for a request whose idempotency key is already
// claimed.
func claimRefusal(code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Status: 409, Run: api.RunUnknown, Step: "claim", Message: message}
}

// releaseClaimIfNotRun deletes the claim of a request that was certainly not run.
// The claim of a request that may have run stays in the log.
func (c *call) releaseClaimIfNotRun() {
	if c.claimed && !c.mayHaveRun {
		c.settleInBackground(nil, 0)
	}
}

// settle stores an outcome and waits until it is in the log, so that it is there
// before the caller has the whole response. If that fails, it is retried in the
// background.
func (c *call) settle(o *api.ClaimOutcome) {
	if err := c.settleOnce(o); err != nil {
		c.settleInBackground(o, settleBackoff)
	}
}

// settleOnce stores an outcome, or deletes the claim if o is nil.
func (c *call) settleOnce(o *api.ClaimOutcome) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return c.d.control.SettleClaim(ctx, c.claimKey(), c.id, o)
}

// settleInBackground calls settleOnce up to backgroundSettleTries times, first after wait. A
// final failure is recorded as an event.
func (c *call) settleInBackground(o *api.ClaimOutcome, wait time.Duration) {
	c.d.background.Add(1)
	go func() {
		defer c.d.background.Done()
		var err error
		for range backgroundSettleTries {
			time.Sleep(wait)
			if err = c.settleOnce(o); err == nil {
				return
			}
			wait = max(settleBackoff, 2*wait)
		}
		c.d.recordEvent("claim", "not settled", c, "", err.Error())
	}()
}

// claimOutcome returns the stored form of a response with size body bytes. It is
// marked as truncated, without a body, above maxOutcomeBytes.
func claimOutcome(h api.ResponseHead, body []byte, size int) *api.ClaimOutcome {
	o := &api.ClaimOutcome{Status: h.Status, ContentType: h.Header["Content-Type"]}
	if size > maxOutcomeBytes {
		o.Truncated = true
		return o
	}
	o.Body = body
	return o
}

// storedResponse is the response of an earlier request, read from its claim.
type storedResponse struct {
	*bytes.Reader
	head api.ResponseHead
}

// newStoredResponse returns the response of a stored outcome that is not truncated.
func newStoredResponse(o *api.ClaimOutcome) api.Response {
	h := api.ResponseHead{Status: o.Status, Header: map[string]string{}, BodyBytes: int64(len(o.Body))}
	if o.ContentType != "" {
		h.Header["Content-Type"] = o.ContentType
	}
	return &storedResponse{Reader: bytes.NewReader(o.Body), head: h}
}

// Head implements api.Response. Apart from the status, it has only the content type.
func (r *storedResponse) Head() api.ResponseHead { return r.head }

// Close implements api.Response. It has no effect.
func (r *storedResponse) Close() error { return nil }

var _ io.Reader = (*storedResponse)(nil)
