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

// slopes measures what an instance uses against the number of instances and
// against the rate of requests. docs/CAPACITY.md extrapolates from it.
func slopes(ctx context.Context, b *benchRun) error {
	fmt.Fprintln(b.out, "idle, per instance (median):")
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
	fmt.Fprintln(b.out, "short plain calls through 7 instances, no keys:")
	for _, rate := range []float64{0, 140, 700, 2100, 4200} {
		if err := b.requestSlope(ctx, f, rate); err != nil {
			return err
		}
	}
	return nil
}

func (b *benchRun) idleSlope(ctx context.Context, n int) error {
	f, err := b.fleet(ctx, fmt.Sprintf("idle-%d", n), fleetrun.Options{Instances: n})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pause(ctx, time.Now().Add(5*time.Second)); err != nil {
		return err
	}
	used, err := b.used(ctx, f, func() { _ = pause(ctx, time.Now().Add(b.length(10*time.Second))) })
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "%3d instances: %.2f%% of a core, %.2f KB/s sent, heap %.1f MB, resident %.1f MB\n",
		n, 100*used.median("cpu"), used.median("sent")/1000, used.median("heap")/1e6, used.median("memory")/1e6)
	return nil
}

func (b *benchRun) requestSlope(ctx context.Context, f *fleetrun.Fleet, rate float64) error {
	owner, err := f.Owner(ctx, fleetrun.ServicePool)
	if err != nil {
		return err
	}
	length := b.length(8 * time.Second)
	used, err := b.used(ctx, f, func() {
		if rate == 0 {
			_ = pause(ctx, time.Now().Add(length))
			return
		}
		p := plan(f, b.seed, rate, length)
		p.Kinds, p.EntryShares = shortCalls(2), nil
		loadgen.New(p).Do(ctx)
	})
	if err != nil {
		return err
	}
	o := used[owner]
	fmt.Fprintf(b.out, "%5.0f requests/s: median %.2f%% of a core, %.2f KB/s sent; owner %.2f%%, %.2f KB/s, heap %.1f MB\n",
		rate, 100*used.median("cpu"), used.median("sent")/1000, 100*o["cpu"], o["sent"]/1000, o["heap"]/1e6)
	return nil
}

// figures are the rates and sizes of one instance by name.
type figures map[string]float64

type usage map[string]figures

// used measures the routers during f.
func (b *benchRun) used(ctx context.Context, f *fleetrun.Fleet, during func()) (usage, error) {
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
	out := usage{}
	for name, a := range after {
		out[name] = figures{
			"cpu": (a.CPU - before[name].CPU) / seconds, "sent": (a.Sent - before[name].Sent) / seconds,
			"heap": a.Heap, "memory": a.Memory,
		}
	}
	return out, nil
}

func (u usage) median(figure string) float64 {
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
