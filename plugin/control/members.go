package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"nutmegrouter/internal/consensus"
)

const (
	// listedJoinInterval is the interval of joinGroup in a fleet whose instances are
	// listed in the settings.
	listedJoinInterval = 500 * time.Millisecond
	// probeTimeout bounds a probe of another replica, and a request to join.
	probeTimeout = time.Second
	// maxLearnerLag is the largest lag, in entries, at which a learner may be promoted.
	maxLearnerLag = 64
)

// probeReply describes a replica in reply to a probe. Empty reports that it has
// never belonged to a group.
type probeReply struct {
	Identity string `json:"identity"`
	Empty    bool   `json:"empty"`
}

// joinParams are the parameters of a request to add a replica to the group.
type joinParams struct {
	Identity string `json:"identity"`
	Instance string `json:"instance"`
}

// probe describes the replica. One with a failed disk does not count as empty.
func (r *replica) probe() probeReply {
	return probeReply{Identity: r.id, Empty: r.node.HasNoLog() && !r.diskFailed}
}

// joinGroup bootstraps a group or requests to join the existing one if the replica is
// empty or has had no leader for rejoinTicks. It does nothing otherwise.
func (c *Control) joinGroup(ctx context.Context) {
	res := c.runOnReplica(ctx, func(r *replica, done func(callResult)) {
		done(callResult{probe: r.probe(), silentTicks: r.node.TicksSinceLeader(), diskFailed: r.diskFailed})
	})
	self := res.probe
	if res.err != nil || res.diskFailed || (!self.Empty && res.silentTicks < c.timing().rejoinTicks) {
		return
	}
	if c.topology != nil {
		c.joinDiscovered(ctx, self)
		return
	}
	replicas, allReplied, allEmpty := c.probeReplicas(ctx, self, c.diskInstances)
	switch {
	case self.Empty && allReplied && allEmpty:
		c.bootstrap(ctx, replicas)
	case !allEmpty || !self.Empty:
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_ = c.callLeader(ctx, methodJoin, joinParams{Identity: self.Identity, Instance: c.mesh.Self()}, nil)
	}
}

// probeReplicas probes the replicas on the named instances and returns those that
// replied, including itself. allReplied reports whether every one replied, allEmpty
// whether no reply came from a replica that has belonged to a group.
func (c *Control) probeReplicas(ctx context.Context, self probeReply, names []string) (replicas []consensus.Member, allReplied, allEmpty bool) {
	allReplied, allEmpty = true, true
	for _, name := range names {
		if name == c.mesh.Self() {
			replicas = append(replicas, consensus.Member{ID: self.Identity, Instance: name})
			continue
		}
		var p probeReply
		pctx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := c.mesh.Call(pctx, name, methodProbe, struct{}{}, &p)
		cancel()
		if err != nil {
			allReplied = false
			continue
		}
		allEmpty = allEmpty && p.Empty
		replicas = append(replicas, consensus.Member{ID: p.Identity, Instance: name})
	}
	return replicas, allReplied, allEmpty
}

// bootstrap forms the group if this instance is the first of the voters, which are
// sorted by name. It refuses if any instance has a view: then a group has existed and
// all its disks are lost, and the revisions of a new group would start below those in
// use.
func (c *Control) bootstrap(ctx context.Context, voters []consensus.Member) {
	if voters[0].Instance != c.mesh.Self() {
		return
	}
	if c.newestRevision() > 0 {
		c.kernel.Log.Error("bootstrap refused: all disks are empty, but an instance has a view", "step", "bootstrap", "revision", c.newestRevision())
		return
	}
	c.runOnReplica(ctx, func(r *replica, done func(callResult)) {
		done(callResult{err: r.bootstrap(voters)})
	})
}

// newestRevision returns the highest view revision known on any instance, or only
// the own one if instances are discovered.
func (c *Control) newestRevision() uint64 {
	newest := c.fleet.View().Revision
	if c.lease == nil {
		return newest
	}
	for _, p := range c.mesh.Peers() {
		newest = max(newest, c.lease.PeerRevision(p))
	}
	return newest
}

// bootstrap writes the first snapshot, with the given voters, to an empty disk and
// starts the node from it. It does nothing if the replica is not empty.
func (r *replica) bootstrap(voters []consensus.Member) error {
	if !r.node.HasNoLog() {
		return nil
	}
	s := consensus.Bootstrap(consensus.Membership{Voters: voters}, nil)
	hard := r.node.HardState()
	hard.Term = max(hard.Term, s.Term)
	if err := r.log.SaveSnapshot(s, hard, nil); err != nil {
		return err
	}
	r.node = consensus.New(r.nodeConfig(), hard, s, nil)
	r.applied = s.Index
	r.recordEvent("bootstrap", "")
	return nil
}

// joinMemory is how long the leader keeps a request to join that it cannot propose yet, in ticks. The
// replica asks again sooner if it still runs.
const joinMemory = 2 * listedJoinInterval / tickInterval

// waitingJoin is a request to join that is not proposed yet.
type waitingJoin struct {
	joinParams
	askedAt uint64 // tick
}

// join proposes to add a replica as a learner. The leader may not be able to do so at once: the first
// entry of its term may not be committed, another change may be pending, and an older learner of the
// same instance has to be removed first. It then keeps the request. The caller asks again until the
// replica is a member, but need not ask at the right moment.
func (r *replica) join(p joinParams, done func(callResult)) {
	if r.node.Role() != consensus.Leader || !r.c.mayHoldReplica(p.Instance) {
		done(callResult{err: errRetry})
		return
	}
	if r.node.Members().Has(p.Identity) {
		done(callResult{})
		return
	}
	r.waitingJoins[p.Instance] = waitingJoin{p, r.ticks}
	r.proposeJoins()
	done(callResult{err: errRetry}) // the retry finds the replica among the members
}

// proposeJoins proposes the next step of the requests to join that wait, in the order of their instances.
// An older learner of the same instance, whose disk is lost, is removed first.
func (r *replica) proposeJoins() {
	for _, instance := range slices.Sorted(maps.Keys(r.waitingJoins)) {
		j, m := r.waitingJoins[instance], r.node.Members()
		if m.Has(j.Identity) || r.ticks-j.askedAt > uint64(joinMemory) || r.node.Role() != consensus.Leader {
			delete(r.waitingJoins, instance)
			continue
		}
		change := consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{ID: j.Identity, Instance: instance}}
		if old := slices.IndexFunc(m.Learners, sameInstance(instance)); old >= 0 {
			change = consensus.Change{Kind: consensus.Remove, Member: m.Learners[old]}
		}
		if !r.proposeChange(change) {
			return // one change at a time; the next tick tries again
		}
	}
}

// sameInstance returns a predicate for the members on an instance.
func sameInstance(name string) func(consensus.Member) bool {
	return func(m consensus.Member) bool { return m.Instance == name }
}

// maintainMembers promotes learners that have caught up, after it has removed the
// former voter of the same instance. Only one change is made at a time, so that the
// quorums before and after it overlap.
func (r *replica) maintainMembers() {
	if r.ticks%r.c.timing().membershipTicks != 0 {
		return
	}
	m := r.node.Members()
	if r.c.topology != nil {
		r.maintainDiscoveredMembers(m)
		return
	}
	for _, l := range m.Learners {
		if !r.caughtUp(l) {
			continue
		}
		if old := slices.IndexFunc(m.Voters, sameInstance(l.Instance)); old >= 0 {
			r.proposeChange(consensus.Change{Kind: consensus.Remove, Member: m.Voters[old]})
		} else {
			r.proposeChange(consensus.Change{Kind: consensus.Promote, Member: l})
		}
		return
	}
}

// caughtUp reports whether a learner may be promoted: it lags by at most
// maxLearnerLag entries, has the leader's snapshot and responds.
func (r *replica) caughtUp(l consensus.Member) bool {
	match, silent, ok := r.node.Progress(l.ID)
	return ok && match+maxLearnerLag >= r.node.LastIndex() && match >= r.node.SnapshotIndex() &&
		silent <= uint64(r.c.timing().electionTicks)
}

// changeSteps are the event steps of membership changes.
var changeSteps = map[consensus.ChangeKind]string{
	consensus.AddLearner: "add-learner", consensus.Promote: "promote", consensus.Remove: "remove",
}

// proposeChange proposes a membership change and reports whether the node accepts it. One that it
// refuses is dropped; maintenance and requests to join propose it again.
func (r *replica) proposeChange(ch consensus.Change) bool {
	if r.node.ProposeChange(ch) != nil {
		return false
	}
	r.c.metrics.memberships.Inc()
	r.recordEvent(changeSteps[ch.Kind], ch.Member.Instance)
	return true
}
