package kernel

import (
	"sync"
	"time"
)

// Stamp is the value of a hybrid logical clock: wall time in Unix milliseconds and
// a counter that orders events within one millisecond and across instances.
type Stamp struct {
	UnixMs int64  `json:"ms"`
	Count  uint32 `json:"n"`
}

// Less reports whether s is before o.
func (s Stamp) Less(o Stamp) bool {
	if s.UnixMs != o.UnixMs {
		return s.UnixMs < o.UnixMs
	}
	return s.Count < o.Count
}

// Event is one change of state on an instance. Record sets Stamp and Instance. Kind is
// the subject of the change, such as lease or link, and Step is what happened to it.
// Fields that do not apply to the kind are empty.
type Event struct {
	Stamp      Stamp  `json:"stamp"`
	Instance   string `json:"instance"`
	Kind       string `json:"kind"`
	Step       string `json:"step,omitempty"`
	Peer       string `json:"peer,omitempty"`
	Pool       string `json:"pool,omitempty"`
	Epoch      uint64 `json:"epoch,omitempty"`
	Revision   uint64 `json:"revision,omitempty"`
	Workspace  string `json:"workspace,omitempty"`
	Target     string `json:"target,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	RequestID  string `json:"request,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// Events is a bounded buffer of the newest events of this instance, stamped by a
// hybrid logical clock. It is safe for concurrent use.
type Events struct {
	mu       sync.Mutex
	instance string
	wall     func() time.Time
	last     Stamp
	buf      []Event
	next     int
	dropped  uint64
}

// NewEvents returns a buffer with a capacity of size events, or of 4096 if size < 1.
func NewEvents(instance string, size int) *Events {
	if size < 1 {
		size = 4096
	}
	return &Events{instance: instance, wall: time.Now, buf: make([]Event, 0, size)}
}

// Record stamps and stores an event. If the buffer is full it overwrites the oldest
// event.
func (e *Events) Record(ev Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ev.Instance = e.instance
	ev.Stamp = e.tick(Stamp{})
	if len(e.buf) < cap(e.buf) {
		e.buf = append(e.buf, ev)
		return
	}
	e.buf[e.next] = ev
	e.next = (e.next + 1) % len(e.buf)
	e.dropped++
}

// Now advances the clock and returns a stamp to send to a peer.
func (e *Events) Now() Stamp {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tick(Stamp{})
}

// Observe advances the clock past a stamp received from a peer.
func (e *Events) Observe(s Stamp) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tick(s)
}

// tick advances the clock past its last value and the received stamp, at least to
// the wall clock, and returns the new value.
func (e *Events) tick(received Stamp) Stamp {
	now := Stamp{UnixMs: e.wall().UnixMilli()}
	next := e.last
	if next.Less(received) {
		next = received
	}
	if next.UnixMs < now.UnixMs {
		next = now
	} else {
		next.Count++
	}
	e.last = next
	return next
}

// Read returns the stored events, oldest first, and how many were overwritten.
func (e *Events) Read() ([]Event, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Event, 0, len(e.buf))
	out = append(out, e.buf[e.next:]...)
	out = append(out, e.buf[:e.next]...)
	return out, e.dropped
}
