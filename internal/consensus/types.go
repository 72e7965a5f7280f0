package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// EntryKind tells how an entry is applied.
type EntryKind uint8

// Kinds of entries.
const (
	EntryEmpty   EntryKind = 0 // marks the start of a leader's term
	EntryCommand EntryKind = 1 // data for the state machine
	EntryMembers EntryKind = 2 // an encoded Membership, in force once appended
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be durable before messages of the same Ready are sent.
type HardState struct {
	Term uint64
	Vote string
}

// Member is one replica: the identity of its disk and the instance it runs on.
type Member struct {
	ID       string
	Instance string
}

// Membership lists the replicas. Learners receive the log but do not vote.
type Membership struct {
	Voters   []Member
	Learners []Member
}

// Voter reports whether the identity is a voter.
func (m Membership) Voter(id string) bool { return find(m.Voters, id) >= 0 }

// Learner reports whether the identity is a learner.
func (m Membership) Learner(id string) bool { return find(m.Learners, id) >= 0 }

// Has reports whether the identity is a voter or a learner.
func (m Membership) Has(id string) bool { return m.Voter(id) || m.Learner(id) }

// Instance returns the instance of a member, or "".
func (m Membership) Instance(id string) string {
	for _, list := range [][]Member{m.Voters, m.Learners} {
		if i := find(list, id); i >= 0 {
			return list[i].Instance
		}
	}
	return ""
}

func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

func find(list []Member, id string) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.ID == id })
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Membership
	Data    []byte
}

// Bootstrap returns the snapshot from which a new group starts.
func Bootstrap(m Membership, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: 1, Members: m, Data: data}
}

// MessageType selects the meaning of a message.
type MessageType uint8

// Message types.
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
	MsgTimeoutNow
	msgEnd
)

// Message travels between replicas. Unused fields are zero.
type Message struct {
	Type    MessageType
	From    string
	To      string
	Term    uint64
	Index   uint64 // last index (votes), previous index (append), matched or refused index (replies), snapshot index
	LogTerm uint64 // term of the entry at Index, in a refusal of the entry at Hint
	Commit  uint64
	Reject  bool
	Hint    uint64 // refusal: newest index at which the logs may agree
	Force   bool   // vote requested by the leader itself (transfer)
	Reply   bool   // heartbeat: an answer is wanted
	Read    uint64 // sequence number of the reads that a heartbeat confirms
	Entries []Entry
	Offset  uint64 // snapshot: position of Chunk, reply: bytes received
	Total   uint64 // snapshot: length of the whole data
	Chunk   []byte
	Members Membership
}

// Role is the role of a node.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Read is a confirmed read: the state machine may answer once it has applied Index.
type Read struct {
	Context uint64
	Index   uint64
}

// Ready is the work that the caller must do, in the order of the package comment.
type Ready struct {
	Hard      *HardState // nil if unchanged
	Snapshot  *Snapshot  // received from the leader; nil if none
	Entries   []Entry    // to append; replaces stored entries from Entries[0].Index on
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Config sets the identity and the timing of a node.
type Config struct {
	ID string
	// ElectionTicks is the shortest election timeout. The timeout is random
	// below twice this value.
	ElectionTicks int
	// FirstTicks replaces ElectionTicks until the node has known a leader since its
	// start, so that a group that was stopped as a whole is soon led again. 0 = the same.
	FirstTicks int
	// HeartbeatTicks is the interval of the leader's heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one message; one entry always fits.
	MaxAppendBytes int
	// ChunkBytes bounds the snapshot data of one message.
	ChunkBytes int
	// Random returns a number in [0, n).
	Random func(n int) int
}

// Errors of proposals.
var (
	ErrNotLeader = errors.New("consensus: not the leader")
	ErrTransfer  = errors.New("consensus: leadership is being transferred")
	ErrNotReady  = errors.New("consensus: leader has not committed an entry of its term yet")
	ErrPending   = errors.New("consensus: a membership change is pending")
	ErrChange    = errors.New("consensus: invalid membership change")
)
