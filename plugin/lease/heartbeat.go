package lease

import (
	"context"
	"encoding/json"
	"time"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/lease"
)

const (
	heartbeatMethod = "beat"
	// heartbeatTimeout is the age at which the reply to a heartbeat is of no use.
	heartbeatTimeout = 1500 * time.Millisecond
	// tickInterval is the period of the node's timers. It limits how finely the
	// starts of candidates for a pool can be staggered.
	tickInterval = 50 * time.Millisecond
	// handoverPollInterval is how often Resign checks whether the successors have
	// taken over.
	handoverPollInterval = 10 * time.Millisecond
)

// update applies an input to the node under the lock. Then it updates the end of the
// lease, records state changes, calls the listeners, and triggers an urgent heartbeat
// or a fetch of the view if the node needs one.
func (k *Keeper) update(input func(n *lease.Node, now time.Duration)) {
	k.mu.Lock()
	now := k.clock.Now()
	input(k.node, now)
	urgent := k.node.Tick(now)
	behind := len(k.node.PeersAhead()) > 0
	k.leaseEnd.Store(int64(k.node.LeaseEnd()))
	listeners := k.recordChanges(now)
	k.mu.Unlock()
	if urgent {
		kernel.Signal(k.sendNow)
	}
	if behind {
		kernel.Signal(k.fetchNow)
	}
	for _, notify := range listeners {
		notify()
	}
}

// recordChanges records changes of the witness state, the lease and the owners. It
// returns the listeners to call, or nil if lease and owners are unchanged. The lock
// must be held.
func (k *Keeper) recordChanges(now time.Duration) []func() {
	changed := false
	if w := k.node.IsWitness(now); w != k.reportedWitness {
		k.reportedWitness = w
		k.events.Record(kernel.Event{Kind: "witness", Step: "join", Revision: k.fleet.View().Revision})
	}
	if v := k.node.LeaseValid(now); v != k.reportedValid {
		k.reportedValid, changed = v, true
		k.recordValidity(v)
	}
	for _, pool := range k.watchedPools {
		var current ownership
		current.instance, current.epoch, current.known = k.node.Owner(now, pool)
		if current != k.reportedOwners[pool] {
			k.recordOwner(pool, k.reportedOwners[pool], current)
			k.reportedOwners[pool], changed = current, true
		}
	}
	if !changed {
		return nil
	}
	return append([]func(){}, k.listeners...)
}

// recordValidity records that the instance lease was gained or lost.
func (k *Keeper) recordValidity(valid bool) {
	step := "lost"
	if valid {
		step = "gained"
		k.leasesGained.Inc()
	} else {
		k.leasesLost.Inc()
	}
	k.events.Record(kernel.Event{Kind: "lease", Step: step, Revision: k.fleet.View().Revision})
	k.log.Info("lease "+step, "step", "lease")
}

// recordOwner records a change of a pool's owner: "gained" by this instance, "known"
// for a new owner elsewhere, or "lost".
func (k *Keeper) recordOwner(pool string, old, current ownership) {
	ev := kernel.Event{Kind: "owner", Step: "known", Pool: pool, Peer: current.instance, Epoch: current.epoch}
	switch {
	case !current.known:
		ev.Step, ev.Peer, ev.Epoch = "lost", old.instance, old.epoch
	case current.instance == k.mesh.Self():
		ev.Step = "gained"
	}
	k.events.Record(ev)
	k.log.Info("owner "+ev.Step, "step", "owner", "pool", pool, "peer", ev.Peer, "epoch", ev.Epoch)
}

// heartbeatLoop sends the periodic and the urgent heartbeats and runs the node's
// timers.
func (k *Keeper) heartbeatLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	next := time.Duration(0)
	for {
		due := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.sendNow:
			due = true
		case <-ticker.C:
			k.update(func(*lease.Node, time.Duration) {})
		}
		if now := k.clock.Now(); due || now >= next {
			k.sendHeartbeat(ctx)
			next = nextHeartbeat(next, now)
		}
	}
}

// nextHeartbeat returns when the next periodic heartbeat is due after one sent now,
// where due is the previous due time. An urgent heartbeat replaces a periodic one.
// It must not delay the next one by more than an interval: otherwise a few urgent
// heartbeats in a row would let the lease expire.
func nextHeartbeat(due, now time.Duration) time.Duration {
	return min(max(due+lease.HeartbeatInterval, now+lease.HeartbeatInterval/2), now+lease.HeartbeatInterval)
}

// sendHeartbeat sends a heartbeat to all peers without waiting for the replies.
func (k *Keeper) sendHeartbeat(ctx context.Context) {
	var h lease.Heartbeat
	stamp := k.events.Now()
	k.update(func(n *lease.Node, now time.Duration) { h = n.NextHeartbeat(now) })
	h.StampMs, h.StampCount = stamp.UnixMs, stamp.Count
	h.Unreached = k.links.PeersWithoutLink()
	k.heartbeats.Inc()
	for _, peer := range k.mesh.Peers() {
		k.heartbeatCalls.Go(func() { k.callHeartbeat(ctx, peer, h) })
	}
}

// callHeartbeat sends a heartbeat to one peer and passes the reply to the node.
func (k *Keeper) callHeartbeat(ctx context.Context, peer string, h lease.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply lease.Reply
	if err := k.mesh.Call(ctx, peer, heartbeatMethod, h, &reply); err != nil {
		k.heartbeatsUnanswered.Inc()
		return
	}
	reply.Seq = h.Seq
	k.update(func(n *lease.Node, now time.Duration) { n.HandleReply(now, peer, reply) })
}

// handleHeartbeat processes a peer's heartbeat and returns this witness's reply.
func (k *Keeper) handleHeartbeat(_ context.Context, from string, params json.RawMessage) (any, error) {
	var h lease.Heartbeat
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, err
	}
	k.events.Observe(kernel.Stamp{UnixMs: h.StampMs, Count: h.StampCount})
	k.links.RecordPeersWithoutLink(from, h.Unreached)
	var reply lease.Reply
	k.update(func(n *lease.Node, now time.Duration) {
		reply = n.HandleHeartbeat(now, from, h)
		for _, r := range h.Requests {
			k.watchPools(r.Pool)
		}
	})
	return reply, nil
}
