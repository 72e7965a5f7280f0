package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// EntryKind selects the content of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryEmpty   EntryKind = 0 // no data; appended by a new leader at the start of its term
	EntryCommand EntryKind = 1 // a command for the state machine
	EntryMembers EntryKind = 2 // an encoded Membership, in force as soon as it is appended
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the term and the vote of a node. It must be durable before the
// messages of the same Ready are sent.
type HardState struct {
	Term uint64
	Vote string // identity of the candidate voted for in Term, "" if none
}

// Member is one replica of the group.
type Member struct {
	ID       string // identity of the replica, which belongs to its disk
	Instance string // name of the instance on which it runs
}

// Membership lists the replicas. Learners receive the log but do not vote.
type Membership struct {
	Voters   []Member
	Learners []Member
}

// Voter reports whether the replica with the identity is a voter.
func (m Membership) Voter(id string) bool { return memberIndex(m.Voters, id) >= 0 }

// Learner reports whether the replica with the identity is a learner.
func (m Membership) Learner(id string) bool { return memberIndex(m.Learners, id) >= 0 }

// Has reports whether the replica with the identity is a voter or a learner.
func (m Membership) Has(id string) bool { return m.Voter(id) || m.Learner(id) }

// Instance returns the name of the instance on which a member runs, or "" if
// there is no such member.
func (m Membership) Instance(id string) string {
	for _, list := range [][]Member{m.Voters, m.Learners} {
		if i := memberIndex(list, id); i >= 0 {
			return list[i].Instance
		}
	}
	return ""
}

func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

// memberIndex returns the position of a member in the list, or -1.
func memberIndex(list []Member, id string) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.ID == id })
}

// Snapshot is the state machine and the membership after the entry at Index. It
// replaces all entries up to that one.
type Snapshot struct {
	Index   uint64
	Term    uint64 // term of the entry at Index
	Members Membership
	Data    []byte // encoded state machine
}

// Bootstrap returns the snapshot from which all members of a new group start. It
// has index 1 and term 1; data is the encoded initial state machine.
func Bootstrap(m Membership, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: m, Data: data}
}

// MessageType is the type of a message.
type MessageType uint8

// Message types. Each reply belongs to the request before it. MsgAppendReply also
// replies to a MsgSnapshot that is complete or not needed, and rejects messages from a
// leader of an earlier term.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow // campaign at once: the leader transfers its leadership
	msgEnd        // one above the highest valid type
)

// Message is a message between replicas. Fields that its type does not use are zero.
// Index is, by type:
//   - votes: the last index of the candidate's log
//   - MsgAppend: the index before Entries
//   - MsgAppendReply: the matched or rejected index
//   - MsgSnapshot, MsgSnapshotReply: the index of the snapshot
type Message struct {
	Type           MessageType
	From           string
	To             string
	Term           uint64
	Index          uint64 // see above
	LogTerm        uint64 // term of the entry at Index; in a rejected append of the entry at Hint
	Commit         uint64 // append, heartbeat: commit index of the leader; see sendHeartbeats
	Reject         bool   // replies: the vote or append is rejected
	Hint           uint64 // rejected append: newest index at which the logs may agree
	LeaderTransfer bool   // vote: of a leadership transfer; not ignored although a leader is known
	WantReply      bool   // heartbeat: a reply is requested
	ReadSeq        uint64 // heartbeats: newest sequence number of the reads that a reply confirms
	Entries        []Entry
	Offset         uint64     // snapshot: position of Chunk in bytes; reply: bytes received
	Total          uint64     // snapshot: length of the whole data in bytes
	Chunk          []byte     // snapshot: part of its data
	Members        Membership // snapshot: membership at Index
}

// Role is the role of a node in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Read is a confirmed read. It may be served from the state machine as soon as the
// entry at Index has been applied.
type Read struct {
	Context uint64 // as passed to ReadIndex
	Index   uint64
}

// Ready is the work that the caller must do, in the order that the package comment
// gives.
type Ready struct {
	HardState *HardState // nil if unchanged
	Snapshot  *Snapshot  // received from the leader; nil if none
	Entries   []Entry    // to append to the stored log; replace its entries from Entries[0].Index on
	Messages  []Message  // to send
	Committed []Entry    // to apply to the state machine
	Reads     []Read     // reads that a quorum has confirmed
}

// Config sets the identity and the timing of a node.
type Config struct {
	// ID is the identity of the replica.
	ID string
	// ElectionTicks is the shortest election timeout in ticks. Each timeout is
	// random: at least this value, less than twice this value.
	ElectionTicks int
	// InitialElectionTicks replaces ElectionTicks for election timeouts until the node
	// knows a leader for the first time since its start, so that a group whose
	// replicas were all stopped soon elects a leader. 0 means ElectionTicks.
	InitialElectionTicks int
	// HeartbeatTicks is the interval of the leader's heartbeats in ticks.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entry data of one message in bytes. A single larger
	// entry is sent alone.
	MaxAppendBytes int
	// ChunkBytes bounds the snapshot data of one message in bytes.
	ChunkBytes int
	// Random returns a random number in [0, n). It sets election timeouts.
	Random func(n int) int
}

// Errors of proposals, membership changes and reads.
var (
	ErrNotLeader     = errors.New("consensus: not the leader")
	ErrTransferring  = errors.New("consensus: leadership is being transferred")
	ErrNotReady      = errors.New("consensus: leader has not committed an entry of its term yet")
	ErrChangePending = errors.New("consensus: a membership change is pending")
	ErrInvalidChange = errors.New("consensus: invalid membership change")
)
