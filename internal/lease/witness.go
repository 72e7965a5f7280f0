package lease

import "time"

// quietAfter is the age from which a witness reports that it has not answered a
// peer. It is longer than two beat intervals, so that idle replies stay small.
const quietAfter = 1200 * time.Millisecond

// vote is a witness's memory of one pool.
type vote struct {
	owner string
	boot  uint64
	epoch uint64 // highest epoch granted
	until time.Duration
}

// free reports whether no unexpired owner is known.
func (v *vote) free(now time.Duration) bool { return v.owner == "" || now >= v.until }

// OnBeat answers a peer's beat.
func (n *Node) OnBeat(now time.Duration, from string, b Beat) Reply {
	p := n.peers[from]
	if p == nil {
		return Reply{Revision: n.revision, Abstains: true}
	}
	fresh := b.Boot != p.boot || b.Seq > p.seq
	if b.Boot != p.boot {
		p.prompted = 0
	}
	if fresh {
		p.boot, p.seq = b.Boot, b.Seq
		n.observe(now, from, b)
	}
	reply := Reply{Revision: n.revision, Abstains: !n.Witness(now), Quiet: n.quiet(now)}
	for _, req := range b.Requests {
		var v Vote
		if fresh && !reply.Abstains {
			v = n.grant(now, from, b.Boot, req)
		}
		reply.Votes = append(reply.Votes, v)
	}
	if !reply.Abstains {
		p.answered = now
	}
	return reply
}

// observe takes over what a new beat tells: revision, owner and released votes.
// Beats that arrive late are ignored, because an older request must not undo a
// newer release.
func (n *Node) observe(now time.Duration, from string, b Beat) {
	if p := n.peers[from]; from != n.cfg.Self {
		p.revision = b.Revision
		// Only replies prove a peer's revision. A beat at once gets one now
		// instead of at the next interval, which speeds up acceptance. It is
		// done once for each revision: two instances whose replies are lost
		// would otherwise answer each other's beats with beats without end.
		if p.replied && b.Revision > max(p.replyRevision, p.prompted) {
			n.announce, p.prompted = true, b.Revision
		}
	}
	for _, r := range b.Releases {
		n.release(now, from, b.Boot, r)
	}
	for _, req := range b.Requests {
		o := n.owners[req.Pool]
		if req.Held && from != n.cfg.Self && req.Epoch >= o.epoch {
			n.owners[req.Pool] = owner{from, req.Epoch, now + LeaseTime}
		}
	}
}

// grant decides on one request. An epoch is granted to one owner only, so that
// the epochs of two owners differ.
func (n *Node) grant(now time.Duration, from string, boot uint64, req Request) Vote {
	v := n.votes[req.Pool]
	if v == nil {
		v = &vote{}
		n.votes[req.Pool] = v
	}
	same := v.owner == from && v.boot == boot
	handedOver := req.After != 0 && v.epoch == req.After
	if !same && !handedOver && !v.free(now) {
		return Vote{Owner: v.owner, Epoch: v.epoch}
	}
	if req.Epoch < v.epoch || (req.Epoch == v.epoch && !same) {
		return Vote{Epoch: v.epoch}
	}
	// An epoch that an owner has announced may be unknown to the votes, if it
	// was announced while this witness abstained. A lower one must rise.
	o := n.owners[req.Pool]
	if req.Epoch < o.epoch || (req.Epoch == o.epoch && o.instance != from) {
		return Vote{Epoch: o.epoch}
	}
	*v = vote{from, boot, req.Epoch, now + LeaseTime}
	return Vote{Granted: true}
}

func (n *Node) release(now time.Duration, from string, boot uint64, r Release) {
	if r.To != "" {
		if r.To == n.cfg.Self && from != n.cfg.Self {
			n.succeed(now, from, r)
		}
		return
	}
	v := n.votes[r.Pool]
	if v != nil && v.owner == from && v.boot == boot && v.epoch <= r.Epoch {
		v.until = now
	}
	if o := n.owners[r.Pool]; o.instance == from && o.epoch <= r.Epoch {
		delete(n.owners, r.Pool)
	}
}

// quiet lists the peers whose beats were not answered for some time.
func (n *Node) quiet(now time.Duration) []Quiet {
	var out []Quiet
	for _, name := range n.cfg.Instances {
		p := n.peers[name]
		if age := now - p.answered; name != n.cfg.Self && age >= quietAfter {
			out = append(out, Quiet{name, uint64(age / time.Millisecond)})
		}
	}
	return out
}
