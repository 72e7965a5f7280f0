package lease

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// handoverTries bounds the rounds in which a successor asks for handed-over votes.
const handoverTries = 4

// maxLosses bounds the growth of the pause after lost rounds.
const maxLosses = 4

// owner is a pool's owner as announced by its own beats.
type owner struct {
	instance string
	epoch    uint64
	until    time.Duration
}

// claim is the state of one pool whose ownership this instance seeks.
type claim struct {
	active bool          // requested on every beat
	epoch  uint64        // requested epoch
	after  uint64        // epoch handed over to this instance, 0 = none
	tries  int           // rounds asked after a handover
	asked  time.Duration // start of the current round

	heldEpoch uint64
	heldUntil time.Duration

	eligible  bool          // nothing but the stagger keeps it from asking
	since     time.Duration // since when
	notBefore time.Duration // end of the pause after a lost round
	losses    int           // rounds lost in a row
}

// handover waits for the successor to take over the votes of a resigned owner.
type handover struct {
	to       string
	epoch    uint64
	deadline time.Duration
}

// SetPools sets the pools whose ownership the node seeks. Pools no longer sought
// are released.
func (n *Node) SetPools(now time.Duration, pools []string) {
	wanted := map[string]bool{}
	for _, pool := range pools {
		wanted[pool] = true
		if n.claims[pool] == nil && !n.resigned {
			n.claims[pool] = &claim{}
		}
	}
	for _, pool := range n.sought() {
		if !wanted[pool] {
			n.drop(pool, n.claims[pool])
			delete(n.claims, pool)
		}
	}
}

// Holds returns the epoch with which the node owns the pool now.
func (n *Node) Holds(now time.Duration, pool string) (uint64, bool) {
	c := n.claims[pool]
	if c == nil || !c.held(now) || !n.Valid(now) {
		return 0, false
	}
	return c.heldEpoch, true
}

func (c *claim) held(now time.Duration) bool { return c.active && now < c.heldUntil }

// Owner returns the pool's owner as last known.
func (n *Node) Owner(now time.Duration, pool string) (string, uint64, bool) {
	if epoch, ok := n.Holds(now, pool); ok {
		return n.cfg.Self, epoch, true
	}
	o, ok := n.owners[pool]
	if !ok || now >= o.until {
		return "", 0, false
	}
	return o.instance, o.epoch, true
}

// requests lists the claims to ask for. Without a valid lease nothing is asked,
// so that an instance with an old view loses its pools.
func (n *Node) requests(now time.Duration) []Request {
	if !n.Valid(now) {
		return nil
	}
	var out []Request
	for _, pool := range n.sought() {
		c := n.claims[pool]
		if !c.active {
			continue
		}
		out = append(out, Request{Pool: pool, Epoch: c.epoch, Held: c.held(now) && c.heldEpoch == c.epoch, After: c.after})
	}
	return out
}

func (n *Node) sought() []string {
	out := make([]string, 0, len(n.claims))
	for pool := range n.claims {
		out = append(out, pool)
	}
	sort.Strings(out)
	return out
}

// countGrants extends the ownership of a pool if a majority granted request i of
// the round. Requests of released or superseded epochs do not count.
func (n *Node) countGrants(r *round, i int, req Request) {
	c := n.claims[req.Pool]
	if c == nil || !c.active || c.epoch != req.Epoch {
		return
	}
	grants := 0
	for _, reply := range r.replies {
		if !reply.Abstains && i < len(reply.Votes) && reply.Votes[i].Granted {
			grants++
		}
	}
	if grants >= n.majority {
		n.announce = n.announce || c.heldEpoch != req.Epoch
		c.heldEpoch, c.after, c.losses = req.Epoch, 0, 0
		c.heldUntil = max(c.heldUntil, r.sent+HolderTime)
	}
}

// noteVotes learns higher epochs from refusals. An owner whose epoch some
// witness has outgrown asks for a higher one and keeps the old one meanwhile.
func (n *Node) noteVotes(r *round, reply Reply) {
	for i, v := range reply.Votes {
		if i >= len(r.requests) || v.Granted || reply.Abstains {
			continue
		}
		req := r.requests[i]
		n.learn(req.Pool, v.Epoch)
		c := n.claims[req.Pool]
		if c != nil && c.held(r.sent) && c.epoch == req.Epoch && v.Owner == "" && v.Epoch >= c.epoch {
			c.epoch = v.Epoch + 1
		}
	}
}

// learn raises the highest epoch seen of a pool.
func (n *Node) learn(pool string, epoch uint64) { n.seen[pool] = max(n.seen[pool], epoch) }

func (n *Node) highest(pool string) uint64 {
	e := max(n.seen[pool], n.owners[pool].epoch)
	if v := n.votes[pool]; v != nil {
		e = max(e, v.epoch)
	}
	if c := n.claims[pool]; c != nil {
		e = max(e, c.epoch, c.heldEpoch)
	}
	return e
}

// Tick starts and ends rounds. It reports whether a beat should be sent at once.
func (n *Node) Tick(now time.Duration) bool {
	n.catchUp(now)
	n.evaluate(now)
	urgent := n.tickHandover(now)
	for _, pool := range n.sought() {
		if n.tickClaim(now, pool, n.claims[pool]) {
			urgent = true
		}
	}
	urgent = urgent || n.announce || len(n.releases) > 0
	n.announce = false
	return urgent
}

func (n *Node) tickClaim(now time.Duration, pool string, c *claim) bool {
	switch {
	case c.held(now):
		return false
	case c.active && c.heldUntil > 0:
		n.lose(now, pool, c)
		return false
	case c.active && now-c.asked < RoundTime:
		return false
	case c.active && c.after != 0 && c.tries < handoverTries:
		c.asked, c.tries, c.epoch = now, c.tries+1, max(c.epoch, n.seen[pool]+1)
		return true
	case c.active:
		n.lose(now, pool, c)
		return false
	}
	return n.consider(now, pool, c)
}

// lose gives up a lost round or an expired ownership and frees its votes. The
// pause grows with the lost rounds and the rank: with equal pauses candidates
// can keep splitting the votes in the same rhythm.
func (n *Node) lose(now time.Duration, pool string, c *claim) {
	n.drop(pool, c)
	losses := 0
	if c.heldUntil == 0 {
		losses = min(c.losses+1, maxLosses)
	}
	pause := RoundTime * time.Duration(1+losses*n.rank(now, pool))
	*c = claim{epoch: c.epoch, losses: losses, notBefore: now + pause}
}

// drop releases the votes of a claim.
func (n *Node) drop(pool string, c *claim) {
	if c.active {
		c.active = false
		n.releases = append(n.releases, Release{Pool: pool, Epoch: c.epoch})
	}
}

// consider starts a round once the pool has been free for this candidate's share
// of the stagger.
func (n *Node) consider(now time.Duration, pool string, c *claim) bool {
	_, _, owned := n.Owner(now, pool)
	v := n.votes[pool]
	free := !owned && (v == nil || v.free(now))
	if n.resigned || !free || !n.Valid(now) || !n.Witness(now) || now < c.notBefore {
		c.eligible = false
		return false
	}
	if !c.eligible {
		c.eligible, c.since = true, now
	}
	if now < c.since+time.Duration(n.rank(now, pool))*Stagger {
		return false
	}
	*c = claim{active: true, epoch: n.highest(pool) + 1, asked: now, losses: c.losses}
	return true
}

// rank is the number of live instances before this one in the order of
// rendezvous hashing.
func (n *Node) rank(now time.Duration, pool string) int {
	own := weight(pool, n.cfg.Self)
	rank := 0
	for _, name := range n.live(now) {
		if weight(pool, name) > own {
			rank++
		}
	}
	return rank
}

// live names the other instances that can own a pool at present.
func (n *Node) live(now time.Duration) []string {
	var out []string
	for _, name := range n.cfg.Instances {
		p := n.peers[name]
		if name != n.cfg.Self && p.replied && !p.abstains && now-p.replySent <= ReportLife {
			out = append(out, name)
		}
	}
	return out
}

func weight(pool, instance string) uint64 { return xxhash.Sum64String(pool + "\x00" + instance) }
