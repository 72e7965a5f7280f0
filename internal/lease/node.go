package lease

import (
	"slices"
	"sort"
	"time"
)

// maxRounds is the number of own heartbeats whose replies are counted. Heartbeats
// older than HolderLeaseTime cannot extend a lease or an ownership.
const maxRounds = 8

// Config identifies a node and its fleet.
type Config struct {
	// Self is the name of this instance.
	Self string
	// Instances names all instances of the fleet, Self included. A majority is
	// more than half of this list.
	Instances []string
	// Boot identifies the process: a restarted instance has another value, not 0.
	Boot uint64
	// Start is the start of the process on the clock that all methods use.
	Start time.Duration
}

// Node is the lease state of one instance. All times passed to its methods are
// readings of the same monotonic clock.
type Node struct {
	cfg      Config
	majority int
	revision uint64

	caughtUp          bool   // the view has caught up since the restart, see updateCaughtUp
	confirmedRevision uint64 // newest revision confirmed by the control quorum
	readConfirmed     bool   // confirmedRevision is set

	peers map[string]*peer // by instance, self included
	votes map[string]*vote // votes of this witness, by pool

	seq      uint64   // number of the newest own heartbeat
	rounds   []*round // newest own heartbeats, oldest first
	leaseEnd time.Duration

	owners          map[string]owner  // by pool, as announced by the owners' heartbeats
	highestEpochs   map[string]uint64 // by pool, as reported by other instances
	heartbeatDue    bool              // send a heartbeat without waiting for the interval
	claims          map[string]*claim // by pool
	pendingReleases []Release         // to be sent with the next heartbeat
	handovers       map[string]handover
	resigned        bool
}

// peer is the last known state of one instance.
type peer struct {
	boot, seq       uint64        // of the newest heartbeat received
	retiredBoots    [4]uint64     // earlier boots whose delayed heartbeats are ignored, newest first
	revision        uint64        // newest revision received in a heartbeat or reply
	triggerRevision uint64        // newest revision that triggered an immediate heartbeat
	lastLeaseReply  time.Duration // last reply to it that did not abstain, or Config.Start

	// State in the newest reply to an own heartbeat.
	replied            bool // a reply was received
	abstains           bool
	replyRevision      uint64
	replyHeartbeatSent time.Duration // when the heartbeat that it replies to was sent
	replyReceived      time.Duration
	unanswered         map[string]time.Duration // time since its last lease reply, by instance
}

// round is one own heartbeat and the replies to it.
type round struct {
	seq      uint64
	sentAt   time.Duration
	requests []Request
	replies  map[string]Reply // by instance
}

// New returns a node that has not voted, has no lease and seeks no pool.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, majority: len(cfg.Instances)/2 + 1,
		peers: map[string]*peer{}, votes: map[string]*vote{}, owners: map[string]owner{}, highestEpochs: map[string]uint64{},
		claims: map[string]*claim{}, handovers: map[string]handover{},
	}
	for _, name := range cfg.Instances {
		n.peers[name] = &peer{lastLeaseReply: cfg.Start}
	}
	return n
}

// IsWitness reports whether the node votes: RestartAbstention has passed since its start,
// and its view has caught up with the fleet. Otherwise its replies abstain.
func (n *Node) IsWitness(now time.Duration) bool {
	return n.caughtUp && now >= n.cfg.Start+RestartAbstention
}

// LeaseValid reports whether the instance lease is valid at the given time.
func (n *Node) LeaseValid(now time.Duration) bool { return now < n.leaseEnd }

// LeaseEnd returns the time at which the instance lease expires, 0 if there was none.
func (n *Node) LeaseEnd() time.Duration { return n.leaseEnd }

// SetRevision sets the revision of the local view. A lower revision than before
// is ignored.
func (n *Node) SetRevision(now time.Duration, revision uint64) {
	n.revision = max(n.revision, revision)
	n.updateCaughtUp(now)
	n.extendLeases(now)
}

// ConfirmRevision records the revision returned by a read that the control quorum
// confirmed and that started at began. Reads started before the end of
// RestartAbstention are ignored, because a later revision could be accepted with the
// help of a report that this instance made before its restart.
func (n *Node) ConfirmRevision(now, began time.Duration, revision uint64) {
	if began < n.cfg.Start+RestartAbstention {
		return
	}
	n.readConfirmed, n.confirmedRevision = true, max(n.confirmedRevision, revision)
	n.updateCaughtUp(now)
}

// updateCaughtUp decides whether the view has caught up since the restart: it is at
// least as new as one confirmed by the control quorum, or as the views of a majority
// of witnesses. Reads and heartbeats before the end of RestartAbstention do not
// count.
func (n *Node) updateCaughtUp(now time.Duration) {
	if n.caughtUp || now < n.cfg.Start+RestartAbstention {
		return
	}
	if n.readConfirmed && n.revision >= n.confirmedRevision {
		n.caughtUp, n.heartbeatDue = true, true
		return
	}
	for _, r := range n.rounds {
		if r.sentAt >= n.cfg.Start+RestartAbstention && n.countNotAhead(r, false) >= n.majority {
			n.caughtUp, n.heartbeatDue = true, true
			return
		}
	}
}

// countNotAhead counts the witnesses that replied to a heartbeat with a revision
// not newer than the local one.
func (n *Node) countNotAhead(r *round, includeSelf bool) int {
	count := 0
	for name, reply := range r.replies {
		if !reply.Abstains && reply.Revision <= n.revision && (includeSelf || name != n.cfg.Self) {
			count++
		}
	}
	return count
}

// NextHeartbeat returns the next heartbeat, to be sent to all peers. It must be sent at
// once, because leases are counted from now.
func (n *Node) NextHeartbeat(now time.Duration) Heartbeat {
	n.seq++
	h := Heartbeat{Boot: n.cfg.Boot, Seq: n.seq, Revision: n.revision, Requests: n.requests(now), Releases: n.releasesToSend()}
	n.pendingReleases = nil
	n.rounds = append(n.rounds, &round{seq: n.seq, sentAt: now, requests: h.Requests, replies: map[string]Reply{}})
	if len(n.rounds) > maxRounds {
		n.rounds = slices.Delete(n.rounds, 0, len(n.rounds)-maxRounds)
	}
	ownReply := n.HandleHeartbeat(now, n.cfg.Self, h)
	ownReply.Seq = n.seq
	n.HandleReply(now, n.cfg.Self, ownReply)
	return h
}

// HandleReply processes the reply of a peer to an own heartbeat and extends the lease
// and the ownership of pools accordingly. Reply.Seq must be the Seq of that
// heartbeat. Duplicates and replies to old heartbeats are ignored.
func (n *Node) HandleReply(now time.Duration, from string, reply Reply) {
	p := n.peers[from]
	i := slices.IndexFunc(n.rounds, func(r *round) bool { return r.seq == reply.Seq })
	if p == nil || i < 0 {
		return
	}
	r := n.rounds[i]
	if _, duplicate := r.replies[from]; duplicate {
		return
	}
	r.replies[from] = reply
	if !p.replied || r.sentAt >= p.replyHeartbeatSent {
		p.recordReply(now, r.sentAt, reply)
	}
	p.revision = max(p.revision, reply.Revision)
	n.recordRefusals(r, reply)
	n.updateCaughtUp(now)
	n.extendLeases(now)
}

// recordReply stores the state in a reply to a heartbeat sent at the given time.
func (p *peer) recordReply(now, sent time.Duration, reply Reply) {
	p.replied, p.abstains, p.replyRevision = true, reply.Abstains, reply.Revision
	p.replyHeartbeatSent, p.replyReceived = sent, now
	p.unanswered = map[string]time.Duration{}
	for _, u := range reply.Unanswered {
		p.unanswered[u.Peer] = time.Duration(u.SinceReplyMs) * time.Millisecond
	}
}

// extendLeases extends the instance lease and the ownership of pools for each
// recent heartbeat to which a majority replied.
func (n *Node) extendLeases(now time.Duration) {
	for _, r := range n.rounds {
		if now >= r.sentAt+HolderLeaseTime {
			continue
		}
		if n.countNotAhead(r, true) >= n.majority {
			n.leaseEnd = max(n.leaseEnd, r.sentAt+HolderLeaseTime)
		}
		for i, req := range r.requests {
			n.countGrants(r, i, req)
		}
	}
}

// PeerRevision returns the revision in a peer's newest reply, or 0 if the heartbeat
// that it replies to is older than MaxReportAge. For Self it returns the revision
// of the local view.
func (n *Node) PeerRevision(now time.Duration, name string) uint64 {
	if name == n.cfg.Self {
		return n.revision
	}
	p := n.peers[name]
	if p == nil || !p.replied || now-p.replyHeartbeatSent > MaxReportAge {
		return 0
	}
	return p.replyRevision
}

// PeersAhead returns the peers with a newer view than the local one, the newest first.
func (n *Node) PeersAhead() []string {
	var out []string
	for name, p := range n.peers {
		if p.revision > n.revision {
			out = append(out, name)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := n.peers[out[i]].revision, n.peers[out[j]].revision
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}

// MayHoldLease reports whether a peer may hold an instance lease. It returns false
// only if the peer certainly held no lease at some moment within the last
// MaxReportAge: by the reports of the witnesses, those that had replied to the peer
// within the duration of a lease were no majority. For an unknown peer it returns true.
func (n *Node) MayHoldLease(now time.Duration, name string) bool {
	if name == n.cfg.Self {
		return n.LeaseValid(now)
	}
	if n.peers[name] == nil {
		return true
	}
	needed := len(n.cfg.Instances) - n.majority + 1
	return n.countUnansweringWitnesses(now, name) < needed
}

// countUnansweringWitnesses counts the witnesses that, at the time of the oldest
// report used, had not replied to the peer for so long that a lease based on the
// last reply has expired, whatever the drift of the three clocks involved.
func (n *Node) countUnansweringWitnesses(now time.Duration, name string) int {
	type report struct{ age, received time.Duration }
	reports := []report{{now - n.peers[name].lastLeaseReply, now}}
	oldestSent := now
	for witness, p := range n.peers {
		age, ok := p.unanswered[name]
		if witness == n.cfg.Self || witness == name || !ok || now-p.replyHeartbeatSent > MaxReportAge {
			continue
		}
		oldestSent = min(oldestSent, p.replyHeartbeatSent)
		reports = append(reports, report{age, p.replyReceived})
	}
	count := 0
	for _, e := range reports {
		if minRealTime(e.age)-maxRealTime(e.received-oldestSent) >= maxRealTime(HolderLeaseTime) {
			count++
		}
	}
	return count
}

// minRealTime and maxRealTime return the bounds of the real time that passes while
// a clock that drifts by at most MaxDrift advances by d.
func minRealTime(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 + MaxDrift)) }
func maxRealTime(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - MaxDrift)) }
