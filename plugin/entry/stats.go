package entry

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// stats holds the counters of this plug-in. Pool names come from the configuration and
// refusal codes are constants, so the number of label values is limited.
type stats struct {
	set           *metrics.Set
	disconnected  *metrics.Counter
	truncated     *metrics.Counter
	receivedBytes *metrics.Counter
	sentBytes     *metrics.Counter
	requests      sync.Map // pool -> *metrics.Counter
	refusals      sync.Map // code -> *metrics.Counter
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:           set,
		disconnected:  set.GetOrCreateCounter("nutmeg_entry_callers_gone_total"),
		truncated:     set.GetOrCreateCounter("nutmeg_entry_cut_answers_total"),
		receivedBytes: set.GetOrCreateCounter(`nutmeg_entry_bytes_total{direction="received"}`),
		sentBytes:     set.GetOrCreateCounter(`nutmeg_entry_bytes_total{direction="sent"}`),
	}
}

// countRequest counts a request to a pool.
func (s *stats) countRequest(pool string) {
	s.counter(&s.requests, "nutmeg_entry_requests_total", "pool", pool).Inc()
}

// countRefusal counts a refusal under its code.
func (s *stats) countRefusal(code string) {
	s.counter(&s.refusals, "nutmeg_entry_refusals_total", "code", code).Inc()
}

// counter returns the counter of a label value and caches it in m.
func (s *stats) counter(m *sync.Map, name, label, value string) *metrics.Counter {
	if c, ok := m.Load(value); ok {
		return c.(*metrics.Counter)
	}
	c, _ := m.LoadOrStore(value, s.set.GetOrCreateCounter(name+"{"+label+`="`+value+`"}`))
	return c.(*metrics.Counter)
}
