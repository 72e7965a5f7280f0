// Package fleetconfig defines the configuration document of a fleet: its schema,
// defaults, validation, canonical form and diff.
//
// Operators print the document with package operator, review it and submit it
// with nutmegctl apply. A committed document is never changed in place.
package fleetconfig

// Kind is the kind of a pool's targets.
type Kind string

// Kinds of targets.
const (
	KindEngine  Kind = "engine"  // model engine, with streams, load reports and orders
	KindService Kind = "service" // plain HTTP service
)

// Config is the whole configuration document.
type Config struct {
	// Fleet names the fleet.
	Fleet       string       `json:"fleet"`
	DataCentres []DataCentre `json:"data_centres"`
	Workspaces  []Workspace  `json:"workspaces"`
	Pools       []Pool       `json:"pools"`
	Targets     []Target     `json:"targets"`
	Moves       []Move       `json:"moves,omitempty"`
	// WeightLoadsPerMinute is how many loads of model weights the weight store can
	// serve to the whole fleet in a minute; 0 = 30.
	WeightLoadsPerMinute int `json:"weight_loads_per_minute,omitempty"`
}

// DataCentre is a data centre that hosts targets and instances.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Workspace is a tenant.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the workspace's weight in fair sharing among workspaces with a
	// backlog; > 0.
	Weight float64 `json:"weight"`
	// KeyHashes are the SHA-256 hashes, in lower-case hex, of the bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// QueueLimit bounds the queued requests per instance and pool; 0 = the pool's.
	QueueLimit int `json:"queue_limit,omitempty"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name  string `json:"name"`
	Kind  Kind   `json:"kind"`
	Model string `json:"model,omitempty"` // model served by engines
	// Version is the version of the model's weights.
	Version string `json:"version,omitempty"`
	// QueueLimit bounds the queued requests per workspace and instance; 0 = 256.
	QueueLimit int `json:"queue_limit,omitempty"`
	// Idempotent marks POST and PATCH requests to a plain service as safe to retry.
	Idempotent bool `json:"idempotent,omitempty"`
	// RequestLimitMs is the timeout of a whole request on a target; 0 = 600000.
	RequestLimitMs int `json:"request_limit_ms,omitempty"`
	// SilenceLimitMs is the timeout of one read from a target; 0 = 5000.
	SilenceLimitMs int `json:"silence_limit_ms,omitempty"`
	// EvidenceLifeMs is how long a target counts as warm after the last evidence of
	// it; 0 = 10000.
	EvidenceLifeMs int `json:"evidence_life_ms,omitempty"`
	// ReportLagMs is the largest age of the content of a load report; 0 = 2000.
	ReportLagMs int `json:"report_lag_ms,omitempty"`
}

// Target is a back end of a pool.
type Target struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // IP:port
	// WarmCapacity and ColdCapacity are the numbers of concurrent requests that the
	// target can serve when warm and when cold. Both are at least 1, and ColdCapacity
	// is at most WarmCapacity.
	WarmCapacity int `json:"warm_capacity"`
	ColdCapacity int `json:"cold_capacity"`
	// ChecksFence reports that the target refuses orders with an outdated fencing
	// token.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Move is a scheduled maintenance window of a data centre: it is out of service
// from OutAt to BackAt, or until an operator brings it back if BackAt is "".
type Move struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	OutAt      string `json:"out_at"`            // RFC 3339
	BackAt     string `json:"back_at,omitempty"` // RFC 3339
}
