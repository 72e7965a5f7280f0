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

// Sizes of messages and of the log, in bytes.
const (
	// maxAppendBytes bounds the entries in one append message.
	maxAppendBytes = 1 << 20
	// snapshotChunkBytes is the size of the chunks in which a snapshot is sent.
	snapshotChunkBytes = 1 << 20
	// retainedLogBytes of entries stay in memory after a snapshot, so that a slightly
	// lagging follower needs no snapshot.
	retainedLogBytes = 1 << 20
	// minSnapshotIntervalBytes is the size of the applied entries after which a
	// snapshot is due, or twice the size of the last snapshot if that is more. This
	// keeps the cost of snapshots proportional to that of the log.
	minSnapshotIntervalBytes = 4 << 20
	// entryOverheadBytes is counted for each entry in addition to its data.
	entryOverheadBytes = 256
)

// receivedMessage is a Raft message and the name of the instance that sent it.
type receivedMessage struct {
	from string
	msg  consensus.Message
}

// callResult is the result of a call that runs on the replica's goroutine. Each call
// sets only the fields that belong to it.
type callResult struct {
	result       fleetstate.Result
	state        readState
	probe        probeReply
	silentTicks  uint64 // ticks since a leader was last known
	transferring bool   // a transfer of leadership is in progress
	diskFailed   bool   // a write to the disk has failed
	err          error
}

// readState is the state that linearizable reads return.
type readState struct {
	revision uint64
	orders   uint64 // as State.Orders
	view     *api.View
	history  []api.HistoryEntry
	accounts map[string]api.RolloutAccount // of running rollouts
}

// pending is a proposal that is not applied yet, with the callbacks of the calls that
// wait for it.
type pending struct {
	id        string
	term      uint64
	callbacks []func(callResult)
}

func (p *pending) complete(res callResult) {
	for _, done := range p.callbacks {
		done(res)
	}
}

// replica runs a consensus node on a log folder. Only the goroutine of runReplica
// uses it, except for status, which any goroutine may load.
type replica struct {
	c     *Control
	log   *wal.Log
	node  *consensus.Node
	state *fleetstate.State
	id    string

	instanceByID       map[string]string   // identity -> instance, from received messages
	pendingByIndex     map[uint64]*pending // proposals by log index
	pendingByID        map[string]*pending // proposals by command id
	pendingReads       map[uint64]func(callResult)
	waitingJoins       map[string]waitingJoin // by instance
	lastReadID         uint64
	reportedRole       consensus.Role
	reportedLeader     string
	reportedMembers    uint64 // as packed by memberCounts
	applied            uint64 // index of the last applied entry
	bytesSinceSnapshot int    // of entries applied since the last snapshot
	lastSnapshotBytes  int    // of state machine data
	retainBytes        int    // of entries before the snapshot that stay in memory; tests change it
	ticks              uint64
	diskFailed         bool // a write has failed; the node is empty until the log is reopened
	status             atomic.Pointer[api.ControlStatus]
}

func newReplica(c *Control, log *wal.Log, st *wal.State) (*replica, error) {
	r := &replica{
		c: c, instanceByID: map[string]string{}, pendingByIndex: map[uint64]*pending{},
		pendingByID: map[string]*pending{}, pendingReads: map[uint64]func(callResult){}, waitingJoins: map[string]waitingJoin{}, retainBytes: retainedLogBytes,
	}
	return r, r.load(log, st)
}

// load restores the state machine and starts the node from an opened log.
func (r *replica) load(log *wal.Log, st *wal.State) error {
	state, err := fleetstate.Restore(st.Snapshot.Data)
	if err != nil {
		return err
	}
	r.log, r.state, r.id, r.diskFailed = log, state, st.Identity, false
	r.applied, r.bytesSinceSnapshot, r.lastSnapshotBytes = st.Snapshot.Index, 0, len(st.Snapshot.Data)
	r.node = consensus.New(r.nodeConfig(), st.HardState, st.Snapshot, st.Entries)
	r.installView()
	r.publishStatus()
	return nil
}

func (r *replica) nodeConfig() consensus.Config {
	return consensus.Config{
		ID: r.id, ElectionTicks: r.c.timing().electionTicks,
		InitialElectionTicks: r.c.timing().firstElectionTicks, HeartbeatTicks: r.c.timing().heartbeatTicks,
		MaxAppendBytes: maxAppendBytes, ChunkBytes: snapshotChunkBytes, Random: rand.IntN,
	}
}

// tick advances the node by one tick. On the leader it also proposes due moves and
// membership changes.
func (r *replica) tick() {
	r.node.Tick()
	r.ticks++
	if r.node.Role() != consensus.Leader {
		return
	}
	r.proposeMoves()
	r.proposeJoins()
	r.maintainMembers()
}

// step passes a message to the node and records the sender's instance.
func (r *replica) step(m receivedMessage) {
	r.instanceByID[m.msg.From] = m.from
	r.node.Step(m.msg)
}

// processReady handles what the node has ready: it syncs state and entries to disk,
// then sends messages, applies committed entries and completes calls. An error means
// that the disk or the state machine has failed.
func (r *replica) processReady() error {
	for r.node.HasReady() {
		rd := r.node.Ready()
		if err := r.persist(rd); err != nil {
			return err
		}
		r.sendMessages(rd.Messages)
		if err := r.applyReady(rd); err != nil {
			return err
		}
		r.node.Advance(rd)
		if err := r.compactIfDue(); err != nil {
			return err
		}
	}
	r.reportChanges()
	return nil
}

// persist syncs the snapshot, hard state and entries of rd to disk.
func (r *replica) persist(rd consensus.Ready) error {
	hard := r.node.HardState()
	if rd.HardState != nil {
		hard = *rd.HardState
	}
	if rd.Snapshot != nil {
		r.c.metrics.syncs.Inc()
		if err := r.log.SaveSnapshot(*rd.Snapshot, hard, r.node.Entries(rd.Snapshot.Index)); err != nil {
			return err
		}
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	r.c.metrics.syncs.Inc()
	return r.log.Save(rd.HardState, rd.Entries)
}

// sendMessages sends messages to the instances of their receivers. A receiver that is
// not a member is looked up among the senders of earlier messages.
func (r *replica) sendMessages(msgs []consensus.Message) {
	for _, m := range msgs {
		to := r.node.Members().Instance(m.To)
		if to == "" {
			to = r.instanceByID[m.To]
		}
		if to == "" || r.c.mesh.Notify(to, methodRaft, pack(consensus.EncodeMessage(m))) != nil {
			r.c.metrics.unsent.Inc() // the consensus node resends
			continue
		}
		r.c.metrics.sent.Inc()
	}
}

// applyReady installs a received snapshot, applies committed entries and completes
// confirmed reads.
func (r *replica) applyReady(rd consensus.Ready) error {
	if rd.Snapshot != nil {
		state, err := fleetstate.Restore(rd.Snapshot.Data)
		if err != nil {
			return err
		}
		r.state, r.applied, r.bytesSinceSnapshot, r.lastSnapshotBytes = state, rd.Snapshot.Index, 0, len(rd.Snapshot.Data)
		r.recordEvent("snapshot-installed", "")
	}
	for _, e := range rd.Committed {
		r.applyEntry(e)
	}
	r.installView()
	for _, read := range rd.Reads {
		if done, ok := r.pendingReads[read.Context]; ok {
			delete(r.pendingReads, read.Context)
			done(callResult{state: readState{r.state.Revision(), r.state.Orders(), r.state.View(), r.state.History(maxHistoryEntries), r.state.RolloutAccounts()}})
		}
	}
	return nil
}

// applyEntry applies a committed entry and completes the call that proposed it. If
// another leader's entry has replaced the proposal, the call is retried.
func (r *replica) applyEntry(e consensus.Entry) {
	var result fleetstate.Result
	if e.Kind == consensus.EntryCommand {
		result = r.state.Apply(e.Data)
		r.c.metrics.applied.Inc()
	}
	r.applied = e.Index
	r.bytesSinceSnapshot += len(e.Data) + entryOverheadBytes
	p, ok := r.pendingByIndex[e.Index]
	if !ok {
		return
	}
	r.removePending(e.Index, p)
	if p.term != e.Term {
		p.complete(callResult{err: errRetry})
		return
	}
	p.complete(callResult{result: result})
}

func (r *replica) removePending(index uint64, p *pending) {
	delete(r.pendingByIndex, index)
	if r.pendingByID[p.id] == p {
		delete(r.pendingByID, p.id)
	}
}

// installView installs the view on this instance if it is newer. The lease or members
// plug-in distributes it to the other instances.
func (r *replica) installView() {
	v := r.state.View()
	if v.Revision <= r.c.fleet.View().Revision {
		return
	}
	r.c.fleet.Install(v)
}

// compactIfDue takes a snapshot and compacts the log once enough bytes of entries have
// been applied since the last one.
func (r *replica) compactIfDue() error {
	if r.applied == r.node.SnapshotIndex() || r.bytesSinceSnapshot < max(minSnapshotIntervalBytes, 2*r.lastSnapshotBytes) {
		return nil
	}
	data, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	s, ok := r.node.SnapshotAt(r.applied, data)
	if !ok {
		return errors.Errorf("control: cannot take a snapshot at entry %d", r.applied)
	}
	if err := r.log.SaveSnapshot(s, r.node.HardState(), r.node.Entries(s.Index)); err != nil {
		return err
	}
	r.node.Compact(s.Index, data, r.retainBytes)
	r.bytesSinceSnapshot, r.lastSnapshotBytes = 0, len(data)
	r.c.metrics.snapshots.Inc()
	return nil
}

// reportChanges publishes the status, reports changes of role, leader and membership,
// and fails the pending calls when the replica has lost leadership.
func (r *replica) reportChanges() {
	role, leader, members := r.node.Role(), r.node.Leader(), r.memberCounts()
	if role != consensus.Leader && r.reportedRole == consensus.Leader {
		r.failPendingCalls()
	}
	if role == consensus.Leader && r.reportedRole != consensus.Leader {
		r.c.metrics.elected.Inc()
	}
	changed := role != r.reportedRole || leader != r.reportedLeader || members != r.reportedMembers
	if changed {
		r.reportedRole, r.reportedLeader, r.reportedMembers = role, leader, members
		r.recordEvent(roleName(r), r.instanceOf(leader))
		logqueue.Notice(r.c.kernel.Log, "control replica status changed", "step", roleName(r), "leader", r.instanceOf(leader), "term", r.node.Term())
	}
	r.publishStatus()
	if changed {
		r.c.statusChanged()
	}
}

// memberCounts returns the number of voters in the upper and of learners in the lower
// 32 bits.
func (r *replica) memberCounts() uint64 {
	m := r.node.Members()
	return uint64(len(m.Voters))<<32 | uint64(len(m.Learners))
}

// instanceOf returns the instance of a replica identity, or "" if it is not known.
func (r *replica) instanceOf(id string) string {
	if name := r.node.Members().Instance(id); name != "" || id == "" {
		return name
	}
	return r.instanceByID[id]
}

// failPendingCalls completes all pending proposals and reads with errRetry.
func (r *replica) failPendingCalls() {
	for i, p := range r.pendingByIndex {
		r.removePending(i, p)
		p.complete(callResult{err: errRetry})
	}
	for i, done := range r.pendingReads {
		delete(r.pendingReads, i)
		done(callResult{err: errRetry})
	}
}

func (r *replica) recordEvent(step, peer string) {
	r.c.kernel.Events.Record(kernel.Event{
		Kind: "control", Step: step, Peer: peer, Epoch: r.node.Term(), Revision: r.state.Revision(),
	})
}

// roleName returns the role for status and events: leader, candidate, follower,
// learner, or none if the replica is not a member.
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

// publishStatus stores the status that Control.Status returns.
func (r *replica) publishStatus() {
	m := r.node.Members()
	s := &api.ControlStatus{
		ReplicaID: r.id, Role: roleName(r), Leader: r.instanceOf(r.node.Leader()),
		Term: r.node.Term(), CommitIndex: r.node.CommitIndex(),
	}
	for _, v := range m.Voters {
		s.Voters = append(s.Voters, v.Instance)
	}
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		s.Members = append(s.Members, v.Instance)
	}
	r.status.Store(s)
}
