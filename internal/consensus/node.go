package consensus

// Node is one replica of the log. It is not safe for concurrent use.
type Node struct {
	cfg Config
	log *entryLog

	term               uint64
	vote               string
	persistedHardState HardState // as of the last Advance
	role               Role
	leader             string // identity of the leader, "" if unknown
	now                uint64 // ticks since start
	leaderContactTick  uint64 // tick of the last message from the leader
	timerResetTick     uint64 // tick at which the election timer was reset
	electionTimeout    uint64 // ticks from timerResetTick to the next campaign
	hadLeader          bool   // a leader has been known at some time since the start

	votes           map[string]bool      // candidates: votes received, true if granted, by identity
	peers           map[string]*progress // leader: other members by identity
	transfer        leaderTransfer
	reads           readQueue
	partialSnapshot *partialSnapshot // snapshot being received, nil if none

	messages         []Message // for the next Ready
	unstableSnapshot *Snapshot // received completely, for the next Ready; nil if none
}

// New returns a follower that starts from the durable state of an earlier run. With
// a zero snapshot and no entries the replica is empty: it does not campaign until a
// leader has added it to a group.
func New(cfg Config, hard HardState, snap Snapshot, entries []Entry) *Node {
	n := &Node{cfg: cfg, log: newEntryLog(snap, entries), term: hard.Term, vote: hard.Vote, persistedHardState: hard}
	n.term = max(n.term, n.log.lastTerm())
	n.resetTimer()
	return n
}

// Role returns the role of the node.
func (n *Node) Role() Role { return n.role }

// Leader returns the identity of the leader, or "" if it is unknown.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// CommitIndex returns the newest index that the node knows to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Members returns the newest membership in the log. It is in force although its
// entry may not be committed yet.
func (n *Node) Members() Membership { return n.log.members() }

// MembersAt returns the membership in force at an index of the log. For an index
// before the oldest entry in memory it returns the oldest membership known.
func (n *Node) MembersAt(index uint64) Membership { return n.log.membersAt(index) }

// HasNoLog reports whether the log has neither a snapshot nor an entry, as in a replica
// that has never been part of a group.
func (n *Node) HasNoLog() bool { return n.log.lastIndex() == 0 }

// TicksSinceLeader returns the ticks since the last message from a leader, or since the
// start if there was none. It is 0 on the leader.
func (n *Node) TicksSinceLeader() uint64 {
	if n.role == Leader {
		return 0
	}
	return n.now - n.leaderContactTick
}

// Tick advances the time by one tick. It starts a campaign when the election
// timeout has passed, and on the leader sends heartbeats and checks the quorum.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.leader != "" && n.now-n.leaderContactTick >= 2*uint64(n.cfg.ElectionTicks) {
		n.leader = ""
	}
	if n.now-n.timerResetTick >= n.electionTimeout && n.mayCampaign() {
		n.campaign(PreCandidate, false)
	}
}

// mayCampaign reports whether the node is a voter, or was one before a membership
// change that is not committed. Such a removed voter may be the only one with the
// newest log; then no other replica can be elected before it has led. Its own vote
// does not count.
func (n *Node) mayCampaign() bool {
	if n.members().Voter(n.cfg.ID) {
		return true
	}
	memberships := n.log.memberships
	return len(memberships) > 1 && n.log.membershipIndex() > n.log.commit && memberships[len(memberships)-2].Voter(n.cfg.ID)
}

func (n *Node) members() Membership { return n.log.members() }

// resetTimer restarts the election timer with a new random timeout.
func (n *Node) resetTimer() {
	ticks := n.cfg.ElectionTicks
	if !n.hadLeader && n.cfg.InitialElectionTicks > 0 {
		ticks = n.cfg.InitialElectionTicks
	}
	n.timerResetTick = n.now
	n.electionTimeout = uint64(ticks + n.cfg.Random(ticks))
}

// becomeFollower follows the leader, "" if unknown, in a term that is not below the
// current one.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = Follower, leader
	n.votes, n.peers = nil, nil
	n.transfer = leaderTransfer{}
	n.reads.clear()
	n.resetTimer()
}

// send queues a message for the next Ready. A zero term stands for the current one.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Step handles a message from another replica. It ignores messages for another
// identity and messages without a sender.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.From == "" {
		return
	}
	if m.Term > n.term && !n.handleHigherTerm(m) {
		return
	}
	if m.Term < n.term {
		n.handleLowerTerm(m)
		return
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.handleVoteRequest(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.handleLeaderMessage(m)
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply:
		n.handlePeerReply(m)
	case MsgTimeoutNow:
		if n.mayCampaign() && n.role == Follower {
			n.campaign(Candidate, true)
		}
	}
}

// handleHigherTerm handles the term of a message whose term is above the current
// one. It reports whether the message itself is to be handled.
func (n *Node) handleHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		// A replica with a recent leader ignores candidates, so that a replica that
		// was isolated or removed does not disrupt the group.
		if !m.LeaderTransfer && n.hasRecentLeader() {
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

// handleLowerTerm rejects a message whose term is below the current one, so that its
// sender learns the current term.
func (n *Node) handleLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// hasRecentLeader reports whether the node leads or has received a message from the
// leader within the shortest election timeout.
func (n *Node) hasRecentLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now-n.leaderContactTick < uint64(n.cfg.ElectionTicks)
}

// HasReady reports whether Ready has work for the caller. On the leader it first
// queues the entries that peers lack.
func (n *Node) HasReady() bool {
	n.replicate()
	return n.hardState() != n.persistedHardState || n.unstableSnapshot != nil || n.log.stable < n.log.lastIndex() ||
		len(n.messages) > 0 || n.log.applied < n.maxAppliableIndex() || len(n.reads.confirmed) > 0
}

func (n *Node) hardState() HardState { return HardState{Term: n.term, Vote: n.vote} }

// maxAppliableIndex returns the newest index that is committed and in the log. The
// caller makes the log durable before it applies entries of the same Ready.
func (n *Node) maxAppliableIndex() uint64 { return min(n.log.commit, n.log.lastIndex()) }

// Ready returns the pending work. The caller passes it to Advance once it is done.
func (n *Node) Ready() Ready {
	n.replicate()
	rd := Ready{Snapshot: n.unstableSnapshot, Messages: n.messages, Reads: n.reads.confirmed}
	if h := n.hardState(); h != n.persistedHardState {
		rd.HardState = &h
	}
	rd.Entries = n.log.slice(n.log.stable+1, n.log.lastIndex(), 0)
	rd.Committed = n.log.slice(n.log.applied+1, n.maxAppliableIndex(), 0)
	return rd
}

// Advance reports that the work of the last Ready is done: its state is durable, its
// messages are sent and its entries are applied.
func (n *Node) Advance(rd Ready) {
	n.messages, n.unstableSnapshot, n.reads.confirmed = nil, nil, nil
	if rd.HardState != nil {
		n.persistedHardState = *rd.HardState
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

// Compact replaces the log up to an applied index by a snapshot, which the caller has
// made durable. Data is the encoded state machine at that index. The newest entries
// before the snapshot stay in memory, up to keepBytes bytes. Compact does nothing if
// index is not applied or not above the index of the newest snapshot.
func (n *Node) Compact(index uint64, data []byte, keepBytes int) {
	if s, ok := n.SnapshotAt(index, data); ok && index > n.log.snap.Index {
		n.log.compact(s, keepBytes)
	}
}

// SnapshotAt returns a snapshot with the term and the membership at an index. Data is
// the encoded state machine at that index. It returns false if the index is not
// applied or its term is no longer in memory.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	t, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: t, Members: n.log.membersAt(index), Data: data}, true
}

// Entries returns the durable entries after an index that are still in memory. They
// serve to rewrite the log file after a snapshot.
func (n *Node) Entries(after uint64) []Entry {
	return n.log.slice(max(after, n.log.base.index)+1, n.log.stable, 0)
}

// HardState returns the hard state that is durable as of the last Advance.
func (n *Node) HardState() HardState { return n.persistedHardState }

// SnapshotIndex returns the index of the newest snapshot, or 0 if there is none.
func (n *Node) SnapshotIndex() uint64 { return n.log.snap.Index }
