package lease

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of generated fault sequences unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// drawFault schedules one fault of a random kind, node, start and duration.
func drawFault(t *rapid.T, s *sim, length time.Duration) {
	at := time.Duration(rapid.IntRange(0, int(length/time.Millisecond)).Draw(t, "at_ms")) * time.Millisecond
	name := rapid.SampledFrom(s.names).Draw(t, "node")
	other := rapid.SampledFrom(s.names).Draw(t, "other")
	duration := time.Duration(rapid.IntRange(1, 5000).Draw(t, "for_ms")) * time.Millisecond
	var inject func()
	switch rapid.SampledFrom([]string{"freeze", "restart", "cut", "isolate", "block incoming", "resign", "commit"}).Draw(t, "kind") {
	case "freeze":
		inject = func() { s.nodes[name].frozenUntil = max(s.nodes[name].frozenUntil, s.now+duration) }
	case "restart":
		inject = func() { s.restarts++; s.boot(name) }
	case "cut":
		inject = func() {
			s.setBlocked(name, other, true)
			s.after(duration, func() { s.setBlocked(name, other, false) })
		}
	case "isolate":
		inject = func() { s.isolate(name, true, true); s.after(duration, func() { s.isolate(name, false, true) }) }
	case "block incoming":
		inject = func() { s.isolate(name, true, false); s.after(duration, func() { s.isolate(name, false, false) }) }
	case "resign":
		inject = func() { n := s.nodes[name]; n.Resign(s.clock(n)); s.after(duration, s.restartResigned(name)) }
	case "commit":
		inject = func() { s.commit(name) }
	}
	s.after(at, func() {
		if !s.faultsEnded {
			inject()
		}
	})
}

// checkRecovery ends all faults, runs for the given time and returns what has not
// recovered, or "": an instance without lease or with an old view, or a pool
// without owner.
func (s *sim) checkRecovery(within time.Duration) string {
	s.faultsEnded, s.lossRate, s.duplicateRate, s.maxDelay, s.blockedLinks = true, 0, 0, 5*time.Millisecond, map[[2]string]bool{}
	for _, name := range s.names {
		n := s.nodes[name]
		n.frozenUntil = 0
		if n.resigned {
			s.restarts++
			s.boot(name)
		}
	}
	s.runUntil(s.now + within)
	for _, name := range s.names {
		n := s.nodes[name]
		if !n.LeaseValid(s.clock(n)) {
			return name + " has no lease"
		}
		if n.revision != s.committedRevision {
			return name + " has an old view"
		}
		for _, pool := range s.pools {
			if _, _, ok := n.Owner(s.clock(n), pool); !ok {
				return name + " has no owner for pool " + pool
			}
		}
	}
	return ""
}

// restartResigned returns a function that restarts a node if it has resigned.
func (s *sim) restartResigned(name string) func() {
	return func() {
		if s.nodes[name].resigned {
			s.restarts++
			s.boot(name)
		}
	}
}

// setBlocked blocks or unblocks messages in one direction.
func (s *sim) setBlocked(from, to string, blocked bool) {
	s.blockedLinks[[2]string{from, to}] = blocked
}

// isolate blocks or unblocks the messages to a node, and those from it if both is
// set.
func (s *sim) isolate(name string, blocked, both bool) {
	for _, other := range s.names {
		s.setBlocked(other, name, blocked)
		if both {
			s.setBlocked(name, other, blocked)
		}
	}
}

// commit creates a new committed revision and sets it on one node.
func (s *sim) commit(name string) {
	s.committedRevision++
	s.install(s.nodes[name])
}

// runLeader simulates a control leader that moves to another instance every 3 s and
// from time to time sets the committed revision on a random instance.
func (s *sim) runLeader() {
	s.after(50*time.Millisecond, s.runLeader)
	n := s.nodes[s.names[int(s.now/(3*time.Second))%len(s.names)]]
	s.accept(n)
	if s.rand.IntN(4) == 0 {
		s.install(s.nodes[s.names[s.rand.IntN(len(s.names))]])
	}
}

// Guards against two owners of a pool, an epoch used by two owners, a lease with a
// view superseded more than LeaseTime ago, and a fleet that does not recover once
// the faults end. Messages are lost, delayed, duplicated and reordered, instances
// restart, freeze and are isolated, and clocks drift by 5%.
func TestRandomFaults(t *testing.T) {
	var leased, owned, accepted, restarts int
	rapid.Check(t, func(t *rapid.T) {
		const length = 15 * time.Second
		rates := rapid.SliceOfN(rapid.SampledFrom([]float64{1 - MaxDrift, 1, 1 + MaxDrift}), 3, 7).Draw(t, "rates")
		s := newSim(rapid.Uint64().Draw(t, "seed"), rates, "p", "q")
		s.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		s.duplicateRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "double")
		s.maxDelay = rapid.SampledFrom([]time.Duration{2, 30, 200, 2500}).Draw(t, "delay_ms") * time.Millisecond
		for range rapid.IntRange(0, 20).Draw(t, "faults") {
			drawFault(t, s, length)
		}
		s.runLeader()
		s.runUntil(length)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if unrecovered := s.checkRecovery(10 * time.Second); unrecovered != "" || s.violation != "" {
			t.Fatal("after the faults: ", unrecovered, s.violation)
		}
		leased, owned = leased+int(s.leaseTime/time.Second), owned+int(s.heldTime/time.Second)
		accepted, restarts = accepted+int(s.acceptedRevision), restarts+s.restarts
	})
	t.Logf("seconds leased %d, seconds of ownership %d, accepted revisions %d, restarts %d", leased, owned, accepted, restarts)
	if leased == 0 || owned == 0 || accepted == 0 || restarts == 0 {
		t.Fatal("no lease, ownership, accepted revision or restart in any sequence")
	}
}
