package placer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
)

var (
	oldTarget = api.Target{ID: "old", Service: "m", DataCentre: "z", Version: "1", Slots: 4, StartedUnixMs: 1}
	newTarget = api.Target{ID: "new", Service: "m", DataCentre: "z", Version: "2", Slots: 4, StartedUnixMs: 1}
)

// rolloutView is the view and the target list of a test, which it may change.
type rolloutView struct {
	api.Fleet
	api.Directory
	view    *api.View
	targets []api.Target
}

func (v *rolloutView) View() *api.View          { return v.view }
func (v *rolloutView) OnChange(func(*api.View)) {}
func (v *rolloutView) Targets() []api.Target    { return v.targets }
func (v *rolloutView) Target(id string) (api.Target, bool) {
	for _, t := range v.targets {
		if t.ID == id {
			return t, true
		}
	}
	return api.Target{}, false
}

type rolloutDirectory struct {
	api.Directory
	v *rolloutView
}

func (d rolloutDirectory) Targets() []api.Target               { return d.v.Targets() }
func (d rolloutDirectory) Target(id string) (api.Target, bool) { return d.v.Target(id) }

// newRolloutHarness returns a placer whose view has a running rollout of the service m to version 2.
func newRolloutHarness(t *testing.T, targets ...api.Target) (*harness, *rolloutView) {
	r := newHarness(t)
	v := &rolloutView{targets: targets, view: &api.View{}}
	r.p.fleet, r.p.directory, r.p.process = v, rolloutDirectory{v: v}, "p1"
	r.Advance(time.Hour, time.Hour)
	r.setRollout(v, api.RolloutRunning)
	return r, v
}

// setRollout gives the placer a view in which the rollout has a state.
func (r *harness) setRollout(v *rolloutView, state api.RolloutState, replaced ...string) {
	v.view = &api.View{Rollouts: map[string]api.Rollout{"m": {Service: "m", Version: "2", Started: 5, State: state, Replaced: replaced}}}
	r.p.viewChanged(v.view)
}

// start places a request and returns its number at the owner.
func (r *harness) start(w *api.PlacementRequest, after uint64) (chan result, uint64) {
	done := make(chan result, 1)
	go func() {
		p, err := r.p.Place(context.Background(), w)
		done <- result{p, err}
	}()
	return done, r.waitForAsk(after)
}

func (r *harness) decide(d placewire.Decision) {
	r.respond(placewire.OwnerMessage{Term: r.p.owner.term, Decisions: []placewire.Decision{d}})
}

// sendPendingMessage sends the pending message and returns it.
func (r *harness) sendPendingMessage() placewire.EntryMessage {
	r.True(r.p.sendPending())
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[len(r.sent)-1]
}

func plainOnRoute(route string) *api.PlacementRequest {
	return &api.PlacementRequest{Service: "m", Route: &routing.Route{Name: route}}
}

func modelOnRoute(route string) *api.PlacementRequest {
	return &api.PlacementRequest{Service: "m", Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{Name: route}}
}

// Guards against plain requests that are sent to the new version uncounted, and against ones that the owner gave
// to it and that find no target.
func TestPlainRequestAsksForItsVersion(t *testing.T) {
	r, v := newRolloutHarness(t, oldTarget, newTarget)
	done, n := r.start(plainOnRoute("r1"), 0)
	m := r.sendPendingMessage()
	r.Equal(m.Requests[0].Route, "r1")
	r.True(m.Requests[0].Plain)
	r.decide(placewire.Decision{Number: n, Permitted: true, NewVersion: true})
	got := <-done
	r.NoErr(got.err)
	r.Equal(got.placement.Target().ID, "new")
	r.NoErr(got.placement.BeforeSend())
	r.True(errors.Is(got.placement.BeforeSend(), errVersionUsed))
	got.placement.End(api.AttemptUnreachable) // suspect now

	for _, d := range []placewire.Decision{{Permitted: true}, {Permitted: true, NewVersion: true}} {
		done, n = r.start(plainOnRoute("r1"), n)
		d.Number = n
		r.decide(d)
		got = <-done
		r.NoErr(got.err)
		r.Equal(got.placement.Target().ID, "old")
		r.NoErr(got.placement.BeforeSend())
		r.NoErr(got.placement.BeforeSend()) // only grants to the new version are good for one send
	}

	r.setRollout(v, api.RolloutSucceeded, "1")
	p, err := r.p.Place(context.Background(), plainOnRoute("r1")) // asks nobody any more
	r.NoErr(err)
	r.Equal(p.Target().ID, "new")
	r.NoErr(p.BeforeSend())
}

// Guards against sends to the new version that the owner has not counted: by a former grant that is used again, or
// after an instance was suspended or cut off from the owner.
func TestGrantToNewVersionIsGoodForOneSend(t *testing.T) {
	r, _ := newRolloutHarness(t, oldTarget, newTarget)
	done, n := r.start(modelOnRoute("r1"), 0)
	r.decide(placewire.Decision{Number: n, Target: "new", NewVersion: true})
	got := <-done
	r.NoErr(got.placement.BeforeSend())
	r.True(errors.Is(got.placement.BeforeSend(), errVersionUsed))
	got.placement.End(api.AttemptIncomplete) // the pooled connection was closed: no fault of the version
	r.Advance(crashCheckTime, crashCheckTime)
	r.Equal(len(r.sendPendingMessage().Rollouts[0].Counts), 0)

	done, n = r.start(modelOnRoute("r1"), n)
	r.decide(placewire.Decision{Number: n, Target: "new", NewVersion: true})
	got = <-done
	r.Advance(grantLifetime+1, grantLifetime+1) // cut off meanwhile
	r.True(errors.Is(got.placement.BeforeSend(), errExpired))

	done, n = r.start(plainOnRoute("r1"), n)
	r.Advance(4*time.Second, 4*time.Second)
	r.decide(placewire.Decision{Number: n, Permitted: true, NewVersion: true}) // was in the receive buffer
	got = <-done
	r.NoErr(got.err)
	r.Equal(got.placement.Target().ID, "old")

	uncounted := r.p.startGranted(modelOnRoute("r1"), placewire.Decision{Number: 99, Target: "new"}) // of an owner that did not know of the rollout
	r.True(errors.Is(uncounted.BeforeSend(), errVersionNotGiven))
}

// Guards against an instance without an owner that sends requests to the new version, and against one that refuses
// them although there is nothing to move; a bad version must not get them when the others are lost.
func TestLocalChoiceUsesOldTargets(t *testing.T) {
	for name, w := range map[string]*api.PlacementRequest{"plain": plainOnRoute("r1"), "model": modelOnRoute("r1")} {
		t.Run(name, func(t *testing.T) {
			r, v := newRolloutHarness(t, newTarget, oldTarget)
			r.p.leaderChanged("", 2)
			for range 20 {
				p, err := r.p.Place(context.Background(), w)
				r.NoErr(err)
				r.Equal(p.Target().ID, "old")
				r.NoErr(p.BeforeSend())
				p.End(api.AttemptServed)
			}
			v.targets = []api.Target{newTarget}
			r.p.targetsChanged()
			_, err := r.p.Place(context.Background(), w)
			var refusal *api.Refusal
			r.True(errors.As(err, &refusal))
			r.Equal(refusal.Code, placement.CodeNoTarget)

			r, v = newRolloutHarness(t, newTarget)
			r.p.leaderChanged("", 2)
			p, err := r.p.Place(context.Background(), w)
			r.NoErr(err)
			r.Equal(p.Target().ID, "new")
			v.targets = []api.Target{newTarget, oldTarget}
			r.True(errors.Is(p.BeforeSend(), errVersionNotGiven)) // another version has been listed since
		})
	}
}

// Guards against an instance that was cut off during the rollback, and sends a request to the new version when it
// comes back; and against requests to targets that are being stopped after a success.
func TestExcludedTargetIsRefusedBeforeFirstByte(t *testing.T) {
	r, v := newRolloutHarness(t, oldTarget, newTarget)
	done, n := r.start(modelOnRoute("r1"), 0)
	r.decide(placewire.Decision{Number: n, Target: "new", NewVersion: true})
	got := <-done
	r.setRollout(v, api.RolloutRolledBack)
	r.True(errors.Is(got.placement.BeforeSend(), errVersionExcluded))
	r.p.leaderChanged("", 2)
	for range 10 {
		p, err := r.p.Place(context.Background(), modelOnRoute("r1"))
		r.NoErr(err)
		r.Equal(p.Target().ID, "old")
		p.End(api.AttemptServed)
	}

	r, v = newRolloutHarness(t, oldTarget, newTarget)
	done, n = r.start(modelOnRoute("r1"), 0)
	r.decide(placewire.Decision{Number: n, Target: "old"})
	got = <-done
	r.NoErr(got.placement.BeforeSend())
	r.setRollout(v, api.RolloutSucceeded, "1")
	r.True(errors.Is(got.placement.BeforeSend(), errVersionExcluded))
}

// Guards against evidence that is lost with a message or an owner, that floods the owner, or that is not sent when
// nothing else is.
func TestEvidenceIsSent(t *testing.T) {
	r, v := newRolloutHarness(t, oldTarget, newTarget)
	done, n := r.start(modelOnRoute("r1"), 0)
	r.decide(placewire.Decision{Number: n, Target: "old", ExpectedMs: 20})
	got := <-done
	r.NoErr(got.placement.BeforeSend())
	m := r.sendPendingMessage()
	r.Equal(len(m.Rollouts), 1)
	e := m.Rollouts[0]
	r.Equal([]any{e.Service, e.Started, e.Process, e.AgeMs, e.RunningOld}, []any{"m", uint64(5), "p1", int64(0), 1})

	r.Advance(20*time.Millisecond, 20*time.Millisecond)
	got.placement.ReportEvents(1)
	r.Advance(30*time.Millisecond, 30*time.Millisecond)
	got.placement.End(api.AttemptServed)
	r.Equal(len(r.sendPendingMessage().Rollouts), 0) // sent 50 ms ago
	wait, due := r.p.sendWait()
	r.True(due && wait == 50*time.Millisecond) // but by itself then
	r.Advance(wait, wait)
	e = r.sendPendingMessage().Rollouts[0]
	r.Equal(e.RunningOld, 0)
	r.Equal(e.AgeMs, int64(100))
	want := []placewire.RolloutOutcomes{{Route: "r1", Served: 1, Pace: []int{0, 0, 0, 0, 1}}}
	r.Equal(e.Counts, want)

	wait, due = r.p.sendWait()
	r.True(due && wait == maxEvidenceInterval)
	r.p.leaderChanged("o", 2)
	m = r.sendPendingMessage()
	r.True(m.FullReport)
	r.Equal(m.Rollouts[0].Counts, want)

	r.setRollout(v, api.RolloutSucceeded, "1")
	r.Advance(time.Second, time.Second)
	r.Equal(len(r.sendPendingMessage().Rollouts), 0)
}

// served returns an attempt on a route that was served after a time.
func served(target api.Target, took time.Duration) attemptResult {
	return attemptResult{route: "r", target: target, outcome: api.AttemptServed, took: took}
}

// Guards against outcomes that say nothing of the version and count as failures, and against failures of old targets
// that count for the new version.
func TestEvidenceCountsOutcomes(t *testing.T) {
	is := is.New(t)
	e := newRolloutEvidence("2", 0)
	for _, o := range []api.AttemptOutcome{api.AttemptServed, api.AttemptUnreachable, api.AttemptUnsent, api.AttemptTargetFull, api.AttemptPaused,
		api.AttemptWrongTarget, api.AttemptFailed, api.AttemptIncomplete, api.AttemptTimedOut, api.AttemptCancelled} {
		for _, target := range []api.Target{oldTarget, newTarget} {
			e.Record(attemptResult{route: "r", target: target, outcome: o}, 0)
		}
	}
	is.True(!e.Settle(crashCheckTime - 1))
	is.True(e.Settle(crashCheckTime))
	is.Equal(e.Counts(), []placewire.RolloutOutcomes{{Route: "r", Served: 1, Failed: 3, Pace: []int{}}, {Route: "r", Target: "new", Served: 1, Failed: 3, Pace: []int{}}})
}

// Guards against a crash that counts once for each request that broke off with it, whether it is found before or
// after these were counted, and against two crashes that count as one.
func TestEvidenceCountsCrashOnce(t *testing.T) {
	is := is.New(t)
	e := newRolloutEvidence("2", 0)
	broken := attemptResult{route: "r", target: newTarget, outcome: api.AttemptIncomplete}
	for range 12 {
		e.Record(broken, 0)
	}
	for range 6 {
		e.RecordCrash("r", &newTarget, 10*time.Millisecond)
	}
	e.Settle(crashCheckTime)
	is.Equal(e.Counts()[0].Failed, 6)
	for range 6 {
		e.RecordCrash("r", &newTarget, crashCheckTime)
	}
	is.Equal(e.Counts()[0].Failed, 0)
	is.Equal(e.Counts()[0].Crashes, 1)
	again := newTarget
	again.StartedUnixMs++
	e.Record(attemptResult{route: "r", target: again, outcome: api.AttemptIncomplete}, time.Second)
	e.RecordCrash("r", &again, time.Second)
	e.Settle(2 * time.Second)
	is.Equal(e.Counts()[0].Crashes, 2)
	is.Equal(e.Counts()[0].Failed, 0)
}

// Guards against a slow version that is not seen: in whole responses, in first events, or in the time between events;
// and against a cold target that counts as slow.
func TestEvidencePace(t *testing.T) {
	is := is.New(t)
	bucketOf := func(change func(*rolloutEvidence), r attemptResult) int {
		e := newRolloutEvidence("2", 0)
		change(e)
		e.Record(r, 0)
		for i, n := range e.countsOf(outcomeKey{"r", "new"}).pace {
			if n == 1 {
				return i
			}
		}
		return -1
	}
	oldResponses := func(e *rolloutEvidence) {
		for _, ms := range []time.Duration{90, 100, 110} {
			e.Record(served(oldTarget, ms*time.Millisecond), 0)
		}
	}
	is.Equal(bucketOf(func(*rolloutEvidence) {}, served(newTarget, time.Second)), -1) // nothing to compare with
	is.Equal(bucketOf(oldResponses, served(newTarget, 100*time.Millisecond)), 4)      // up to 1
	is.Equal(bucketOf(oldResponses, served(newTarget, 350*time.Millisecond)), 8)      // up to 4
	cold := served(newTarget, 350*time.Millisecond)
	cold.cold = true
	is.Equal(bucketOf(oldResponses, cold), -1)

	stream := func(target api.Target, firstEvent, gap time.Duration) attemptResult {
		return attemptResult{route: "r", target: target, outcome: api.AttemptServed, firstEvent: firstEvent, expected: 100 * time.Millisecond, gap: gap}
	}
	oldStreams := func(e *rolloutEvidence) {
		for range 3 {
			e.Record(stream(oldTarget, 100*time.Millisecond, 10*time.Millisecond), 0)
		}
	}
	is.Equal(bucketOf(oldStreams, stream(newTarget, 100*time.Millisecond, 10*time.Millisecond)), 4)
	is.Equal(bucketOf(oldStreams, stream(newTarget, 350*time.Millisecond, 10*time.Millisecond)), 8)
	is.Equal(bucketOf(oldStreams, stream(newTarget, 100*time.Millisecond, 35*time.Millisecond)), 8)
	is.Equal(bucketOf(func(*rolloutEvidence) {}, stream(newTarget, 350*time.Millisecond, 0)), 8)
}

// Guards against the attempts that break off when a target crashes and count as failures of its version each, also those
// that the target had begun to answer.
func TestCrashOfTargetIsOneObservation(t *testing.T) {
	r, _ := newRolloutHarness(t, oldTarget, newTarget)
	var broken []*assignment
	for n := range uint64(6) {
		a := r.p.startGranted(modelOnRoute("r1"), placewire.Decision{Number: n + 1, Target: "new", NewVersion: true})
		r.NoErr(a.BeforeSend())
		a.answered = n%2 == 0
		broken = append(broken, a)
	}
	for _, a := range broken {
		a.End(api.AttemptIncomplete)
	}
	for _, a := range broken {
		a.ReportCrash(api.Fingerprint{Selector: 1})
	}
	r.Advance(crashCheckTime, crashCheckTime)
	r.Equal(r.sendPendingMessage().Rollouts[0].Counts, []placewire.RolloutOutcomes{{Route: "r1", Target: "new", Crashes: 1, Pace: []int{}}})
}
