package dispatch

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// stats are the counters of this plug-in. Labels are pool names from the
// configuration and fixed words, so their number is bounded.
type stats struct {
	set      *metrics.Set
	sent     *metrics.Counter
	received *metrics.Counter
	cancels  *metrics.Counter
	fresh    *metrics.Counter
	reused   *metrics.Counter
	pools    sync.Map // pool name -> *poolStats
}

type poolStats struct {
	started  *metrics.Counter
	retries  *metrics.Counter
	resumes  *metrics.Counter
	broken   *metrics.Counter
	dropped  *metrics.Counter
	head     *metrics.Histogram
	eventGap *metrics.Histogram
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:      set,
		sent:     set.GetOrCreateCounter(`nutmeg_dispatch_bytes_total{direction="sent"}`),
		received: set.GetOrCreateCounter(`nutmeg_dispatch_bytes_total{direction="received"}`),
		cancels:  set.GetOrCreateCounter(`nutmeg_dispatch_cancels_total`),
		fresh:    set.GetOrCreateCounter(`nutmeg_dispatch_connections_total{kind="fresh"}`),
		reused:   set.GetOrCreateCounter(`nutmeg_dispatch_connections_total{kind="reused"}`),
	}
}

func (s *stats) pool(name string) *poolStats {
	if p, ok := s.pools.Load(name); ok {
		return p.(*poolStats)
	}
	label := `{pool="` + name + `"}`
	p, _ := s.pools.LoadOrStore(name, &poolStats{
		started:  s.set.GetOrCreateCounter("nutmeg_dispatch_started_total" + label),
		retries:  s.set.GetOrCreateCounter("nutmeg_dispatch_retries_total" + label),
		resumes:  s.set.GetOrCreateCounter("nutmeg_dispatch_resumes_total" + label),
		broken:   s.set.GetOrCreateCounter("nutmeg_dispatch_broken_answers_total" + label),
		dropped:  s.set.GetOrCreateCounter("nutmeg_dispatch_duplicate_events_total" + label),
		head:     s.set.GetOrCreateHistogram("nutmeg_dispatch_head_seconds" + label),
		eventGap: s.set.GetOrCreateHistogram("nutmeg_dispatch_event_gap_seconds" + label),
	})
	return p.(*poolStats)
}
