package consensus

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"hash/crc64"
	"os"
	"slices"
	"testing"
)

// TestMain fixes the seed of generated sequences unless the command line sets one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// failer is the part of testing.T and rapid.T that the simulation needs.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// sim runs replicas over a network that loses, delays, doubles and reorders, on
// disks that keep only what was synced, and checks the guarantees of the package.
type sim struct {
	t       failer
	random  func(n int) int
	ids     []string
	boxes   map[string]*box
	network []Message
	side    map[string]int // messages pass only between replicas on one side

	frozen string // replica whose process is stopped
	first  int    // FirstTicks of replicas that start from now on

	leaders   map[uint64]string // term -> leader
	committed []Entry           // by index-2, as first applied anywhere
	sums      []uint64          // state after the entry of the same position
	reads     map[uint64]uint64 // context -> entries committed when it began
	answered  int
	proposed  uint64
}

// box is a replica: its disk and, while it runs, its node.
type box struct {
	id      string
	node    *Node
	hard    HardState
	snap    Snapshot
	entries []Entry
	applied uint64
	sum     uint64
}

// crash points of the handling of a Ready.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync  // nothing sent or applied
	afterSend  // nothing applied
	afterApply // Advance not called
)

func newSim(t failer, random func(int) int, n int) *sim {
	s := &sim{
		t: t, random: random, boxes: map[string]*box{}, side: map[string]int{},
		leaders: map[uint64]string{}, reads: map[uint64]uint64{},
	}
	var m Membership
	for i := range n {
		s.ids = append(s.ids, fmt.Sprintf("r%d", i))
		m.Voters = append(m.Voters, Member{ID: s.ids[i], Instance: s.ids[i]})
	}
	for _, id := range s.ids {
		s.boxes[id] = &box{id: id, snap: Bootstrap(m, encodeSum(0)), hard: HardState{Term: 1}}
		s.start(id)
	}
	return s
}

// add makes an empty replica that waits to be added to the group.
func (s *sim) add(id string) {
	s.ids = append(s.ids, id)
	s.boxes[id] = &box{id: id}
	s.start(id)
}

func (s *sim) start(id string) {
	b := s.boxes[id]
	cfg := Config{ID: id, ElectionTicks: 10, FirstTicks: s.first, HeartbeatTicks: 2, MaxAppendBytes: 64, ChunkBytes: 5, Random: s.random}
	b.node = New(cfg, b.hard, b.snap, slices.Clone(b.entries))
	b.applied, b.sum = b.snap.Index, decodeSum(b.snap.Data)
}

func (s *sim) crash(id string) { s.boxes[id].node = nil }

func encodeSum(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func decodeSum(b []byte) uint64 {
	if len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// run handles all pending work of a replica, up to a crash point.
func (s *sim) run(id string, at crashPoint) {
	b := s.boxes[id]
	for b.node != nil && b.node.HasReady() {
		s.checkLeader(b)
		rd := b.node.Ready()
		if at == beforeSync {
			s.crash(id)
			return
		}
		b.persist(rd)
		if at == afterSync {
			s.crash(id)
			return
		}
		s.network = append(s.network, rd.Messages...)
		if at == afterSend {
			s.crash(id)
			return
		}
		s.apply(b, rd)
		if at == afterApply {
			s.crash(id)
			return
		}
		b.node.Advance(rd)
	}
}

func (b *box) persist(rd Ready) {
	if rd.Hard != nil {
		b.hard = *rd.Hard
	}
	if rd.Snapshot != nil {
		b.snap, b.entries = *rd.Snapshot, slices.Clone(b.node.Entries(rd.Snapshot.Index))
	}
	for _, e := range rd.Entries {
		if k := len(b.entries); k > 0 {
			b.entries = b.entries[:e.Index-b.entries[0].Index]
		}
		b.entries = append(b.entries, e)
	}
}

func (s *sim) apply(b *box, rd Ready) {
	if rd.Snapshot != nil {
		b.applied, b.sum = rd.Snapshot.Index, decodeSum(rd.Snapshot.Data)
		s.checkSum(b)
	}
	for _, e := range rd.Committed {
		if e.Index != b.applied+1 {
			s.t.Fatalf("%s applied entry %d after %d", b.id, e.Index, b.applied)
		}
		b.applied = e.Index
		b.sum = crc64.Update(b.sum, crc64.MakeTable(crc64.ECMA), append([]byte{byte(e.Kind)}, e.Data...))
		s.checkCommitted(b, e)
	}
	for _, r := range rd.Reads {
		s.answered++
		if r.Index < s.reads[r.Context]+1 {
			s.t.Fatalf("read at %d began after entry %d was committed", r.Index, s.reads[r.Context]+1)
		}
	}
}

// checkCommitted guards against two replicas that apply different entries.
func (s *sim) checkCommitted(b *box, e Entry) {
	at := int(e.Index) - 2 // the bootstrap snapshot is index 1
	if at == len(s.committed) {
		s.committed, s.sums = append(s.committed, e), append(s.sums, b.sum)
		return
	}
	if at > len(s.committed) || s.committed[at].Term != e.Term || !bytes.Equal(s.committed[at].Data, e.Data) {
		s.t.Fatalf("%s applied a different entry %d", b.id, e.Index)
	}
	s.checkSum(b)
}

// checkSum guards against a state that differs at the same index, as after a
// wrong snapshot.
func (s *sim) checkSum(b *box) {
	if b.applied >= 2 && s.sums[b.applied-2] != b.sum {
		s.t.Fatalf("%s has a different state at entry %d", b.id, b.applied)
	}
}

// checkLeader guards against two leaders in one term.
func (s *sim) checkLeader(b *box) {
	if b.node.Role() != Leader {
		return
	}
	if l, ok := s.leaders[b.node.Term()]; ok && l != b.id {
		s.t.Fatalf("term %d has leaders %s and %s", b.node.Term(), l, b.id)
	}
	s.leaders[b.node.Term()] = b.id
}

// checkLogs guards against logs that differ below an index with an equal term.
func (s *sim) checkLogs() {
	for i, x := range s.ids {
		for _, y := range s.ids[i+1:] {
			s.checkPair(s.boxes[x], s.boxes[y])
		}
	}
}

func (s *sim) checkPair(x, y *box) {
	equal := false
	for i := len(x.entries) - 1; i >= 0; i-- {
		e := x.entries[i]
		if len(y.entries) == 0 || e.Index < y.entries[0].Index || e.Index > y.entries[len(y.entries)-1].Index {
			continue
		}
		o := y.entries[e.Index-y.entries[0].Index]
		same := o.Term == e.Term && bytes.Equal(o.Data, e.Data)
		if (equal && !same) || (o.Term == e.Term && !same) {
			s.t.Fatalf("logs of %s and %s differ at entry %d", x.id, y.id, e.Index)
		}
		equal = equal || same
	}
}

// deliver hands over the message at a position of the network.
func (s *sim) deliver(i int, keep bool) {
	m := s.network[i]
	if !keep {
		s.network = slices.Delete(s.network, i, i+1)
	}
	b := s.boxes[m.To]
	if b == nil || b.node == nil || m.To == s.frozen || s.side[m.From] != s.side[m.To] {
		return
	}
	decoded, err := DecodeMessage(EncodeMessage(m))
	if err != nil {
		s.t.Fatalf("message %+v: %v", m, err)
	}
	b.node.Step(decoded)
}

func (s *sim) propose(id string) bool {
	b := s.boxes[id]
	if b.node == nil {
		return false
	}
	s.proposed++
	_, _, err := b.node.Propose(binary.BigEndian.AppendUint64(nil, s.proposed))
	return err == nil
}

func (s *sim) read(id string) {
	b := s.boxes[id]
	if b.node == nil {
		return
	}
	ctx := uint64(len(s.reads) + 1)
	s.reads[ctx] = uint64(len(s.committed))
	_ = b.node.ReadIndex(ctx)
}

// compact takes a snapshot of a replica's applied state.
func (s *sim) compact(id string, keepBytes int) {
	b := s.boxes[id]
	if b.node == nil {
		return
	}
	snap, ok := b.node.SnapshotAt(b.applied, encodeSum(b.sum))
	if !ok || snap.Index <= b.snap.Index {
		return
	}
	b.snap, b.entries = snap, slices.Clone(b.node.Entries(snap.Index))
	b.node.Compact(snap.Index, snap.Data, keepBytes)
}

// settle runs all replicas over a reliable network for some ticks.
func (s *sim) settle(ticks int) {
	for range ticks {
		for _, id := range s.ids {
			if b := s.boxes[id]; b.node != nil && id != s.frozen {
				b.node.Tick()
				s.run(id, noCrash)
			}
		}
		for range 20 {
			for k := len(s.network); k > 0; k-- {
				to := s.network[0].To
				s.deliver(0, false)
				if b := s.boxes[to]; b != nil && to != s.frozen {
					s.run(to, noCrash)
				}
			}
		}
	}
}

// leader returns the leader with the highest term, or "".
func (s *sim) leader() string {
	best := ""
	for _, id := range s.ids {
		b := s.boxes[id]
		if b.node != nil && b.node.Role() == Leader && (best == "" || b.node.Term() > s.boxes[best].node.Term()) {
			best = id
		}
	}
	return best
}

// waitLeader settles until there is a leader.
func (s *sim) waitLeader() string {
	s.t.Helper()
	for range 40 {
		s.settle(10)
		if l := s.leader(); l != "" && s.boxes[l].node.committedInTerm() {
			return l
		}
	}
	s.t.Fatalf("no leader: %s", s.describe())
	return ""
}

func (s *sim) describe() string {
	text := ""
	for _, id := range s.ids {
		if n := s.boxes[id].node; n != nil {
			text += fmt.Sprintf("\n%s: role %d leader %q term %d vote %q last %d commit %d members %v",
				id, n.role, n.leader, n.term, n.vote, n.log.last(), n.log.commit, n.Members())
		}
	}
	return text
}

// commit proposes n commands at the leader and checks that they are committed.
func (s *sim) commit(n int) {
	s.t.Helper()
	l := s.waitLeader()
	before := len(s.committed)
	for range n {
		s.propose(l)
		s.run(l, noCrash)
	}
	s.settle(10)
	if len(s.committed) < before+n {
		s.t.Fatalf("%d of %d commands committed", len(s.committed)-before, n)
	}
}

// checkAll checks that every running member has applied everything committed.
func (s *sim) checkAll() {
	s.t.Helper()
	s.settle(60)
	m := s.boxes[s.waitLeader()].node.Members()
	for _, id := range s.ids {
		b := s.boxes[id]
		if b.node != nil && m.Has(id) && int(b.applied) != len(s.committed)+1 {
			s.t.Fatalf("%s applied up to %d, committed are %d", id, b.applied, len(s.committed)+1)
		}
	}
	s.checkLogs()
}

var _ failer = (*testing.T)(nil)
