package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick handles the passing of time and returns the requests whose deadline has
// passed in the queue. They have left the queue.
func (r *Router) Tick(now time.Duration) []*Item {
	for _, l := range r.lines {
		if l.pausedUntil != 0 && now >= l.pausedUntil {
			l.pausedUntil = 0
			r.announce(l, now)
		}
		if l.length() == 0 && now-l.lastGrant > maxRetry {
			delete(r.lines, l.workspace)
		}
	}
	if r.deadline == 0 || now < r.deadline {
		return nil
	}
	return r.expire(now)
}

func (r *Router) expire(now time.Duration) []*Item {
	var late []*Item
	r.deadline = 0
	r.eachWaiting(func(it *Item) {
		switch d := it.Demand.Deadline; {
		case d == 0:
		case d <= now:
			late = append(late, it)
		case r.deadline == 0 || d < r.deadline:
			r.deadline = d
		}
	})
	for _, it := range late {
		r.Cancel(it, now)
	}
	return late
}

// RefuseAll takes all waiting requests out of the queue and returns them.
func (r *Router) RefuseAll(now time.Duration) []*Item {
	var all []*Item
	r.eachWaiting(func(it *Item) { all = append(all, it) })
	// Held requests go first, so that no window is refilled on the way.
	slices.SortStableFunc(all, func(a, b *Item) int { return cmp.Compare(a.state, b.state) })
	for _, it := range all {
		r.Cancel(it, now)
	}
	return all
}

func (r *Router) eachWaiting(f func(it *Item)) {
	for _, l := range r.lines {
		for it := l.announced.head; it != nil; it = it.next {
			f(it)
		}
		for it := l.held.head; it != nil; it = it.next {
			f(it)
		}
	}
}

// Pending reports whether Flush has a message to send now.
func (r *Router) Pending(now time.Duration) bool {
	if r.owner == "" {
		return false
	}
	o := &r.out
	return r.mustReport || len(o.Added)+len(o.Cancelled)+len(o.Confirmed)+len(o.Done) > 0 || r.beatDue(now)
}

// beatDue reports whether an empty message is due.
func (r *Router) beatDue(now time.Duration) bool {
	gap := now - r.sent
	switch {
	case r.queued > 0 && r.got != r.acked:
		return gap >= ackDelay
	case r.queued > 0 || len(r.items) > 0:
		return gap >= heartbeatBusy
	}
	return gap >= heartbeatIdle && now-r.active < heartbeatTail
}

// Flush returns the message that is due, or nil for both. The message is valid
// until the next call on the router.
func (r *Router) Flush(now time.Duration) (*DemandMsg, *ReportMsg) {
	if !r.Pending(now) {
		return nil, nil
	}
	r.sent, r.acked = now, r.got
	if r.mustReport {
		return nil, r.makeReport(now)
	}
	r.seq++
	r.out.Head = r.head(now)
	r.swap()
	return &r.spare, nil
}

// swap hands out the filled message and starts the next one in the buffers of
// the message handed out before.
func (r *Router) swap() {
	r.out, r.spare = r.spare, r.out
	r.out.clear()
}

func (m *DemandMsg) clear() {
	m.Added, m.Cancelled = m.Added[:0], m.Cancelled[:0]
	m.Confirmed, m.Done = m.Confirmed[:0], m.Done[:0]
}

func (r *Router) head(now time.Duration) Head {
	return Head{r.pool, r.epoch, r.inc, r.gen, r.seq, toMs(now), r.got}
}

// makeReport starts a new generation, which voids all grants under way.
func (r *Router) makeReport(now time.Duration) *ReportMsg {
	r.gen++
	r.seq, r.got, r.acked, r.names = 0, 0, 0, r.names[:0]
	r.mustReport = false
	r.reported = now
	m := &r.report
	m.Head = r.head(now)
	m.Waiting, m.Running = m.Waiting[:0], m.Running[:0]
	for _, it := range r.sorted() {
		if it.state == stateAnnounced {
			m.Waiting = append(m.Waiting, it.add())
			continue
		}
		m.Running = append(m.Running, it.running(now))
	}
	m.Table = r.table
	m.Table.Pool = ""
	r.reportEnded(m)
	return m
}

// reportEnded adds the outcomes that are not acknowledged, and the service since
// the last copy of the table, from which a new owner rebuilds the accounts.
func (r *Router) reportEnded(m *ReportMsg) {
	m.Done = m.Done[:0]
	for i := range r.ended {
		r.ended[i].seq = 0
		m.Done = append(m.Done, r.ended[i].Done)
	}
	m.Since = m.Since[:0]
	for _, ws := range slices.Sorted(maps.Keys(r.since)) {
		m.Since = append(m.Since, Usage{ws, r.since[ws]})
	}
}

func (it *Item) running(now time.Duration) Running {
	return Running{it.N, it.Demand.Workspace, it.target, it.Demand.Class,
		it.estimate, it.confirmed, toMs(now - it.started)}
}

// sorted returns the announced and running requests in order of announcement.
func (r *Router) sorted() []*Item {
	all := make([]*Item, 0, len(r.items))
	for _, it := range r.items {
		all = append(all, it)
	}
	slices.SortFunc(all, func(a, b *Item) int { return cmp.Compare(a.N, b.N) })
	return all
}
