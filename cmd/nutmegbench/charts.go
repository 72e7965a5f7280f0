package main

import (
	"time"

	"nutmegrouter/internal/chart"
	"nutmegrouter/internal/loadgen"
)

// gapPercent is the gap in per cent of the least service, for the picture.
func gapPercent(gap, least []float64, routers bool) chart.Series {
	s := chart.Series{Name: "without routers"}
	if routers {
		s.Name = "nutmegrouter"
	}
	for i := range gap {
		s.Values = append(s.Values, 100*gap[i]/max(1, least[i]))
	}
	return s
}

// gapChart compares the gap over time with the baseline. The first seconds are
// left out, because hardly any service has been given then.
func (b *benchRun) gapChart() *chart.Chart {
	const skip = 5
	c := &chart.Chart{
		Title: "Gap between backlogged workspaces", Step: 1,
		XLabel: "seconds of backlog, from the sixth on", YLabel: "gap, % of the least service",
	}
	for _, s := range b.gaps {
		if len(s.Values) > skip {
			c.Series = append(c.Series, chart.Series{Name: s.Name, Values: s.Values[skip:]})
		}
	}
	return c
}

// movePicture shows the responses per second of all and of two workspaces.
type movePicture struct{ chart.Chart }

func moveChart(r *loadgen.Run, step, outAt, backAt time.Duration) *movePicture {
	last := len(r.Plan.Workspaces) - 1
	return &movePicture{chart.Chart{
		Title: "Responses while a data centre leaves and returns", Step: step.Seconds(),
		XLabel: "seconds", YLabel: "responses per second",
		Series: []chart.Series{{Name: "all"}, {Name: r.Plan.Workspaces[0].Name}, {Name: r.Plan.Workspaces[last].Name}},
		Marks:  []chart.Mark{{X: outAt.Seconds(), Name: "out"}, {X: backAt.Seconds(), Name: "back"}},
	}}
}

func (m *movePicture) add(values ...float64) {
	for i, v := range values {
		m.Series[i].Values = append(m.Series[i].Values, v)
	}
}
