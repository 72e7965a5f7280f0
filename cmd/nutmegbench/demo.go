package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
)

// Times of the demonstration, counted from the start of the load.
const (
	demoLoad    = 30 * time.Second
	demoOutAt   = 8 * time.Second
	demoBackAt  = 18 * time.Second
	demoRate    = 250 // requests per second
	demoDC      = "dc-b"
	demoLimit   = 58 * time.Second // of the whole demonstration
	startLimit  = 20 * time.Second
	outBound    = 3 * time.Second // R4: no new work later than this after acceptance
	showEvery   = 2 * time.Second
	spaceSkew   = 0.8
	entrySkew   = 0.5
	demoSpaces  = 16
	demoRouters = 7
)

// move records when a data centre left and came back.
type move struct {
	outAccepted, backAsked time.Time
	err                    error
}

// demo runs a fleet under mixed load and takes a data centre out and back.
func demo(ctx context.Context, o options) int {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	f, err := startFleet(ctx, fleetrun.Options{Dir: filepath.Join(o.dir, "demo"), Bin: o.bin, Instances: demoRouters, Workspaces: demoSpaces})
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFleet
	}
	defer f.Close()
	r := loadgen.New(plan(f, o.seed, demoRate, demoLoad))
	m := make(chan move, 1)
	go func() { m <- moveDC(ctx, f, r, demoDC, demoOutAt, demoBackAt) }()
	stop := showProgress(r)
	r.Do(ctx)
	stop()
	return judge(ctx, f, r, <-m)
}

// startFleet clears the folder and brings a fleet up.
func startFleet(ctx context.Context, opt fleetrun.Options) (*fleetrun.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := os.RemoveAll(opt.Dir); err != nil {
		return nil, errors.Wrap(err, "clear folder")
	}
	begin := time.Now()
	f, err := fleetrun.New(opt)
	if err != nil {
		return nil, err
	}
	if err := f.Up(ctx); err != nil {
		f.Close()
		return nil, errors.WithMessagef(err, "logs are in %s", filepath.Join(opt.Dir, "logs"))
	}
	fmt.Printf("%d instances in %d data centres, %d targets, %d workspaces: ready in %.1f s\n",
		len(f.Routers), len(f.DataCentres), len(f.Config.Targets), len(f.Workspaces), time.Since(begin).Seconds())
	return f, nil
}

// plan is the standard mix for a fleet.
func plan(f *fleetrun.Fleet, seed uint64, rate float64, length time.Duration) *loadgen.Plan {
	p := &loadgen.Plan{Seed: seed, Rate: rate, Duration: length,
		Kinds: loadgen.StandardKinds(fleetrun.EnginePool, fleetrun.Model, fleetrun.ServicePool)}
	p.Entries, p.Ready = f.Entries()
	p.EntryShares = loadgen.Skewed(len(p.Entries), entrySkew)
	shares := loadgen.Skewed(len(f.Workspaces), spaceSkew)
	for i, w := range f.Workspaces {
		p.Workspaces = append(p.Workspaces, loadgen.Workspace{Name: w.Name, Key: w.Key, Weight: w.Weight, Share: shares[i]})
	}
	return p
}

// moveDC takes a data centre out and back at times after the start of the load.
func moveDC(ctx context.Context, f *fleetrun.Fleet, r *loadgen.Run, dc string, out, back time.Duration) (m move) {
	begin := time.Now()
	if m.err = pause(ctx, begin.Add(out)); m.err != nil {
		return m
	}
	if m.err = order(ctx, f, "out", dc); m.err != nil {
		return m
	}
	m.outAccepted = time.Now()
	if m.err = pause(ctx, begin.Add(back)); m.err != nil {
		return m
	}
	m.backAsked = time.Now()
	m.err = order(ctx, f, "back", dc)
	return m
}

func order(ctx context.Context, f *fleetrun.Fleet, what, dc string) error {
	begin := time.Now()
	// -no-wait: the bound of R4 counts from acceptance.
	if _, err := f.Ctl(ctx, "-no-wait", what, dc); err != nil {
		return err
	}
	fmt.Printf("       nutmegctl %s %s: accepted in %d ms\n", what, dc, time.Since(begin).Milliseconds())
	return nil
}

func pause(ctx context.Context, until time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(until)):
		return nil
	}
}

// showProgress prints a line every few seconds until the returned function is
// called.
func showProgress(r *loadgen.Run) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(showEvery)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				p := r.Progress()
				fmt.Printf("%5.0f s  sent %6d  whole %6d  refused %4d  unknown %d  lost %d  under way %d\n", p.Elapsed.Seconds(),
					p.Sent, p.By[loadgen.Whole], p.By[loadgen.Refused], p.By[loadgen.Unknown], p.By[loadgen.Broken]+p.By[loadgen.Lost]+p.By[loadgen.Wrong], p.Sent-p.Ended)
			}
		}
	}()
	return func() { close(done); <-ended }
}

// judge prints the tables and decides on the exit code.
func judge(ctx context.Context, f *fleetrun.Fleet, r *loadgen.Run, m move) int {
	ev, err := loadgen.Collect(context.WithoutCancel(ctx), f.TargetAddresses("", ""))
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFleet
	}
	rep := r.Report(ev)
	fmt.Println()
	rep.Write(os.Stdout)
	late := lateStarts(f, ev, demoDC, m)
	fmt.Printf("\nbreaches of targets' capacity: %d\nnew work in %s more than %v after it was out: %d\n", ev.Breaches(), demoDC, outBound, late)
	if m.err != nil {
		fmt.Fprintln(os.Stderr, "demo: move:", m.err)
		return exitFleet
	}
	// The load fits into three data centres, so a refusal is an outage.
	if !rep.Clean() || rep.Total.Refused+rep.Total.Skipped > 0 || ev.Breaches() > 0 || late > 0 {
		fmt.Println("result: NOT CLEAN: something was lost, doubled or refused, or a bound was broken")
		return exitDirty
	}
	fmt.Println("result: nothing lost, nothing doubled")
	return exitOK
}

// lateStarts counts new work in a data centre that was out.
func lateStarts(f *fleetrun.Fleet, ev *loadgen.Evidence, dc string, m move) (n int) {
	if m.outAccepted.IsZero() || m.backAsked.IsZero() {
		return 0
	}
	for _, addr := range f.TargetAddresses("", dc) {
		n += ev.StartsAfter(addr, m.outAccepted.Add(outBound)) - ev.StartsAfter(addr, m.backAsked)
	}
	return n
}
