package control

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/consensus"
)

// TestLeaderKilled guards against a change that is lost, applied twice or failed when
// the leader is killed while the change is pending.
func TestLeaderKilled(t *testing.T) {
	for _, ticks := range []int{0, 1, 2, 3, 5} { // ticks between submission and kill
		t.Run(fmt.Sprintf("after %d ticks", ticks), func(t *testing.T) {
			c := newCluster(t, 3, 1)
			l := c.waitLeader()
			c.submit("i3", api.Submission{ChangeID: "first", Config: document()})
			done := c.submitInBackground("i3", api.Submission{ChangeID: "second", BaseRevision: 1, DataCentre: "a", Out: true})
			for range ticks {
				c.pump()
			}
			c.stop(l)
			r := c.await(done)
			c.is.Equal(r, api.SubmitResult{Revision: 2})
			c.start(l)
			c.pumpUntil("view everywhere", func() bool { return c.countInstancesAt(2) == 4 })
			c.is.Equal(c.view(l).DataCentresOut, map[string]bool{"a": true})
			c.is.Equal(len(c.history("i3")), 2)
		})
	}
}

// TestAcceptedByMajority guards against a change that is acknowledged before a majority
// of all instances has the view, or before a quorum of the disks has synced it.
func TestAcceptedByMajority(t *testing.T) {
	c := newCluster(t, 3, 4)
	l := c.waitLeader()
	c.submit(l, api.Submission{ChangeID: "first", Config: document()})
	for _, name := range c.names[3:] {
		c.isolate(name, false) // 3 of 7 remain: a quorum of the disks, but no majority of the instances
	}
	done := c.submitInBackground(l, api.Submission{ChangeID: "second", BaseRevision: 1, DataCentre: "a", Out: true})
	c.pumpUntil("commit", func() bool { return c.view(l).Revision == 2 })
	c.pumpDuring(func() { time.Sleep(200 * time.Millisecond) })
	c.is.Equal(len(done), 0) // committed, not accepted
	c.isolate("i5", true)
	c.is.Equal(c.await(done), api.SubmitResult{Revision: 2})
	c.is.True(c.countInstancesAt(2) >= 4)
}

// TestConflict guards against two concurrent changes that are both accepted on the same
// base revision.
func TestConflict(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitLeader()
	a := c.submitInBackground("i0", api.Submission{ChangeID: "a", Config: document()})
	b := c.submitInBackground("i3", api.Submission{ChangeID: "b", Config: document()})
	ra, rb := c.await(a), c.await(b)
	winner := "a"
	if ra.ConflictingChange != "" {
		ra, rb, winner = rb, ra, "b"
	}
	c.is.Equal(rb, api.SubmitResult{ConflictingChange: winner, Revision: 1})
	c.is.Equal(ra, api.SubmitResult{Revision: 1})
}

// TestInvalidDocument guards against an invalid document that takes effect.
func TestInvalidDocument(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.waitLeader()
	bad := document()
	bad.Targets[0].Pool = "none"
	r := c.submit("i0", api.Submission{ChangeID: "bad", Config: bad})
	c.is.True(r.Error != "" && r.Revision == 0)
	c.is.Equal(c.submit("i0", api.Submission{ChangeID: "bad", Config: document()}), api.SubmitResult{Revision: 1})
	c.is.Equal(c.submit("i0", api.Submission{ChangeID: "bad", Config: bad}), api.SubmitResult{Revision: 1}) // stored result
}

// TestRetryAfterRestart guards against a retried change that is applied again after
// hundreds of other changes, a snapshot and a restart of all instances.
func TestRetryAfterRestart(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.waitLeader()
	c.submit("i0", api.Submission{ChangeID: "doc", Config: document()})
	c.pumpDuring(func() {
		for i := range 300 {
			c.submitWithoutPump("i1", api.Submission{ChangeID: fmt.Sprint(i), BaseRevision: uint64(i + 1), DataCentre: "a", Out: i%2 == 0})
		}
	})
	c.pumpUntil("changes at every replica", func() bool { return c.allReplicasAt(301) })
	for _, name := range c.names {
		r := c.running(name).control.replica
		r.bytesSinceSnapshot = 1 << 30 // a snapshot is due
		c.is.NoErr(r.compactIfDue())
		c.is.True(r.node.SnapshotIndex() > 300)
	}
	c.restartAll()
	c.is.Equal(c.submit("i2", api.Submission{ChangeID: "7", BaseRevision: 8, DataCentre: "a"}), api.SubmitResult{Revision: 9})
	c.is.Equal(c.submit("i2", api.Submission{ChangeID: "new", BaseRevision: 8, DataCentre: "a"}), api.SubmitResult{ConflictingChange: "7", Revision: 9})
	c.is.Equal(c.view("i0").Revision, uint64(301))
}

// TestLongIsolation guards against a replica that disrupts the group, or keeps an old
// view, when it is reconnected after it has missed changes and a snapshot.
func TestLongIsolation(t *testing.T) {
	c := newCluster(t, 3, 1)
	oldLeader := c.waitLeader()
	c.submit("i3", api.Submission{ChangeID: "doc", Config: document()})
	c.isolate(oldLeader, false)
	isolated := c.submitInBackground(oldLeader, api.Submission{ChangeID: "isolated", BaseRevision: 1, DataCentre: "b", Out: true})
	r := c.running(oldLeader).control.replica
	// No tick may pass here: the call comes from another goroutine, and after 20 ticks
	// without a quorum the old leader would step down and refuse it.
	c.drainUntil("proposal without a quorum", func() bool { return len(r.pendingByIndex) > 0 })
	c.pumpUntil("another leader", func() bool { return c.leader() != "" && c.running(oldLeader).control.Status().Role != "leader" })
	c.is.Equal(len(r.pendingByIndex), 0) // the call is retried at another replica
	for i := range 20 {
		c.submit("i3", api.Submission{ChangeID: fmt.Sprint(i), BaseRevision: uint64(i + 1), DataCentre: "a", Out: i%2 == 0})
	}
	l := c.leader()
	r = c.running(l).control.replica
	r.bytesSinceSnapshot, r.retainBytes = 1<<30, 0
	c.is.NoErr(r.compactIfDue())
	for range 500 {
		c.pump()
	}
	term := c.running(l).control.Status().Term
	c.isolate(oldLeader, true)
	c.pumpUntil("old leader caught up", func() bool {
		return c.view(oldLeader).Revision == 21 && c.running(oldLeader).control.replica.state.Revision() == 21
	})
	c.is.True(c.running(oldLeader).control.replica.node.SnapshotIndex() > 20) // caught up by snapshot
	c.is.Equal(c.leader(), l)
	c.is.Equal(c.running(l).control.Status().Term, term)
	c.is.Equal(c.await(isolated), api.SubmitResult{ConflictingChange: "0", Revision: 2}) // another change was accepted first
}

// TestDisksLost guards against a group that does not replace the replica of a lost disk,
// or that does not survive the loss of the next disk after that.
func TestDisksLost(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitLeader()
	c.submit("i3", api.Submission{ChangeID: "doc", Config: document()})
	for round, name := range []string{"i2", "i0", "i1"} {
		old := c.running(name).control.replica.id
		c.stop(name)
		c.is.NoErr(os.RemoveAll(filepath.Join(c.dir, name)))
		c.start(name)
		id := c.running(name).control.replica.id
		c.is.True(id != old)
		c.pumpUntil("replacement", func() bool {
			l := c.leader()
			if l == "" {
				return false
			}
			m := c.running(l).control.replica.node.Members()
			return m.Voter(id) && !m.Has(old) && len(m.Voters) == 3
		})
		r := c.submit("i3", api.Submission{ChangeID: fmt.Sprint(round), BaseRevision: uint64(round + 1), DataCentre: "a", Out: round%2 == 0})
		c.is.Equal(r, api.SubmitResult{Revision: uint64(round + 2)})
	}
	c.restartAll()
	c.pumpUntil("view after restart", func() bool { return c.countInstancesAt(4) == 4 })
}

// TestDiskLostTwice guards against learners that accumulate when a disk is lost again before its replica
// is promoted, and against a request to join that has to be sent again because the leader has not
// committed an entry of its term yet.
func TestDiskLostTwice(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.waitLeader()
	c.pumpUntil("two followers", func() bool { return c.countReplicasInGroup() == 3 })
	victim := "i2"
	if c.leader() == victim {
		victim = "i1"
	}
	members := func() consensus.Membership { return c.running(c.leader()).control.replica.node.Members() }
	r := c.running(c.leader()).control.replica
	r.join(joinParams{Identity: "first", Instance: victim}, func(callResult) {}) // the replica whose disk is lost next
	c.pumpUntil("learner", func() bool { return len(members().Learners) == 1 })
	c.stop(victim)
	c.is.NoErr(os.RemoveAll(filepath.Join(c.dir, victim)))
	c.start(victim)
	id := c.running(victim).control.replica.id
	c.pumpUntil("replacement", func() bool { return c.leader() != "" && members().Voter(id) })
	c.is.Equal(len(members().Voters), 3)
	c.is.Equal(len(members().Learners), 0)
}

// allReplicasAt reports whether every replica has applied at least a revision.
func (c *cluster) allReplicasAt(revision uint64) bool {
	for _, name := range c.names[:c.disks] {
		if c.running(name).control.replica.state.Revision() < revision {
			return false
		}
	}
	return true
}

// countReplicasInGroup counts the replicas that have received the log of a group.
func (c *cluster) countReplicasInGroup() (n int) {
	for _, name := range c.names {
		if !c.running(name).control.replica.node.HasNoLog() {
			n++
		}
	}
	return n
}

// TestDisksAdded guards against instances that get a disk later and do not become voters.
func TestDisksAdded(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.waitLeader()
	c.submit("i2", api.Submission{ChangeID: "doc", Config: document()})
	for _, name := range c.names {
		c.stop(name)
	}
	c.disks = 3
	for _, name := range c.names {
		c.start(name)
	}
	c.pumpUntil("three voters", func() bool {
		l := c.leader()
		return l != "" && len(c.running(l).control.replica.node.Members().Voters) == 3
	})
	c.stop("i0")
	c.is.Equal(c.submit("i2", api.Submission{ChangeID: "out", BaseRevision: 1, DataCentre: "a", Out: true}), api.SubmitResult{Revision: 2})
}

// TestLargeDocument guards against a document of the largest planned size that cannot be
// replicated, or whose snapshot does not reach a new replica.
func TestLargeDocument(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.waitLeader()
	doc := document()
	doc.Workspaces, doc.Targets = nil, nil
	for i := range 4300 {
		doc.Workspaces = append(doc.Workspaces, fleetconfig.Workspace{Name: fmt.Sprint("w", i), Weight: 1, KeyHashes: []string{fmt.Sprintf("%064x", i)}})
	}
	for i := range 12000 {
		doc.Targets = append(doc.Targets, fleetconfig.Target{Name: fmt.Sprint("t", i), Pool: "p", DataCentre: "ab"[i%2 : i%2+1],
			Address: fmt.Sprintf("10.%d.%d.%d:80", i/62500, i/250%250, i%250), WarmCapacity: 2, ColdCapacity: 1})
	}
	c.is.Equal(c.submit("i0", api.Submission{ChangeID: "doc", Config: doc}), api.SubmitResult{Revision: 1})
	c.pumpUntil("document at every replica", func() bool { return c.allReplicasAt(1) })
	for _, name := range c.names {
		r := c.running(name).control.replica
		r.bytesSinceSnapshot, r.retainBytes = 1<<30, 0
		c.is.NoErr(r.compactIfDue())
		c.is.True(r.lastSnapshotBytes > snapshotChunkBytes) // sent in several chunks
	}
	lost := "i2"
	if c.leader() == lost {
		lost = "i1"
	}
	c.stop(lost)
	c.is.NoErr(os.RemoveAll(filepath.Join(c.dir, lost)))
	c.start(lost)
	c.pumpUntil("document at the new replica", func() bool { return c.running(lost).control.replica.state.Revision() == 1 })
	c.is.Equal(len(c.view(lost).Config.Targets), 12000)
}

// TestOldDiskReturns guards against a replica that does not rejoin the group when its
// instance restarts with an old disk whose identity was removed.
func TestOldDiskReturns(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.waitLeader()
	c.submit("i0", api.Submission{ChangeID: "doc", Config: document()})
	dir, kept := filepath.Join(c.dir, "i1"), filepath.Join(c.dir, "kept")
	id := c.running("i1").control.replica.id
	voter := func(id string) bool {
		l := c.leader()
		return l != "" && c.running(l).control.replica.node.Members().Voter(id)
	}
	c.stop("i1")
	c.is.NoErr(os.Rename(dir, kept))
	c.start("i1")
	c.pumpUntil("replacement", func() bool { return voter(c.running("i1").control.replica.id) && !voter(id) })
	c.stop("i1")
	c.is.NoErr(os.RemoveAll(dir))
	c.is.NoErr(os.Rename(kept, dir))
	c.start("i1")
	c.pumpUntil("old identity is a voter again", func() bool { return voter(id) })
}

// TestBootstrapWaits guards against bootstrapping a second group: while a disk instance
// is unreachable, or after all disks of an existing group were lost.
func TestBootstrapWaits(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.isolate("i2", false)
	for range 10 {
		c.joinAll()
	}
	c.is.Equal(c.leader(), "")
	c.isolate("i2", true)
	c.waitLeader()
	c.submit("i3", api.Submission{ChangeID: "doc", Config: document()})
	c.pumpUntil("view everywhere", func() bool { return c.countInstancesAt(1) == 4 })
	for _, name := range c.names[:3] {
		c.stop(name)
		c.is.NoErr(os.RemoveAll(filepath.Join(c.dir, name)))
		c.start(name)
	}
	for range 10 {
		c.joinAll() // i3 still has revision 1
	}
	c.is.Equal(c.leader(), "")
}

// TestClaimsSurviveLeaderChange guards against a keyed request that runs twice, and an
// order epoch that repeats, after a change of leader or a restart of all instances.
func TestClaimsSurviveLeaderChange(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.waitLeader()
	key := api.ClaimKey{Workspace: "w", Pool: "p", Key: "k"}
	claim := func(holder string) (r api.ClaimResult) {
		c.call("i3", func(ctx context.Context, ctl *Control) (err error) {
			r, err = ctl.Claim(ctx, key, holder)
			return err
		})
		return r
	}
	c.is.Equal(claim("h1").State, api.ClaimNew)
	c.stop(l)
	c.is.Equal(claim("h2").State, api.ClaimRunning)
	c.start(l)
	c.call("i3", func(ctx context.Context, ctl *Control) error {
		return ctl.SettleClaim(ctx, key, "h1", &api.ClaimOutcome{Status: 201, Body: []byte("made")})
	})
	c.restartAll()
	r := claim("h3")
	c.is.Equal(r.State, api.ClaimDone)
	c.is.Equal(r.Outcome, &api.ClaimOutcome{Status: 201, Body: []byte("made")})
	var epochs [2]uint64
	for i := range epochs {
		c.call("i3", func(ctx context.Context, ctl *Control) (err error) {
			epochs[i], err = ctl.NewOrderToken(ctx, "p")
			return err
		})
		c.restartAll()
	}
	c.is.Equal(epochs, [2]uint64{1, 2})
}

// TestNoQuorum guards against a claim or read that succeeds without a quorum, and against
// a call that does not end with its context.
func TestNoQuorum(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.waitLeader()
	c.stop("i0")
	c.stop("i1")
	c.pumpDuring(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := c.running("i3").control.Claim(ctx, api.ClaimKey{Key: "k"}, "h")
		c.is.True(err != nil)
		_, err = c.running("i3").control.ReadRevision(ctx)
		c.is.True(err != nil)
	})
}

// TestPlannedMoves guards against steps of a planned move that are not made when due, or
// that are made twice after a change of leader.
func TestPlannedMoves(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.waitLeader()
	doc := document()
	doc.Moves = []fleetconfig.Move{{
		Name: "m", DataCentre: "a",
		OutAt: c.wallTime.Add(time.Hour).Format(time.RFC3339), BackAt: c.wallTime.Add(2 * time.Hour).Format(time.RFC3339),
	}}
	c.submit("i3", api.Submission{ChangeID: "doc", Config: doc})
	c.advanceWallClock(time.Hour)
	c.pumpUntil("out", func() bool { return c.countInstancesAt(2) == 4 })
	c.is.Equal(c.view("i3").DataCentresOut, map[string]bool{"a": true})
	c.stop(l)
	c.advanceWallClock(time.Hour)
	c.pumpUntil("back", func() bool { return c.countInstancesAt(3) == 3 })
	c.start(l)
	c.pumpUntil("back at the old leader", func() bool { return c.countInstancesAt(3) == 4 })
	c.is.Equal(len(c.view(l).DataCentresOut), 0)
	for range 50 {
		c.pump()
	}
	c.is.Equal(c.view("i3").Revision, uint64(3))
}

// TestDrainTransfersLeadership guards against a planned stop that leaves the group without
// a leader.
func TestDrainTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3, 0)
	l := c.waitLeader()
	c.pumpDuring(func() { c.is.NoErr(c.running(l).control.Drain(context.Background())) })
	c.pumpUntil("the new leader", func() bool { return c.leader() != "" && c.leader() != l }) // the old leader still runs
}

// TestDamagedDisk guards against a start from a damaged log, which would lose entries.
func TestDamagedDisk(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.waitLeader()
	c.submit("i0", api.Submission{ChangeID: "doc", Config: document()})
	c.stop("i0")
	path := filepath.Join(c.dir, "i0", logFolderName, "log")
	raw, err := os.ReadFile(path)
	c.is.NoErr(err)
	raw[len(raw)/2] ^= 1
	c.is.NoErr(os.WriteFile(path, raw, 0o600))
	ctl := &Control{}
	err = ctl.Provision(c.context("i0", &instance{cluster: c, name: "i0", handlers: map[string]api.Handler{}}))
	c.is.True(err != nil)
}

// TestMalformedMessages guards against malformed messages that stop an instance.
func TestMalformedMessages(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.waitLeader()
	for _, name := range c.names {
		for method, h := range c.running(name).handlers {
			for _, params := range []string{``, `{`, `"%%"`, `"AAAA"`, `[]`} {
				c.pumpDuring(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
					defer cancel()
					res, err := h(ctx, "i1", json.RawMessage(params))
					r, ok := res.(reply)
					is.True(err != nil || !ok || r.Error != "" || r.Retry || method == methodRead || method == methodHistory || method == methodView || method == methodAccounts)
				})
			}
		}
	}
	is.Equal(c.submit("i1", api.Submission{ChangeID: "doc", Config: document()}), api.SubmitResult{Revision: 1})
}

func (c *cluster) advanceWallClock(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallTime = c.wallTime.Add(d)
}

// submitWithoutPump submits a change through an instance; the caller or another
// goroutine must call pump.
func (c *cluster) submitWithoutPump(at string, s api.Submission) api.SubmitResult {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := c.running(at).control.Submit(ctx, s)
	if err != nil {
		c.t.Error(err)
	}
	return r
}

func (c *cluster) submitInBackground(at string, s api.Submission) chan api.SubmitResult {
	done := make(chan api.SubmitResult, 1)
	go func() { done <- c.submitWithoutPump(at, s) }()
	return done
}

func (c *cluster) await(done chan api.SubmitResult) (r api.SubmitResult) {
	c.pumpDuring(func() { r = <-done })
	return r
}

// call runs a call on an instance while pump drives the replicas, and fails the test on
// an error.
func (c *cluster) call(at string, f func(context.Context, *Control) error) {
	c.t.Helper()
	var err error
	ctl := c.running(at).control
	c.pumpDuring(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		err = f(ctx, ctl)
	})
	c.is.NoErr(err)
}

func (c *cluster) history(at string) (out []api.HistoryEntry) {
	c.call(at, func(ctx context.Context, ctl *Control) (err error) {
		out, err = ctl.History(ctx, 0)
		return err
	})
	return out
}
