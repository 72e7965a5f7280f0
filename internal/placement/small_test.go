package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
)

// Guards against a memory model that forgets parts in use, keeps too much, or
// reads parts behind a missing one as kept.
func TestHeld(t *testing.T) {
	is := is.New(t)
	h := newHeld(1000)
	a := []Part{{1, 300}, {2, 300}}
	b := []Part{{1, 300}, {3, 300}}
	c := []Part{{4, 500}}
	is.Equal(h.missing(a), 600)
	h.take(a, 0)
	is.Equal(h.inUse, 600)
	is.Equal(h.missing(b), 300)
	h.take(b, 0)
	is.Equal(h.inUse, 900) // the common part once
	h.release(a, 0)
	is.Equal(h.missing(a), 0)
	h.take(c, 0) // over the capacity: part 2 yields, which nobody uses
	is.Equal(h.missing(a), 300)
	is.Equal(h.missing(b), 0)
	h.release(b, 0)
	h.release(c, 0)
	is.Equal(h.inUse, 0)
	is.True(h.used <= h.capacity)
	h.yield(1000) // running requests take all
	is.Equal(h.used, 0)
	is.Equal(h.missing([]Part{{9, 10}, {1, 300}}), 310)
}

// Guards against a share that exceeds the capacity, or leaves some of it.
func TestWaterLevel(t *testing.T) {
	is := is.New(t)
	is.Equal(waterLevel([]float64{10, 20, 30}, 100), math.Inf(1))
	is.Equal(waterLevel([]float64{100, 10, 100}, 110), 50.0)
	is.Equal(waterLevel([]float64{100, 100}, 0), 0.0)
	is.Equal(waterLevel(nil, 10), math.Inf(1))
}

// Guards against shares that keep what lies before the window.
func TestSharesWindow(t *testing.T) {
	is := is.New(t)
	s := newShares(4 * time.Second)
	s.advance(0, 100)
	s.ask("new", 1000)
	s.advance(time.Second, 100)
	is.Equal(s.level, 200.0) // counted for less than the window
	s.advance(5*time.Second, 100)
	s.ask("a", 1000)
	s.begin("a", 300)
	s.advance(6*time.Second, 100)
	is.Equal(s.level, 400.0)
	is.Equal(s.excess("a", 50), 0.0)
	is.Equal(s.excess("a", 500), 2.0)
	s.advance(10*time.Second, 100)
	is.Equal(s.level, math.Inf(1))
	is.Equal(len(s.byName), 0)
}

// Guards against an entry that sends to targets that must not be used, or all to
// one of several equal ones.
func TestLocalChoice(t *testing.T) {
	is := is.New(t)
	l := NewLocal("z1")
	targets := []api.Target{
		{ID: "leaving", Service: "s", DataCentre: "z1", Leaving: true}, {ID: "out", Service: "s", DataCentre: "z2"},
		{ID: "cold", Service: "s", DataCentre: "z1", ColdUntil: 10 * second}, {ID: "other", Service: "x", DataCentre: "z1"},
		{ID: "near", Service: "s", DataCentre: "z1"}, {ID: "far", Service: "s", DataCentre: "z3"},
	}
	q := Query{Service: "s", Targets: targets, Out: map[string]bool{"z2": true}}
	choose := func() string {
		got, ok := l.Choose(q)
		is.True(ok)
		return got.ID
	}
	is.Equal(choose(), "near")
	l.Start(targets[4])
	is.Equal(choose(), "far") // the load outweighs the way
	l.Start(targets[5])
	q.Tried = []string{"near"}
	is.Equal(choose(), "far")
	q.Tried = nil
	l.End(targets[4], api.WorkBroken, 0, 0)
	is.Equal(choose(), "far") // it has failed lately
	q.Now = 20 * second
	q.Targets = targets[:3]
	is.Equal(choose(), "cold") // warm meanwhile
	q.Now = 0
	_, ok := l.Choose(q)
	is.True(!ok)
	q.Targets, q.MostRunning = targets, 1
	_, ok = l.Choose(q)
	is.True(ok) // near has ended its only request
	l.Start(targets[4])
	_, ok = l.Choose(q)
	is.True(!ok) // the bound of this instance
}

// Guards against entries that read the same shared part on different targets while
// no owner answers.
func TestLocalHome(t *testing.T) {
	is := is.New(t)
	var targets []api.Target
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		targets = append(targets, api.Target{ID: id, Service: "s", DataCentre: id})
	}
	used := map[string]int{}
	for part := PartID(1); part <= 200; part++ {
		x, _ := NewLocal("a").Choose(Query{Service: "s", Targets: targets, Home: part, Random: 0.1})
		y, _ := NewLocal("d").Choose(Query{Service: "s", Targets: targets, Home: part, Random: 0.9})
		is.Equal(x.ID, y.ID)
		used[x.ID]++
	}
	for _, n := range used {
		is.True(n >= 20) // spread over all
	}
	is.Equal(len(used), 5)
}

// Guards against a workspace within its share that is held back, one that stays held
// back after its flood, and a caller that is held back at one instance and not at the
// next one.
func TestFloodHolds(t *testing.T) {
	is := is.New(t)
	f, g := NewFlood(), NewFlood()
	at := 1000 * second
	held := func(f *Flood, at time.Duration) (n int) {
		for own := range PartID(1000) {
			if f.Holds("w", own+1, at) {
				n++
			}
		}
		return n
	}
	is.Equal(held(f, at), 0)
	f.Tell("w", 0.2, at)
	g.Tell("w", 0.3, at)
	is.True(held(f, at) >= 750 && held(f, at) <= 850)
	for own := range PartID(1000) {
		is.True(f.Holds("w", own, at) || !g.Holds("w", own, at)) // what the one lets pass passes the other
	}
	is.True(!f.Holds("other", 1, at))
	is.Equal(f.Advice("w"), 2500*time.Millisecond)
	is.Equal(f.Advice("other"), floodAdvice)
	f.Tell("w", 0.01, at)
	is.Equal(f.Advice("w"), floodAdviceMost)
	is.Equal(held(f, at+passFor), 0)
	f.Tell("w", 0.5, at)
	f.Tell("w", 1, at)
	is.Equal(held(f, at), 0)
	is.Equal(len(f.byName), 0)
}

// Guards against entry instances that hold back what the owner would grant, and against
// ones that let pass a flood that it must refuse.
func TestPassShare(t *testing.T) {
	is := is.New(t)
	s := newShares(4 * second)
	s.advance(0, 1000)
	s.ask("small", 100)
	s.ask("flood", 40_000)
	s.begin("flood", 1000)
	s.advance(3*second, 1000) // the share of the flood is 2,900 tokens in 3 s
	is.Equal(s.passShare("unknown"), 1.0)
	is.Equal(s.passShare("small"), 1.0)
	is.Equal(s.passShare("flood"), passSlack*2900/40_000) // its share at least
	s.begin("flood", 3000)
	is.Equal(s.passShare("flood"), passSlack*0.1)
	s.ask("best", 90_000)
	s.begin("best", 20_000)
	s.advance(3500*time.Millisecond, 1000)
	is.Equal(s.passShare("flood"), passSlack*0.5) // as much as the best served one
	s.begin("flood", 36_000)                      // there is room for all
	is.Equal(s.passShare("flood"), 1.0)
	s.ask("huge", 4_000_000)
	is.Equal(s.passShare("huge"), passLeast)
}

// Guards against a flood that takes the idle room while another one is refused most of
// what it asks for, and against one that is bounded for no other's sake.
func TestOutruns(t *testing.T) {
	is := is.New(t)
	s := newShares(4 * second)
	s.ask("first", 100_000)
	s.ask("second", 20_000)
	s.ask("small", 100)
	s.advance(2*second, 2000) // a share of 1,950 tokens in 2 s
	s.begin("first", 6000)
	s.begin("second", 3000)
	now := 2 * second
	is.True(!s.outruns("first", 100, now)) // nobody is refused
	s.deny("small", now)
	is.True(!s.outruns("first", 100, now)) // not beyond its share
	s.deny("second", now)
	is.True(s.outruns("first", 100, now)) // 6,100 of 1.6 times 3,000
	is.True(!s.outruns("second", 100, now))
	is.True(!s.outruns("first", 100, now+deniedFor+1))
	s.begin("second", 10_000)
	is.True(!s.outruns("first", 100, now)) // the other one gets most of what it asks for
}

// Guards against lines that tell no wait for requests that have waited for their target.
func TestWaitIsTold(t *testing.T) {
	is := is.New(t)
	s := newSim(8, 1, 1, 100_000, 100_000)
	a := Ask{Service: "m", Workspace: "w", PromptTokens: 100, OutputTokens: 10, Objective: 5 * second, Last: 20 * second,
		Allowed: 5 * second, Prompt: []Part{{ID: 1, Tokens: 50}, {ID: 2, Tokens: 50}}}
	s.owner.Ask(Key{"n", 1}, a, 0)
	s.owner.Ask(Key{"n", 2}, a, 0)
	is.Equal(s.owner.Decisions()[0].Wait, time.Duration(0))
	s.owner.End(Key{"n", 1}, api.WorkServed, 300*time.Millisecond)
	is.Equal(s.owner.Decisions()[0].Wait, 300*time.Millisecond)
}
