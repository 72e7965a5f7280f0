package dispatch

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

func keyed() *api.Request {
	r := serviceRequest("POST")
	r.Key = "k1"
	return r
}

var key1 = api.ClaimKey{Workspace: "w1", Pool: "svc", Key: "k1"}

// Guards against a keyed request that runs a second time, a resend that does
// not get the stored outcome, and a claim that is kept although nothing ran.
func TestClaims(t *testing.T) {
	stored := func(o api.ClaimOutcome) *api.ClaimResult {
		return &api.ClaimResult{State: api.ClaimDone, Outcome: &o}
	}
	cases := []struct {
		name    string
		earlier *api.ClaimResult // in the log before the request
		fail    error            // the log cannot be reached
		answer  script           // nil = the target refuses connections
		body    string
		code    string
		run     api.RunState
		sends   int
		settled bool // an outcome is stored
		left    api.ClaimState
	}{
		{name: "new", answer: ok, body: "ok", sends: 1, settled: true, left: api.ClaimDone},
		{name: "done", earlier: stored(api.ClaimOutcome{Status: 201, Body: []byte("old")}), answer: ok, body: "old", left: api.ClaimDone},
		{name: "done, not stored", earlier: stored(api.ClaimOutcome{Status: 200, Truncated: true}), answer: ok,
			code: codeClaimLarge, run: api.RunUnknown, left: api.ClaimDone},
		{name: "running", earlier: &api.ClaimResult{State: api.ClaimRunning}, answer: ok,
			code: codeClaimBusy, run: api.RunUnknown, left: api.ClaimRunning},
		{name: "unreachable", fail: errors.New("no leader"), answer: ok, code: codeClaim, run: api.NotRun, settled: true},
		{name: "target unreachable", code: codeUnreachable, run: api.NotRun, settled: true},
		{name: "target dies", answer: cut, code: codeFailed, run: api.RunUnknown, sends: 1, left: api.ClaimRunning},
		{name: "answer cut", answer: halfBody, code: codeTruncated, run: api.RunUnknown, sends: 1, left: api.ClaimRunning},
		{name: "large answer", answer: func(w *wire, _ *seen, _ int) { w.plain(200, strings.Repeat("x", maxOutcome+1)) },
			body: strings.Repeat("x", maxOutcome+1), sends: 1, settled: true, left: api.ClaimDone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := deadAddress(t)
			if c.answer != nil {
				target = newTarget(t, "t1", numbered(c.answer))
			}
			r := newRig(t, target)
			r.control.fail = c.fail
			if c.earlier != nil {
				r.control.claims[key1] = *c.earlier
			}
			body, _, err := r.do(keyed())
			checkAnswer(is, &faultCase{body: c.body, code: c.code, run: c.run}, body, err)
			is.Equal(len(target.work()), c.sends)
			if c.settled {
				receive(t, r.control.settled)
			}
			r.control.mu.Lock()
			defer r.control.mu.Unlock()
			is.Equal(r.control.claims[key1].State, c.left)
		})
	}
}

// Guards against a resend, by a caller that lost the first answer, that runs
// the request again or gets another answer.
func TestResendGetsStoredOutcome(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, "t1", numbered(func(w *wire, _ *seen, _ int) { w.plain(201, "made", "Content-Type: text/x") }))
	r := newRig(t, target)
	for range 3 {
		body, head, err := r.do(keyed())
		is.NoErr(err)
		is.Equal(body, "made")
		is.Equal(head.Status, 201)
		is.Equal(head.Header["Content-Type"], "text/x")
	}
	is.Equal(len(target.work()), 1)
}

// Guards against a lost outcome when the caller leaves while a plain service
// works on a claimed request that cannot be cancelled.
func TestClaimedWorkOutlivesCaller(t *testing.T) {
	is := is.New(t)
	answer := make(chan struct{})
	target := newTarget(t, "t1", numbered(func(w *wire, _ *seen, _ int) { <-answer; w.plain(200, "ok") }))
	r := newRig(t, target)
	r.patient()
	gone := make(chan struct{})
	req := keyed()
	req.Gone = gone
	ended := make(chan error, 1)
	go func() {
		ans, err := r.d.Do(context.Background(), req)
		if err == nil {
			err = ans.Close()
		}
		ended <- err
	}()
	eventually(t, "sent", func() bool { return len(target.work()) == 1 })
	close(gone)
	close(answer)
	is.Equal(string(receive(t, r.control.settled).Body), "ok")
	is.NoErr(receive(t, ended))
	is.Equal(r.outcome().Result, api.ResultOK)
}
