package control

import (
	"context"
	"slices"
	"time"

	"nutmegrouter/internal/consensus"
)

const (
	// joinInterval is how often an instance looks whether its replica needs a group.
	joinInterval = 500 * time.Millisecond
	// probeLimit bounds one question to another replica.
	probeLimit = time.Second
	// caughtUpEntries is the lag at which a learner may become a voter.
	caughtUpEntries = 64
)

// probeReply describes a replica to others.
type probeReply struct {
	Identity string `json:"identity"`
	Empty    bool   `json:"empty"`
}

// joinParams asks the leader to add a replica.
type joinParams struct {
	Identity string `json:"identity"`
	Instance string `json:"instance"`
}

func (r *replica) probe() probeReply {
	return probeReply{Identity: r.id, Empty: r.node.Empty() && !r.failed}
}

// joinGroup forms a new group or joins the existing one if the replica has none.
func (c *Control) joinGroup(ctx context.Context) {
	a := c.inLoop(ctx, func(r *replica, done func(answer)) {
		done(answer{probe: r.probe(), silent: r.node.SilentTicks(), failed: r.failed})
	})
	self := a.probe
	if a.err != nil || a.failed || (!self.Empty && a.silent < c.pace().stranger) {
		return
	}
	if c.members != nil {
		c.joinDiscovered(ctx, self)
		return
	}
	found, all, fresh := c.probeOthers(ctx, self, c.replicas)
	switch {
	case self.Empty && all && fresh:
		c.bootstrap(ctx, found)
	case !fresh || !self.Empty:
		ctx, cancel := context.WithTimeout(ctx, probeLimit)
		defer cancel()
		_ = c.ask(ctx, methodJoin, joinParams{Identity: self.Identity, Instance: c.mesh.Self()}, nil)
	}
}

// probeOthers asks all other replicas. All reports that each answered, fresh that
// no answer came from a replica that belongs to a group.
func (c *Control) probeOthers(ctx context.Context, self probeReply, names []string) (found []consensus.Member, all, fresh bool) {
	all, fresh = true, true
	for _, name := range names {
		if name == c.mesh.Self() {
			found = append(found, consensus.Member{ID: self.Identity, Instance: name})
			continue
		}
		var p probeReply
		pctx, cancel := context.WithTimeout(ctx, probeLimit)
		err := c.mesh.Call(pctx, name, methodProbe, struct{}{}, &p)
		cancel()
		if err != nil {
			all = false
			continue
		}
		fresh = fresh && p.Empty
		found = append(found, consensus.Member{ID: p.Identity, Instance: name})
	}
	return found, all, fresh
}

// bootstrap forms the group if this is the replica with the lowest name. It does
// not if an instance has a view: then a group has existed and all its disks are
// lost, and a new one would begin below the revisions in use.
func (c *Control) bootstrap(ctx context.Context, voters []consensus.Member) {
	if voters[0].Instance != c.mesh.Self() {
		return
	}
	if c.newestView() > 0 {
		c.kernel.Log.Error("no new group: all disks are empty, but instances hold a view", "step", "bootstrap", "revision", c.newestView())
		return
	}
	c.inLoop(ctx, func(r *replica, done func(answer)) {
		done(answer{err: r.bootstrap(voters)})
	})
}

func (c *Control) newestView() uint64 {
	newest := c.fleet.View().Revision
	if c.lease == nil {
		return newest
	}
	for _, p := range c.mesh.Peers() {
		newest = max(newest, c.lease.Revision(p))
	}
	return newest
}

// bootstrap starts the group on an empty disk.
func (r *replica) bootstrap(voters []consensus.Member) error {
	if !r.node.Empty() {
		return nil
	}
	s := consensus.Bootstrap(consensus.Membership{Voters: voters}, nil)
	hard := r.node.Hard()
	hard.Term = max(hard.Term, s.Term)
	if err := r.log.SaveSnapshot(s, hard, nil); err != nil {
		return err
	}
	r.node = consensus.New(r.config(), hard, s, nil)
	r.applied = s.Index
	r.event("bootstrap", "")
	return nil
}

// join adds a replica as a learner. An older learner of the same instance, whose
// disk is gone, leaves first.
func (r *replica) join(p joinParams, done func(answer)) {
	m := r.node.Members()
	if r.node.Role() != consensus.Leader || !r.c.mayJoin(p.Instance) {
		done(answer{err: errRetry})
		return
	}
	if m.Has(p.Identity) {
		done(answer{})
		return
	}
	change := consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{ID: p.Identity, Instance: p.Instance}}
	if old := slices.IndexFunc(m.Learners, sameInstance(p.Instance)); old >= 0 {
		change = consensus.Change{Kind: consensus.Remove, Member: m.Learners[old]}
	}
	r.change(change)
	done(answer{err: errRetry}) // answered when the replica asks again
}

func sameInstance(name string) func(consensus.Member) bool {
	return func(m consensus.Member) bool { return m.Instance == name }
}

// maintainMembers makes learners that have caught up voters, after their former
// identity has left. One change at a time keeps quorums intersecting.
func (r *replica) maintainMembers() {
	if r.ticks%r.c.pace().members != 0 {
		return
	}
	m := r.node.Members()
	if r.c.members != nil {
		r.maintainDiscovered(m)
		return
	}
	for _, l := range m.Learners {
		if !r.caughtUp(l) {
			continue
		}
		if old := slices.IndexFunc(m.Voters, sameInstance(l.Instance)); old >= 0 {
			r.change(consensus.Change{Kind: consensus.Remove, Member: m.Voters[old]})
		} else {
			r.change(consensus.Change{Kind: consensus.Promote, Member: l})
		}
		return
	}
}

// caughtUp reports whether a learner may become a voter.
func (r *replica) caughtUp(l consensus.Member) bool {
	match, silent, ok := r.node.Progress(l.ID)
	return ok && match+caughtUpEntries >= r.node.Last() && match >= r.node.SnapshotIndex() &&
		silent <= uint64(r.c.pace().election)
}

var changeNames = map[consensus.ChangeKind]string{
	consensus.AddLearner: "add-learner", consensus.Promote: "promote", consensus.Remove: "remove",
}

func (r *replica) change(ch consensus.Change) {
	if r.node.ProposeChange(ch) == nil {
		r.c.metrics.memberships.Inc()
		r.event(changeNames[ch.Kind], ch.Member.Instance)
	}
}
