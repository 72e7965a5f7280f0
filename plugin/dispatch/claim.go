package dispatch

import (
	"bytes"
	"context"
	"io"
	"time"

	"nutmegrouter/internal/api"
)

// Bounds of claims.
const (
	claimLimit  = 3 * time.Second        // a claim without an answer is refused
	settleLimit = 2 * time.Second        // wait for one settle
	settleTries = 5                      // after the first one, in the background
	settlePause = 500 * time.Millisecond // doubled for each further try
	maxOutcome  = 4 << 10                // bytes of a body that are stored
	claimPrefix = "the request with this idempotency key "
)

func (c *call) claimKey() api.ClaimKey {
	return api.ClaimKey{Workspace: c.req.Workspace, Pool: c.req.Pool, Key: c.req.Key}
}

// claim enters the key of a non-idempotent request in the log before it is
// sent. It returns an answer or an error unless the request may run now.
func (c *call) claim(s *slot) (api.Answer, error) {
	ctx, stop := context.WithTimeout(c.ctx, claimLimit)
	defer stop()
	res, err := c.d.control.Claim(ctx, c.claimKey(), c.id)
	if err == nil && res.State == api.ClaimNew {
		c.claimed = true
		return nil, nil
	}
	s.done(api.ResultNotStarted, 0)
	switch {
	case err != nil:
		// The claim may have reached the log although its answer did not.
		c.claimed = true
		c.d.record("claim", "unreachable", c, s.grant.Target, err.Error())
		return nil, &api.Refusal{
			Code: codeClaim, Status: 503, Run: api.NotRun, Step: "claim",
			Message: "the claim could not be made: " + err.Error(), RetryAfter: retryAdvice,
		}
	case res.State == api.ClaimDone && res.Outcome != nil && !res.Outcome.Truncated:
		c.cancel()
		return storedAnswer(res.Outcome), nil
	case res.State == api.ClaimDone:
		return nil, claimRefusal(codeClaimLarge, claimPrefix+"has finished; its answer was too large to store")
	}
	return nil, claimRefusal(codeClaimBusy, claimPrefix+"was started earlier; its outcome is unknown")
}

func claimRefusal(code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Status: 409, Run: api.RunUnknown, Step: "claim", Message: message}
}

// releaseUnlessRun gives a claim back after a refusal that says "not run". A
// claim of a request that may have run stays in the log.
func (c *call) releaseUnlessRun() {
	if c.claimed && !c.touched {
		c.settleLater(nil, 0)
	}
}

// settle stores an outcome and waits for it, so that it is in the log before the
// caller has the whole answer. If that fails it goes on in the background.
func (c *call) settle(o *api.ClaimOutcome) {
	if err := c.settleOnce(o); err != nil {
		c.settleLater(o, settlePause)
	}
}

func (c *call) settleOnce(o *api.ClaimOutcome) error {
	ctx, stop := context.WithTimeout(context.Background(), settleLimit)
	defer stop()
	return c.d.control.Settle(ctx, c.claimKey(), c.id, o)
}

func (c *call) settleLater(o *api.ClaimOutcome, pause time.Duration) {
	c.d.background.Add(1)
	go func() {
		defer c.d.background.Done()
		var err error
		for range settleTries {
			time.Sleep(pause)
			if err = c.settleOnce(o); err == nil {
				return
			}
			pause = max(settlePause, 2*pause)
		}
		c.d.record("claim", "not settled", c, "", err.Error())
	}()
}

// outcome makes the stored form of an answer of size bytes.
func outcome(h api.AnswerHead, body []byte, size int) *api.ClaimOutcome {
	o := &api.ClaimOutcome{Status: h.Status, ContentType: h.Header["Content-Type"]}
	if size > maxOutcome {
		o.Truncated = true
		return o
	}
	o.Body = body
	return o
}

// memoryAnswer is a stored outcome.
type memoryAnswer struct {
	*bytes.Reader
	head api.AnswerHead
}

func storedAnswer(o *api.ClaimOutcome) api.Answer {
	h := api.AnswerHead{Status: o.Status, Header: map[string]string{}, Length: int64(len(o.Body))}
	if o.ContentType != "" {
		h.Header["Content-Type"] = o.ContentType
	}
	return &memoryAnswer{Reader: bytes.NewReader(o.Body), head: h}
}

// Head implements api.Answer.
func (m *memoryAnswer) Head() api.AnswerHead { return m.head }

// Close implements api.Answer.
func (m *memoryAnswer) Close() error { return nil }

var _ io.Reader = (*memoryAnswer)(nil)
