package api

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout.
const (
	RolloutRunning    RolloutState = "running"
	RolloutSucceeded  RolloutState = "succeeded"   // all requests go to the new version
	RolloutRolledBack RolloutState = "rolled_back" // all requests go to the versions before
)

// Rollout is the newest rollout of a service: the move of its requests to the targets of a new version.
type Rollout struct {
	Service string `json:"service"`
	Version string `json:"version"` // to which the service moves
	// DurationMs is the time from the start within which it must have ended, in milliseconds.
	DurationMs int64 `json:"duration_ms"`
	// Started is the revision of the view at which it started, which identifies it.
	Started uint64       `json:"started"`
	State   RolloutState `json:"state"`
	// Reason is why it ended, as a code; "" while it runs.
	Reason string `json:"reason,omitempty"`
	// Replaced lists, after it has succeeded, the versions that the new one has replaced.
	Replaced []string `json:"replaced,omitempty"`
}

// Excludes reports whether targets of a version must not be used any more: they are stopped after the
// rollout has ended. While it runs, it excludes none.
func (r *Rollout) Excludes(version string) bool {
	switch r.State {
	case RolloutRolledBack:
		return version == r.Version
	case RolloutSucceeded:
		for _, replaced := range r.Replaced {
			if version == replaced {
				return version != r.Version
			}
		}
	}
	return false
}

// RolloutChange is the part of a Submission that starts or ends a rollout. The other parts must be empty
// but for ChangeID, OnNewestRevision and, for a start, BaseRevision: the revision that Control.ReadRevision
// returned after the start was ordered, by which a start whose message was delayed is recognised.
type RolloutChange struct {
	Service string `json:"service"`
	// Version and DurationMs are set to start a rollout.
	Version    string `json:"version,omitempty"`
	DurationMs int64  `json:"duration_ms,omitempty"`
	// Ends is the Started of the rollout to end; 0 = start one. State, Reason and Replaced are those of
	// Rollout after the end.
	Ends     uint64       `json:"ends,omitempty"`
	State    RolloutState `json:"state,omitempty"`
	Reason   string       `json:"reason,omitempty"`
	Replaced []string     `json:"replaced,omitempty"`
}

// RolloutAccount is what an owner must know of the owners before it while a rollout runs. It is stored in
// the control log beside the view. All its figures only grow.
type RolloutAccount struct {
	Service string `json:"service"`
	Started uint64 `json:"started"` // of the rollout
	// Requests is the number of requests of the service since the start of the rollout.
	Requests uint64 `json:"requests"`
	// Allowed is the number of requests that may have been granted to the new version.
	Allowed uint64 `json:"allowed"`
	// ElapsedMs is the time since the start of the rollout, in milliseconds.
	ElapsedMs int64 `json:"elapsed_ms"`
}
