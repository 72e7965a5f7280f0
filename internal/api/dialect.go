package api

import (
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/routing"
)

// Dialect translates between the types of this program and the HTTP headers,
// paths and document formats of the platform. It is used with the profile
// "routes" and only translates; decisions are made by its users.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request. The error names an
	// invalid header.
	ParseRequest(h *fasthttp.RequestHeader) (CallerFields, error)
	// CallerTimeout returns the field Timeout of ParseRequest alone; 0 if it is malformed.
	CallerTimeout(h *fasthttp.RequestHeader) time.Duration
	// SetTargetHeaders sets the headers of a request to a target and removes those
	// that a caller must not set.
	SetTargetHeaders(h *fasthttp.RequestHeader, f TargetFields)
	// ParseResponse reads the response header of a target.
	ParseResponse(h *fasthttp.ResponseHeader) ResponseFields
	// SetRefusalHeaders sets the request id and the retry advice in the response
	// header of a refusal. An empty id and a zero duration are left out.
	SetRefusalHeaders(h *fasthttp.ResponseHeader, requestID string, retryAfter time.Duration)
	// ParseConfig parses a configuration. The error says why it is invalid.
	ParseConfig(raw []byte) (*routing.Table, error)
	// DirectoryPath returns the path of a page of the list of targets; token is
	// "" for the first page.
	DirectoryPath(token string) string
	// ParseDirectoryPage parses a page of the list of targets. Entries that cannot
	// be parsed are left out and counted.
	ParseDirectoryPage(raw []byte) (DirectoryPage, error)
	// ParseOrder returns the order that an operator's HTTP call stands for; false
	// if there is none with this method and path.
	ParseOrder(method, path string) (Order, bool)
	// ParseRolloutOrder parses the body of an order to start a rollout. The error says what is invalid.
	ParseRolloutOrder(body []byte) (RolloutChange, error)
	// FormatRollout returns the response to a read of the state of a rollout, in JSON.
	FormatRollout(r Rollout) []byte
	// ReadyPath returns the path of the load balancer's readiness check.
	ReadyPath() string
}

// PromptPart is one part of a prompt. Two requests share a part in the prompt
// cache only if all parts before it are equal, too.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallerFields are the fields in the headers of a caller's request.
type CallerFields struct {
	RequestID string // identity of this attempt of the caller; "" = absent
	BearerKey string // bearer key of the workspace; "" = absent
	// Timeout is how long the caller waits; 0 = absent.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller has received; "" =
	// absent.
	LastEventID string
	Model       string
	// PromptTokens is the length of the prompt, MaxOutputTokens the largest number
	// of tokens that may be generated.
	PromptTokens, MaxOutputTokens int
	// OutputTokensHint is the caller's estimate of the tokens generated; 0 =
	// absent.
	OutputTokensHint int
	Prompt           []PromptPart
}

// TargetFields are the fields in the headers of a request to a target.
type TargetFields struct {
	Workspace string // "" on public routes without a key
	// Timeout is how long the target may work on the request.
	Timeout time.Duration
	// ExpectedTarget is the identity of the target that must respond. A target
	// with another identity refuses the request.
	ExpectedTarget string
	// LastEventID is the id of the event after which a stream resumes; "" keeps
	// the caller's header.
	LastEventID string
	// FetchFrom is the IP:port of a target from which this one fetches the parts of the prompt that it has
	// not cached; "" = it reads them itself.
	FetchFrom string
}

// ResponseFields are the fields in the response header of a target.
type ResponseFields struct {
	RequestID string // request id
	Signed    bool   // the response has a signature
	// NotRun reports that the target guarantees that the request was not run and
	// will not be.
	NotRun bool
	// WrongTarget reports that the response is from another target than the
	// expected one.
	WrongTarget bool
	// ColdRemaining is how long the target stays cold; 0 = absent.
	ColdRemaining time.Duration
	// IdleTimeout is how long the target keeps an idle connection open; 0 =
	// absent.
	IdleTimeout time.Duration
	Notice      TargetNotice
	// InvalidPause reports that the target asks for a pause whose length cannot be read,
	// InvalidRateLimit that it names a rate limit that cannot be read.
	InvalidPause, InvalidRateLimit bool
}

// DirectoryEntry is one target in the platform's list.
type DirectoryEntry struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCentre string
	Version    string // of its software
	Slots      int    // concurrent requests
	Leaving    bool   // about to be removed; must not be sent new requests
	// ColdRemaining is how long the target stays cold, counted from the time of
	// the response.
	ColdRemaining time.Duration
	// StartedUnixMs is the start time of the target in Unix milliseconds; 0 =
	// absent. It identifies the incarnation: another value under the same ID means
	// that the target was restarted.
	StartedUnixMs int64
}

// DirectoryPage is one page of the list of targets.
type DirectoryPage struct {
	Entries           []DirectoryEntry
	UnreadableEntries int    // number of entries that could not be parsed
	NextToken         string // token of the next page; "" on the last one
}

// OrderKind is the kind of an operator's order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderReplace      OrderKind = iota + 1 // replace the configuration
	OrderRead                              // read the configuration
	OrderTakeOut                           // take a data centre out of service
	OrderBringBack                         // bring a data centre back into service
	OrderStartRollout                      // move a service to a new version
	OrderReadRollout                       // read the state of a service's newest rollout
)

// Order is an operator's order, parsed from an HTTP call.
type Order struct {
	Kind       OrderKind
	DataCentre string // set for OrderTakeOut and OrderBringBack
	Service    string // set for OrderReadRollout
}
