package main

import (
	"context"
	"fmt"
	"time"

	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
)

// moveService measures the responses per second of the workspaces while a data centre is
// taken out of service and brought back.
func moveService(ctx context.Context, b *benchRun) error {
	f, err := b.fleet(ctx, "move", fleetrun.Options{})
	if err != nil {
		return err
	}
	defer f.Close()
	const outAt, backAt = 12 * time.Second, 26 * time.Second
	p := newPlan(f, b.seed, 300, 40*time.Second)
	r := loadgen.New(p)
	m := make(chan dataCentreMove, 1)
	go func() { m <- moveDataCentre(ctx, f, r, demoDataCentre, outAt, backAt) }()
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
	startsOut := startsWhileOut(f, ev, demoDataCentre, moved)
	b.report(rep.Clean(), "lost %d, unknown %d, doubled %d, wrong %d; refused %d", rep.Total.Lost, rep.Total.Unknown, rep.Total.Doubled, rep.Total.Wrong, rep.Total.Refused)
	b.report(startsOut == 0, "new work in %s more than %v after acceptance: %d (bound 0)", demoDataCentre, maxOutDelay, startsOut)
	b.report(ev.Breaches() == 0, "breaches of targets' capacity: %d (bound 0)", ev.Breaches())
	return nil
}

// moveTable prints the responses per second of all workspaces, and of the first and the
// last one, which send the most and the fewest requests. It reports the workspace with
// the lowest ratio of whole responses to offered requests while the data centre is out.
func (b *benchRun) moveTable(r *loadgen.Run, outAt, backAt time.Duration) {
	step := 2 * time.Second
	s := r.Responses(step)
	first, last := 0, len(r.Plan.Workspaces)-1
	fmt.Fprintf(b.tables, "responses per second (out at %v, back at %v)\n  s    all  %s  %s\n", outAt, backAt, r.Plan.Workspaces[first].Name, r.Plan.Workspaces[last].Name)
	c := newResponseChart(r, step, outAt, backAt)
	for i, v := range s.Values {
		sum := 0.0
		for _, x := range v {
			sum += x
		}
		fmt.Fprintf(b.tables, "%3d %6.1f %6.1f %6.1f\n", (i+1)*int(step/time.Second), sum/step.Seconds(), v[first]/step.Seconds(), v[last]/step.Seconds())
		c.add(sum/step.Seconds(), v[first]/step.Seconds(), v[last]/step.Seconds())
	}
	if err := b.saveChart("move", &c.Chart); err != nil {
		fmt.Fprintln(b.tables, err)
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
			if rec.Verdict == loadgen.Whole && rec.EndedAfter >= from && rec.EndedAfter < to {
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
	// A quarter of the capacity is out of service. The offered requests arrive at random.
	b.report(worst >= 0.75, "lowest part of the offered requests answered while out: %.1f%% %s (bound 75%%: the remaining capacity)", 100*worst, name)
}
