package consensus

// partialSnapshot is a snapshot whose data has been received up to some byte.
type partialSnapshot struct {
	position
	data []byte
}

// maxSnapshotBytes bounds the memory used by a received snapshot.
const maxSnapshotBytes = 1 << 30

// sendSnapshot sends the next chunk of the newest snapshot. It starts again at the first
// byte if that is another snapshot than before.
func (n *Node) sendSnapshot(id string, p *progress) {
	s := n.log.snap
	if p.state != stateSnapshot || p.snapshotIndex != s.Index {
		p.state, p.snapshotIndex, p.snapshotOffset = stateSnapshot, s.Index, 0
	}
	end := min(p.snapshotOffset+uint64(n.cfg.ChunkBytes), uint64(len(s.Data)))
	n.send(Message{
		Type: MsgSnapshot, To: id, Index: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: p.snapshotOffset, Total: uint64(len(s.Data)), Chunk: s.Data[p.snapshotOffset:end],
	})
	p.awaitingReply, p.lastSentTick = true, n.now
}

// handleSnapshotReply sends the chunk after the bytes that the peer has received.
func (n *Node) handleSnapshotReply(m Message, p *progress) {
	if p.state != stateSnapshot || m.Index != p.snapshotIndex || m.Offset > uint64(len(n.log.snap.Data)) {
		return
	}
	p.snapshotOffset, p.awaitingReply = m.Offset, false
	n.sendSnapshot(m.From, p)
}

// handleSnapshot collects chunks and installs the snapshot once it is complete.
func (n *Node) handleSnapshot(m Message) {
	if m.Index <= n.log.commit {
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit})
		return
	}
	pos := position{m.Index, m.LogTerm}
	if n.partialSnapshot == nil || n.partialSnapshot.position != pos {
		n.partialSnapshot = &partialSnapshot{position: pos}
	}
	partial := n.partialSnapshot
	if m.Offset == uint64(len(partial.data)) && m.Total <= maxSnapshotBytes {
		partial.data = append(partial.data, m.Chunk...)
	}
	if uint64(len(partial.data)) < m.Total {
		n.send(Message{Type: MsgSnapshotReply, To: m.From, Index: m.Index, Offset: uint64(len(partial.data))})
		return
	}
	n.partialSnapshot = nil
	n.installSnapshot(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: partial.data})
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: m.Index})
}

// installSnapshot replaces the log by the snapshot. Entries after it stay if the log has
// an entry with the index and the term of the snapshot.
func (n *Node) installSnapshot(s Snapshot) {
	suffix := []Entry(nil)
	stable := n.log.stable
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		suffix = n.log.slice(s.Index+1, n.log.lastIndex(), 0)
	}
	n.log.reset(s)
	for _, e := range suffix {
		n.log.push(e)
	}
	n.log.stable = max(s.Index, min(stable, n.log.lastIndex()))
	n.unstableSnapshot = &s
}
