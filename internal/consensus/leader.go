package consensus

import "slices"

// flow is how the leader sends to a peer.
type flow uint8

const (
	probing     flow = iota // one message at a time until the logs agree
	replicating             // messages follow each other without waiting
	snapshot                // chunks of a snapshot, one at a time
)

// progress is what the leader knows about a peer.
type progress struct {
	match  uint64 // newest index known to be durable at the peer
	next   uint64 // next index to send
	flow   flow
	paused bool   // a message is under way; a reply or heartbeat reply resumes
	heard  uint64 // tick of the last message
	sent   uint64 // tick of the last entries or chunk sent
	read   uint64 // newest read sequence that the peer confirmed
	offset uint64 // bytes of the snapshot that the peer has
	snap   uint64 // index of the snapshot being sent
}

// maxInFlight bounds the entries sent to a peer without an answer.
const maxInFlight = 4096

// resendHeartbeats is the time in heartbeats after which an unanswered message
// counts as lost.
const resendHeartbeats = 2

// transfer is a leadership transfer under way.
type transfer struct {
	to       string
	deadline uint64
	sent     bool
}

// syncPeers makes the table of peers follow the membership.
func (n *Node) syncPeers() {
	m := n.members()
	for _, p := range slices.Concat(m.Voters, m.Learners) {
		if _, ok := n.peers[p.ID]; !ok && p.ID != n.cfg.ID {
			n.peers[p.ID] = &progress{next: n.log.last() + 1, heard: n.now}
		}
	}
	for id := range n.peers {
		if !m.Has(id) {
			delete(n.peers, id)
		}
	}
}

func (n *Node) appendEntry(kind EntryKind, data []byte) Entry {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.push(e)
	return e
}

// Propose appends a command. The entry is committed if Ready hands out an entry
// with the same index and term; another term at that index means it is lost.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transfer.to != "" {
		return 0, 0, ErrTransfer
	}
	e := n.appendEntry(EntryCommand, data)
	return e.Index, e.Term, nil
}

func (n *Node) tickLeader() {
	if !n.hasQuorum() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.transfer.to != "" && n.now >= n.transfer.deadline {
		n.transfer = transfer{}
	}
	if n.now%uint64(n.cfg.HeartbeatTicks) == 0 {
		n.heartbeat()
	}
}

// hasQuorum reports whether a quorum was heard within one election timeout.
func (n *Node) hasQuorum() bool {
	return n.count(func(p *progress) bool { return n.now-p.heard <= uint64(n.cfg.ElectionTicks) }) >= n.members().quorum()
}

// count counts the voters for which f holds; it holds for the node itself.
func (n *Node) count(f func(*progress) bool) int {
	c := 0
	for _, v := range n.members().Voters {
		if v.ID == n.cfg.ID {
			c++
		} else if p, ok := n.peers[v.ID]; ok && f(p) {
			c++
		}
	}
	return c
}

func (n *Node) heartbeat() {
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		m := Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit), Reply: n.wantsReply(p)}
		if len(n.reads.waiting) > 0 {
			m.Read = n.reads.seq
		}
		n.send(m)
	}
}

// wantsReply spares idle peers every second answer. Two heartbeats are below an
// election timeout, so that the quorum check keeps its margin.
func (n *Node) wantsReply(p *progress) bool {
	return len(n.reads.waiting) > 0 || p.match < n.log.last() || n.now-p.heard >= 2*uint64(n.cfg.HeartbeatTicks)-1
}

// peerIDs returns the peers in a fixed order, so that runs can be repeated.
func (n *Node) peerIDs() []string {
	ids := make([]string, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// replicate sends to each peer what it lacks.
func (n *Node) replicate() {
	if n.role != Leader {
		return
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		for !p.paused && p.next <= n.log.last() && p.next-p.match <= maxInFlight {
			n.sendAppend(id, p)
			if p.flow != replicating {
				break
			}
		}
	}
}

func (n *Node) sendAppend(id string, p *progress) {
	t, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.slice(p.next, n.log.last(), n.cfg.MaxAppendBytes)
	p.sent = n.now
	n.send(Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: t, Entries: entries, Commit: n.log.commit})
	if p.flow == replicating {
		p.next += uint64(len(entries))
		return
	}
	p.paused = true
}

// handleFollower handles a reply of a peer in the current term.
func (n *Node) handleFollower(m Message) {
	p, ok := n.peers[m.From]
	if n.role != Leader || !ok {
		return
	}
	p.heard = n.now
	switch {
	case m.Type == MsgHeartbeatReply:
		n.handleHeartbeatReply(m, p)
	case m.Type == MsgSnapshotReply:
		n.handleSnapshotReply(m, p)
	case m.Reject:
		n.handleRefusal(m, p)
	default:
		n.handleMatch(m, p)
	}
}

// handleHeartbeatReply also sends again what a lost message carried.
func (n *Node) handleHeartbeatReply(m Message, p *progress) {
	p.read = max(p.read, m.Read)
	n.confirmReads()
	if n.now-p.sent < resendHeartbeats*uint64(n.cfg.HeartbeatTicks) {
		return // the answer may be under way, and a message may be large
	}
	p.paused = false
	idle := p.next > n.log.last() || p.next-p.match > maxInFlight
	if p.match < n.log.last() && (p.flow != replicating || idle) {
		n.sendAppend(m.From, p)
	}
}

func (n *Node) handleRefusal(m Message, p *progress) {
	if m.Index <= p.match || p.flow == snapshot || (p.flow == probing && m.Index != p.next-1) {
		return // an answer to an earlier message
	}
	p.next = max(min(n.log.agree(m.Hint, m.LogTerm)+1, m.Index), p.match+1)
	p.flow, p.paused = probing, false
}

func (n *Node) handleMatch(m Message, p *progress) {
	if m.Index > n.log.last() {
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.flow == probing || (p.flow == snapshot && p.match >= p.snap) {
		p.flow, p.paused, p.next = replicating, false, p.match+1
	}
	n.advanceCommit()
	n.checkTransfer()
}

// advanceCommit commits what a quorum has made durable. Only an entry of the own
// term commits the entries before it; one of an earlier term could be replaced.
func (n *Node) advanceCommit() {
	match := []uint64{}
	for _, v := range n.members().Voters {
		if v.ID == n.cfg.ID {
			match = append(match, n.log.stable)
		} else {
			match = append(match, n.peers[v.ID].match)
		}
	}
	if len(match) == 0 {
		return
	}
	slices.Sort(match)
	index := match[len(match)-n.members().quorum()]
	if t, ok := n.log.term(index); !ok || t != n.term || index <= n.log.commit {
		return
	}
	n.log.commit = index
	n.confirmReads()
	if !n.members().Has(n.cfg.ID) && n.log.membersIndex() <= index {
		n.becomeFollower(n.term, "") // this replica has been removed
	}
}

// Progress returns the newest durable index of a peer and the ticks since it was
// heard. It is known to the leader only.
func (n *Node) Progress(id string) (match, silent uint64, ok bool) {
	p, ok := n.peers[id]
	if !ok {
		return 0, 0, false
	}
	return p.match, n.now - p.heard, true
}
