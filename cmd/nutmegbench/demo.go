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

// Parameters of the demonstration. Times count from the start of the load.
const (
	demoLoadTime     = 30 * time.Second
	demoOutAt        = 8 * time.Second
	demoBackAt       = 18 * time.Second
	demoRate         = 250 // requests per second
	demoDataCentre   = "dc-b"
	demoTimeout      = 58 * time.Second // of the whole demonstration, including the start of the fleet
	startTimeout     = 20 * time.Second
	maxOutDelay      = 3 * time.Second // R4: time from acceptance after which a data centre that is out gets no new work
	progressInterval = 2 * time.Second
	workspaceSkew    = 0.8 // exponent for loadgen.Skewed
	entrySkew        = 0.5 // exponent for loadgen.Skewed
	demoWorkspaces   = 16
	demoInstances    = 7
)

// dataCentreMove records when a data centre was taken out of service and brought back.
type dataCentreMove struct {
	outAccepted, backRequested time.Time
	err                        error
}

// demo runs a fleet under mixed load, takes a data centre out of service and back, and
// returns the exit code.
func demo(ctx context.Context, o options) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	f, err := startFleet(ctx, fleetrun.Options{Dir: filepath.Join(o.dir, "demo"), Bin: o.bin, Instances: demoInstances, Workspaces: demoWorkspaces})
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFleet
	}
	defer f.Close()
	r := loadgen.New(newPlan(f, o.seed, demoRate, demoLoadTime))
	m := make(chan dataCentreMove, 1)
	go func() { m <- moveDataCentre(ctx, f, r, demoDataCentre, demoOutAt, demoBackAt) }()
	stop := showProgress(r)
	r.Do(ctx)
	stop()
	return evaluate(ctx, f, r, <-m)
}

// startFleet deletes the fleet's folder, starts the fleet and waits until it is ready.
func startFleet(ctx context.Context, opt fleetrun.Options) (*fleetrun.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := os.RemoveAll(opt.Dir); err != nil {
		return nil, errors.Wrap(err, "delete folder")
	}
	begin := time.Now()
	f, err := fleetrun.New(opt)
	if err != nil {
		return nil, err
	}
	if err := f.StartAll(ctx); err != nil {
		f.Close()
		return nil, errors.WithMessagef(err, "logs are in %s", filepath.Join(opt.Dir, "logs"))
	}
	fmt.Printf("%d instances in %d data centres, %d targets, %d workspaces: ready in %.1f s\n",
		len(f.InstanceList), len(f.DataCentres), len(f.Config.Targets), len(f.Workspaces), time.Since(begin).Seconds())
	return f, nil
}

// newPlan returns a plan with the standard mix of requests. rate is in requests per
// second. A few workspaces send most of the requests, and a few entry instances receive
// most of them.
func newPlan(f *fleetrun.Fleet, seed uint64, rate float64, length time.Duration) *loadgen.Plan {
	p := &loadgen.Plan{Seed: seed, Rate: rate, Duration: length,
		Kinds: loadgen.StandardKinds(fleetrun.EnginePool, fleetrun.Model, fleetrun.ServicePool)}
	p.Entries, p.Ready = f.Entries()
	p.EntryShares = loadgen.Skewed(len(p.Entries), entrySkew)
	shares := loadgen.Skewed(len(f.Workspaces), workspaceSkew)
	for i, w := range f.Workspaces {
		p.Workspaces = append(p.Workspaces, loadgen.Workspace{Name: w.Name, Key: w.Key, Weight: w.Weight, Share: shares[i]})
	}
	return p
}

// moveDataCentre takes a data centre out of service and brings it back, each at the given
// time after the call.
func moveDataCentre(ctx context.Context, f *fleetrun.Fleet, r *loadgen.Run, dc string, out, back time.Duration) (m dataCentreMove) {
	begin := time.Now()
	if m.err = sleepUntil(ctx, begin.Add(out)); m.err != nil {
		return m
	}
	if m.err = setDataCentre(ctx, f, "out", dc); m.err != nil {
		return m
	}
	m.outAccepted = time.Now()
	if m.err = sleepUntil(ctx, begin.Add(back)); m.err != nil {
		return m
	}
	m.backRequested = time.Now()
	m.err = setDataCentre(ctx, f, "back", dc)
	return m
}

// setDataCentre runs the nutmegctl command "out" or "back" for a data centre.
func setDataCentre(ctx context.Context, f *fleetrun.Fleet, command, dc string) error {
	begin := time.Now()
	// -no-wait returns at the acceptance of the change, from which the bound of R4 counts.
	if _, err := f.Ctl(ctx, "-no-wait", command, dc); err != nil {
		return err
	}
	fmt.Printf("       nutmegctl %s %s: accepted in %d ms\n", command, dc, time.Since(begin).Milliseconds())
	return nil
}

// sleepUntil waits for a time, or returns the error of a cancelled context.
func sleepUntil(ctx context.Context, until time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(until)):
		return nil
	}
}

// showProgress prints a line every progressInterval until the returned function is
// called.
func showProgress(r *loadgen.Run) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				p := r.Progress()
				fmt.Printf("%5.0f s  sent %6d  whole %6d  refused %4d  unknown %d  lost %d  under way %d\n", p.Elapsed.Seconds(),
					p.Sent, p.ByVerdict[loadgen.Whole], p.ByVerdict[loadgen.Refused], p.ByVerdict[loadgen.Unknown], p.ByVerdict[loadgen.Broken]+p.ByVerdict[loadgen.Lost]+p.ByVerdict[loadgen.Wrong], p.Sent-p.Ended)
			}
		}
	}()
	return func() { close(done); <-ended }
}

// evaluate prints the tables and returns the exit code.
func evaluate(ctx context.Context, f *fleetrun.Fleet, r *loadgen.Run, m dataCentreMove) int {
	ev, err := loadgen.Collect(context.WithoutCancel(ctx), f.TargetAddresses("", ""))
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFleet
	}
	rep := r.Report(ev)
	fmt.Println()
	rep.Write(os.Stdout)
	startsOut := startsWhileOut(f, ev, demoDataCentre, m)
	fmt.Printf("\nbreaches of targets' capacity: %d\nnew work in %s more than %v after it was out: %d\n", ev.Breaches(), demoDataCentre, maxOutDelay, startsOut)
	if m.err != nil {
		fmt.Fprintln(os.Stderr, "demo: move:", m.err)
		return exitFleet
	}
	// Three data centres have capacity for the load, so a refusal is a fault.
	if !rep.Clean() || rep.Total.Refused+rep.Total.Skipped > 0 || ev.Breaches() > 0 || startsOut > 0 {
		fmt.Println("result: NOT CLEAN: something was lost, doubled or refused, or a bound was exceeded")
		return exitViolation
	}
	fmt.Println("result: nothing lost, nothing doubled")
	return exitOK
}

// startsWhileOut counts the starts of work in a data centre from maxOutDelay after the
// acceptance of its removal to the request to bring it back.
func startsWhileOut(f *fleetrun.Fleet, ev *loadgen.Evidence, dc string, m dataCentreMove) (n int) {
	if m.outAccepted.IsZero() || m.backRequested.IsZero() {
		return 0
	}
	for _, addr := range f.TargetAddresses("", dc) {
		n += ev.StartsAfter(addr, m.outAccepted.Add(maxOutDelay)) - ev.StartsAfter(addr, m.backRequested)
	}
	return n
}
