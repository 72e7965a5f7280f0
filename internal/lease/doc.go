// Package lease implements instance leases and the election of pool owners by a
// majority vote of the instances, exchanged in heartbeats.
//
// It is a pure state machine without clock, goroutine or socket. A Node acts as
// a witness that votes on the requests of its peers, as the holder of its own
// instance lease, and as a candidate for the ownership of pools. Its inputs are
// the time on a monotonic clock, the heartbeats and replies of its peers, the
// revision of the local view, and the pools whose ownership it seeks. Its
// outputs are heartbeats, replies, and the state of leases and owners.
//
// A witness grants a request for LeaseTime. The holder uses the grants of a
// majority for HolderLeaseTime, counted from the sending of its heartbeat. Each
// ownership of a pool has an epoch, which rises with each new owner.
//
// Guarantees, for clocks that drift by at most MaxDrift:
//
//   - At any moment at most one instance owns a pool.
//   - The epochs of two owners of a pool differ, as long as no majority of the
//     witnesses loses its memory.
//   - No instance lease is valid while its holder's view is older than a
//     revision that a majority of the instances has had for longer than
//     LeaseTime.
//
// A Node is not safe for concurrent use.
package lease

import "time"

// Durations of the protocol.
const (
	// LeaseTime is how long a witness's grant excludes other candidates, counted
	// from the receipt of the heartbeat.
	LeaseTime = 2 * time.Second
	// HolderLeaseTime is how long a holder relies on a majority of grants, counted
	// from the sending of its heartbeat: LeaseTime less a tenth, because the
	// clocks of witness and holder may drift apart by up to twice MaxDrift.
	HolderLeaseTime = LeaseTime - LeaseTime/10
	// RestartAbstention is how long a witness abstains after a restart, so that the
	// grants that it made before the restart have expired.
	RestartAbstention = LeaseTime + LeaseTime/10
	// HeartbeatInterval is the time between two periodic heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// MaxReportAge is the maximum age of the newest reply of a peer, counted from
	// the sending of the heartbeat that it replies to, up to which the reported
	// revision and reply state are used. It is shorter than RestartAbstention less the
	// drift, so that the report of an instance that lost its memory in a restart
	// no longer counts when that instance votes again.
	MaxReportAge = 1500 * time.Millisecond
	// CandidateStagger is the delay per rank before a candidate starts a round for a pool
	// without owner, so that candidates do not split the votes.
	CandidateStagger = 100 * time.Millisecond
	// RoundTimeout is how long a candidate waits for a majority of grants before
	// its round is lost.
	RoundTimeout = 300 * time.Millisecond
	// HandoverTimeout is how long a resigned owner waits for its successor to
	// announce the ownership before it releases its votes to all candidates.
	HandoverTimeout = 500 * time.Millisecond
)

// MaxDrift is the maximum tolerated deviation of a clock's rate from real time,
// as a fraction.
const MaxDrift = 0.05
