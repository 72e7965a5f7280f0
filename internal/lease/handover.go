package lease

import (
	"sort"
	"time"
)

// Resign ends the ownership of all pools at once and permanently stops seeking
// pools. The votes of an owned pool are handed over to a successor by a release
// addressed to it alone. The other witnesses keep their votes for this node, so
// that no third candidate can win the pool first. Without a successor the votes
// are released to all candidates. Further calls have no effect.
func (n *Node) Resign(now time.Duration) {
	if n.resigned {
		return
	}
	n.resigned = true
	for _, pool := range n.soughtPools() {
		c := n.claims[pool]
		to := n.successor(now, pool)
		if c.held(now) && to != "" {
			n.heartbeatDue = true
			n.handovers[pool] = handover{to, c.heldEpoch, now + HandoverTimeout}
			c.active = false
		}
		n.releaseVotes(pool, c)
	}
	n.claims = map[string]*claim{}
}

// releasesToSend returns the releases of the next heartbeat. It repeats those of
// pending handovers in every heartbeat, because a receiver ignores a heartbeat
// that arrives after a later one.
func (n *Node) releasesToSend() []Release {
	out := n.pendingReleases
	for _, pool := range n.handoverPools() {
		h := n.handovers[pool]
		out = append(out, Release{Pool: pool, Epoch: h.epoch, Successor: h.to})
	}
	return out
}

// HandingOver reports whether a handover is pending, that is, its successor has
// not announced the ownership and HandoverTimeout has not passed.
func (n *Node) HandingOver() bool { return len(n.handovers) > 0 }

// successor returns the preferred other candidate for a pool, or "" without one.
func (n *Node) successor(now time.Duration, pool string) string {
	best := ""
	for _, name := range n.candidates(now) {
		if best == "" || rendezvousWeight(pool, name) > rendezvousWeight(pool, best) {
			best = name
		}
	}
	return best
}

// acceptHandover starts a round for the votes of a resigned owner, without
// stagger. It replaces an open round of this node, which cannot win because the
// witnesses still keep their votes for the resigned owner.
func (n *Node) acceptHandover(now time.Duration, from string, r Release) {
	c := n.claims[r.Pool]
	if c == nil || n.resigned || c.held(now) || !n.LeaseValid(now) || (c.active && c.handedOverEpoch == r.Epoch) {
		return
	}
	n.raiseHighestEpoch(r.Pool, r.Epoch)
	*c = claim{active: true, epoch: n.highestEpoch(r.Pool) + 1, handedOverEpoch: r.Epoch, roundStart: now - RoundTimeout}
}

// advanceHandovers ends the handovers whose successor announced the ownership, and
// releases the votes of those that missed their deadline. It reports whether a
// heartbeat should be sent immediately.
func (n *Node) advanceHandovers(now time.Duration) bool {
	urgent := false
	for _, pool := range n.handoverPools() {
		h := n.handovers[pool]
		o := n.owners[pool]
		if o.epoch > h.epoch && now < o.expires {
			delete(n.handovers, pool)
			continue
		}
		if now >= h.deadline {
			n.pendingReleases = append(n.pendingReleases, Release{Pool: pool, Epoch: h.epoch})
			delete(n.handovers, pool)
			urgent = true
		}
	}
	return urgent
}

// handoverPools returns the names of the pools with a pending handover, sorted.
func (n *Node) handoverPools() []string {
	out := make([]string, 0, len(n.handovers))
	for pool := range n.handovers {
		out = append(out, pool)
	}
	sort.Strings(out)
	return out
}
