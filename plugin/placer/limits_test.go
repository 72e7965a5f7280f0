package placer

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
)

var namedLimit = api.TargetNotice{RateLimit: api.RateLimit{Limited: true, PerSecond: 4}}

func plainRequest() *api.PlacementRequest {
	return &api.PlacementRequest{Service: "m", Route: &routing.Route{}}
}

// tellLimit delivers the owner's message that the test's target has a rate limit.
func (r *harness) tellLimit(perSecond float64) {
	n := placement.TargetNotice{Target: testTarget.ID, Limit: placement.LimitNotice{Stated: true, Limited: true, PerSecond: perSecond}}
	raw, err := json.Marshal(placewire.NewNotices([]placement.TargetNotice{n}))
	r.NoErr(err)
	r.respond(placewire.OwnerMessage{Term: r.p.owner.term, Limits: raw})
}

// Guards against a send that no account has counted: a grant that crosses the answer in which the
// target first names its limit, a second send with one grant, and against an owner that is not told.
func TestSendsAreCountedAgainstLimit(t *testing.T) {
	r := newHarness(t)
	crossing, metered := r.granted(), r.granted()
	metered.metered = true
	r.NoErr(crossing.BeforeSend())
	r.granted().ReportNotice(namedLimit)
	r.Equal(len(r.p.pending.Notices), 1)
	r.True(errors.Is(crossing.BeforeSend(), errTargetLimited))
	r.Equal(len(r.p.pending.Notices), 2) // the owner may not know it
	r.NoErr(metered.BeforeSend())
	r.True(errors.Is(metered.BeforeSend(), errTargetLimited))
	r.Advance(time.Second, time.Second)
	ending := r.granted()
	ending.metered = true
	r.NoErr(ending.BeforeSend())
	ending.ReportNotice(api.TargetNotice{})
	r.NoErr(r.granted().BeforeSend()) // the target names no limit any more
}

// Guards against plain requests that each entry instance counts alone: the owner grants those to
// targets with a limit, knows of it, and refuses the others at once.
func TestPlainRequestNeedsGrantForLimitedTarget(t *testing.T) {
	r := newHarness(t)
	r.tellLimit(4)
	r.fullReport(2) // another owner, which has not been told
	place := func() chan result {
		done := make(chan result, 1)
		go func() {
			p, err := r.p.Place(context.Background(), plainRequest())
			done <- result{p, err}
		}()
		return done
	}
	done := place()
	n := r.waitForAsk(0)
	r.p.mu.Lock()
	pending := r.p.pending
	r.p.mu.Unlock()
	r.Equal(pending.Requests[0].Candidates, []string{testTarget.ID})
	r.Equal(len(pending.Notices), 1)
	r.p.mu.Lock()
	r.Equal(r.p.waiting[n].request(n, 0).Candidates, []string{testTarget.ID}) // in a full report, too
	r.p.mu.Unlock()
	r.respond(placewire.OwnerMessage{Term: 2, Decisions: []placewire.Decision{{Number: n, Target: testTarget.ID, Metered: true}}})
	granted := <-done
	r.NoErr(granted.err)
	r.NoErr(granted.placement.BeforeSend())
	r.Equal(len(r.p.running), 0) // the owner counts starts of plain requests only

	done = place()
	n = r.waitForAsk(n)
	r.respond(placewire.OwnerMessage{Term: 2, Decisions: []placewire.Decision{{Number: n, Code: placement.CodeLimitReached, RetryMs: 700}}})
	refused := <-done
	var refusal *api.Refusal
	r.True(errors.As(refused.err, &refusal))
	r.Equal(refusal.Code, placement.CodeLimitReached)
	r.Equal(refusal.Run, api.NotRun)
	r.Equal(refusal.RetryAfter, 700*time.Millisecond)
}

// Guards against entry instances that use a target without a bound while no owner responds, and against
// callers that wait for an owner that is known to be away.
func TestLimitHoldsWithoutOwner(t *testing.T) {
	for _, w := range []*api.PlacementRequest{plainRequest(), promptRequest("root", "own")} {
		r := newHarness(t)
		r.tellLimit(4)
		r.p.leaderChanged("", 2)
		sent := 0
		for range 400 {
			r.Advance(100*time.Millisecond, 100*time.Millisecond)
			a, err := r.p.Place(context.Background(), w)
			if err == nil {
				r.NoErr(a.BeforeSend())
				a.End(api.AttemptServed)
				sent++
				continue
			}
			var refusal *api.Refusal
			r.True(errors.As(err, &refusal))
			r.Equal(refusal.Code, placement.CodeLimitReached)
			r.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= maxLimitRetryAfter)
		}
		r.True(sent >= 17 && sent <= 20) // in 40 s: half of a quarter of 4 a second, after up to 4 s
	}
}

// Guards against a new owner that is not told of the limits that this instance has observed.
func TestReportHasRateLimits(t *testing.T) {
	r := newHarness(t)
	r.granted().ReportNotice(namedLimit)
	r.Advance(2*time.Second, 2*time.Second)
	report := r.fullReport(2)
	r.Equal(len(report.Notices), 1)
	notice := report.Notices[0].ToPlacement()
	r.Equal(notice.Limit, placement.LimitNotice{Stated: true, Limited: true, PerSecond: 4, StatedAgo: 2 * time.Second})
}
