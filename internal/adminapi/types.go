// Package adminapi defines the HTTP API for operators (paths, request and response
// types) and a client for it. Times are Unix milliseconds unless a field says
// otherwise. An error response has a body of type Error.
package adminapi

import (
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/routing"
)

// Paths of the API, with the method, parameters and types of request and response.
const (
	PathLive    = "/live"        // GET, text; 200 while the process runs
	PathReady   = "/ready"       // GET, text; 200 if callers may be sent to the instance, else 503
	PathMetrics = "/metrics"     // GET, text in the Prometheus format
	PathStatus  = "/v1/status"   // GET, Status
	PathView    = "/v1/view"     // GET, api.View
	PathHistory = "/v1/history"  // GET ?limit=N, []api.HistoryEntry
	PathChanges = "/v1/changes"  // POST api.Submission, api.SubmitResult
	PathInForce = "/v1/in-force" // GET ?revision=N, InForce
	// PathProfiles is the prefix of the paths of the Go runtime's profiles.
	PathProfiles = "/debug/pprof/"
	PathEvents   = "/v1/events" // GET with the fields of Filter, Timeline
)

// MaxChangeBytes bounds the request body of PathChanges, in bytes.
const MaxChangeBytes = 16 << 20

// Error is the body of an error response.
type Error struct {
	Step    string `json:"step"`           // processing step that failed
	Peer    string `json:"peer,omitempty"` // instance or target involved
	Message string `json:"message"`
}

// Status is the state of one instance and the state of its peers as known to it.
type Status struct {
	Instance   string   `json:"instance"`
	DataCentre string   `json:"data_centre"`
	Ready      bool     `json:"ready"`
	NotReady   string   `json:"not_ready,omitempty"` // reason if not ready
	LeaseValid bool     `json:"lease"`               // the instance lease is valid
	Revision   uint64   `json:"revision"`            // of the view in force
	Out        []string `json:"out,omitempty"`       // data centres out of service
	// Access says which keys the configuration in force accepts: "open", "keys" or "closed"; "" without a
	// configuration, or if it is not readable. It is set with the profile "routes" only.
	Access  routing.Access    `json:"access,omitempty"`
	Pools   []PoolStatus      `json:"pools,omitempty"`
	Peers   []PeerStatus      `json:"peers,omitempty"`
	Control api.ControlStatus `json:"control"`
}

// PoolStatus is the owner of a pool as known to an instance.
type PoolStatus struct {
	Pool  string `json:"pool"`
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"` // of the ownership
}

// PeerStatus is the state of a peer as known to an instance.
type PeerStatus struct {
	Instance     string `json:"instance"`
	Reachable    bool   `json:"reachable"`      // a direct or relayed path is known
	MayHoldLease bool   `json:"may_hold_lease"` // may have a valid instance lease
	Revision     uint64 `json:"revision"`       // newest view revision that it has reported
}

// InForce reports whether a revision is in force on every instance that may
// dispatch work. With the profile "routes" it covers only the responding instance.
type InForce struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// WaitingInstances names the responding instance if it has an older view, and the
	// peers that may have a valid lease but have not reported the revision.
	WaitingInstances []string `json:"waiting,omitempty"`
}

// Filter selects events that match all non-empty fields. SinceMs and UntilMs are
// inclusive; 0 means no bound.
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
	matches := func(want, got string) bool { return want == "" || want == got }
	return (f.SinceMs == 0 || e.Stamp.UnixMs >= f.SinceMs) &&
		(f.UntilMs == 0 || e.Stamp.UnixMs <= f.UntilMs) &&
		matches(f.Kind, e.Kind) && matches(f.Workspace, e.Workspace) &&
		matches(f.Target, e.Target) && matches(f.Request, e.RequestID)
}

// InstanceEvents are the selected events of one instance.
type InstanceEvents struct {
	Instance string         `json:"instance"`
	Events   []kernel.Event `json:"events"`
	// Dropped counts the events that were overwritten in the instance's buffer.
	Dropped uint64 `json:"dropped"`
}

// Timeline holds the events of all instances in causal order.
type Timeline struct {
	Events []kernel.Event `json:"events"`
	// Missing names the instances that did not respond.
	Missing []string `json:"missing,omitempty"`
	// Dropped counts, per instance, the events that were overwritten.
	Dropped map[string]uint64 `json:"dropped,omitempty"`
}
