// Package lease decides, without clock, goroutine or socket, what one instance
// may do: whether its instance lease is valid, and which pools it owns.
//
// A Node is at the same time a witness, a lease holder and a candidate for the
// ownership of pools. Its inputs are the time on a monotonic clock, beats and
// replies of other instances, the revision of the local view, and the pools to
// seek. Its outputs are beats, replies and answers to questions.
//
// Guarantees, for clocks that drift by at most MaxDrift:
//
//   - At any moment at most one instance holds a pool.
//   - The epochs of two owners of a pool differ, as long as a majority of the
//     witnesses does not lose its memory.
//   - No lease is valid with a view older than a revision that a majority of
//     the instances has had for longer than LeaseTime.
//
// A Node is not safe for concurrent use.
package lease

import "time"

// Times of the protocol.
const (
	// LeaseTime is how long a witness remembers a grant.
	LeaseTime = 2 * time.Second
	// HolderTime is how long a holder uses it, counted from the sending of its
	// beat: LeaseTime less a tenth, because the clocks of witness and holder may
	// drift apart by up to twice MaxDrift.
	HolderTime = LeaseTime - LeaseTime/10
	// RestartTime is how long a restarted witness abstains, so that what it
	// granted before the restart has expired.
	RestartTime = LeaseTime + LeaseTime/10
	// BeatInterval is the time between two periodic beats.
	BeatInterval = 500 * time.Millisecond
	// ReportLife is how long a peer's reported revision counts. It is shorter
	// than RestartTime less the drift, so that the report of an instance that
	// lost its memory no longer counts when it becomes a witness again.
	ReportLife = 1500 * time.Millisecond
	// Stagger separates the starts of two candidates for a pool.
	Stagger = 100 * time.Millisecond
	// RoundTime is how long a candidate waits for the grants of one request.
	RoundTime = 300 * time.Millisecond
	// HandoverTime is how long a resigning owner waits for its successor.
	HandoverTime = 500 * time.Millisecond
)

// MaxDrift is the largest deviation of a clock's rate from real time.
const MaxDrift = 0.05
