package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/settings"
	"nutmegrouter/platform/standin"
)

const (
	rolloutDuration = 12 * time.Second
	// newTargetsAfter is the time from the acknowledgement of an order until the platform starts the new targets.
	newTargetsAfter = 1500 * time.Millisecond
	targetsPerSide  = 4 // targets of each version of a service
	coldTime        = 2 * time.Second
	// refusedFor is the time for which callers repeat a request that is refused. On a busy machine an entry instance
	// refuses requests for seconds (instance_busy).
	refusedFor = 8 * time.Second
	// maxAfterEnd is the time after the end of a rollout, as operators read it, in which a request may still be on its
	// way to a version that is not used any more. A grant is valid for 1 s.
	maxAfterEnd = 1500 * time.Millisecond
)

// rolloutBounds are the bounds of the platform.
var rolloutBounds = settings.Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackMs: 5000}

// rolloutCase is a rollout of one service.
type rolloutCase struct {
	service string // "plain" or "model"
	bad     *standin.BadVersion
	badFrom time.Duration // since the order

	ordered, ended time.Time
	state          string
	targets        map[string][]*standin.Target // by version
}

// rolloutFleet is a fleet of one control and one entry instance with a plain and a model service under load.
type rolloutFleet struct {
	*routesFleet
	log      *standin.RunLog
	operator standin.Operator

	mu    sync.Mutex
	calls []rolloutCall
}

// rolloutCall is a caller's request with its response.
type rolloutCall struct {
	service  string
	id, path string
	sentAt   time.Time
	response standin.Response
}

// Guards against a good version to which the service has not moved by the deadline, and against requests that are
// lost when the platform stops the old targets at the moment of success.
func TestRolloutOfGoodVersions(t *testing.T) {
	f := newRolloutFleet(t)
	f.play(1, &rolloutCase{service: "plain"}, &rolloutCase{service: "model"})
}

// Guards against a bad version that is not rolled back, gets more requests than the bounds allow, or gets some after
// the end.
func TestRolloutOfBadVersions(t *testing.T) {
	f := newRolloutFleet(t)
	f.play(2, &rolloutCase{service: "plain", bad: &standin.BadVersion{FailShare: 0.3}}, &rolloutCase{service: "model", bad: &standin.BadVersion{Slowdown: 5}})
}

// Guards against the same for versions that turn bad later, or are bad on one of two routes only.
func TestRolloutOfPartlyBadVersions(t *testing.T) {
	f := newRolloutFleet(t)
	f.play(3, &rolloutCase{service: "plain", bad: &standin.BadVersion{FailShare: 0.5}, badFrom: 6 * time.Second},
		&rolloutCase{service: "model", bad: &standin.BadVersion{FailShare: 0.4, PathPrefix: "/draft/"}})
}

// newRolloutFleet starts a fleet whose services have targets of version v1.
func newRolloutFleet(t *testing.T) *rolloutFleet {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := &rolloutFleet{routesFleet: newRoutesFleet(t), log: standin.NewRunLog(), operator: standin.Operator{Client: &http.Client{Timeout: time.Second}}}
	f.routesFleet.rollouts = &rolloutBounds
	return f
}

// addTargets starts the targets of a version of a service and lists them.
func (f *rolloutFleet) addTargets(service, version string, startedAt time.Time, bad *standin.BadVersion) (targets []*standin.Target) {
	for i := range targetsPerSide {
		target := &standin.Target{
			ID: fmt.Sprintf("%s-%s-%d", service, version, i), Service: service, DataCentre: "dc-1", Version: version, Bad: bad, RunLog: f.log,
			StartedAt: startedAt, Slots: 32,
		}
		if service == "model" {
			target.Engine, target.Slots = true, 16
			target.ColdUntil, target.MaxColdPerSecond = startedAt.Add(coldTime), standin.ColdPerSecond*1.5+5
		}
		is.New(f.t).NoErr(target.Start("127.0.0.1"))
		f.t.Cleanup(target.Close)
		f.directory.Add(target)
		targets = append(targets, target)
	}
	return targets
}

// play orders the rollouts under load and checks them.
func (f *rolloutFleet) play(seed uint64, cases ...*rolloutCase) {
	for _, c := range cases {
		c.targets = map[string][]*standin.Target{"v1": f.addTargets(c.service, "v1", time.Now().Add(-time.Hour), nil)}
	}
	f.startControl()
	f.startEntry()
	f.configure(standin.Config{
		Version: 1, TokensPerSecond: 400_000, Callers: standin.UsualCallerLimits, Workspaces: map[string][]string{"w": {"key"}},
		Services: []standin.Service{{Name: "plain"}, {Name: "model", Engine: true, Slots: 16}},
		Routes: []standin.Route{
			{Name: "look", Host: "h.example", Prefix: "/look/", Service: "plain", Kind: "idempotent", TimeoutMs: 2000, ObjectiveMs: 200, MaxAttempts: 3, Public: true},
			{Name: "see", Host: "h.example", Prefix: "/see/", Service: "plain", Kind: "idempotent", TimeoutMs: 2000, ObjectiveMs: 200, MaxAttempts: 3, Public: true},
			{Name: "chat", Host: "h.example", Prefix: "/chat/", Service: "model", Kind: "streaming", TimeoutMs: 10000, ObjectiveMs: 1000, MaxAttempts: 3, Resumable: true},
			{Name: "draft", Host: "h.example", Prefix: "/draft/", Service: "model", Kind: "streaming", TimeoutMs: 10000, ObjectiveMs: 1000, MaxAttempts: 3, Resumable: true},
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	var load, rollouts sync.WaitGroup
	load.Go(func() { f.load(ctx, seed, "plain", 120, "/look/", "/see/") })
	load.Go(func() { f.load(ctx, seed+100, "model", 40, "/chat/", "/draft/") })
	time.Sleep(2 * time.Second) // the owner learns how long old targets take
	for _, c := range cases {
		rollouts.Go(func() { f.rollOut(c) })
	}
	rollouts.Wait()
	time.Sleep(time.Second)
	stop()
	load.Wait()
	for _, c := range cases {
		f.check(seed, c)
	}
	for _, v := range f.log.Violations() {
		f.t.Errorf("seed %d: %s", seed, v)
	}
	f.checkRefusals()
	f.checkShown(cases)
	if f.t.Failed() {
		f.showRolloutLines()
	}
}

// rollOut plays the part of the platform in one rollout: it orders it, starts the new targets, and at the end stops
// the old ones at once, or the new ones after a time.
func (f *rolloutFleet) rollOut(c *rolloutCase) {
	ctx := context.Background()
	for begin := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		c.ordered = time.Now()
		status, err := f.operator.StartRollout(ctx, f.operators, c.service, "v2", rolloutDuration)
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Since(begin) > 5*time.Second {
			f.t.Errorf("%s: order not acknowledged: status %d, %v", c.service, status, err)
			return
		}
	}
	time.Sleep(newTargetsAfter)
	if c.bad != nil && c.badFrom > 0 {
		c.bad.From = c.ordered.Add(c.badFrom)
	}
	c.targets["v2"] = f.addTargets(c.service, "v2", time.Now(), c.bad)
	for deadline := c.ordered.Add(rolloutDuration + 3*time.Second); time.Now().Before(deadline) && c.ended.IsZero(); time.Sleep(10 * time.Millisecond) {
		status, state, err := f.operator.ReadRollout(ctx, f.operators, c.service)
		if err != nil || status != http.StatusOK || state.State == standin.RolloutRunning {
			continue
		}
		c.state, c.ended = state.State, time.Now()
	}
	switch c.state {
	case standin.RolloutSucceeded:
		for _, target := range c.targets["v1"] {
			target.Close()
			f.directory.Remove(target.ID)
		}
	case standin.RolloutRolledBack:
		for _, target := range c.targets["v2"] {
			target.MarkDraining()
		}
	}
	// Until the deadline, so that later requests to a bad version count.
	time.Sleep(max(time.Until(c.ordered.Add(rolloutDuration)), 2*time.Second))
}

// load sends requests to the routes of a service until the context ends.
func (f *rolloutFleet) load(ctx context.Context, seed uint64, service string, perSecond float64, prefixes ...string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		call := standin.Call{
			ID: fmt.Sprintf("%s-%d-%d", service, seed, i), Host: "h.example", Path: fmt.Sprint(prefixes[rng.IntN(len(prefixes))], i), Method: http.MethodGet, Deadline: 2 * time.Second,
		}
		if service == "model" {
			call.Method, call.APIKey, call.Deadline, call.MaxOutput = http.MethodPost, "key", 10*time.Second, 200
			call.Prompt = []standin.Part{{ID: "a", Tokens: 100}, {ID: fmt.Sprint("b", rng.IntN(20)), Tokens: 800}, {ID: call.ID, Tokens: 200 + rng.IntN(800)}}
			call.Body = make([]byte, 1000)
		}
		calls.Go(func() { f.call(client, service, call) })
	}
	calls.Wait()
}

// call sends a request. While the instance refuses it and promises that it has not run, it is sent again for
// refusedFor, after the pause that the instance names, as callers do.
func (f *rolloutFleet) call(client *http.Client, service string, call standin.Call) {
	id, sentAt := call.ID, time.Now()
	for n := 1; ; n++ {
		response := call.Do(context.Background(), client, f.listen)
		if response.Stamp == "" && response.GuaranteesNotRun() && time.Since(sentAt) < refusedFor {
			time.Sleep(max(100*time.Millisecond, response.RetryAfter))
			call.ID = fmt.Sprintf("%s-again-%d", id, n)
			continue
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls = append(f.calls, rolloutCall{service, call.ID, call.Path, sentAt, response})
		return
	}
}

// check checks the end of a rollout, what its versions got and what callers got.
func (f *rolloutFleet) check(seed uint64, c *rolloutCase) {
	fail := func(format string, args ...any) {
		f.t.Helper()
		f.t.Errorf("seed %d, %s: "+format, append([]any{seed, c.service}, args...)...)
	}
	deadline := c.ordered.Add(rolloutDuration)
	want, closed := standin.RolloutSucceeded, "v1"
	if c.bad != nil {
		want, closed = standin.RolloutRolledBack, "v2"
	}
	switch {
	case c.state != want:
		fail("the state is %q, want %q", c.state, want)
		return
	case c.ended.After(deadline):
		fail("%s %v after its deadline", c.state, c.ended.Sub(deadline))
	}
	byVersion := f.log.CountByVersion(c.service, c.ordered, deadline)
	all := byVersion["v1"] + byVersion["v2"]
	bad := f.log.BadResponses(c.service, "v2")
	f.t.Logf("seed %d, %s: %s %.2f s after the order, requests by version %v, %d bad responses", seed, c.service, c.state, c.ended.Sub(c.ordered).Seconds(), byVersion, len(bad))
	if late := f.log.CountByVersion(c.service, c.ended.Add(maxAfterEnd), time.Now())[closed]; late > 0 {
		fail("%d requests reached %s later than %v after %s", late, closed, maxAfterEnd, c.state)
	}
	if byVersion["v2"] == 0 {
		fail("no request has reached the new version")
	}
	if c.bad != nil {
		if limit := rolloutBounds.ExposureShare*float64(all) + rolloutBounds.ExposureSlack; float64(byVersion["v2"]) > limit {
			fail("the bad version got %d of %d requests, want at most %.0f", byVersion["v2"], all, limit)
		}
		if len(bad) >= 50 {
			bound := bad[49].At.Add(time.Duration(rolloutBounds.RollbackMs) * time.Millisecond)
			if late := f.log.CountByVersion(c.service, bound, time.Now())["v2"]; late > 0 {
				fail("%d requests reached the bad version later than %.0f ms after its 50th bad response", late, rolloutBounds.RollbackMs)
			}
		}
	}
	f.checkCalls(c, fail)
}

// checkCalls checks that callers get whole answers, also those whose requests run on targets that are stopped. A
// service's own failure reaches them only from a bad version.
func (f *rolloutFleet) checkCalls(c *rolloutCase, fail func(format string, args ...any)) {
	broken, shown := 0, ""
	for _, call := range f.calls {
		r := call.response
		switch {
		case call.service != c.service, r.Status == http.StatusOK && r.Complete && r.ContentError == "":
			continue
		case c.bad != nil && r.Status == http.StatusInternalServerError && r.Stamp != "":
			continue
		}
		broken++
		if broken <= 3 {
			shown += fmt.Sprintf("\n%s %s, %.2f s after the order: status %d, %d events, %v %s %v; runs %+v", call.id, call.path, call.sentAt.Sub(c.ordered).Seconds(), r.Status, r.Events, r.Err, r.ContentError, r.Elapsed, f.log.Runs(call.id))
		}
	}
	if broken > 0 {
		fail("%d calls were not answered whole, the first: %s", broken, shown)
	}
}

// checkShown checks that nutmegctl shows the rollouts with the evidence of their owner, on which it was decided.
func (f *rolloutFleet) checkShown(cases []*rolloutCase) {
	is := is.New(f.t)
	out, err := exec.Command(filepath.Join(binDir, "nutmegctl"), "-admin", f.entryAdmin+","+f.controlIP+":8003", "-json", "rollouts").Output()
	is.NoErr(err)
	var shown []struct {
		Service, State, Reason string
		Evidence               *struct {
			Owner                 string
			Granted, Failed, Slow int
		}
	}
	is.NoErr(json.Unmarshal(out, &shown))
	is.Equal(len(shown), len(cases))
	for _, s := range shown {
		i := slices.IndexFunc(cases, func(c *rolloutCase) bool { return c.service == s.Service })
		is.True(i >= 0)
		is.Equal(s.State, cases[i].state)
		is.True(s.Reason != "")
		is.True(s.Evidence != nil) // the control instance is the owner
		is.Equal(s.Evidence.Owner, "control")
		is.True(s.Evidence.Granted > 0)
		f.t.Logf("nutmegctl: %s %s %s %+v", s.Service, s.State, s.Reason, *s.Evidence)
	}
}

// refusalCode matches the code in the log line of a refusal.
var refusalCode = regexp.MustCompile(`"msg":"refused".*"code":"(\w+)"`)

// checkRefusals checks that rollouts do not make the entry instance refuse requests. Refusals because the machine is
// busy do not count.
func (f *rolloutFleet) checkRefusals() {
	refusals, other := map[string]int{}, 0
	f.eachLogLine(func(_ string, line []byte) {
		if m := refusalCode.FindSubmatch(line); m != nil {
			refusals[string(m[1])]++
			if string(m[1]) != "instance_busy" {
				other++
			}
		}
	})
	f.t.Logf("%d calls, refusals by code %v", len(f.calls), refusals)
	if other > len(f.calls)/100 {
		f.t.Errorf("%d refusals for %d calls, want at most one in a hundred: %v", other, len(f.calls), refusals)
	}
}

// showRolloutLines prints the log lines of both instances about rollouts.
func (f *rolloutFleet) showRolloutLines() {
	f.eachLogLine(func(file string, line []byte) {
		if bytes.Contains(line, []byte(`"msg":"rollout`)) {
			f.t.Logf("%s: %s", file, line)
		}
	})
}

// eachLogLine calls do with the lines of both instances' logs.
func (f *rolloutFleet) eachLogLine(do func(file string, line []byte)) {
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, name := range files {
		content, _ := os.ReadFile(name)
		for _, line := range bytes.Split(content, []byte("\n")) {
			do(filepath.Base(name), line)
		}
	}
}
