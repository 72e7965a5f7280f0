package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/standin/relay"
	"nutmegrouter/platform/standin"
)

// fault is a fault that a run can inject.
type fault struct {
	name string
	// controlsLost is the number of control instances that are unavailable while the
	// fault lasts.
	controlsLost int
	// inject injects the fault and ends it before it returns.
	inject func(ctx context.Context, h *harness, rng *rand.Rand)
}

// faults returns all faults that a run can inject. The value 9 for controlsLost of
// all-controls keeps it from running together with another fault that takes down control
// instances.
func faults() []fault {
	return []fault{
		{"kill-entry", 0, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.stopAndRestart(ctx, pick(h.entryInstances(), rng), syscall.SIGKILL, rng)
		}},
		{"stop-entry", 0, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.stopAndRestart(ctx, pick(h.entryInstances(), rng), syscall.SIGTERM, rng)
		}},
		{"freeze-entry", 0, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.suspend(ctx, pick(h.entryInstances(), rng), rng)
		}},
		{"reload", 0, func(_ context.Context, h *harness, rng *rand.Rand) { h.signal(pick(h.instances, rng), syscall.SIGHUP) }},
		{"kill-control", 1, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.stopAndRestart(ctx, pick(h.controlInstances(), rng), syscall.SIGKILL, rng)
		}},
		{"stop-control", 1, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.stopAndRestart(ctx, pick(h.controlInstances(), rng), syscall.SIGTERM, rng)
		}},
		{"freeze-control", 1, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.suspend(ctx, pick(h.controlInstances(), rng), rng)
		}},
		{"wipe-control", 1, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.restartWithEmptyDisk(ctx, pick(h.controlInstances(), rng), rng)
		}},
		{"torn-log", 1, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.restartWithTornLog(ctx, pick(h.controlInstances(), rng), rng)
		}},
		{"all-controls", 9, killControls},
		{"cut-in", 1, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.disturbLinks(ctx, pick(h.controlInstances(), rng), rng, func(r *relay.Relay) { r.Cut(relay.ToTarget) })
		}},
		{"cut", 1, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.disturbLinks(ctx, pick(h.controlInstances(), rng), rng, func(r *relay.Relay) { r.Cut(relay.Both) })
		}},
		{"reset", 1, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.disturbLinks(ctx, pick(h.controlInstances(), rng), rng, func(r *relay.Relay) { r.Down() })
		}},
		{"silent-links", 0, func(_ context.Context, h *harness, rng *rand.Rand) {
			inst := pick(h.controlInstances(), rng)
			h.recordDisturbance(inst)
			inst.relay.Silence()
		}},
		{"slow-links", 0, func(ctx context.Context, h *harness, rng *rand.Rand) {
			inst := pick(h.controlInstances(), rng)
			h.recordDisturbance(inst)
			inst.relay.Delay(time.Duration(rng.IntN(60)) * time.Millisecond)
			randomPause(ctx, rng, 3)
			inst.relay.Delay(0)
			h.recordDisturbance(inst)
		}},
		{"targets-fail", 0, func(ctx context.Context, h *harness, rng *rand.Rand) { h.failTargets(ctx, rng, 0, 300, 0, 0) }},
		{"targets-refuse", 0, func(ctx context.Context, h *harness, rng *rand.Rand) { h.failTargets(ctx, rng, 400, 0, 0, 0) }},
		{"targets-cut", 0, func(ctx context.Context, h *harness, rng *rand.Rand) { h.failTargets(ctx, rng, 0, 0, 200, 0) }},
		{"targets-hang", 0, func(ctx context.Context, h *harness, rng *rand.Rand) { h.failTargets(ctx, rng, 0, 0, 0, 150) }},
		{"targets-limit", 0, limitTargets},
		{"deadly-request", 0, repeatDeadlyRequest},
		{"target-dark", 0, func(ctx context.Context, h *harness, rng *rand.Rand) {
			p := h.targetRelay(pick(h.liveTargets(), rng))
			p.Cut(relay.Both)
			randomPause(ctx, rng, 3)
			p.Heal()
		}},
		{"target-silent", 0, func(_ context.Context, h *harness, rng *rand.Rand) {
			h.targetRelay(pick(h.liveTargets(), rng)).Silence()
		}},
		{"replace-target", 0, replaceTarget},
		{"list-refused", 0, func(ctx context.Context, h *harness, rng *rand.Rand) {
			h.directory.SetRateLimited(true)
			randomPause(ctx, rng, 3)
			h.directory.SetRateLimited(false)
		}},
		{"configure", 0, replaceConfig},
		{"bad-configuration", 0, submitInvalidConfig},
		{"out-and-back", 0, moveOutAndBack},
		{"rollout", 0, startRollout},
	}
}

// faultsNamed returns the faults with the given names, all without a name. It fails if there is none
// with one of the names.
func faultsNamed(names []string) ([]fault, error) {
	all := faults()
	if len(names) == 0 {
		return all, nil
	}
	for _, name := range names {
		if !slices.ContainsFunc(all, func(f fault) bool { return f.name == name }) {
			return nil, errors.Errorf("there is no fault %q", name)
		}
	}
	return slices.DeleteFunc(all, func(f fault) bool { return !slices.Contains(names, f.name) }), nil
}

// pick returns a random element of the list.
func pick[T any](list []T, rng *rand.Rand) T { return list[rng.IntN(len(list))] }

// randomPause waits for 200 ms and a random time of up to the given seconds more.
func randomPause(ctx context.Context, rng *rand.Rand, seconds float64) {
	select {
	case <-ctx.Done():
	case <-time.After(200*time.Millisecond + time.Duration(rng.Float64()*seconds*float64(time.Second))):
	}
}

// stopAndRestart ends a process with a signal and starts it again. A process that runs
// on for stopMs after the signal is killed.
func (h *harness) stopAndRestart(ctx context.Context, inst *instance, s syscall.Signal, rng *rand.Rand) {
	if !h.isRunning(inst) || inst.suspended {
		return
	}
	h.recordDisturbance(inst)
	h.signal(inst, s)
	if p, err := h.procs.Get(inst.name); err == nil {
		select {
		case <-p.Done():
		case <-time.After(stopMs * time.Millisecond):
			h.signal(inst, syscall.SIGKILL)
			<-p.Done()
		}
	}
	randomPause(ctx, rng, 1)
	h.restart(inst)
}

func (h *harness) restart(inst *instance) {
	h.recordDisturbance(inst)
	if err := h.start(inst); err != nil {
		h.opt.Log("restart %s: %v", inst.name, err)
	}
}

// suspend suspends a process with SIGSTOP for a random time of up to 4.2 s.
func (h *harness) suspend(ctx context.Context, inst *instance, rng *rand.Rand) {
	if !h.isRunning(inst) {
		return
	}
	inst.suspended = true
	h.recordDisturbance(inst)
	h.signal(inst, syscall.SIGSTOP)
	randomPause(ctx, rng, 4)
	h.signal(inst, syscall.SIGCONT)
	h.recordDisturbance(inst)
	inst.suspended = false
}

// restartWithEmptyDisk kills a control instance, deletes its data and restarts it.
func (h *harness) restartWithEmptyDisk(ctx context.Context, inst *instance, rng *rand.Rand) {
	if !h.isRunning(inst) || inst.suspended {
		return
	}
	h.recordDisturbance(inst)
	h.signal(inst, syscall.SIGKILL)
	if p, err := h.procs.Get(inst.name); err == nil {
		<-p.Done()
	}
	if err := os.RemoveAll(inst.dataDir); err != nil {
		h.opt.Log("wipe %s: %v", inst.name, err)
	}
	randomPause(ctx, rng, 1)
	h.restart(inst)
}

// restartWithTornLog kills a control instance, appends an incomplete record to its log
// and restarts it.
func (h *harness) restartWithTornLog(ctx context.Context, inst *instance, rng *rand.Rand) {
	if !h.isRunning(inst) || inst.suspended {
		return
	}
	h.recordDisturbance(inst)
	h.signal(inst, syscall.SIGKILL)
	if p, err := h.procs.Get(inst.name); err == nil {
		<-p.Done()
	}
	f, err := os.OpenFile(inst.dataDir+"/control/log", os.O_APPEND|os.O_WRONLY, 0)
	if err == nil {
		_, err = f.Write([]byte{0x17, 0, 0, 0, 9, 9, 9})
		_ = f.Close() // the instance reads the file at its start
	}
	if err != nil {
		h.opt.Log("tear %s: %v", inst.name, err)
	}
	randomPause(ctx, rng, 0.5)
	h.restart(inst)
}

// killControls kills all control instances at the same moment.
func killControls(ctx context.Context, h *harness, rng *rand.Rand) {
	for _, inst := range h.controlInstances() {
		if h.isRunning(inst) {
			h.recordDisturbance(inst)
			h.signal(inst, syscall.SIGKILL)
		}
	}
	for _, inst := range h.controlInstances() {
		if p, err := h.procs.Get(inst.name); err == nil {
			<-p.Done()
		}
	}
	randomPause(ctx, rng, 0.5)
	for _, inst := range h.controlInstances() {
		h.restart(inst)
	}
}

// disturbLinks applies f to the relay in front of a control instance, and heals the
// relay after a random time.
func (h *harness) disturbLinks(ctx context.Context, inst *instance, rng *rand.Rand, f func(*relay.Relay)) {
	h.recordDisturbance(inst)
	f(inst.relay)
	randomPause(ctx, rng, 4)
	inst.relay.Heal()
	h.recordDisturbance(inst)
}

// failTargets makes about a third of the targets fail for a random time. The shares of
// requests that these refuse, fail, cut off and leave hanging are in thousandths.
func (h *harness) failTargets(ctx context.Context, rng *rand.Rand, refuse, fail, cut, hang int32) {
	var affected []*standin.Target
	for _, t := range h.liveTargets() {
		if rng.IntN(3) == 0 {
			affected = append(affected, t)
			t.FaultRates.Set(refuse, fail, cut, hang)
		}
	}
	randomPause(ctx, rng, 4)
	for _, t := range affected {
		t.FaultRates.Set(0, 0, 0, 0)
	}
}

// limitTargets makes about two thirds of the targets name a rate limit, which changes once, for 8 s.
func limitTargets(ctx context.Context, h *harness, rng *rand.Rand) {
	var affected []*standin.Target
	for _, t := range h.liveTargets() {
		if rng.IntN(3) > 0 {
			affected = append(affected, t)
		}
	}
	for range 2 {
		for _, t := range affected {
			t.SetRateLimit(0.5 + 3.5*rng.Float64())
		}
		sleep(ctx, 4*time.Second)
	}
	for _, t := range affected {
		t.SetRateLimit(-1)
	}
}

// repeatDeadlyRequest sends the same request to a random route again and again for 9 s, at random entry
// instances. It crashes each target that begins to run it.
func repeatDeadlyRequest(ctx context.Context, h *harness, rng *rand.Rand) {
	route := h.config.Routes[rng.IntN(4)]
	path := route.Prefix + "1" + standin.DeadlyPath + fmt.Sprint(rng.Uint32())
	prompt := []standin.Part{{ID: "a1", Tokens: 100}, {ID: "b1", Tokens: 800}, {ID: path, Tokens: 400}}
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		h.load.sendDeadly(route, path, prompt, rng)
		sleep(ctx, time.Duration(50+rng.IntN(100))*time.Millisecond)
	}
}

// replaceTarget starts a replacement for a target, has the list show the old target as
// leaving, and stops the old one up to 3 s after the bound on new work there (leaveMs).
// It leaves the targets of a service alone whose rollout is under way.
func replaceTarget(ctx context.Context, h *harness, rng *rand.Rand) {
	old := pick(h.liveTargets(), rng)
	if h.isRollingOut(old.Service) {
		return
	}
	if _, err := h.addVersion(old.Service, old.Engine, old.Slots, old.DataCentre, old.Version, old.Bad); err != nil {
		h.opt.Log("replace %s: %v", old.ID, err)
		return
	}
	h.forgetTargets(old)
	old.MarkDraining()
	select {
	case <-ctx.Done():
	case <-time.After(leaveMs*time.Millisecond + time.Duration(rng.IntN(3000))*time.Millisecond):
	}
	h.stopTargets(old)
}

// replaceConfig submits a newer configuration, in which a fifth route with a random
// time limit is added or replaced.
func replaceConfig(ctx context.Context, h *harness, rng *rand.Rand) {
	h.config.Version += 1 + rng.IntN(3)
	extra := h.config.Routes[0]
	extra.Prefix = "/extra" + extra.Prefix
	extra.TimeoutMs += rng.IntN(1000)
	h.config.Routes = append(h.config.Routes[:4:4], extra)
	version := h.config.Version
	if err := h.waitFor(ctx, "configuration", func() bool { return h.submitConfig(ctx) }); err != nil {
		h.opt.Log("configuration %d not accepted: %v", version, err)
		return
	}
	h.acceptedVersion = version
}

// submitInvalidConfig submits a truncated configuration. Any response but 400 or 503
// is a violation.
func submitInvalidConfig(ctx context.Context, h *harness, rng *rand.Rand) {
	doc := h.config.Document()
	doc = doc[:len(doc)-1-rng.IntN(len(doc)/2)]
	status, err := h.operator.Replace(ctx, pick(h.controlInstances(), rng).address(operatorPort), doc)
	if err == nil && status != http.StatusBadRequest && status != http.StatusServiceUnavailable {
		h.runLog.RecordViolation("the response to an invalid configuration was " + http.StatusText(status))
	}
}

// moveOutAndBack takes a data centre out of service and returns it.
func moveOutAndBack(ctx context.Context, h *harness, rng *rand.Rand) {
	dc := pick(dataCentres, rng)
	setOut := func(out bool) func() bool {
		return func() bool {
			status, err := h.operator.SetEvacuated(ctx, pick(h.controlInstances(), rng).address(operatorPort), dc, out)
			return err == nil && status == http.StatusOK
		}
	}
	if err := h.waitFor(ctx, dc+" out", setOut(true)); err != nil {
		h.opt.Log("%v", err)
		return
	}
	randomPause(ctx, rng, 3)
	if err := h.waitFor(ctx, dc+" back", setOut(false)); err != nil {
		h.opt.Log("%v", err)
	}
}
