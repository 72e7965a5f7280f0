package schedule

import (
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

// Demand handles the changes that a router sent.
func (o *Owner) Demand(from string, m *DemandMsg, now time.Duration) {
	p := o.peers[from]
	if p == nil || m.Epoch > o.epoch || p.isRetired(m.Inc) {
		o.Stats.Stale++
		return
	}
	inStep := p.reported && m.Epoch == o.epoch && m.Inc == p.inc
	if inStep && (m.Gen < p.gen || m.Gen == p.gen && m.Seq <= p.seq) {
		o.Stats.Stale++ // doubled or overtaken by a report
		return
	}
	if !inStep || m.Gen > p.gen || m.Seq > p.seq+1 || !p.synced {
		o.Stats.Gaps++
		p.synced = false
		o.ask(p, now)
		return
	}
	o.hear(p, &m.Head, now)
	o.apply(p, m, now)
}

// hear notes a message that arrived in order.
func (o *Owner) hear(p *peer, h *Head, now time.Duration) {
	p.seq, p.clock, p.heard = h.Seq, h.Clock, now
	if p.mark != 0 && h.Got >= p.mark {
		p.mark = 0
		if p.sent > h.Got {
			p.mark, p.markAt = p.sent, now
		}
	}
}

func (o *Owner) apply(p *peer, m *DemandMsg, now time.Duration) {
	o.finished(p, m.Done, now)
	for i := range m.Confirmed {
		c := &m.Confirmed[i]
		if r := p.requests[c.N]; r != nil && !r.waiting {
			o.lim.Confirm(&r.work, c.Warmth, c.Boot, now)
		}
	}
	for i := range m.Added {
		o.add(p, &m.Added[i], now)
	}
	// After the added ones: a request may be added and cancelled in one batch.
	for _, n := range m.Cancelled {
		o.cancel(p, n, now)
	}
}

func (o *Owner) add(p *peer, a *Add, now time.Duration) {
	if p.requests[a.N] != nil {
		return
	}
	if p.waiting >= Window*(o.workspaces+spareWorkspaces) {
		o.Stats.Dropped++
		return
	}
	q := o.queueOf(a.Workspace)
	r := o.newRequest()
	*r = request{n: a.N, peer: p, queue: q, kind: fairness.Kind(a.Class), hint: a.Hint,
		avoid: a.Avoid, waiting: true, since: now}
	p.requests[a.N] = r
	p.waiting++
	q.push(r)
	o.fair.Activate(q.account)
}

func (o *Owner) queueOf(workspace string) *queue {
	w := o.fair.Get(workspace)
	q, ok := w.Data.(*queue)
	if !ok {
		q = &queue{account: w}
		w.Data = q
	}
	return q
}

func (o *Owner) newRequest() *request {
	if r := o.free; r != nil {
		o.free = r.next
		return r
	}
	return &request{}
}

// dequeue takes a waiting request out of its queue.
func (o *Owner) dequeue(r *request) {
	r.waiting = false
	r.peer.waiting--
	r.queue.remove(r)
	if r.queue.head == nil {
		o.fair.Deactivate(r.queue.account)
	}
}

// release ends the record of a request whose work has been unlinked.
func (o *Owner) release(r *request) {
	delete(r.peer.requests, r.n)
	*r = request{next: o.free}
	o.free = r
}

func (o *Owner) cancel(p *peer, n uint64, now time.Duration) {
	r := p.requests[n]
	if r == nil {
		return
	}
	if r.waiting {
		o.dequeue(r)
		o.release(r)
		return
	}
	// Returned unused, or the cancel crossed the grant.
	o.refund(r, now)
}

func (o *Owner) refund(r *request, now time.Duration) {
	o.Stats.Refunded++
	o.fair.Refund(r.queue.account, r.estimate)
	o.lim.Discard(&r.work, now)
	o.release(r)
}

func (o *Owner) finished(p *peer, list []Done, now time.Duration) {
	for i := range list {
		o.done(p, &list[i], now)
	}
}

func (o *Owner) done(p *peer, d *Done, now time.Duration) {
	if d.Outcome.Result == api.ResultNotStarted {
		o.cancel(p, d.N, now)
		return
	}
	r := p.requests[d.N]
	if r == nil || r.waiting {
		return
	}
	o.Stats.Settled++
	o.fair.Settle(r.queue.account, r.kind, r.estimate, d.Outcome.Cost, d.Outcome.Cost > 0)
	o.lim.End(&r.work, d.Outcome, now)
	o.release(r)
}
