package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick announces the requests that were held back for 50 ms (reannounceDelay) because
// a grant was returned. It removes and returns the waiting requests that missed their
// deadline.
func (e *EntryQueues) Tick(now time.Duration) []*LocalRequest {
	for _, q := range e.queues {
		if q.announceAfter != 0 && now >= q.announceAfter {
			q.announceAfter = 0
			e.announce(q, now)
		}
		if q.waiting() == 0 && now-q.lastGrantAt > maxRetryAfter {
			delete(e.queues, q.workspace)
		}
	}
	if e.earliestDeadline == 0 || now < e.earliestDeadline {
		return nil
	}
	return e.expire(now)
}

func (e *EntryQueues) expire(now time.Duration) []*LocalRequest {
	var expired []*LocalRequest
	e.earliestDeadline = 0
	e.eachWaiting(func(req *LocalRequest) {
		switch d := req.Demand.Deadline; {
		case d == 0:
		case d <= now:
			expired = append(expired, req)
		case e.earliestDeadline == 0 || d < e.earliestDeadline:
			e.earliestDeadline = d
		}
	})
	for _, req := range expired {
		e.Cancel(req, now)
	}
	return expired
}

// RefuseAll removes all waiting requests from the queue and returns them.
func (e *EntryQueues) RefuseAll(now time.Duration) []*LocalRequest {
	var all []*LocalRequest
	e.eachWaiting(func(req *LocalRequest) { all = append(all, req) })
	// Unannounced requests go first, so that no cancellation announces another one.
	slices.SortStableFunc(all, func(a, b *LocalRequest) int { return cmp.Compare(a.state, b.state) })
	for _, req := range all {
		e.Cancel(req, now)
	}
	return all
}

func (e *EntryQueues) eachWaiting(f func(req *LocalRequest)) {
	for _, q := range e.queues {
		for req := q.announced.head; req != nil; req = req.next {
			f(req)
		}
		for req := q.unannounced.head; req != nil; req = req.next {
			f(req)
		}
	}
}

// Pending reports whether Flush has a message to send now.
func (e *EntryQueues) Pending(now time.Duration) bool {
	if e.owner == "" {
		return false
	}
	d := &e.pendingDemand
	return e.reportDue || len(d.Added)+len(d.Cancelled)+len(d.Confirmed)+len(d.Done) > 0 || e.heartbeatDue(now)
}

// heartbeatDue reports whether a message is due although nothing has changed: an
// acknowledgement of grants or a heartbeat.
func (e *EntryQueues) heartbeatDue(now time.Duration) bool {
	idle := now - e.lastSentAt
	switch {
	case e.queued > 0 && e.grantsReceived != e.grantsAcked:
		return idle >= maxAckDelay
	case e.queued > 0 || len(e.requests) > 0:
		return idle >= busyHeartbeatInterval
	}
	return idle >= idleHeartbeatInterval && now-e.lastActiveAt < idleHeartbeatDuration
}

// Flush returns the message that is due, either changes or a full report, or nil
// for both. The caller must send it to the owner, or call MessageNotSent if it
// cannot. The message is valid until the next call on the queues.
func (e *EntryQueues) Flush(now time.Duration) (*DemandMsg, *ReportMsg) {
	if !e.Pending(now) {
		return nil, nil
	}
	e.lastSentAt, e.grantsAcked = now, e.grantsReceived
	if e.reportDue {
		return nil, e.buildReport(now)
	}
	e.seq++
	e.pendingDemand.Header = e.newHeader(now)
	e.swapBuffers()
	return &e.sentDemand, nil
}

// swapBuffers moves the filled message to sentDemand and starts the next one in the
// buffers of the message sent before.
func (e *EntryQueues) swapBuffers() {
	e.pendingDemand, e.sentDemand = e.sentDemand, e.pendingDemand
	e.pendingDemand.clear()
}

func (m *DemandMsg) clear() {
	m.Added, m.Cancelled = m.Added[:0], m.Cancelled[:0]
	m.Confirmed, m.Done = m.Confirmed[:0], m.Done[:0]
}

func (e *EntryQueues) newHeader(now time.Duration) Header {
	return Header{e.pool, e.epoch, e.incarnation, e.generation, e.seq, toMs(now), e.grantsReceived}
}

// buildReport starts a new generation, which invalidates all grants in flight, and
// returns its full report.
func (e *EntryQueues) buildReport(now time.Duration) *ReportMsg {
	e.generation++
	e.seq, e.grantsReceived, e.grantsAcked, e.targetNames = 0, 0, 0, e.targetNames[:0]
	e.reportDue = false
	e.lastReportAt = now
	m := &e.report
	m.Header = e.newHeader(now)
	m.Waiting, m.Running = m.Waiting[:0], m.Running[:0]
	for _, req := range e.sortedRequests() {
		if req.state == stateAnnounced {
			m.Waiting = append(m.Waiting, req.announcement())
			continue
		}
		m.Running = append(m.Running, req.runningEntry(now))
	}
	m.Table = e.serviceTable
	m.Table.Pool = ""
	e.addOutcomesAndService(m)
	return m
}

// addOutcomesAndService adds to a report the outcomes that are not acknowledged and
// the service since the last copy of the table, from which a new owner rebuilds
// the accounts.
func (e *EntryQueues) addOutcomesAndService(m *ReportMsg) {
	m.Done = m.Done[:0]
	for i := range e.unackedOutcomes {
		e.unackedOutcomes[i].seq = 0
		m.Done = append(m.Done, e.unackedOutcomes[i].Completion)
	}
	m.ServiceSinceTable = m.ServiceSinceTable[:0]
	for _, ws := range slices.Sorted(maps.Keys(e.serviceSinceTable)) {
		m.ServiceSinceTable = append(m.ServiceSinceTable, Usage{ws, e.serviceSinceTable[ws]})
	}
}

func (req *LocalRequest) runningEntry(now time.Duration) Running {
	return Running{req.Number, req.Demand.Workspace, req.target, req.Demand.Class,
		req.estimate, req.confirmed, toMs(now - req.startedAt)}
}

// sortedRequests returns the announced and running requests in order of announcement.
func (e *EntryQueues) sortedRequests() []*LocalRequest {
	all := make([]*LocalRequest, 0, len(e.requests))
	for _, req := range e.requests {
		all = append(all, req)
	}
	slices.SortFunc(all, func(a, b *LocalRequest) int { return cmp.Compare(a.Number, b.Number) })
	return all
}
