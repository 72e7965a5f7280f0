package routing

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Kind says how requests of a route may be retried and how they are answered.
type Kind uint8

// Kinds of routes.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once per request of a caller
	Streaming                     // the response is a stream of numbered events
)

// String returns the name of the kind in logs.
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

// Route assigns the requests for a host and path prefix to services.
type Route struct {
	Name       string
	Host       string // lower case, without port
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the end of the response.
	Timeout time.Duration
	// Objective is the latency objective for the whole response, or for the first
	// event of a stream.
	Objective time.Duration
	// GapObjective is the latency objective for the gap between two events of a
	// stream.
	GapObjective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	Split    []WeightedService // services of the route, by weight
	// MaxAttempts is the largest number of attempts for one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Sticky routes carry prompts whose parts targets keep in their prompt caches.
	Sticky bool
	// Resumable streams can continue on another target after the last received event.
	Resumable bool
}

// Retryable reports whether a request may be retried although a target may have run
// it.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// WeightedService is the weight of one service among the services of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from all
	// instances together; 0 = unknown.
	MaxConnections int
	// ColdDuration is how long a target stays cold after its start.
	ColdDuration time.Duration
	// ColdPerSecond is the number of requests a second that a cold target can serve;
	// 0 = no limit.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that a target runs concurrently.
	Slots int
	// CacheTokens is the memory of a target for running requests and its prompt
	// cache, in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CanMove reports whether a running request can move to another target.
	CanMove bool
	// CanBackUp reports whether the memory of a running request can be copied while it
	// grows.
	CanBackUp bool
	// BackupTTL is how long the copy of a running request's memory is kept.
	BackupTTL time.Duration
	// CachedTokenBytes is the size of a cached token in bytes, LinkMbps the rate of a target's
	// link in megabits per second; 0 = unknown.
	CachedTokenBytes, LinkMbps float64
}

// CanFetch reports whether a target can fetch cached prompt parts from another one, and the time
// that it takes is known.
func (e *Engine) CanFetch() bool { return e.CanMove && e.CachedTokenBytes > 0 && e.LinkMbps > 0 }

// CallerLimits limits the size of a caller's request, in bytes, and how long the caller
// may take to send its header or keep a connection idle.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHash is the SHA-256 hash of a workspace's API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Workspace is a tenant with its API keys.
type Workspace struct {
	Name     string
	Keys     []KeyHash
	Priority int
}

// Table is one version of the routing configuration.
type Table struct {
	Version uint64
	Routes  []Route
	// Services maps names to services.
	Services   map[string]*Service
	Workspaces []Workspace
	// Open is set if the configuration has no list of workspaces: no route needs a key. An empty list
	// leaves Open unset, and then only public routes serve requests.
	Open    bool
	Callers CallerLimits
	// TokensPerSecond is the throughput of all engines together. A prompt token counts
	// once, a generated token twice.
	TokensPerSecond float64

	routesByHost    map[string][]*Route // longest prefix first
	workspacesByKey map[KeyHash]*Workspace
}

// Resolve returns the route with the longest matching path prefix for the host, or nil.
// path is the raw path without the query.
func (t *Table) Resolve(host, path string) *Route {
	for _, r := range t.routesByHost[NormalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace with the given API key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspacesByKey[HashKey(key)] }

// Access says which keys a table accepts.
type Access string

// Kinds of access.
const (
	AccessOpen   Access = "open"   // no route needs a key
	AccessByKey  Access = "keys"   // routes that are not public need the key of a workspace
	AccessClosed Access = "closed" // no workspace has a key, so only public routes serve requests
)

// Access returns which keys the table accepts.
func (t *Table) Access() Access {
	keys := len(t.workspacesByKey)
	if t.Workspace("") != nil {
		keys-- // an empty key is the same as none
	}
	switch {
	case t.Open:
		return AccessOpen
	case keys > 0:
		return AccessByKey
	}
	return AccessClosed
}

// NormalHost returns the host in lower case and without a port.
func NormalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Choose returns the service for a request, in proportion to the weights. uniform is a
// uniformly distributed number in [0, 1).
func (r *Route) Choose(uniform float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := uniform * total
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
