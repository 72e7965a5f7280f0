package dispatch

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// stats holds the metrics of this plug-in. Label values are constants and pool
// names from the configuration, so the number of series is bounded.
type stats struct {
	set               *metrics.Set
	bytesSent         *metrics.Counter
	bytesReceived     *metrics.Counter
	cancels           *metrics.Counter
	newConnections    *metrics.Counter
	reusedConnections *metrics.Counter
	pools             sync.Map // pool name -> *poolStats
}

// poolStats holds the metrics of one pool.
type poolStats struct {
	started         *metrics.Counter
	retries         *metrics.Counter
	resumes         *metrics.Counter
	brokenResponses *metrics.Counter
	duplicateEvents *metrics.Counter
	headerSeconds   *metrics.Histogram
	eventGapSeconds *metrics.Histogram
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:               set,
		bytesSent:         set.GetOrCreateCounter(`nutmeg_dispatch_bytes_total{direction="sent"}`),
		bytesReceived:     set.GetOrCreateCounter(`nutmeg_dispatch_bytes_total{direction="received"}`),
		cancels:           set.GetOrCreateCounter(`nutmeg_dispatch_cancels_total`),
		newConnections:    set.GetOrCreateCounter(`nutmeg_dispatch_connections_total{kind="fresh"}`),
		reusedConnections: set.GetOrCreateCounter(`nutmeg_dispatch_connections_total{kind="reused"}`),
	}
}

// pool returns the metrics of a pool and creates them on first use.
func (s *stats) pool(name string) *poolStats {
	if p, ok := s.pools.Load(name); ok {
		return p.(*poolStats)
	}
	label := `{pool="` + name + `"}`
	p, _ := s.pools.LoadOrStore(name, &poolStats{
		started:         s.set.GetOrCreateCounter("nutmeg_dispatch_started_total" + label),
		retries:         s.set.GetOrCreateCounter("nutmeg_dispatch_retries_total" + label),
		resumes:         s.set.GetOrCreateCounter("nutmeg_dispatch_resumes_total" + label),
		brokenResponses: s.set.GetOrCreateCounter("nutmeg_dispatch_broken_answers_total" + label),
		duplicateEvents: s.set.GetOrCreateCounter("nutmeg_dispatch_duplicate_events_total" + label),
		headerSeconds:   s.set.GetOrCreateHistogram("nutmeg_dispatch_head_seconds" + label),
		eventGapSeconds: s.set.GetOrCreateHistogram("nutmeg_dispatch_event_gap_seconds" + label),
	})
	return p.(*poolStats)
}
