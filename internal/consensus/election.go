package consensus

// campaign starts a pre-vote round, or an election if role is Candidate. A
// pre-vote changes no term, so that a replica without a quorum stays harmless.
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
		n.send(Message{Type: kind, To: v.ID, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force})
	}
	n.countVotes()
}

// handleVote answers a vote or pre-vote whose term is not below the own one.
func (n *Node) handleVote(m Message) {
	free := n.vote == m.From || (n.vote == "" && n.leader == "")
	pre := m.Type == MsgPreVote && m.Term > n.term
	current := m.LogTerm > n.log.lastTerm() || (m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last())
	reply := Message{Type: MsgVoteReply, To: m.From}
	if m.Type == MsgPreVote {
		reply.Type = MsgPreVoteReply
	}
	if !(free || pre) || !current {
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

func (n *Node) handleVoteReply(m Message) {
	want := PreCandidate
	if m.Type == MsgVoteReply {
		want = Candidate
	}
	// A granted pre-vote names the term of the election to come; one of an
	// earlier round must not count.
	if n.role != want || (want == PreCandidate && !m.Reject && m.Term != n.term+1) {
		return
	}
	if _, ok := n.votes[m.From]; !ok {
		n.votes[m.From] = !m.Reject
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	granted, refused := 0, 0
	for _, v := range n.members().Voters {
		if g, ok := n.votes[v.ID]; ok && g {
			granted++
		} else if ok {
			refused++
		}
	}
	switch q := n.members().quorum(); {
	case granted >= q && n.role == PreCandidate:
		n.campaign(Candidate, false)
	case granted >= q:
		n.becomeLeader()
	case refused >= q:
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes, n.led = Leader, n.cfg.ID, nil, true
	n.transfer = transfer{}
	n.reads.clear()
	n.peers = map[string]*progress{}
	n.syncPeers()
	n.appendEntry(EntryEmpty, nil)
}

// handleLeader handles a message of the leader of the current term.
func (n *Node) handleLeader(m Message) {
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader, n.heard, n.led = m.From, n.now, true
	n.resetTimer()
	switch m.Type {
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.log.commit = max(n.log.commit, min(m.Commit, n.log.last()))
		if m.Reply {
			n.send(Message{Type: MsgHeartbeatReply, To: m.From, Read: m.Read})
		}
	case MsgSnapshot:
		n.handleSnapshot(m)
	}
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.commit {
		// Everything up to commit agrees with any leader's log.
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		hint := n.log.agree(m.Index, m.LogTerm)
		t, _ := n.log.term(hint)
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint, LogTerm: t})
		return
	}
	n.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: last})
}
