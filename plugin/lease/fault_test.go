package lease

import (
	"bytes"
	"context"
	"nutmegrouter/internal/kernel"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"nutmegrouter/internal/lease"
)

// Guards against goroutines that still run after the duties have ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sentBytes returns the number of bytes that an instance has sent to all peers.
func sentBytes(in *instance) (total int) {
	var buf bytes.Buffer
	in.ctx.Metrics.WritePrometheus(&buf)
	for line := range strings.Lines(buf.String()) {
		if name, value, _ := strings.Cut(strings.TrimSpace(line), " "); strings.HasPrefix(name, "nutmeg_mesh_sent_bytes_total{") {
			n, _ := strconv.Atoi(value)
			total += n
		}
	}
	return total
}

// Guards against idle traffic above 2 KB/s for each instance, with seven instances and
// two pools. The owner of one or both pools sends the most.
func TestIdleTraffic(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7)
	c.setPools("matcher-llm", "counter-api")
	c.awaitLeases()
	owner, _ := c.awaitOwner("matcher-llm")
	c.awaitOwner("counter-api")
	const window = 4 * time.Second
	before, begin := map[string]int{}, time.Now()
	for name, in := range c.instances {
		before[name] = sentBytes(in)
	}
	time.Sleep(window)
	elapsed := time.Since(begin).Seconds()
	for name, in := range c.instances {
		rate := float64(sentBytes(in)-before[name]) / elapsed
		t.Logf("%s (owner %v): %.0f bytes/s sent", name, name == owner, rate)
		is.True(rate < 2000)
	}
}

// Guards against an isolated instance that keeps its lease or its pools, a pool that
// gets no new owner (the requirement is 3 s, which is not checked here), and an instance
// that regains its lease with an old view after the partition heals.
func TestIsolatedOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5)
	c.setPools("p")
	c.awaitLeases()
	old, epoch := c.awaitOwner("p")
	in := c.instances[old]
	c.grid.Isolate(old)
	c.await("end of the lease", func() bool { return !in.runner.Valid() })
	_, held := in.runner.Owns("p")
	is.True(!held)
	name, next := c.awaitOwner("p")
	is.True(name != old && next > epoch)
	c.instances[name].fleet.Install(view(3)) // missed by the isolated instance
	c.await("the view in all others", func() bool {
		for other, x := range c.instances {
			if other != old && x.fleet.View().Revision != 3 {
				return false
			}
		}
		return true
	})
	c.grid.Rejoin(old)
	c.awaitLeases()
	is.Equal(in.fleet.View().Revision, uint64(3)) // no lease without the view
}

// Guards against instances that lose their leases, or the heartbeats of each other,
// because the link between two of them is cut.
func TestRelayedHeartbeats(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.awaitLeases()
	i1, i2 := c.instances["i1"], c.instances["i2"]
	c.grid.Separate("i1", "i2")
	c.await("link down", func() bool { return len(i1.mesh.PeersWithoutLink()) == 1 && len(i2.mesh.PeersWithoutLink()) == 1 })
	c.await("relay", func() bool { return i1.mesh.Reachable("i2") && i2.mesh.Reachable("i1") })
	i1.fleet.Install(view(5))
	c.await("revision through the relay", func() bool { return i1.runner.PeerRevision("i2") == 5 })
	for _, in := range c.instances {
		is.True(in.runner.Valid())
	}
	c.grid.Link("i1", "i2").Heal()
	c.await("direct link", func() bool { return len(i1.mesh.PeersWithoutLink()) == 0 })
}

// Guards against a planned stop after which the pools have no owner until the votes
// expire, and against a resigned instance that seeks a pool again.
func TestResign(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5)
	c.setPools("p", "q")
	c.awaitLeases()
	c.awaitOwner("q")
	old, epoch := c.awaitOwner("p")
	in := c.instances[old]
	changes := make(chan struct{}, 100)
	in.runner.OnChange(func() { kernel.Signal(changes) })
	begin := time.Now()
	is.NoErr(in.runner.Resign(context.Background()))
	name, next := c.owner("p")
	t.Logf("handed over after %s", time.Since(begin))
	is.True(name != "" && name != old && next > epoch) // Resign returns after the successor has taken over
	is.True(len(changes) > 0)                          // listeners were called
	c.await("successor known", func() bool { n, e, ok := in.runner.Owner("p"); return ok && n == name && e == next })
	in.runner.SeekOwnership([]string{"p", "q"})
	c.stop(name)
	next2, _ := c.awaitOwner("p")
	is.True(next2 != old && next2 != name)
}

// Guards against a restarted instance that counts as a witness too early, before its
// grants have expired and its view is current, and against one that never does.
func TestRestartedWitness(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.awaitLeases()
	c.quorum.revision.Store(9) // the quorum has accepted revision 9, which no instance has yet
	c.stop("i2")               // i3 alone is no majority of witnesses
	c.stop("i1")
	in := c.start("i1")
	c.await("link", func() bool { return in.mesh.Reachable("i3") })
	is.True(!in.runner.isWitness())
	time.Sleep(lease.RestartAbstention + lease.HeartbeatInterval)
	is.True(!in.runner.isWitness()) // its view is behind the confirmed revision
	in.fleet.Install(view(9))
	c.await("witness", in.runner.isWitness)
	c.awaitLeases() // i1 and i3 are a majority again
}
