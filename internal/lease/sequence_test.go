package lease

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of generated sequences unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// drawFault schedules one fault of a drawn kind, place and time.
func drawFault(t *rapid.T, s *sim, length time.Duration) {
	at := time.Duration(rapid.IntRange(0, int(length/time.Millisecond)).Draw(t, "at_ms")) * time.Millisecond
	name := rapid.SampledFrom(s.names).Draw(t, "node")
	other := rapid.SampledFrom(s.names).Draw(t, "other")
	long := time.Duration(rapid.IntRange(1, 5000).Draw(t, "for_ms")) * time.Millisecond
	var do func()
	switch rapid.SampledFrom([]string{"freeze", "restart", "cut", "isolate", "deaf", "resign", "commit"}).Draw(t, "kind") {
	case "freeze":
		do = func() { s.nodes[name].frozen = max(s.nodes[name].frozen, s.now+long) }
	case "restart":
		do = func() { s.restarts++; s.boot(name) }
	case "cut":
		do = func() { s.setCut(name, other, true); s.after(long, func() { s.setCut(name, other, false) }) }
	case "isolate":
		do = func() { s.isolate(name, true, true); s.after(long, func() { s.isolate(name, false, true) }) }
	case "deaf":
		do = func() { s.isolate(name, true, false); s.after(long, func() { s.isolate(name, false, false) }) }
	case "resign":
		do = func() { n := s.nodes[name]; n.Resign(s.clock(n)); s.after(long, s.unresign(name)) }
	case "commit":
		do = func() { s.commit(name) }
	}
	s.after(at, func() {
		if !s.calm {
			do()
		}
	})
}

// settle ends all faults and reports whether every instance has a lease and
// every pool an owner some time later.
func (s *sim) settle(within time.Duration) string {
	s.calm, s.loss, s.double, s.delay, s.cut = true, 0, 0, 5*time.Millisecond, map[[2]string]bool{}
	for _, name := range s.names {
		n := s.nodes[name]
		n.frozen = 0
		if n.resigned {
			s.restarts++
			s.boot(name)
		}
	}
	s.runUntil(s.now + within)
	for _, name := range s.names {
		n := s.nodes[name]
		if !n.Valid(s.clock(n)) {
			return name + " has no lease"
		}
		if n.revision != s.committed {
			return name + " has an old view"
		}
		for _, pool := range s.pools {
			if _, _, ok := n.Owner(s.clock(n), pool); !ok {
				return name + " knows no owner of " + pool
			}
		}
	}
	return ""
}

func (s *sim) unresign(name string) func() {
	return func() {
		if s.nodes[name].resigned {
			s.restarts++
			s.boot(name)
		}
	}
}

func (s *sim) setCut(from, to string, cut bool) { s.cut[[2]string{from, to}] = cut }

// isolate cuts what a node receives, and what it sends if both is set.
func (s *sim) isolate(name string, cut, both bool) {
	for _, other := range s.names {
		s.setCut(other, name, cut)
		if both {
			s.setCut(name, other, cut)
		}
	}
}

// commit makes a new revision, known at first to one node.
func (s *sim) commit(name string) {
	s.committed++
	s.install(s.nodes[name])
}

// leader runs a control leader that moves between instances and at times hands
// the committed view to an instance.
func (s *sim) leader() {
	s.after(50*time.Millisecond, s.leader)
	n := s.nodes[s.names[int(s.now/(3*time.Second))%len(s.names)]]
	s.accept(n)
	if s.rand.IntN(4) == 0 {
		s.install(s.nodes[s.names[s.rand.IntN(len(s.names))]])
	}
}

// Guards against two valid owners of a pool, an epoch used by two owners, a lease
// with a view that was superseded more than a lease time ago, and a fleet that
// does not recover once the faults end, whatever messages are lost, delayed, doubled or reordered, and whichever
// instances restart, freeze or are cut off, with clocks that drift by 5%.
func TestSequences(t *testing.T) {
	var leased, held, accepted, resets int
	rapid.Check(t, func(t *rapid.T) {
		const length = 15 * time.Second
		rates := rapid.SliceOfN(rapid.SampledFrom([]float64{1 - MaxDrift, 1, 1 + MaxDrift}), 3, 7).Draw(t, "rates")
		s := newSim(rapid.Uint64().Draw(t, "seed"), rates, "p", "q")
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		s.double = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "double")
		s.delay = rapid.SampledFrom([]time.Duration{2, 30, 200, 2500}).Draw(t, "delay_ms") * time.Millisecond
		for range rapid.IntRange(0, 20).Draw(t, "faults") {
			drawFault(t, s, length)
		}
		s.leader()
		s.runUntil(length)
		if s.fault != "" {
			t.Fatal(s.fault)
		}
		if stuck := s.settle(10 * time.Second); stuck != "" || s.fault != "" {
			t.Fatal("after the faults: ", stuck, s.fault)
		}
		leased, held = leased+int(s.leaseTime/time.Second), held+int(s.heldTime/time.Second)
		accepted, resets = accepted+int(s.accepted), resets+s.restarts
	})
	t.Logf("seconds leased %d, seconds of ownership %d, accepted revisions %d, restarts %d", leased, held, accepted, resets)
	if leased == 0 || held == 0 || accepted == 0 || resets == 0 {
		t.Fatal("the sequences exercised nothing")
	}
}
