package forward

import "github.com/VictoriaMetrics/metrics"

// stats are the counters and histograms of this plug-in.
type stats struct {
	set                         *metrics.Set
	reused, fresh               *metrics.Counter
	repeats, overBudget         *metrics.Counter
	resumes, strays, duplicates *metrics.Counter
	noMemory                    *metrics.Counter
	head, gap, whole            *metrics.Histogram
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:        set,
		reused:     set.NewCounter(`nutmeg_forward_connections_total{kind="reused"}`),
		fresh:      set.NewCounter(`nutmeg_forward_connections_total{kind="fresh"}`),
		repeats:    set.NewCounter("nutmeg_forward_repeats_total"),
		overBudget: set.NewCounter("nutmeg_forward_repeats_over_budget_total"),
		resumes:    set.NewCounter("nutmeg_forward_resumes_total"),
		strays:     set.NewCounter("nutmeg_forward_stray_answers_total"),
		duplicates: set.NewCounter("nutmeg_forward_duplicate_events_total"),
		noMemory:   set.NewCounter("nutmeg_forward_no_memory_total"),
		head:       set.NewHistogram("nutmeg_forward_head_seconds"),
		gap:        set.NewHistogram("nutmeg_forward_event_gap_seconds"),
		whole:      set.NewHistogram("nutmeg_forward_answer_seconds"),
	}
}

// outcome counts how the use of a target ended.
func (s *stats) outcome(service, outcome string) {
	s.set.GetOrCreateCounter(`nutmeg_forward_outcomes_total{service="` + service + `",outcome="` + outcome + `"}`).Inc()
}
