package lease

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHandoverRounds is the number of rounds in which a successor requests the
// votes handed over to it before it gives up the claim.
const maxHandoverRounds = 4

// maxLostRounds is the number of consecutive lost rounds from which the backoff
// grows no further.
const maxLostRounds = 4

// owner is a pool's owner as announced by the heartbeats of that owner.
type owner struct {
	instance string
	epoch    uint64
	expires  time.Duration
}

// claim is the state of one pool whose ownership this instance seeks.
type claim struct {
	active          bool          // requested in every heartbeat
	epoch           uint64        // requested epoch
	handedOverEpoch uint64        // epoch of the owner that handed over to this instance, 0 = none
	handoverRounds  int           // rounds started after a handover
	roundStart      time.Duration // start of the current round

	heldEpoch uint64        // owned epoch, 0 = never owned by this claim
	heldUntil time.Duration // expiry of the ownership

	eligible      bool          // a round may start once the stagger has passed
	eligibleSince time.Duration // start of the stagger
	backoffUntil  time.Duration // end of the backoff after a lost round
	lostRounds    int           // consecutive lost rounds
}

// handover is the pending transfer of a resigned owner's votes to its successor.
type handover struct {
	to       string        // successor
	epoch    uint64        // epoch of the resigned owner
	deadline time.Duration // when the votes are released to all candidates
}

// SetPools replaces the list of pools whose ownership the node seeks. It gives up
// the claims and the ownership of pools that are no longer in the list. After
// Resign no pool is added.
func (n *Node) SetPools(now time.Duration, pools []string) {
	wanted := map[string]bool{}
	for _, pool := range pools {
		wanted[pool] = true
		if n.claims[pool] == nil && !n.resigned {
			n.claims[pool] = &claim{}
		}
	}
	for _, pool := range n.soughtPools() {
		if !wanted[pool] {
			n.releaseVotes(pool, n.claims[pool])
			delete(n.claims, pool)
		}
	}
}

// Holds returns the epoch with which the node owns the pool at the given time. It
// returns false if the node does not own the pool or has no valid instance lease.
func (n *Node) Holds(now time.Duration, pool string) (uint64, bool) {
	c := n.claims[pool]
	if c == nil || !c.held(now) || !n.LeaseValid(now) {
		return 0, false
	}
	return c.heldEpoch, true
}

// held reports whether a majority's grants for the claim have not expired.
func (c *claim) held(now time.Duration) bool { return c.active && now < c.heldUntil }

// Owner returns the pool's owner and its epoch: this node, or the instance that
// announced itself within LeaseTime. It returns false if no owner is known.
func (n *Node) Owner(now time.Duration, pool string) (string, uint64, bool) {
	if epoch, ok := n.Holds(now, pool); ok {
		return n.cfg.Self, epoch, true
	}
	o, ok := n.owners[pool]
	if !ok || now >= o.expires {
		return "", 0, false
	}
	return o.instance, o.epoch, true
}

// requests returns the requests of the next heartbeat, one for each active claim.
// Without a valid instance lease there are none, so that an instance with an
// outdated view loses its pools.
func (n *Node) requests(now time.Duration) []Request {
	if !n.LeaseValid(now) {
		return nil
	}
	var out []Request
	for _, pool := range n.soughtPools() {
		c := n.claims[pool]
		if !c.active {
			continue
		}
		out = append(out, Request{Pool: pool, Epoch: c.epoch, Held: c.held(now) && c.heldEpoch == c.epoch, HandedOverEpoch: c.handedOverEpoch})
	}
	return out
}

// soughtPools returns the names of the pools that the node seeks, sorted.
func (n *Node) soughtPools() []string {
	out := make([]string, 0, len(n.claims))
	for pool := range n.claims {
		out = append(out, pool)
	}
	sort.Strings(out)
	return out
}

// countGrants extends the ownership of a pool if a majority granted request i of
// the round. It ignores requests of epochs that were released or superseded.
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
		n.heartbeatDue = n.heartbeatDue || c.heldEpoch != req.Epoch
		c.heldEpoch, c.handedOverEpoch, c.lostRounds = req.Epoch, 0, 0
		c.heldUntil = max(c.heldUntil, r.sentAt+HolderLeaseTime)
	}
}

// recordRefusals records the epochs with which a witness refused requests. An
// owner whose epoch is refused as too low, not because of another owner, requests
// a higher epoch and keeps its ownership with the old one meanwhile.
func (n *Node) recordRefusals(r *round, reply Reply) {
	for i, v := range reply.Votes {
		if i >= len(r.requests) || v.Granted || reply.Abstains {
			continue
		}
		req := r.requests[i]
		n.raiseHighestEpoch(req.Pool, v.Epoch)
		c := n.claims[req.Pool]
		if c != nil && c.held(r.sentAt) && c.epoch == req.Epoch && v.Owner == "" && v.Epoch >= c.epoch {
			c.epoch = v.Epoch + 1
		}
	}
}

// raiseHighestEpoch records an epoch of a pool that another instance reported.
func (n *Node) raiseHighestEpoch(pool string, epoch uint64) {
	n.highestEpochs[pool] = max(n.highestEpochs[pool], epoch)
}

// highestEpoch returns the highest epoch of a pool known from any source.
func (n *Node) highestEpoch(pool string) uint64 {
	e := max(n.highestEpochs[pool], n.owners[pool].epoch)
	if v := n.votes[pool]; v != nil {
		e = max(e, v.epoch)
	}
	if c := n.claims[pool]; c != nil {
		e = max(e, c.epoch, c.heldEpoch)
	}
	return e
}

// Tick advances the node to the given time: it starts and ends rounds and
// handovers. It must be called regularly and after each input. It reports whether
// a heartbeat should be sent immediately instead of at the next HeartbeatInterval.
func (n *Node) Tick(now time.Duration) bool {
	n.updateCaughtUp(now)
	n.extendLeases(now)
	urgent := n.advanceHandovers(now)
	for _, pool := range n.soughtPools() {
		if n.advanceClaim(now, pool, n.claims[pool]) {
			urgent = true
		}
	}
	urgent = urgent || n.heartbeatDue || len(n.pendingReleases) > 0
	n.heartbeatDue = false
	return urgent
}

// advanceClaim starts or ends the round of one claim. It reports whether a
// heartbeat should be sent immediately.
func (n *Node) advanceClaim(now time.Duration, pool string, c *claim) bool {
	switch {
	case c.held(now):
		return false
	case c.active && c.heldUntil > 0:
		n.abandonClaim(now, pool, c)
		return false
	case c.active && now-c.roundStart < RoundTimeout:
		return false
	case c.active && c.handedOverEpoch != 0 && c.handoverRounds < maxHandoverRounds:
		c.roundStart, c.handoverRounds, c.epoch = now, c.handoverRounds+1, max(c.epoch, n.highestEpochs[pool]+1)
		return true
	case c.active:
		n.abandonClaim(now, pool, c)
		return false
	}
	return n.tryStartRound(now, pool, c)
}

// abandonClaim ends a lost round or an expired ownership, releases its votes and
// starts a backoff. The backoff grows with the number of lost rounds and the
// rank: candidates with equal backoffs can split the votes again in every round.
func (n *Node) abandonClaim(now time.Duration, pool string, c *claim) {
	n.releaseVotes(pool, c)
	lostRounds := 0
	if c.heldUntil == 0 {
		lostRounds = min(c.lostRounds+1, maxLostRounds)
	}
	backoff := RoundTimeout * time.Duration(1+lostRounds*n.rank(now, pool))
	*c = claim{epoch: c.epoch, lostRounds: lostRounds, backoffUntil: now + backoff}
}

// releaseVotes deactivates an active claim and adds the release of its votes to
// the next heartbeat.
func (n *Node) releaseVotes(pool string, c *claim) {
	if c.active {
		c.active = false
		n.pendingReleases = append(n.pendingReleases, Release{Pool: pool, Epoch: c.epoch})
	}
}

// tryStartRound starts a round once the pool has been without owner for
// CandidateStagger times this candidate's rank. It reports whether it started one.
func (n *Node) tryStartRound(now time.Duration, pool string, c *claim) bool {
	_, _, owned := n.Owner(now, pool)
	v := n.votes[pool]
	free := !owned && (v == nil || v.free(now))
	if n.resigned || !free || !n.LeaseValid(now) || !n.IsWitness(now) || now < c.backoffUntil {
		c.eligible = false
		return false
	}
	if !c.eligible {
		c.eligible, c.eligibleSince = true, now
	}
	if now < c.eligibleSince+time.Duration(n.rank(now, pool))*CandidateStagger {
		return false
	}
	*c = claim{active: true, epoch: n.highestEpoch(pool) + 1, roundStart: now, lostRounds: c.lostRounds}
	return true
}

// rank returns the number of other candidates that precede this instance in the
// pool's rendezvous hashing order.
func (n *Node) rank(now time.Duration, pool string) int {
	own := rendezvousWeight(pool, n.cfg.Self)
	rank := 0
	for _, name := range n.candidates(now) {
		if rendezvousWeight(pool, name) > own {
			rank++
		}
	}
	return rank
}

// candidates returns the other instances that can own a pool: those whose newest
// reply is at most MaxReportAge old and does not abstain.
func (n *Node) candidates(now time.Duration) []string {
	var out []string
	for _, name := range n.cfg.Instances {
		p := n.peers[name]
		if name != n.cfg.Self && p.replied && !p.abstains && now-p.replyHeartbeatSent <= MaxReportAge {
			out = append(out, name)
		}
	}
	return out
}

// rendezvousWeight returns the rendezvous hash of a pool and an instance. The
// instance with the highest one is preferred.
func rendezvousWeight(pool, instance string) uint64 {
	return xxhash.Sum64String(pool + "\x00" + instance)
}
