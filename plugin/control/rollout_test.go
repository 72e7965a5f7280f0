package control

import (
	"context"
	"testing"
	"time"

	"nutmegrouter/internal/api"
)

// startRollout submits the order to move service "s" to a version through an instance.
func (c *cluster) startRollout(at, id, version string) {
	c.t.Helper()
	var base uint64
	c.call(at, func(ctx context.Context, ctl *Control) (err error) {
		base, err = ctl.ReadRevision(ctx)
		return err
	})
	r := c.submit(at, api.Submission{ChangeID: id, OnNewestRevision: true, BaseRevision: base,
		Rollout: &api.RolloutChange{Service: "s", Version: version, DurationMs: 12_000}})
	c.is.Equal(r.Error+r.ConflictingChange, "")
}

// endRollout submits the end of the rollout of service "s" that started at a revision.
func (c *cluster) endRollout(at, id string, started uint64, state api.RolloutState) {
	c.t.Helper()
	r := c.submit(at, api.Submission{ChangeID: id, OnNewestRevision: true,
		Rollout: &api.RolloutChange{Service: "s", Ends: started, State: state, Reason: "why", Replaced: []string{"v1"}}})
	c.is.Equal(r.Error+r.ConflictingChange, "")
}

// saveAccount saves the account of a rollout of service "s" through an instance.
func (c *cluster) saveAccount(at string, a api.RolloutAccount) {
	c.t.Helper()
	a.Service = "s"
	c.call(at, func(ctx context.Context, ctl *Control) error { return ctl.SaveRolloutAccount(ctx, a) })
}

// rollout returns the rollout of service "s" and the accounts as an instance reads them.
func (c *cluster) rollout(at string) (r api.Rollout, accounts map[string]api.RolloutAccount) {
	c.t.Helper()
	c.call(at, func(ctx context.Context, ctl *Control) error {
		v, err := ctl.ReadView(ctx)
		if err == nil {
			r = v.Rollouts["s"]
			accounts, err = ctl.ReadRolloutAccounts(ctx)
		}
		return err
	})
	return r, accounts
}

// Guards against an account that an owner on another instance cannot read, one whose save is confirmed although the
// rollout does not run, and one that makes a revision.
func TestRolloutAccountThroughFollower(t *testing.T) {
	c := newDiscoveredCluster(t, 3, 1)
	c.waitVoters(c.names...)
	_, accounts := c.rollout(c.follower())
	c.is.Equal(len(accounts), 0)
	c.startRollout(c.follower(), "start", "v2")
	running, accounts := c.rollout(c.follower())
	c.is.Equal(running, api.Rollout{Service: "s", Version: "v2", DurationMs: 12_000, Started: running.Started, State: api.RolloutRunning})
	c.is.Equal(accounts, map[string]api.RolloutAccount{"s": {Service: "s", Started: running.Started}})
	account := api.RolloutAccount{Service: "s", Started: running.Started, Requests: 500, Allowed: 16, ElapsedMs: 700}
	c.saveAccount(c.follower(), account)
	for _, name := range c.names {
		_, accounts := c.rollout(name)
		c.is.Equal(accounts, map[string]api.RolloutAccount{"s": account})
	}
	var revision uint64
	c.call(c.follower(), func(ctx context.Context, ctl *Control) (err error) {
		revision, err = ctl.ReadRevision(ctx)
		return err
	})
	c.is.Equal(revision, running.Started)
	c.endRollout(c.follower(), "end", running.Started, api.RolloutRolledBack)
	ended, accounts := c.rollout(c.follower())
	c.is.Equal(ended.State, api.RolloutRolledBack)
	c.is.Equal(ended.Reason, "why")
	c.is.Equal(len(accounts), 0)
	c.call(c.leader(), func(ctx context.Context, ctl *Control) error {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		c.is.True(ctl.SaveRolloutAccount(ctx, account) != nil)
		c.is.NoErr(ctx.Err()) // it fails at once: a repeat would not help
		return nil
	})
}

// voterID returns the identity of the voter on an instance according to the leader, "" if there is none.
func (c *cluster) voterID(instance string) string {
	if l := c.leader(); l != "" {
		for _, v := range c.running(l).control.replica.node.Members().Voters {
			if v.Instance == instance {
				return v.ID
			}
		}
	}
	return ""
}

// compact makes all replicas replace their logs by snapshots.
func (c *cluster) compact() {
	c.t.Helper()
	last := c.running(c.leader()).control.replica.node.LastIndex()
	for _, name := range c.names {
		r := c.running(name).control.replica
		c.pumpUntil("entries applied", func() bool { return r.applied >= last })
		r.bytesSinceSnapshot, r.retainBytes = 1<<30, 0
		c.is.NoErr(r.compactIfDue())
		c.is.True(r.node.SnapshotIndex() > 0)
	}
}

// Guards against an acknowledged rollout, its account or its end that is lost with the leader, in a restart of all
// replicas, or with a disk; and against a start that is accepted twice because it was resent after that.
func TestRolloutSurvives(t *testing.T) {
	for name, disturb := range map[string]func(c *cluster){
		"loss of the leader": func(c *cluster) {
			old := c.leader()
			c.stop(old)
			c.waitLeader()
			c.start(old)
			c.waitVoters(c.names...)
		},
		"restart of all replicas": func(c *cluster) {
			c.restartAll()
			c.waitVoters(c.names...)
		},
		"restart from snapshots": func(c *cluster) {
			c.compact()
			c.restartAll()
			c.waitVoters(c.names...)
		},
		"loss of a disk after a snapshot": func(c *cluster) {
			c.compact()
			lost := c.leader()
			old := c.voterID(lost)
			c.wipe(lost)
			c.waitLeader()
			c.start(lost)
			// The membership names the same instances before: only the identity shows that the new disk has the log.
			c.pumpUntil("voter replaced", func() bool { id := c.voterID(lost); return id != "" && id != old })
			c.waitVoters(c.names...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newDiscoveredCluster(t, 3, 1)
			c.waitVoters(c.names...)
			c.startRollout(c.leader(), "start", "v2")
			disturb(c)
			running, accounts := c.rollout(c.follower())
			c.is.Equal(running.State, api.RolloutRunning)
			c.is.Equal(accounts["s"], api.RolloutAccount{Service: "s", Started: running.Started})
			account := api.RolloutAccount{Service: "s", Started: running.Started, Requests: 900, Allowed: 24, ElapsedMs: 1500}
			c.saveAccount(c.leader(), account)
			disturb(c)
			c.startRollout(c.follower(), "start", "v2")  // the same message
			c.startRollout(c.follower(), "repeat", "v2") // the order, sent again
			again, accounts := c.rollout(c.follower())
			c.is.Equal(again, running)
			c.is.Equal(accounts["s"], account)
			c.endRollout(c.leader(), "end", running.Started, api.RolloutSucceeded)
			disturb(c)
			c.endRollout(c.follower(), "late end", running.Started, api.RolloutRolledBack)
			ended, accounts := c.rollout(c.follower())
			running.State, running.Reason, running.Replaced = api.RolloutSucceeded, "why", []string{"v1"}
			c.is.Equal(ended, running)
			c.is.Equal(len(accounts), 0)
			c.pumpUntil("the end everywhere", func() bool {
				for _, n := range c.names {
					if (fleet{c.running(n)}).View().Rollouts["s"].State != api.RolloutSucceeded {
						return false
					}
				}
				return true
			})
		})
	}
}
