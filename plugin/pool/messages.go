package pool

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/schedule"
)

// Grant implements schedule.Client: it passes the valid grants of a message from the owner
// instance from to their tickets.
func (c *Client) Grant(from string, m *schedule.GrantMsg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshView()
	e := c.receiverOf(m)
	if e == nil {
		return
	}
	for _, g := range e.OnGrant(from, m, c.now(), c) {
		t := g.Request.Data.(*ticket)
		c.leaveQueue(t)
		c.metricsOf(g.Request.Demand.Pool).granted.Inc()
		t.granted <- g.Grant
	}
	c.signalFlush()
}

// receiverOf returns the queues that a message is for: by incarnation, else by pool. It
// returns nil if the pool is not configured.
func (c *Client) receiverOf(m *schedule.GrantMsg) *schedule.EntryQueues {
	if e := c.byIncarnation[m.Incarnation]; e != nil {
		return e
	}
	if !c.view.pools[m.Pool] {
		return nil
	}
	return c.queuesOf(m.Pool)
}

// Service implements schedule.Client: it passes a copy of the virtual service table to the
// queues of its pool.
func (c *Client) Service(_ string, m *schedule.ServiceTableMsg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entryQueues[m.Pool]; e != nil {
		copied := *m
		copied.Rows = slices.Clone(m.Rows)
		e.OnServiceTable(&copied)
	}
}

// LeaseValid implements schedule.GrantChecker. It reports whether the instance lease is valid.
func (c *Client) LeaseValid() bool { return c.lease.Valid() }

// Address implements schedule.GrantChecker. It returns the IP:port of a target, and false
// for a target that is not in the pool or whose data centre is out of service. The caller
// must hold the lock, as Grant does.
func (c *Client) Address(pool, target string) (string, bool) {
	t, ok := c.view.targets[target]
	return t.address, ok && t.pool == pool && !t.out
}

// runSender sends messages to the owners: at once after an idle period, otherwise in batches
// every minFlushInterval.
func (c *Client) runSender(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.flushSignal:
		case <-timer.C:
		}
		if wait := c.sendDue(); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// sendDue sends the messages that are due, or returns the time until the next batch.
func (c *Client) sendDue() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if wait := minFlushInterval - (now - c.flushedAt); wait > 0 && c.anyPending(now) {
		return wait
	}
	for pool, e := range c.entryQueues {
		if e.Pending(now) {
			c.flushedAt = now
			c.sendQueues(pool, e, now)
		}
	}
	return 0
}

// anyPending reports whether a message of any pool is due.
func (c *Client) anyPending(now time.Duration) bool {
	for _, e := range c.entryQueues {
		if e.Pending(now) {
			return true
		}
	}
	return false
}

// sendQueues sends the message that is due for one pool to the owner of the pool.
func (c *Client) sendQueues(pool string, e *schedule.EntryQueues, now time.Duration) {
	demand, report := e.Flush(now)
	owner, _ := e.Owner()
	if owner == c.mesh.Self() {
		if !c.deliverLocal(demand, report) {
			e.MessageNotSent()
		}
		return
	}
	var method string
	var raw []byte
	var err error
	if report != nil {
		method = schedule.MethodReport
		raw, err = report.MarshalJSON()
		c.metricsOf(pool).reports.Inc()
	} else {
		method = schedule.MethodDemand
		raw, err = demand.MarshalJSON()
	}
	if err == nil {
		err = c.mesh.Notify(owner, method, json.RawMessage(raw))
	}
	if err != nil {
		c.metricsOf(pool).lost.Inc()
		e.MessageNotSent()
	}
}

// deliverLocal passes a copy of a message to the local owner, which reads it later. It
// reports false if the owner's ring is full.
func (c *Client) deliverLocal(demand *schedule.DemandMsg, report *schedule.ReportMsg) bool {
	if report != nil {
		m := *report
		m.Waiting, m.Running, m.Done = slices.Clone(m.Waiting), slices.Clone(m.Running), slices.Clone(m.Done)
		m.ServiceSinceTable = slices.Clone(m.ServiceSinceTable)
		return c.localOwner.Report(&m)
	}
	m := *demand
	m.Added, m.Cancelled = slices.Clone(m.Added), slices.Clone(m.Cancelled)
	m.Confirmed, m.Done = slices.Clone(m.Confirmed), slices.Clone(m.Done)
	return c.localOwner.Demand(&m)
}

// view is the part of the configuration that this plug-in uses.
type view struct {
	revision uint64
	source   *api.View
	pools    map[string]bool
	targets  map[string]target
	limits   map[string]map[string]int // queue limit by pool and workspace
}

// target is a configured target; out is set if its data centre is out of service.
type target struct {
	pool, address string
	out           bool
}

// refreshView applies the current view of the configuration if it has changed.
func (c *Client) refreshView() {
	v := c.fleet.View()
	if v.Config == nil || c.view.source == v {
		return
	}
	n := view{revision: v.Revision, source: v, pools: map[string]bool{},
		targets: map[string]target{}, limits: map[string]map[string]int{}}
	for _, p := range v.Config.Pools {
		n.pools[p.Name] = true
		n.limits[p.Name] = map[string]int{"": p.QueueLimitFor(fleetconfig.Workspace{})}
		for _, w := range v.Config.Workspaces {
			n.limits[p.Name][w.Name] = p.QueueLimitFor(w)
		}
	}
	for _, t := range v.Config.Targets {
		n.targets[t.Name] = target{t.Pool, t.Address, v.DataCentresOut[t.DataCentre]}
	}
	c.view = n
}

// queueLimit returns the queue limit of a workspace in requests, and whether the pool exists.
func (v *view) queueLimit(pool, workspace string) (int, bool) {
	limits, ok := v.limits[pool]
	if !ok {
		return 0, false
	}
	if n, ok := limits[workspace]; ok {
		return n, true
	}
	return limits[""], true // the workspace is not in this view yet
}
