package schedule

import (
	"encoding/json"
	"strconv"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

// Messages are JSON arrays without field names, and trailing zero elements are
// omitted. encoding/json with tagged structs needs about three times the bytes.

// Values that are encoded as their index; their order is part of the wire format.
var classes = []api.CostClass{api.ClassUnknown, api.ClassLong, api.ClassQuick, api.ClassLabel}
var warmths = []api.Warmth{api.WarmthUnknown, api.WarmthWarm, api.WarmthCold}
var results = []api.GrantResult{api.ResultOK, api.ResultNotStarted, api.ResultFailed, api.ResultCancelled}

// indexOf returns the index of a value, or 0 if it is unknown.
func indexOf[T comparable](values []T, v T) uint64 {
	for i, x := range values {
		if x == v {
			return uint64(i)
		}
	}
	return 0
}

// writer encodes one message as JSON arrays, nested at most four deep. Zero elements
// are deferred until a later element of the same array is written, and omitted at
// its end.
type writer struct {
	buf      []byte
	depth    int
	deferred [4]int  // number of zero elements deferred at each depth
	empty    [4]bool // no element was written at this depth
	zeros    [4][8]byte
}

func (w *writer) open() {
	w.beginElement()
	w.buf = append(w.buf, '[')
	w.depth++
	w.deferred[w.depth-1], w.empty[w.depth-1] = 0, true
}

func (w *writer) close() {
	w.buf = append(w.buf, ']')
	w.depth--
}

// beginElement writes the deferred zero elements and the separator before the next
// element.
func (w *writer) beginElement() {
	if w.depth == 0 {
		return
	}
	d := w.depth - 1
	for i := range w.deferred[d] {
		w.separator()
		w.buf = append(w.buf, w.zeros[d][i])
		if w.zeros[d][i] == '"' {
			w.buf = append(w.buf, '"')
		} else if w.zeros[d][i] == '[' {
			w.buf = append(w.buf, ']')
		}
	}
	w.deferred[d] = 0
	w.separator()
}

func (w *writer) separator() {
	d := w.depth - 1
	if !w.empty[d] {
		w.buf = append(w.buf, ',')
	}
	w.empty[d] = false
}

func (w *writer) deferZero(zero byte) {
	d := w.depth - 1
	if w.deferred[d] == len(w.zeros[d]) {
		w.beginElement()
		w.buf = append(w.buf, zero)
		if zero == '"' {
			w.buf = append(w.buf, '"')
		} else if zero == '[' {
			w.buf = append(w.buf, ']')
		}
		return
	}
	w.zeros[d][w.deferred[d]] = zero
	w.deferred[d]++
}

func (w *writer) uint(x uint64) {
	if x == 0 {
		w.deferZero('0')
		return
	}
	w.beginElement()
	w.buf = strconv.AppendUint(w.buf, x, 10)
}

func (w *writer) float(x float64, digits int) {
	if x == 0 {
		w.deferZero('0')
		return
	}
	w.beginElement()
	w.buf = strconv.AppendFloat(w.buf, x, 'g', digits, 64)
}

func (w *writer) string(s string) {
	if s == "" {
		w.deferZero('"')
		return
	}
	w.beginElement()
	w.buf = appendString(w.buf, s)
}

func (w *writer) boolean(x bool) {
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

// writeList writes a list of structs as an array of arrays.
func writeList[T any](w *writer, items []T, item func(w *writer, x *T)) {
	if len(items) == 0 {
		w.deferZero('[')
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
	// Significant digits of encoded numbers.
	costDigits     = 6  // true costs
	estimateDigits = 4  // estimates, which are imprecise
	serviceDigits  = 7  // service relative to the pool's virtual time
	virtualDigits  = 10 // the pool's virtual time, which only grows
)

func (w *writer) header(h *Header) {
	w.string(h.Pool)
	w.uint(h.Epoch)
	w.uint(h.Incarnation)
	w.uint(h.Generation)
	w.uint(h.Seq)
	w.uint(h.Clock)
	w.uint(h.GrantsReceived)
}

func writeAnnouncement(w *writer, a *Announcement) {
	w.uint(a.Number)
	w.string(a.Workspace)
	w.uint(indexOf(classes, a.Class))
	w.float(a.Hint, estimateDigits)
	w.string(a.Avoid)
}

func writeConfirm(w *writer, c *Confirm) {
	w.uint(c.Number)
	w.uint(indexOf(warmths, c.Warmth))
	w.uint(c.Boot)
}

func writeCompletion(w *writer, d *Completion) {
	w.uint(d.Number)
	w.uint(indexOf(results, d.Outcome.Result))
	w.float(d.Outcome.Cost, costDigits)
	w.uint(indexOf(warmths, d.Outcome.Warmth))
	w.uint(d.Outcome.BootNumber)
}

func writeRunning(w *writer, r *Running) {
	w.uint(r.Number)
	w.string(r.Workspace)
	w.string(r.Target)
	w.uint(indexOf(classes, r.Class))
	w.float(r.Estimate, estimateDigits)
	w.boolean(r.Confirmed)
	w.uint(r.AgeMs)
}

func writeGrant(w *writer, g *Grant) {
	w.uint(g.Number)
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
	w.float(r.RelativeService, serviceDigits)
	for _, x := range r.MeanCosts {
		w.float(x, estimateDigits)
	}
}

// MarshalJSON implements json.Marshaler.
func (m *DemandMsg) MarshalJSON() ([]byte, error) {
	w := &writer{buf: make([]byte, 0, 128)}
	w.open()
	w.header(&m.Header)
	writeList(w, m.Added, writeAnnouncement)
	w.numbers(m.Cancelled)
	writeList(w, m.Confirmed, writeConfirm)
	writeList(w, m.Done, writeCompletion)
	w.close()
	return w.buf, nil
}

func (w *writer) numbers(ns []uint64) {
	if len(ns) == 0 {
		w.deferZero('[')
		return
	}
	w.open()
	for _, n := range ns {
		w.beginElement()
		w.buf = strconv.AppendUint(w.buf, n, 10)
	}
	w.close()
}

// MarshalJSON implements json.Marshaler.
func (m *ReportMsg) MarshalJSON() ([]byte, error) {
	w := &writer{buf: make([]byte, 0, 256)}
	w.open()
	w.header(&m.Header)
	writeList(w, m.Waiting, writeAnnouncement)
	writeList(w, m.Running, writeRunning)
	writeList(w, m.Done, writeCompletion)
	w.open()
	w.serviceTable(&m.Table)
	w.close()
	writeList(w, m.ServiceSinceTable, writeUsage)
	w.close()
	return w.buf, nil
}

// MarshalJSON implements json.Marshaler.
func (m *GrantMsg) MarshalJSON() ([]byte, error) {
	w := &writer{buf: make([]byte, 0, 128)}
	w.open()
	w.uint(m.Epoch)
	w.uint(m.Incarnation)
	w.uint(m.Generation)
	w.uint(m.Clock)
	w.uint(m.GrantsBefore)
	writeList(w, m.Grants, writeGrant)
	w.uint(m.Ack)
	w.boolean(m.WantReport)
	w.string(m.Pool)
	w.close()
	return w.buf, nil
}

// MarshalJSON implements json.Marshaler.
func (m *ServiceTableMsg) MarshalJSON() ([]byte, error) {
	w := &writer{buf: make([]byte, 0, 256)}
	w.open()
	w.serviceTable(m)
	w.close()
	return w.buf, nil
}

func (w *writer) serviceTable(m *ServiceTableMsg) {
	w.string(m.Pool)
	w.uint(m.Epoch)
	w.uint(m.Seq)
	w.float(m.VirtualTime, virtualDigits)
	writeList(w, m.Rows, writeRow)
}
