package schedule

import (
	"time"

	"nutmegrouter/internal/fairness"
)

// Report handles a full report, which replaces the owner's records of the instance.
// A report that is not of a later generation than the last one is ignored; one for an
// earlier epoch leads to a request for a new report.
func (o *Owner) Report(from string, m *ReportMsg, now time.Duration) {
	p := o.peers[from]
	if p == nil || m.Epoch > o.epoch || p.isRetired(m.Incarnation) {
		o.Stats.Stale++
		return
	}
	if m.Epoch < o.epoch {
		o.requestReport(p, now) // the instance has not learned of this owner yet
		return
	}
	if p.reported && m.Incarnation == p.incarnation && m.Generation <= p.generation {
		o.Stats.Stale++
		return
	}
	o.Stats.Reports++
	if p.reported && m.Incarnation != p.incarnation {
		o.replaceIncarnation(p, now)
	}
	if p.lost {
		o.recordChange(Change{Step: "router back", Peer: p.name})
	}
	p.incarnation, p.generation, p.reported, p.inSync, p.lost = m.Incarnation, m.Generation, true, true, false
	p.lastAckSent = 0
	clear(p.targetRefs)
	p.grantsSent, p.awaitedAck, p.pendingGrants, p.wantReport = 0, 0, p.pendingGrants[:0], false
	o.recordReceipt(p, &m.Header, now)
	o.applyOutcomes(p, m.Done, now)
	o.reconcile(p, m, now)
	o.recordTable(p, m)
	o.tryOpen(now)
}

// replaceIncarnation handles an instance that restarted with empty memory. The work
// of the earlier process may still run on the targets.
func (o *Owner) replaceIncarnation(p *peer, now time.Duration) {
	o.recordChange(Change{Step: "router restarted", Peer: p.name})
	o.dropWaiting(p)
	for n, r := range p.requests {
		o.targets.Orphan(&r.work, now)
		o.accounts.Settle(r.queue.account, r.class, r.estimate, 0, false)
		o.Stats.Lost++
		delete(p.requests, n)
	}
	p.retire(p.incarnation)
}

func (o *Owner) dropWaiting(p *peer) {
	for _, r := range p.requests {
		if r.waiting {
			q := r.queue
			o.dequeue(r)
			o.recycle(r)
			if q.head == nil {
				o.accounts.DeactivateKeepingCredit(q.account)
			}
		}
	}
}

// reconcile makes the records of the instance equal to its report.
func (o *Owner) reconcile(p *peer, m *ReportMsg, now time.Duration) {
	running := make(map[uint64]bool, len(m.Running))
	for i := range m.Running {
		running[m.Running[i].Number] = true
	}
	waiting := make(map[uint64]bool, len(m.Waiting))
	for i := range m.Waiting {
		waiting[m.Waiting[i].Number] = true
	}
	var withdrawn []*request
	for n, r := range p.requests {
		switch {
		case running[n]:
		case r.waiting && waiting[n]:
		case r.waiting:
			withdrawn = append(withdrawn, r)
		case waiting[n]: // the grant was lost, or this report invalidates it
			o.refund(r, now)
		default:
			o.settleUnreported(r, now)
		}
	}
	for i := range m.Running {
		o.adoptRunning(p, &m.Running[i], now)
	}
	for i := range m.Waiting {
		o.addWaiting(p, &m.Waiting[i], now)
	}
	// Last, so that a workspace whose requests were only renumbered is not
	// deactivated in between, which would lose its credit.
	for _, r := range withdrawn {
		o.dequeue(r)
		o.recycle(r)
	}
}

// settleUnreported ends a started request that the instance no longer has and whose
// outcome was lost.
func (o *Owner) settleUnreported(r *request, now time.Duration) {
	o.Stats.Lost++
	o.accounts.Settle(r.queue.account, r.class, r.estimate, 0, false)
	o.targets.Remove(&r.work, now)
	o.recycle(r)
}

// adoptRunning takes over running work from a report.
func (o *Owner) adoptRunning(p *peer, x *Running, now time.Duration) {
	r := p.requests[x.Number]
	if r != nil && r.waiting {
		o.dequeue(r) // granted by a former owner that had the same records
		o.recycle(r)
		r = nil
	}
	if r != nil && r.work.Target() != nil {
		o.targets.Restore(&r.work, now)
		if x.Confirmed {
			o.targets.Acknowledge(&r.work, now)
		}
		return
	}
	if r == nil {
		q := o.queueOf(x.Workspace)
		r = o.newRequest()
		*r = request{number: x.Number, peer: p, queue: q, class: fairness.CostClassIndex(x.Class), estimate: x.Estimate}
		p.requests[x.Number] = r
		o.accounts.Adopt(q.account)
	}
	if t := o.targets.Target(x.Target); t != nil {
		age := min(time.Duration(x.AgeMs)*time.Millisecond, t.RequestLimit)
		o.targets.Adopt(t, &r.work, now-age, x.Confirmed, now)
	}
}

// recordTable keeps, until the owner opens, the newest copy of the virtual service
// table and the service that each instance has reported since its copy.
func (o *Owner) recordTable(p *peer, m *ReportMsg) {
	if o.open || m.Table.Epoch > o.epoch {
		return
	}
	p.serviceSinceTable, p.tableEpoch, p.tableSeq = m.ServiceSinceTable, m.Table.Epoch, m.Table.Seq
	if m.Table.Newer(&o.newestTable) {
		o.newestTable = m.Table
	}
}

// rebuildAccounts loads the accounts from the newest copy of the virtual service
// table in the reports and adds the service rendered since that copy was sent.
func (o *Owner) rebuildAccounts() {
	o.accounts.Load(o.newestTable.VirtualTime, o.newestTable.Rows)
	for _, p := range o.sortedPeers {
		if p.tableEpoch == o.newestTable.Epoch && p.tableSeq == o.newestTable.Seq {
			for _, u := range p.serviceSinceTable {
				o.accounts.Credit(u.Workspace, u.Service)
			}
		}
		p.serviceSinceTable = nil
	}
	o.newestTable = ServiceTableMsg{}
}

// tryOpen opens the owner once every instance has reported or holds no lease.
func (o *Owner) tryOpen(now time.Duration) {
	if o.open {
		return
	}
	for _, p := range o.sortedPeers {
		if !p.reported && !p.lost {
			return
		}
	}
	o.open = true
	o.rebuildAccounts()
	o.recordChange(Change{Step: "open"})
}

// Tick detects silent instances, opens the owner once it can, and advances the
// targets and accounts. MayHold reports whether an instance may still hold a lease.
func (o *Owner) Tick(now time.Duration, mayHold func(instance string) bool) {
	for _, p := range o.sortedPeers {
		o.tickPeer(p, now, mayHold)
	}
	o.tryOpen(now)
	if now-o.lastTargetTick >= targetTickInterval {
		o.lastTargetTick = now
		o.targets.Tick(now)
	}
	if now-o.lastRemoveIdle >= time.Second {
		o.lastRemoveIdle = now
		o.accounts.RemoveIdle()
	}
}

func (o *Owner) tickPeer(p *peer, now time.Duration, mayHold func(string) bool) {
	silence, maxSilence := now-p.lastReceivedAt, lostAfter
	if !p.reported {
		maxSilence = unreportedLostAfter
	}
	if silence > maxSilence && !p.lost && !mayHold(p.name) {
		o.markLost(p, now)
	}
	if p.lost {
		return
	}
	ackWait := time.Duration(0)
	if p.awaitedAck != 0 {
		ackWait = now - p.awaitingSince
	}
	if p.waiting > 0 && (silence > maxGrantSilence || ackWait > maxGrantAckTime) {
		o.dropWaiting(p)
		p.inSync = false
	}
	if len(p.requests) > 0 && (silence > suspectAfter || ackWait > suspectAfter) {
		o.suspect(p, now)
	}
	if !p.inSync {
		o.requestReport(p, now)
	}
}

// suspect handles an instance with requests that is silent or does not acknowledge
// grants. Its confirmed work may end unreported, so from now on the targets' load
// reports decide when it has ended. Unconfirmed work may still be started while the
// instance holds a lease, and a load report from before its start must not clear
// it; markLost orphans that work.
func (o *Owner) suspect(p *peer, now time.Duration) {
	p.inSync = false
	for _, r := range p.requests {
		if r.work.Confirmed() {
			o.targets.Orphan(&r.work, now)
		}
	}
}

// markLost handles a silent instance without a lease: its running work counts on
// the targets until their load reports clear it, and the instance must send a full
// report before it gets grants again.
func (o *Owner) markLost(p *peer, now time.Duration) {
	o.dropWaiting(p)
	for _, r := range p.requests {
		o.targets.Orphan(&r.work, now)
	}
	p.lost, p.inSync = true, false
	if p.reported || len(p.requests) > 0 {
		o.recordChange(Change{Step: "router lost", Peer: p.name})
	}
}
