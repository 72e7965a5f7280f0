package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick announces requests whose delay has passed, and removes and returns the
// waiting requests that missed their deadline.
func (r *Router) Tick(now time.Duration) []*Item {
	for _, q := range r.queues {
		if q.announceAfter != 0 && now >= q.announceAfter {
			q.announceAfter = 0
			r.announce(q, now)
		}
		if q.waiting() == 0 && now-q.lastGrantAt > maxRetryAfter {
			delete(r.queues, q.workspace)
		}
	}
	if r.earliestDeadline == 0 || now < r.earliestDeadline {
		return nil
	}
	return r.expire(now)
}

func (r *Router) expire(now time.Duration) []*Item {
	var expired []*Item
	r.earliestDeadline = 0
	r.eachWaiting(func(it *Item) {
		switch d := it.Demand.Deadline; {
		case d == 0:
		case d <= now:
			expired = append(expired, it)
		case r.earliestDeadline == 0 || d < r.earliestDeadline:
			r.earliestDeadline = d
		}
	})
	for _, it := range expired {
		r.Cancel(it, now)
	}
	return expired
}

// RefuseAll removes all waiting requests from the queue and returns them.
func (r *Router) RefuseAll(now time.Duration) []*Item {
	var all []*Item
	r.eachWaiting(func(it *Item) { all = append(all, it) })
	// Unannounced requests go first, so that no cancellation announces another one.
	slices.SortStableFunc(all, func(a, b *Item) int { return cmp.Compare(a.state, b.state) })
	for _, it := range all {
		r.Cancel(it, now)
	}
	return all
}

func (r *Router) eachWaiting(f func(it *Item)) {
	for _, q := range r.queues {
		for it := q.announced.head; it != nil; it = it.next {
			f(it)
		}
		for it := q.unannounced.head; it != nil; it = it.next {
			f(it)
		}
	}
}

// Pending reports whether Flush has a message to send now.
func (r *Router) Pending(now time.Duration) bool {
	if r.owner == "" {
		return false
	}
	d := &r.pendingDemand
	return r.reportDue || len(d.Added)+len(d.Cancelled)+len(d.Confirmed)+len(d.Done) > 0 || r.heartbeatDue(now)
}

// heartbeatDue reports whether a message is due although nothing has changed: an
// acknowledgement of grants or a heartbeat.
func (r *Router) heartbeatDue(now time.Duration) bool {
	idle := now - r.lastSentAt
	switch {
	case r.queued > 0 && r.grantsReceived != r.grantsAcked:
		return idle >= maxAckDelay
	case r.queued > 0 || len(r.items) > 0:
		return idle >= busyHeartbeatInterval
	}
	return idle >= idleHeartbeatInterval && now-r.lastActiveAt < idleHeartbeatDuration
}

// Flush returns the message that is due, either changes or a full report, or nil
// for both. The caller must send it to the owner, or call Lost if it cannot. The
// message is valid until the next call on the router.
func (r *Router) Flush(now time.Duration) (*DemandMsg, *ReportMsg) {
	if !r.Pending(now) {
		return nil, nil
	}
	r.lastSentAt, r.grantsAcked = now, r.grantsReceived
	if r.reportDue {
		return nil, r.buildReport(now)
	}
	r.seq++
	r.pendingDemand.Head = r.newHead(now)
	r.swapBuffers()
	return &r.sentDemand, nil
}

// swapBuffers moves the filled message to sentDemand and starts the next one in the
// buffers of the message sent before.
func (r *Router) swapBuffers() {
	r.pendingDemand, r.sentDemand = r.sentDemand, r.pendingDemand
	r.pendingDemand.clear()
}

func (m *DemandMsg) clear() {
	m.Added, m.Cancelled = m.Added[:0], m.Cancelled[:0]
	m.Confirmed, m.Done = m.Confirmed[:0], m.Done[:0]
}

func (r *Router) newHead(now time.Duration) Head {
	return Head{r.pool, r.epoch, r.incarnation, r.generation, r.seq, toMs(now), r.grantsReceived}
}

// buildReport starts a new generation, which invalidates all grants in flight, and
// returns its full report.
func (r *Router) buildReport(now time.Duration) *ReportMsg {
	r.generation++
	r.seq, r.grantsReceived, r.grantsAcked, r.targetNames = 0, 0, 0, r.targetNames[:0]
	r.reportDue = false
	r.lastReportAt = now
	m := &r.report
	m.Head = r.newHead(now)
	m.Waiting, m.Running = m.Waiting[:0], m.Running[:0]
	for _, it := range r.sortedItems() {
		if it.state == stateAnnounced {
			m.Waiting = append(m.Waiting, it.announcement())
			continue
		}
		m.Running = append(m.Running, it.runningEntry(now))
	}
	m.Table = r.serviceTable
	m.Table.Pool = ""
	r.addOutcomesAndService(m)
	return m
}

// addOutcomesAndService adds to a report the outcomes that are not acknowledged and
// the service since the last copy of the table, from which a new owner rebuilds
// the accounts.
func (r *Router) addOutcomesAndService(m *ReportMsg) {
	m.Done = m.Done[:0]
	for i := range r.unackedOutcomes {
		r.unackedOutcomes[i].seq = 0
		m.Done = append(m.Done, r.unackedOutcomes[i].Done)
	}
	m.Since = m.Since[:0]
	for _, ws := range slices.Sorted(maps.Keys(r.serviceSinceTable)) {
		m.Since = append(m.Since, Usage{ws, r.serviceSinceTable[ws]})
	}
}

func (it *Item) runningEntry(now time.Duration) Running {
	return Running{it.N, it.Demand.Workspace, it.target, it.Demand.Class,
		it.estimate, it.confirmed, toMs(now - it.startedAt)}
}

// sortedItems returns the announced and running requests in order of announcement.
func (r *Router) sortedItems() []*Item {
	all := make([]*Item, 0, len(r.items))
	for _, it := range r.items {
		all = append(all, it)
	}
	slices.SortFunc(all, func(a, b *Item) int { return cmp.Compare(a.N, b.N) })
	return all
}
