package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/proc"
	"nutmegrouter/internal/settings"
	"nutmegrouter/internal/standin/relay"
	"nutmegrouter/platform/standin"
)

// Options describe the fleet, the load and the faults of a run.
type Options struct {
	Seed           uint64  // of the random requests and faults
	Dir            string  // folder for settings, data and logs
	Binary         string  // path of nutmegd
	Controls       int     // number of control instances
	Entries        int     // number of entry instances
	Engines, Plain int     // numbers of targets of the model service and of the plain service
	RequestsPerS   float64 // mean rate of the load over all entry instances
	// TokensPerS is the capacity of all engines together in tokens a second. Requests of
	// workspaces beyond their share are refused.
	TokensPerS int
	// Duration is how long faults are injected. The load starts before and ends after
	// this time.
	Duration time.Duration
	Quiet    bool // inject no faults
	// Faults are the names of the faults that are injected; empty = all.
	Faults []string
	// Log receives the progress and the failures of the faults. It must not be nil.
	Log     func(format string, args ...any)
	Network int // second byte of the loopback addresses; must differ between runs at the same time
	Losses  int // number of control instances that the fleet tolerates losing at once
}

// Bounds required by the platform, written to the instances' settings; see
// settings.Bounds. The run checks those on cold targets and retries, and uses leaveMs
// and stopMs as time limits in its faults.
const (
	applyMs     = 2000
	leaveMs     = 3000
	outMs       = 5000
	stopMs      = 8000
	coldOverage = 1.5
	coldSlack   = 5
	retryRatio  = 0.2
	retrySlack  = 54
	retryWindow = 10 * time.Second
)

const (
	meshPort     = 7400
	listenPort   = 8000
	readyPort    = 8001
	operatorPort = 8002
	adminPort    = 8003
	bindPort     = 7500 // the mesh listens here; its relay listens on meshPort
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c", "dc-d"}

// instance is one nutmegd process of the fleet.
type instance struct {
	name, ip, dc string
	control      bool
	settingsFile string
	dataDir      string
	relay        *relay.Relay // between the other instances and the mesh listener
	bootstrapped bool
	suspended    bool
}

func (inst *instance) address(port int) string { return fmt.Sprintf("%s:%d", inst.ip, port) }

// harness holds a fleet together with the stand-ins and relays around it.
type harness struct {
	opt             Options
	rng             *rand.Rand
	procs           proc.Group
	instances       []*instance
	directory       *standin.Directory
	runLog          *standin.RunLog
	targetsMu       sync.Mutex // for targets and targetCount
	targets         []*standin.Target
	relaysMu        sync.Mutex              // for crashTarget, which runs beside the faults
	targetRelays    map[string]*relay.Relay // in front of the targets, by target id
	config          standin.Config
	operator        standin.Operator
	targetCount     int
	acceptedVersion int // newest configuration version that was accepted
	load            *loadGenerator
	disturbedMu     sync.Mutex
	disturbed       map[string][]time.Time // restarts and suspensions, by instance
	restarts        sync.WaitGroup         // of crashed targets
	rolloutsMu      sync.Mutex
	rollouts        []*rollout      // in the order of their starts
	rollingOut      map[string]bool // services with a rollout under way
}

// newHarness starts the list of targets and the targets, and lays out the instances
// without starting them.
func newHarness(o Options) (*harness, error) {
	h := &harness{
		opt: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), runLog: standin.NewRunLog(), targetRelays: map[string]*relay.Relay{}, disturbed: map[string][]time.Time{}, rollingOut: map[string]bool{},
		operator: standin.Operator{Client: &http.Client{Timeout: 1500 * time.Millisecond}},
	}
	var err error
	if h.directory, err = standin.NewDirectory(h.ip(0)); err != nil {
		return nil, err
	}
	for i := range o.Engines {
		if _, err := h.addTarget("model", true, 16, dataCentres[i%len(dataCentres)]); err != nil {
			return nil, err
		}
	}
	for i := range o.Plain {
		if _, err := h.addTarget("orders", false, 6, dataCentres[i%len(dataCentres)]); err != nil {
			return nil, err
		}
	}
	for i := range o.Controls {
		h.instances = append(h.instances, &instance{name: fmt.Sprintf("control-%d", i), ip: h.ip(10 + i), dc: dataCentres[i%len(dataCentres)], control: true})
	}
	for i := range o.Entries {
		h.instances = append(h.instances, &instance{name: fmt.Sprintf("entry-%d", i), ip: h.ip(100 + i), dc: dataCentres[i%len(dataCentres)]})
	}
	h.config = baseConfig()
	h.config.TokensPerSecond = o.TokensPerS
	return h, nil
}

func (h *harness) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", h.opt.Network, host+1) }

// baseConfig returns a configuration with four routes, among them each kind.
func baseConfig() standin.Config {
	return standin.Config{
		Callers:  standin.UsualCallerLimits,
		Version:  1,
		Services: []standin.Service{{Name: "model", Engine: true, Slots: 16}, {Name: "orders"}},
		Routes: []standin.Route{
			{Name: "chat", Host: "fleet.example", Prefix: "/chat/", Service: "model", Kind: "streaming", TimeoutMs: 8000, ObjectiveMs: 500, MaxAttempts: 1},
			{Name: "draft", Host: "fleet.example", Prefix: "/draft/", Service: "model", Kind: "streaming", TimeoutMs: 10000, ObjectiveMs: 1000, MaxAttempts: 2, Resumable: true},
			{Name: "order", Host: "fleet.example", Prefix: "/order/", Service: "orders", Kind: "non_idempotent", TimeoutMs: 1500, ObjectiveMs: 200, MaxAttempts: 1, Public: true},
			{Name: "look", Host: "fleet.example", Prefix: "/look/", Service: "orders", Kind: "idempotent", TimeoutMs: 1500, ObjectiveMs: 200, MaxAttempts: 2, Public: true},
		},
		Workspaces: map[string][]string{"small": {"key-small"}, "large": {"key-large-1", "key-large-2"}, "other": {"key-other"}},
	}
}

// addTarget starts a target of the default version behind a relay and adds it to the list of targets.
func (h *harness) addTarget(service string, engine bool, slots int, dc string) (*standin.Target, error) {
	return h.addVersion(service, engine, slots, dc, standin.DefaultVersion, nil)
}

// addVersion is addTarget for a version, which is good if bad is nil.
func (h *harness) addVersion(service string, engine bool, slots int, dc, version string, bad *standin.BadVersion) (*standin.Target, error) {
	h.targetsMu.Lock()
	defer h.targetsMu.Unlock()
	h.targetCount++
	t := &standin.Target{
		ID: fmt.Sprintf("i-%s-%d", service, h.targetCount), Service: service, DataCentre: dc, Version: version, Bad: bad, Engine: engine, Slots: slots,
		RunLog: h.runLog, MaxColdPerSecond: standin.ColdPerSecond*coldOverage + coldSlack, StartedAt: time.Now(),
	}
	t.OnDeadly = h.crashTarget
	if err := t.Start(h.ip(0)); err != nil {
		return nil, err
	}
	p, err := relay.New(t.Address())
	if err != nil {
		return nil, err
	}
	t.ListedAddress = p.Addr()
	h.relaysMu.Lock()
	h.targetRelays[t.ID] = p
	h.relaysMu.Unlock()
	h.targets = append(h.targets, t)
	h.directory.Add(t)
	return t, nil
}

// liveTargets returns the targets that are neither stopped nor being replaced.
func (h *harness) liveTargets() []*standin.Target {
	h.targetsMu.Lock()
	defer h.targetsMu.Unlock()
	return slices.Clone(h.targets)
}

// targetsOf returns the live targets of a service.
func (h *harness) targetsOf(service string) []*standin.Target {
	return slices.DeleteFunc(h.liveTargets(), func(t *standin.Target) bool { return t.Service != service })
}

// forgetTargets removes targets from the live ones. They go on to serve.
func (h *harness) forgetTargets(targets ...*standin.Target) {
	h.targetsMu.Lock()
	defer h.targetsMu.Unlock()
	h.targets = slices.DeleteFunc(h.targets, func(t *standin.Target) bool { return slices.Contains(targets, t) })
}

// stopTargets stops targets, and removes them from the platform's list a second later: a real list shows a stopped
// target for a while, too.
func (h *harness) stopTargets(targets ...*standin.Target) {
	h.forgetTargets(targets...)
	for _, t := range targets {
		t.Close()
		h.targetRelay(t).Close()
	}
	time.Sleep(time.Second)
	for _, t := range targets {
		h.directory.Remove(t.ID)
	}
}

// targetRelay returns the relay in front of a target.
func (h *harness) targetRelay(t *standin.Target) *relay.Relay {
	h.relaysMu.Lock()
	defer h.relaysMu.Unlock()
	return h.targetRelays[t.ID]
}

// restartTime is how long a crashed target is away.
const restartTime = 3 * time.Second

// crashTarget ends all requests of a target, which refuses connections until it is back as another
// incarnation after restartTime.
func (h *harness) crashTarget(t *standin.Target) {
	r := h.targetRelay(t)
	r.Refuse()
	h.restarts.Go(func() {
		time.Sleep(restartTime)
		t.Restart()
		if err := r.Accept(); err != nil {
			h.opt.Log("restart %s: %v", t.ID, err)
		}
	})
}

// writeSettings writes the settings file of an instance.
func (h *harness) writeSettings(inst *instance) error {
	s := settings.Settings{
		Profile: settings.ProfileRoutes, Instance: inst.name, DataCentre: inst.dc,
		Mesh: inst.address(meshPort), MeshListen: inst.address(bindPort), Admin: inst.address(adminPort),
	}
	s.Routes = settings.Routes{
		Bootstrap: !inst.bootstrapped, DataCentres: dataCentres, MemoryMB: 256, MaxFiles: 4096, LossesTolerated: h.opt.Losses,
		Rollouts:  &rolloutBounds,
		Directory: settings.Directory{Address: h.directory.Address(), CallsPerSecond: 40, MaxLagMs: 500},
		Bounds: settings.Bounds{
			ApplyMs: applyMs, AcknowledgeMs: 4000, LeaveMs: leaveMs, OutMs: outMs, StopMs: stopMs, CatchUpMs: 4000,
			ForwardMs: 120, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindowMs: float64(retryWindow.Milliseconds()),
			ColdOverage: coldOverage, ColdSlack: coldSlack, ShareWindowMs: 4000,
		},
	}
	for _, seed := range h.instances[:min(3, h.opt.Controls)] {
		s.Routes.Seeds = append(s.Routes.Seeds, seed.address(operatorPort))
	}
	if inst.control {
		s.DataDir, s.Routes.Operators = inst.dataDir, inst.address(operatorPort)
	} else {
		s.Listen, s.Routes.Ready = inst.address(listenPort), inst.address(readyPort)
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(inst.settingsFile, raw, 0o644)
}

// start starts the process of an instance and keeps its data folder. Only the first
// start of an instance sets bootstrap in its settings.
func (h *harness) start(inst *instance) error {
	if inst.settingsFile == "" {
		inst.settingsFile = filepath.Join(h.opt.Dir, inst.name+".json")
		if inst.control {
			inst.dataDir = filepath.Join(h.opt.Dir, "data", inst.name)
		}
		r, err := relay.NewAt(inst.address(meshPort), inst.address(bindPort))
		if err != nil {
			return err
		}
		inst.relay = r
	}
	if err := h.writeSettings(inst); err != nil {
		return err
	}
	inst.bootstrapped, inst.suspended = true, false
	if inst.dataDir != "" {
		if err := os.MkdirAll(inst.dataDir, 0o755); err != nil {
			return errors.Wrap(err, inst.name)
		}
	}
	return h.procs.Start(inst.name, func() (*proc.Process, error) {
		return proc.Start(inst.name, h.opt.Binary, filepath.Join(h.opt.Dir, inst.name+".log"), "-settings", inst.settingsFile)
	})
}

// recordDisturbance records that an instance is restarted or suspended, or goes on after that.
func (h *harness) recordDisturbance(inst *instance) {
	h.disturbedMu.Lock()
	defer h.disturbedMu.Unlock()
	h.disturbed[inst.name] = append(h.disturbed[inst.name], time.Now())
}

// wasDisturbed reports whether an instance was restarted or suspended in a span of time.
func (h *harness) wasDisturbed(name string, from, to time.Time) bool {
	h.disturbedMu.Lock()
	defer h.disturbedMu.Unlock()
	return slices.ContainsFunc(h.disturbed[name], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// signal sends a signal to an instance. A failure is only logged.
func (h *harness) signal(inst *instance, s syscall.Signal) {
	p, err := h.procs.Get(inst.name)
	if err == nil {
		err = p.Signal(s)
	}
	if err != nil {
		h.opt.Log("signal %s: %v", inst.name, err)
	}
}

func (h *harness) controlInstances() []*instance { return h.instances[:h.opt.Controls] }

func (h *harness) entryInstances() []*instance {
	return h.instances[h.opt.Controls : h.opt.Controls+h.opt.Entries]
}

func (h *harness) isRunning(inst *instance) bool {
	p, err := h.procs.Get(inst.name)
	return err == nil && p.Running()
}

// close kills the processes and stops the relays, the targets and the list.
func (h *harness) close() {
	h.procs.KillAll()
	h.restarts.Wait()
	for _, inst := range h.instances {
		if inst.relay != nil {
			inst.relay.Close()
		}
	}
	for _, t := range h.targets {
		t.Close()
	}
	for _, p := range h.targetRelays {
		p.Close()
	}
	h.directory.Close()
}

// startFleet starts all instances, submits the first configuration and waits until all
// entry instances are ready.
func (h *harness) startFleet(ctx context.Context) error {
	for _, inst := range h.instances {
		if err := h.start(inst); err != nil {
			return err
		}
	}
	if err := h.waitFor(ctx, "first configuration", func() bool { return h.submitConfig(ctx) }); err != nil {
		return err
	}
	return h.waitFor(ctx, "readiness of all entry instances", func() bool {
		for _, inst := range h.entryInstances() {
			if !h.isReady(ctx, inst) {
				return false
			}
		}
		return true
	})
}

// submitConfig sends the configuration to the control instances in random order until
// one accepts it, and reports whether one did.
func (h *harness) submitConfig(ctx context.Context) bool {
	doc := h.config.Document()
	for _, i := range h.rng.Perm(h.opt.Controls) {
		status, err := h.operator.Replace(ctx, h.instances[i].address(operatorPort), doc)
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// isReady reports whether the readiness endpoint of an entry instance returns 200.
func (h *harness) isReady(ctx context.Context, inst *instance) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.address(readyPort)+standin.PathReady, nil)
	if err != nil {
		return false
	}
	resp, err := h.operator.Client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitTimeout bounds the wait for a state of the fleet.
const waitTimeout = 30 * time.Second

// waitFor polls ok every 50 ms until it returns true. It fails after waitTimeout or when
// the context ends.
func (h *harness) waitFor(ctx context.Context, what string, ok func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			return errors.Errorf("%s: timed out after %v", what, waitTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}
