package pool

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/api"
)

// poolMetrics counts requests and messages of one pool on this instance.
type poolMetrics struct {
	set                    *metrics.Set
	pool                   string
	granted, lost, reports *metrics.Counter
}

// metricsOf returns the metrics of a pool and creates them on first use.
func (c *Client) metricsOf(pool string) *poolMetrics {
	n := c.metrics[pool]
	if n == nil {
		n = &poolMetrics{set: c.kernel.Metrics, pool: pool}
		n.granted = n.counter("nutmeg_pool_granted_total", "")
		n.lost = n.counter("nutmeg_pool_messages_lost_total", "")
		n.reports = n.counter("nutmeg_pool_reports_total", "")
		c.metrics[pool] = n
	}
	return n
}

func (n *poolMetrics) counter(name, label string) *metrics.Counter {
	return n.set.GetOrCreateCounter(fmt.Sprintf("%s{pool=%q%s}", name, n.pool, label))
}

func (n *poolMetrics) countRefused(code string) {
	n.counter("nutmeg_pool_refused_total", fmt.Sprintf(",code=%q", code)).Inc()
}

func (n *poolMetrics) countEnded(r api.GrantResult) {
	n.counter("nutmeg_pool_ended_total", fmt.Sprintf(",result=%q", r)).Inc()
}
