package forward

import "github.com/VictoriaMetrics/metrics"

// stats are the counters and histograms of this plug-in.
type stats struct {
	set                                             *metrics.Set
	reusedConns, newConns                           *metrics.Counter
	retries, retriesOverBudget                      *metrics.Counter
	resumes, strayResponses, duplicateEvents        *metrics.Counter
	outOfMemory, invalidPauses, invalidRateLimits   *metrics.Counter
	crashes                                         *metrics.Counter
	headerSeconds, eventGapSeconds, responseSeconds *metrics.Histogram
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:               set,
		reusedConns:       set.NewCounter(`nutmeg_forward_connections_total{kind="reused"}`),
		newConns:          set.NewCounter(`nutmeg_forward_connections_total{kind="fresh"}`),
		retries:           set.NewCounter("nutmeg_forward_repeats_total"),
		retriesOverBudget: set.NewCounter("nutmeg_forward_repeats_over_budget_total"),
		resumes:           set.NewCounter("nutmeg_forward_resumes_total"),
		strayResponses:    set.NewCounter("nutmeg_forward_stray_answers_total"),
		duplicateEvents:   set.NewCounter("nutmeg_forward_duplicate_events_total"),
		invalidPauses:     set.NewCounter("nutmeg_forward_invalid_pauses_total"),
		crashes:           set.NewCounter("nutmeg_forward_crashes_total"),
		invalidRateLimits: set.NewCounter("nutmeg_forward_invalid_rate_limits_total"),
		outOfMemory:       set.NewCounter("nutmeg_forward_no_memory_total"),
		headerSeconds:     set.NewHistogram("nutmeg_forward_head_seconds"),
		eventGapSeconds:   set.NewHistogram("nutmeg_forward_event_gap_seconds"),
		responseSeconds:   set.NewHistogram("nutmeg_forward_answer_seconds"),
	}
}

// countOutcome counts an ended attempt by service and outcome.
func (s *stats) countOutcome(service, outcome string) {
	s.set.GetOrCreateCounter(`nutmeg_forward_outcomes_total{service="` + service + `",outcome="` + outcome + `"}`).Inc()
}
