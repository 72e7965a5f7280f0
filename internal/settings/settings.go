// Package settings parses and validates the settings file of one instance, which is
// JSON with comments. Unknown fields are errors. All errors are reported at once,
// each with file, line and field.
package settings

import (
	"time"
)

// Settings are the settings of one instance.
type Settings struct {
	// Profile selects the parts of the daemon: "pools" (the default) or "routes".
	Profile string `json:"profile,omitempty"`
	// Instance is the unique name of this instance.
	Instance string `json:"instance"`
	// DataCentre is the data centre in which the instance runs.
	DataCentre string `json:"dataCentre"`
	// Listen is the IP:port for callers; empty on control instances.
	Listen string `json:"listen"`
	// Admin is the IP:port for operators.
	Admin string `json:"admin"`
	// Mesh is the IP:port for other instances.
	Mesh string `json:"mesh"`
	// MeshListen is the IP:port on which to listen for other instances; empty = Mesh.
	MeshListen string `json:"meshListen,omitempty"`
	// Peers lists all instances of the fleet, this one included.
	Peers []Peer `json:"peers,omitempty"`
	// DataDir is the directory for durable state; empty on instances without a disk.
	DataDir string `json:"dataDir,omitempty"`
	// PlatformList is the URL of the platform's instance list; empty = none.
	PlatformList string `json:"platformList,omitempty"`
	// WeightStore is the base URL of the weight store; empty = none.
	WeightStore string `json:"weightStore,omitempty"`
	// Limits bound the use of memory and time.
	Limits Limits `json:"limits"`
	// Routes holds the settings that apply only to the profile "routes".
	Routes Routes `json:"routes,omitzero"`
}

// Profiles.
const (
	// ProfilePools routes requests by pool. Peers are listed in the settings, targets
	// in the configuration document.
	ProfilePools = "pools"
	// ProfileRoutes routes requests by host and path. Instances and targets are
	// discovered.
	ProfileRoutes = "routes"
)

// IsRoutes reports whether the profile is "routes".
func (s *Settings) IsRoutes() bool { return s.Profile == ProfileRoutes }

// MeshName returns the name of this instance in the mesh. Control instances of the
// profile "routes" are named by their mesh address, so that the replicated
// membership contains their addresses.
func (s *Settings) MeshName() string {
	if s.IsRoutes() && s.DataDir != "" {
		return s.Mesh
	}
	return s.Instance
}

// MeshBind returns the IP:port on which this instance listens for others.
func (s *Settings) MeshBind() string {
	if s.MeshListen != "" {
		return s.MeshListen
	}
	return s.Mesh
}

// ServesCallers reports whether this instance accepts requests of callers.
func (s *Settings) ServesCallers() bool { return s.Listen != "" }

// Peer is one instance of the fleet as seen from this one.
type Peer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	// Mesh is the IP:port at which this instance reaches the peer.
	Mesh string `json:"mesh"`
	// HasDisk reports that the peer has a disk and so a control replica.
	HasDisk bool `json:"disk,omitempty"`
}

// Limits bound the use of memory and time. Zero values mean the defaults.
type Limits struct {
	// MaxBodyBytes bounds a request body; 0 = 16 MiB.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
	// MaxWaiting bounds the queued requests of all workspaces; 0 = 8192.
	MaxWaiting int `json:"maxWaiting,omitempty"`
	// StopGraceMs is how long the listener accepts connections after SIGTERM;
	// 0 = 3000.
	StopGraceMs int `json:"stopGraceMs,omitempty"`
	// StopLimitMs is the timeout of a planned stop; 0 = 120000.
	StopLimitMs int `json:"stopLimitMs,omitempty"`
	// Events is the capacity of the event buffer, in events; 0 = 4096.
	Events int `json:"events,omitempty"`
}

// Defaults of the limits.
const (
	DefaultMaxBodyBytes = 16 << 20 // bytes
	DefaultMaxWaiting   = 8192     // requests
	DefaultStopGrace    = 3 * time.Second
	DefaultStopLimit    = 120 * time.Second
)

// MaxBodyBytes returns the bound on a request body in bytes.
func (s *Settings) MaxBodyBytes() int {
	return intOrDefault(s.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
}

// MaxWaiting returns the bound on the queued requests of all workspaces.
func (s *Settings) MaxWaiting() int { return intOrDefault(s.Limits.MaxWaiting, DefaultMaxWaiting) }

// StopGrace returns how long the listener accepts connections after SIGTERM.
func (s *Settings) StopGrace() time.Duration {
	return msOrDefault(s.Limits.StopGraceMs, DefaultStopGrace)
}

// StopLimit returns the timeout of a planned stop.
func (s *Settings) StopLimit() time.Duration {
	return msOrDefault(s.Limits.StopLimitMs, DefaultStopLimit)
}

// Replicas returns the names of the instances with a control replica, which are those
// with a disk.
func (s *Settings) Replicas() []string {
	var out []string
	for _, p := range s.Peers {
		if p.HasDisk {
			out = append(out, p.Instance)
		}
	}
	return out
}

func intOrDefault(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}

func msOrDefault(ms int, fallback time.Duration) time.Duration {
	if ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return fallback
}
