package dispatch

import "bytes"

// maxHeld bounds how many events wait for a missing one before the stream is
// taken as broken. At 33 ms between events it is about half a second.
const maxHeld = 16

// verdict is the result of checking one event's number.
type verdict int

const (
	deliver   verdict = iota // pass on what push returned
	duplicate                // number was delivered before
	held                     // an earlier number is missing, kept back
	broken                   // the missing number did not come, or no number
)

// sequencer brings the numbered events of one engine stream in order. It is
// pure. The zero value expects event 1.
type sequencer struct {
	last     uint64 // newest delivered number
	numbered bool   // the stream carries numbers
	plain    bool   // the stream carries none; order cannot be checked
	held     map[uint64][]byte
}

// push checks an event and returns the bytes to deliver now.
func (q *sequencer) push(e *event) ([]byte, verdict) {
	switch {
	case e.badID && !q.plain:
		return nil, broken
	case e.done():
		if len(q.held) > 0 || (e.hasID && !q.plain && e.id > q.last+1) {
			return nil, broken
		}
		return e.raw, deliver
	case e.hasID && !q.plain:
		q.numbered = true
		return q.pushNumber(e)
	case !e.hasData:
		return e.raw, deliver // comment or keep-alive
	case q.numbered:
		return nil, broken
	}
	q.plain = true
	return e.raw, deliver
}

func (q *sequencer) pushNumber(e *event) ([]byte, verdict) {
	switch {
	case e.id <= q.last:
		return nil, duplicate
	case e.id == q.last+1:
		q.last++
		return q.release(e.raw), deliver
	case q.held[e.id] != nil:
		return nil, duplicate
	case len(q.held) >= maxHeld:
		return nil, broken
	}
	if q.held == nil {
		q.held = map[uint64][]byte{}
	}
	q.held[e.id] = bytes.Clone(e.raw)
	return nil, held
}

// release appends the held events that follow without a gap.
func (q *sequencer) release(raw []byte) []byte {
	if len(q.held) == 0 {
		return raw
	}
	out := bytes.Clone(raw)
	for {
		next, ok := q.held[q.last+1]
		if !ok {
			return out
		}
		q.last++
		delete(q.held, q.last)
		out = append(out, next...)
	}
}

// restart forgets the held events: a resumed stream sends them again.
func (q *sequencer) restart() { q.held = nil }

// resumable reports whether the stream can go on after the last number.
func (q *sequencer) resumable() bool { return q.numbered && !q.plain }
