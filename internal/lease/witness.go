package lease

import (
	"slices"
	"time"
)

// unansweredReportAge is the time without a lease reply to a peer from which a
// witness reports the peer as unanswered. It is longer than two heartbeat
// intervals, so that replies stay small while all peers send heartbeats.
const unansweredReportAge = 1200 * time.Millisecond

// vote is the newest grant of this witness for one pool.
type vote struct {
	owner   string // instance to which the pool was granted
	boot    uint64 // boot of that instance
	epoch   uint64 // highest epoch granted
	expires time.Duration
}

// free reports whether the witness has granted the pool to nobody or the grant has
// expired.
func (v *vote) free(now time.Duration) bool { return v.owner == "" || now >= v.expires }

// HandleHeartbeat processes a peer's heartbeat and returns the reply to it, without
// its Seq. The reply abstains if this node is no witness yet or the peer is not in
// Config.Instances. No request of a heartbeat that arrives after a later one of the
// same boot, or after one of a later boot, is granted.
func (n *Node) HandleHeartbeat(now time.Duration, from string, h Heartbeat) Reply {
	p := n.peers[from]
	if p == nil {
		return Reply{Revision: n.revision, Abstains: true}
	}
	sameBoot := h.Boot == p.boot
	isNew := (sameBoot && h.Seq > p.seq) || (!sameBoot && !slices.Contains(p.retiredBoots[:], h.Boot))
	if isNew {
		if !sameBoot {
			p.retireBoot()
			p.triggerRevision = 0
		}
		p.boot, p.seq = h.Boot, h.Seq
		n.applyHeartbeat(now, from, h)
	}
	reply := Reply{Revision: n.revision, Abstains: !n.IsWitness(now), Unanswered: n.unansweredPeers(now)}
	for _, req := range h.Requests {
		var v Vote
		if isNew && !reply.Abstains {
			v = n.grant(now, from, h.Boot, req)
		}
		reply.Votes = append(reply.Votes, v)
	}
	if !reply.Abstains {
		p.lastLeaseReply = now
	}
	return reply
}

// retireBoot ends the current boot of the peer: its delayed heartbeats are ignored from now on.
func (p *peer) retireBoot() {
	copy(p.retiredBoots[1:], p.retiredBoots[:])
	p.retiredBoots[0] = p.boot
}

// applyHeartbeat records the revision, the releases and the announced owners of a
// heartbeat. It must not be called for a heartbeat that arrives after a later one,
// because an older request must not undo a newer release.
func (n *Node) applyHeartbeat(now time.Duration, from string, h Heartbeat) {
	if p := n.peers[from]; from != n.cfg.Self {
		p.revision = h.Revision
		// Only a reply proves a peer's revision. An immediate heartbeat
		// obtains one now instead of at the next interval, so that a new
		// revision is accepted sooner. It is sent once for each revision:
		// otherwise two instances whose replies are lost would trigger each
		// other's heartbeats without end.
		if p.replied && h.Revision > max(p.replyRevision, p.triggerRevision) {
			n.heartbeatDue, p.triggerRevision = true, h.Revision
		}
	}
	for _, r := range h.Releases {
		n.applyRelease(now, from, h.Boot, r)
	}
	for _, req := range h.Requests {
		o := n.owners[req.Pool]
		if req.Held && from != n.cfg.Self && req.Epoch >= o.epoch {
			n.owners[req.Pool] = owner{from, req.Epoch, now + LeaseTime}
		}
	}
}

// grant votes on one request. It grants an epoch to one owner only, so that the
// epochs of two owners differ.
func (n *Node) grant(now time.Duration, from string, boot uint64, req Request) Vote {
	v := n.votes[req.Pool]
	if v == nil {
		v = &vote{}
		n.votes[req.Pool] = v
	}
	sameOwner := v.owner == from && v.boot == boot
	handedOver := req.HandedOverEpoch != 0 && v.epoch == req.HandedOverEpoch
	if !sameOwner && !handedOver && !v.free(now) {
		return Vote{Owner: v.owner, Epoch: v.epoch}
	}
	if req.Epoch < v.epoch || (req.Epoch == v.epoch && !sameOwner) {
		return Vote{Epoch: v.epoch}
	}
	// The votes may lack an epoch that its owner announced while this witness
	// abstained. The announced epoch is returned with the refusal, so that the
	// candidate raises its own.
	o := n.owners[req.Pool]
	if req.Epoch < o.epoch || (req.Epoch == o.epoch && o.instance != from) {
		return Vote{Epoch: o.epoch}
	}
	*v = vote{from, boot, req.Epoch, now + LeaseTime}
	return Vote{Granted: true}
}

// applyRelease processes a release of a peer: it accepts a handover addressed to
// this node, or frees the vote granted to the peer and forgets its ownership.
func (n *Node) applyRelease(now time.Duration, from string, boot uint64, r Release) {
	if r.Successor != "" {
		if r.Successor == n.cfg.Self && from != n.cfg.Self {
			n.acceptHandover(now, from, r)
		}
		return
	}
	v := n.votes[r.Pool]
	if v != nil && v.owner == from && v.boot == boot && v.epoch <= r.Epoch {
		v.expires = now
	}
	if o := n.owners[r.Pool]; o.instance == from && o.epoch <= r.Epoch {
		delete(n.owners, r.Pool)
	}
}

// unansweredPeers returns the peers to which this node sent no lease reply for at
// least unansweredReportAge.
func (n *Node) unansweredPeers(now time.Duration) []UnansweredPeer {
	var out []UnansweredPeer
	for _, name := range n.cfg.Instances {
		p := n.peers[name]
		if age := now - p.lastLeaseReply; name != n.cfg.Self && age >= unansweredReportAge {
			out = append(out, UnansweredPeer{name, uint64(age / time.Millisecond)})
		}
	}
	return out
}
