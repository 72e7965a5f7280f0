package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/chart"
	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
)

// benchRun is one run of the benchmark. Each phase has a fleet of its own.
type benchRun struct {
	options
	out   io.Writer
	dirty bool
	gaps  []chart.Series // gap over time in per cent, with routers and without
}

// phase measures one of the figures of section 1.
type phase struct {
	title string
	run   func(ctx context.Context, b *benchRun) error
}

func phases() []phase {
	return []phase{
		{"Latency added to a direct call when nothing waits", latency},
		{"Throughput of short calls through 7 instances", throughput},
		{"Fairness and utilisation under overload", fairness},
		{"Pool owner killed under overload", ownerKilled},
		{"Another router killed under overload", otherKilled},
		{"Control traffic", traffic},
		{"Service while a data centre leaves and returns", moveService},
		{"Slopes of an instance's use", slopes},
	}
}

// bench runs all phases and writes the tables.
func bench(ctx context.Context, o options) int {
	var text bytes.Buffer
	b := &benchRun{options: o, out: io.MultiWriter(os.Stdout, &text)}
	fmt.Fprintf(b.out, "nutmegrouter benchmark\ncommit:  %s\nseed:    %d\ncommand: %s\ndate:    %s\nmachine: %d cores, %s, load generator and targets on the same machine\n",
		o.commit, o.seed, strings.Join(os.Args, " "), time.Now().UTC().Format(time.RFC3339), runtime.NumCPU(), runtime.Version())
	if o.short {
		fmt.Fprintln(b.out, "SHORT PHASES: a trial of the program, the figures mean nothing")
	}
	for _, p := range phases() {
		if !strings.Contains(strings.ToLower(p.title), strings.ToLower(o.only)) {
			continue
		}
		fmt.Fprintf(b.out, "\n== %s ==\nload average of the machine before: %s\n", p.title, loadAverage())
		if err := p.run(ctx, b); err != nil {
			fmt.Fprintf(b.out, "not measured: %v\n", err)
			b.dirty = true
		}
	}
	if err := b.save(text.Bytes()); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		return exitFleet
	}
	if b.dirty {
		return exitDirty
	}
	return exitOK
}

func (b *benchRun) save(text []byte) error {
	if b.options.out == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(b.options.out), 0o755); err != nil {
		return errors.Wrap(err, "save tables")
	}
	return errors.Wrap(os.WriteFile(b.options.out, text, 0o644), "save tables")
}

// picture saves a chart beside the tables.
func (b *benchRun) picture(name string, c *chart.Chart) error {
	if b.options.out == "" {
		return nil
	}
	var text bytes.Buffer
	c.Write(&text)
	path := strings.TrimSuffix(b.options.out, filepath.Ext(b.options.out)) + "-" + name + ".svg"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "save picture")
	}
	return errors.Wrap(os.WriteFile(path, text.Bytes(), 0o644), "save picture")
}

// loadAverage tells what else kept the machine busy; figures of a busy machine
// say little.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}

// length shortens a phase on trial.
func (b *benchRun) length(d time.Duration) time.Duration {
	if b.short {
		return d / 6
	}
	return d
}

// fleet starts a fleet for one phase.
func (b *benchRun) fleet(ctx context.Context, name string, o fleetrun.Options) (*fleetrun.Fleet, error) {
	o.Dir, o.Bin = filepath.Join(b.dir, "bench-"+name), b.bin
	return startFleet(ctx, o)
}

// line prints a figure with its bound and notes a broken bound.
func (b *benchRun) line(ok bool, format string, args ...any) {
	word := "ok      "
	if !ok {
		word, b.dirty = "EXCEEDED", true
	}
	fmt.Fprintf(b.out, "%s  "+format+"\n", append([]any{word}, args...)...)
}

// load runs a plan and reports it against the targets' records.
func load(ctx context.Context, f *fleetrun.Fleet, p *loadgen.Plan) (*loadgen.Run, *loadgen.Report, *loadgen.Evidence, error) {
	r := loadgen.New(p)
	r.Do(ctx)
	ev, err := loadgen.Collect(ctx, f.TargetAddresses("", ""))
	if err != nil {
		return nil, nil, nil, err
	}
	return r, r.Report(ev), ev, nil
}

// direct turns a plan into one that calls the targets without a router.
func direct(f *fleetrun.Fleet, p *loadgen.Plan, seed uint64, slots int) *loadgen.Plan {
	q := *p
	q.Seed, q.DirectSlots, q.Ready = seed, slots, nil
	q.Direct = map[string][]string{
		fleetrun.EnginePool:  f.TargetAddresses(fleetrun.EnginePool, ""),
		fleetrun.ServicePool: f.TargetAddresses(fleetrun.ServicePool, ""),
	}
	return &q
}

// shortCalls are repeatable plain calls of a fixed service time.
func shortCalls(ms int) []loadgen.Kind {
	return []loadgen.Kind{{Name: "plain", Share: 1, Class: "label", Pool: fleetrun.ServicePool, Least: ms, Most: ms, BodyBytes: 100}}
}

func idempotentServices(p *fleetconfig.Pool) { p.Idempotent = p.Kind == fleetconfig.KindService }

// warmUp sends enough calls that every target has its warm limit.
func warmUp(ctx context.Context, f *fleetrun.Fleet, p *loadgen.Plan, rate float64) {
	q := *p
	q.Seed, q.Rate, q.Duration = p.Seed+1000, rate, 4*time.Second
	loadgen.New(&q).Do(ctx)
}
