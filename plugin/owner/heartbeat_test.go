package owner

import (
	"testing"
	"time"

	"nutmegrouter/internal/placewire"
)

// Guards against entry instances that take a slow owner for a lost one, because it says nothing before it
// gets to their requests, and against heartbeats that go on for good because they are acknowledged.
func TestHeartbeatsWhileAnEntryIsActive(t *testing.T) {
	r := newHarness(t)
	sent := int64(0)
	message := func(u placewire.EntryMessage) {
		sent++
		u.Sent = sent
		r.send(u)
		r.waitForCheck()
	}
	heartbeat := func() bool { // in a round after the interval
		r.mu.Lock() // a round may be under way and send with the new time
		r.sent = nil
		r.Advance(heartbeatInterval, heartbeatInterval)
		r.mu.Unlock()
		r.waitForRound()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, m := range r.sent {
			if !m.NotOwner {
				return true
			}
		}
		return false
	}
	r.Advance(10*time.Millisecond, 10*time.Millisecond)
	r.waitForCheck()
	message(placewire.EntryMessage{Shed: map[string]int{"w": 1}}) // does not wait for an answer
	for range contactTime/heartbeatInterval - 1 {
		r.True(heartbeat())
		message(placewire.EntryMessage{}) // an acknowledgement
	}
	heartbeat()
	r.True(!heartbeat())
}

// Guards against an owner that reports the wait in its inbox, but not that on the way to it, and against one
// that takes the drift of clocks or a suspension for its own lateness and refuses requests for it.
func TestLatenessCountsFromTheEntryInstance(t *testing.T) {
	r := newHarness(t)
	now := time.Minute
	u := func(heard, ago time.Duration) *placewire.EntryMessage {
		return &placewire.EntryMessage{Heard: int64(heard), HeardAgo: int64(ago)}
	}
	r.Equal(lateness(u(0, 0), now-20*time.Millisecond, now), 20*time.Millisecond) // it has heard nothing yet
	r.Equal(lateness(u(now-time.Second, 700*time.Millisecond), now-20*time.Millisecond, now), 300*time.Millisecond)
	r.Equal(lateness(u(now-time.Second, 5*time.Second), now-20*time.Millisecond, now), 20*time.Millisecond)     // a clock that runs fast
	r.Equal(lateness(u(now-30*time.Second, 29*time.Second), now-20*time.Millisecond, now), 20*time.Millisecond) // clocks that have drifted
	r.Equal(lateness(u(now-9*time.Second, time.Second), now-20*time.Millisecond, now), 20*time.Millisecond)     // it was suspended meanwhile
}
