package schedule

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"nutmegrouter/internal/fairness"
)

// maxListLength bounds the length of each list in a message.
const maxListLength = 1 << 17

// reader decodes one message of nested JSON arrays of numbers and strings. Elements
// missing at the end of an array read as zero values. The first error is kept.
type reader struct {
	data  []byte
	pos   int
	first bool // no element of the innermost array was read
	err   error
}

func (r *reader) fail(text string) {
	if r.err == nil {
		r.err = errors.Errorf("decode at byte %d: %s", r.pos, text)
	}
}

func (r *reader) skipSpace() {
	for r.pos < len(r.data) && (r.data[r.pos] == ' ' || r.data[r.pos] == '\n' || r.data[r.pos] == '\t' || r.data[r.pos] == '\r') {
		r.pos++
	}
}

// peek skips white space and returns the next byte without consuming it, or 0 at
// the end or after an error.
func (r *reader) peek() byte {
	r.skipSpace()
	if r.err != nil || r.pos >= len(r.data) {
		return 0
	}
	return r.data[r.pos]
}

// array reads one array, whose elements are read by the function. Further elements
// are an error.
func (r *reader) array(elements func()) {
	if r.peek() != '[' {
		r.fail("want an array")
		return
	}
	r.pos++
	outer := r.first
	r.first = true
	elements()
	if r.next() {
		r.fail("too many elements")
	}
	if r.err == nil && r.peek() == ']' {
		r.pos++
	}
	r.first = outer
}

// next moves to the next element of the array and reports whether there is one.
func (r *reader) next() bool {
	switch r.peek() {
	case ']':
		return false
	case ',':
		if r.first {
			r.fail("unexpected comma")
			return false
		}
		r.pos++
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
	start := r.pos
	for r.pos < len(r.data) && isNumeric(r.data[r.pos]) {
		r.pos++
	}
	return r.data[start:r.pos]
}

func isNumeric(c byte) bool {
	return c >= '0' && c <= '9' || c == '-' || c == '+' || c == '.' || c == 'e' || c == 'E'
}

func (r *reader) uint() uint64 {
	if !r.next() {
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
	if !r.next() {
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
	if !r.next() {
		return ""
	}
	return r.stringValue()
}

func (r *reader) stringValue() string {
	if r.peek() != '"' {
		r.fail("want a string")
		return ""
	}
	start, escaped := r.pos, false
	for r.pos++; r.pos < len(r.data) && r.data[r.pos] != '"'; r.pos++ {
		if r.data[r.pos] == '\\' || r.data[r.pos] < ' ' || r.data[r.pos] > '~' {
			escaped = true
		}
		if r.data[r.pos] == '\\' {
			r.pos++
		}
	}
	if r.pos >= len(r.data) {
		r.fail("unexpected end of string")
		return ""
	}
	r.pos++
	if !escaped {
		return string(r.data[start+1 : r.pos-1])
	}
	var s string
	if err := json.Unmarshal(r.data[start:r.pos], &s); err != nil {
		r.fail("bad string")
	}
	return s
}

// enum reads the index of one of the values.
func enum[T any](r *reader, values []T) T {
	i := r.uint()
	if i >= uint64(len(values)) {
		r.fail("unknown code")
		i = 0
	}
	return values[i]
}

// readList reads an array of arrays as a list of structs.
func readList[T any](r *reader, item func(r *reader, x *T)) []T {
	if !r.next() {
		return nil
	}
	var out []T
	r.array(func() {
		for r.next() {
			if len(out) == maxListLength {
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
	if !r.next() {
		return nil
	}
	var out []uint64
	r.array(func() {
		for r.err == nil && r.peek() != ']' {
			if len(out) == maxListLength {
				r.fail("list too long")
				return
			}
			out = append(out, r.uint())
		}
	})
	return out
}

// decodeMessage decodes a message whose elements are read by the function. Data
// after the message is an error.
func decodeMessage(b []byte, elements func(r *reader)) error {
	r := &reader{data: b}
	r.array(func() { elements(r) })
	if r.skipSpace(); r.err == nil && r.pos != len(b) {
		r.fail("text after the message")
	}
	return r.err
}

func (r *reader) header(h *Header) {
	h.Pool = r.string()
	h.Epoch = r.uint()
	h.Incarnation = r.uint()
	h.Generation = r.uint()
	h.Seq = r.uint()
	h.Clock = r.uint()
	h.GrantsReceived = r.uint()
}

func readAnnouncement(r *reader, a *Announcement) {
	a.Number = r.uint()
	a.Workspace = r.string()
	a.Class = enum(r, classes)
	a.Hint = r.float(false)
	a.Avoid = r.string()
}

func readConfirm(r *reader, c *Confirm) {
	c.Number = r.uint()
	c.Warmth = enum(r, warmths)
	c.Boot = r.uint()
}

func readCompletion(r *reader, d *Completion) {
	d.Number = r.uint()
	d.Outcome.Result = enum(r, results)
	d.Outcome.Cost = r.float(false)
	d.Outcome.Warmth = enum(r, warmths)
	d.Outcome.BootNumber = r.uint()
}

func readRunning(r *reader, x *Running) {
	x.Number = r.uint()
	x.Workspace = r.string()
	x.Target = r.string()
	x.Class = enum(r, classes)
	x.Estimate = r.float(false)
	x.Confirmed = enum(r, []bool{false, true})
	x.AgeMs = r.uint()
}

func readGrant(r *reader, g *Grant) {
	g.Number = r.uint()
	if r.next() {
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
	x.RelativeService = r.float(true)
	for i := range x.MeanCosts {
		x.MeanCosts[i] = r.float(false)
	}
}

func (r *reader) serviceTable(m *ServiceTableMsg) {
	m.Pool = r.string()
	m.Epoch = r.uint()
	m.Seq = r.uint()
	m.VirtualTime = r.float(true)
	m.Rows = readList(r, readRow)
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *DemandMsg) UnmarshalJSON(b []byte) error {
	return decodeMessage(b, func(r *reader) {
		r.header(&m.Header)
		m.Added = readList(r, readAnnouncement)
		m.Cancelled = r.numbers()
		m.Confirmed = readList(r, readConfirm)
		m.Done = readList(r, readCompletion)
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *ReportMsg) UnmarshalJSON(b []byte) error {
	return decodeMessage(b, func(r *reader) {
		r.header(&m.Header)
		m.Waiting = readList(r, readAnnouncement)
		m.Running = readList(r, readRunning)
		m.Done = readList(r, readCompletion)
		if r.next() {
			r.array(func() { r.serviceTable(&m.Table) })
		}
		m.ServiceSinceTable = readList(r, readUsage)
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *GrantMsg) UnmarshalJSON(b []byte) error {
	return decodeMessage(b, func(r *reader) {
		m.Epoch = r.uint()
		m.Incarnation = r.uint()
		m.Generation = r.uint()
		m.Clock = r.uint()
		m.GrantsBefore = r.uint()
		m.Grants = readList(r, readGrant)
		m.Ack = r.uint()
		m.WantReport = enum(r, []bool{false, true})
		m.Pool = r.string()
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *ServiceTableMsg) UnmarshalJSON(b []byte) error {
	return decodeMessage(b, func(r *reader) { r.serviceTable(m) })
}
