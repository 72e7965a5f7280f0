package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/callerconn"
	"nutmegrouter/internal/overload"
)

// stats holds the counters of this plug-in. Refusal codes are constants, so the number
// of label values is limited.
type stats struct {
	set                                          *metrics.Set
	requests, disconnected, truncated, sentBytes *metrics.Counter
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:          set,
		requests:     set.NewCounter("nutmeg_gateway_requests_total"),
		disconnected: set.NewCounter("nutmeg_gateway_callers_gone_total"),
		truncated:    set.NewCounter("nutmeg_gateway_cut_answers_total"),
		sentBytes:    set.NewCounter("nutmeg_gateway_sent_bytes_total"),
	}
}

// registerGauges registers the gauges of connections, reserved memory and load.
func (s *stats) registerGauges(set *metrics.Set, conns *callerconn.Tracker, memory *overload.MemoryLimit, load *loadGate) {
	set.NewGauge("nutmeg_gateway_connections", func() float64 { open, _ := conns.Count(); return float64(open) })
	set.NewGauge("nutmeg_gateway_busy_connections", func() float64 { _, busy := conns.Count(); return float64(busy) })
	set.NewGauge("nutmeg_gateway_request_bytes", func() float64 { return float64(memory.Reserved()) })
	set.NewGauge("nutmeg_gateway_turned_away", func() float64 { return float64(conns.ClosedUnread.Load()) })
	set.NewGauge("nutmeg_gateway_late_seconds", func() float64 { return load.schedulingDelay().Seconds() })
}

// countRefusal counts a refusal under its code.
func (s *stats) countRefusal(code string) {
	s.set.GetOrCreateCounter(`nutmeg_gateway_refusals_total{code="` + code + `"}`).Inc()
}
