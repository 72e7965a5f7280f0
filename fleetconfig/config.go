// Package fleetconfig defines the configuration document of a fleet: its types,
// their units, validation, a canonical form and the difference of two documents.
//
// Operators print the document with package operator, review it and submit it
// with nutmegctl apply. A committed document is never changed in place.
package fleetconfig

// Kind is the kind of a pool's targets.
type Kind string

// Kinds of targets.
const (
	KindEngine  Kind = "engine"  // model engine: streams, load reports, orders
	KindService Kind = "service" // plain service
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
	// WeightLoadsPerMinute is the rate at which the weight store serves loads
	// to the whole fleet; 0 = 30.
	WeightLoadsPerMinute int `json:"weight_loads_per_minute,omitempty"`
}

// DataCentre is a place with targets and instances.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Workspace is a tenant.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the share of a backlogged workspace against others; > 0.
	Weight float64 `json:"weight"`
	// KeyHashes are the SHA-256 hashes, in lower-case hex, of the bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// QueueLimit bounds the waiting requests per router and pool; 0 = the pool's.
	QueueLimit int `json:"queue_limit,omitempty"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name  string `json:"name"`
	Kind  Kind   `json:"kind"`
	Model string `json:"model,omitempty"` // model served by engines
	// Version of the model's weights.
	Version string `json:"version,omitempty"`
	// QueueLimit bounds the waiting requests per workspace and router; 0 = 256.
	QueueLimit int `json:"queue_limit,omitempty"`
	// Idempotent marks POST and PATCH calls of a plain service as repeatable.
	Idempotent bool `json:"idempotent,omitempty"`
	// RequestLimitMs bounds the whole time of a request on a target; 0 = 600000.
	RequestLimitMs int `json:"request_limit_ms,omitempty"`
	// SilenceLimitMs bounds the gap between two reads from a target; 0 = 5000.
	SilenceLimitMs int `json:"silence_limit_ms,omitempty"`
	// EvidenceLifeMs is how long evidence of warmth lasts; 0 = 10000.
	EvidenceLifeMs int `json:"evidence_life_ms,omitempty"`
	// ReportLagMs is the largest lag of a load report; 0 = 2000.
	ReportLagMs int `json:"report_lag_ms,omitempty"`
}

// Target is a back end.
type Target struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // IP:port
	// WarmCapacity and ColdCapacity are concurrent requests.
	WarmCapacity int `json:"warm_capacity"`
	ColdCapacity int `json:"cold_capacity"`
	// ChecksFence reports that the target refuses orders with an old number.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Move is a planned move of a data centre out of service and back.
type Move struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	OutAt      string `json:"out_at"`            // RFC 3339
	BackAt     string `json:"back_at,omitempty"` // RFC 3339
}
