package main

import (
	"context"
	"time"

	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
	"nutmegrouter/internal/standin"
)

// Spans after a kill. The page allows a takeover of 3 s and asks for 90%
// utilisation while a router is killed; both together mean a span of 30 s.
const (
	killAt        = 10 * time.Second
	killSpan      = 12 * time.Second
	killSpanOwner = 30 * time.Second
)

// killed is what the targets recorded around a kill.
type killed struct {
	at       time.Time
	from, to *loadgen.Evidence
	err      error
}

// ownerKilled measures the takeover and the utilisation around it.
func ownerKilled(ctx context.Context, b *benchRun) error {
	return b.kill(ctx, "owner", killSpanOwner, func(f *fleetrun.Fleet, owner string) string { return owner })
}

// otherKilled kills a router that owns nothing in the engines' pool.
func otherKilled(ctx context.Context, b *benchRun) error {
	return b.kill(ctx, "router", killSpan, func(f *fleetrun.Fleet, owner string) string {
		for i := len(f.Routers) - 1; i >= 0; i-- {
			if f.Routers[i].Instance != owner {
				return f.Routers[i].Instance
			}
		}
		return owner
	})
}

func (b *benchRun) kill(ctx context.Context, name string, span time.Duration, choose func(*fleetrun.Fleet, string) string) error {
	f, err := b.fleet(ctx, name, fleetrun.Options{Engines: 6, Pool: shortQueues})
	if err != nil {
		return err
	}
	defer f.Close()
	p := overload(f, b.seed, killAt+span+2*time.Second)
	p.Attempts = 8
	addresses := f.TargetAddresses(fleetrun.EnginePool, "")
	done := make(chan killed, 1)
	go func() { done <- killDuring(ctx, f, addresses, span, choose) }()
	_, rep, ev, err := load(ctx, f, p)
	if err != nil {
		return err
	}
	k := <-done
	if k.err != nil {
		return k.err
	}
	gap, n := k.to.LongestPause(addresses, k.at, k.at.Add(span))
	b.line(n > 0 && gap <= boundTakeover, "longest time without new work after the kill: %v (bound %v)", gap, boundTakeover)
	u := k.to.Utilisation(standin.KindEngine, k.from)
	b.line(u >= boundUtilKilled, "utilisation of engine slots over %v from the kill: %.1f%% (bound %.0f%%)", span, 100*u, 100*boundUtilKilled)
	b.line(ev.Breaches() == 0, "breaches of targets' capacity: %d (bound 0)", ev.Breaches())
	b.line(rep.Clean(), "lost %d, unknown %d, broken %d, doubled %d, refused at last %d, with up to %d attempts of the callers",
		rep.Total.Lost, rep.Total.Unknown, rep.Total.Broken, rep.Total.Doubled, rep.Total.Refused, p.Attempts)
	return nil
}

func killDuring(ctx context.Context, f *fleetrun.Fleet, addresses []string, span time.Duration, choose func(*fleetrun.Fleet, string) string) (k killed) {
	if k.err = pause(ctx, time.Now().Add(killAt)); k.err != nil {
		return k
	}
	owner, err := f.Owner(ctx, fleetrun.EnginePool)
	if k.err = err; err != nil {
		return k
	}
	if k.from, k.err = loadgen.Collect(ctx, addresses); k.err != nil {
		return k
	}
	k.at = time.Now()
	if k.err = f.Kill(choose(f, owner)); k.err != nil {
		return k
	}
	if k.err = pause(ctx, k.at.Add(span)); k.err != nil {
		return k
	}
	k.to, k.err = loadgen.Collect(ctx, addresses)
	return k
}
