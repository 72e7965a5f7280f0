package control

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/consensus"
	"nutmegrouter/internal/fleetstate"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/wal"
)

// Bounds of messages and of the log, in bytes.
const (
	maxAppendBytes = 1 << 20
	chunkBytes     = 1 << 20
	// keepBytes of entries stay in memory after a snapshot, so that a follower
	// that lags a little needs no snapshot.
	keepBytes = 1 << 20
	// A snapshot is taken after this many bytes of entries, or after twice the
	// size of the last snapshot if that is more, so that the work of snapshots
	// stays in proportion to the work of the log.
	snapshotBytes = 4 << 20
	// entryBytes is counted for each entry besides its data.
	entryBytes = 256
)

// received is a message with the instance that sent it.
type received struct {
	from string
	msg  consensus.Message
}

// answer is what the replica's goroutine returns to a call.
type answer struct {
	result fleetstate.Result
	state  readState
	probe  probeReply
	silent uint64 // ticks since a leader was heard
	leads  bool
	failed bool // the disk has refused a write
	err    error
}

// readState is a copy of what reads return.
type readState struct {
	revision uint64
	view     *api.View
	history  []api.HistoryEntry
}

// pending is a proposal that waits to be applied, with the calls that wait for it.
type pending struct {
	id   string
	term uint64
	done []func(answer)
}

func (p *pending) answer(a answer) {
	for _, done := range p.done {
		done(a)
	}
}

// replica runs the consensus node on a data folder. Only one goroutine uses it,
// except for status.
type replica struct {
	c     *Control
	log   *wal.Log
	node  *consensus.Node
	state *fleetstate.State
	id    string

	instances map[string]string   // identity -> instance, from received messages
	waiting   map[uint64]*pending // by index
	proposed  map[string]*pending // by command id
	reads     map[uint64]func(answer)
	nextRead  uint64
	role      consensus.Role
	leader    string
	members   uint64 // number of voters and learners last reported
	applied   uint64
	bytes     int // applied since the last snapshot
	lastBytes int // size of the last snapshot
	keep      int // bytes of entries kept in memory before a snapshot
	ticks     uint64
	failed    bool // the disk has refused a write; the node is not in use
	status    atomic.Pointer[api.ControlStatus]
}

func newReplica(c *Control, log *wal.Log, st *wal.State) (*replica, error) {
	r := &replica{
		c: c, instances: map[string]string{}, waiting: map[uint64]*pending{},
		proposed: map[string]*pending{}, reads: map[uint64]func(answer){}, keep: keepBytes,
	}
	return r, r.load(log, st)
}

// load starts the node from what the disk holds.
func (r *replica) load(log *wal.Log, st *wal.State) error {
	state, err := fleetstate.Restore(st.Snapshot.Data)
	if err != nil {
		return err
	}
	r.log, r.state, r.id, r.failed = log, state, st.Identity, false
	r.applied, r.bytes, r.lastBytes = st.Snapshot.Index, 0, len(st.Snapshot.Data)
	r.node = consensus.New(r.config(), st.Hard, st.Snapshot, st.Entries)
	r.install()
	r.publish()
	return nil
}

func (r *replica) config() consensus.Config {
	return consensus.Config{
		ID: r.id, ElectionTicks: r.c.pace().election, FirstTicks: r.c.pace().first, HeartbeatTicks: r.c.pace().heartbeat,
		MaxAppendBytes: maxAppendBytes, ChunkBytes: chunkBytes, Random: rand.IntN,
	}
}

func (r *replica) tick() {
	r.node.Tick()
	r.ticks++
	if r.node.Role() != consensus.Leader {
		return
	}
	r.moves()
	r.maintainMembers()
}

func (r *replica) step(m received) {
	r.instances[m.msg.From] = m.from
	r.node.Step(m.msg)
}

// flush makes pending work durable, sends, applies and answers.
func (r *replica) flush() error {
	for r.node.HasReady() {
		rd := r.node.Ready()
		if err := r.persist(rd); err != nil {
			return err
		}
		r.sendAll(rd.Messages)
		if err := r.applyAll(rd); err != nil {
			return err
		}
		r.node.Advance(rd)
		if err := r.snapshot(); err != nil {
			return err
		}
	}
	r.noteChanges()
	return nil
}

func (r *replica) persist(rd consensus.Ready) error {
	hard := r.node.Hard()
	if rd.Hard != nil {
		hard = *rd.Hard
	}
	if rd.Snapshot != nil {
		r.c.metrics.syncs.Inc()
		if err := r.log.SaveSnapshot(*rd.Snapshot, hard, r.node.Entries(rd.Snapshot.Index)); err != nil {
			return err
		}
	}
	if rd.Hard == nil && len(rd.Entries) == 0 {
		return nil
	}
	r.c.metrics.syncs.Inc()
	return r.log.Save(rd.Hard, rd.Entries)
}

func (r *replica) sendAll(msgs []consensus.Message) {
	for _, m := range msgs {
		to := r.node.Members().Instance(m.To)
		if to == "" {
			to = r.instances[m.To]
		}
		if to == "" || r.c.mesh.Notify(to, methodRaft, pack(consensus.EncodeMessage(m))) != nil {
			r.c.metrics.unsent.Inc() // consensus sends again
			continue
		}
		r.c.metrics.sent.Inc()
	}
}

func (r *replica) applyAll(rd consensus.Ready) error {
	if rd.Snapshot != nil {
		state, err := fleetstate.Restore(rd.Snapshot.Data)
		if err != nil {
			return err
		}
		r.state, r.applied, r.bytes, r.lastBytes = state, rd.Snapshot.Index, 0, len(rd.Snapshot.Data)
		r.event("snapshot-installed", "")
	}
	for _, e := range rd.Committed {
		r.apply(e)
	}
	r.install()
	for _, read := range rd.Reads {
		if done, ok := r.reads[read.Context]; ok {
			delete(r.reads, read.Context)
			done(answer{state: readState{r.state.Revision(), r.state.View(), r.state.History(maxHistory)}})
		}
	}
	return nil
}

func (r *replica) apply(e consensus.Entry) {
	var result fleetstate.Result
	if e.Kind == consensus.EntryCommand {
		result = r.state.Apply(e.Data)
		r.c.metrics.applied.Inc()
	}
	r.applied = e.Index
	r.bytes += len(e.Data) + entryBytes
	p, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	r.forget(e.Index, p)
	if p.term != e.Term {
		p.answer(answer{err: errRetry})
		return
	}
	p.answer(answer{result: result})
}

func (r *replica) forget(index uint64, p *pending) {
	delete(r.waiting, index)
	if r.proposed[p.id] == p {
		delete(r.proposed, p.id)
	}
}

// install offers the view to the instance. The lease plug-in tells the others.
func (r *replica) install() {
	v := r.state.View()
	if v.Revision <= r.c.fleet.View().Revision {
		return
	}
	r.c.fleet.Install(v)
}

// snapshot shortens the log once enough has been applied.
func (r *replica) snapshot() error {
	if r.applied == r.node.SnapshotIndex() || r.bytes < max(snapshotBytes, 2*r.lastBytes) {
		return nil
	}
	data, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	s, ok := r.node.SnapshotAt(r.applied, data)
	if !ok {
		return errors.Errorf("control: no snapshot possible at entry %d", r.applied)
	}
	if err := r.log.SaveSnapshot(s, r.node.Hard(), r.node.Entries(s.Index)); err != nil {
		return err
	}
	r.node.Compact(s.Index, data, r.keep)
	r.bytes, r.lastBytes = 0, len(data)
	r.c.metrics.snapshots.Inc()
	return nil
}

// noteChanges reports changes of role, leader and membership and fails the
// calls that wait on a leadership that has ended.
func (r *replica) noteChanges() {
	role, leader, members := r.node.Role(), r.node.Leader(), r.memberCount()
	if role != consensus.Leader && r.role == consensus.Leader {
		r.failAll()
	}
	if role == consensus.Leader && r.role != consensus.Leader {
		r.c.metrics.elected.Inc()
	}
	changed := role != r.role || leader != r.leader || members != r.members
	if changed {
		r.role, r.leader, r.members = role, leader, members
		r.event(roleName(r), r.instanceOf(leader))
		logqueue.Notice(r.c.kernel.Log, "control role", "step", roleName(r), "leader", r.instanceOf(leader), "term", r.node.Term())
	}
	r.publish()
	if changed {
		r.c.statusChanged()
	}
}

func (r *replica) memberCount() uint64 {
	m := r.node.Members()
	return uint64(len(m.Voters))<<32 | uint64(len(m.Learners))
}

func (r *replica) instanceOf(id string) string {
	if name := r.node.Members().Instance(id); name != "" || id == "" {
		return name
	}
	return r.instances[id]
}

// failAll makes all waiting calls try again elsewhere.
func (r *replica) failAll() {
	for i, p := range r.waiting {
		r.forget(i, p)
		p.answer(answer{err: errRetry})
	}
	for i, done := range r.reads {
		delete(r.reads, i)
		done(answer{err: errRetry})
	}
}

func (r *replica) event(step, peer string) {
	r.c.kernel.Events.Record(kernel.Event{
		Kind: "control", Step: step, Peer: peer, Epoch: r.node.Term(), Revision: r.state.Revision(),
	})
}

func roleName(r *replica) string {
	m := r.node.Members()
	switch role := r.node.Role(); {
	case role == consensus.Leader:
		return "leader"
	case role != consensus.Follower:
		return "candidate"
	case m.Voter(r.id):
		return "follower"
	case m.Learner(r.id):
		return "learner"
	}
	return "none"
}

func (r *replica) publish() {
	m := r.node.Members()
	s := &api.ControlStatus{
		Replica: r.id, Role: roleName(r), Leader: r.instanceOf(r.node.Leader()),
		Term: r.node.Term(), Commit: r.node.Commit(),
	}
	for _, v := range m.Voters {
		s.Voters = append(s.Voters, v.Instance)
	}
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		s.Members = append(s.Members, v.Instance)
	}
	r.status.Store(s)
}
