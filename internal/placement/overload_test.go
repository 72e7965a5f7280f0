package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
)

// Guards against a queue that outlasts an overload: on a small copy of the large Amman site,
// requests of workspaces within their share waited 0.6 s for a target 15 s after a fault had
// ended; nearly all missed their objective and few were refused. The load is 0.95 of what the
// slots can run, and 1.6 times that capacity for six seconds.
func TestOverloadEnds(t *testing.T) {
	var during, after outcome
	for seed := range uint64(4) {
		s := newSlotSim(seed)
		s.retries = true
		s.view.TokensPerSecond = 4_000_000 // more than the targets' throughput
		s.owner.SetView(s.view, 0)
		for i := range 20 {
			generateSlotMix(s, fmt.Sprint("w", i), 0.95/20, 0, 20*second)
			generateSlotMix(s, fmt.Sprint("w", i), 0.65/20, 4*second, 10*second)
		}
		s.run(60 * second)
		for at := 0 * second; at < 20*second; at += second {
			o := s.summarize(at, at+second, func(*call) bool { return true })
			t.Logf("%v %.3f of %d, %d refused", at, o.onTimeShare(), o.asked, o.refused)
		}
		during.add(s.summarize(5*second, 10*second, func(*call) bool { return true }))
		after.add(s.summarize(13*second, 20*second, func(*call) bool { return true }))
	}
	t.Logf("during the overload %.3f of %d met their objective, from 3 s after it on %.3f of %d", during.onTimeShare(), during.asked, after.onTimeShare(), after.asked)
	is := is.New(t)
	is.True(during.onTimeShare() >= 0.8/1.6) // the slots can run 1/1.6 of the load
	is.True(after.onTimeShare() >= 0.95)
}

// Guards against refusing callers that come back late while a target has been idle for longer
// than their prompt takes: they would never be served. One workspace sends four times what the
// targets can prefill for a second, and a tenth before and after.
func TestReturningCallersUseIdleTargets(t *testing.T) {
	var returned, served, refusedWithRoom int
	for seed := range uint64(4) {
		s := newSlotSim(seed)
		s.retries = true
		s.view.TokensPerSecond = 300_000
		s.owner.SetView(s.view, 0)
		for i := range 5 {
			generateSlotMix(s, fmt.Sprint("small", i), 0.02, 0, 8*second)
		}
		generateSlotMix(s, "large", 0.1, 0, 8*second)
		generateSlotMix(s, "large", 4, 4*second, 5*second)
		s.onRefused = func(c *call) {
			if !c.retried || c.refused != CodeShareExceeded {
				return
			}
			for _, tg := range s.owner.sortedTargets {
				if s.owner.hasRested(tg, c.request.PromptTokens, s.now) {
					refusedWithRoom++
					return
				}
			}
		}
		s.run(20 * second)
		for _, c := range s.calls {
			if c.retried {
				returned++
				if c.refused == "" {
					served++
				}
			}
		}
	}
	t.Logf("%d callers came back, %d were served, %d refused while a target had rested", returned, served, refusedWithRoom)
	is := is.New(t)
	is.True(returned >= 1000)
	is.Equal(refusedWithRoom, 0)
}

// Guards against refusing the late retry of an overloaded workspace while a target is idle, and
// against spending a target on it that has only just become idle, is suspect, or was tried.
func TestLateRetryNeedsRestedTarget(t *testing.T) {
	for _, x := range []struct {
		idleFor        time.Duration
		suspect, tried bool
		granted        bool
	}{
		{idleFor: 50 * time.Millisecond},
		{idleFor: 500 * time.Millisecond, granted: true},
		{idleFor: 500 * time.Millisecond, suspect: true},
		{idleFor: 500 * time.Millisecond, tried: true},
	} {
		is := is.New(t)
		s := newSim(1, 2, 12, 100_000, 1000)
		now := 3 * second
		s.owner.CountThrottled("flood", ThrottledRequest{50_000, 7, 5 * second, 100 * time.Millisecond}, 0, now)
		s.owner.advanceShares(now + second)
		now += second
		req := Request{Service: "m", Workspace: "other", PromptTokens: 3500, Objective: second, RouteObjective: second, Deadline: 4 * second,
			Prompt: []Part{{ID: 6, Tokens: 3500}}}
		s.owner.AddRunning(Key{"n", 1}, req, "e00", false, false, 0, now)
		s.owner.RecordFirstEvent(Key{"n", 1}, now+100*time.Millisecond)
		s.owner.End(Key{"n", 1}, api.AttemptServed, now+100*time.Millisecond)
		now += 100*time.Millisecond + x.idleFor
		s.owner.AddRunning(Key{"n", 3}, req, "e01", false, false, 0, now) // the other target is busy
		s.owner.Decisions()
		if x.suspect {
			s.owner.targets["e00"].health.suspectUntil = now + second
		}
		if x.tried {
			req.Tried = []string{"e00"}
		}
		req.Workspace, req.Prompt = "flood", []Part{{ID: 7, Tokens: 3500}} // takes 100 ms
		req.Hash, req.CallerDeadline = 7, 3*second+5*second-now
		s.owner.Submit(Key{"n", 2}, req, now)
		d := s.owner.Decisions()
		is.Equal(len(d), 1)
		is.Equal(d[0].Target != "", x.granted)
	}
}
