package schedule

import (
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

// Demand handles the changes sent by an instance. A gap in the message numbers
// leads to a request for a full report; stale and duplicate messages are counted
// and ignored.
func (o *Owner) Demand(from string, m *DemandMsg, now time.Duration) {
	p := o.peers[from]
	if p == nil || m.Epoch > o.epoch || p.isRetired(m.Incarnation) {
		o.Stats.Stale++
		return
	}
	sameSession := p.reported && m.Epoch == o.epoch && m.Incarnation == p.incarnation
	if sameSession && (m.Generation < p.generation || m.Generation == p.generation && m.Seq <= p.seq) {
		o.Stats.Stale++ // duplicate, or overtaken by a report
		return
	}
	if !sameSession || m.Generation > p.generation || m.Seq > p.seq+1 || !p.inSync {
		o.Stats.Gaps++
		p.inSync = false
		o.requestReport(p, now)
		return
	}
	o.recordReceipt(p, &m.Header, now)
	o.applyDemand(p, m, now)
}

// recordReceipt updates the record of an instance for a message received in order.
func (o *Owner) recordReceipt(p *peer, h *Header, now time.Duration) {
	p.seq, p.lastClock, p.lastReceivedAt = h.Seq, h.Clock, now
	if p.awaitedAck != 0 && h.GrantsReceived >= p.awaitedAck {
		p.awaitedAck = 0
		if p.grantsSent > h.GrantsReceived {
			p.awaitedAck, p.awaitingSince = p.grantsSent, now
		}
	}
}

func (o *Owner) applyDemand(p *peer, m *DemandMsg, now time.Duration) {
	o.applyOutcomes(p, m.Done, now)
	for i := range m.Confirmed {
		c := &m.Confirmed[i]
		if r := p.requests[c.Number]; r != nil && !r.waiting {
			o.targets.Confirm(&r.work, c.Warmth, c.Boot, now)
		}
	}
	for i := range m.Added {
		o.addWaiting(p, &m.Added[i], now)
	}
	// After the additions: a request may be added and cancelled in one message.
	for _, n := range m.Cancelled {
		o.cancelRequest(p, n, now)
	}
}

func (o *Owner) addWaiting(p *peer, a *Announcement, now time.Duration) {
	if p.requests[a.Number] != nil {
		return
	}
	if p.waiting >= MaxAnnounced*(o.workspaceCount+spareWorkspaces) {
		o.Stats.Dropped++
		return
	}
	q := o.queueOf(a.Workspace)
	r := o.newRequest()
	*r = request{number: a.Number, peer: p, queue: q, class: fairness.CostClassIndex(a.Class), hint: a.Hint,
		avoid: a.Avoid, waiting: true, announcedAt: now}
	p.requests[a.Number] = r
	p.waiting++
	q.push(r)
	o.accounts.Activate(q.account)
}

func (o *Owner) queueOf(workspace string) *ownerQueue {
	w := o.accounts.Get(workspace)
	q, ok := w.Data.(*ownerQueue)
	if !ok {
		q = &ownerQueue{account: w}
		w.Data = q
	}
	return q
}

func (o *Owner) newRequest() *request {
	if r := o.freeRequests; r != nil {
		o.freeRequests = r.next
		return r
	}
	return &request{}
}

// dequeue removes a waiting request from its queue.
func (o *Owner) dequeue(r *request) {
	r.waiting = false
	r.peer.waiting--
	r.queue.remove(r)
	if r.queue.head == nil {
		o.accounts.Deactivate(r.queue.account)
	}
}

// recycle returns the record of a request to the free list. The request must be in
// no queue and its work must no longer count on a target.
func (o *Owner) recycle(r *request) {
	delete(r.peer.requests, r.number)
	*r = request{next: o.freeRequests}
	o.freeRequests = r
}

func (o *Owner) cancelRequest(p *peer, n uint64, now time.Duration) {
	r := p.requests[n]
	if r == nil {
		return
	}
	if r.waiting {
		o.dequeue(r)
		o.recycle(r)
		return
	}
	// The grant was returned unused, or the cancellation crossed it.
	o.refund(r, now)
}

func (o *Owner) refund(r *request, now time.Duration) {
	o.Stats.Refunded++
	o.accounts.Refund(r.queue.account, r.estimate)
	o.targets.Remove(&r.work, now)
	o.recycle(r)
}

func (o *Owner) applyOutcomes(p *peer, list []Completion, now time.Duration) {
	for i := range list {
		o.applyOutcome(p, &list[i], now)
	}
}

func (o *Owner) applyOutcome(p *peer, d *Completion, now time.Duration) {
	if d.Outcome.Result == api.ResultNotStarted {
		o.cancelRequest(p, d.Number, now)
		return
	}
	r := p.requests[d.Number]
	if r == nil || r.waiting {
		return
	}
	o.Stats.Settled++
	o.accounts.Settle(r.queue.account, r.class, r.estimate, d.Outcome.Cost, d.Outcome.Cost > 0)
	o.targets.End(&r.work, d.Outcome, now)
	o.recycle(r)
}
