package lease

import (
	"context"
	"encoding/json"
	"time"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/lease"
)

const (
	beatMethod = "beat"
	// callLimit ends a beat's call when its reply can no longer be of use.
	callLimit = 1500 * time.Millisecond
	// tickInterval is the resolution of the stagger between candidates.
	tickInterval = 50 * time.Millisecond
	// handoverPoll is the interval at which Resign looks for the successor.
	handoverPoll = 10 * time.Millisecond
)

// update runs an input on the node and publishes what changed.
func (k *Keeper) update(f func(n *lease.Node, now time.Duration)) {
	k.mu.Lock()
	now := k.clock.Now()
	f(k.node, now)
	urgent := k.node.Tick(now)
	behind := len(k.node.Ahead()) > 0
	k.until.Store(int64(k.node.Until()))
	listeners := k.changes(now)
	k.mu.Unlock()
	if urgent {
		kernel.Signal(k.kick)
	}
	if behind {
		kernel.Signal(k.fetch)
	}
	for _, l := range listeners {
		l()
	}
}

// changes records state changes and returns the listeners to call, if any. The
// lock must be held.
func (k *Keeper) changes(now time.Duration) []func() {
	changed := false
	if w := k.node.Witness(now); w != k.witness {
		k.witness = w
		k.events.Record(kernel.Event{Kind: "witness", Step: "join", Revision: k.fleet.View().Revision})
	}
	if v := k.node.Valid(now); v != k.valid {
		k.valid, changed = v, true
		k.recordValidity(v)
	}
	for _, pool := range k.pools {
		var o ownership
		o.instance, o.epoch, o.ok = k.node.Owner(now, pool)
		if o != k.known[pool] {
			k.recordOwner(pool, k.known[pool], o)
			k.known[pool], changed = o, true
		}
	}
	if !changed {
		return nil
	}
	return append([]func(){}, k.listeners...)
}

func (k *Keeper) recordValidity(valid bool) {
	step := "lost"
	if valid {
		step = "gained"
		k.gains.Inc()
	} else {
		k.losses.Inc()
	}
	k.events.Record(kernel.Event{Kind: "lease", Step: step, Revision: k.fleet.View().Revision})
	k.log.Info("lease "+step, "step", "lease")
}

func (k *Keeper) recordOwner(pool string, old, o ownership) {
	ev := kernel.Event{Kind: "owner", Step: "known", Pool: pool, Peer: o.instance, Epoch: o.epoch}
	switch {
	case !o.ok:
		ev.Step, ev.Peer, ev.Epoch = "lost", old.instance, old.epoch
	case o.instance == k.mesh.Self():
		ev.Step = "gained"
	}
	k.events.Record(ev)
	k.log.Info("owner "+ev.Step, "step", "owner", "pool", pool, "peer", ev.Peer, "epoch", ev.Epoch)
}

// beatLoop sends the periodic beats and those that must not wait.
func (k *Keeper) beatLoop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	next := time.Duration(0)
	for {
		due := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.kick:
			due = true
		case <-tick.C:
			k.update(func(*lease.Node, time.Duration) {})
		}
		if now := k.clock.Now(); due || now >= next {
			k.sendBeat(ctx)
			next = following(next, now)
		}
	}
}

// following returns when the next periodic beat is due after one sent now. An
// urgent beat takes the place of a periodic one. It must never put the next one
// off beyond an interval: a few urgent beats in a row would then end the lease.
func following(due, now time.Duration) time.Duration {
	return min(max(due+lease.BeatInterval, now+lease.BeatInterval/2), now+lease.BeatInterval)
}

func (k *Keeper) sendBeat(ctx context.Context) {
	var b lease.Beat
	stamp := k.events.Now()
	k.update(func(n *lease.Node, now time.Duration) { b = n.Beat(now) })
	b.StampMs, b.StampCount = stamp.UnixMs, stamp.Count
	b.Unreached = k.links.Unreached()
	k.beats.Inc()
	for _, peer := range k.mesh.Peers() {
		k.calls.Go(func() { k.callBeat(ctx, peer, b) })
	}
}

// callBeat sends a beat to one peer and counts its reply.
func (k *Keeper) callBeat(ctx context.Context, peer string, b lease.Beat) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var reply lease.Reply
	if err := k.mesh.Call(ctx, peer, beatMethod, b, &reply); err != nil {
		k.failed.Inc()
		return
	}
	reply.Seq = b.Seq
	k.update(func(n *lease.Node, now time.Duration) { n.OnReply(now, peer, reply) })
}

// handleBeat answers a peer's beat as a witness.
func (k *Keeper) handleBeat(_ context.Context, from string, params json.RawMessage) (any, error) {
	var b lease.Beat
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, err
	}
	k.events.Observe(kernel.Stamp{UnixMs: b.StampMs, Count: b.StampCount})
	k.links.Report(from, b.Unreached)
	var reply lease.Reply
	k.update(func(n *lease.Node, now time.Duration) {
		reply = n.OnBeat(now, from, b)
		for _, r := range b.Requests {
			k.watch(r.Pool)
		}
	})
	return reply, nil
}
