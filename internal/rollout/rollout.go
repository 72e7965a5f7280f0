// Package rollout decides how the requests of a service are divided between its targets of a new version and
// the others while a rollout runs, and how the rollout ends.
//
// It answers the load of a service under any mix of routes, from a few requests in a rollout to some thousand
// a second, and versions that fail or are slow from the start, later, under load or on one route only. It
// bounds what a bad version gets at any number of instances and at changes of the owner.
//
// The package does no I/O and reads no clock: the caller passes the time on its own monotonic clock. A Controller
// is not safe for concurrent use.
package rollout

import "time"

// Config describes a rollout and its bounds.
type Config struct {
	// Duration is the time from the order to the deadline.
	Duration time.Duration
	// ExposureShare and ExposureSlack bound the requests to a bad version until the deadline: that share of all
	// requests of the service, plus the slack.
	ExposureShare, ExposureSlack float64
}

// Account is what is stored of a rollout so that a new owner keeps to the bounds. Its figures only grow.
type Account struct {
	Requests uint64 // requests of the service since the order
	Allowed  uint64 // requests that may have been granted to the new version
	Elapsed  time.Duration
}

// Phase is the part of a rollout that determines where requests go.
type Phase uint8

// Phases of a rollout.
const (
	PhaseBefore  Phase = iota // no target of the new version can be used yet
	PhaseCanary               // a few requests go to the new version
	PhaseMoved                // all requests go to the new version
	PhaseDecided              // a verdict has been reached; none go there if it is a rollback
)

// Verdict is how a rollout is to end.
type Verdict struct {
	Succeeded bool
	// Reason is a code for the record and the log.
	Reason string
	// Route, with a rollback because of responses, is the route whose evidence decided. Attrs are the figures
	// behind the verdict, as alternating keys and values for the log.
	Route string
	Attrs []any
}

// Reasons of verdicts.
const (
	ReasonAllMoved       = "all_moved"        // succeeded: no request runs on a target of another version
	ReasonDeadline       = "deadline"         // succeeded at the deadline; requests still ran on others
	ReasonNoOtherVersion = "no_other_version" // succeeded: all targets have the version already
	ReasonFailures       = "failures"         // rolled back
	ReasonSlow           = "slow"             // rolled back
	ReasonNoResponses    = "no_responses"     // rolled back: no target of the version has answered until the deadline
	ReasonServiceRemoved = "service_removed"  // rolled back: the configuration has the service no more
)

// PaceBuckets are the upper bounds of all but the last bucket in which responses are counted by the ratio of
// their time to the expected time.
var PaceBuckets = [...]float64{0.25, 0.35, 0.5, 0.7, 1, 1.4, 2, 2.8, 4, 5.6, 8, 11}

// NumPaceBuckets is the number of buckets.
const NumPaceBuckets = len(PaceBuckets) + 1

// PaceBucket returns the index of the bucket for a ratio.
func PaceBucket(ratio float64) int {
	for i, bound := range PaceBuckets {
		if ratio <= bound {
			return i
		}
	}
	return len(PaceBuckets)
}

// Outcomes counts the outcomes of attempts on one route: those on a target of the new version, or those on all
// targets of other versions. See placewire.RolloutOutcomes.
type Outcomes struct {
	Route  string
	Target string // ID; "" = all targets of other versions
	Failed, Served,
	Crashes int
	Pace [NumPaceBuckets]int
}

// Evidence is what one process of an entry instance has seen of the rollout, as cumulative counters.
type Evidence struct {
	Age        time.Duration // since it first had a view with the rollout
	RunningOld int           // requests that run on targets of other versions
	Outcomes   []Outcomes
}

// Targets describes the targets of the service that can be used now.
type Targets struct {
	// New lists the IDs of usable targets of the new version, Old is the number of those of other versions.
	New []string
	Old int
	// Listed reports whether the platform's list has any target of another version, usable or not.
	OldListed bool
}
