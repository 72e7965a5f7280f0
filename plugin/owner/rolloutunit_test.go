package owner

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/rollout"
	"nutmegrouter/internal/routing"
	"nutmegrouter/internal/settings"
)

// eagerController gives the new version all that it is asked for, and records the evidence.
type eagerController struct {
	rolloutController
	granted  int
	verdict  *rollout.Verdict
	evidence map[evidenceSource]rollout.Evidence
}

func (c *eagerController) SetTargets(rollout.Targets, time.Duration)               {}
func (c *eagerController) IsCanary(string) bool                                    { return true }
func (c *eagerController) Choose(string, time.Duration) bool                       { return true }
func (c *eagerController) RecordGrant(time.Duration)                               { c.granted++ }
func (c *eagerController) Reservation(time.Duration) (a rollout.Account, due bool) { return a, false }
func (c *eagerController) Phase() rollout.Phase                                    { return rollout.PhaseCanary }
func (c *eagerController) Elapsed(time.Duration) time.Duration                     { return 0 }
func (c *eagerController) SetEvidence(entry, process string, e rollout.Evidence, _ time.Duration) {
	c.evidence[evidenceSource{entry, process}] = e
}
func (c *eagerController) Verdict(time.Duration) (v rollout.Verdict, ok bool) {
	if c.verdict == nil {
		return v, false
	}
	return *c.verdict, true
}

// rolloutFakes are the view, the target list and the submissions of a test.
type rolloutFakes struct {
	*harness
	targets   []api.Target
	submitted chan api.Submission
}

type (
	fakeFleet struct {
		api.Fleet
		f *rolloutFakes
	}
	fakeDirectory struct {
		api.Directory
		f *rolloutFakes
	}
	fakeControl struct {
		api.Control
		f *rolloutFakes
	}
)

var runningRecord = api.Rollout{Service: "m", Version: "2", DurationMs: 10_000, Started: 5, State: api.RolloutRunning}

func (f fakeFleet) View() *api.View {
	return &api.View{Rollouts: map[string]api.Rollout{"m": runningRecord}}
}
func (d fakeDirectory) Targets() []api.Target { return d.f.targets }
func (c fakeControl) Submit(_ context.Context, s api.Submission) (api.SubmitResult, error) {
	c.f.submitted <- s
	return api.SubmitResult{}, errors.New("no majority")
}
func (c fakeControl) Status() api.ControlStatus { return c.f.Status() }
func (c fakeControl) ReadRevision(ctx context.Context) (uint64, error) {
	return c.f.harness.ReadRevision(ctx)
}

// newRolloutHarness starts an owner in term 7 whose view has a running rollout with a controller.
func newRolloutHarness(t *testing.T) (*rolloutFakes, *eagerController) {
	r := &rolloutFakes{harness: newHarness(t), submitted: make(chan api.Submission, 100)}
	r.targets = []api.Target{{ID: "old", Service: "m", Version: "1"}, {ID: "new", Service: "m", Version: "2"}}
	c := &eagerController{evidence: map[evidenceSource]rollout.Evidence{}}
	r.do(func(o *Owner) {
		o.fleet, o.directory, o.control, o.rolloutBounds, o.metrics = fakeFleet{f: r}, fakeDirectory{f: r}, fakeControl{f: r}, &settings.Rollouts{}, metrics.NewSet()
		o.state.SetView(placement.View{
			Services: map[string]*routing.Service{"m": {Name: "m", Engine: &routing.Engine{CacheTokens: 10_000}}},
			Targets:  r.targets, Rollouts: fakeFleet{}.View().Rollouts,
		}, 0)
		o.noteRollouts(o.fleet.View())
		o.rollouts["m"].controller = c
		o.rollouts["m"].targetsAt, o.reportedAt = -rolloutTargetsInterval, -time.Second
	})
	r.do(func(*Owner) {}) // the splitter is set now
	return r, c
}

// do runs a function on the owner's goroutine.
func (r *rolloutFakes) do(f func(o *Owner)) {
	done := make(chan struct{})
	r.o.inbox.Push(func() { f(r.o); close(done) })
	<-done
}

func requestOnRoute(n uint64) placewire.EntryMessage {
	requests := newRequests(n)
	requests[0].Route = "r"
	return placewire.EntryMessage{Requests: requests}
}

// Guards against an owner that gives the new version requests, or ends the rollout, after a suspension in which another
// owner may have been elected.
func TestSuspendedOwnerStopsRollout(t *testing.T) {
	r, c := newRolloutHarness(t)
	r.send(requestOnRoute(1))
	d := r.nextMessage().Decisions[0]
	r.Equal(d.Target, "new")
	r.True(d.NewVersion && d.ExpectedMs > 0)
	r.Advance(0, 4*time.Second)
	r.send(requestOnRoute(2))
	r.True(r.nextMessage().NotOwner)
	r.do(func(o *Owner) {
		s := &splitter{o, o.rollouts["m"]}
		r.True(!s.Choose("r", 0) && !s.IsCanary("new") && !s.HasMoved())
		c.verdict = &rollout.Verdict{Reason: rollout.ReasonFailures}
	})
	for range 5 {
		r.Advance(tickInterval, tickInterval)
		r.do(func(*Owner) {})
	}
	r.Equal(c.granted, 1)
	r.Equal(len(r.submitted), 0)
	r.confirmations <- nil
	for begin := time.Now(); len(r.submitted) < 2 && time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		r.Advance(tickInterval, tickInterval)
		r.do(func(*Owner) {})
	}
	first, second := <-r.submitted, <-r.submitted // again after a failure
	r.Equal(first.ChangeID, second.ChangeID)
	r.True(first.OnNewestRevision)
	r.Equal(*first.Rollout, api.RolloutChange{Service: "m", Ends: 5, State: api.RolloutRolledBack, Reason: rollout.ReasonFailures})
	r.send(requestOnRoute(3))
	r.Equal(r.nextWith(func(m placewire.OwnerMessage) bool { return len(m.Decisions) > 0 }).Decisions[0].Target, "old")
}

// Guards against evidence that is lost: of a process that has ended, or received before the account was read; and
// against an overtaken message that replaces a newer one.
func TestEvidenceReachesController(t *testing.T) {
	r, _ := newRolloutHarness(t)
	later := &eagerController{evidence: map[evidenceSource]rollout.Evidence{}}
	r.do(func(o *Owner) {
		before := newController
		defer func() { newController = before }()
		newController = func(rollout.Config, rollout.Account, time.Duration, time.Duration) rolloutController { return later }
		o.rollouts["m"].controller = nil
		evidence := func(process string, ageMs int64, failed int) []placewire.RolloutEvidence {
			return []placewire.RolloutEvidence{{Service: "m", Started: 5, Process: process, AgeMs: ageMs, RunningOld: 1,
				Counts: []placewire.RolloutOutcomes{{Route: "r", Target: "new", Failed: failed, Served: 2, Pace: []int{0, 1, 1}}}}}
		}
		o.recordEvidence("e", evidence("p1", 100, 1), 0)
		o.recordEvidence("e", evidence("p2", 10, 2), 0)
		o.accountRead(7, "m", 5, api.RolloutAccount{Service: "m", Started: 4}) // of an earlier rollout
		r.True(o.rollouts["m"].controller == nil)
		o.accountRead(6, "m", 5, api.RolloutAccount{Service: "m", Started: 5}) // of an earlier ownership
		r.True(o.rollouts["m"].controller == nil)
		o.accountRead(7, "m", 5, api.RolloutAccount{Service: "m", Started: 5})
		r.Equal(later.evidence[evidenceSource{"e", "p1"}].Outcomes[0].Failed, 1)
		r.Equal(later.evidence[evidenceSource{"e", "p2"}].Outcomes[0].Failed, 2)
		o.recordEvidence("e", evidence("p2", 30, 4), 0)
		o.recordEvidence("e", evidence("p2", 20, 3), 0)
		got := later.evidence[evidenceSource{"e", "p2"}]
		r.Equal(got.Age, 30*time.Millisecond)
		r.Equal(got.Outcomes[0].Failed, 4)
		r.Equal(got.Outcomes[0].Pace[:3], []int{0, 1, 1})
		r.Equal(o.rollouts["m"].runningOld(), 2)
		r.Equal(o.otherVersions(o.rollouts["m"]), []string{"1"})
		o.setEvidenceMetrics(o.rollouts["m"])
		r.Equal(o.metrics.GetOrCreateCounter(`nutmeg_rollout_failed_total{service="m",version="2"}`).Get(), uint64(5))
		o.rollouts["m"].controller = nil
	})
}

// Guards against a rollout that goes on after its service has left the configuration.
func TestRolloutOfRemovedServiceEnds(t *testing.T) {
	r, _ := newRolloutHarness(t)
	r.do(func(o *Owner) { o.table = &routing.Table{Services: map[string]*routing.Service{}} })
	r.Advance(tickInterval, tickInterval)
	r.do(func(*Owner) {})
	s := <-r.submitted
	r.Equal(s.Rollout.State, api.RolloutRolledBack)
	r.Equal(s.Rollout.Reason, rollout.ReasonServiceRemoved)
}

// Guards against a metric that counts the median of the old versions as slow.
func TestFirstSlowBucket(t *testing.T) {
	is := is.New(t)
	var old [rollout.NumPaceBuckets]int
	is.Equal(firstSlowBucket(old), rollout.PaceBucket(slowFactor)+1)
	old[rollout.PaceBucket(2)] = 3
	is.Equal(firstSlowBucket(old), rollout.PaceBucket(5.2)+1)
	old[rollout.NumPaceBuckets-1] = 10
	is.True(firstSlowBucket(old) <= rollout.NumPaceBuckets-1)
}
