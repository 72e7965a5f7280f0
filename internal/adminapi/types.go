// Package adminapi defines the HTTP interface for operators: paths, typed
// answers and a client. Times are Unix milliseconds unless a field says
// otherwise. An error answer has a body of type Error.
package adminapi

import (
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
)

// Paths of the interface.
const (
	PathLive    = "/live"
	PathReady   = "/ready"
	PathMetrics = "/metrics"
	PathStatus  = "/v1/status"   // GET, Status
	PathView    = "/v1/view"     // GET, api.View
	PathHistory = "/v1/history"  // GET ?limit=N, []api.HistoryEntry
	PathChanges = "/v1/changes"  // POST api.Submission, api.SubmitResult
	PathInForce = "/v1/in-force" // GET ?revision=N, InForce
	// PathProfiles is the prefix of the runtime's profiles.
	PathProfiles = "/debug/pprof/"
	PathEvents   = "/v1/events" // GET with the fields of Filter, Timeline
)

// MaxChangeBytes bounds the body of a submission.
const MaxChangeBytes = 16 << 20

// Error is the body of an error answer.
type Error struct {
	Step    string `json:"step"`
	Peer    string `json:"peer,omitempty"`
	Message string `json:"message"`
}

// Status describes one instance and what it knows of the others.
type Status struct {
	Instance   string            `json:"instance"`
	DataCentre string            `json:"data_centre"`
	Ready      bool              `json:"ready"`
	NotReady   string            `json:"not_ready,omitempty"` // reason if not ready
	Lease      bool              `json:"lease"`
	Revision   uint64            `json:"revision"`
	Out        []string          `json:"out,omitempty"`
	Pools      []PoolStatus      `json:"pools,omitempty"`
	Peers      []PeerStatus      `json:"peers,omitempty"`
	Control    api.ControlStatus `json:"control"`
}

// PoolStatus names the owner of a pool.
type PoolStatus struct {
	Pool  string `json:"pool"`
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
}

// PeerStatus is what this instance knows of another.
type PeerStatus struct {
	Instance  string `json:"instance"`
	Reachable bool   `json:"reachable"`
	MayLease  bool   `json:"may_hold_lease"`
	Revision  uint64 `json:"revision"`
}

// InForce tells whether a revision is in force on every instance that may
// dispatch work.
type InForce struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// Waiting names the instances that may hold a lease and have not reported
	// the revision.
	Waiting []string `json:"waiting,omitempty"`
}

// Filter selects events. Empty fields select all.
type Filter struct {
	SinceMs   int64  `json:"since_ms,omitempty"`
	UntilMs   int64  `json:"until_ms,omitempty"`
	Kind      string `json:"kind,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Target    string `json:"target,omitempty"`
	Request   string `json:"request,omitempty"`
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e kernel.Event) bool {
	same := func(want, got string) bool { return want == "" || want == got }
	return (f.SinceMs == 0 || e.Stamp.UnixMs >= f.SinceMs) &&
		(f.UntilMs == 0 || e.Stamp.UnixMs <= f.UntilMs) &&
		same(f.Kind, e.Kind) && same(f.Workspace, e.Workspace) &&
		same(f.Target, e.Target) && same(f.Request, e.Request)
}

// InstanceEvents are the selected events of one instance.
type InstanceEvents struct {
	Instance string         `json:"instance"`
	Events   []kernel.Event `json:"events"`
	// Dropped counts events that were overwritten in the bounded ring.
	Dropped uint64 `json:"dropped"`
}

// Timeline merges the events of all instances in causal order.
type Timeline struct {
	Events []kernel.Event `json:"events"`
	// Missing names the instances that did not answer.
	Missing []string `json:"missing,omitempty"`
	// Dropped counts, per instance, the events that were overwritten.
	Dropped map[string]uint64 `json:"dropped,omitempty"`
}
