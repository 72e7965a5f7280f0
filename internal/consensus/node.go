package consensus

// Node is one replica of the log. It is not safe for concurrent use.
type Node struct {
	cfg Config
	log *entryLog

	term    uint64
	vote    string
	saved   HardState
	role    Role
	leader  string // identity of the known leader, "" if unknown
	now     uint64 // ticks since start
	heard   uint64 // tick of the last message from the leader
	started uint64 // tick at which the election timer was reset
	timeout uint64 // ticks until the next election attempt
	led     bool   // a leader has been known since the start

	votes    map[string]bool
	peers    map[string]*progress
	transfer transfer
	reads    readQueue
	incoming *incoming // snapshot being received

	messages []Message
	restored *Snapshot
}

// New returns a follower with the durable state of an earlier run. A zero
// snapshot and no entries make an empty replica, which waits to be added.
func New(cfg Config, hard HardState, snap Snapshot, entries []Entry) *Node {
	n := &Node{cfg: cfg, log: newEntryLog(snap, entries), term: hard.Term, vote: hard.Vote, saved: hard}
	n.term = max(n.term, n.log.lastTerm())
	n.resetTimer()
	return n
}

// Role returns the role of the node.
func (n *Node) Role() Role { return n.role }

// Leader returns the identity of the known leader, or "".
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Commit returns the newest committed index known here.
func (n *Node) Commit() uint64 { return n.log.commit }

// Last returns the newest index in the log.
func (n *Node) Last() uint64 { return n.log.last() }

// Members returns the membership in force, which may not be committed yet.
func (n *Node) Members() Membership { return n.log.members() }

// MembersAt returns the membership in force at an index of the log.
func (n *Node) MembersAt(index uint64) Membership { return n.log.membersAt(index) }

// Empty reports whether the replica has never been part of a group.
func (n *Node) Empty() bool { return n.log.last() == 0 }

// SilentTicks returns the ticks since a leader was last known.
func (n *Node) SilentTicks() uint64 {
	if n.role == Leader {
		return 0
	}
	return n.now - n.heard
}

// Tick advances time by one step.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.leader != "" && n.now-n.heard >= 2*uint64(n.cfg.ElectionTicks) {
		n.leader = ""
	}
	if n.now-n.started >= n.timeout && n.mayCampaign() {
		n.campaign(PreCandidate, false)
	}
}

// mayCampaign also holds for a voter whose removal is not committed: it may be
// the only one left with the newest log, without which no other can be elected.
// Its own vote does not count then.
func (n *Node) mayCampaign() bool {
	if n.members().Voter(n.cfg.ID) {
		return true
	}
	h := n.log.history
	return len(h) > 1 && n.log.membersIndex() > n.log.commit && h[len(h)-2].Voter(n.cfg.ID)
}

func (n *Node) members() Membership { return n.log.members() }

func (n *Node) resetTimer() {
	ticks := n.cfg.ElectionTicks
	if !n.led && n.cfg.FirstTicks > 0 {
		ticks = n.cfg.FirstTicks
	}
	n.started = n.now
	n.timeout = uint64(ticks + n.cfg.Random(ticks))
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = Follower, leader
	n.votes, n.peers = nil, nil
	n.transfer = transfer{}
	n.reads.clear()
	n.resetTimer()
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Step handles a message from another replica.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.From == "" {
		return
	}
	if m.Term > n.term && !n.newerTerm(m) {
		return
	}
	if m.Term < n.term {
		n.olderTerm(m)
		return
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.handleLeader(m)
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply:
		n.handleFollower(m)
	case MsgTimeoutNow:
		if n.mayCampaign() && n.role == Follower {
			n.campaign(Candidate, true)
		}
	}
}

// newerTerm handles the term of a message above the own one and reports whether
// the message is to be handled further.
func (n *Node) newerTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		// A replica that hears from a leader disregards candidates, so that a
		// replica that was isolated or removed disrupts nobody.
		if !m.Force && n.hearsLeader() {
			return false
		}
		if m.Type == MsgVote {
			n.becomeFollower(m.Term, "")
		}
	case MsgPreVoteReply:
		if m.Reject {
			n.becomeFollower(m.Term, "")
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// olderTerm tells a sender that its term is over.
func (n *Node) olderTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now-n.heard < uint64(n.cfg.ElectionTicks)
}

// HasReady reports whether Ready has work for the caller.
func (n *Node) HasReady() bool {
	n.replicate()
	return n.hard() != n.saved || n.restored != nil || n.log.stable < n.log.last() ||
		len(n.messages) > 0 || n.log.applied < n.appliable() || len(n.reads.done) > 0
}

func (n *Node) hard() HardState { return HardState{Term: n.term, Vote: n.vote} }

// appliable bounds the committed entries by what is durable after this Ready.
func (n *Node) appliable() uint64 { return min(n.log.commit, n.log.last()) }

// Ready returns the pending work. Advance must follow.
func (n *Node) Ready() Ready {
	n.replicate()
	rd := Ready{Snapshot: n.restored, Messages: n.messages, Reads: n.reads.done}
	if h := n.hard(); h != n.saved {
		rd.Hard = &h
	}
	rd.Entries = n.log.slice(n.log.stable+1, n.log.last(), 0)
	rd.Committed = n.log.slice(n.log.applied+1, n.appliable(), 0)
	return rd
}

// Advance tells the node that the work of the last Ready is done.
func (n *Node) Advance(rd Ready) {
	n.messages, n.restored, n.reads.done = nil, nil, nil
	if rd.Hard != nil {
		n.saved = *rd.Hard
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = rd.Committed[k-1].Index
	}
	if k := len(rd.Entries); k > 0 {
		n.log.stable = rd.Entries[k-1].Index
		if n.role == Leader {
			n.advanceCommit()
		}
	}
}

// Compact replaces the log up to an applied index by a snapshot of the state
// machine. The caller has made the snapshot durable. Entries before the
// snapshot stay in memory up to keepBytes.
func (n *Node) Compact(index uint64, data []byte, keepBytes int) {
	if s, ok := n.SnapshotAt(index, data); ok && index > n.log.snap.Index {
		n.log.compact(s, keepBytes)
	}
}

// SnapshotAt describes a snapshot of the state machine at an applied index.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	t, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: t, Members: n.log.membersAt(index), Data: data}, true
}

// Entries returns the stored entries after an index, for rewriting the log file.
func (n *Node) Entries(after uint64) []Entry {
	return n.log.slice(max(after, n.log.base.index)+1, n.log.stable, 0)
}

// Hard returns the state that is durable now.
func (n *Node) Hard() HardState { return n.saved }

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snap.Index }
