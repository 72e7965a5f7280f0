package pool

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/api"
)

// counters count what happens to the requests of one pool on this router.
type counters struct {
	set                    *metrics.Set
	pool                   string
	granted, lost, reports *metrics.Counter
}

func (c *Client) count(pool string) *counters {
	n := c.counts[pool]
	if n == nil {
		n = &counters{set: c.kernel.Metrics, pool: pool}
		n.granted = n.counter("nutmeg_pool_granted_total", "")
		n.lost = n.counter("nutmeg_pool_messages_lost_total", "")
		n.reports = n.counter("nutmeg_pool_reports_total", "")
		c.counts[pool] = n
	}
	return n
}

func (n *counters) counter(name, label string) *metrics.Counter {
	return n.set.GetOrCreateCounter(fmt.Sprintf("%s{pool=%q%s}", name, n.pool, label))
}

func (n *counters) refused(code string) {
	n.counter("nutmeg_pool_refused_total", fmt.Sprintf(",code=%q", code)).Inc()
}

func (n *counters) ended(r api.Result) {
	n.counter("nutmeg_pool_ended_total", fmt.Sprintf(",result=%q", r)).Inc()
}
