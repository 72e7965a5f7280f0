package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/settings"
	"nutmegrouter/internal/wal"
)

// topology is a fake of the members plug-in: it lists the running instances that this
// one can reach.
type topology struct{ *instance }

func (t topology) ControlInstances() []string {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	var out []string
	for _, n := range t.cluster.names {
		if t.cluster.instances[n] != nil && !t.cluster.brokenLinks[[2]string{t.name, n}] {
			out = append(out, n)
		}
	}
	return out
}

func (t topology) Leader() (string, uint64)      { return "", 0 }
func (t topology) EntryCount() int               { return 0 }
func (t topology) OnLeader(func(string, uint64)) {}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7400", i+1) }

// newDiscoveredCluster starts n control instances that discover each other; the first
// three are the seeds.
func newDiscoveredCluster(t *testing.T, n, lossesTolerated int) *cluster {
	c := &cluster{
		t: t, is: is.New(t), dir: t.TempDir(), disks: n, lossesTolerated: lossesTolerated,
		brokenLinks: map[[2]string]bool{}, instances: map[string]*instance{}, wallTime: time.Unix(1_800_000_000, 0),
	}
	for i := range n {
		c.names = append(c.names, address(i))
	}
	for _, name := range c.names {
		c.start(name)
	}
	c.bootstrapped = true
	t.Cleanup(func() {
		for _, name := range c.names {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) routedSettings(name string) *settings.Settings {
	s := &settings.Settings{Profile: settings.ProfileRoutes, Instance: "n-" + name, Mesh: name, DataDir: filepath.Join(c.dir, name)}
	s.Routes = settings.Routes{LossesTolerated: c.lossesTolerated, Bootstrap: !c.bootstrapped}
	for i := range min(3, c.disks) {
		s.Routes.Seeds = append(s.Routes.Seeds, fmt.Sprintf("10.0.0.%d:9000", i+1))
	}
	return s
}

// waitVoters waits until a leader has exactly these voters and has committed its log.
func (c *cluster) waitVoters(names ...string) {
	c.t.Helper()
	c.pumpUntil(fmt.Sprint("voters ", names), func() bool {
		l := c.leader()
		if l == "" {
			return false
		}
		m := c.running(l).control.replica.node.Members()
		if len(m.Voters) != len(names) {
			return false
		}
		for _, n := range names {
			found := false
			for _, v := range m.Voters {
				found = found || v.Instance == n
			}
			if !found {
				return false
			}
		}
		return c.running(l).control.replica.node.CommitIndex() == c.running(l).control.replica.node.LastIndex()
	})
}

// submitVersion submits a version of the document through an instance and waits until it
// is accepted.
func (c *cluster) submitVersion(at string, version uint64) {
	c.t.Helper()
	r := c.submit(at, api.Submission{ChangeID: fmt.Sprint("v", version), OnNewestRevision: true, Version: version, Document: fmt.Append(nil, "doc", version)})
	c.is.Equal(r.Error, "")
}

// expectVersion checks the version and content of the document that an instance reads.
func (c *cluster) expectVersion(at string, version uint64) {
	c.t.Helper()
	var v *api.View
	c.pumpDuring(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var err error
		v, err = c.running(at).control.ReadView(ctx)
		c.is.NoErr(err)
	})
	c.is.Equal(v.Version, version)
	c.is.Equal(string(v.Document), fmt.Sprint("doc", version))
}

// wipe kills an instance and deletes its disk.
func (c *cluster) wipe(name string) {
	c.stop(name)
	c.is.NoErr(os.RemoveAll(filepath.Join(c.dir, name)))
}

func (c *cluster) follower() string {
	for _, name := range c.names {
		if c.running(name) != nil && name != c.leader() {
			return name
		}
	}
	return ""
}

// TestDiscoveredGroup guards against a group that does not form, or that only the seeds
// join.
func TestDiscoveredGroup(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5} {
		c := newDiscoveredCluster(t, n, 2)
		c.waitVoters(c.names...)
		c.submitVersion(c.names[n-1], 7)
		c.expectVersion(c.names[0], 7)
	}
}

// TestTwoDisksLost guards against losing an acknowledged change when all instances stop
// at once and two of five disks are lost.
func TestTwoDisksLost(t *testing.T) {
	for round := range 4 {
		c := newDiscoveredCluster(t, 5, 2)
		c.waitVoters(c.names...)
		c.submitVersion(c.names[round], 3)
		lost := []string{c.leader(), c.follower()}
		if round%2 == 1 {
			lost = []string{c.names[3], c.names[4]}
		}
		for _, name := range c.names {
			c.stop(name)
		}
		for _, name := range lost {
			c.is.NoErr(os.RemoveAll(filepath.Join(c.dir, name)))
		}
		for i := range c.names { // in another order in each round
			c.start(c.names[(i+round)%5])
		}
		c.waitVoters(c.names...)
		c.expectVersion(lost[0], 3)
		c.submitVersion(lost[1], 4)
		c.expectVersion(c.names[2], 4)
	}
}

// TestVoterReplaced guards against a group that does not replace a permanently lost voter,
// or that loses acknowledged changes when two more disks are lost afterwards.
func TestVoterReplaced(t *testing.T) {
	for _, planned := range []bool{false, true} {
		c := newDiscoveredCluster(t, 5, 2)
		c.waitVoters(c.names...)
		c.submitVersion(c.names[0], 3)
		removed := c.follower()
		added := address(9)
		c.names, c.disks = append(c.names, added), 6
		if planned { // the new instance joins before the old one is removed
			c.start(added)
			c.pumpUntil("six voters", func() bool { return c.leader() != "" && len(c.running(c.leader()).control.Status().Voters) == 6 })
		}
		c.wipe(removed)
		if !planned {
			c.start(added)
		}
		var remaining []string
		for _, n := range c.names {
			if n != removed {
				remaining = append(remaining, n)
			}
		}
		c.waitVoters(remaining...)
		c.submitVersion(added, 4)
		for _, name := range remaining[:2] {
			c.wipe(name)
			c.start(name)
		}
		c.waitVoters(remaining...)
		c.expectVersion(added, 4)
	}
}

// TestVotersKeptDuringOutage guards against a group that removes voters while instances
// are only temporarily down or isolated.
func TestVotersKeptDuringOutage(t *testing.T) {
	c := newDiscoveredCluster(t, 5, 2)
	c.waitVoters(c.names...)
	c.submitVersion(c.names[0], 3)
	l, f := c.leader(), c.follower()
	c.isolate(l, false)
	c.stop(f)
	c.pumpUntil("another leader", func() bool {
		for _, n := range c.names {
			if n != l && c.running(n) != nil && c.running(n).control.Status().Role == "leader" {
				return true
			}
		}
		return false
	})
	for range 400 {
		c.pump()
	}
	c.isolate(l, true)
	c.start(f)
	c.waitVoters(c.names...)
	c.expectVersion(f, 3)
}

// TestStaleMinority guards against a minority that missed a change and elects a leader
// together with an instance whose disk was lost: the change would be lost.
func TestStaleMinority(t *testing.T) {
	c := newDiscoveredCluster(t, 5, 2)
	c.waitVoters(c.names...)
	c.submitVersion(c.names[0], 3)
	stale := []string{}
	for _, n := range c.names {
		if n != c.leader() && len(stale) < 2 {
			stale = append(stale, n)
		}
	}
	for _, a := range stale {
		for _, b := range c.names {
			c.setLink(a, b, false)
		}
	}
	c.submitVersion(c.leader(), 4)
	var upToDate []string
	for _, n := range c.names {
		if n != stale[0] && n != stale[1] {
			upToDate = append(upToDate, n)
		}
	}
	c.wipe(upToDate[0])
	c.stop(upToDate[1])
	c.stop(upToDate[2])
	for _, a := range stale {
		for _, b := range c.names {
			c.setLink(a, b, true)
		}
	}
	c.start(upToDate[0])
	for i := range 600 {
		if i%300 == 0 { // a request to join takes 1 s without a leader
			c.joinAll()
		}
		c.pump()
		c.is.Equal(c.leader(), "") // three of five run, but one has lost its disk
	}
	c.start(upToDate[1])
	c.start(upToDate[2])
	c.waitVoters(c.names...)
	c.expectVersion(stale[0], 4)
}

// TestDiskWriteFails guards against a failed write that ends the process, and against
// acknowledgements from the replica with the failed disk.
func TestDiskWriteFails(t *testing.T) {
	c := newDiscoveredCluster(t, 3, 1)
	c.waitVoters(c.names...)
	c.submitVersion(c.names[0], 3)
	l := c.leader()
	r := c.running(l).control.replica
	c.is.NoErr(r.log.Close()) // every write fails from now on
	done := c.submitInBackground(l, api.Submission{ChangeID: "v4", OnNewestRevision: true, Version: 4, Document: []byte("doc4")})
	c.pumpUntil("another leader", func() bool {
		for _, n := range c.names {
			if n != l && c.running(n).control.Status().Role == "leader" {
				return true
			}
		}
		return false
	})
	c.is.Equal(c.await(done).Error, "") // accepted by the new leader
	c.is.True(r.diskFailed)
	log, st, err := wal.Open(filepath.Join(c.dir, l, logFolderName))
	c.is.NoErr(err)
	c.is.NoErr(r.load(log, st))
	c.pumpUntil("caught up", func() bool { return r.state.View().Version == 4 })
	c.expectVersion(l, 4)
}

// TestHighestVersionInForce guards against a change with a lower version than the one in
// force that is refused with an error, or that takes effect.
func TestHighestVersionInForce(t *testing.T) {
	c := newDiscoveredCluster(t, 3, 1)
	c.waitVoters(c.names...)
	c.submitVersion(c.names[0], 5)
	c.submitVersion(c.names[1], 4)
	c.expectVersion(c.names[2], 5)
	r := c.submit(c.names[1], api.Submission{ChangeID: "other", OnNewestRevision: true, Version: 5, Document: []byte("other content")})
	c.is.Equal(r.Error, "")
	c.expectVersion(c.names[0], 5)
	out := func(id string, out bool) {
		c.submit(c.names[2], api.Submission{ChangeID: id, OnNewestRevision: true, DataCentre: "a", Out: out})
	}
	out("1", true)
	out("2", true)
	c.submitVersion(c.names[0], 9)
	c.is.True(c.view(c.leader()).DataCentresOut["a"]) // a newer document does not bring it back
	out("3", false)
	c.pumpUntil("back", func() bool { return !c.view(c.leader()).DataCentresOut["a"] })
}

// Guards against an order to bring a data centre back that is held up on its way to the leader, and
// undoes a later evacuation when it arrives: nothing else has changed, the leader has, or all replicas
// have restarted meanwhile.
func TestDelayedOrderDoesNotUndoLaterOne(t *testing.T) {
	for name, meanwhile := range map[string]func(c *cluster){
		"nothing": func(*cluster) {},
		"another leader": func(c *cluster) {
			old := c.leader()
			c.stop(old)
			c.waitLeader()
			c.start(old)
		},
		"restart": func(c *cluster) {
			for _, n := range c.names {
				c.stop(n)
			}
			for _, n := range c.names {
				c.start(n)
			}
			c.waitLeader()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newDiscoveredCluster(t, 3, 1)
			c.waitVoters(c.names...)
			leader := c.leader()
			var far string
			for _, n := range c.names {
				if n != leader {
					far = n
				}
			}
			order := func(at, id, dataCentre string, out bool) {
				r := c.submit(at, api.Submission{ChangeID: id, OnNewestRevision: true, DataCentre: dataCentre, Out: out})
				c.is.Equal(r, api.SubmitResult{Revision: r.Revision})
			}
			order(leader, "out", "a", true)
			d := c.delay(far, methodSubmit, 1)
			c.pumpDuring(func() {
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, err := c.running(far).control.Submit(ctx, api.Submission{ChangeID: "delayed", OnNewestRevision: true, DataCentre: "a"})
					c.is.True(err != nil)
				}()
				d.sent.Wait()
				cancel()
				<-done
			})
			order(leader, "back", "a", false)
			order(leader, "out again", "a", true)
			meanwhile(c)
			c.pumpUntil("a leader with its log", func() bool {
				l := c.leader()
				return l != "" && c.running(l).control.replica.state.View().DataCentresOut["a"]
			})
			close(d.release)
			c.pumpDuring(d.delivered.Wait)
			order(c.leader(), "barrier", "b", true)
			c.is.True(c.view(c.leader()).DataCentresOut["a"])
			_, known := c.running(c.leader()).control.replica.state.ChangeResult("delayed")
			if name == "nothing" {
				c.is.True(known) // it arrived, and was refused
			}
		})
	}
}
