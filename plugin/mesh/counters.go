package mesh

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the counters of the links with one peer.
type counters struct {
	set  *metrics.Set
	peer string

	overflow, oversized, malformed, writeErrors *metrics.Counter
	silent, unknown, busy, relayed, noPath      *metrics.Counter

	mu      sync.Mutex
	traffic map[trafficKey]*traffic
}

type trafficKey struct {
	method   string
	received bool
}

type traffic struct{ bytes, messages *metrics.Counter }

func newCounters(set *metrics.Set, peer string) *counters {
	c := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`nutmeg_mesh_%s_total{peer=%q}`, name, peer))
	}
	return &counters{
		set: set, peer: peer,
		overflow: c("queue_refused"), oversized: c("frames_oversized"), malformed: c("frames_malformed"),
		writeErrors: c("write_errors"), silent: c("links_silent"), unknown: c("unknown_methods"),
		busy: c("calls_refused"), relayed: c("relayed"), noPath: c("no_path"),
		traffic: map[trafficKey]*traffic{},
	}
}

func (c *counters) sent(method string, size int)     { c.add(trafficKey{method, false}, size) }
func (c *counters) received(method string, size int) { c.add(trafficKey{method, true}, size) }

func (c *counters) add(k trafficKey, size int) {
	c.mu.Lock()
	t := c.traffic[k]
	if t == nil {
		t = c.newTraffic(k)
		c.traffic[k] = t
	}
	c.mu.Unlock()
	t.bytes.Add(size)
	t.messages.Inc()
}

func (c *counters) newTraffic(k trafficKey) *traffic {
	direction := "sent"
	if k.received {
		direction = "received"
	}
	name := func(unit string) string {
		return fmt.Sprintf(`nutmeg_mesh_%s_%s_total{peer=%q,method=%q}`, direction, unit, c.peer, k.method)
	}
	return &traffic{
		bytes:    c.set.GetOrCreateCounter(name("bytes")),
		messages: c.set.GetOrCreateCounter(name("messages")),
	}
}
