package entry

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// stats are the counters of this plug-in. Pools are names from the
// configuration and codes are fixed words, so the number of labels is bounded.
type stats struct {
	set      *metrics.Set
	gone     *metrics.Counter
	cut      *metrics.Counter
	received *metrics.Counter
	sent     *metrics.Counter
	requests sync.Map // pool -> *metrics.Counter
	refusals sync.Map // code -> *metrics.Counter
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:      set,
		gone:     set.GetOrCreateCounter("nutmeg_entry_callers_gone_total"),
		cut:      set.GetOrCreateCounter("nutmeg_entry_cut_answers_total"),
		received: set.GetOrCreateCounter(`nutmeg_entry_bytes_total{direction="received"}`),
		sent:     set.GetOrCreateCounter(`nutmeg_entry_bytes_total{direction="sent"}`),
	}
}

func (s *stats) request(pool string) {
	s.labelled(&s.requests, "nutmeg_entry_requests_total", "pool", pool).Inc()
}

func (s *stats) refusal(code string) {
	s.labelled(&s.refusals, "nutmeg_entry_refusals_total", "code", code).Inc()
}

func (s *stats) labelled(m *sync.Map, name, label, value string) *metrics.Counter {
	if c, ok := m.Load(value); ok {
		return c.(*metrics.Counter)
	}
	c, _ := m.LoadOrStore(value, s.set.GetOrCreateCounter(name+"{"+label+`="`+value+`"}`))
	return c.(*metrics.Counter)
}
