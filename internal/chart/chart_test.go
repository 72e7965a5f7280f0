package chart

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against output that is not well-formed XML, lacks the label of a series or
// mark, or contains NaN, also if all values are zero or there are none.
func TestWrite(t *testing.T) {
	for _, values := range [][]float64{{1, 2, 30}, {0}, nil} {
		is := is.New(t)
		var out bytes.Buffer
		c := Chart{Title: "a < b", Step: 1, Series: []Series{{"first", values}}, Marks: []Mark{{1, "out"}}}
		c.Write(&out)
		text := out.String()
		is.True(strings.Contains(text, "first") && strings.Contains(text, "out"))
		is.True(!strings.Contains(text, "NaN"))
		dec := xml.NewDecoder(&out)
		for {
			_, err := dec.Token()
			if err == io.EOF {
				break
			}
			is.NoErr(err)
		}
	}
}
