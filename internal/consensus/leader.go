package consensus

import "slices"

// progressState selects how the leader sends to a peer.
type progressState uint8

const (
	stateProbe     progressState = iota // one message at a time until the logs agree
	stateReplicate                      // pipelined messages, sent without waiting for replies
	stateSnapshot                       // one chunk of a snapshot at a time
)

// progress is the replication progress of a peer, as the leader knows it.
type progress struct {
	match            uint64 // newest index known to be durable on the peer
	next             uint64 // index of the next entry to send
	state            progressState
	awaitingReply    bool   // no entries or chunks are sent before the next reply
	lastContactTick  uint64 // tick of the last reply; initially the tick at which the peer was added
	lastSentTick     uint64 // tick at which entries or a chunk were last sent
	confirmedReadSeq uint64 // newest read sequence number that the peer has confirmed
	snapshotOffset   uint64 // bytes of the snapshot that the peer has received
	snapshotIndex    uint64 // index of the snapshot being sent
}

// maxInflightEntries bounds the entries sent to a peer that it has not acknowledged.
const maxInflightEntries = 4096

// resendAfterHeartbeats is the time in heartbeat intervals after which a message
// without a reply counts as lost.
const resendAfterHeartbeats = 2

// leaderTransfer is a leadership transfer in progress; it is zero if there is none.
type leaderTransfer struct {
	transferee     string // identity of the next leader
	deadlineTick   uint64
	timeoutNowSent bool
}

// syncPeers adds and removes peers so that they match the membership.
func (n *Node) syncPeers() {
	m := n.members()
	for _, p := range slices.Concat(m.Voters, m.Learners) {
		if _, ok := n.peers[p.ID]; !ok && p.ID != n.cfg.ID {
			n.peers[p.ID] = &progress{next: n.log.lastIndex() + 1, lastContactTick: n.now}
		}
	}
	for id := range n.peers {
		if !m.Has(id) {
			delete(n.peers, id)
		}
	}
}

// appendEntry appends an entry of the current term to the log.
func (n *Node) appendEntry(kind EntryKind, data []byte) Entry {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.push(e)
	return e
}

// Propose appends a command and returns the index and the term of its entry. The
// command is committed once Ready.Committed has an entry with this index and term; an
// entry with this index and another term means that the command is lost. Propose
// fails with ErrNotLeader, or with ErrTransferring during a leadership transfer.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transfer.transferee != "" {
		return 0, 0, ErrTransferring
	}
	e := n.appendEntry(EntryCommand, data)
	return e.Index, e.Term, nil
}

// tickLeader steps down without a quorum (check quorum), gives up a transfer past its
// deadline and sends heartbeats when they are due.
func (n *Node) tickLeader() {
	if !n.hasQuorum() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.transfer.transferee != "" && n.now >= n.transfer.deadlineTick {
		n.transfer = leaderTransfer{}
	}
	if n.now%uint64(n.cfg.HeartbeatTicks) == 0 {
		n.sendHeartbeats()
	}
}

// hasQuorum reports whether a quorum has replied within ElectionTicks.
func (n *Node) hasQuorum() bool {
	return n.countVoters(func(p *progress) bool { return n.now-p.lastContactTick <= uint64(n.cfg.ElectionTicks) }) >= n.members().quorum()
}

// countVoters counts the voters for whose progress match returns true. The node itself
// always counts if it is a voter.
func (n *Node) countVoters(match func(*progress) bool) int {
	count := 0
	for _, v := range n.members().Voters {
		if v.ID == n.cfg.ID {
			count++
		} else if p, ok := n.peers[v.ID]; ok && match(p) {
			count++
		}
	}
	return count
}

// sendHeartbeats sends a heartbeat to each peer. The commit index in it is at most the
// match index of the peer, because the log of the peer may differ beyond that.
func (n *Node) sendHeartbeats() {
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		m := Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit), WantReply: n.wantsHeartbeatReply(p)}
		if len(n.reads.pending) > 0 {
			m.ReadSeq = n.reads.seq
		}
		n.send(m)
	}
}

// wantsHeartbeatReply reports whether to request a reply. A peer that lacks no entry
// replies only to every second heartbeat unless a read is pending, which saves
// messages. Two heartbeat intervals are shorter than an election timeout, so that the
// quorum check keeps its margin.
func (n *Node) wantsHeartbeatReply(p *progress) bool {
	return len(n.reads.pending) > 0 || p.match < n.log.lastIndex() || n.now-p.lastContactTick >= 2*uint64(n.cfg.HeartbeatTicks)-1
}

// peerIDs returns the identities of the peers in a fixed order, so that equal inputs
// give equal output.
func (n *Node) peerIDs() []string {
	ids := make([]string, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// replicate sends each peer the entries that it lacks, as far as its state allows.
func (n *Node) replicate() {
	if n.role != Leader {
		return
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		for !p.awaitingReply && p.next <= n.log.lastIndex() && p.next-p.match <= maxInflightEntries {
			n.sendAppend(id, p)
			if p.state != stateReplicate {
				break
			}
		}
	}
}

// sendAppend sends entries from p.next on, or a snapshot chunk if the entry before them
// is no longer in memory. Without new entries the message is empty; its reply shows
// whether the logs agree.
func (n *Node) sendAppend(id string, p *progress) {
	t, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.slice(p.next, n.log.lastIndex(), n.cfg.MaxAppendBytes)
	p.lastSentTick = n.now
	n.send(Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: t, Entries: entries, Commit: n.log.commit})
	if p.state == stateReplicate {
		p.next += uint64(len(entries))
		return
	}
	p.awaitingReply = true
}

// handlePeerReply handles a reply from a peer in the current term.
func (n *Node) handlePeerReply(m Message) {
	p, ok := n.peers[m.From]
	if n.role != Leader || !ok {
		return
	}
	p.lastContactTick = n.now
	switch {
	case m.Type == MsgHeartbeatReply:
		n.handleHeartbeatReply(m, p)
	case m.Type == MsgSnapshotReply:
		n.handleSnapshotReply(m, p)
	case m.Reject:
		n.handleAppendReject(m, p)
	default:
		n.handleAppendAccept(m, p)
	}
}

// handleHeartbeatReply confirms reads and detects lost messages. If the peer lacks
// entries although nothing was sent for resendAfterHeartbeats, it sends again. A peer in
// stateReplicate rejects entries after a gap, which resets p.next.
func (n *Node) handleHeartbeatReply(m Message, p *progress) {
	p.confirmedReadSeq = max(p.confirmedReadSeq, m.ReadSeq)
	n.confirmReads()
	if n.now-p.lastSentTick < resendAfterHeartbeats*uint64(n.cfg.HeartbeatTicks) {
		return // the reply may still arrive: large messages take time
	}
	p.awaitingReply = false
	cannotSendNext := p.next > n.log.lastIndex() || p.next-p.match > maxInflightEntries
	if p.match < n.log.lastIndex() && (p.state != stateReplicate || cannotSendNext) {
		n.sendAppend(m.From, p)
	}
}

// handleAppendReject moves p.next back to where the logs may agree and probes there.
func (n *Node) handleAppendReject(m Message, p *progress) {
	if m.Index <= p.match || p.state == stateSnapshot || (p.state == stateProbe && m.Index != p.next-1) {
		return // a reply to an earlier message
	}
	p.next = max(min(n.log.findConflictByTerm(m.Hint, m.LogTerm)+1, m.Index), p.match+1)
	p.state, p.awaitingReply = stateProbe, false
}

// handleAppendAccept records that the peer has the log up to m.Index.
func (n *Node) handleAppendAccept(m Message, p *progress) {
	if m.Index > n.log.lastIndex() {
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.state == stateProbe || (p.state == stateSnapshot && p.match >= p.snapshotIndex) {
		p.state, p.awaitingReply, p.next = stateReplicate, false, p.match+1
	}
	n.advanceCommit()
	n.checkTransfer()
}

// advanceCommit commits the entries that are durable on a quorum. Only an entry of the
// current term is committed by counting replicas, together with all entries before it:
// an entry of an earlier term could still be replaced by a later leader.
func (n *Node) advanceCommit() {
	matches := []uint64{}
	for _, v := range n.members().Voters {
		if v.ID == n.cfg.ID {
			matches = append(matches, n.log.stable)
		} else {
			matches = append(matches, n.peers[v.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.members().quorum()]
	if t, ok := n.log.term(index); !ok || t != n.term || index <= n.log.commit {
		return
	}
	n.log.commit = index
	n.confirmReads()
	if !n.members().Has(n.cfg.ID) && n.log.membershipIndex() <= index {
		n.becomeFollower(n.term, "") // this replica has been removed
	}
}

// Progress returns the newest index known to be durable on a peer and the ticks since
// its last reply. It returns false if the node is not the leader or the identity is not
// one of its peers.
func (n *Node) Progress(id string) (match, silentTicks uint64, ok bool) {
	p, ok := n.peers[id]
	if !ok {
		return 0, 0, false
	}
	return p.match, n.now - p.lastContactTick, true
}
