package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
	"nutmegrouter/internal/standin"
)

// slopes measures the resource usage of an instance as a function of the number of
// instances and of the request rate. docs/CAPACITY.md extrapolates from the figures.
func slopes(ctx context.Context, b *benchRun) error {
	fmt.Fprintln(b.tables, "idle, per instance (median):")
	for _, n := range []int{3, 7, 14, 28} {
		if err := b.idleSlope(ctx, n); err != nil {
			return err
		}
	}
	f, err := b.fleet(ctx, "slopes", fleetrun.Options{Engines: 4, Services: 8, Pool: idempotentServices,
		Service: standin.Spec{WarmCapacity: 64, ColdCapacity: 16}})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintln(b.tables, "short plain calls through 7 instances, no keys:")
	for _, rate := range []float64{0, 140, 700, 2100, 4200} {
		if err := b.requestSlope(ctx, f, rate); err != nil {
			return err
		}
	}
	return nil
}

// idleSlope measures the usage in an idle fleet of n instances.
func (b *benchRun) idleSlope(ctx context.Context, n int) error {
	f, err := b.fleet(ctx, fmt.Sprintf("idle-%d", n), fleetrun.Options{Instances: n})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := sleepUntil(ctx, time.Now().Add(5*time.Second)); err != nil {
		return err
	}
	used, err := b.measureUsage(ctx, f, func() { _ = sleepUntil(ctx, time.Now().Add(b.phaseDuration(10*time.Second))) })
	if err != nil {
		return err
	}
	fmt.Fprintf(b.tables, "%3d instances: %.2f%% of a core, %.2f KB/s sent, heap %.1f MB, resident %.1f MB\n",
		n, 100*used.median("cpu"), used.median("sent")/1000, used.median("heap")/1e6, used.median("memory")/1e6)
	return nil
}

// requestSlope measures the usage at a rate in requests per second.
func (b *benchRun) requestSlope(ctx context.Context, f *fleetrun.Fleet, rate float64) error {
	owner, err := f.Owner(ctx, fleetrun.ServicePool)
	if err != nil {
		return err
	}
	length := b.phaseDuration(8 * time.Second)
	used, err := b.measureUsage(ctx, f, func() {
		if rate == 0 {
			_ = sleepUntil(ctx, time.Now().Add(length))
			return
		}
		p := newPlan(f, b.seed, rate, length)
		p.Kinds, p.EntryShares = shortCalls(2), nil
		loadgen.New(p).Do(ctx)
	})
	if err != nil {
		return err
	}
	o := used[owner]
	fmt.Fprintf(b.tables, "%5.0f requests/s: median %.2f%% of a core, %.2f KB/s sent; owner %.2f%%, %.2f KB/s, heap %.1f MB\n",
		rate, 100*used.median("cpu"), used.median("sent")/1000, 100*o["cpu"], o["sent"]/1000, o["heap"]/1e6)
	return nil
}

// instanceUsage holds the resource usage of one instance: "cpu" in cores, "sent" in bytes per
// second, "heap" and "memory" (resident) in bytes.
type instanceUsage map[string]float64

// fleetUsage holds the usage of each instance by name.
type fleetUsage map[string]instanceUsage

// measureUsage calls during and returns the usage of the instances over that time.
func (b *benchRun) measureUsage(ctx context.Context, f *fleetrun.Fleet, during func()) (fleetUsage, error) {
	before, err := f.Usages(ctx)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	during()
	seconds := time.Since(begin).Seconds()
	after, err := f.Usages(ctx)
	if err != nil {
		return nil, err
	}
	out := fleetUsage{}
	for name, a := range after {
		out[name] = instanceUsage{
			"cpu": (a.CPU - before[name].CPU) / seconds, "sent": (a.Sent - before[name].Sent) / seconds,
			"heap": a.Heap, "memory": a.Memory,
		}
	}
	return out, nil
}

// median returns the upper median of a figure over all instances; 0 without instances.
func (u fleetUsage) median(figure string) float64 {
	var all []float64
	for _, f := range u {
		all = append(all, f[figure])
	}
	slices.Sort(all)
	if len(all) == 0 {
		return 0
	}
	return all[len(all)/2]
}
