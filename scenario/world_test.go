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
	// atOnce bounds the fleets that run side by side on one machine.
	atOnce = 3
	// patience bounds waits for states for which the page gives no time.
	patience = 40 * time.Second
)

// bin holds the programs that TestMain builds.
var bin string

// slots limits the fleets that run at once.
var slots = make(chan struct{}, atOnce)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "nutmeg-scenario-")
	if err == nil {
		bin = dir
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

// Guards against the failure of its script alone, so that it can be named in
// KNOWN-RED.txt.
func TestRouterKilledUnderOverload(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start whole fleets")
	}
	testscript.Run(t, testscript.Params{Files: []string{"testdata/overload/router-killed.txtar"}, Setup: setup, Cmds: commands()})
}

// world is the state of one script.
type world struct {
	ctx   context.Context
	dir   string
	fleet *fleetrun.Fleet
	links links
	marks map[string]time.Time
	loads map[string]*load
	calls map[string]chan reply
}

type worldKey struct{}

func setup(env *testscript.Env) error {
	slots <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{ctx: ctx, dir: filepath.Join(env.WorkDir, "fleet"), marks: map[string]time.Time{},
		loads: map[string]*load{}, calls: map[string]chan reply{}}
	env.Values[worldKey{}] = w
	env.Defer(func() {
		cancel()
		w.close()
		<-slots
	})
	return nil
}

func (w *world) close() {
	for _, l := range w.loads {
		<-l.done
	}
	if w.fleet != nil {
		w.fleet.Close()
	}
	w.links.close()
}

// command adapts a method with an error to testscript. A negated command must
// fail.
func command(least int, f func(w *world, ts *testscript.TestScript, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < least {
			ts.Fatalf("want at least %d arguments", least)
		}
		w := ts.Value(worldKey{}).(*world)
		err := f(w, ts, args)
		switch {
		case neg && err == nil:
			ts.Fatalf("succeeded unexpectedly")
		case neg:
			ts.Logf("failed as expected: %v", err)
		case err != nil:
			w.showLogs(ts)
			ts.Fatalf("%v", err)
		}
	}
}

// Bytes shown after a failure, of each log and of the merged events.
const (
	logTail      = 1500
	timelineTail = 16000
)

// showLogs prints the end of each process's log and of the merged events.
func (w *world) showLogs(ts *testscript.TestScript) {
	if w.fleet != nil {
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		defer cancel()
		out, err := w.fleet.Ctl(ctx, "timeline")
		ts.Logf("%v%s", err, out[max(0, len(out)-timelineTail):])
	}
	files, _ := filepath.Glob(filepath.Join(w.dir, "logs", "*.log"))
	for _, name := range files {
		raw, _ := os.ReadFile(name)
		ts.Logf("%s: %s", filepath.Base(name), raw[max(0, len(raw)-logTail):])
	}
}

// numbers reads KEY=N arguments with defaults.
func numbers(args []string, defaults map[string]int) (map[string]int, error) {
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

func (w *world) startFleet(ts *testscript.TestScript, args []string) error {
	n, err := numbers(args, map[string]int{"instances": 7, "engines": 8, "services": 4, "workspaces": 4,
		"warm": 8, "cold": 2, "pace": 5000, "silence": 5000, "grace": 3000, "idempotent": 0})
	if err != nil {
		return err
	}
	o := fleetrun.Options{Dir: w.dir, Bin: bin, Link: w.links.open, Instances: n["instances"], Engines: n["engines"],
		Services: n["services"], Workspaces: n["workspaces"], Limits: settings.Limits{StopGraceMs: n["grace"]},
		Pool: func(p *fleetconfig.Pool) {
			p.SilenceLimitMs = n["silence"]
			p.Idempotent = n["idempotent"] != 0 && p.Kind == fleetconfig.KindService
		}}
	o.Engine.WarmCapacity, o.Engine.ColdCapacity, o.Engine.PaceUs = n["warm"], n["cold"], n["pace"]
	if w.fleet, err = fleetrun.New(o); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	return w.fleet.Up(ctx)
}

// expand turns the word all into every instance.
func (w *world) expand(names []string) []string {
	if len(names) != 1 || names[0] != "all" {
		return names
	}
	var out []string
	for _, r := range w.fleet.Routers {
		out = append(out, r.Instance)
	}
	return out
}

// status asks one instance for its status.
func (w *world) status(name string) (adminapi.Status, error) { return w.fleet.Status(w.ctx, name) }

// until repeats ok until it holds.
func (w *world) until(what string, ok func() bool) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", patience, what)
}

// at reads a time: a mark, or a mark and a duration as in out+3s.
func (w *world) at(text string) (time.Time, error) {
	name, plus, found := strings.Cut(text, "+")
	t, ok := w.marks[name]
	if !ok {
		return t, fmt.Errorf("no mark %q", name)
	}
	if !found {
		return t, nil
	}
	d, err := time.ParseDuration(plus)
	return t.Add(d), err
}
