package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
)

// Guards against a cache model that evicts pinned parts, exceeds its capacity, or counts parts
// behind an uncached one as cached.
func TestPromptCache(t *testing.T) {
	is := is.New(t)
	cache := newPromptCache(1000)
	a := []Part{{1, 300}, {2, 300}}
	b := []Part{{1, 300}, {3, 300}}
	c := []Part{{4, 500}}
	is.Equal(cache.uncachedTokens(a), 600)
	cache.pin(a, 0)
	is.Equal(cache.pinnedTokens, 600)
	is.Equal(cache.uncachedTokens(b), 300)
	cache.pin(b, 0)
	is.Equal(cache.pinnedTokens, 900) // the common part counts once
	cache.unpin(a, 0)
	is.Equal(cache.uncachedTokens(a), 0)
	cache.pin(c, 0) // exceeds the capacity: evicts part 2, the only unpinned one
	is.Equal(cache.uncachedTokens(a), 300)
	is.Equal(cache.uncachedTokens(b), 0)
	cache.unpin(b, 0)
	cache.unpin(c, 0)
	is.Equal(cache.pinnedTokens, 0)
	is.True(cache.usedTokens <= cache.capacity)
	cache.evict(1000) // running requests occupy the whole capacity
	is.Equal(cache.usedTokens, 0)
	is.Equal(cache.uncachedTokens([]Part{{9, 10}, {1, 300}}), 310)
}

// Guards against shares that add up to more or less than the capacity.
func TestMaxMinShare(t *testing.T) {
	is := is.New(t)
	is.Equal(maxMinShare([]float64{10, 20, 30}, 100), math.Inf(1))
	is.Equal(maxMinShare([]float64{100, 10, 100}, 110), 50.0)
	is.Equal(maxMinShare([]float64{100, 100}, 0), 0.0)
	is.Equal(maxMinShare(nil, 10), math.Inf(1))
}

// Guards against counts that stay after they have left the window.
func TestSharesWindow(t *testing.T) {
	is := is.New(t)
	s := newShares(4 * time.Second)
	s.advance(0, 100)
	s.recordRequested("new", 1000)
	s.advance(time.Second, 100)
	is.Equal(s.fairShare, 200.0) // counted over 2 s, less than the window
	s.advance(5*time.Second, 100)
	s.recordRequested("a", 1000)
	s.recordGranted("a", 300)
	s.advance(6*time.Second, 100)
	is.Equal(s.fairShare, 400.0)
	is.Equal(s.excess("a", 50), 0.0)
	is.Equal(s.excess("a", 500), 2.0)
	s.advance(10*time.Second, 100)
	is.Equal(s.fairShare, math.Inf(1))
	is.Equal(len(s.byName), 0)
}

// Guards against credit from nothing: tokens given back for requests that were never charged, as
// resumed streams and those reported to a new owner, or whose charge has left the window.
func TestRefundsMatchCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(1, 3, 8, 100_000, 1000)
		o, now := s.owner, time.Duration(0)
		running := map[Key]bool{}
		for n := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			k := Key{"n", n}
			req := Request{Service: "m", Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"), PromptTokens: 100,
				Objective: second, RouteObjective: second, Deadline: 4 * second, Prompt: []Part{{ID: PartID(n + 1), Tokens: 100}}}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				o.Submit(k, req, now)
			case 1:
				req.Resumes = true
				o.Submit(k, req, now)
			case 2:
				o.AddRunning(k, req, "e00", false, false, 0, now)
				running[k] = true
			case 3:
				for k := range running {
					o.End(k, rapid.SampledFrom([]api.AttemptOutcome{api.AttemptServed, api.AttemptUnsent, api.AttemptTargetFull}).Draw(t, "outcome"), now)
					delete(running, k)
				}
			}
			o.Tick(now)
			o.advanceShares(now)
			for _, d := range o.Decisions() {
				if d.Target != "" {
					running[d.Key] = true
				}
			}
			for name, u := range o.shares.byName {
				if u.grantedSum < 0 {
					t.Fatalf("grants of %s: %v tokens", name, u.grantedSum)
				}
			}
		}
	})
}

// Guards against Local selecting targets that must not be used, or always the same one of
// several equal targets.
func TestLocalChoice(t *testing.T) {
	is := is.New(t)
	l := NewLocal("z1")
	targets := []api.Target{
		{ID: "leaving", Service: "s", DataCentre: "z1", Leaving: true}, {ID: "out", Service: "s", DataCentre: "z2"},
		{ID: "cold", Service: "s", DataCentre: "z1", ColdUntil: 10 * second}, {ID: "other", Service: "x", DataCentre: "z1"},
		{ID: "near", Service: "s", DataCentre: "z1"}, {ID: "far", Service: "s", DataCentre: "z3"},
	}
	q := Query{Service: "s", Targets: targets, OutOfService: map[string]bool{"z2": true}}
	choose := func() string {
		got, ok := l.Choose(q)
		is.True(ok)
		return got.ID
	}
	is.Equal(choose(), "near")
	l.Start(targets[4])
	is.Equal(choose(), "far") // the load outweighs the distance
	l.Start(targets[5])
	q.Tried = []string{"near"}
	is.Equal(choose(), "far")
	q.Tried = nil
	l.End(targets[4], api.AttemptIncomplete, 0, 0)
	is.Equal(choose(), "far") // near has failed recently
	q.Now = 20 * second
	q.Targets = targets[:3]
	is.Equal(choose(), "cold") // it is warm by now
	q.Now = 0
	_, ok := l.Choose(q)
	is.True(!ok)
	q.Targets, q.MaxRunning = targets, 1
	_, ok = l.Choose(q)
	is.True(ok) // near has ended its only request
	l.Start(targets[4])
	_, ok = l.Choose(q)
	is.True(!ok) // near and far have reached MaxRunning
}

// Guards against entry instances that prefill the same shared part on different targets while
// no owner responds.
func TestLocalAffinity(t *testing.T) {
	is := is.New(t)
	var targets []api.Target
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		targets = append(targets, api.Target{ID: id, Service: "s", DataCentre: id})
	}
	used := map[string]int{}
	for part := PartID(1); part <= 200; part++ {
		x, _ := NewLocal("a").Choose(Query{Service: "s", Targets: targets, AffinityPart: part, Random: 0.1})
		y, _ := NewLocal("d").Choose(Query{Service: "s", Targets: targets, AffinityPart: part, Random: 0.9})
		is.Equal(x.ID, y.ID)
		used[x.ID]++
	}
	for _, n := range used {
		is.True(n >= 20) // spread over all targets
	}
	is.Equal(len(used), 5)
}

// Guards against throttling a workspace within its share, throttling one after its overload
// has ended, and a caller who is throttled at one instance but not at the next one.
func TestThrottle(t *testing.T) {
	is := is.New(t)
	th, other := NewThrottle(), NewThrottle()
	at := 1000 * second
	throttled := func(th *Throttle, at time.Duration) (n int) {
		for hash := range RequestHash(1000) {
			if th.Refuses("w", hash+1, at, at) {
				n++
			}
		}
		return n
	}
	is.Equal(throttled(th, at), 0)
	th.SetShare("w", 0.2, at)
	other.SetShare("w", 0.3, at)
	is.True(throttled(th, at) >= 750 && throttled(th, at) <= 850)
	for hash := range RequestHash(1000) {
		// What passes the lower share passes the higher one.
		is.True(th.Refuses("w", hash, at, at) || !other.Refuses("w", hash, at, at))
	}
	is.True(!th.Refuses("other", 1, at, at))
	is.Equal(th.RetryAfter("w"), 2500*time.Millisecond)
	is.Equal(th.RetryAfter("other"), throttleRetryAfter)
	th.SetShare("w", 0.01, at)
	is.Equal(th.RetryAfter("w"), maxThrottleRetryAfter)
	is.Equal(throttled(th, at+forwardShareTTL), 0)
	th.SetShare("w", 0.5, at)
	th.SetShare("w", 1, at)
	is.Equal(throttled(th, at), 0)
	is.Equal(len(th.byWorkspace), 0)
}

// Guards against entry instances that throttle what the owner would grant, or forward an
// overload that it must refuse.
func TestForwardShare(t *testing.T) {
	is := is.New(t)
	s := newShares(4 * second)
	s.advance(0, 1000)
	s.recordRequested("small", 100)
	s.recordRequested("flood", 40_000)
	s.recordGranted("flood", 1000)
	s.advance(3*second, 1000) // the share of "flood" is 2,900 tokens in 3 s
	is.Equal(s.forwardShare("unknown"), 1.0)
	is.Equal(s.forwardShare("small"), 1.0)
	is.Equal(s.forwardShare("flood"), forwardSlack*2900/40_000) // at least its share
	s.recordGranted("flood", 3000)
	is.Equal(s.forwardShare("flood"), forwardSlack*0.1)
	s.recordRequested("best", 90_000)
	s.recordGranted("best", 20_000)
	s.advance(3500*time.Millisecond, 1000)
	is.Equal(s.forwardShare("flood"), forwardSlack*0.5) // as much as the best served workspace
	s.recordGranted("flood", 36_000)                    // there is capacity for all
	is.Equal(s.forwardShare("flood"), 1.0)
	s.recordRequested("huge", 4_000_000)
	is.Equal(s.forwardShare("huge"), minForwardShare)
}

// Guards against an overloaded workspace that uses the idle capacity while another one is
// refused most of its requests, and against limiting one without need.
func TestExceedsIdleLead(t *testing.T) {
	is := is.New(t)
	s := newShares(4 * second)
	s.recordRequested("first", 100_000)
	s.recordRequested("second", 20_000)
	s.recordRequested("small", 100)
	s.advance(2*second, 2000) // a share of 1,950 tokens in 2 s
	s.recordGranted("first", 6000)
	s.recordGranted("second", 3000)
	now := 2 * second
	is.True(!s.exceedsIdleLead("first", 100, now)) // no unmet demand
	s.recordUnmet("small", now)
	is.True(!s.exceedsIdleLead("first", 100, now)) // "small" is within its share
	s.recordUnmet("second", now)
	is.True(s.exceedsIdleLead("first", 100, now)) // 6,100 exceed 1.6 times 3,000
	is.True(!s.exceedsIdleLead("second", 100, now))
	is.True(!s.exceedsIdleLead("first", 100, now+unmetTime+1))
	s.recordGranted("second", 10_000)
	is.True(!s.exceedsIdleLead("first", 100, now)) // the other one was granted most of its demand
}

// Guards against decisions that report no wait for requests that were queued.
func TestDecisionReportsWait(t *testing.T) {
	is := is.New(t)
	s := newSim(8, 1, 1, 100_000, 100_000)
	req := Request{Service: "m", Workspace: "w", PromptTokens: 100, OutputTokens: 10, Objective: 5 * second, Deadline: 20 * second,
		RouteObjective: 5 * second, Prompt: []Part{{ID: 1, Tokens: 50}, {ID: 2, Tokens: 50}}}
	s.owner.Submit(Key{"n", 1}, req, 0)
	s.owner.Submit(Key{"n", 2}, req, 0)
	is.Equal(s.owner.Decisions()[0].QueueDelay, time.Duration(0))
	s.owner.End(Key{"n", 1}, api.AttemptServed, 300*time.Millisecond)
	is.Equal(s.owner.Decisions()[0].QueueDelay, 300*time.Millisecond)
}

// Guards against entry instances that lose the owner at the same moment and together send targets far
// more requests than they have slots, because each of many instances may run one on each target, and
// against one that may run none at all.
func TestLocalChoicesKeepToSlots(t *testing.T) {
	is := is.New(t)
	const slots = 64
	for _, c := range []struct{ instances, targets int }{{8, 18}, {300, 265}, {300, 20}, {1100, 1200}} {
		var targets []api.Target
		for i := range c.targets {
			targets = append(targets, api.Target{ID: fmt.Sprintf("i-%05d", i), Service: "m", DataCentre: fmt.Sprint("z", i%4), Slots: slots})
		}
		running := map[string]int{}
		for i := range c.instances {
			l := NewLocal("z")
			share := 0.7 * slots / float64(c.instances)
			q := Query{Service: "m", Targets: LocalTargets(targets, "m", share, fmt.Sprintf("entry-%d", i)), MaxRunning: max(1, int(share+0.5))}
			placed := 0
			for range 60 {
				got, ok := l.Choose(q)
				if !ok {
					break
				}
				l.Start(got)
				running[got.ID]++
				placed++
			}
			is.True(placed > 0)
		}
		total, most := 0, 0
		for _, n := range running {
			total, most = total+n, max(most, n)
		}
		if most > 2*slots || total > slots*c.targets {
			t.Errorf("%d instances, %d targets with %d slots: %d requests on one, %d in all", c.instances, c.targets, slots, most, total)
		}
	}
}

// Guards against a workspace that floods an instance without an owner and leaves the others nothing.
func TestLocalChoiceKeepsRoomForOtherWorkspaces(t *testing.T) {
	is := is.New(t)
	l := NewLocal("z")
	q := Query{Service: "m", MaxRunning: 4}
	for i := range 5 {
		q.Targets = append(q.Targets, api.Target{ID: fmt.Sprint("t", i), Service: "m", DataCentre: "z"})
	}
	place := func(most int) (placed int) {
		for placed = range most {
			q.WorkspaceRunning = placed
			got, ok, overShare := l.ChooseShared(q)
			if !ok {
				is.True(overShare)
				return placed
			}
			l.Start(got)
		}
		return most
	}
	is.Equal(place(20), 10) // half of the 20 slots
	is.Equal(place(20), 5)  // half of the rest
	is.Equal(place(1), 1)
}
