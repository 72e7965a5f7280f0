package placement

import "time"

const (
	// repeatsFor is how long a refused request is remembered at least. Callers come
	// again within a third of the time that they have left, 5 s on both users' sites.
	repeatsFor = 6 * time.Second
	// repeatsMost bounds the memory, in requests for each of two spans of repeatsFor.
	// Both users' sites refuse less than 2,000 requests a second.
	repeatsMost = 30_000
)

// repeats tells the requests of callers that come again from those that come for the
// first time: an attempt does not say how long its caller has waited before. It knows
// a request by the last part of its prompt, which no other request has.
type repeats struct {
	newest, older map[PartID]time.Duration // when the first attempt was due
	turnedAt      time.Duration
}

func newRepeats() *repeats {
	return &repeats{newest: map[PartID]time.Duration{}, older: map[PartID]time.Duration{}}
}

// note remembers a refused request and when its first event was due.
func (r *repeats) note(own PartID, due, now time.Duration) {
	r.turn(now)
	if first, ok := r.due(own); ok {
		due = min(due, first)
	}
	if own != 0 && len(r.newest) < repeatsMost {
		r.newest[own] = due
	}
}

// due returns when the first attempt of a request was due, if one was refused lately.
func (r *repeats) due(own PartID) (time.Duration, bool) {
	if due, ok := r.newest[own]; ok {
		return due, true
	}
	due, ok := r.older[own]
	return due, ok
}

// turn forgets what is older than two generations.
func (r *repeats) turn(now time.Duration) {
	if now-r.turnedAt < repeatsFor {
		return
	}
	r.turnedAt = now
	r.older, r.newest = r.newest, make(map[PartID]time.Duration, len(r.newest))
}

// ownPart returns the part of a prompt that belongs to its request alone. 0 = none.
func ownPart(prompt []Part) PartID {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[len(prompt)-1].ID
}
