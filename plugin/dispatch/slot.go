package dispatch

import (
	"sync"
	"time"

	"nutmegrouter/internal/api"
)

// slot is the work on one grant. Its end is reported exactly once.
type slot struct {
	call   *call
	ticket api.Ticket
	grant  api.Grant
	once   sync.Once

	detail string // why the work failed, for the timeline
	warmth api.Warmth
	boot   uint64
	sentAt time.Time // when the first byte of the request was written
}

// confirm reports the head of an answer and keeps what it said for the end.
func (s *slot) confirm(h headState) {
	s.warmth = h.warmth
	if h.boot != 0 {
		s.boot = h.boot
	}
	s.ticket.Confirm(h.warmth, h.boot)
}

// done ends the work. Further calls have no effect.
func (s *slot) done(result api.Result, cost float64) {
	s.once.Do(func() {
		o := api.Outcome{Result: result, Cost: cost, Warmth: s.warmth, Boot: s.boot}
		s.call.d.observe(s, o, s.detail)
		s.ticket.Done(o)
	})
}

// elapsed returns the milliseconds since the request was sent, the cost unit of
// plain services.
func (s *slot) elapsed() float64 {
	if s.sentAt.IsZero() {
		return 0
	}
	return float64(time.Since(s.sentAt)) / float64(time.Millisecond)
}
