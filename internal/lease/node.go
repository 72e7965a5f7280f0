package lease

import (
	"slices"
	"sort"
	"time"
)

// keptRounds is the number of own beats whose replies are still counted. Beats
// older than HolderTime can no longer extend anything.
const keptRounds = 8

// Config describes a node.
type Config struct {
	Self string
	// Instances names all instances of the fleet, Self included. Majorities
	// refer to this list.
	Instances []string
	// Boot identifies this process.
	Boot uint64
	// Start is the time at which the process started.
	Start time.Duration
}

// Node is the state of one instance.
type Node struct {
	cfg      Config
	majority int
	revision uint64

	caughtUp  bool   // rule (a) of a restart is met
	confirmed uint64 // revision confirmed by the control quorum
	confirm   bool   // confirmed is set

	peers map[string]*peer // self included
	votes map[string]*vote // memory of the witness, by pool

	seq    uint64
	rounds []*round // own newest beats, oldest first
	until  time.Duration

	owners   map[string]owner  // owners as announced by their beats
	seen     map[string]uint64 // highest epochs told by other witnesses
	announce bool              // the next beat must not wait: the node became a witness or an owner
	claims   map[string]*claim
	releases []Release // to be sent with the next beat
	handover map[string]handover
	resigned bool
}

// peer is what is known of one instance.
type peer struct {
	boot, seq uint64        // newest beat received
	revision  uint64        // newest revision seen in a beat or reply
	prompted  uint64        // newest revision of its beats for which a beat was sent at once
	answered  time.Duration // last answer that counts towards the peer's lease, or the start

	// From the newest reply to one of the own beats.
	replied       bool
	abstains      bool
	replyRevision uint64
	replySent     time.Duration // sending of the beat that it answers
	replyReceived time.Duration
	quiet         map[string]time.Duration
}

// round is one own beat and the replies to it.
type round struct {
	seq      uint64
	sent     time.Duration
	requests []Request
	replies  map[string]Reply
}

// New returns a node with empty memory.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, majority: len(cfg.Instances)/2 + 1,
		peers: map[string]*peer{}, votes: map[string]*vote{}, owners: map[string]owner{}, seen: map[string]uint64{},
		claims: map[string]*claim{}, handover: map[string]handover{},
	}
	for _, name := range cfg.Instances {
		n.peers[name] = &peer{answered: cfg.Start}
	}
	return n
}

// Witness reports whether the node's answers count.
func (n *Node) Witness(now time.Duration) bool {
	return n.caughtUp && now >= n.cfg.Start+RestartTime
}

// Valid reports whether the instance lease is valid.
func (n *Node) Valid(now time.Duration) bool { return now < n.until }

// Until returns the time at which the instance lease ends.
func (n *Node) Until() time.Duration { return n.until }

// SetRevision tells the revision of the local view. It never decreases.
func (n *Node) SetRevision(now time.Duration, revision uint64) {
	n.revision = max(n.revision, revision)
	n.catchUp(now)
	n.evaluate(now)
}

// Confirm tells the result of a read that the control quorum confirmed and that
// began at the time given. Reads begun before the end of RestartTime do not
// count, because a revision could be accepted with the help of a report that
// this instance made before its restart.
func (n *Node) Confirm(now, began time.Duration, revision uint64) {
	if began < n.cfg.Start+RestartTime {
		return
	}
	n.confirm, n.confirmed = true, max(n.confirmed, revision)
	n.catchUp(now)
}

// catchUp applies rule (a): the view is at least as new as one confirmed by the
// control quorum, or as those of a majority of witnesses.
func (n *Node) catchUp(now time.Duration) {
	if n.caughtUp || now < n.cfg.Start+RestartTime {
		return
	}
	if n.confirm && n.revision >= n.confirmed {
		n.caughtUp, n.announce = true, true
		return
	}
	for _, r := range n.rounds {
		if r.sent >= n.cfg.Start+RestartTime && n.covered(r, false) >= n.majority {
			n.caughtUp, n.announce = true, true
			return
		}
	}
}

// covered counts the witnesses whose reply to a beat has no newer view than the
// local one.
func (n *Node) covered(r *round, withSelf bool) int {
	count := 0
	for name, reply := range r.replies {
		if !reply.Abstains && reply.Revision <= n.revision && (withSelf || name != n.cfg.Self) {
			count++
		}
	}
	return count
}

// Beat makes the next beat. It is the same for all peers, and must be sent at
// once, because leases count from now.
func (n *Node) Beat(now time.Duration) Beat {
	n.seq++
	b := Beat{Boot: n.cfg.Boot, Seq: n.seq, Revision: n.revision, Requests: n.requests(now), Releases: n.handoverReleases()}
	n.releases = nil
	n.rounds = append(n.rounds, &round{seq: n.seq, sent: now, requests: b.Requests, replies: map[string]Reply{}})
	if len(n.rounds) > keptRounds {
		n.rounds = slices.Delete(n.rounds, 0, len(n.rounds)-keptRounds)
	}
	own := n.OnBeat(now, n.cfg.Self, b)
	own.Seq = n.seq
	n.OnReply(now, n.cfg.Self, own)
	return b
}

// OnReply counts the reply of a peer to an own beat. Reply.Seq must be set.
func (n *Node) OnReply(now time.Duration, from string, reply Reply) {
	p := n.peers[from]
	i := slices.IndexFunc(n.rounds, func(r *round) bool { return r.seq == reply.Seq })
	if p == nil || i < 0 {
		return
	}
	r := n.rounds[i]
	if _, again := r.replies[from]; again {
		return
	}
	r.replies[from] = reply
	if !p.replied || r.sent >= p.replySent {
		p.noteReply(now, r.sent, reply)
	}
	p.revision = max(p.revision, reply.Revision)
	n.noteVotes(r, reply)
	n.catchUp(now)
	n.evaluate(now)
}

func (p *peer) noteReply(now, sent time.Duration, reply Reply) {
	p.replied, p.abstains, p.replyRevision = true, reply.Abstains, reply.Revision
	p.replySent, p.replyReceived = sent, now
	p.quiet = map[string]time.Duration{}
	for _, q := range reply.Quiet {
		p.quiet[q.Peer] = time.Duration(q.Ms) * time.Millisecond
	}
}

// evaluate extends the instance lease and the ownership of pools by every beat
// that a majority has answered.
func (n *Node) evaluate(now time.Duration) {
	for _, r := range n.rounds {
		if now >= r.sent+HolderTime {
			continue
		}
		if n.covered(r, true) >= n.majority {
			n.until = max(n.until, r.sent+HolderTime)
		}
		for i, req := range r.requests {
			n.countGrants(r, i, req)
		}
	}
}

// Revision returns the revision in a peer's newest reply, or 0 if that reply
// answers a beat older than ReportLife.
func (n *Node) Revision(now time.Duration, name string) uint64 {
	if name == n.cfg.Self {
		return n.revision
	}
	p := n.peers[name]
	if p == nil || !p.replied || now-p.replySent > ReportLife {
		return 0
	}
	return p.replyRevision
}

// Ahead returns the peers with a newer view, the newest first.
func (n *Node) Ahead() []string {
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

// MayHoldLease reports whether a peer may hold a lease. It is false only if so
// many witnesses report not to have answered the peer that it certainly held
// none at some moment within the last ReportLife.
func (n *Node) MayHoldLease(now time.Duration, name string) bool {
	if name == n.cfg.Self {
		return n.Valid(now)
	}
	if n.peers[name] == nil {
		return true
	}
	needed := len(n.cfg.Instances) - n.majority + 1
	return n.quietWitnesses(now, name) < needed
}

// quietWitnesses counts the witnesses that answered no beat of the peer for so
// long, at the time of the oldest report used, that a lease gained from the last
// answer has ended whatever the drift of the three clocks.
func (n *Node) quietWitnesses(now time.Duration, name string) int {
	type evidence struct{ age, received time.Duration }
	found := []evidence{{now - n.peers[name].answered, now}}
	oldest := now
	for witness, p := range n.peers {
		age, ok := p.quiet[name]
		if witness == n.cfg.Self || witness == name || !ok || now-p.replySent > ReportLife {
			continue
		}
		oldest = min(oldest, p.replySent)
		found = append(found, evidence{age, p.replyReceived})
	}
	count := 0
	for _, e := range found {
		if shortest(e.age)-longest(e.received-oldest) >= longest(HolderTime) {
			count++
		}
	}
	return count
}

// shortest and longest return the bounds of the real time that a drifting clock
// shows as d.
func shortest(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 + MaxDrift)) }
func longest(d time.Duration) time.Duration  { return time.Duration(float64(d) / (1 - MaxDrift)) }
