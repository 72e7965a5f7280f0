package consensus

import "slices"

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes. Each changes the voters by at most one, so that the
// quorums before and after intersect.
const (
	AddLearner ChangeKind = iota + 1
	Promote               // makes a learner a voter
	Remove                // removes a voter or a learner
)

// Change is one membership change. Promote and Remove find the member by its ID.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// ProposeChange appends a membership change, which is in force at once. It fails with
// ErrNotLeader or ErrTransferring like Propose, with ErrChangePending while an earlier
// change is not committed, with ErrNotReady while the first entry of the leader's term
// is not committed, and with ErrInvalidChange if the change does not fit the
// membership. A change before that first commit could overlap with one of an earlier
// leader, and the quorums of the two might not intersect.
func (n *Node) ProposeChange(c Change) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transfer.transferee != "":
		return ErrTransferring
	case n.log.membershipIndex() > n.log.commit:
		return ErrChangePending
	case !n.committedInTerm():
		return ErrNotReady
	}
	m, ok := n.members().apply(c)
	if !ok {
		return ErrInvalidChange
	}
	n.appendEntry(EntryMembers, EncodeMembership(m))
	n.syncPeers()
	return nil
}

// apply returns the membership after a change, or false if the change is invalid: an
// empty ID, a learner that is already a member, a promotion of a replica that is no
// learner, or the removal of an unknown replica or of the only voter.
func (m Membership) apply(c Change) (Membership, bool) {
	out := Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	v, l := memberIndex(out.Voters, c.Member.ID), memberIndex(out.Learners, c.Member.ID)
	switch {
	case c.Kind == AddLearner && v < 0 && l < 0 && c.Member.ID != "":
		out.Learners = append(out.Learners, c.Member)
	case c.Kind == Promote && l >= 0:
		out.Voters = append(out.Voters, out.Learners[l])
		out.Learners = slices.Delete(out.Learners, l, l+1)
	case c.Kind == Remove && l >= 0:
		out.Learners = slices.Delete(out.Learners, l, l+1)
	case c.Kind == Remove && v >= 0 && len(out.Voters) > 1:
		out.Voters = slices.Delete(out.Voters, v, v+1)
	default:
		return m, false
	}
	return out, true
}

// committedInTerm reports whether an entry of the current term is committed.
func (n *Node) committedInTerm() bool {
	t, ok := n.log.term(n.log.commit)
	return ok && t == n.term
}

// TransferLeadership starts a transfer of the leadership to the connected voter with the
// newest log. Once that voter has the whole log, it is sent MsgTimeoutNow. Proposals
// fail with ErrTransferring meanwhile. After ElectionTicks without a new leader the
// transfer is given up. TransferLeadership returns false if the node is not the leader
// or if no other voter has replied within ElectionTicks.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	best := ""
	for _, v := range n.members().Voters {
		p, ok := n.peers[v.ID]
		if ok && n.now-p.lastContactTick <= uint64(n.cfg.ElectionTicks) && (best == "" || p.match > n.peers[best].match) {
			best = v.ID
		}
	}
	if best == "" {
		return false
	}
	n.transfer = leaderTransfer{transferee: best, deadlineTick: n.now + uint64(n.cfg.ElectionTicks)}
	n.checkTransfer()
	return true
}

// checkTransfer sends MsgTimeoutNow once the transferee has the whole log.
func (n *Node) checkTransfer() {
	t := &n.transfer
	p, ok := n.peers[t.transferee]
	if ok && !t.timeoutNowSent && p.match == n.log.lastIndex() {
		t.timeoutNowSent = true
		n.send(Message{Type: MsgTimeoutNow, To: t.transferee})
	}
}
