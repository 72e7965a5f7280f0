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

// testingT is the common part of testing.T and rapid.T that the simulation uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// sim runs replicas over a network that loses, delays, duplicates and reorders
// messages. Their disks keep only what was synced. It checks the guarantees of the
// package.
type sim struct {
	t         testingT
	random    func(n int) int
	ids       []string
	replicas  map[string]*replica
	network   []Message
	partition map[string]int // replica -> part of the network; messages do not cross parts

	suspended            string // replica whose process does not run for a while, "" if none
	initialElectionTicks int    // InitialElectionTicks of replicas that start from now on

	leaders        map[uint64]string // term -> leader
	committed      []Entry           // first applied by any replica; position 0 is index 2
	checksums      []uint64          // of the state after the entry at the same position
	reads          map[uint64]uint64 // context -> number of entries committed at the request
	confirmedReads int
	lastCommand    uint64
}

// replica is the disk of a replica and, while its process runs, its node.
type replica struct {
	id       string
	node     *Node // nil after a crash
	hard     HardState
	snap     Snapshot
	entries  []Entry
	applied  uint64
	checksum uint64
}

// crashPoint is the point in the handling of a Ready at which a replica crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync  // nothing sent or applied
	afterSend  // nothing applied
	afterApply // Advance not called
)

func newSim(t testingT, random func(int) int, n int) *sim {
	s := &sim{
		t: t, random: random, replicas: map[string]*replica{}, partition: map[string]int{},
		leaders: map[uint64]string{}, reads: map[uint64]uint64{},
	}
	var m Membership
	for i := range n {
		s.ids = append(s.ids, fmt.Sprintf("r%d", i))
		m.Voters = append(m.Voters, Member{ID: s.ids[i], Instance: s.ids[i]})
	}
	for _, id := range s.ids {
		s.replicas[id] = &replica{id: id, snap: Bootstrap(m, encodeChecksum(0)), hard: HardState{Term: 1}}
		s.start(id)
	}
	return s
}

// addReplica starts an empty replica, which is not yet a member of the group.
func (s *sim) addReplica(id string) {
	s.ids = append(s.ids, id)
	s.replicas[id] = &replica{id: id}
	s.start(id)
}

func (s *sim) start(id string) {
	r := s.replicas[id]
	cfg := Config{ID: id, ElectionTicks: 10, InitialElectionTicks: s.initialElectionTicks, HeartbeatTicks: 2, MaxAppendBytes: 64, ChunkBytes: 5, Random: s.random}
	r.node = New(cfg, r.hard, r.snap, slices.Clone(r.entries))
	r.applied, r.checksum = r.snap.Index, decodeChecksum(r.snap.Data)
}

func (s *sim) crash(id string) { s.replicas[id].node = nil }

func encodeChecksum(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func decodeChecksum(b []byte) uint64 {
	if len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// processReady does all pending work of a replica, or crashes it at a crash point.
func (s *sim) processReady(id string, at crashPoint) {
	r := s.replicas[id]
	for r.node != nil && r.node.HasReady() {
		s.checkLeader(r)
		rd := r.node.Ready()
		if at == beforeSync {
			s.crash(id)
			return
		}
		r.persist(rd)
		if at == afterSync {
			s.crash(id)
			return
		}
		s.network = append(s.network, rd.Messages...)
		if at == afterSend {
			s.crash(id)
			return
		}
		s.apply(r, rd)
		if at == afterApply {
			s.crash(id)
			return
		}
		r.node.Advance(rd)
	}
}

func (r *replica) persist(rd Ready) {
	if rd.HardState != nil {
		r.hard = *rd.HardState
	}
	if rd.Snapshot != nil {
		r.snap, r.entries = *rd.Snapshot, slices.Clone(r.node.Entries(rd.Snapshot.Index))
	}
	for _, e := range rd.Entries {
		if k := len(r.entries); k > 0 {
			r.entries = r.entries[:e.Index-r.entries[0].Index]
		}
		r.entries = append(r.entries, e)
	}
}

func (s *sim) apply(r *replica, rd Ready) {
	if rd.Snapshot != nil {
		r.applied, r.checksum = rd.Snapshot.Index, decodeChecksum(rd.Snapshot.Data)
		s.checkChecksum(r)
	}
	for _, e := range rd.Committed {
		if e.Index != r.applied+1 {
			s.t.Fatalf("%s applied entry %d after %d", r.id, e.Index, r.applied)
		}
		r.applied = e.Index
		r.checksum = crc64.Update(r.checksum, crc64.MakeTable(crc64.ECMA), append([]byte{byte(e.Kind)}, e.Data...))
		s.checkCommitted(r, e)
	}
	for _, read := range rd.Reads {
		s.confirmedReads++
		if read.Index < s.reads[read.Context]+1 {
			s.t.Fatalf("read at index %d was requested after entry %d was committed", read.Index, s.reads[read.Context]+1)
		}
	}
}

// checkCommitted fails if two replicas have applied different entries at an index.
func (s *sim) checkCommitted(r *replica, e Entry) {
	at := int(e.Index) - 2 // the bootstrap snapshot is index 1
	if at == len(s.committed) {
		s.committed, s.checksums = append(s.committed, e), append(s.checksums, r.checksum)
		return
	}
	if at > len(s.committed) || s.committed[at].Term != e.Term || !bytes.Equal(s.committed[at].Data, e.Data) {
		s.t.Fatalf("%s applied a different entry %d", r.id, e.Index)
	}
	s.checkChecksum(r)
}

// checkChecksum fails if the state differs from that of another replica at the same
// index, as after a wrong snapshot.
func (s *sim) checkChecksum(r *replica) {
	if r.applied >= 2 && s.checksums[r.applied-2] != r.checksum {
		s.t.Fatalf("%s has a different state at entry %d", r.id, r.applied)
	}
}

// checkLeader fails if a term has two leaders.
func (s *sim) checkLeader(r *replica) {
	if r.node.Role() != Leader {
		return
	}
	if l, ok := s.leaders[r.node.Term()]; ok && l != r.id {
		s.t.Fatalf("term %d has leaders %s and %s", r.node.Term(), l, r.id)
	}
	s.leaders[r.node.Term()] = r.id
}

// checkLogs fails if two logs differ at or below an index at which their terms agree.
func (s *sim) checkLogs() {
	for i, x := range s.ids {
		for _, y := range s.ids[i+1:] {
			s.checkPair(s.replicas[x], s.replicas[y])
		}
	}
}

func (s *sim) checkPair(x, y *replica) {
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

// deliver passes the message at a position of the network to its receiver. Duplicate
// leaves a copy in the network.
func (s *sim) deliver(i int, duplicate bool) {
	m := s.network[i]
	if !duplicate {
		s.network = slices.Delete(s.network, i, i+1)
	}
	r := s.replicas[m.To]
	if r == nil || r.node == nil || m.To == s.suspended || s.partition[m.From] != s.partition[m.To] {
		return
	}
	decoded, err := DecodeMessage(EncodeMessage(m))
	if err != nil {
		s.t.Fatalf("message %+v: %v", m, err)
	}
	r.node.Step(decoded)
}

func (s *sim) propose(id string) bool {
	r := s.replicas[id]
	if r.node == nil {
		return false
	}
	s.lastCommand++
	_, _, err := r.node.Propose(binary.BigEndian.AppendUint64(nil, s.lastCommand))
	return err == nil
}

func (s *sim) read(id string) {
	r := s.replicas[id]
	if r.node == nil {
		return
	}
	ctx := uint64(len(s.reads) + 1)
	s.reads[ctx] = uint64(len(s.committed))
	_ = r.node.ReadIndex(ctx)
}

// compact makes a replica take a snapshot of its applied state and compact its log.
func (s *sim) compact(id string, keepBytes int) {
	r := s.replicas[id]
	if r.node == nil {
		return
	}
	snap, ok := r.node.SnapshotAt(r.applied, encodeChecksum(r.checksum))
	if !ok || snap.Index <= r.snap.Index {
		return
	}
	r.snap, r.entries = snap, slices.Clone(r.node.Entries(snap.Index))
	r.node.Compact(snap.Index, snap.Data, keepBytes)
}

// runTicks runs all replicas for some ticks and delivers all messages in order, except
// between parts of the network.
func (s *sim) runTicks(ticks int) {
	for range ticks {
		for _, id := range s.ids {
			if r := s.replicas[id]; r.node != nil && id != s.suspended {
				r.node.Tick()
				s.processReady(id, noCrash)
			}
		}
		for range 20 {
			for k := len(s.network); k > 0; k-- {
				to := s.network[0].To
				s.deliver(0, false)
				if r := s.replicas[to]; r != nil && to != s.suspended {
					s.processReady(to, noCrash)
				}
			}
		}
	}
}

// leader returns the leader with the highest term, or "" if none leads.
func (s *sim) leader() string {
	best := ""
	for _, id := range s.ids {
		r := s.replicas[id]
		if r.node != nil && r.node.Role() == Leader && (best == "" || r.node.Term() > s.replicas[best].node.Term()) {
			best = id
		}
	}
	return best
}

// waitLeader runs until a leader has committed an entry of its term.
func (s *sim) waitLeader() string {
	s.t.Helper()
	for range 40 {
		s.runTicks(10)
		if l := s.leader(); l != "" && s.replicas[l].node.committedInTerm() {
			return l
		}
	}
	s.t.Fatalf("no leader: %s", s.describe())
	return ""
}

func (s *sim) describe() string {
	text := ""
	for _, id := range s.ids {
		if n := s.replicas[id].node; n != nil {
			text += fmt.Sprintf("\n%s: role %d leader %q term %d vote %q last %d commit %d members %v",
				id, n.role, n.leader, n.term, n.vote, n.log.lastIndex(), n.log.commit, n.Members())
		}
	}
	return text
}

// commitCommands proposes n commands to the leader and checks that they are committed.
func (s *sim) commitCommands(n int) {
	s.t.Helper()
	l := s.waitLeader()
	before := len(s.committed)
	for range n {
		s.propose(l)
		s.processReady(l, noCrash)
	}
	s.runTicks(10)
	if len(s.committed) < before+n {
		s.t.Fatalf("%d of %d commands committed", len(s.committed)-before, n)
	}
}

// checkConverged checks that every running member has applied all committed entries and
// that the logs agree.
func (s *sim) checkConverged() {
	s.t.Helper()
	s.runTicks(60)
	m := s.replicas[s.waitLeader()].node.Members()
	for _, id := range s.ids {
		r := s.replicas[id]
		if r.node != nil && m.Has(id) && int(r.applied) != len(s.committed)+1 {
			s.t.Fatalf("%s has applied up to entry %d, but the commit index is %d", id, r.applied, len(s.committed)+1)
		}
	}
	s.checkLogs()
}

var _ testingT = (*testing.T)(nil)
