package scenario

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
)

// loadRun is a load that runs in the background.
type loadRun struct {
	run  *loadgen.Run
	done chan struct{} // closed when the load has ended
}

// parseKinds returns the kinds of requests with the given names, separated by commas.
func parseKinds(names string) ([]loadgen.Kind, error) {
	available := append(loadgen.StandardKinds(fleetrun.EnginePool, fleetrun.Model, fleetrun.ServicePool),
		loadgen.Kind{Name: "stream", Share: 10, Class: "long", Pool: fleetrun.EnginePool, Model: fleetrun.Model, MinSize: 300, MaxSize: 500})
	var out []loadgen.Kind
	for _, name := range strings.Split(names, ",") {
		i := slices.IndexFunc(available, func(k loadgen.Kind) bool { return k.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown kind %q", name)
		}
		out = append(out, available[i])
	}
	return out, nil
}

// newPlan returns a load plan with default values over all instances and workspaces.
func (h *harness) newPlan(seed uint64) *loadgen.Plan {
	plan := &loadgen.Plan{Seed: seed, Rate: 100, Duration: 10 * time.Second, Attempts: 1}
	plan.Entries, plan.Ready = h.fleet.Entries()
	shares := loadgen.Skewed(len(h.fleet.Workspaces), 0.8)
	for i, workspace := range h.fleet.Workspaces {
		plan.Workspaces = append(plan.Workspaces, loadgen.Workspace{Name: workspace.Name, Key: workspace.Key, Weight: workspace.Weight, Share: shares[i]})
	}
	return plan
}

// startLoad starts a load in the background.
func (h *harness) startLoad(_ script, args []string) error {
	plan := h.newPlan(uint64(len(h.loads) + 1))
	plan.Kinds, _ = parseKinds("long,quick,label,call")
	for _, arg := range args[1:] {
		if err := h.setPlanOption(plan, arg); err != nil {
			return err
		}
	}
	load := &loadRun{run: loadgen.New(plan), done: make(chan struct{})}
	h.loads[args[0]] = load
	go func() {
		defer close(load.done)
		load.run.Do(h.ctx)
	}()
	return nil
}

// setPlanOption applies one KEY=VALUE argument of the command load to a plan.
func (h *harness) setPlanOption(plan *loadgen.Plan, arg string) (err error) {
	key, value, _ := strings.Cut(arg, "=")
	switch key {
	case "rate":
		plan.Rate, err = strconv.ParseFloat(value, 64)
	case "for":
		plan.Duration, err = time.ParseDuration(value)
	case "kinds":
		plan.Kinds, err = parseKinds(value)
	case "attempts":
		plan.Attempts, err = strconv.Atoi(value)
	case "seed":
		plan.Seed, err = strconv.ParseUint(value, 10, 64)
	case "entries":
		plan.Entries, plan.Ready = nil, nil
		for _, name := range strings.Split(value, ",") {
			r, err := h.fleet.Instance(name)
			if err != nil {
				return err
			}
			plan.Entries, plan.Ready = append(plan.Entries, r.Listen), append(plan.Ready, "http://"+r.Admin+"/ready")
		}
	default:
		err = fmt.Errorf("unknown argument %q", arg)
	}
	return err
}

// awaitLoad waits for the end of a load and checks its counts. Lost, unknown and broken
// requests must be at most the given number, by default 0. Refusals that correctly say
// "not run" are limited only if the argument refused is given. At least the given number
// of requests, by default 1, must have a whole response. Wrong, doubled, falsely refused
// and skipped requests always fail.
func (h *harness) awaitLoad(ts script, args []string) error {
	load := h.loads[args[0]]
	if load == nil {
		return fmt.Errorf("no load %q", args[0])
	}
	<-load.done
	evidence, err := h.collectEvidence()
	if err != nil {
		return err
	}
	report := load.run.Report(evidence)
	var text bytes.Buffer
	report.Write(&text)
	ts.Logf("%s", text.String())
	total := report.Total
	limit, err := parseNumbers(args[1:], map[string]int{"lost": 0, "unknown": 0, "broken": 0, "refused": total.Sent, "whole": 1})
	if err != nil {
		return err
	}
	for name, got := range map[string]int{"lost": total.Lost, "unknown": total.Unknown, "broken": total.Broken, "refused": total.Refused} {
		if got > limit[name] {
			return fmt.Errorf("load %s: %d %s, want at most %d", args[0], got, name, limit[name])
		}
	}
	if total.Wrong+total.Doubled+total.FalselyRefused+total.Skipped > 0 || total.Whole < limit["whole"] {
		return fmt.Errorf("load %s: wrong %d, doubled %d, falsely refused %d, skipped %d, whole %d (want at least %d)",
			args[0], total.Wrong, total.Doubled, total.FalselyRefused, total.Skipped, total.Whole, limit["whole"])
	}
	return nil
}

// callResult is the outcome of one call.
type callResult struct {
	verdict loadgen.Verdict
	code    string
}

// call sends one keyed non-idempotent request in the background.
func (h *harness) call(_ script, args []string) error {
	r, err := h.fleet.Instance(args[1])
	if err != nil {
		return err
	}
	ms, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	kind := &loadgen.Kind{Name: "call", Pool: fleetrun.ServicePool, Keyed: true}
	job := &loadgen.Job{Tag: args[2], Kind: kind, Size: ms, Hint: 1}
	out := make(chan callResult, 1)
	h.calls[args[0]] = out
	go func() {
		verdict, code := h.newPlan(1).Send(h.ctx, job, r.Listen)
		out <- callResult{verdict, code}
	}()
	return nil
}

// reply waits for the result of a call and checks its verdict.
func (h *harness) reply(ts script, args []string) error {
	out, ok := h.calls[args[0]]
	if !ok {
		return fmt.Errorf("no call %q", args[0])
	}
	select {
	case r := <-out:
		ts.Logf("call %s: %s %s", args[0], r.verdict, r.code)
		if !slices.Contains(args[1:], r.verdict.String()) {
			return fmt.Errorf("call %s: %s (%s), want one of %v", args[0], r.verdict, r.code, args[1:])
		}
		return nil
	case <-time.After(waitTimeout):
		return fmt.Errorf("call %s: no reply within %v", args[0], waitTimeout)
	}
}
