package consensus

// incoming is a snapshot of which a prefix has been received.
type incoming struct {
	position
	data []byte
}

// maxSnapshotBytes bounds the memory that a received snapshot may take.
const maxSnapshotBytes = 1 << 30

// sendSnapshot sends the next chunk of the newest snapshot.
func (n *Node) sendSnapshot(id string, p *progress) {
	s := n.log.snap
	if p.flow != snapshot || p.snap != s.Index {
		p.flow, p.snap, p.offset = snapshot, s.Index, 0
	}
	end := min(p.offset+uint64(n.cfg.ChunkBytes), uint64(len(s.Data)))
	n.send(Message{
		Type: MsgSnapshot, To: id, Index: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: p.offset, Total: uint64(len(s.Data)), Chunk: s.Data[p.offset:end],
	})
	p.paused, p.sent = true, n.now
}

// handleSnapshotReply sends the chunk after the bytes that the peer has.
func (n *Node) handleSnapshotReply(m Message, p *progress) {
	if p.flow != snapshot || m.Index != p.snap || m.Offset > uint64(len(n.log.snap.Data)) {
		return
	}
	p.offset, p.paused = m.Offset, false
	n.sendSnapshot(m.From, p)
}

// handleSnapshot collects chunks and installs the snapshot once it is whole.
func (n *Node) handleSnapshot(m Message) {
	if m.Index <= n.log.commit {
		n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit})
		return
	}
	at := position{m.Index, m.LogTerm}
	if n.incoming == nil || n.incoming.position != at {
		n.incoming = &incoming{position: at}
	}
	in := n.incoming
	if m.Offset == uint64(len(in.data)) && m.Total <= maxSnapshotBytes {
		in.data = append(in.data, m.Chunk...)
	}
	if uint64(len(in.data)) < m.Total {
		n.send(Message{Type: MsgSnapshotReply, To: m.From, Index: m.Index, Offset: uint64(len(in.data))})
		return
	}
	n.incoming = nil
	n.install(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: in.data})
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: m.Index})
}

// install replaces the state by the snapshot. Entries after it stay if the log
// agrees with the snapshot at its index.
func (n *Node) install(s Snapshot) {
	keep := []Entry(nil)
	stable := n.log.stable
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		keep = n.log.slice(s.Index+1, n.log.last(), 0)
	}
	n.log.reset(s)
	for _, e := range keep {
		n.log.push(e)
	}
	n.log.stable = max(s.Index, min(stable, n.log.last()))
	n.restored = &s
}
