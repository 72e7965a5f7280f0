package owner_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/rollout"
	"nutmegrouter/internal/routing"
	"nutmegrouter/plugin/owner"
)

const (
	exposureShare = 0.1
	exposureSlack = 50
)

// rolloutLog is the part of the control log with the rollouts, and what a test has counted of them.
type rolloutLog struct {
	state    map[string]api.Rollout
	accounts map[string]api.RolloutAccount
	stale    map[string]map[string]api.Rollout // what entry instances see that are cut off, by name
	revision uint64
	// saveFails and submitFails are the errors of calls; ends counts the submitted ends.
	saveFails, submitFails error
	ends                   int
	firstEnd               time.Time
	saves                  int

	// bad reports whether a target of the new version fails requests.
	bad     bool
	sends   []send
	asked   int
	refused int
}

// send is a request that has reached a target.
type send struct {
	at         time.Time
	service    string
	newVersion bool
	running    bool   // the rollout runs at this time
	allowed    uint64 // of the account at this time
	entry      string
}

const newVersion = "2"

// newRolloutFleet returns a fleet with targets of version 1 and 2 of the services m and p.
func newRolloutFleet(seed uint64, entries int) *fleet {
	f := newFleet(seed, 3, entries, 0)
	f.rollouts.accounts, f.rollouts.stale = map[string]api.RolloutAccount{}, map[string]map[string]api.Rollout{}
	for _, service := range []string{"m", "p"} {
		for i := range 12 {
			version := fmt.Sprint(1 + i%2)
			f.targets = append(f.targets, api.Target{ID: fmt.Sprint(service, version, "-", i), Service: service, Version: version, DataCentre: "z", Slots: 64, StartedUnixMs: 1})
		}
	}
	return f
}

// rollouts returns the rollouts in the view of an instance.
func (n *node) rollouts() map[string]api.Rollout {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	if stale, ok := n.f.rollouts.stale[n.name]; ok {
		return stale
	}
	return n.f.rollouts.state
}

// startRollout starts a rollout of a service to version 2.
func (f *fleet) startRollout(service string, duration time.Duration) {
	f.mu.Lock()
	f.rollouts.revision++
	started := f.rollouts.revision
	f.rollouts.accounts[service] = api.RolloutAccount{Service: service, Started: started}
	f.mu.Unlock()
	f.setRollout(api.Rollout{Service: service, Version: newVersion, DurationMs: duration.Milliseconds(), Started: started, State: api.RolloutRunning})
}

// setRollout changes a rollout in the log and sends the view to all instances.
func (f *fleet) setRollout(r api.Rollout) {
	f.mu.Lock()
	state := maps.Clone(f.rollouts.state)
	if state == nil {
		state = map[string]api.Rollout{}
	}
	state[r.Service] = r
	f.rollouts.state = state
	nodes := slices.Concat(f.controls, f.entries)
	f.mu.Unlock()
	for _, n := range nodes {
		n.tellView()
	}
}

func (n *node) tellView() {
	v := (*view)(n).View()
	for _, l := range n.onView {
		l(v)
	}
}

// cutOff cuts an entry instance from all control instances, or ends that.
func (f *fleet) cutOff(e *node, cut bool) {
	f.mu.Lock()
	if cut {
		f.rollouts.stale[e.name] = f.rollouts.state
	} else {
		delete(f.rollouts.stale, e.name)
	}
	f.mu.Unlock()
	for _, c := range f.controls {
		f.setCut(e, c, cut)
	}
	if !cut {
		time.AfterFunc(100*time.Millisecond, e.tellView)
	}
}

// ReadRolloutAccounts implements api.Control.
func (c *control) ReadRolloutAccounts(context.Context) (map[string]api.RolloutAccount, error) {
	time.Sleep(5 * time.Millisecond)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return maps.Clone(c.f.rollouts.accounts), nil
}

// SaveRolloutAccount implements api.Control.
func (c *control) SaveRolloutAccount(ctx context.Context, a api.RolloutAccount) error {
	time.Sleep(5 * time.Millisecond)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	l := &c.f.rollouts
	if l.saveFails != nil {
		return l.saveFails
	}
	if r := l.state[a.Service]; r.Started != a.Started || r.State != api.RolloutRunning {
		return errors.New("the rollout does not run")
	}
	l.saves++
	known := l.accounts[a.Service]
	known.Requests, known.Allowed, known.ElapsedMs = max(known.Requests, a.Requests), max(known.Allowed, a.Allowed), max(known.ElapsedMs, a.ElapsedMs)
	l.accounts[a.Service] = known
	return nil
}

// Submit implements api.Control.
func (c *control) Submit(_ context.Context, s api.Submission) (api.SubmitResult, error) {
	time.Sleep(5 * time.Millisecond)
	f := c.f
	f.mu.Lock()
	l := &f.rollouts
	if l.ends++; l.ends == 1 {
		l.firstEnd = time.Now()
	}
	if l.submitFails != nil {
		defer f.mu.Unlock()
		return api.SubmitResult{}, l.submitFails
	}
	r := l.state[s.Rollout.Service]
	runs := r.Started == s.Rollout.Ends && r.State == api.RolloutRunning
	f.mu.Unlock()
	if runs {
		r.State, r.Reason, r.Replaced = s.Rollout.State, s.Rollout.Reason, s.Rollout.Replaced
		f.note("rollout of %s: %s %s", r.Service, r.State, r.Reason)
		go f.setRollout(r)
	}
	return api.SubmitResult{Revision: 2}, nil
}

// serve sends one request of a service through an entry instance. One that fails at its target is tried again, and
// an interrupted stream is resumed, at most twice.
func (f *fleet) serve(e *node, service string, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var tried []string
	for attempt := range 3 {
		f.mu.Lock()
		running := time.Duration(20+f.rng.IntN(200)) * time.Millisecond
		f.rollouts.asked++
		f.mu.Unlock()
		now := e.clock.Now()
		w := &api.PlacementRequest{
			RequestID: fmt.Sprint(number), Service: service, Workspace: fmt.Sprint("w", number%8), Route: &routing.Route{Name: fmt.Sprint("r", number%3), Objective: time.Second},
			Objective: now + time.Second, Deadline: now + 3*time.Second, TriedTargets: slices.Clone(tried), Resumed: attempt == 2,
		}
		if service == "m" {
			w.Engine, w.PromptTokens, w.ExpectedOutputTokens, w.Prompt = engine, 10, 5, []api.PromptPart{{ID: fmt.Sprint(number), Tokens: 10}}
		}
		p, err := e.placer.Place(ctx, w)
		if err != nil {
			f.mu.Lock()
			f.rollouts.refused++
			f.mu.Unlock()
			return
		}
		tried = append(tried, p.Target().ID)
		if e.duties.Context().Err() != nil {
			return
		}
		sent := false
		for range 2 { // the second time on a new connection, after the first one was found closed
			if p.BeforeSend() != nil {
				break
			}
			sent = true
			f.recordSend(e, p.Target())
			if number%5 != 0 {
				break
			}
		}
		if !sent {
			p.End(api.AttemptUnsent)
			continue
		}
		time.Sleep(running / 2)
		p.ResponseStarted()
		p.ReportEvents(1)
		time.Sleep(running / 2)
		f.mu.Lock()
		bad := f.rollouts.bad && p.Target().Version == newVersion && f.rng.IntN(2) == 0
		f.mu.Unlock()
		if !bad {
			p.End(api.AttemptServed)
			return
		}
		p.End(api.AttemptFailed)
	}
}

func (f *fleet) recordSend(e *node, t api.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rollouts.sends = append(f.rollouts.sends, send{time.Now(), t.Service, t.Version == newVersion, f.rollouts.state[t.Service].State == api.RolloutRunning, f.rollouts.accounts[t.Service].Allowed, e.name})
}

// runRollout plays a load on a service and faults for a time, then ends all processes.
func (f *fleet) runRollout(service string, perSecond float64, duration time.Duration, faults func()) {
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	go faults()
	for number := 1; time.Now().Before(end); number++ {
		f.mu.Lock()
		wait := time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
		e := f.entries[f.rng.IntN(len(f.entries))]
		f.mu.Unlock()
		time.Sleep(wait)
		wg.Go(func() { f.serve(e, service, number) })
	}
	wg.Wait()
	f.end()
}

// toNew returns the number of sends to the new version in an interval, in seconds since the begin of the test.
func (f *fleet) toNew(from, to float64) (n int) {
	for _, s := range f.rollouts.sends {
		if at := s.at.Sub(f.begin).Seconds(); s.newVersion && at >= from && at < to {
			n++
		}
	}
	return n
}

// checkAccount fails if targets of the new version have got more than the stored account allowed at the time.
func (f *fleet) checkAccount(t *testing.T) {
	t.Helper()
	f.mu.Lock() // owners go on saving accounts
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.rollouts.sends {
		if s.newVersion && s.running {
			if n++; uint64(n) > s.allowed {
				t.Errorf("send %d to the new version at %v, by %s: the account allows %d", n, s.at.Sub(f.begin), s.entry, s.allowed)
				break
			}
		}
	}
	t.Logf("%d of %d sends to the new version while the rollout ran; %d asked, %d refused, %d saves, %d ends submitted", n, len(f.rollouts.sends), f.rollouts.asked, f.rollouts.refused, f.rollouts.saves, f.rollouts.ends)
}

// checkRefusals fails if more than one of twenty requests was refused.
func (f *fleet) checkRefusals(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rollouts.refused > f.rollouts.asked/20 {
		t.Errorf("%d of %d requests refused", f.rollouts.refused, f.rollouts.asked)
	}
}

// checkExposure fails if targets of the new version have got more than the bound for a bad version while the rollout
// ran.
func (f *fleet) checkExposure(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	n, all := 0, 0
	for _, s := range f.rollouts.sends {
		if s.running {
			all++
		}
		if s.running && s.newVersion {
			n++
		}
	}
	if bound := exposureShare*float64(all) + exposureSlack; float64(n) > bound {
		t.Errorf("%d of %d sends to the new version, want at most %.0f", n, all, bound)
	}
}

func (f *fleet) printTimeline(t *testing.T) {
	if t.Failed() {
		t.Log("timeline:\n" + strings.Join(f.timeline, "\n"))
	}
}

// testController is a simple controller: a fixed share of the bound goes to the new version until a time at which
// all requests move; the version is bad once three of its attempts have failed.
type testController struct {
	config            rollout.Config
	account           rollout.Account
	used              uint64
	orderedAt, moveAt time.Duration
	reservedAt        time.Duration
	targets           rollout.Targets
	failed            map[string]int
	verdict           *rollout.Verdict
	now               time.Duration
}

// useTestController makes the owners of a test use controllers that move all requests at a time after the order.
func useTestController(t *testing.T, moveAfter time.Duration) {
	t.Cleanup(owner.SetNewController(func(c rollout.Config, a rollout.Account, orderedAt, now time.Duration) owner.RolloutController {
		return &testController{config: c, account: a, used: a.Allowed, orderedAt: orderedAt, moveAt: orderedAt + moveAfter, failed: map[string]int{}, reservedAt: -time.Hour, now: now}
	}))
}

func (c *testController) SetTargets(t rollout.Targets, now time.Duration) { c.targets, c.now = t, now }

func (c *testController) IsCanary(id string) bool {
	i := slices.Index(c.targets.New, id)
	return i >= 0 && (i < 4 || c.Phase() == rollout.PhaseMoved)
}

func (c *testController) Choose(_ string, now time.Duration) bool {
	c.now = now
	c.account.Requests++
	switch {
	case c.used >= c.account.Allowed:
		return false
	case c.Phase() == rollout.PhaseCanary:
		return float64(c.used+1) <= 0.35*(c.config.ExposureShare*float64(c.account.Requests)+c.config.ExposureSlack)
	}
	return c.Phase() == rollout.PhaseMoved
}

func (c *testController) RecordGrant(time.Duration) { c.used++ }

func (c *testController) Reservation(now time.Duration) (rollout.Account, bool) {
	c.now = now
	if c.account.Allowed >= c.used+4 && now < c.reservedAt+time.Second {
		return rollout.Account{}, false
	}
	a := rollout.Account{Requests: c.account.Requests, Allowed: max(c.account.Allowed, c.used+8), Elapsed: c.Elapsed(now)}
	if c.Phase() == rollout.PhaseMoved {
		a.Allowed = max(a.Allowed, c.used+50)
	}
	return a, true
}

func (c *testController) Reserved(a rollout.Account, now time.Duration) {
	c.account.Allowed, c.reservedAt = max(c.account.Allowed, a.Allowed), now
}

func (c *testController) ReservationFailed(now time.Duration) {}

func (c *testController) SetEvidence(entry, process string, e rollout.Evidence, _ time.Duration) {
	failed := 0
	for _, o := range e.Outcomes {
		if o.Target != "" {
			failed += o.Failed
		}
	}
	c.failed[entry+process] = failed
}

func (c *testController) Phase() rollout.Phase {
	switch {
	case c.verdict != nil:
		return rollout.PhaseDecided
	case len(c.targets.New) == 0:
		return rollout.PhaseBefore
	case c.now >= c.moveAt:
		return rollout.PhaseMoved
	}
	return rollout.PhaseCanary
}

func (c *testController) Elapsed(now time.Duration) time.Duration {
	return max(now-c.orderedAt, c.account.Elapsed)
}

func (c *testController) Verdict(now time.Duration) (rollout.Verdict, bool) {
	failed := 0
	for _, n := range c.failed {
		failed += n
	}
	switch {
	case c.verdict != nil:
	case failed >= 3:
		c.verdict = &rollout.Verdict{Reason: rollout.ReasonFailures, Attrs: []any{"failed", failed}}
	case c.Elapsed(now) >= c.config.Duration-250*time.Millisecond:
		c.verdict = &rollout.Verdict{Succeeded: true, Reason: rollout.ReasonDeadline}
	default:
		return rollout.Verdict{}, false
	}
	return *c.verdict, true
}

// rolloutState returns the state of the rollout of a service.
func (f *fleet) rolloutState(service string) api.RolloutState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rollouts.state[service].State
}

// Guards against a rollout that does not move the traffic of a service: no canary requests, too many, none after the
// move, or requests to the old targets after the end. The plain service has no model of its targets at the owner.
func TestRolloutMovesTraffic(t *testing.T) {
	for _, service := range []string{"m", "p"} {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRolloutFleet(1, 6)
				f.startRollout(service, 6*time.Second)
				f.connect()
				f.runRollout(service, 60, 8*time.Second, func() {})
				f.checkAccount(t)
				f.checkExposure(t)
				f.checkRefusals(t)
				canary, after := f.toNew(1, 5), f.toNew(6.2, 9)
				if canary < 5 { // checkExposure bounds them
					t.Errorf("%d canary requests", canary)
				}
				if state := f.rolloutState(service); state != api.RolloutSucceeded {
					t.Errorf("state %s", state)
				}
				old := 0
				for _, s := range f.rollouts.sends {
					if !s.newVersion && s.at.Sub(f.begin) > 6200*time.Millisecond {
						old++
					}
				}
				if old > 0 || after < 60 {
					t.Errorf("after the end %d requests to old targets, %d to new ones", old, after)
				}
				f.printTimeline(t)
			})
		})
	}
}

// lastToNew returns the time of the last send to the new version, in seconds since the begin of the test.
func (f *fleet) lastToNew() (last float64) {
	for _, s := range f.rollouts.sends {
		if s.newVersion {
			last = s.at.Sub(f.begin).Seconds()
		}
	}
	return last
}

// Guards against a bad version that stays in use: its evidence does not reach the owner, the verdict is not
// submitted, or grants go on after it.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, service := range []string{"m", "p"} {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRolloutFleet(2, 6)
				f.startRollout(service, 20*time.Second)
				f.connect()
				f.runRollout(service, 100, 15*time.Second, func() {
					time.Sleep(2 * time.Second)
					f.setBad()
				})
				f.checkAccount(t)
				f.checkRefusals(t)
				f.checkExposure(t)
				if state := f.rolloutState(service); state != api.RolloutRolledBack {
					t.Errorf("state %s", state)
				}
				// Messages take up to 5 ms.
				if verdict := f.rollouts.firstEnd.Sub(f.begin).Seconds(); f.lastToNew() > verdict+0.02 {
					t.Errorf("last send to the bad version after %.3f s, verdict after %.3f s", f.lastToNew(), verdict)
				}
				f.printTimeline(t)
			})
		})
	}
}

func (f *fleet) setBad() {
	f.note("the new version is bad")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rollouts.bad = true
}

// Guards against a new owner that grants what the owner before has granted already, and against one that does not
// go on with the rollout; during the canary and after the move, when the owner before is killed or lives on.
func TestOwnerReplacedDuringRollout(t *testing.T) {
	for name, at := range map[string]time.Duration{"canary": 2 * time.Second, "moved": 6300 * time.Millisecond} {
		for _, killed := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " killed ", killed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					useTestController(t, 6*time.Second)
					f := newRolloutFleet(3, 6)
					f.startRollout("m", 8*time.Second)
					f.connect()
					f.runRollout("m", 100, 9*time.Second, func() {
						time.Sleep(at)
						if killed {
							f.controls[0].stop()
							time.Sleep(700 * time.Millisecond)
						}
						f.elect(1)
					})
					f.checkAccount(t)
					f.checkRefusals(t)
					if n := f.toNew(0, 6); float64(n) > 0.35*(exposureShare*float64(len(f.rollouts.sends))+exposureSlack) {
						t.Errorf("%d sends before the move", n)
					}
					if n := f.toNew(7.2, 7.7); n < 15 {
						t.Errorf("%d sends to the new version in half a second after the move", n)
					}
					if state := f.rolloutState("m"); state != api.RolloutSucceeded {
						t.Errorf("state %s", state)
					}
					f.printTimeline(t)
				})
			})
		}
	}
}

// Guards against grants that are in no stored account, while the account cannot be saved; and against an owner
// that does not try again.
func TestAccountNotSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		useTestController(t, 3*time.Second)
		f := newRolloutFleet(4, 4)
		f.startRollout("m", 8*time.Second)
		f.connect()
		setFails := func(err error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.rollouts.saveFails = err
		}
		f.runRollout("m", 100, 7*time.Second, func() {
			time.Sleep(3500 * time.Millisecond)
			setFails(errors.New("no majority"))
			time.Sleep(2 * time.Second)
			setFails(nil)
		})
		f.checkAccount(t)
		f.checkRefusals(t)
		if failing, after := f.toNew(4, 5.5), f.toNew(6, 7); failing > 50 || after < 40 {
			t.Errorf("%d sends to the new version while the account could not be saved, %d after", failing, after)
		}
		f.printTimeline(t)
	})
}

// Guards against an entry instance that is cut off during the rollback, and sends requests to the bad version
// then or when it comes back.
func TestCutOffEntryDuringRollback(t *testing.T) {
	for _, service := range []string{"m", "p"} {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				useTestController(t, 2*time.Second)
				f := newRolloutFleet(5, 4)
				f.startRollout(service, 10*time.Second)
				f.connect()
				f.runRollout(service, 100, 8*time.Second, func() {
					time.Sleep(2500 * time.Millisecond)
					f.cutOff(f.entries[0], true)
					f.setBad()
					time.Sleep(3 * time.Second)
					f.cutOff(f.entries[0], false)
				})
				f.checkAccount(t)
				f.checkRefusals(t)
				sends := 0
				for _, s := range f.rollouts.sends {
					if at := s.at.Sub(f.begin).Seconds(); s.entry == "e0" && at > 3.5 {
						sends++
						if s.newVersion {
							t.Errorf("send to the bad version at %.3f s", at)
						}
					}
				}
				if state := f.rolloutState(service); state != api.RolloutRolledBack || sends < 30 {
					t.Errorf("state %s, %d sends of the entry instance", state, sends)
				}
				f.printTimeline(t)
			})
		})
	}
}

// Guards against a verdict that is lost because it could not be committed at first, or its owner was replaced, and
// against grants to the bad version meanwhile.
func TestVerdictNotCommittedAtFirst(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced ", replaced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRolloutFleet(6, 4)
				f.startRollout("m", 30*time.Second)
				f.rollouts.submitFails = errors.New("no majority")
				f.connect()
				f.runRollout("m", 100, 16*time.Second, func() {
					f.setBad()
					for ends := 0; ends == 0; time.Sleep(100 * time.Millisecond) {
						f.mu.Lock()
						ends = f.rollouts.ends
						f.mu.Unlock()
					}
					time.Sleep(2 * time.Second)
					if replaced {
						f.elect(1)
						time.Sleep(time.Second)
					}
					f.mu.Lock()
					f.rollouts.submitFails = nil
					f.mu.Unlock()
				})
				f.checkAccount(t)
				f.checkRefusals(t)
				if state := f.rolloutState("m"); state != api.RolloutRolledBack {
					t.Errorf("state %s", state)
				}
				// Messages take up to 5 ms. A new owner has the evidence, but not when it came, so that it may need a few
				// more responses.
				verdict, most := f.rollouts.firstEnd.Sub(f.begin).Seconds(), 0
				if replaced {
					most = 10
				}
				if n := f.toNew(verdict+0.02, 1e9); n > most {
					t.Errorf("%d sends to the bad version after the verdict at %.3f s, the last at %.3f s", n, verdict, f.lastToNew())
				}
				if f.rollouts.ends < 10 {
					t.Errorf("submitted %d times", f.rollouts.ends)
				}
				f.printTimeline(t)
			})
		})
	}
}

// Guards against orders of events in which all owners together let the new version get more than the stored
// account allows.
func TestRolloutAccountUnderFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRolloutFleet(uint64(seed), 5)
				duration := time.Duration(6+4*(seed%4)) * time.Second // it may end before the faults do
				service := []string{"m", "p"}[seed%2]
				f.startRollout(service, duration)
				f.connect()
				f.runRollout(service, 80, 12*time.Second, func() {
					rng := rand.New(rand.NewPCG(uint64(seed), 9))
					for time.Since(f.begin) < 7*time.Second { // the last fault ends before the load does
						time.Sleep(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
						f.fault(rng)
					}
				})
				f.checkAccount(t)
				f.checkExposure(t)
				f.printTimeline(t)
			})
		})
	}
}
