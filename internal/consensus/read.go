package consensus

// readQueue holds reads until a quorum confirms that the leader still leads.
type readQueue struct {
	seq     uint64 // newest sequence number sent with heartbeats
	waiting []pendingRead
	done    []Read
}

type pendingRead struct {
	seq uint64
	Read
}

// clear forgets the waiting reads. The sequence number goes on, so that a late
// reply to an earlier heartbeat of the same term confirms nothing.
func (q *readQueue) clear() { q.waiting, q.done = nil, nil }

// ReadIndex asks for a confirmed read. Ready answers it with the same context.
// Reads that wait when the node ceases to lead are never answered.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.committedInTerm() {
		return ErrNotReady
	}
	n.reads.seq++
	n.reads.waiting = append(n.reads.waiting, pendingRead{n.reads.seq, Read{context, n.log.commit}})
	n.heartbeat()
	n.confirmReads()
	return nil
}

func (n *Node) confirmReads() {
	q := &n.reads
	for len(q.waiting) > 0 {
		r := q.waiting[0]
		if n.count(func(p *progress) bool { return p.read >= r.seq }) < n.members().quorum() {
			return
		}
		q.done = append(q.done, r.Read)
		q.waiting = q.waiting[1:]
	}
}
