package scheduler

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/fairness"
	"nutmegrouter/internal/schedule"
)

type decodeCounters struct {
	bad, badLoad, listFailed *metrics.Counter
}

func newDecodeCounters(set *metrics.Set) *decodeCounters {
	return &decodeCounters{
		bad:        set.GetOrCreateCounter(`nutmeg_sched_bad_messages_total{at="owner"}`),
		badLoad:    set.GetOrCreateCounter(`nutmeg_sched_bad_load_reports_total`),
		listFailed: set.GetOrCreateCounter(`nutmeg_sched_platform_list_failures_total`),
	}
}

// counters publish the state of one pool.
type counters struct {
	set         *metrics.Set
	pool        string
	last        schedule.Stats
	served      map[string]float64
	serviceLost *metrics.Counter
}

func newCounters(set *metrics.Set, pool string) *counters {
	c := &counters{set: set, pool: pool, served: map[string]float64{}}
	c.serviceLost = c.counter("nutmeg_sched_service_messages_lost_total")
	return c
}

func (c *counters) counter(name string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("%s{pool=%q}", name, c.pool))
}

// publish adds what has changed since the last call.
func (c *counters) publish(o *schedule.Owner) {
	s := o.Stats
	for _, x := range []struct {
		name     string
		now, was uint64
	}{
		{"nutmeg_sched_grants_total", s.Grants, c.last.Grants},
		{"nutmeg_sched_settled_total", s.Settled, c.last.Settled},
		{"nutmeg_sched_refunded_total", s.Refunded, c.last.Refunded},
		{"nutmeg_sched_gaps_total", s.Gaps, c.last.Gaps},
		{"nutmeg_sched_stale_messages_total", s.Stale, c.last.Stale},
		{"nutmeg_sched_reports_total", s.Reports, c.last.Reports},
		{"nutmeg_sched_dropped_total", s.Dropped, c.last.Dropped},
		{"nutmeg_sched_lost_outcomes_total", s.Lost, c.last.Lost},
	} {
		c.counter(x.name).Add(int(x.now - x.was))
	}
	c.last = s
	was := c.served
	c.served = make(map[string]float64, len(was))
	o.Fair().Each(func(w *fairness.Workspace) { c.workspace(w, was[w.Name]) })
	c.targets(o)
}

func (c *counters) workspace(w *fairness.Workspace, was float64) {
	if w.Served() < was {
		was = 0 // the account was forgotten and made again
	}
	name := fmt.Sprintf("nutmeg_sched_service_units_total{pool=%q,workspace=%q}", c.pool, w.Name)
	c.set.GetOrCreateFloatCounter(name).Add(w.Served() - was)
	c.served[w.Name] = w.Served()
}

func (c *counters) targets(o *schedule.Owner) {
	limit, used, orphans := 0, 0, 0
	for _, t := range o.Limits().Targets() {
		limit += t.Limit()
		used += t.Used()
		orphans += t.Orphans()
	}
	c.gauge("nutmeg_sched_limit", limit)
	c.gauge("nutmeg_sched_used", used)
	c.gauge("nutmeg_sched_orphans", orphans)
	c.gauge("nutmeg_sched_waiting", o.Waiting())
}

func (c *counters) gauge(name string, v int) {
	c.set.GetOrCreateGauge(fmt.Sprintf("%s{pool=%q}", name, c.pool), nil).Set(float64(v))
}
