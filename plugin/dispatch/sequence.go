package dispatch

import (
	"bytes"

	"nutmegrouter/internal/sse"
)

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
func (q *sequencer) push(e *sse.Event) ([]byte, verdict) {
	switch {
	case e.BadID && !q.plain:
		return nil, broken
	case e.Done():
		if len(q.held) > 0 || (e.HasID && !q.plain && e.ID > q.last+1) {
			return nil, broken
		}
		return e.Raw, deliver
	case e.HasID && !q.plain:
		q.numbered = true
		return q.pushNumber(e)
	case !e.HasData:
		return e.Raw, deliver // comment or keep-alive
	case q.numbered:
		return nil, broken
	}
	q.plain = true
	return e.Raw, deliver
}

func (q *sequencer) pushNumber(e *sse.Event) ([]byte, verdict) {
	switch {
	case e.ID <= q.last:
		return nil, duplicate
	case e.ID == q.last+1:
		q.last++
		return q.release(e.Raw), deliver
	case q.held[e.ID] != nil:
		return nil, duplicate
	case len(q.held) >= maxHeld:
		return nil, broken
	}
	if q.held == nil {
		q.held = map[uint64][]byte{}
	}
	q.held[e.ID] = bytes.Clone(e.Raw)
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
