package consensus

import "slices"

// ChangeKind selects a membership change.
type ChangeKind uint8

// Membership changes. Each changes the voters by at most one, so that the
// quorums before and after intersect.
const (
	AddLearner ChangeKind = iota + 1
	Promote               // a learner becomes a voter
	Remove                // a voter or learner leaves
)

// Change is one membership change.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// ProposeChange appends a membership change. It is refused while an earlier one
// or the first entry of the leader's term is not committed: a change made before
// that could overlap with one of an earlier leader without a common quorum.
func (n *Node) ProposeChange(c Change) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transfer.to != "":
		return ErrTransfer
	case n.log.membersIndex() > n.log.commit:
		return ErrPending
	case !n.committedInTerm():
		return ErrNotReady
	}
	m, ok := n.members().apply(c)
	if !ok {
		return ErrChange
	}
	n.appendEntry(EntryMembers, EncodeMembership(m))
	n.syncPeers()
	return nil
}

func (m Membership) apply(c Change) (Membership, bool) {
	out := Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	v, l := find(out.Voters, c.Member.ID), find(out.Learners, c.Member.ID)
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

func (n *Node) committedInTerm() bool {
	t, ok := n.log.term(n.log.commit)
	return ok && t == n.term
}

// Transfer hands leadership to the voter with the newest log, once it has the
// whole log. Proposals are refused meanwhile. It reports whether a voter is
// there; the transfer ends without effect after one election timeout.
func (n *Node) Transfer() bool {
	if n.role != Leader {
		return false
	}
	best := ""
	for _, v := range n.members().Voters {
		p, ok := n.peers[v.ID]
		if ok && n.now-p.heard <= uint64(n.cfg.ElectionTicks) && (best == "" || p.match > n.peers[best].match) {
			best = v.ID
		}
	}
	if best == "" {
		return false
	}
	n.transfer = transfer{to: best, deadline: n.now + uint64(n.cfg.ElectionTicks)}
	n.checkTransfer()
	return true
}

func (n *Node) checkTransfer() {
	t := &n.transfer
	p, ok := n.peers[t.to]
	if ok && !t.sent && p.match == n.log.last() {
		t.sent = true
		n.send(Message{Type: MsgTimeoutNow, To: t.to})
	}
}
