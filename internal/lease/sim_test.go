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

// event is something that happens at a moment of real time.
type event struct {
	at time.Duration
	do func()
}

// simNode is an instance with a drifting clock.
type simNode struct {
	*Node
	name     string
	rate     float64 // of its clock against real time
	boot     uint64
	frozen   time.Duration // until
	nextBeat time.Duration // on its clock
	reading  bool          // a read by the control quorum is under way
}

// sim runs nodes over a network with faults. Its clock is real time.
type sim struct {
	now      time.Duration
	queue    []event // by time
	rand     *rand.Rand
	names    []string
	pools    []string
	nodes    map[string]*simNode
	loss     float64
	double   float64
	delay    time.Duration      // longest
	cut      map[[2]string]bool // by from and to
	restarts int
	calm     bool // no further faults

	committed  uint64
	accepted   uint64
	acceptedAt map[uint64]time.Duration

	epochs    map[string]map[uint64]string // pool, epoch: owner
	leaseTime time.Duration                // total time with a valid lease, summed over instances
	heldTime  time.Duration
	last      time.Duration
	fault     string
}

func newSim(seed uint64, rates []float64, pools ...string) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{}, pools: pools,
		cut: map[[2]string]bool{}, acceptedAt: map[uint64]time.Duration{0: 0}, epochs: map[string]map[uint64]string{},
		delay: 5 * time.Millisecond,
	}
	for i := range rates {
		s.names = append(s.names, fmt.Sprintf("n%d", i))
	}
	for i, name := range s.names {
		s.nodes[name] = &simNode{name: name, rate: rates[i]}
		s.boot(name)
		s.after(time.Duration(s.rand.Int64N(int64(simTick))), func() { s.run(name) })
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	at := s.now + d
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > at })
	s.queue = slices.Insert(s.queue, i, event{at, do})
}

// clock is the node's own time. It starts far from zero and goes on while the
// node is frozen.
func (s *sim) clock(n *simNode) time.Duration {
	return time.Hour + time.Duration(float64(s.now)*n.rate)
}

// boot starts a node with empty memory.
func (s *sim) boot(name string) {
	n := s.nodes[name]
	n.boot++
	n.reading, n.frozen, n.nextBeat = false, 0, 0
	n.Node = New(Config{Self: name, Instances: s.names, Boot: n.boot, Start: s.clock(n)})
	n.SetPools(s.clock(n), s.pools)
}

// alive runs f on the node as soon as it is not frozen, unless it has restarted.
func (s *sim) alive(name string, boot uint64, f func(n *simNode)) {
	n := s.nodes[name]
	if n.boot != boot {
		return
	}
	if s.now < n.frozen {
		s.after(n.frozen-s.now, func() { s.alive(name, boot, f) })
		return
	}
	f(n)
}

// run is the loop of one instance.
func (s *sim) run(name string) {
	n := s.nodes[name]
	s.after(simTick, func() { s.run(name) })
	if s.now < n.frozen {
		return
	}
	s.step(n)
	s.read(n)
	if ahead := n.Ahead(); len(ahead) > 0 {
		s.fetch(n, ahead[0])
	}
}

// step is Tick and the beat that may be due.
func (s *sim) step(n *simNode) {
	now := s.clock(n)
	if !n.Tick(now) && now < n.nextBeat {
		return
	}
	n.nextBeat = now + BeatInterval
	b := n.Beat(now)
	boot := n.boot
	for _, to := range s.names {
		if to == n.name {
			continue
		}
		s.send(n.name, to, func(p *simNode) {
			reply := p.OnBeat(s.clock(p), n.name, b)
			reply.Seq = b.Seq
			s.send(p.name, n.name, func(q *simNode) {
				if q.boot == boot {
					q.OnReply(s.clock(q), p.name, reply)
					s.step(q)
				}
			})
			s.step(p)
		})
	}
}

// send delivers a message never, once or twice, after a random delay.
func (s *sim) send(from, to string, f func(n *simNode)) {
	copies := 1
	if s.rand.Float64() < s.double {
		copies = 2
	}
	for range copies {
		if s.cut[[2]string{from, to}] || s.rand.Float64() < s.loss {
			continue
		}
		s.after(time.Duration(s.rand.Int64N(int64(s.delay))), func() { s.alive(to, s.nodes[to].boot, f) })
	}
}

// read is a read by the control quorum.
func (s *sim) read(n *simNode) {
	now := s.clock(n)
	if n.reading || n.Witness(now) {
		return
	}
	n.reading = true
	s.after(s.delay, func() {
		revision := s.accepted
		s.after(s.delay, func() {
			s.alive(n.name, n.boot, func(n *simNode) {
				n.reading = false
				n.Confirm(s.clock(n), now, revision)
			})
		})
	})
}

// fetch installs the view of a peer.
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

// install gives the committed view to a node, as a control replica does.
func (s *sim) install(n *simNode) {
	s.alive(n.name, n.boot, func(n *simNode) { n.SetRevision(s.clock(n), s.committed) })
}

// accept plays the control leader on each running node: it accepts a revision
// that a majority reports. Only the leader of a term may do so.
func (s *sim) accept(n *simNode) {
	if s.now < n.frozen {
		return
	}
	var count int
	for _, name := range s.names {
		if n.Revision(s.clock(n), name) >= s.committed {
			count++
		}
	}
	if count >= n.majority && s.accepted < s.committed {
		s.accepted = s.committed
		s.acceptedAt[s.accepted] = s.now
	}
}

// runUntil runs events and checks the invariants after each.
func (s *sim) runUntil(end time.Duration) {
	for s.fault == "" && len(s.queue) > 0 && s.queue[0].at <= end {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		s.check() // a lease can outlive its bound only between events
		e.do()
		s.check()
	}
	s.now = end
}

func (s *sim) check() {
	step := s.now - s.last
	s.last = s.now
	holders := map[string]string{}
	for _, name := range s.names {
		n := s.nodes[name]
		now := s.clock(n)
		if n.Valid(now) {
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
				s.fault = fmt.Sprintf("%s: %s and %s both hold %s", s.now, other, name, pool)
			}
			holders[pool] = name
			s.checkEpoch(n, pool, epoch)
		}
	}
}

func (s *sim) checkRevision(n *simNode) {
	for r, at := range s.acceptedAt {
		if r > n.revision && s.now > at+LeaseTime {
			s.fault = fmt.Sprintf("%s: %s has a lease with revision %d, %d was accepted at %s", s.now, n.name, n.revision, r, at)
		}
	}
}

func (s *sim) checkEpoch(n *simNode, pool string, epoch uint64) {
	if s.epochs[pool] == nil {
		s.epochs[pool] = map[uint64]string{}
	}
	who := fmt.Sprintf("%s boot %d", n.name, n.boot)
	if old := s.epochs[pool][epoch]; old != "" && old != who && s.restarts == 0 {
		s.fault = fmt.Sprintf("%s: epoch %d of %s held by %s and %s", s.now, epoch, pool, old, who)
	}
	s.epochs[pool][epoch] = who
}
