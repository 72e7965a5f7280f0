package schedule

import (
	"time"

	"nutmegrouter/internal/fairness"
)

// Report handles a full report: it replaces what is known of the router.
func (o *Owner) Report(from string, m *ReportMsg, now time.Duration) {
	p := o.peers[from]
	if p == nil || m.Epoch > o.epoch || p.isRetired(m.Inc) {
		o.Stats.Stale++
		return
	}
	if m.Epoch < o.epoch {
		o.ask(p, now) // the router does not know of this owner yet
		return
	}
	if p.reported && m.Inc == p.inc && m.Gen <= p.gen {
		o.Stats.Stale++
		return
	}
	o.Stats.Reports++
	if p.reported && m.Inc != p.inc {
		o.replaceIncarnation(p, now)
	}
	if p.lost {
		o.note(Note{Step: "router back", Peer: p.name})
	}
	p.inc, p.gen, p.reported, p.synced, p.lost = m.Inc, m.Gen, true, true, false
	p.acked = 0
	clear(p.names)
	p.sent, p.mark, p.out, p.want = 0, 0, p.out[:0], false
	o.hear(p, &m.Head, now)
	o.finished(p, m.Done, now)
	o.reconcile(p, m, now)
	o.offer(p, m)
	o.tryOpen(now)
}

// replaceIncarnation handles a router that restarted with empty memory: what it
// ran before may still run on the targets.
func (o *Owner) replaceIncarnation(p *peer, now time.Duration) {
	o.note(Note{Step: "router restarted", Peer: p.name})
	o.dropWaiting(p)
	for n, r := range p.requests {
		o.lim.Orphan(&r.work, now)
		o.fair.Settle(r.queue.account, r.kind, r.estimate, 0, false)
		o.Stats.Lost++
		delete(p.requests, n)
	}
	p.retire(p.inc)
}

func (o *Owner) dropWaiting(p *peer) {
	for _, r := range p.requests {
		if r.waiting {
			q := r.queue
			o.dequeue(r)
			o.release(r)
			if q.head == nil {
				o.fair.Suspend(q.account)
			}
		}
	}
}

// reconcile makes the records of the router equal to its report.
func (o *Owner) reconcile(p *peer, m *ReportMsg, now time.Duration) {
	running := make(map[uint64]bool, len(m.Running))
	for i := range m.Running {
		running[m.Running[i].N] = true
	}
	waiting := make(map[uint64]bool, len(m.Waiting))
	for i := range m.Waiting {
		waiting[m.Waiting[i].N] = true
	}
	var gone []*request
	for n, r := range p.requests {
		switch {
		case running[n]:
		case r.waiting && waiting[n]:
		case r.waiting:
			gone = append(gone, r)
		case waiting[n]: // the grant was lost, or is void by this report
			o.refund(r, now)
		default:
			o.vanish(r, now)
		}
	}
	for i := range m.Running {
		o.adopt(p, &m.Running[i], now)
	}
	for i := range m.Waiting {
		o.add(p, &m.Waiting[i], now)
	}
	// Last, so that a workspace whose requests were only renumbered does not
	// seem idle and lose its place.
	for _, r := range gone {
		o.dequeue(r)
		o.release(r)
	}
}

// vanish handles a request that the router no longer has and whose end was lost.
func (o *Owner) vanish(r *request, now time.Duration) {
	o.Stats.Lost++
	o.fair.Settle(r.queue.account, r.kind, r.estimate, 0, false)
	o.lim.Discard(&r.work, now)
	o.release(r)
}

// adopt takes over running work of a report.
func (o *Owner) adopt(p *peer, x *Running, now time.Duration) {
	r := p.requests[x.N]
	if r != nil && r.waiting {
		o.dequeue(r) // granted by a former owner with the same records
		o.release(r)
		r = nil
	}
	if r != nil && r.work.Target() != nil {
		o.lim.Restore(&r.work, now)
		if x.Confirmed {
			o.lim.Acknowledge(&r.work, now)
		}
		return
	}
	if r == nil {
		q := o.queueOf(x.Workspace)
		r = o.newRequest()
		*r = request{n: x.N, peer: p, queue: q, kind: fairness.Kind(x.Class), estimate: x.Estimate}
		p.requests[x.N] = r
		o.fair.Adopt(q.account)
	}
	if t := o.lim.Target(x.Target); t != nil {
		age := min(time.Duration(x.AgeMs)*time.Millisecond, t.RequestLimit)
		o.lim.Adopt(t, &r.work, now-age, x.Confirmed, now)
	}
}

// offer keeps the newest copy of the virtual service table until the start, with
// the service that the routers with this copy have given since.
func (o *Owner) offer(p *peer, m *ReportMsg) {
	if o.open || m.Table.Epoch > o.epoch {
		return
	}
	p.usage, p.copyEpoch, p.copySeq = m.Since, m.Table.Epoch, m.Table.Seq
	if m.Table.Newer(&o.table) {
		o.table = m.Table
	}
}

// rebuildAccounts makes the accounts from what the routers offered. It does not
// miss service that was given after the newest copy of the table was sent.
func (o *Owner) rebuildAccounts() {
	o.fair.Load(o.table.Virtual, o.table.Rows)
	for _, p := range o.order {
		if p.copyEpoch == o.table.Epoch && p.copySeq == o.table.Seq {
			for _, u := range p.usage {
				o.fair.Credit(u.Workspace, u.Service)
			}
		}
		p.usage = nil
	}
	o.table = ServiceMsg{}
}

// tryOpen starts granting once every instance has reported or holds no lease.
func (o *Owner) tryOpen(now time.Duration) {
	if o.open {
		return
	}
	for _, p := range o.order {
		if !p.reported && !p.lost {
			return
		}
	}
	o.open = true
	o.rebuildAccounts()
	o.note(Note{Step: "open"})
}

// Tick handles the passing of time. The function tells whether an instance may
// still hold a lease.
func (o *Owner) Tick(now time.Duration, mayHold func(instance string) bool) {
	for _, p := range o.order {
		o.tickPeer(p, now, mayHold)
	}
	o.tryOpen(now)
	if now-o.limTicked >= limitsEvery {
		o.limTicked = now
		o.lim.Tick(now)
	}
	if now-o.forgot >= time.Second {
		o.forgot = now
		o.fair.Forget()
	}
}

func (o *Owner) tickPeer(p *peer, now time.Duration, mayHold func(string) bool) {
	quiet, dead := now-p.heard, deadAfter
	if !p.reported {
		dead = unheardAfter
	}
	if quiet > dead && !p.lost && !mayHold(p.name) {
		o.lose(p, now)
	}
	if p.lost {
		return
	}
	unacked := time.Duration(0)
	if p.mark != 0 {
		unacked = now - p.markAt
	}
	if p.waiting > 0 && (quiet > staleAfter || unacked > ackLimit) {
		o.dropWaiting(p)
		p.synced = false
	}
	if len(p.requests) > 0 && (quiet > suspectAfter || unacked > suspectAfter) {
		o.suspect(p, now)
	}
	if !p.synced {
		o.ask(p, now)
	}
}

// suspect handles a silent router. Its confirmed work may end unnoticed, so the
// targets' reports decide from now on. Work that is not confirmed may still be
// started while the router holds a lease, and a report taken before its start
// must not clear it; it follows in lose.
func (o *Owner) suspect(p *peer, now time.Duration) {
	p.synced = false
	for _, r := range p.requests {
		if r.work.Confirmed() {
			o.lim.Orphan(&r.work, now)
		}
	}
}

// lose handles a router that holds no lease and is silent: its running work
// counts on the targets until they report, and it has to report again.
func (o *Owner) lose(p *peer, now time.Duration) {
	o.dropWaiting(p)
	for _, r := range p.requests {
		o.lim.Orphan(&r.work, now)
	}
	p.lost, p.synced = true, false
	if p.reported || len(p.requests) > 0 {
		o.note(Note{Step: "router lost", Peer: p.name})
	}
}
