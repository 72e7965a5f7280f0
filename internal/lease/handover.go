package lease

import (
	"sort"
	"time"
)

// Resign gives up all pools and seeks none from now on. Owned pools are handed
// over: ownership ends at once, and the votes go to the successor, who alone
// hears of it. The other witnesses keep the votes, so that no third candidate
// can come between.
func (n *Node) Resign(now time.Duration) {
	if n.resigned {
		return
	}
	n.resigned = true
	for _, pool := range n.sought() {
		c := n.claims[pool]
		to := n.successor(now, pool)
		if c.held(now) && to != "" {
			n.announce = true
			n.handover[pool] = handover{to, c.heldEpoch, now + HandoverTime}
			c.active = false
		}
		n.drop(pool, c)
	}
	n.claims = map[string]*claim{}
}

// handoverReleases repeats the releases of handovers under way on every beat,
// because a beat that a later one overtakes is ignored.
func (n *Node) handoverReleases() []Release {
	out := n.releases
	for _, pool := range n.handingOver() {
		h := n.handover[pool]
		out = append(out, Release{Pool: pool, Epoch: h.epoch, To: h.to})
	}
	return out
}

// HandingOver reports whether a successor has not yet taken over a pool.
func (n *Node) HandingOver() bool { return len(n.handover) > 0 }

func (n *Node) successor(now time.Duration, pool string) string {
	best := ""
	for _, name := range n.live(now) {
		if best == "" || weight(pool, name) > weight(pool, best) {
			best = name
		}
	}
	return best
}

// succeed takes over the votes of a resigning owner, without stagger. A round of
// its own that is still open makes way, because it cannot win against the owner.
func (n *Node) succeed(now time.Duration, from string, r Release) {
	c := n.claims[r.Pool]
	if c == nil || n.resigned || c.held(now) || !n.Valid(now) || (c.active && c.after == r.Epoch) {
		return
	}
	n.learn(r.Pool, r.Epoch)
	*c = claim{active: true, epoch: n.highest(r.Pool) + 1, after: r.Epoch, asked: now - RoundTime}
}

// tickHandover ends handovers that succeeded, and frees the votes of those whose
// successor did not take over in time.
func (n *Node) tickHandover(now time.Duration) bool {
	urgent := false
	for _, pool := range n.handingOver() {
		h := n.handover[pool]
		o := n.owners[pool]
		if o.epoch > h.epoch && now < o.until {
			delete(n.handover, pool)
			continue
		}
		if now >= h.deadline {
			n.releases = append(n.releases, Release{Pool: pool, Epoch: h.epoch})
			delete(n.handover, pool)
			urgent = true
		}
	}
	return urgent
}

func (n *Node) handingOver() []string {
	out := make([]string, 0, len(n.handover))
	for pool := range n.handover {
		out = append(out, pool)
	}
	sort.Strings(out)
	return out
}
