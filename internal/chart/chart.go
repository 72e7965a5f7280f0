// Package chart draws line charts of benchmark figures as SVG.
package chart

import (
	"fmt"
	"io"
	"math"

	svg "github.com/ajstarks/svgo"
)

// Series is one line: values at equal steps of x.
type Series struct {
	Name   string
	Values []float64
}

// Chart is a line chart. Step is the distance of two values on the x axis.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	Step   float64
	Series []Series
	// Marks are labelled vertical lines at x values.
	Marks []Mark
}

// Mark is a labelled vertical line.
type Mark struct {
	X    float64
	Name string
}

// Sizes in pixels.
const (
	width, height = 760, 420
	left, right   = 70, 150
	top, bottom   = 50, 60
	ticks         = 5
)

var colours = []string{"#1f4e79", "#c0392b", "#2e7d32", "#8e44ad", "#b9770e"}

// Write draws the chart.
func (c *Chart) Write(w io.Writer) {
	s := svg.New(w)
	s.Start(width, height)
	s.Rect(0, 0, width, height, "fill:white")
	s.Text(width/2, 28, c.Title, "text-anchor:middle;font:16px sans-serif")
	maxX, maxY := c.bounds()
	c.axes(s, maxX, maxY)
	for _, m := range c.Marks {
		x := scale(m.X, maxX, left, width-right)
		s.Line(x, top, x, height-bottom, "stroke:#888;stroke-dasharray:4")
		s.Text(x+4, top+12, m.Name, "font:12px sans-serif;fill:#555")
	}
	for i, line := range c.Series {
		c.line(s, i, line, maxX, maxY)
	}
	s.End()
}

func (c *Chart) bounds() (maxX, maxY float64) {
	for _, line := range c.Series {
		maxX = max(maxX, float64(len(line.Values))*c.Step)
		for _, v := range line.Values {
			maxY = max(maxY, v)
		}
	}
	return max(maxX, c.Step), round(max(maxY, 1e-9))
}

// round returns the next value of the form 1, 2 or 5 times a power of ten.
func round(v float64) float64 {
	base := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 5} {
		if v <= f*base {
			return f * base
		}
	}
	return 10 * base
}

func scale(v, most float64, from, to int) int {
	return from + int(math.Round(v/most*float64(to-from)))
}

func (c *Chart) axes(s *svg.SVG, maxX, maxY float64) {
	s.Line(left, height-bottom, width-right, height-bottom, "stroke:black")
	s.Line(left, top, left, height-bottom, "stroke:black")
	for i := range ticks + 1 {
		x := maxX * float64(i) / ticks
		y := maxY * float64(i) / ticks
		px, py := scale(x, maxX, left, width-right), scale(y, maxY, height-bottom, top)
		s.Text(px, height-bottom+18, fmt.Sprintf("%.4g", x), "text-anchor:middle;font:12px sans-serif")
		s.Text(left-8, py+4, fmt.Sprintf("%.4g", y), "text-anchor:end;font:12px sans-serif")
		s.Line(left, py, width-right, py, "stroke:#ddd")
	}
	s.Text((left+width-right)/2, height-16, c.XLabel, "text-anchor:middle;font:13px sans-serif")
	s.TranslateRotate(18, (top+height-bottom)/2, -90)
	s.Text(0, 0, c.YLabel, "text-anchor:middle;font:13px sans-serif")
	s.Gend()
}

func (c *Chart) line(s *svg.SVG, i int, line Series, maxX, maxY float64) {
	colour := colours[i%len(colours)]
	var xs, ys []int
	for k, v := range line.Values {
		xs = append(xs, scale(float64(k+1)*c.Step, maxX, left, width-right))
		ys = append(ys, scale(v, maxY, height-bottom, top))
	}
	if len(xs) > 1 {
		s.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+colour)
	}
	y := top + 20 + 20*i
	s.Line(width-right+12, y-4, width-right+32, y-4, "stroke-width:2;stroke:"+colour)
	s.Text(width-right+38, y, line.Name, "font:12px sans-serif")
}
