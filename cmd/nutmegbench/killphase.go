package main

import (
	"context"
	"time"

	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
	"nutmegrouter/internal/standin"
)

// Time of the kill and the windows after it over which utilisation is measured. A
// takeover by a new owner may take 3 s, in which the targets may be idle. The required
// utilisation of 90% is then reachable only over a window of 30 s.
const (
	killDelay       = 10 * time.Second
	otherKillWindow = 12 * time.Second
	ownerKillWindow = 30 * time.Second
)

// killResult is what the targets recorded from a kill to the end of its window.
type killResult struct {
	killedAt      time.Time
	before, after *loadgen.Evidence
	err           error
}

// ownerKilled kills the owner of the engines' pool and measures the takeover and the
// utilisation.
func ownerKilled(ctx context.Context, b *benchRun) error {
	return b.measureKill(ctx, "owner", ownerKillWindow, func(f *fleetrun.Fleet, owner string) string { return owner })
}

// otherKilled kills an instance that does not own the engines' pool.
func otherKilled(ctx context.Context, b *benchRun) error {
	return b.measureKill(ctx, "router", otherKillWindow, func(f *fleetrun.Fleet, owner string) string {
		for i := len(f.InstanceList) - 1; i >= 0; i-- {
			if f.InstanceList[i].Instance != owner {
				return f.InstanceList[i].Instance
			}
		}
		return owner
	})
}

// measureKill overloads the engines, kills the instance that choose returns for the
// owner, and reports the interruption and the utilisation over window.
func (b *benchRun) measureKill(ctx context.Context, name string, window time.Duration, choose func(*fleetrun.Fleet, string) string) error {
	f, err := b.fleet(ctx, name, fleetrun.Options{Engines: 6, Pool: shortQueues})
	if err != nil {
		return err
	}
	defer f.Close()
	p := overloadPlan(f, b.seed, killDelay+window+2*time.Second)
	p.Attempts = 8
	addresses := f.TargetAddresses(fleetrun.EnginePool, "")
	done := make(chan killResult, 1)
	go func() { done <- killDuringLoad(ctx, f, addresses, window, choose) }()
	_, rep, ev, err := runLoad(ctx, f, p)
	if err != nil {
		return err
	}
	k := <-done
	if k.err != nil {
		return k.err
	}
	longest, starts := k.after.LongestStartGap(addresses, k.killedAt, k.killedAt.Add(window))
	b.report(starts > 0 && longest <= boundTakeover, "longest time without new work after the kill: %v (bound %v)", longest, boundTakeover)
	u := k.after.Utilisation(standin.KindEngine, k.before)
	b.report(u >= boundUtilisationAtKill, "utilisation of engine slots over %v from the kill: %.1f%% (bound %.0f%%)", window, 100*u, 100*boundUtilisationAtKill)
	b.report(ev.Breaches() == 0, "breaches of targets' capacity: %d (bound 0)", ev.Breaches())
	b.report(rep.Clean(), "lost %d, unknown %d, broken %d, doubled %d, refused at last %d, with up to %d attempts of the callers",
		rep.Total.Lost, rep.Total.Unknown, rep.Total.Broken, rep.Total.Doubled, rep.Total.Refused, p.Attempts)
	return nil
}

// killDuringLoad kills an instance killDelay after the call and collects the targets'
// records at the kill and at the end of the window.
func killDuringLoad(ctx context.Context, f *fleetrun.Fleet, addresses []string, window time.Duration, choose func(*fleetrun.Fleet, string) string) (k killResult) {
	if k.err = sleepUntil(ctx, time.Now().Add(killDelay)); k.err != nil {
		return k
	}
	owner, err := f.Owner(ctx, fleetrun.EnginePool)
	if k.err = err; err != nil {
		return k
	}
	if k.before, k.err = loadgen.Collect(ctx, addresses); k.err != nil {
		return k
	}
	k.killedAt = time.Now()
	if k.err = f.Kill(choose(f, owner)); k.err != nil {
		return k
	}
	if k.err = sleepUntil(ctx, k.killedAt.Add(window)); k.err != nil {
		return k
	}
	k.after, k.err = loadgen.Collect(ctx, addresses)
	return k
}
