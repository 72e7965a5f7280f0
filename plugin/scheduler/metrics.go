package scheduler

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/fairness"
	"nutmegrouter/internal/schedule"
)

// errorCounters count messages, load reports and platform lists that could not be read.
type errorCounters struct {
	badMessages, badLoadReports, listFailures *metrics.Counter
}

func newErrorCounters(set *metrics.Set) *errorCounters {
	return &errorCounters{
		badMessages:    set.GetOrCreateCounter(`nutmeg_sched_bad_messages_total{at="owner"}`),
		badLoadReports: set.GetOrCreateCounter(`nutmeg_sched_bad_load_reports_total`),
		listFailures:   set.GetOrCreateCounter(`nutmeg_sched_platform_list_failures_total`),
	}
}

// poolMetrics publishes the metrics of one owned pool.
type poolMetrics struct {
	set              *metrics.Set
	pool             string
	published        schedule.Stats
	publishedService map[string]float64
	serviceLost      *metrics.Counter
}

func newPoolMetrics(set *metrics.Set, pool string) *poolMetrics {
	c := &poolMetrics{set: set, pool: pool, publishedService: map[string]float64{}}
	c.serviceLost = c.counter("nutmeg_sched_service_messages_lost_total")
	return c
}

func (c *poolMetrics) counter(name string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("%s{pool=%q}", name, c.pool))
}

// publish adds the changes since the last call to the counters and sets the gauges.
func (c *poolMetrics) publish(o *schedule.Owner) {
	s := o.Stats
	for _, x := range []struct {
		name     string
		now, was uint64
	}{
		{"nutmeg_sched_grants_total", s.Grants, c.published.Grants},
		{"nutmeg_sched_settled_total", s.Settled, c.published.Settled},
		{"nutmeg_sched_refunded_total", s.Refunded, c.published.Refunded},
		{"nutmeg_sched_gaps_total", s.Gaps, c.published.Gaps},
		{"nutmeg_sched_stale_messages_total", s.Stale, c.published.Stale},
		{"nutmeg_sched_reports_total", s.Reports, c.published.Reports},
		{"nutmeg_sched_dropped_total", s.Dropped, c.published.Dropped},
		{"nutmeg_sched_lost_outcomes_total", s.Lost, c.published.Lost},
	} {
		c.counter(x.name).Add(int(x.now - x.was))
	}
	c.published = s
	was := c.publishedService
	c.publishedService = make(map[string]float64, len(was))
	o.Accounts().Each(func(w *fairness.Workspace) { c.workspace(w, was[w.Name]) })
	c.targets(o)
}

func (c *poolMetrics) workspace(w *fairness.Workspace, was float64) {
	if w.Served() < was {
		was = 0 // the account was removed and created again
	}
	name := fmt.Sprintf("nutmeg_sched_service_units_total{pool=%q,workspace=%q}", c.pool, w.Name)
	c.set.GetOrCreateFloatCounter(name).Add(w.Served() - was)
	c.publishedService[w.Name] = w.Served()
}

func (c *poolMetrics) targets(o *schedule.Owner) {
	limit, used, orphans := 0, 0, 0
	for _, t := range o.Targets().Targets() {
		limit += t.Limit()
		used += t.Used()
		orphans += t.Orphans()
	}
	c.gauge("nutmeg_sched_limit", limit)
	c.gauge("nutmeg_sched_used", used)
	c.gauge("nutmeg_sched_orphans", orphans)
	c.gauge("nutmeg_sched_waiting", o.Waiting())
}

func (c *poolMetrics) gauge(name string, v int) {
	c.set.GetOrCreateGauge(fmt.Sprintf("%s{pool=%q}", name, c.pool), nil).Set(float64(v))
}
