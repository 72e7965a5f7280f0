package schedule

import (
	"encoding/json"
	"strconv"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

// Messages are JSON arrays without field names; trailing empty elements are left
// out. encoding/json with tagged structs needs about three times the bytes.

var classes = []api.CostClass{api.ClassUnknown, api.ClassLong, api.ClassQuick, api.ClassLabel}
var warmths = []api.Warmth{api.WarmthUnknown, api.WarmthWarm, api.WarmthCold}
var results = []api.Result{api.ResultOK, api.ResultNotStarted, api.ResultFailed, api.ResultCancelled}

// code returns the index of a word, or 0 if it is unknown.
func code[T comparable](words []T, w T) uint64 {
	for i, x := range words {
		if x == w {
			return uint64(i)
		}
	}
	return 0
}

// writer appends one JSON text. Elements equal to their zero value are held
// back until a later element of the same array is written.
type writer struct {
	b     []byte
	depth int
	held  [4]int  // zero elements held back at each depth
	first [4]bool // no element was written at this depth
	zero  [4][8]byte
}

func (w *writer) open() {
	w.comma()
	w.b = append(w.b, '[')
	w.depth++
	w.held[w.depth-1], w.first[w.depth-1] = 0, true
}

func (w *writer) close() {
	w.b = append(w.b, ']')
	w.depth--
}

// comma writes the elements held back and a separator.
func (w *writer) comma() {
	if w.depth == 0 {
		return
	}
	d := w.depth - 1
	for i := range w.held[d] {
		w.separate()
		w.b = append(w.b, w.zero[d][i])
		if w.zero[d][i] == '"' {
			w.b = append(w.b, '"')
		} else if w.zero[d][i] == '[' {
			w.b = append(w.b, ']')
		}
	}
	w.held[d] = 0
	w.separate()
}

func (w *writer) separate() {
	d := w.depth - 1
	if !w.first[d] {
		w.b = append(w.b, ',')
	}
	w.first[d] = false
}

func (w *writer) hold(zero byte) {
	d := w.depth - 1
	if w.held[d] == len(w.zero[d]) {
		w.comma()
		w.b = append(w.b, zero)
		if zero == '"' {
			w.b = append(w.b, '"')
		} else if zero == '[' {
			w.b = append(w.b, ']')
		}
		return
	}
	w.zero[d][w.held[d]] = zero
	w.held[d]++
}

func (w *writer) uint(x uint64) {
	if x == 0 {
		w.hold('0')
		return
	}
	w.comma()
	w.b = strconv.AppendUint(w.b, x, 10)
}

func (w *writer) float(x float64, digits int) {
	if x == 0 {
		w.hold('0')
		return
	}
	w.comma()
	w.b = strconv.AppendFloat(w.b, x, 'g', digits, 64)
}

func (w *writer) string(s string) {
	if s == "" {
		w.hold('"')
		return
	}
	w.comma()
	w.b = appendString(w.b, s)
}

func (w *writer) flag(x bool) {
	if x {
		w.uint(1)
		return
	}
	w.uint(0)
}

func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			q, err := json.Marshal(s)
			if err != nil {
				return append(b, `""`...)
			}
			return append(b, q...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// list writes an array of arrays.
func list[T any](w *writer, items []T, item func(w *writer, x *T)) {
	if len(items) == 0 {
		w.hold('[')
		return
	}
	w.open()
	for i := range items {
		w.open()
		item(w, &items[i])
		w.close()
	}
	w.close()
}

const (
	costDigits     = 6  // significant digits of true costs
	estimateDigits = 4  // of estimates, which are rough themselves
	serviceDigits  = 7  // of service relative to the pool's virtual time
	virtualDigits  = 10 // of the pool's virtual time, which only grows
)

func (w *writer) head(h *Head) {
	w.string(h.Pool)
	w.uint(h.Epoch)
	w.uint(h.Inc)
	w.uint(h.Gen)
	w.uint(h.Seq)
	w.uint(h.Clock)
	w.uint(h.Got)
}

func writeAdd(w *writer, a *Add) {
	w.uint(a.N)
	w.string(a.Workspace)
	w.uint(code(classes, a.Class))
	w.float(a.Hint, estimateDigits)
	w.string(a.Avoid)
}

func writeConfirm(w *writer, c *Confirm) {
	w.uint(c.N)
	w.uint(code(warmths, c.Warmth))
	w.uint(c.Boot)
}

func writeDone(w *writer, d *Done) {
	w.uint(d.N)
	w.uint(code(results, d.Outcome.Result))
	w.float(d.Outcome.Cost, costDigits)
	w.uint(code(warmths, d.Outcome.Warmth))
	w.uint(d.Outcome.Boot)
}

func writeRunning(w *writer, r *Running) {
	w.uint(r.N)
	w.string(r.Workspace)
	w.string(r.Target)
	w.uint(code(classes, r.Class))
	w.float(r.Estimate, estimateDigits)
	w.flag(r.Confirmed)
	w.uint(r.AgeMs)
}

func writeGrant(w *writer, g *Grant) {
	w.uint(g.N)
	if g.Target != "" {
		w.string(g.Target)
	} else {
		w.uint(g.Ref)
	}
	w.float(g.Estimate, estimateDigits)
}

func writeUsage(w *writer, u *Usage) {
	w.string(u.Workspace)
	w.float(u.Service, serviceDigits)
}

func writeRow(w *writer, r *fairness.Row) {
	w.string(r.Workspace)
	w.float(r.Ahead, serviceDigits)
	for _, x := range r.Learned {
		w.float(x, estimateDigits)
	}
}

// MarshalJSON implements json.Marshaler.
func (m *DemandMsg) MarshalJSON() ([]byte, error) {
	w := &writer{b: make([]byte, 0, 128)}
	w.open()
	w.head(&m.Head)
	list(w, m.Added, writeAdd)
	w.numbers(m.Cancelled)
	list(w, m.Confirmed, writeConfirm)
	list(w, m.Done, writeDone)
	w.close()
	return w.b, nil
}

func (w *writer) numbers(ns []uint64) {
	if len(ns) == 0 {
		w.hold('[')
		return
	}
	w.open()
	for _, n := range ns {
		w.comma()
		w.b = strconv.AppendUint(w.b, n, 10)
	}
	w.close()
}

// MarshalJSON implements json.Marshaler.
func (m *ReportMsg) MarshalJSON() ([]byte, error) {
	w := &writer{b: make([]byte, 0, 256)}
	w.open()
	w.head(&m.Head)
	list(w, m.Waiting, writeAdd)
	list(w, m.Running, writeRunning)
	list(w, m.Done, writeDone)
	w.open()
	w.service(&m.Table)
	w.close()
	list(w, m.Since, writeUsage)
	w.close()
	return w.b, nil
}

// MarshalJSON implements json.Marshaler.
func (m *GrantMsg) MarshalJSON() ([]byte, error) {
	w := &writer{b: make([]byte, 0, 128)}
	w.open()
	w.uint(m.Epoch)
	w.uint(m.Inc)
	w.uint(m.Gen)
	w.uint(m.Clock)
	w.uint(m.First)
	list(w, m.List, writeGrant)
	w.uint(m.Ack)
	w.flag(m.Want)
	w.string(m.Pool)
	w.close()
	return w.b, nil
}

// MarshalJSON implements json.Marshaler.
func (m *ServiceMsg) MarshalJSON() ([]byte, error) {
	w := &writer{b: make([]byte, 0, 256)}
	w.open()
	w.service(m)
	w.close()
	return w.b, nil
}

func (w *writer) service(m *ServiceMsg) {
	w.string(m.Pool)
	w.uint(m.Epoch)
	w.uint(m.Seq)
	w.float(m.Virtual, virtualDigits)
	list(w, m.Rows, writeRow)
}
