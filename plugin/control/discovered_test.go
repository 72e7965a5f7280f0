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

// topology stands in for the members plug-in: an instance knows those that run and
// that it reaches.
type topology struct{ *instance }

func (t topology) Controls() []string {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	var out []string
	for _, n := range t.cluster.names {
		if t.cluster.nodes[n] != nil && !t.cluster.cut[[2]string{t.name, n}] {
			out = append(out, n)
		}
	}
	return out
}

func (t topology) Leader() (string, uint64)      { return "", 0 }
func (t topology) Entries() int                  { return 0 }
func (t topology) OnLeader(func(string, uint64)) {}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7400", i+1) }

// newFleet starts control instances that find each other through the first three.
func newFleet(t *testing.T, n, losses int) *cluster {
	c := &cluster{
		t: t, is: is.New(t), dir: t.TempDir(), disks: n, losses: losses,
		cut: map[[2]string]bool{}, nodes: map[string]*instance{}, wall: time.Unix(1_800_000_000, 0),
	}
	for i := range n {
		c.names = append(c.names, address(i))
	}
	for _, name := range c.names {
		c.start(name)
	}
	c.founded = true
	t.Cleanup(func() {
		for _, name := range c.names {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) routedSettings(name string) *settings.Settings {
	s := &settings.Settings{Profile: settings.ProfileRoutes, Instance: "n-" + name, Mesh: name, DataDir: filepath.Join(c.dir, name)}
	s.Routes = settings.Routes{LossesTolerated: c.losses, Bootstrap: !c.founded}
	for i := range min(3, c.disks) {
		s.Routes.Seeds = append(s.Routes.Seeds, fmt.Sprintf("10.0.0.%d:9000", i+1))
	}
	return s
}

// voters waits until a leader has exactly these voters.
func (c *cluster) voters(names ...string) {
	c.t.Helper()
	c.until(fmt.Sprint("voters ", names), func() bool {
		l := c.leader()
		if l == "" {
			return false
		}
		m := c.get(l).control.replica.node.Members()
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
		return c.get(l).control.replica.node.Commit() == c.get(l).control.replica.node.Last()
	})
}

// change submits a document version through an instance, and returns once it is
// accepted.
func (c *cluster) change(at string, version uint64) {
	c.t.Helper()
	r := c.submit(at, api.Submission{ChangeID: fmt.Sprint("v", version), Newest: true, Version: version, Document: fmt.Append(nil, "doc", version)})
	c.is.Equal(r.Error, "")
}

// holds reads the newest document through an instance.
func (c *cluster) holds(at string, version uint64) {
	c.t.Helper()
	var v *api.View
	c.during(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var err error
		v, err = c.get(at).control.ReadView(ctx)
		c.is.NoErr(err)
	})
	c.is.Equal(v.Version, version)
	c.is.Equal(string(v.Document), fmt.Sprint("doc", version))
}

func (c *cluster) wipe(name string) {
	c.stop(name)
	c.is.NoErr(os.RemoveAll(filepath.Join(c.dir, name)))
}

func (c *cluster) follower() string {
	for _, name := range c.names {
		if c.get(name) != nil && name != c.leader() {
			return name
		}
	}
	return ""
}

// Guards against a group that forms only of the seeds, or not at all.
func TestDiscoveredGroup(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5} {
		c := newFleet(t, n, 2)
		c.voters(c.names...)
		c.change(c.names[n-1], 7)
		c.holds(c.names[0], 7)
	}
}

// Guards against an acknowledged change that is lost with two disks, with all other
// instances down at the same moment.
func TestTwoDisksLost(t *testing.T) {
	for round := range 4 {
		c := newFleet(t, 5, 2)
		c.voters(c.names...)
		c.change(c.names[round], 3)
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
		for i := range c.names { // in another order than before
			c.start(c.names[(i+round)%5])
		}
		c.voters(c.names...)
		c.holds(lost[0], 3)
		c.change(lost[1], 4)
		c.holds(c.names[2], 4)
	}
}

// Guards against a group that does not replace an instance which is gone for good,
// or loses what was acknowledged when two more disks are lost after that.
func TestReplaced(t *testing.T) {
	for _, planned := range []bool{false, true} {
		c := newFleet(t, 5, 2)
		c.voters(c.names...)
		c.change(c.names[0], 3)
		gone := c.follower()
		newcomer := address(9)
		c.names, c.disks = append(c.names, newcomer), 6
		if planned { // the newcomer starts first
			c.start(newcomer)
			c.until("six voters", func() bool { return c.leader() != "" && len(c.get(c.leader()).control.Status().Voters) == 6 })
		}
		c.wipe(gone)
		if !planned {
			c.start(newcomer)
		}
		var rest []string
		for _, n := range c.names {
			if n != gone {
				rest = append(rest, n)
			}
		}
		c.voters(rest...)
		c.change(newcomer, 4)
		for _, name := range rest[:2] {
			c.wipe(name)
			c.start(name)
		}
		c.voters(rest...)
		c.holds(newcomer, 4)
	}
}

// Guards against a group that shrinks while instances are only down or cut off for
// a moment.
func TestNotShrunk(t *testing.T) {
	c := newFleet(t, 5, 2)
	c.voters(c.names...)
	c.change(c.names[0], 3)
	l, f := c.leader(), c.follower()
	c.isolate(l, false)
	c.stop(f)
	c.until("another leader", func() bool {
		for _, n := range c.names {
			if n != l && c.get(n) != nil && c.get(n).control.Status().Role == "leader" {
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
	c.voters(c.names...)
	c.holds(f, 3)
}

// Guards against a minority that misses changes and forms a group of its own with
// an instance whose disk is gone: the change would be lost.
func TestMinorityBehind(t *testing.T) {
	c := newFleet(t, 5, 2)
	c.voters(c.names...)
	c.change(c.names[0], 3)
	behind := []string{}
	for _, n := range c.names {
		if n != c.leader() && len(behind) < 2 {
			behind = append(behind, n)
		}
	}
	for _, a := range behind {
		for _, b := range c.names {
			c.setLink(a, b, false)
		}
	}
	c.change(c.leader(), 4)
	var rest []string
	for _, n := range c.names {
		if n != behind[0] && n != behind[1] {
			rest = append(rest, n)
		}
	}
	c.wipe(rest[0])
	c.stop(rest[1])
	c.stop(rest[2])
	for _, a := range behind {
		for _, b := range c.names {
			c.setLink(a, b, true)
		}
	}
	c.start(rest[0])
	for i := range 600 {
		if i%300 == 0 { // a join without a leader takes a second
			c.join()
		}
		c.pump()
		c.is.Equal(c.leader(), "") // three of five, but one of them remembers nothing
	}
	c.start(rest[1])
	c.start(rest[2])
	c.voters(c.names...)
	c.holds(behind[0], 4)
}

// Guards against a disk that refuses writes ending the process, and against an
// acknowledgement from it.
func TestDiskRefuses(t *testing.T) {
	c := newFleet(t, 3, 1)
	c.voters(c.names...)
	c.change(c.names[0], 3)
	l := c.leader()
	r := c.get(l).control.replica
	c.is.NoErr(r.log.Close()) // every write fails from now on
	done := c.background(l, api.Submission{ChangeID: "v4", Newest: true, Version: 4, Document: []byte("doc4")})
	c.until("another leader", func() bool {
		for _, n := range c.names {
			if n != l && c.get(n).control.Status().Role == "leader" {
				return true
			}
		}
		return false
	})
	c.is.Equal(c.await(done).Error, "") // accepted by the new leader
	c.is.True(r.failed)
	log, st, err := wal.Open(filepath.Join(c.dir, l, folder))
	c.is.NoErr(err)
	c.is.NoErr(r.load(log, st))
	c.until("caught up", func() bool { return r.state.View().Version == 4 })
	c.holds(l, 4)
}

// Guards against a change that a higher version has overtaken being refused, or
// put in force.
func TestHighestVersion(t *testing.T) {
	c := newFleet(t, 3, 1)
	c.voters(c.names...)
	c.change(c.names[0], 5)
	c.change(c.names[1], 4)
	c.holds(c.names[2], 5)
	r := c.submit(c.names[1], api.Submission{ChangeID: "other", Newest: true, Version: 5, Document: []byte("other content")})
	c.is.Equal(r.Error, "")
	c.holds(c.names[0], 5)
	out := func(id string, out bool) {
		c.submit(c.names[2], api.Submission{ChangeID: id, Newest: true, DataCentre: "a", Out: out})
	}
	out("1", true)
	out("2", true)
	c.change(c.names[0], 9)
	c.is.True(c.view(c.leader()).Out["a"]) // a newer document leaves it out
	out("3", false)
	c.until("back", func() bool { return !c.view(c.leader()).Out["a"] })
}
