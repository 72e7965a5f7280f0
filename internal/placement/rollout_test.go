package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// testSplitter sends every n-th request to the new version, or all after the move.
type testSplitter struct {
	every, chosen, granted int
	allowed                int // grants to the new version
	moved                  bool
	canaries               map[string]bool // nil = all
	routes                 map[string]int
}

func (s *testSplitter) Choose(route string, _ time.Duration) bool {
	s.chosen++
	s.routes[route]++
	return s.granted < s.allowed && (s.moved || s.every > 0 && s.chosen%s.every == 0)
}
func (s *testSplitter) IsCanary(id string) bool   { return s.canaries == nil || s.canaries[id] }
func (s *testSplitter) HasMoved() bool            { return s.moved }
func (s *testSplitter) RecordGrant(time.Duration) { s.granted++ }

// rolloutHarness is an owner with targets "old0"… of version 1 and "new0"… of version 2 of the service m, to which
// a rollout runs.
type rolloutHarness struct {
	*is.I
	o        *Owner
	view     View
	splitter *testSplitter
	now      time.Duration
	number   uint64
}

func newRolloutHarness(t *testing.T, old, fresh, slots int) *rolloutHarness {
	r := &rolloutHarness{I: is.New(t), o: NewOwner(Config{ShareWindow: 4 * time.Second}), splitter: &testSplitter{allowed: 1 << 30, routes: map[string]int{}}}
	r.view = View{
		Services: map[string]*routing.Service{"m": {Name: "m", Engine: &routing.Engine{Slots: slots, CacheTokens: 100_000}}, "p": {Name: "p"}},
		Rollouts: map[string]api.Rollout{"m": {Service: "m", Version: "2", Started: 5, State: api.RolloutRunning}},
	}
	for i := range old {
		r.view.Targets = append(r.view.Targets, api.Target{ID: fmt.Sprint("old", i), Service: "m", Version: "1", Slots: slots})
	}
	for i := range fresh {
		r.view.Targets = append(r.view.Targets, api.Target{ID: fmt.Sprint("new", i), Service: "m", Version: "2", Slots: slots})
	}
	r.o.SetView(r.view, 0)
	r.o.SetSplitter("m", 5, r.splitter, 0)
	return r
}

// end changes the state of the rollout.
func (r *rolloutHarness) end(state api.RolloutState, replaced ...string) {
	m := r.view.Rollouts["m"]
	m.State, m.Replaced = state, replaced
	r.view.Rollouts = map[string]api.Rollout{"m": m}
	r.o.SetView(r.view, r.now)
}

// submit asks for a target and returns the number of the request.
func (r *rolloutHarness) submit(change func(*Request)) uint64 {
	r.number++
	req := Request{Service: "m", Workspace: "w", Route: "r", PromptTokens: 100, OutputTokens: 1, Objective: 5 * second, Deadline: 20 * second,
		RouteObjective: 5 * second, Prompt: []Part{{ID: PartID(r.number), Tokens: 100}}}
	if change != nil {
		change(&req)
	}
	r.o.Submit(Key{"e", r.number}, req, r.now)
	return r.number
}

// decision returns the only decision since the last call.
func (r *rolloutHarness) decision() Decision {
	r.Helper()
	d := r.o.Decisions()
	r.Equal(len(d), 1)
	return d[0]
}

func (r *rolloutHarness) finish(n uint64) {
	r.o.End(Key{"e", n}, api.AttemptServed, r.now)
}

// tick lets time pass.
func (r *rolloutHarness) tick() {
	r.now += 20 * time.Millisecond
	r.o.Tick(r.now)
}

// Guards against a target of the new version that gets requests which were not given to it: without an owner's
// decision on the split, of an entry instance that does not know of the rollout, or beyond its share.
func TestNewVersionServesOnlyWhatItIsGiven(t *testing.T) {
	r := newRolloutHarness(t, 2, 4, 0)
	r.o.SetSplitter("m", 5, nil, 0)
	for range 20 {
		r.submit(nil)
		r.True(!r.decision().NewVersion)
	}
	r.splitter.every = 1
	r.o.SetSplitter("m", 4, r.splitter, 0) // of an earlier rollout
	r.submit(nil)
	r.True(!r.decision().NewVersion)
	r.o.SetSplitter("m", 5, r.splitter, 0)
	r.submit(func(req *Request) { req.Route = "" })
	r.True(!r.decision().NewVersion)
	r.Equal(r.splitter.chosen, 0)

	r.splitter.every, r.splitter.canaries = 4, map[string]bool{"new1": true}
	r.tick()
	onNew := 0
	for i := range 80 {
		n := r.submit(func(req *Request) { req.Route = fmt.Sprint("r", i%2) })
		d := r.decision()
		r.Equal(d.NewVersion, d.Target == "new1")
		r.True(d.NewVersion || d.Target == "old0" || d.Target == "old1")
		if d.NewVersion {
			onNew++
		}
		r.finish(n)
	}
	r.Equal(onNew, 20)
	r.Equal(r.splitter.granted, 20)
	r.Equal(r.splitter.chosen, 80)
	r.Equal(r.splitter.routes, map[string]int{"r0": 40, "r1": 40})
}

// Guards against retries and resumed streams that are not counted as requests of their own, and against a queued
// request that is counted each time that it is decided on.
func TestEachAttemptIsCountedOnce(t *testing.T) {
	r := newRolloutHarness(t, 1, 1, 1)
	first := r.submit(nil)
	r.Equal(r.decision().Target, "old0")
	r.submit(func(req *Request) { req.Tried = []string{"old0"} })
	r.submit(func(req *Request) { req.Resumes = true })
	r.Equal(r.splitter.chosen, 1)
	for range 50 {
		r.tick()
	}
	r.Equal(r.splitter.chosen, 1) // the others wait
	r.finish(first)
	r.decision()
	r.Equal(r.splitter.chosen, 2)
}

// Guards against a request that waits for a canary target although another one has room.
func TestCanaryRequestDoesNotWait(t *testing.T) {
	r := newRolloutHarness(t, 2, 1, 1)
	r.splitter.every = 1
	r.submit(nil)
	r.Equal(r.decision().Target, "new0")
	r.submit(nil)
	d := r.decision()
	r.True(d.Target == "old0" || d.Target == "old1")
	r.True(!d.NewVersion)
	r.Equal(r.splitter.granted, 1)
	r.o.End(Key{"e", 1}, api.AttemptUnreachable, r.now) // suspect now
	r.submit(nil)
	r.True(!r.decision().NewVersion)
}

// Guards against a move that leaves requests on old targets while new ones can be used, that lets them wait for
// new targets of which none can be used, and that grants more than the account allows.
func TestMovedRequestsGoToNewVersion(t *testing.T) {
	r := newRolloutHarness(t, 2, 1, 1)
	r.splitter.moved = true
	r.tick()
	first := r.submit(nil)
	r.Equal(r.decision().Target, "new0")
	r.submit(nil) // waits for new0, whose slot is taken
	r.Equal(len(r.o.Decisions()), 0)
	r.finish(first)
	r.Equal(r.decision().Target, "new0")

	third := r.submit(nil)
	r.Equal(len(r.o.Decisions()), 0)
	r.splitter.allowed = r.splitter.granted
	r.finish(2)
	d := r.decision() // no grant is left
	r.True(!d.NewVersion && d.Target != "new0")
	r.finish(third)

	r.splitter.allowed = 1 << 30
	r.view.Targets[2].Leaving = true
	r.o.SetView(r.view, r.now)
	r.submit(nil)
	r.True(!r.decision().NewVersion)
}

// Guards against requests that stay queued for a version to which they must not go any more: for the old one at
// the move, and for either one at the end of the rollout.
func TestQueuedRequestsFollowRollout(t *testing.T) {
	r := newRolloutHarness(t, 1, 1, 1)
	r.submit(nil)
	r.Equal(r.decision().Target, "old0")
	r.submit(nil)
	r.Equal(len(r.o.Decisions()), 0) // waits for old0
	r.splitter.moved = true
	r.tick()
	r.Equal(r.decision().Target, "new0")
	r.submit(nil)
	r.Equal(len(r.o.Decisions()), 0) // waits for new0
	r.finish(1)
	r.Equal(len(r.o.Decisions()), 0)
	r.splitter.moved = false // the verdict is against the version
	r.tick()
	r.Equal(r.decision().Target, "old0")

	r.submit(nil)
	r.Equal(len(r.o.Decisions()), 0) // waits for old0
	r.finish(2)
	r.end(api.RolloutSucceeded, "1")
	d := r.decision()
	r.Equal(d.Target, "new0")
	r.True(d.NewVersion) // for an entry instance that has not received the end yet
}

// Guards against targets that get requests after the end of a rollout, when the platform stops them.
func TestExcludedTargetsAreNotUsed(t *testing.T) {
	for state, want := range map[api.RolloutState]string{api.RolloutSucceeded: "new0", api.RolloutRolledBack: "old0"} {
		r := newRolloutHarness(t, 1, 1, 0)
		r.end(state, "1")
		for range 20 {
			r.submit(func(req *Request) { req.Prompt = []Part{{ID: 77, Tokens: 50}, {ID: 78, Tokens: 50}} })
			r.Equal(r.decision().Target, want)
		}
		r.True(!r.o.CanUse(map[string]string{"new0": "old0", "old0": "new0"}[want], r.now))
	}
}

// Guards against a service that gets no target because all of its targets have the ordered version already, and
// against a bad version that gets all requests because the others were lost during the rollout.
func TestNoOtherVersion(t *testing.T) {
	r := newRolloutHarness(t, 0, 1, 0)
	r.True(!r.o.UnderRollout("m"))
	r.submit(nil)
	r.Equal(r.decision().Target, "new0")

	r = newRolloutHarness(t, 1, 1, 0)
	r.view.Targets = r.view.Targets[1:]
	r.o.SetView(r.view, 0)
	r.submit(nil)
	r.Equal(r.decision().Code, CodeNoTarget)
}

// Guards against a slow new version that hides in the rate that was learned of its own targets.
func TestExpectedTimeFollowsOldTargets(t *testing.T) {
	r := newRolloutHarness(t, 2, 1, 0)
	r.splitter.every = 1
	r.o.targets["old0"].prefillRate, r.o.targets["old1"].prefillRate, r.o.targets["new0"].prefillRate = 10, 30, 1
	r.tick()
	ask := func() Decision {
		r.submit(func(req *Request) { req.PromptTokens, req.Prompt[0].Tokens = 200, 200 })
		return r.decision()
	}
	d := ask()
	r.True(d.NewVersion)
	r.Equal(d.Expected, baseLatency+10*time.Millisecond)
	r.splitter.every = 0
	r.Equal(ask().Expected, baseLatency+10*time.Millisecond)
	r.submit(func(req *Request) { req.Service = "p" })
	r.Equal(r.decision().Expected, time.Duration(0))
}

// Guards against plain requests that are sent to the new version without being counted.
func TestPlainRequestsAreSplit(t *testing.T) {
	r := newRolloutHarness(t, 1, 1, 0)
	r.splitter.every = 2
	for i := range 10 {
		r.submit(func(req *Request) { req.Plain = true })
		d := r.decision()
		r.True(d.Permitted)
		r.Equal(d.NewVersion, i%2 == 1)
	}
	r.Equal(r.splitter.granted, 5)
	r.end(api.RolloutSucceeded, "1")
	r.submit(func(req *Request) { req.Plain = true }) // of an entry instance that has not received the end yet
	r.True(r.decision().NewVersion)
	r.submit(func(req *Request) { req.Plain, req.Service = true, "p" })
	r.True(!r.decision().NewVersion)
}

// Measures one decision of the owner while a rollout of the service runs, in fleets of different sizes.
func BenchmarkDecideUnderRollout(b *testing.B) {
	for _, targets := range []int{64, 256, 1024} {
		b.Run(fmt.Sprint(targets, " targets"), func(b *testing.B) {
			s := newBusyFleet(targets)
			for i := range targets {
				s.view.Targets = append(s.view.Targets, api.Target{ID: fmt.Sprint("new", i), Service: "m", DataCentre: "z1", Slots: 12, Version: "2"})
			}
			s.view.Rollouts = map[string]api.Rollout{"m": {Service: "m", Version: "2", Started: 5, State: api.RolloutRunning}}
			s.owner.SetView(s.view, s.now)
			s.owner.SetSplitter("m", 5, &testSplitter{every: 10, allowed: 1 << 30, routes: map[string]int{}, canaries: map[string]bool{"new1": true, "new2": true}}, s.now)
			req := Request{Service: "m", Route: "r", Workspace: "w1", PromptTokens: 12_000, OutputTokens: 378, Objective: 800 * time.Millisecond,
				RouteObjective: 800 * time.Millisecond, Deadline: 12 * second, DataCentre: "z1"}
			b.ResetTimer()
			for i := range b.N {
				req.Prompt = []Part{{ID: hashPart("compare", i%40), Tokens: 5382}, {ID: PartID(i + 1), Tokens: 6610}}
				k := Key{"n0", uint64(1_000_000 + i)}
				s.owner.Submit(k, req, s.now)
				s.owner.End(k, api.AttemptUnsent, s.now)
				s.owner.Decisions()
			}
		})
	}
}
