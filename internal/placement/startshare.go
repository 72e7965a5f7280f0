package placement

import (
	"maps"
	"slices"
	"time"

	"nutmegrouter/internal/api"
)

const (
	// FollowLease is how long after an owner has sent a message that an entry instance acknowledges it
	// may count on that instance to start nothing by itself. An instance keeps that much less than a
	// second of its starts when it loses the owner.
	FollowLease = 200 * time.Millisecond
	// OwnerlessTime is how long an entry instance may use its part of the start limits after its last
	// contact with an owner.
	OwnerlessTime = 5 * time.Second
	// ownerlessMargin is added to OwnerlessTime where an owner waits for the end of a part.
	ownerlessMargin = 500 * time.Millisecond
)

// StartShare is an entry instance's part of the start limits of targets. It keeps the starts of the
// last second (startWindow). An instance that loses its owner may go on with as many starts a second on
// each target as it made itself in the last second in which it followed the owner. These parts add up to
// what the owner allowed, however many instances there are, and a new owner allows no more than what the
// instances have ceded to it until it knows all of them. It is not safe for concurrent use.
type StartShare struct {
	starts map[string][]ownStart // by target ID, oldest sentAt first
	parts  map[string]int        // starts per second, by target ID; nil while an owner decides
}

// ownStart is a start of this instance: when its target was chosen, or the owner's choice arrived, and when
// it was sent, or may be.
type ownStart struct{ chosenAt, sentAt time.Duration }

// NewStartShare returns the share of an instance that has not had an owner: it may start nothing.
func NewStartShare() *StartShare {
	return &StartShare{starts: map[string][]ownStart{}, parts: map[string]int{}}
}

// StartReport tells an owner of an entry instance's starts.
type StartReport struct {
	// Parts holds the starts per second that the instance may make by itself until it follows the owner,
	// by target ID.
	Parts map[string]int
	// Ago holds the ages of its starts in the last second, by target ID.
	Ago map[string][]time.Duration
}

// Record counts a start on a target.
func (s *StartShare) Record(target string, now time.Duration) {
	s.starts[target] = append(s.recent(target, now), ownStart{now, now})
}

// RecordSent records when a request was sent whose target was chosen, and that was recorded, at chosenAt.
func (s *StartShare) RecordSent(target string, chosenAt, now time.Duration) {
	starts := s.starts[target]
	i := slices.IndexFunc(starts, func(o ownStart) bool { return o.chosenAt == chosenAt })
	if i < 0 {
		s.Record(target, now)
		return
	}
	s.starts[target] = append(slices.Delete(starts, i, i+1), ownStart{chosenAt, now})
}

// Keep fixes the instance's parts when it stops following an owner, from which it last heard at
// lastHeard. It does nothing if it does not follow one.
func (s *StartShare) Keep(lastHeard time.Duration) {
	if s.parts != nil {
		return
	}
	s.parts = map[string]int{}
	for target, starts := range s.starts {
		n := 0
		for _, o := range starts {
			// The owner may have granted an earlier start to another instance again.
			if o.chosenAt+startWindow > lastHeard+FollowLease {
				n++
			}
		}
		if n > 0 {
			s.parts[target] = n
		}
	}
}

// Cede gives the instance's parts to the owner that it follows from now on.
func (s *StartShare) Cede() { s.parts = nil }

// Expire ends the instance's parts, OwnerlessTime after the last contact with an owner, and reports
// whether it had any. It does nothing while the instance follows one.
func (s *StartShare) Expire() bool {
	had := len(s.parts) > 0
	if s.parts != nil {
		clear(s.parts)
	}
	return had
}

// Follows reports whether the instance has ceded its parts.
func (s *StartShare) Follows() bool { return s.parts == nil }

// Room returns how many requests the instance may start on a target now by itself.
func (s *StartShare) Room(target string, now time.Duration) int {
	if s.parts[target] == 0 {
		return 0
	}
	return s.parts[target] - len(s.recent(target, now))
}

// Report returns the report for an owner.
func (s *StartShare) Report(now time.Duration) StartReport {
	r := StartReport{Parts: maps.Clone(s.parts), Ago: map[string][]time.Duration{}}
	for target := range s.starts {
		for _, o := range s.recent(target, now) {
			r.Ago[target] = append(r.Ago[target], now-o.sentAt)
		}
	}
	return r
}

// Retain removes the records of targets that are not in the list.
func (s *StartShare) Retain(targets []api.Target) {
	listed := make(map[string]bool, len(targets))
	for i := range targets {
		listed[targets[i].ID] = true
	}
	for target := range s.starts {
		if !listed[target] {
			delete(s.starts, target)
			delete(s.parts, target)
		}
	}
}

// recent returns the starts on a target within startWindow, and forgets older ones.
func (s *StartShare) recent(target string, now time.Duration) []ownStart {
	starts := s.starts[target]
	for len(starts) > 0 && now-starts[0].sentAt >= startWindow {
		starts = starts[1:]
	}
	s.starts[target] = starts
	return starts
}
