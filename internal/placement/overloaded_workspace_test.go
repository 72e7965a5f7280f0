package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an overloaded workspace that delays small ones, and against it being granted
// nothing: it sends six times the prefill throughput of all targets.
func TestOverloadedWorkspace(t *testing.T) {
	for seed := range uint64(4) {
		s := newMixSim(seed)
		for i := range 4 {
			generateMix(s, fmt.Sprint("small", i), 0.5, 0, 20*second)
		}
		generateMix(s, "large", 60, 4*second, 20*second)
		s.run(50 * second)
		small := s.summarize(5*second, 20*second, func(c *call) bool { return c.workspace != "large" })
		large := s.summarize(5*second, 20*second, func(c *call) bool { return c.workspace == "large" })
		t.Logf("small %+v large %+v", small, large)
		is := is.New(t)
		is.True(small.onTimeShare() >= 0.9)        // those within their share meet their objectives
		is.True(large.tokensStarted/15 >= 200_000) // the large one gets the remaining capacity
		is.True(float64(large.onTime) >= 0.8*float64(large.started))
	}
}

// Guards against unequal grants to overloaded workspaces when one of them sends many more and
// shorter requests.
func TestOverloadedWorkspacesGetEqualShares(t *testing.T) {
	for seed := range uint64(4) {
		s := newMixSim(seed)
		generateMix(s, "heavy", 40, 0, 20*second)
		generateMix(s, "light", 12, 0, 20*second)
		s.generate(workload{"short", "chat", 250, 600, 200, 50, 250, 400 * time.Millisecond, 12 * time.Second}, 0, 20*second)
		s.run(50 * second)
		got := map[string]float64{}
		for _, w := range []string{"heavy", "light", "short"} {
			o := s.summarize(6*second, 20*second, func(c *call) bool { return c.workspace == w })
			got[w] = o.tokensStarted
			t.Logf("%s %+v", w, o)
		}
		for _, w := range []string{"heavy", "light", "short"} {
			// The promise to users: at least half of the tokens of the best served workspace.
			is.New(t).True(got[w] >= 0.5*math.Max(got["heavy"], math.Max(got["light"], got["short"])))
		}
	}
}

// Guards against entry instances that keep throttling a workspace after capacity has returned:
// on the grown Quito scale-2 site, one workspace got a fifth of another's tokens for 6 s. Two
// thirds of the targets are out of service for a while, during which only the second workspace
// asks for more than its share.
func TestThrottlingFollowsCapacity(t *testing.T) {
	for seed := range uint64(4) {
		s := newMixSim(seed)
		s.retries = true
		s.enableThrottling()
		generateMix(s, "first", 2, 0, 8*second)
		generateMix(s, "first", 18, 8*second, 24*second)
		generateMix(s, "second", 60, 0, 8*second)
		generateMix(s, "second", 9, 8*second, 24*second)
		s.after(second, func() { s.setLeaving(8, true) })
		s.after(8*second, func() { s.setLeaving(8, false) })
		s.run(60 * second)
		got := map[string]outcome{}
		for _, w := range []string{"first", "second"} {
			got[w] = s.summarize(10*second, 16*second, func(c *call) bool { return c.workspace == w })
		}
		t.Logf("%+v", got)
		is.New(t).True(got["second"].tokensStarted >= 0.5*min(got["first"].tokensStarted, got["second"].tokensAsked))
	}
}

// Guards against one overloaded workspace getting more than twice the tokens of another while
// the targets have capacity for both: the requests of the first can wait, those of the second
// must begin at once.
func TestEqualSharesWithIdleCapacity(t *testing.T) {
	for seed := range uint64(4) {
		s := newMixSim(seed)
		s.retries = true
		s.enableThrottling()
		s.view.TokensPerSecond = 100_000 // a third of the targets' throughput
		s.owner.SetView(s.view, 0)
		s.generate(workload{"first", "draft", 120, 2000, 900, 100, 50, time.Second, 15 * time.Second}, 0, 20*second)
		s.generate(workload{"second", "tag", 120, 2000, 900, 100, 20, 90 * time.Millisecond, 3 * time.Second}, 0, 20*second)
		s.run(60 * second)
		for from := 4 * second; from < 18*second; from += 2 * second {
			var got [2]outcome
			for i, w := range []string{"first", "second"} {
				got[i] = s.summarize(from, from+6*second, func(c *call) bool { return c.workspace == w })
			}
			ratio := got[1].tokensStarted / min(got[0].tokensStarted, got[1].tokensAsked)
			t.Logf("from %v: %.2f of %.0f", from, ratio, got[0].tokensStarted)
			is.New(t).True(ratio >= 0.5)
		}
	}
}

// Guards against workspaces within their share that wait behind overloaded ones: many small
// and some large workspaces together send 1.7 times the prefill throughput of the targets.
func TestManyWorkspacesWithinShare(t *testing.T) {
	for seed := range uint64(4) {
		s := newMixSim(seed)
		for i := range 8 {
			generateMix(s, fmt.Sprint("small", i), 0.6, 0, 20*second)
		}
		for i := range 3 {
			generateMix(s, fmt.Sprint("large", i), 6, 2*second, 20*second)
		}
		s.run(50 * second)
		small := s.summarize(5*second, 20*second, func(c *call) bool { return c.workspace[0] == 's' })
		large := s.summarize(5*second, 20*second, func(c *call) bool { return c.workspace[0] == 'l' })
		t.Logf("small %+v large %+v", small, large)
		is.New(t).True(small.onTimeShare() >= 0.95)
	}
}

// runOverloadAgainstSmall simulates seven small workspaces and a large one that sends 2.5
// times what the slots can run; refused callers retry once. It sums up the outcomes of both
// from a time on.
func runOverloadAgainstSmall(seeds uint64, configuredThroughput float64, from time.Duration) (small, large outcome) {
	for seed := range seeds {
		s := newSlotSim(seed)
		s.retries = true
		s.view.TokensPerSecond = configuredThroughput
		s.owner.SetView(s.view, 0)
		for i := range 7 {
			generateSlotMix(s, fmt.Sprint("small", i), 0.04, 0, 12*second)
		}
		generateSlotMix(s, "large", 2.5, 2*second, 12*second)
		s.run(60 * second)
		small.add(s.summarize(from, 12*second, func(c *call) bool { return c.workspace[0] == 's' }))
		large.add(s.summarize(from, 12*second, func(c *call) bool { return c.workspace[0] == 'l' }))
	}
	return small, large
}

// Guards against spending a workspace's share on retries whose responses miss their objective
// while first attempts are refused: on the grown Amman site, four in ten responses of an
// overloaded workspace did. Its callers retry once after a refusal.
func TestOverloadedWorkspaceRetries(t *testing.T) {
	small, large := runOverloadAgainstSmall(6, 550_000, 3*second)
	t.Logf("small %.3f of %d, large %d started and %d met their objective of %d", small.onTimeShare(), small.asked, large.started, large.onTime, large.asked)
	is := is.New(t)
	is.True(small.onTimeShare() >= 0.95)
	is.True(float64(large.onTime) >= 0.9*float64(large.started))
	is.True(large.tokensStarted >= 6*9*550_000) // more than its share
}

// Guards against refusing requests beyond a workspace's share while the targets have capacity:
// on the grown Amman site at low load, one workspace sent ten times its usual load and most of
// its requests were refused although half of the capacity was idle. Here two workspaces exceed
// their shares, and all together send 0.75 of what the slots can run.
func TestOverloadedWorkspaceUsesIdleCapacity(t *testing.T) {
	var small, large outcome
	for seed := range uint64(6) {
		s := newSlotSim(seed)
		for i := range 7 {
			generateSlotMix(s, fmt.Sprint("small", i), 0.02, 0, 12*second)
		}
		generateSlotMix(s, "large0", 0.43, 2*second, 12*second)
		generateSlotMix(s, "large1", 0.18, 2*second, 12*second)
		s.run(40 * second)
		small.add(s.summarize(3*second, 12*second, func(c *call) bool { return c.workspace[0] == 's' }))
		large.add(s.summarize(3*second, 12*second, func(c *call) bool { return c.workspace[0] == 'l' }))
	}
	t.Logf("small %.3f of %d, large %.3f of %d met their objective", small.onTimeShare(), small.asked, large.onTimeShare(), large.asked)
	is := is.New(t)
	is.True(small.onTimeShare() >= 0.97)
	is.True(large.onTimeShare() >= 0.95)
}

// Guards against a new owner that recognises an overloaded workspace only after a whole
// window: on the grown Quito site it counted as within its share for 2.2 s, and all others
// waited behind it.
func TestOverloadedWorkspaceAtTakeover(t *testing.T) {
	asked, onTime := 0, 0
	for seed := range uint64(8) {
		s := newMixSim(seed)
		for i := range 6 {
			generateMix(s, fmt.Sprint("small", i), 0.5, 0, 12*second)
		}
		generateMix(s, "large", 30, 2*second, 12*second)
		s.after(6*second, s.takeOver)
		s.run(30 * second)
		o := s.summarize(6500*time.Millisecond, 8500*time.Millisecond, func(c *call) bool { return c.workspace != "large" })
		asked, onTime = asked+o.asked, onTime+o.onTime
	}
	t.Logf("%d of %d met their objective", onTime, asked)
	is.New(t).True(float64(onTime) >= 0.9*float64(asked))
}

// Guards against an overloaded workspace that counts as within its share because the configured
// throughput is above the actual one, as when many targets fail: all other workspaces then miss
// their objectives as often. The configured throughput is three times the actual one, and one
// workspace sends 2.5 times the actual one.
func TestThroughputBelowConfigured(t *testing.T) {
	small, large := runOverloadAgainstSmall(4, 6_000_000, 5*second)
	t.Logf("small %.3f of %d, large %d started and %d met their objective of %d", small.onTimeShare(), small.asked, large.started, large.onTime, large.asked)
	is := is.New(t)
	is.True(small.onTimeShare() >= 0.95)
	is.True(float64(large.onTime) >= 0.9*float64(large.started))
}

// Guards against idle targets while entry instances throttle overloaded workspaces: after the
// large Amman fleet had lost all power, these got half of the available capacity and needed
// 12 s to get the rest. The configured throughput is a sixth of the actual one.
func TestFloodsTakeRoomAfterTakeover(t *testing.T) {
	var before, after outcome
	for seed := range uint64(4) {
		s := newSlotSim(seed)
		s.retries = true
		s.enableThrottling()
		s.view.TokensPerSecond = 300_000
		s.owner.SetView(s.view, 0)
		for i := range 5 {
			generateSlotMix(s, fmt.Sprint("small", i), 0.02, 0, 20*second)
		}
		for i, factor := range []float64{0.6, 0.1, 0.1} {
			generateSlotMix(s, fmt.Sprint("large", i), factor, 0, 10*second)
			generateSlotMix(s, fmt.Sprint("large", i), 4*factor, 10*second, 11*second) // burst in one second
			generateSlotMix(s, fmt.Sprint("large", i), factor, 11*second, 20*second)
		}
		s.after(10*second, s.takeOver)
		s.run(60 * second)
		before.add(s.summarize(4*second, 10*second, func(c *call) bool { return c.workspace[0] == 'l' }))
		after.add(s.summarize(12*second, 18*second, func(c *call) bool { return c.workspace[0] == 'l' }))
		for at := 8 * second; at < 20*second; at += second {
			o := s.summarize(at, at+second, func(c *call) bool { return c.workspace[0] == 'l' })
			t.Logf("%v %.3f of %d", at, o.onTimeShare(), o.asked)
		}
	}
	t.Logf("met their objective: before %.3f of %d, from 2 s after the takeover on %.3f of %d", before.onTimeShare(), before.asked, after.onTimeShare(), after.asked)
	is := is.New(t)
	is.True(before.onTimeShare() >= 0.9)
	is.True(after.onTimeShare() >= 0.9*before.onTimeShare())
}

// Guards against one overloaded workspace getting more than twice the tokens of another whose
// requests are shed by entry instances without processor time: the owner must count the shed
// requests.
func TestEqualSharesWithShedRequests(t *testing.T) {
	for seed := range uint64(4) {
		s := newSlotSim(seed)
		s.retries = true
		s.enableThrottling()
		s.shedShare = map[string]float64{"first": 0.96}
		generateSlotMix(s, "first", 2, 0, 16*second)
		generateSlotMix(s, "second", 2, 0, 16*second)
		for i := range 5 {
			generateSlotMix(s, fmt.Sprint("small", i), 0.02, 0, 16*second)
		}
		s.run(60 * second)
		for from := 4 * second; from < 10*second; from += 2 * second {
			var got [2]outcome
			for i, w := range []string{"first", "second"} {
				got[i] = s.summarize(from, from+6*second, func(c *call) bool { return c.workspace == w })
			}
			ratio := got[0].tokensStarted / min(got[1].tokensStarted, got[0].tokensAsked)
			t.Logf("from %v: %.2f of %.0f", from, ratio, got[1].tokensStarted)
			is.New(t).True(ratio >= 0.5)
		}
	}
}
