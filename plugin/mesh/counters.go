package mesh

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of the links with one peer.
type counters struct {
	set  *metrics.Set
	peer string

	queueRefused, oversized, malformed, writeErrors            *metrics.Counter
	silentLinks, unknownMethods, callsRefused, relayed, noPath *metrics.Counter

	mu      sync.Mutex
	traffic map[trafficLabels]*trafficCounters
}

// trafficLabels selects the traffic counters of one method and direction.
type trafficLabels struct {
	method   string
	received bool
}

// trafficCounters counts the bytes on the wire and the messages.
type trafficCounters struct{ bytes, messages *metrics.Counter }

func newCounters(set *metrics.Set, peer string) *counters {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`nutmeg_mesh_%s_total{peer=%q}`, name, peer))
	}
	return &counters{
		set: set, peer: peer,
		queueRefused: counter("queue_refused"), oversized: counter("frames_oversized"), malformed: counter("frames_malformed"),
		writeErrors: counter("write_errors"), silentLinks: counter("links_silent"), unknownMethods: counter("unknown_methods"),
		callsRefused: counter("calls_refused"), relayed: counter("relayed"), noPath: counter("no_path"),
		traffic: map[trafficLabels]*trafficCounters{},
	}
}

func (c *counters) sent(method string, size int) { c.countMessage(trafficLabels{method, false}, size) }
func (c *counters) received(method string, size int) {
	c.countMessage(trafficLabels{method, true}, size)
}

func (c *counters) countMessage(labels trafficLabels, size int) {
	c.mu.Lock()
	t := c.traffic[labels]
	if t == nil {
		t = c.newTrafficCounters(labels)
		c.traffic[labels] = t
	}
	c.mu.Unlock()
	t.bytes.Add(size)
	t.messages.Inc()
}

func (c *counters) newTrafficCounters(labels trafficLabels) *trafficCounters {
	direction := "sent"
	if labels.received {
		direction = "received"
	}
	name := func(unit string) string {
		return fmt.Sprintf(`nutmeg_mesh_%s_%s_total{peer=%q,method=%q}`, direction, unit, c.peer, labels.method)
	}
	return &trafficCounters{
		bytes:    c.set.GetOrCreateCounter(name("bytes")),
		messages: c.set.GetOrCreateCounter(name("messages")),
	}
}
