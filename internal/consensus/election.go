package consensus

// campaign starts a pre-vote, or an election if role is Candidate. A pre-vote does not
// change the term, so that a replica without a quorum does not disrupt the group when
// it returns. Force marks votes as part of a leadership transfer.
func (n *Node) campaign(role Role, force bool) {
	n.resetTimer()
	n.role, n.leader = role, ""
	n.votes = map[string]bool{n.cfg.ID: true}
	term, kind := n.term+1, MsgPreVote
	if role == Candidate {
		n.term, n.vote, kind = term, n.cfg.ID, MsgVote
	}
	for _, v := range n.members().Voters {
		if v.ID == n.cfg.ID {
			continue
		}
		n.send(Message{Type: kind, To: v.ID, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), LeaderTransfer: force})
	}
	n.countVotes()
}

// handleVoteRequest replies to a vote or pre-vote whose term is not below the current
// one. It grants it only to a candidate whose log is up to date. A vote is also bound
// to one candidate per term; a pre-vote for a higher term is not.
func (n *Node) handleVoteRequest(m Message) {
	canVote := n.vote == m.From || (n.vote == "" && n.leader == "")
	preVote := m.Type == MsgPreVote && m.Term > n.term
	upToDate := m.LogTerm > n.log.lastTerm() || (m.LogTerm == n.log.lastTerm() && m.Index >= n.log.lastIndex())
	reply := Message{Type: MsgVoteReply, To: m.From}
	if m.Type == MsgPreVote {
		reply.Type = MsgPreVoteReply
	}
	if !(canVote || preVote) || !upToDate {
		reply.Reject = true
		n.send(reply)
		return
	}
	if m.Type == MsgVote {
		n.vote = m.From
		n.resetTimer()
	} else {
		reply.Term = m.Term
	}
	n.send(reply)
}

// handleVoteReply counts a reply to a request of the campaign in progress.
func (n *Node) handleVoteReply(m Message) {
	wantRole := PreCandidate
	if m.Type == MsgVoteReply {
		wantRole = Candidate
	}
	// A granted pre-vote carries the term of the planned election; one of an earlier
	// campaign must not count.
	if n.role != wantRole || (wantRole == PreCandidate && !m.Reject && m.Term != n.term+1) {
		return
	}
	if _, ok := n.votes[m.From]; !ok {
		n.votes[m.From] = !m.Reject
	}
	n.countVotes()
}

// countVotes ends the campaign once a quorum has granted or rejected it.
func (n *Node) countVotes() {
	granted, rejected := 0, 0
	for _, v := range n.members().Voters {
		if g, ok := n.votes[v.ID]; ok && g {
			granted++
		} else if ok {
			rejected++
		}
	}
	switch quorum := n.members().quorum(); {
	case granted >= quorum && n.role == PreCandidate:
		n.campaign(Candidate, false)
	case granted >= quorum:
		n.becomeLeader()
	case rejected >= quorum:
		n.becomeFollower(n.term, "")
	}
}

// becomeLeader starts the leader's term with an empty entry, whose commit also commits
// the entries of earlier terms.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes, n.hadLeader = Leader, n.cfg.ID, nil, true
	n.transfer = leaderTransfer{}
	n.reads.clear()
	n.peers = map[string]*progress{}
	n.syncPeers()
	n.appendEntry(EntryEmpty, nil)
}

// handleLeaderMessage handles a message from the leader of the current term.
func (n *Node) handleLeaderMessage(m Message) {
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader, n.leaderContactTick, n.hadLeader = m.From, n.now, true
	n.resetTimer()
	switch m.Type {
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.log.commit = max(n.log.commit, min(m.Commit, n.log.lastIndex()))
		if m.WantReply {
			n.send(Message{Type: MsgHeartbeatReply, To: m.From, ReadSeq: m.ReadSeq})
		}
	case MsgSnapshot:
		n.handleSnapshot(m)
	}
}

// handleAppend appends the entries if the log agrees with the leader's at the index
// before them. Otherwise it rejects them with a hint where the logs may agree.
func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.commit {
		// Committed entries agree with the log of every later leader.
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		hint := n.log.findConflictByTerm(m.Index, m.LogTerm)
		t, _ := n.log.term(hint)
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint, LogTerm: t})
		return
	}
	n.log.appendFromLeader(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: last})
}
