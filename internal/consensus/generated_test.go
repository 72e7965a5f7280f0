package consensus

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestGeneratedFaults guards, over generated sequences of faults, against two leaders in
// a term, logs that differ below an equal entry, committed entries that are lost or
// replaced, reads that miss a committed entry, and a group that does not recover once
// the faults end.
func TestGeneratedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := func(n int) int { // not drawn from rapid: random timeouts need no shrinking
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % n
		}
		s := newSim(t, random, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "voters"))
		s.initialElectionTicks = rapid.SampledFrom([]int{0, 3}).Draw(t, "first timeout")
		steps := rapid.IntRange(200, 600).Draw(t, "steps")
		for range steps {
			s.randomAction(t)
		}
		s.checkLogs()
		s.heal()
		s.commitCommands(3)
		s.checkConverged()
	})
}

// randomAction draws one action, such as a tick, a delivery or a crash, and performs it.
func (s *sim) randomAction(t *rapid.T) {
	id := rapid.SampledFrom(s.ids).Draw(t, "replica")
	r := s.replicas[id]
	switch a := rapid.IntRange(0, 39).Draw(t, "action"); {
	case a < 14:
		s.tickSome(t, id)
	case a < 24:
		s.deliverSome(t)
	case a < 28:
		s.propose(id)
	case a < 29:
		s.readAll()
	case a < 30:
		s.compact(id, rapid.SampledFrom([]int{0, 200}).Draw(t, "keep"))
	case a < 32:
		s.dropSome(t)
	case a < 34:
		s.processReady(id, crashPoint(rapid.IntRange(1, 4).Draw(t, "crash")))
	case a < 35:
		s.partition[id] = rapid.IntRange(0, 1).Draw(t, "part")
	case a < 36 && r.node != nil:
		r.node.TransferLeadership()
	case a < 38:
		s.changeMembership(t)
	case r.node == nil:
		s.start(id)
	}
	s.processReady(id, noCrash)
}

// tickSome advances a replica by some ticks.
func (s *sim) tickSome(t *rapid.T, id string) {
	for range rapid.IntRange(1, 25).Draw(t, "ticks") {
		if n := s.replicas[id].node; n != nil {
			n.Tick()
		}
		s.processReady(id, noCrash)
	}
}

// deliverSome delivers messages in random order, some of them more than once.
func (s *sim) deliverSome(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "messages") {
		if len(s.network) == 0 {
			return
		}
		i := rapid.IntRange(0, len(s.network)-1).Draw(t, "position")
		to := s.network[i].To
		s.deliver(i, rapid.IntRange(0, 9).Draw(t, "duplicated") == 0)
		if s.replicas[to] != nil {
			s.processReady(to, noCrash)
		}
	}
}

// dropSome loses some messages.
func (s *sim) dropSome(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "lost") {
		if len(s.network) > 0 {
			i := rapid.IntRange(0, len(s.network)-1).Draw(t, "position")
			s.network = append(s.network[:i], s.network[i+1:]...)
		}
	}
}

// changeMembership proposes a membership change to the current leader, if any.
func (s *sim) changeMembership(t *rapid.T) {
	if l := s.leader(); l != "" {
		s.changeMembershipAt(t, l)
		s.processReady(l, noCrash)
	}
}

// changeMembershipAt proposes a random membership change to a replica.
func (s *sim) changeMembershipAt(t *rapid.T, l string) {
	n := s.replicas[l].node
	m := n.Members()
	switch kind := ChangeKind(rapid.IntRange(1, 3).Draw(t, "kind")); {
	case kind == AddLearner && len(s.ids) < 7:
		id := fmt.Sprintf("r%d", len(s.ids))
		s.addReplica(id)
		_ = n.ProposeChange(Change{AddLearner, Member{id, id}})
	case kind == Promote && len(m.Learners) > 0:
		_ = n.ProposeChange(Change{Promote, rapid.SampledFrom(m.Learners).Draw(t, "learner")})
	case kind == Remove && len(m.Voters) > 1:
		_ = n.ProposeChange(Change{Remove, rapid.SampledFrom(m.Voters).Draw(t, "voter")})
	}
}

// TestGeneratedPartitions guards against the failures named at TestGeneratedFaults over
// longer histories: the network is split into parts, and each part runs for some time.
func TestGeneratedPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := func(n int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % n
		}
		s := newSim(t, random, rapid.SampledFrom([]int{2, 3, 4, 5}).Draw(t, "voters"))
		s.waitLeader()
		s.initialElectionTicks = rapid.SampledFrom([]int{0, 3}).Draw(t, "first timeout")
		for range rapid.IntRange(5, 30).Draw(t, "rounds") {
			s.partitionRound(t)
		}
		s.checkLogs()
		s.heal()
		s.commitCommands(3)
		s.checkConverged()
	})
}

// partitionRound splits the network at random and lets all leaders propose for some time.
func (s *sim) partitionRound(t *rapid.T) {
	for _, id := range s.ids {
		s.partition[id] = rapid.IntRange(0, 2).Draw(t, "part")
		if s.replicas[id].node == nil && rapid.Bool().Draw(t, "restart") {
			s.start(id)
		}
	}
	for range rapid.IntRange(1, 4).Draw(t, "intervals") {
		for _, id := range s.ids {
			if n := s.replicas[id].node; n != nil && n.Role() == Leader {
				s.proposeAtLeader(t, id)
			}
		}
		s.readAll()
		s.suspended = rapid.SampledFrom(append(s.ids[:len(s.ids):len(s.ids)], "")).Draw(t, "suspended")
		s.runTicks(rapid.IntRange(0, 50).Draw(t, "ticks"))
		s.suspended = ""
	}
	id := rapid.SampledFrom(s.ids).Draw(t, "replica")
	s.compact(id, rapid.SampledFrom([]int{0, 200}).Draw(t, "keep"))
	if rapid.IntRange(0, 2).Draw(t, "crash") == 0 {
		s.processReady(id, crashPoint(rapid.IntRange(1, 4).Draw(t, "point")))
		s.crash(id)
	}
}

// proposeAtLeader makes one leader propose commands and handle its Ready, and sometimes
// crash at a random point of that.
func (s *sim) proposeAtLeader(t *rapid.T, id string) {
	for range rapid.IntRange(0, 3).Draw(t, "commands") {
		s.propose(id)
	}
	if rapid.Bool().Draw(t, "change") {
		s.changeMembershipAt(t, id)
	}
	s.processReady(id, crashPoint(max(0, rapid.IntRange(-20, 4).Draw(t, "point"))))
}

// readAll requests a read at every replica. The request fails on all but leaders.
func (s *sim) readAll() {
	for _, id := range s.ids {
		s.read(id)
	}
}

// heal ends all partitions and restarts all crashed replicas.
func (s *sim) heal() {
	clear(s.partition)
	for _, id := range s.ids {
		if s.replicas[id].node == nil {
			s.start(id)
		}
	}
}
