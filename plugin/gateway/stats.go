package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/callerconn"
	"nutmegrouter/internal/overload"
)

// stats are the counters of this plug-in. Codes are fixed words, so the number of
// labels is bounded.
type stats struct {
	set                       *metrics.Set
	requests, gone, cut, sent *metrics.Counter
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:      set,
		requests: set.NewCounter("nutmeg_gateway_requests_total"),
		gone:     set.NewCounter("nutmeg_gateway_callers_gone_total"),
		cut:      set.NewCounter("nutmeg_gateway_cut_answers_total"),
		sent:     set.NewCounter("nutmeg_gateway_sent_bytes_total"),
	}
}

func (s *stats) gauges(set *metrics.Set, conns *callerconn.Tracker, memory *overload.Bytes, load *loadGate) {
	set.NewGauge("nutmeg_gateway_connections", func() float64 { open, _ := conns.Count(); return float64(open) })
	set.NewGauge("nutmeg_gateway_busy_connections", func() float64 { _, busy := conns.Count(); return float64(busy) })
	set.NewGauge("nutmeg_gateway_request_bytes", func() float64 { return float64(memory.Held()) })
	set.NewGauge("nutmeg_gateway_turned_away", func() float64 { return float64(conns.TurnedAway.Load()) })
	set.NewGauge("nutmeg_gateway_late_seconds", func() float64 { return load.lateness().Seconds() })
}

func (s *stats) refusal(code string) {
	s.set.GetOrCreateCounter(`nutmeg_gateway_refusals_total{code="` + code + `"}`).Inc()
}
