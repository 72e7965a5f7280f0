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

// benchRun is one run of the benchmark. Every phase starts its own fleet.
type benchRun struct {
	options
	tables   io.Writer      // standard output and a copy for options.out
	violated bool           // a bound was exceeded or a phase failed
	gaps     []chart.Series // service gap over time in per cent, with and without nutmegrouter
}

// phase measures figures for which section 1 of the design document sets bounds.
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

// bench runs the phases that match options.only, writes the tables and returns the exit
// code.
func bench(ctx context.Context, o options) int {
	var text bytes.Buffer
	b := &benchRun{options: o, tables: io.MultiWriter(os.Stdout, &text)}
	fmt.Fprintf(b.tables, "nutmegrouter benchmark\ncommit:  %s\nseed:    %d\ncommand: %s\ndate:    %s\nmachine: %d cores, %s, load generator and targets on the same machine\n",
		o.commit, o.seed, strings.Join(os.Args, " "), time.Now().UTC().Format(time.RFC3339), runtime.NumCPU(), runtime.Version())
	if o.short {
		fmt.Fprintln(b.tables, "SHORT PHASES: a test of the program, the figures are not meaningful")
	}
	for _, p := range phases() {
		if !strings.Contains(strings.ToLower(p.title), strings.ToLower(o.only)) {
			continue
		}
		fmt.Fprintf(b.tables, "\n== %s ==\nload average of the machine before: %s\n", p.title, loadAverage())
		if err := p.run(ctx, b); err != nil {
			fmt.Fprintf(b.tables, "not measured: %v\n", err)
			b.violated = true
		}
	}
	if err := b.save(text.Bytes()); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		return exitFleet
	}
	if b.violated {
		return exitViolation
	}
	return exitOK
}

// save writes the tables to options.out.
func (b *benchRun) save(text []byte) error {
	if b.options.out == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(b.options.out), 0o755); err != nil {
		return errors.Wrap(err, "save tables")
	}
	return errors.Wrap(os.WriteFile(b.options.out, text, 0o644), "save tables")
}

// saveChart writes a chart as SVG to the folder of the tables.
func (b *benchRun) saveChart(name string, c *chart.Chart) error {
	if b.options.out == "" {
		return nil
	}
	var text bytes.Buffer
	c.Write(&text)
	path := strings.TrimSuffix(b.options.out, filepath.Ext(b.options.out)) + "-" + name + ".svg"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "save chart")
	}
	return errors.Wrap(os.WriteFile(path, text.Bytes(), 0o644), "save chart")
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes. They are
// printed because other work on the machine makes the figures unreliable.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}

// phaseDuration returns d, or a sixth of it with options.short.
func (b *benchRun) phaseDuration(d time.Duration) time.Duration {
	if b.short {
		return d / 6
	}
	return d
}

// fleet starts a fleet for one phase; the caller must close it.
func (b *benchRun) fleet(ctx context.Context, name string, o fleetrun.Options) (*fleetrun.Fleet, error) {
	o.Dir, o.Bin = filepath.Join(b.dir, "bench-"+name), b.bin
	return startFleet(ctx, o)
}

// report prints a figure and whether it meets its bound (ok).
func (b *benchRun) report(ok bool, format string, args ...any) {
	verdict := "ok      "
	if !ok {
		verdict, b.violated = "EXCEEDED", true
	}
	fmt.Fprintf(b.tables, "%s  "+format+"\n", append([]any{verdict}, args...)...)
}

// runLoad executes a plan and checks its results against what the targets recorded.
func runLoad(ctx context.Context, f *fleetrun.Fleet, p *loadgen.Plan) (*loadgen.Run, *loadgen.Report, *loadgen.Evidence, error) {
	r := loadgen.New(p)
	r.Do(ctx)
	ev, err := loadgen.Collect(ctx, f.TargetAddresses("", ""))
	if err != nil {
		return nil, nil, nil, err
	}
	return r, r.Report(ev), ev, nil
}

// directPlan returns a copy of a plan that calls the targets without nutmegrouter. slots
// bounds the requests under way at each target; 0 means no bound.
func directPlan(f *fleetrun.Fleet, p *loadgen.Plan, seed uint64, slots int) *loadgen.Plan {
	q := *p
	q.Seed, q.DirectSlots, q.Ready = seed, slots, nil
	q.Direct = map[string][]string{
		fleetrun.EnginePool:  f.TargetAddresses(fleetrun.EnginePool, ""),
		fleetrun.ServicePool: f.TargetAddresses(fleetrun.ServicePool, ""),
	}
	return &q
}

// shortCalls returns idempotent plain calls with a fixed service time in ms.
func shortCalls(ms int) []loadgen.Kind {
	return []loadgen.Kind{{Name: "plain", Share: 1, Class: "label", Pool: fleetrun.ServicePool, MinSize: ms, MaxSize: ms, BodyBytes: 100}}
}

// idempotentServices marks the pools of plain services as idempotent.
func idempotentServices(p *fleetconfig.Pool) { p.Idempotent = p.Kind == fleetconfig.KindService }

// warmUp sends calls for 4 s, so that every target reaches its warm capacity.
func warmUp(ctx context.Context, f *fleetrun.Fleet, p *loadgen.Plan, rate float64) {
	q := *p
	q.Seed, q.Rate, q.Duration = p.Seed+1000, rate, 4*time.Second
	loadgen.New(&q).Do(ctx)
}
