// Package chart draws line charts of benchmark figures as SVG.
package chart

import (
	"fmt"
	"io"
	"math"

	svg "github.com/ajstarks/svgo"
)

// Series is one line of a chart, with values at equal steps on the x axis.
type Series struct {
	Name   string
	Values []float64
}

// Chart is a line chart. Step is the distance of two values on the x axis, and the
// x value of the first one.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	Step   float64
	Series []Series
	// Marks are drawn as dashed vertical lines with labels.
	Marks []Mark
}

// Mark is a labelled vertical line at a value on the x axis.
type Mark struct {
	X    float64
	Name string
}

// Sizes are in pixels; tickIntervals is the number of intervals between axis labels.
const (
	width, height           = 760, 420
	leftMargin, rightMargin = 70, 150
	topMargin, bottomMargin = 50, 60
	tickIntervals           = 5
)

var colours = []string{"#1f4e79", "#c0392b", "#2e7d32", "#8e44ad", "#b9770e"}

// Write writes the chart as an SVG document. Write errors are ignored.
func (c *Chart) Write(w io.Writer) {
	s := svg.New(w)
	s.Start(width, height)
	s.Rect(0, 0, width, height, "fill:white")
	s.Text(width/2, 28, c.Title, "text-anchor:middle;font:16px sans-serif")
	maxX, maxY := c.bounds()
	c.drawAxes(s, maxX, maxY)
	for _, m := range c.Marks {
		x := toPixel(m.X, maxX, leftMargin, width-rightMargin)
		s.Line(x, topMargin, x, height-bottomMargin, "stroke:#888;stroke-dasharray:4")
		s.Text(x+4, topMargin+12, m.Name, "font:12px sans-serif;fill:#555")
	}
	for i, series := range c.Series {
		c.drawSeries(s, i, series, maxX, maxY)
	}
	s.End()
}

// bounds returns the upper ends of the axes, which start at 0.
func (c *Chart) bounds() (maxX, maxY float64) {
	for _, series := range c.Series {
		maxX = max(maxX, float64(len(series.Values))*c.Step)
		for _, v := range series.Values {
			maxY = max(maxY, v)
		}
	}
	return max(maxX, c.Step), roundUpToNice(max(maxY, 1e-9))
}

// roundUpToNice rounds up to 1, 2 or 5 times a power of ten.
func roundUpToNice(v float64) float64 {
	base := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 5} {
		if v <= f*base {
			return f * base
		}
	}
	return 10 * base
}

// toPixel maps a value from 0..maxValue to the pixel range from..to.
func toPixel(v, maxValue float64, from, to int) int {
	return from + int(math.Round(v/maxValue*float64(to-from)))
}

// drawAxes draws the axes with their labels and the horizontal grid lines.
func (c *Chart) drawAxes(s *svg.SVG, maxX, maxY float64) {
	s.Line(leftMargin, height-bottomMargin, width-rightMargin, height-bottomMargin, "stroke:black")
	s.Line(leftMargin, topMargin, leftMargin, height-bottomMargin, "stroke:black")
	for i := range tickIntervals + 1 {
		x := maxX * float64(i) / tickIntervals
		y := maxY * float64(i) / tickIntervals
		px, py := toPixel(x, maxX, leftMargin, width-rightMargin), toPixel(y, maxY, height-bottomMargin, topMargin)
		s.Text(px, height-bottomMargin+18, fmt.Sprintf("%.4g", x), "text-anchor:middle;font:12px sans-serif")
		s.Text(leftMargin-8, py+4, fmt.Sprintf("%.4g", y), "text-anchor:end;font:12px sans-serif")
		s.Line(leftMargin, py, width-rightMargin, py, "stroke:#ddd")
	}
	s.Text((leftMargin+width-rightMargin)/2, height-16, c.XLabel, "text-anchor:middle;font:13px sans-serif")
	s.TranslateRotate(18, (topMargin+height-bottomMargin)/2, -90)
	s.Text(0, 0, c.YLabel, "text-anchor:middle;font:13px sans-serif")
	s.Gend()
}

// drawSeries draws the i-th series and its entry in the legend.
func (c *Chart) drawSeries(s *svg.SVG, i int, series Series, maxX, maxY float64) {
	colour := colours[i%len(colours)]
	var xs, ys []int
	for k, v := range series.Values {
		xs = append(xs, toPixel(float64(k+1)*c.Step, maxX, leftMargin, width-rightMargin))
		ys = append(ys, toPixel(v, maxY, height-bottomMargin, topMargin))
	}
	if len(xs) > 1 {
		s.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+colour)
	}
	y := topMargin + 20 + 20*i
	s.Line(width-rightMargin+12, y-4, width-rightMargin+32, y-4, "stroke-width:2;stroke:"+colour)
	s.Text(width-rightMargin+38, y, series.Name, "font:12px sans-serif")
}
