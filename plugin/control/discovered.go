package control

import (
	"context"
	"slices"
	"time"

	"nutmegrouter/internal/consensus"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/wal"
)

const (
	// discoveredJoinInterval is how often a control instance of a fleet that
	// discovers its instances looks whether its replica needs a group.
	discoveredJoinInterval = 200 * time.Millisecond
	// discoveredCallLimit and discoveredSubmitLimit bound the wait for one replica.
	discoveredCallLimit   = 400 * time.Millisecond
	discoveredSubmitLimit = 1200 * time.Millisecond
	// reopenPause separates attempts to use a disk that has refused a write.
	reopenPause = 300 * time.Millisecond
)

// seeds returns the mesh addresses of the seeds, sorted.
func (c *Control) seeds() []string {
	var out []string
	for _, s := range c.kernel.Settings.Routes.Seeds {
		if address, err := c.kernel.Settings.MeshAddress(s); err == nil {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// joinDiscovered forms a group of the seeds when the fleet starts for the first
// time, and joins the existing group otherwise. An empty disk never forms a group
// later: the acknowledged state is on other disks.
func (c *Control) joinDiscovered(ctx context.Context, self probeReply) {
	seeds := c.seeds()
	if self.Empty && c.kernel.Settings.Routes.Bootstrap && slices.Contains(seeds, c.mesh.Self()) {
		found, all, fresh := c.probeOthers(ctx, self, seeds)
		if all && fresh {
			c.bootstrap(ctx, found)
			return
		}
		if fresh {
			return // a seed is not there yet
		}
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	err := c.ask(ctx, methodJoin, joinParams{Identity: self.Identity, Instance: c.mesh.Self()}, nil)
	if err != nil {
		c.kernel.Log.Debug("join failed", "step", "join", "error", err)
	}
}

// mayJoin reports whether an instance may hold a replica.
func (c *Control) mayJoin(instance string) bool {
	return c.members != nil || slices.Contains(c.replicas, instance)
}

// voterTarget is the number of voters that bears the tolerated losses.
func (r *replica) voterTarget() int { return 2*r.c.kernel.Settings.Routes.LossesTolerated + 1 }

// maintainDiscovered fills the places of lost voters, one change at a time. A
// newcomer votes before the voter that it replaces leaves, except on the same
// instance, whose former disk is gone. The group never shrinks below its target
// otherwise.
func (r *replica) maintainDiscovered(m consensus.Membership) {
	target := r.voterTarget()
	for _, l := range m.Learners {
		if !r.caughtUp(l) {
			continue
		}
		if old := slices.IndexFunc(m.Voters, sameInstance(l.Instance)); old >= 0 {
			r.change(consensus.Change{Kind: consensus.Remove, Member: m.Voters[old]})
			return
		}
		if len(m.Voters) <= target {
			r.change(consensus.Change{Kind: consensus.Promote, Member: l})
			return
		}
	}
	if len(m.Voters) > target {
		r.removeLost(m)
	}
}

// removeLost removes a silent voter if the rest of the group has a quorum
// without it.
func (r *replica) removeLost(m consensus.Membership) {
	var lost []consensus.Member
	for _, v := range m.Voters {
		if _, silent, ok := r.node.Progress(v.ID); ok && silent > r.c.pace().lost {
			lost = append(lost, v)
		}
	}
	alive, rest := len(m.Voters)-len(lost), len(m.Voters)-1
	if len(lost) > 0 && alive > rest/2 {
		r.change(consensus.Change{Kind: consensus.Remove, Member: lost[0]})
	}
}

// reopen gives up the node after its disk has refused a write, and starts again
// from what the disk holds once it accepts writes. Until then the replica votes
// for no one and acknowledges nothing.
func (c *Control) reopen(ctx context.Context, cause error) error {
	r := c.replica
	c.kernel.Log.Error("disk refused a write", "step", "write", "error", cause)
	c.kernel.Events.Record(kernel.Event{Kind: "control", Step: "disk-failed", Detail: cause.Error()})
	r.failAll()
	r.fail()
	for {
		_ = r.log.Close() // the cause is logged above
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reopenPause):
		}
		c.discardRings(r)
		log, st, err := wal.Open(c.logFolder())
		if err == nil {
			err = r.load(log, st)
		}
		if err == nil {
			logqueue.Notice(c.kernel.Log, "disk accepts writes again", "step", "write", "entries", len(st.Entries))
			c.kernel.Events.Record(kernel.Event{Kind: "control", Step: "disk-back"})
			return nil
		}
		c.kernel.Log.Debug("disk still refuses", "step", "open", "error", err)
	}
}

// fail ends the node. Calls find a follower that knows no leader.
func (r *replica) fail() {
	r.failed = true
	r.node = consensus.New(r.config(), consensus.HardState{}, consensus.Snapshot{}, nil)
	r.publish()
}

// discardRings answers what has queued up while the disk refuses writes.
func (c *Control) discardRings(r *replica) {
	for range maxBatch {
		select {
		case <-c.inbox.C():
		case f := <-c.calls.C():
			f(r)
		default:
			return
		}
	}
}
