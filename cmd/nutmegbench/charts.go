package main

import (
	"time"

	"nutmegrouter/internal/chart"
	"nutmegrouter/internal/loadgen"
)

// gapSeries returns the service gap in per cent of the smallest service, as a line of the
// chart. routed says whether the requests went through nutmegrouter.
func gapSeries(gap, smallest []float64, routed bool) chart.Series {
	s := chart.Series{Name: "without nutmegrouter"}
	if routed {
		s.Name = "nutmegrouter"
	}
	for i := range gap {
		s.Values = append(s.Values, 100*gap[i]/max(1, smallest[i]))
	}
	return s
}

// gapChart compares the service gap over time with the baseline. It leaves out the first
// seconds, in which too little service was received for a meaningful ratio.
func (b *benchRun) gapChart() *chart.Chart {
	const skip = 5
	c := &chart.Chart{
		Title: "Gap between backlogged workspaces", Step: 1,
		XLabel: "seconds of backlog, from the sixth on", YLabel: "gap, % of the smallest service",
	}
	for _, s := range b.gaps {
		if len(s.Values) > skip {
			c.Series = append(c.Series, chart.Series{Name: s.Name, Values: s.Values[skip:]})
		}
	}
	return c
}

// responseChart shows the responses per second of all workspaces together and of the
// first and the last one.
type responseChart struct{ chart.Chart }

// newResponseChart returns a chart without values that marks the times at which a data
// centre leaves and returns.
func newResponseChart(r *loadgen.Run, step, outAt, backAt time.Duration) *responseChart {
	last := len(r.Plan.Workspaces) - 1
	return &responseChart{chart.Chart{
		Title: "Responses while a data centre leaves and returns", Step: step.Seconds(),
		XLabel: "seconds", YLabel: "responses per second",
		Series: []chart.Series{{Name: "all"}, {Name: r.Plan.Workspaces[0].Name}, {Name: r.Plan.Workspaces[last].Name}},
		Marks:  []chart.Mark{{X: outAt.Seconds(), Name: "out"}, {X: backAt.Seconds(), Name: "back"}},
	}}
}

// add appends one value to each line of the chart.
func (m *responseChart) add(values ...float64) {
	for i, v := range values {
		m.Series[i].Values = append(m.Series[i].Values, v)
	}
}
