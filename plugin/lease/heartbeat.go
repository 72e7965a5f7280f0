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
func (r *Runner) update(input func(n *lease.Node, now time.Duration)) {
	r.mu.Lock()
	now := r.clock.Now()
	input(r.node, now)
	urgent := r.node.Tick(now)
	behind := len(r.node.PeersAhead()) > 0
	r.leaseEnd.Store(int64(r.node.LeaseEnd()))
	listeners := r.recordChanges(now)
	r.mu.Unlock()
	if urgent {
		kernel.Signal(r.sendNow)
	}
	if behind {
		kernel.Signal(r.fetchNow)
	}
	for _, notify := range listeners {
		notify()
	}
}

// recordChanges records changes of the witness state, the lease and the owners. It
// returns the listeners to call, or nil if lease and owners are unchanged. The lock
// must be held.
func (r *Runner) recordChanges(now time.Duration) []func() {
	changed := false
	if w := r.node.IsWitness(now); w != r.reportedWitness {
		r.reportedWitness = w
		r.events.Record(kernel.Event{Kind: "witness", Step: "join", Revision: r.fleet.View().Revision})
	}
	if v := r.node.LeaseValid(now); v != r.reportedValid {
		r.reportedValid, changed = v, true
		r.recordValidity(v)
	}
	for _, pool := range r.watchedPools {
		var current ownership
		current.instance, current.epoch, current.known = r.node.Owner(now, pool)
		if current != r.reportedOwners[pool] {
			r.recordOwner(pool, r.reportedOwners[pool], current)
			r.reportedOwners[pool], changed = current, true
		}
	}
	if !changed {
		return nil
	}
	return append([]func(){}, r.listeners...)
}

// recordValidity records that the instance lease was gained or lost.
func (r *Runner) recordValidity(valid bool) {
	step := "lost"
	if valid {
		step = "gained"
		r.leasesGained.Inc()
	} else {
		r.leasesLost.Inc()
	}
	r.events.Record(kernel.Event{Kind: "lease", Step: step, Revision: r.fleet.View().Revision})
	r.log.Info("lease "+step, "step", "lease")
}

// recordOwner records a change of a pool's owner: "gained" by this instance, "known"
// for a new owner elsewhere, or "lost".
func (r *Runner) recordOwner(pool string, old, current ownership) {
	ev := kernel.Event{Kind: "owner", Step: "known", Pool: pool, Peer: current.instance, Epoch: current.epoch}
	switch {
	case !current.known:
		ev.Step, ev.Peer, ev.Epoch = "lost", old.instance, old.epoch
	case current.instance == r.mesh.Self():
		ev.Step = "gained"
	}
	r.events.Record(ev)
	r.log.Info("owner "+ev.Step, "step", "owner", "pool", pool, "peer", ev.Peer, "epoch", ev.Epoch)
}

// heartbeatLoop sends the periodic and the urgent heartbeats and runs the node's
// timers.
func (r *Runner) heartbeatLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	next := time.Duration(0)
	for {
		due := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.sendNow:
			due = true
		case <-ticker.C:
			r.update(func(*lease.Node, time.Duration) {})
		}
		if now := r.clock.Now(); due || now >= next {
			r.sendHeartbeat(ctx)
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
func (r *Runner) sendHeartbeat(ctx context.Context) {
	var h lease.Heartbeat
	stamp := r.events.Now()
	r.update(func(n *lease.Node, now time.Duration) { h = n.NextHeartbeat(now) })
	h.StampMs, h.StampCount = stamp.UnixMs, stamp.Count
	h.Unreached = r.links.PeersWithoutLink()
	r.heartbeats.Inc()
	for _, peer := range r.mesh.Peers() {
		r.heartbeatCalls.Go(func() { r.callHeartbeat(ctx, peer, h) })
	}
}

// callHeartbeat sends a heartbeat to one peer and passes the reply to the node.
func (r *Runner) callHeartbeat(ctx context.Context, peer string, h lease.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply lease.Reply
	if err := r.mesh.Call(ctx, peer, heartbeatMethod, h, &reply); err != nil {
		r.heartbeatsUnanswered.Inc()
		return
	}
	reply.Seq = h.Seq
	r.update(func(n *lease.Node, now time.Duration) { n.HandleReply(now, peer, reply) })
}

// handleHeartbeat processes a peer's heartbeat and returns this witness's reply.
func (r *Runner) handleHeartbeat(_ context.Context, from string, params json.RawMessage) (any, error) {
	var h lease.Heartbeat
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, err
	}
	r.events.Observe(kernel.Stamp{UnixMs: h.StampMs, Count: h.StampCount})
	r.links.RecordPeersWithoutLink(from, h.Unreached)
	var reply lease.Reply
	r.update(func(n *lease.Node, now time.Duration) {
		reply = n.HandleHeartbeat(now, from, h)
		for _, req := range h.Requests {
			r.watchPools(req.Pool)
		}
	})
	return reply, nil
}
