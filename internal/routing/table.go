package routing

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once for each attempt of a caller
	Streaming                     // answered by a stream of numbered events
)

// String returns the kind as it stands in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name       string
	Host       string // lower case, without port
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the whole answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// is on time.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream on time.
	GapObjective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts is the number of targets to which one request may be sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky routes carry prompts whose parts targets keep.
	Sticky bool
	// Resumable streams may go on at another target after the last event.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one target accepts from all instances together; 0 = unknown.
	MaxConnections int
	// ColdFor is how long a target is cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests a second that a cold target bears; 0 = no bound.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once on a target.
	Slots int
	// CacheTokens is the memory of a target for running requests and kept prompts.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// Moves reports that running requests can move to another target.
	Moves bool
	// Backups reports that the memory of a run can be copied while it grows.
	Backups bool
	// HandleLife is how long a copy of a run's memory is kept.
	HandleLife time.Duration
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHash is the SHA-256 hash of a workspace's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is known.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Workspace is a tenant.
type Workspace struct {
	Name     string
	Keys     []KeyHash
	Priority int
}

// Table is one version of the routes, services and workspaces.
type Table struct {
	Version uint64
	Routes  []Route
	// Services holds the services by name.
	Services   map[string]*Service
	Workspaces []Workspace
	Callers    CallerLimits
	// TokensPerSecond is what the engines produce together: a token read counts
	// once, a token generated twice.
	TokensPerSecond float64

	hosts map[string][]*Route // longest prefix first
	keys  map[KeyHash]*Workspace
}

// Resolve returns the route of a request, or nil. Path is the raw path without
// the query.
func (t *Table) Resolve(host, path string) *Route {
	for _, r := range t.hosts[NormalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[HashKey(key)] }

// NormalHost returns a host in lower case without its port.
func NormalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Choose returns the service for a request, for a number uniform in [0, 1).
func (r *Route) Choose(uniform float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := uniform * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
