package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// simTick is the interval at which a simulated instance runs.
const simTick = 25 * time.Millisecond

// event is an action scheduled at a simulated real time.
type event struct {
	at     time.Duration
	action func()
}

// simNode is an instance with a drifting clock.
type simNode struct {
	*Node
	name          string
	clockRate     float64 // clock time per real time
	boot          uint64
	frozenUntil   time.Duration // simulated real time
	nextHeartbeat time.Duration // on the node's clock
	readPending   bool          // a read from the control quorum is in progress
}

// sim runs nodes over a network with faults. Its own clock is simulated real time.
type sim struct {
	now           time.Duration
	queue         []event // sorted by time
	rand          *rand.Rand
	names         []string
	pools         []string
	nodes         map[string]*simNode
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration
	blockedLinks  map[[2]string]bool // by sender and receiver
	restarts      int
	faultsEnded   bool

	committedRevision uint64
	acceptedRevision  uint64
	acceptedAt        map[uint64]time.Duration // by revision

	epochOwners map[string]map[uint64]string // by pool and epoch
	leaseTime   time.Duration                // time with a valid lease, summed over instances
	heldTime    time.Duration                // time of ownership, summed over pools
	lastCheck   time.Duration
	violation   string // the last invariant violation found, or ""
}

// newSim returns a simulation with one booted node for each clock rate, named n0,
// n1 and so on. All nodes seek the pools.
func newSim(seed uint64, rates []float64, pools ...string) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{}, pools: pools,
		blockedLinks: map[[2]string]bool{}, acceptedAt: map[uint64]time.Duration{0: 0}, epochOwners: map[string]map[uint64]string{},
		maxDelay: 5 * time.Millisecond,
	}
	for i := range rates {
		s.names = append(s.names, fmt.Sprintf("n%d", i))
	}
	for i, name := range s.names {
		s.nodes[name] = &simNode{name: name, clockRate: rates[i]}
		s.boot(name)
		s.after(time.Duration(s.rand.Int64N(int64(simTick))), func() { s.runInstance(name) })
	}
	return s
}

// after schedules an action after a simulated delay.
func (s *sim) after(d time.Duration, action func()) {
	at := s.now + d
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > at })
	s.queue = slices.Insert(s.queue, i, event{at, action})
}

// clock returns the reading of the node's clock. The clock starts far from zero and
// advances while the node is frozen.
func (s *sim) clock(n *simNode) time.Duration {
	return time.Hour + time.Duration(float64(s.now)*n.clockRate)
}

// boot starts or restarts a node without memory of an earlier boot.
func (s *sim) boot(name string) {
	n := s.nodes[name]
	n.boot++
	n.readPending, n.frozenUntil, n.nextHeartbeat = false, 0, 0
	n.Node = New(Config{Self: name, Instances: s.names, Boot: n.boot, Start: s.clock(n)})
	n.SetPools(s.clock(n), s.pools)
}

// whenRunning runs f on the node as soon as it is not frozen. It drops f if the
// node has restarted since the given boot.
func (s *sim) whenRunning(name string, boot uint64, f func(n *simNode)) {
	n := s.nodes[name]
	if n.boot != boot {
		return
	}
	if s.now < n.frozenUntil {
		s.after(n.frozenUntil-s.now, func() { s.whenRunning(name, boot, f) })
		return
	}
	f(n)
}

// runInstance runs one iteration of a node's loop and schedules the next one.
func (s *sim) runInstance(name string) {
	n := s.nodes[name]
	s.after(simTick, func() { s.runInstance(name) })
	if s.now < n.frozenUntil {
		return
	}
	s.step(n)
	s.readFromQuorum(n)
	if ahead := n.PeersAhead(); len(ahead) > 0 {
		s.fetch(n, ahead[0])
	}
}

// step calls Tick and sends a heartbeat if one is due.
func (s *sim) step(n *simNode) {
	now := s.clock(n)
	if !n.Tick(now) && now < n.nextHeartbeat {
		return
	}
	n.nextHeartbeat = now + HeartbeatInterval
	h := n.NextHeartbeat(now)
	boot := n.boot
	for _, to := range s.names {
		if to == n.name {
			continue
		}
		s.send(n.name, to, func(p *simNode) {
			reply := p.HandleHeartbeat(s.clock(p), n.name, h)
			reply.Seq = h.Seq
			s.send(p.name, n.name, func(q *simNode) {
				if q.boot == boot {
					q.HandleReply(s.clock(q), p.name, reply)
					s.step(q)
				}
			})
			s.step(p)
		})
	}
}

// send delivers a message zero, one or two times, each after a random delay.
func (s *sim) send(from, to string, f func(n *simNode)) {
	copies := 1
	if s.rand.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		if s.blockedLinks[[2]string{from, to}] || s.rand.Float64() < s.lossRate {
			continue
		}
		s.after(time.Duration(s.rand.Int64N(int64(s.maxDelay))), func() { s.whenRunning(to, s.nodes[to].boot, f) })
	}
}

// readFromQuorum simulates a read confirmed by the control quorum.
func (s *sim) readFromQuorum(n *simNode) {
	now := s.clock(n)
	if n.readPending || n.IsWitness(now) {
		return
	}
	n.readPending = true
	s.after(s.maxDelay, func() {
		revision := s.acceptedRevision
		s.after(s.maxDelay, func() {
			s.whenRunning(n.name, n.boot, func(n *simNode) {
				n.readPending = false
				n.ConfirmRevision(s.clock(n), now, revision)
			})
		})
	})
}

// fetch copies the view revision of a peer to the node.
func (s *sim) fetch(n *simNode, from string) {
	boot := n.boot
	s.send(n.name, from, func(p *simNode) {
		revision := p.revision
		s.send(from, n.name, func(q *simNode) {
			if q.boot == boot {
				q.SetRevision(s.clock(q), revision)
			}
		})
	})
}

// install sets the committed revision on a node, as a control replica does.
func (s *sim) install(n *simNode) {
	s.whenRunning(n.name, n.boot, func(n *simNode) { n.SetRevision(s.clock(n), s.committedRevision) })
}

// accept simulates the control leader on a running node: it accepts the committed
// revision once a majority reports it. Only the leader of a term may do so.
func (s *sim) accept(n *simNode) {
	if s.now < n.frozenUntil {
		return
	}
	var count int
	for _, name := range s.names {
		if n.PeerRevision(s.clock(n), name) >= s.committedRevision {
			count++
		}
	}
	if count >= n.majority && s.acceptedRevision < s.committedRevision {
		s.acceptedRevision = s.committedRevision
		s.acceptedAt[s.acceptedRevision] = s.now
	}
}

// runUntil runs the events up to the given time and checks the invariants before
// and after each.
func (s *sim) runUntil(end time.Duration) {
	for s.violation == "" && len(s.queue) > 0 && s.queue[0].at <= end {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		s.checkInvariants() // a lease can exceed its limit only between events
		e.action()
		s.checkInvariants()
	}
	s.now = end
}

// checkInvariants records a violation if a pool has two owners, an epoch was used by
// two owners, or a node has a lease with an outdated view.
func (s *sim) checkInvariants() {
	step := s.now - s.lastCheck
	s.lastCheck = s.now
	holders := map[string]string{}
	for _, name := range s.names {
		n := s.nodes[name]
		now := s.clock(n)
		if n.LeaseValid(now) {
			s.leaseTime += step
			s.checkRevision(n)
		}
		for _, pool := range s.pools {
			epoch, ok := n.Holds(now, pool)
			if !ok {
				continue
			}
			s.heldTime += step
			if other := holders[pool]; other != "" {
				s.violation = fmt.Sprintf("%s: %s and %s both own %s", s.now, other, name, pool)
			}
			holders[pool] = name
			s.checkEpoch(n, pool, epoch)
		}
	}
}

// checkRevision checks that a node with a lease has every revision accepted more than
// LeaseTime ago.
func (s *sim) checkRevision(n *simNode) {
	for r, at := range s.acceptedAt {
		if r > n.revision && s.now > at+LeaseTime {
			s.violation = fmt.Sprintf("%s: %s has a lease with revision %d, %d was accepted at %s", s.now, n.name, n.revision, r, at)
		}
	}
}

// checkEpoch checks that an epoch has one owner. Restarts can erase the memory of a
// majority of witnesses, so reuse is no violation once a node has restarted.
func (s *sim) checkEpoch(n *simNode, pool string, epoch uint64) {
	if s.epochOwners[pool] == nil {
		s.epochOwners[pool] = map[uint64]string{}
	}
	owner := fmt.Sprintf("%s boot %d", n.name, n.boot)
	if old := s.epochOwners[pool][epoch]; old != "" && old != owner && s.restarts == 0 {
		s.violation = fmt.Sprintf("%s: epoch %d of %s owned by %s and %s", s.now, epoch, pool, old, owner)
	}
	s.epochOwners[pool][epoch] = owner
}
