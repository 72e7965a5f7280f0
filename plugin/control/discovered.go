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
	// discoveredJoinInterval is the interval of joinGroup in a fleet that discovers
	// its instances.
	discoveredJoinInterval = 200 * time.Millisecond
	// discoveredCallTimeout and discoveredSubmitTimeout bound one attempt at a
	// replica in such a fleet.
	discoveredCallTimeout   = 400 * time.Millisecond
	discoveredSubmitTimeout = 1200 * time.Millisecond
	// reopenInterval is the wait before each attempt to reopen the log after a
	// failed write.
	reopenInterval = 300 * time.Millisecond
)

// seedAddresses returns the mesh addresses of the seeds in the settings, sorted and
// without duplicates. Seeds whose address does not parse are left out.
func (c *Control) seedAddresses() []string {
	var out []string
	for _, s := range c.kernel.Settings.Routes.Seeds {
		if address, err := c.kernel.Settings.MeshAddress(s); err == nil {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// joinDiscovered bootstraps a group of the seeds when the fleet starts for the first
// time, and requests to join the existing group otherwise. Later an empty disk never
// bootstraps a group, because the acknowledged state is on other disks.
func (c *Control) joinDiscovered(ctx context.Context, self probeReply) {
	seeds := c.seedAddresses()
	if self.Empty && c.kernel.Settings.Routes.Bootstrap && slices.Contains(seeds, c.mesh.Self()) {
		replicas, allReplied, allEmpty := c.probeReplicas(ctx, self, seeds)
		if allReplied && allEmpty {
			c.bootstrap(ctx, replicas)
			return
		}
		if allEmpty {
			return // wait for the seeds that have not replied
		}
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := c.callLeader(ctx, methodJoin, joinParams{Identity: self.Identity, Instance: c.mesh.Self()}, nil)
	if err != nil {
		c.kernel.Log.Debug("request to join the control group failed", "step", "join", "error", err)
	}
}

// mayHoldReplica reports whether the leader accepts a replica on an instance: any
// instance if instances are discovered, otherwise those with a disk in the settings.
func (c *Control) mayHoldReplica(instance string) bool {
	return c.topology != nil || slices.Contains(c.diskInstances, instance)
}

// desiredVoters returns the number of voters that keeps a quorum after the tolerated
// number of losses.
func (r *replica) desiredVoters() int { return 2*r.c.kernel.Settings.Routes.LossesTolerated + 1 }

// maintainDiscoveredMembers replaces lost voters, one membership change at a time. A
// learner is promoted before the voter that it replaces is removed, except on the
// same instance, whose former disk is lost. In all other cases the group keeps at
// least the desired number of voters.
func (r *replica) maintainDiscoveredMembers(m consensus.Membership) {
	desired := r.desiredVoters()
	for _, l := range m.Learners {
		if !r.caughtUp(l) {
			continue
		}
		if old := slices.IndexFunc(m.Voters, sameInstance(l.Instance)); old >= 0 {
			r.proposeChange(consensus.Change{Kind: consensus.Remove, Member: m.Voters[old]})
			return
		}
		if len(m.Voters) <= desired {
			r.proposeChange(consensus.Change{Kind: consensus.Promote, Member: l})
			return
		}
	}
	if len(m.Voters) > desired {
		r.removeSilentVoter(m)
	}
}

// removeSilentVoter removes one voter that has been silent for lostVoterTicks, if
// the responsive voters are a quorum of the group without it.
func (r *replica) removeSilentVoter(m consensus.Membership) {
	var silentVoters []consensus.Member
	for _, v := range m.Voters {
		if _, silent, ok := r.node.Progress(v.ID); ok && silent > r.c.timing().lostVoterTicks {
			silentVoters = append(silentVoters, v)
		}
	}
	responsive, remaining := len(m.Voters)-len(silentVoters), len(m.Voters)-1
	if len(silentVoters) > 0 && responsive > remaining/2 {
		r.proposeChange(consensus.Change{Kind: consensus.Remove, Member: silentVoters[0]})
	}
}

// reopen stops the node after a failed write to its disk and reloads it from the
// disk once the log opens again. Until then the replica neither votes nor
// acknowledges entries. It returns an error only if ctx ends.
func (c *Control) reopen(ctx context.Context, cause error) error {
	r := c.replica
	c.kernel.Log.Error("write to control log failed", "step", "write", "error", cause)
	c.kernel.Events.Record(kernel.Event{Kind: "control", Step: "disk-failed", Detail: cause.Error()})
	r.failPendingCalls()
	r.dropNode()
	for {
		_ = r.log.Close() // the cause is logged above
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reopenInterval):
		}
		c.drainWithoutNode(r)
		log, st, err := wal.Open(c.logFolder())
		if err == nil {
			err = r.load(log, st)
		}
		if err == nil {
			logqueue.Notice(c.kernel.Log, "control log reopened after failed write", "step", "write", "entries", len(st.Entries))
			c.kernel.Events.Record(kernel.Event{Kind: "control", Step: "disk-back"})
			return nil
		}
		c.kernel.Log.Debug("control log still cannot be opened", "step", "open", "error", err)
	}
}

// dropNode replaces the node by an empty one after a failed write. Until the log is
// loaded again, calls find a follower that knows no leader.
func (r *replica) dropNode() {
	r.diskFailed = true
	r.node = consensus.New(r.nodeConfig(), consensus.HardState{}, consensus.Snapshot{}, nil)
	r.publishStatus()
}

// drainWithoutNode empties the rings while the disk is failed: it drops Raft
// messages and runs queued calls, which find no leader.
func (c *Control) drainWithoutNode(r *replica) {
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
