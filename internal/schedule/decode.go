package schedule

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"nutmegrouter/internal/fairness"
)

// maxItems bounds each list of a message.
const maxItems = 1 << 17

// reader reads one JSON text of nested arrays of numbers and strings. Missing
// elements at the end of an array read as zero values. The first error sticks.
type reader struct {
	b     []byte
	i     int
	first bool // no element of the innermost array was read
	err   error
}

func (r *reader) fail(text string) {
	if r.err == nil {
		r.err = errors.Errorf("decode at byte %d: %s", r.i, text)
	}
}

func (r *reader) space() {
	for r.i < len(r.b) && (r.b[r.i] == ' ' || r.b[r.i] == '\n' || r.b[r.i] == '\t' || r.b[r.i] == '\r') {
		r.i++
	}
}

// peek returns the next byte that is not white space, or 0.
func (r *reader) peek() byte {
	r.space()
	if r.err != nil || r.i >= len(r.b) {
		return 0
	}
	return r.b[r.i]
}

// array reads one array by a function that reads its known elements.
func (r *reader) array(elements func()) {
	if r.peek() != '[' {
		r.fail("want an array")
		return
	}
	r.i++
	outer := r.first
	r.first = true
	elements()
	if r.more() {
		r.fail("too many elements")
	}
	if r.err == nil && r.peek() == ']' {
		r.i++
	}
	r.first = outer
}

// more reports whether the array has another element and moves to it.
func (r *reader) more() bool {
	switch r.peek() {
	case ']':
		return false
	case ',':
		if r.first {
			r.fail("unexpected comma")
			return false
		}
		r.i++
		if c := r.peek(); c == ']' || c == ',' {
			r.fail("want an element")
			return false
		}
		return r.err == nil
	case 0:
		r.fail("unexpected end")
		return false
	}
	if !r.first {
		r.fail("want a comma")
		return false
	}
	r.first = false
	return true
}

func (r *reader) token() []byte {
	start := r.i
	for r.i < len(r.b) && isNumeric(r.b[r.i]) {
		r.i++
	}
	return r.b[start:r.i]
}

func isNumeric(c byte) bool {
	return c >= '0' && c <= '9' || c == '-' || c == '+' || c == '.' || c == 'e' || c == 'E'
}

func (r *reader) uint() uint64 {
	if !r.more() {
		return 0
	}
	return r.uintValue()
}

func (r *reader) uintValue() uint64 {
	x, err := strconv.ParseUint(string(r.token()), 10, 64)
	if err != nil {
		r.fail("want a whole number")
	}
	return x
}

// float reads a number that is not negative unless signed is set.
func (r *reader) float(signed bool) float64 {
	if !r.more() {
		return 0
	}
	x, err := strconv.ParseFloat(string(r.token()), 64)
	if err != nil || (x < 0 && !signed) {
		r.fail("want a number in range")
		return 0
	}
	return x
}

func (r *reader) string() string {
	if !r.more() {
		return ""
	}
	return r.stringValue()
}

func (r *reader) stringValue() string {
	if r.peek() != '"' {
		r.fail("want a string")
		return ""
	}
	start, escaped := r.i, false
	for r.i++; r.i < len(r.b) && r.b[r.i] != '"'; r.i++ {
		if r.b[r.i] == '\\' || r.b[r.i] < ' ' || r.b[r.i] > '~' {
			escaped = true
		}
		if r.b[r.i] == '\\' {
			r.i++
		}
	}
	if r.i >= len(r.b) {
		r.fail("unexpected end of string")
		return ""
	}
	r.i++
	if !escaped {
		return string(r.b[start+1 : r.i-1])
	}
	var s string
	if err := json.Unmarshal(r.b[start:r.i], &s); err != nil {
		r.fail("bad string")
	}
	return s
}

// word reads the code of a word.
func word[T any](r *reader, words []T) T {
	i := r.uint()
	if i >= uint64(len(words)) {
		r.fail("unknown code")
		i = 0
	}
	return words[i]
}

// items reads an array of arrays.
func items[T any](r *reader, item func(r *reader, x *T)) []T {
	if !r.more() {
		return nil
	}
	var out []T
	r.array(func() {
		for r.more() {
			if len(out) == maxItems {
				r.fail("list too long")
				return
			}
			var x T
			r.array(func() { item(r, &x) })
			out = append(out, x)
		}
	})
	return out
}

func (r *reader) numbers() []uint64 {
	if !r.more() {
		return nil
	}
	var out []uint64
	r.array(func() {
		for r.err == nil && r.peek() != ']' {
			if len(out) == maxItems {
				r.fail("list too long")
				return
			}
			out = append(out, r.uint())
		}
	})
	return out
}

// message reads a whole text.
func message(b []byte, elements func(r *reader)) error {
	r := &reader{b: b}
	r.array(func() { elements(r) })
	if r.space(); r.err == nil && r.i != len(b) {
		r.fail("text after the message")
	}
	return r.err
}

func (r *reader) head(h *Head) {
	h.Pool = r.string()
	h.Epoch = r.uint()
	h.Inc = r.uint()
	h.Gen = r.uint()
	h.Seq = r.uint()
	h.Clock = r.uint()
	h.Got = r.uint()
}

func readAdd(r *reader, a *Add) {
	a.N = r.uint()
	a.Workspace = r.string()
	a.Class = word(r, classes)
	a.Hint = r.float(false)
	a.Avoid = r.string()
}

func readConfirm(r *reader, c *Confirm) {
	c.N = r.uint()
	c.Warmth = word(r, warmths)
	c.Boot = r.uint()
}

func readDone(r *reader, d *Done) {
	d.N = r.uint()
	d.Outcome.Result = word(r, results)
	d.Outcome.Cost = r.float(false)
	d.Outcome.Warmth = word(r, warmths)
	d.Outcome.Boot = r.uint()
}

func readRunning(r *reader, x *Running) {
	x.N = r.uint()
	x.Workspace = r.string()
	x.Target = r.string()
	x.Class = word(r, classes)
	x.Estimate = r.float(false)
	x.Confirmed = word(r, []bool{false, true})
	x.AgeMs = r.uint()
}

func readGrant(r *reader, g *Grant) {
	g.N = r.uint()
	if r.more() {
		if r.peek() == '"' {
			g.Target = r.stringValue()
		} else {
			g.Ref = r.uintValue()
		}
	}
	g.Estimate = r.float(false)
}

func readUsage(r *reader, u *Usage) {
	u.Workspace = r.string()
	u.Service = r.float(true)
}

func readRow(r *reader, x *fairness.Row) {
	x.Workspace = r.string()
	x.Ahead = r.float(true)
	for i := range x.Learned {
		x.Learned[i] = r.float(false)
	}
}

func (r *reader) service(m *ServiceMsg) {
	m.Pool = r.string()
	m.Epoch = r.uint()
	m.Seq = r.uint()
	m.Virtual = r.float(true)
	m.Rows = items(r, readRow)
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *DemandMsg) UnmarshalJSON(b []byte) error {
	return message(b, func(r *reader) {
		r.head(&m.Head)
		m.Added = items(r, readAdd)
		m.Cancelled = r.numbers()
		m.Confirmed = items(r, readConfirm)
		m.Done = items(r, readDone)
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *ReportMsg) UnmarshalJSON(b []byte) error {
	return message(b, func(r *reader) {
		r.head(&m.Head)
		m.Waiting = items(r, readAdd)
		m.Running = items(r, readRunning)
		m.Done = items(r, readDone)
		if r.more() {
			r.array(func() { r.service(&m.Table) })
		}
		m.Since = items(r, readUsage)
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *GrantMsg) UnmarshalJSON(b []byte) error {
	return message(b, func(r *reader) {
		m.Epoch = r.uint()
		m.Inc = r.uint()
		m.Gen = r.uint()
		m.Clock = r.uint()
		m.First = r.uint()
		m.List = items(r, readGrant)
		m.Ack = r.uint()
		m.Want = word(r, []bool{false, true})
		m.Pool = r.string()
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *ServiceMsg) UnmarshalJSON(b []byte) error {
	return message(b, func(r *reader) { r.service(m) })
}
