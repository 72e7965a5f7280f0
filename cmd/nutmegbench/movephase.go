package main

import (
	"context"
	"fmt"
	"time"

	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
)

// moveService shows the responses per second of the workspaces while a data
// centre leaves and returns.
func moveService(ctx context.Context, b *benchRun) error {
	f, err := b.fleet(ctx, "move", fleetrun.Options{})
	if err != nil {
		return err
	}
	defer f.Close()
	const outAt, backAt = 12 * time.Second, 26 * time.Second
	p := plan(f, b.seed, 300, 40*time.Second)
	r := loadgen.New(p)
	m := make(chan move, 1)
	go func() { m <- moveDC(ctx, f, r, demoDC, outAt, backAt) }()
	r.Do(ctx)
	ev, err := loadgen.Collect(ctx, f.TargetAddresses("", ""))
	if err != nil {
		return err
	}
	moved := <-m
	if moved.err != nil {
		return moved.err
	}
	rep := r.Report(ev)
	b.moveTable(r, outAt, backAt)
	late := lateStarts(f, ev, demoDC, moved)
	b.line(rep.Clean(), "lost %d, unknown %d, doubled %d, wrong %d; refused %d", rep.Total.Lost, rep.Total.Unknown, rep.Total.Doubled, rep.Total.Wrong, rep.Total.Refused)
	b.line(late == 0, "new work in %s more than %v after acceptance: %d (bound 0)", demoDC, outBound, late)
	b.line(ev.Breaches() == 0, "breaches of targets' capacity: %d (bound 0)", ev.Breaches())
	return nil
}

// moveTable prints responses per second: all, and the workspaces that send the
// most and the least. The largest drop of a workspace is its mean while the data
// centre is out against its mean before.
func (b *benchRun) moveTable(r *loadgen.Run, outAt, backAt time.Duration) {
	step := 2 * time.Second
	s := r.Responses(step)
	first, last := 0, len(r.Plan.Workspaces)-1
	fmt.Fprintf(b.out, "responses per second (out at %v, back at %v)\n  s    all  %s  %s\n", outAt, backAt, r.Plan.Workspaces[first].Name, r.Plan.Workspaces[last].Name)
	c := moveChart(r, step, outAt, backAt)
	for i, v := range s.Values {
		sum := 0.0
		for _, x := range v {
			sum += x
		}
		fmt.Fprintf(b.out, "%3d %6.1f %6.1f %6.1f\n", (i+1)*int(step/time.Second), sum/step.Seconds(), v[first]/step.Seconds(), v[last]/step.Seconds())
		c.add(sum/step.Seconds(), v[first]/step.Seconds(), v[last]/step.Seconds())
	}
	if err := b.picture("move", &c.Chart); err != nil {
		fmt.Fprintln(b.out, err)
	}
	sent := func(w int, from, to time.Duration) (whole, offered float64) {
		for i := range r.Records {
			rec := &r.Records[i]
			if rec.Job.Workspace != w {
				continue
			}
			if rec.Job.At >= from && rec.Job.At < to {
				offered++
			}
			if rec.Verdict == loadgen.Whole && rec.Ended >= from && rec.Ended < to {
				whole++
			}
		}
		return whole, offered
	}
	worst, name := 1.0, ""
	for w := range r.Plan.Workspaces {
		whole, offered := sent(w, outAt, backAt)
		if offered > 0 && whole/offered < worst {
			worst, name = whole/offered, r.Plan.Workspaces[w].Name
		}
	}
	// A quarter of the capacity leaves; what is offered in the span arrives at random.
	b.line(worst >= 0.75, "least part of the offered requests answered while out: %.1f%% %s (bound 75%%: the capacity that stayed)", 100*worst, name)
}
