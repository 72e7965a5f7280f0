package placer

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
)

// granted returns an assignment of the test's target that an owner has granted.
func (r *harness) granted() *assignment {
	return &assignment{placer: r.p, work: promptRequest("root", "own"), target: testTarget, number: 9, chosenAt: r.ReadClocks()}
}

// Guards against a grant that crosses the answer of a target which leaves, and against an owner
// that is not told.
func TestTargetThatLeavesIsSentNothing(t *testing.T) {
	r := newHarness(t)
	crossing := r.granted()
	r.NoErr(crossing.BeforeSend())
	r.granted().ReportNotice(api.TargetNotice{Leaving: true})
	r.True(errors.Is(crossing.BeforeSend(), errTargetLeaving))
	r.Equal(len(r.p.pending.Notices), 1)
	r.granted().ReportNotice(api.TargetNotice{Leaving: true})
	r.Equal(len(r.p.pending.Notices), 1) // told once
	report := r.fullReport(2)
	r.Equal(len(report.Notices), 1) // a new owner learns it
	r.True(report.Notices[0].Leaving)
	_, err := r.p.placeLocal(promptRequest("root", "own"))
	r.True(err != nil)
}

// Guards against requests that reach a target within the pause that it has asked for, without or
// with the owner, and against one that is never used again.
func TestTargetThatPausesIsSentNothing(t *testing.T) {
	r := newHarness(t)
	crossing := r.granted()
	r.granted().ReportNotice(api.TargetNotice{Pause: 800 * time.Millisecond})
	r.True(errors.Is(crossing.BeforeSend(), errTargetPaused))
	_, err := r.p.placeLocal(promptRequest("root", "own"))
	var refusal *api.Refusal
	r.True(errors.As(err, &refusal))
	r.Equal(refusal.Code, placement.CodeNoTarget)
	r.True(refusal.RetryAfter >= 800*time.Millisecond && refusal.RetryAfter <= 1200*time.Millisecond)
	r.Advance(800*time.Millisecond, 800*time.Millisecond)
	r.NoErr(crossing.BeforeSend())
	_, err = r.p.placeLocal(promptRequest("root", "own"))
	r.NoErr(err)
	r.Equal(len(r.fullReport(2).Notices), 0)
}
