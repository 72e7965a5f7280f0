package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/settings"
)

const (
	// maxConcurrentFleets limits the fleets that run at the same time on one machine.
	maxConcurrentFleets = 3
	// waitTimeout bounds waits for states that have no documented time bound.
	waitTimeout = 40 * time.Second
)

// binDir is the folder of the programs that TestMain builds.
var binDir string

// fleetSlots is a semaphore for the running fleets.
var fleetSlots = make(chan struct{}, maxConcurrentFleets)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "nutmeg-scenario-")
	if err == nil {
		binDir = dir
		err = fleetrun.Build(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start whole fleets")
	}
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: commands()})
}

// Guards against a pool that stops serving under overload when an instance that does not
// own it is killed. It is a test of its own so that KNOWN-RED.txt can list it alone.
func TestRouterKilledUnderOverload(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start whole fleets")
	}
	testscript.Run(t, testscript.Params{Files: []string{"testdata/overload/router-killed.txtar"}, Setup: setup, Cmds: commands()})
}

// harness is the state of one script: its fleet, links, marks, loads and calls.
type harness struct {
	ctx   context.Context
	dir   string
	fleet *fleetrun.Fleet
	links links
	marks map[string]time.Time
	loads map[string]*loadRun
	calls map[string]chan callResult
}

// harnessKey is the key of the harness in the values of a testscript environment.
type harnessKey struct{}

// setup waits for a fleet slot and adds a harness to the environment of a script.
func setup(env *testscript.Env) error {
	fleetSlots <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{ctx: ctx, dir: filepath.Join(env.WorkDir, "fleet"), marks: map[string]time.Time{},
		loads: map[string]*loadRun{}, calls: map[string]chan callResult{}}
	env.Values[harnessKey{}] = h
	env.Defer(func() {
		cancel()
		h.close()
		<-fleetSlots
	})
	return nil
}

// close waits for the loads, whose context must have ended, and stops the fleet and the
// relays.
func (h *harness) close() {
	for _, l := range h.loads {
		<-l.done
	}
	if h.fleet != nil {
		h.fleet.Close()
	}
	h.links.close()
}

// command adapts f to a testscript command with at least minArgs arguments. An error of
// f fails the script; a negated command must return an error.
func command(minArgs int, f func(h *harness, ts *testscript.TestScript, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < minArgs {
			ts.Fatalf("want at least %d arguments", minArgs)
		}
		h := ts.Value(harnessKey{}).(*harness)
		err := f(h, ts, args)
		switch {
		case neg && err == nil:
			ts.Fatalf("succeeded unexpectedly")
		case neg:
			ts.Logf("failed as expected: %v", err)
		case err != nil:
			h.showLogs(ts)
			ts.Fatalf("%v", err)
		}
	}
}

// Bytes at the end of each log and of the merged timeline that are printed after a failure.
const (
	logTailBytes      = 1500
	timelineTailBytes = 16000
)

// showLogs prints the end of the merged timeline and of each process's log.
func (h *harness) showLogs(ts *testscript.TestScript) {
	if h.fleet != nil {
		ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
		defer cancel()
		out, err := h.fleet.Ctl(ctx, "timeline")
		ts.Logf("%v%s", err, out[max(0, len(out)-timelineTailBytes):])
	}
	files, _ := filepath.Glob(filepath.Join(h.dir, "logs", "*.log"))
	for _, name := range files {
		content, _ := os.ReadFile(name)
		ts.Logf("%s: %s", filepath.Base(name), content[max(0, len(content)-logTailBytes):])
	}
}

// parseNumbers parses KEY=N arguments. It changes and returns defaults, whose keys are
// the known ones.
func parseNumbers(args []string, defaults map[string]int) (map[string]int, error) {
	for _, a := range args {
		key, v, ok := strings.Cut(a, "=")
		n, err := strconv.Atoi(v)
		if _, known := defaults[key]; !ok || err != nil || !known {
			return nil, fmt.Errorf("unknown argument %q", a)
		}
		defaults[key] = n
	}
	return defaults, nil
}

// startFleet lays out and starts a fleet, and waits until all instances are ready.
func (h *harness) startFleet(ts *testscript.TestScript, args []string) error {
	n, err := parseNumbers(args, map[string]int{"instances": 7, "engines": 8, "services": 4, "workspaces": 4,
		"warm": 8, "cold": 2, "pace": 5000, "silence": 5000, "grace": 3000, "idempotent": 0})
	if err != nil {
		return err
	}
	o := fleetrun.Options{Dir: h.dir, Bin: binDir, Link: h.links.addRelay, Instances: n["instances"], Engines: n["engines"],
		Services: n["services"], Workspaces: n["workspaces"], Limits: settings.Limits{StopGraceMs: n["grace"]},
		Pool: func(p *fleetconfig.Pool) {
			p.SilenceLimitMs = n["silence"]
			p.Idempotent = n["idempotent"] != 0 && p.Kind == fleetconfig.KindService
		}}
	o.Engine.WarmCapacity, o.Engine.ColdCapacity, o.Engine.PaceUs = n["warm"], n["cold"], n["pace"]
	if h.fleet, err = fleetrun.New(o); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(h.ctx, waitTimeout)
	defer cancel()
	return h.fleet.StartAll(ctx)
}

// expandAll returns the names, or the names of all instances for the single name "all".
func (h *harness) expandAll(names []string) []string {
	if len(names) != 1 || names[0] != "all" {
		return names
	}
	var out []string
	for _, r := range h.fleet.InstanceList {
		out = append(out, r.Instance)
	}
	return out
}

// status fetches the status of one instance.
func (h *harness) status(name string) (adminapi.Status, error) { return h.fleet.Status(h.ctx, name) }

// waitUntil polls ok every 50 ms until it returns true, for at most waitTimeout.
func (h *harness) waitUntil(what string, ok func() bool) error {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("timed out after %v: %s", waitTimeout, what)
}

// parseTime returns the time of a mark, or a time after it, as in out+3s.
func (h *harness) parseTime(text string) (time.Time, error) {
	name, offset, found := strings.Cut(text, "+")
	t, ok := h.marks[name]
	if !ok {
		return t, fmt.Errorf("unknown mark %q", name)
	}
	if !found {
		return t, nil
	}
	d, err := time.ParseDuration(offset)
	return t.Add(d), err
}
