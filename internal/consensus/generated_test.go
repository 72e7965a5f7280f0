package consensus

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestGenerated guards, over generated sequences of faults, against two leaders
// in a term, logs that differ below an equal entry, committed entries that are
// lost or replaced, reads that miss a committed entry, and a group that does not
// recover once the faults end.
func TestGenerated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := func(n int) int { // timers need no shrinking
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % n
		}
		s := newSim(t, random, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "voters"))
		s.first = rapid.SampledFrom([]int{0, 3}).Draw(t, "first timeout")
		steps := rapid.IntRange(200, 600).Draw(t, "steps")
		for range steps {
			s.fault(t)
		}
		s.checkLogs()
		s.heal()
		s.commit(3)
		s.checkAll()
	})
}

// fault draws and performs one action.
func (s *sim) fault(t *rapid.T) {
	id := rapid.SampledFrom(s.ids).Draw(t, "replica")
	b := s.boxes[id]
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
		s.run(id, crashPoint(rapid.IntRange(1, 4).Draw(t, "crash")))
	case a < 35:
		s.side[id] = rapid.IntRange(0, 1).Draw(t, "side")
	case a < 36 && b.node != nil:
		b.node.Transfer()
	case a < 38:
		s.change(t)
	case b.node == nil:
		s.start(id)
	}
	s.run(id, noCrash)
}

func (s *sim) tickSome(t *rapid.T, id string) {
	for range rapid.IntRange(1, 25).Draw(t, "ticks") {
		if n := s.boxes[id].node; n != nil {
			n.Tick()
		}
		s.run(id, noCrash)
	}
}

// deliverSome delivers messages in any order, some of them twice.
func (s *sim) deliverSome(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "messages") {
		if len(s.network) == 0 {
			return
		}
		i := rapid.IntRange(0, len(s.network)-1).Draw(t, "position")
		to := s.network[i].To
		s.deliver(i, rapid.IntRange(0, 9).Draw(t, "doubled") == 0)
		if s.boxes[to] != nil {
			s.run(to, noCrash)
		}
	}
}

func (s *sim) dropSome(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "lost") {
		if len(s.network) > 0 {
			i := rapid.IntRange(0, len(s.network)-1).Draw(t, "position")
			s.network = append(s.network[:i], s.network[i+1:]...)
		}
	}
}

// change proposes a membership change at whichever replica leads.
func (s *sim) change(t *rapid.T) {
	if l := s.leader(); l != "" {
		s.changeAt(t, l)
		s.run(l, noCrash)
	}
}

func (s *sim) changeAt(t *rapid.T, l string) {
	n := s.boxes[l].node
	m := n.Members()
	switch kind := ChangeKind(rapid.IntRange(1, 3).Draw(t, "kind")); {
	case kind == AddLearner && len(s.ids) < 7:
		id := fmt.Sprintf("r%d", len(s.ids))
		s.add(id)
		_ = n.ProposeChange(Change{AddLearner, Member{id, id}})
	case kind == Promote && len(m.Learners) > 0:
		_ = n.ProposeChange(Change{Promote, rapid.SampledFrom(m.Learners).Draw(t, "learner")})
	case kind == Remove && len(m.Voters) > 1:
		_ = n.ProposeChange(Change{Remove, rapid.SampledFrom(m.Voters).Draw(t, "voter")})
	}
}

// TestGeneratedPartitions guards against the same failures as TestGenerated over
// longer histories: replicas split into sides, and each side runs for some time.
func TestGeneratedPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := func(n int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % n
		}
		s := newSim(t, random, rapid.SampledFrom([]int{2, 3, 4, 5}).Draw(t, "voters"))
		s.waitLeader()
		s.first = rapid.SampledFrom([]int{0, 3}).Draw(t, "first timeout")
		for range rapid.IntRange(5, 30).Draw(t, "rounds") {
			s.round(t)
		}
		s.checkLogs()
		s.heal()
		s.commit(3)
		s.checkAll()
	})
}

// round splits the replicas and lets all leaders work.
func (s *sim) round(t *rapid.T) {
	for _, id := range s.ids {
		s.side[id] = rapid.IntRange(0, 2).Draw(t, "side")
		if s.boxes[id].node == nil && rapid.Bool().Draw(t, "restart") {
			s.start(id)
		}
	}
	for range rapid.IntRange(1, 4).Draw(t, "spells") {
		for _, id := range s.ids {
			if n := s.boxes[id].node; n != nil && n.Role() == Leader {
				s.work(t, id)
			}
		}
		s.readAll()
		s.frozen = rapid.SampledFrom(append(s.ids[:len(s.ids):len(s.ids)], "")).Draw(t, "frozen")
		s.settle(rapid.IntRange(0, 50).Draw(t, "ticks"))
		s.frozen = ""
	}
	id := rapid.SampledFrom(s.ids).Draw(t, "replica")
	s.compact(id, rapid.SampledFrom([]int{0, 200}).Draw(t, "keep"))
	if rapid.IntRange(0, 2).Draw(t, "crash") == 0 {
		s.run(id, crashPoint(rapid.IntRange(1, 4).Draw(t, "point")))
		s.crash(id)
	}
}

// work lets one leader propose, sync, and perhaps stop before it sends.
func (s *sim) work(t *rapid.T, id string) {
	for range rapid.IntRange(0, 3).Draw(t, "commands") {
		s.propose(id)
	}
	if rapid.Bool().Draw(t, "change") {
		s.changeAt(t, id)
	}
	s.run(id, crashPoint(max(0, rapid.IntRange(-20, 4).Draw(t, "point"))))
}

// readAll begins a read at every replica that believes to lead.
func (s *sim) readAll() {
	for _, id := range s.ids {
		s.read(id)
	}
}

// heal ends all faults.
func (s *sim) heal() {
	clear(s.side)
	for _, id := range s.ids {
		if s.boxes[id].node == nil {
			s.start(id)
		}
	}
}
