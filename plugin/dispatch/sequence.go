package dispatch

import (
	"bytes"

	"nutmegrouter/internal/sse"
)

// maxEarlyEvents is the number of events that may wait for a missing one before the
// stream counts as broken. At 33 ms between events that is about half a second.
const maxEarlyEvents = 16

// verdict is the result of checking an event's number.
type verdict int

const (
	verdictDeliver   verdict = iota // deliver the bytes that push returned
	verdictDuplicate                // the number was delivered or is waiting
	verdictEarly                    // an earlier number is missing; the event waits for it
	verdictBroken                   // missing number did not arrive, or event without a valid number
)

// sequencer restores the order of the numbered events of one engine stream. It does
// no I/O. The zero value expects event 1.
type sequencer struct {
	lastDelivered uint64 // number of the last delivered event
	numbered      bool   // the events have numbers
	unnumbered    bool   // the events have no numbers; their order cannot be checked
	early         map[uint64][]byte
}

// push checks an event. With verdictDeliver it returns the bytes to deliver now: the
// event and the early ones that follow it.
func (q *sequencer) push(e *sse.Event) ([]byte, verdict) {
	switch {
	case e.InvalidID && !q.unnumbered:
		return nil, verdictBroken
	case e.Done():
		if len(q.early) > 0 || (e.HasID && !q.unnumbered && e.ID > q.lastDelivered+1) {
			return nil, verdictBroken
		}
		return e.Raw, verdictDeliver
	case e.HasID && !q.unnumbered:
		q.numbered = true
		return q.pushNumbered(e)
	case !e.HasData:
		return e.Raw, verdictDeliver // comment or keep-alive
	case q.numbered:
		return nil, verdictBroken
	}
	q.unnumbered = true
	return e.Raw, verdictDeliver
}

// pushNumbered does the work of push for an event with a number.
func (q *sequencer) pushNumbered(e *sse.Event) ([]byte, verdict) {
	switch {
	case e.ID <= q.lastDelivered:
		return nil, verdictDuplicate
	case e.ID == q.lastDelivered+1:
		q.lastDelivered++
		return q.appendConsecutive(e.Raw), verdictDeliver
	case q.early[e.ID] != nil:
		return nil, verdictDuplicate
	case len(q.early) >= maxEarlyEvents:
		return nil, verdictBroken
	}
	if q.early == nil {
		q.early = map[uint64][]byte{}
	}
	q.early[e.ID] = bytes.Clone(e.Raw)
	return nil, verdictEarly
}

// appendConsecutive appends the early events that follow without a gap to raw.
func (q *sequencer) appendConsecutive(raw []byte) []byte {
	if len(q.early) == 0 {
		return raw
	}
	out := bytes.Clone(raw)
	for {
		next, ok := q.early[q.lastDelivered+1]
		if !ok {
			return out
		}
		q.lastDelivered++
		delete(q.early, q.lastDelivered)
		out = append(out, next...)
	}
}

// dropEarly discards the early events, because a resumed stream sends them again.
func (q *sequencer) dropEarly() { q.early = nil }

// resumable reports whether the stream can be resumed after the last delivered
// number.
func (q *sequencer) resumable() bool { return q.numbered && !q.unnumbered }
