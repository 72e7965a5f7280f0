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

// Grant implements schedule.Client.
func (c *Client) Grant(from string, m *schedule.GrantMsg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshView()
	r := c.routerOf(m)
	if r == nil {
		return
	}
	for _, g := range r.OnGrant(from, m, c.now(), c) {
		t := g.Item.Data.(*ticket)
		c.leave(t)
		c.count(g.Item.Demand.Pool).granted.Inc()
		t.granted <- g.Grant
	}
	c.kick()
}

// routerOf returns the router that a message is for, or nil.
func (c *Client) routerOf(m *schedule.GrantMsg) *schedule.Router {
	if r := c.byInc[m.Inc]; r != nil {
		return r
	}
	if !c.view.pools[m.Pool] {
		return nil
	}
	return c.router(m.Pool)
}

// Service implements schedule.Client.
func (c *Client) Service(_ string, m *schedule.ServiceMsg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.routers[m.Pool]; r != nil {
		copied := *m
		copied.Rows = slices.Clone(m.Rows)
		r.OnService(&copied)
	}
}

// LeaseValid implements schedule.Env.
func (c *Client) LeaseValid() bool { return c.lease.Valid() }

// Address implements schedule.Env.
func (c *Client) Address(pool, target string) (string, bool) {
	t, ok := c.view.targets[target]
	return t.address, ok && t.pool == pool && !t.out
}

// send passes messages to the owners: at once after a pause, in batches when
// there is much to send.
func (c *Client) send(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.flush:
		case <-timer.C:
		}
		if wait := c.sendDue(); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// sendDue sends what is due, or returns how long the batch still has to wait.
func (c *Client) sendDue() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if wait := flushEvery - (now - c.flushed); wait > 0 && c.pending(now) {
		return wait
	}
	for pool, r := range c.routers {
		if r.Pending(now) {
			c.flushed = now
			c.sendRouter(pool, r, now)
		}
	}
	return 0
}

func (c *Client) pending(now time.Duration) bool {
	for _, r := range c.routers {
		if r.Pending(now) {
			return true
		}
	}
	return false
}

func (c *Client) sendRouter(pool string, r *schedule.Router, now time.Duration) {
	demand, report := r.Flush(now)
	owner, _ := r.Owner()
	if owner == c.mesh.Self() {
		if !c.deliver(demand, report) {
			r.Lost()
		}
		return
	}
	var method string
	var raw []byte
	var err error
	if report != nil {
		method = schedule.MethodReport
		raw, err = report.MarshalJSON()
		c.count(pool).reports.Inc()
	} else {
		method = schedule.MethodDemand
		raw, err = demand.MarshalJSON()
	}
	if err == nil {
		err = c.mesh.Notify(owner, method, json.RawMessage(raw))
	}
	if err != nil {
		c.count(pool).lost.Inc()
		r.Lost()
	}
}

// deliver copies a message for the local owner, which reads it later.
func (c *Client) deliver(demand *schedule.DemandMsg, report *schedule.ReportMsg) bool {
	if report != nil {
		m := *report
		m.Waiting, m.Running, m.Done = slices.Clone(m.Waiting), slices.Clone(m.Running), slices.Clone(m.Done)
		m.Since = slices.Clone(m.Since)
		return c.owner.Report(&m)
	}
	m := *demand
	m.Added, m.Cancelled = slices.Clone(m.Added), slices.Clone(m.Cancelled)
	m.Confirmed, m.Done = slices.Clone(m.Confirmed), slices.Clone(m.Done)
	return c.owner.Demand(&m)
}

// view is the part of the configuration that the queue needs.
type view struct {
	revision uint64
	source   *api.View
	pools    map[string]bool
	targets  map[string]target
	limits   map[string]map[string]int // queue limit by pool and workspace
}

type target struct {
	pool, address string
	out           bool
}

// refreshView reads a newer view of the configuration.
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
		n.targets[t.Name] = target{t.Pool, t.Address, v.Out[t.DataCentre]}
	}
	c.view = n
}

// limit returns the queue limit of a workspace, and whether the pool exists.
func (v *view) limit(pool, workspace string) (int, bool) {
	limits, ok := v.limits[pool]
	if !ok {
		return 0, false
	}
	if n, ok := limits[workspace]; ok {
		return n, true
	}
	return limits[""], true // a workspace that this view does not know yet
}
