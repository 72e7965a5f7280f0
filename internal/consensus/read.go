package consensus

// readQueue holds reads until a quorum has confirmed that the node still leads.
type readQueue struct {
	seq       uint64 // newest sequence number sent with heartbeats
	pending   []pendingRead
	confirmed []Read // for the next Ready
}

// pendingRead is a read with its sequence number. Its Index is the commit index at the
// time of the request.
type pendingRead struct {
	seq uint64
	Read
}

// clear drops all reads. The sequence number continues, so that a delayed reply to an
// earlier heartbeat of the same term does not confirm a new read.
func (q *readQueue) clear() { q.pending, q.confirmed = nil, nil }

// ReadIndex requests a linearisable read. Once a quorum has confirmed that the node
// still leads, Ready.Reads has an entry with the same context. Reads that are pending
// when the node steps down are dropped without notice. ReadIndex fails with
// ErrNotLeader, or with ErrNotReady while no entry of the leader's term is committed:
// until then the commit index may be behind that of an earlier leader.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.committedInTerm() {
		return ErrNotReady
	}
	n.reads.seq++
	n.reads.pending = append(n.reads.pending, pendingRead{n.reads.seq, Read{context, n.log.commit}})
	n.sendHeartbeats()
	n.confirmReads()
	return nil
}

// confirmReads moves the reads that a quorum has confirmed from pending to confirmed.
func (n *Node) confirmReads() {
	q := &n.reads
	for len(q.pending) > 0 {
		r := q.pending[0]
		if n.countVoters(func(p *progress) bool { return p.confirmedReadSeq >= r.seq }) < n.members().quorum() {
			return
		}
		q.confirmed = append(q.confirmed, r.Read)
		q.pending = q.pending[1:]
	}
}
