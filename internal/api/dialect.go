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
	// Caller reads the headers of a caller's request. The error names an invalid
	// header.
	Caller(h *fasthttp.RequestHeader) (CallerFields, error)
	// Forward sets the headers of a request to a target and removes those that a
	// caller must not set.
	Forward(h *fasthttp.RequestHeader, f TargetFields)
	// Answer reads the response header of a target.
	Answer(h *fasthttp.ResponseHeader) AnswerFields
	// Refuse sets the request id and the retry advice in the response header of a
	// refusal. An empty id and a zero duration are left out.
	Refuse(h *fasthttp.ResponseHeader, requestID string, retryAfter time.Duration)
	// Document parses a configuration. The error says why it is invalid.
	Document(raw []byte) (*routing.Table, error)
	// DirectoryPath returns the path of a page of the list of targets; token is
	// "" for the first page.
	DirectoryPath(token string) string
	// DirectoryPage parses a page of the list of targets. Entries that cannot be
	// parsed are left out and counted.
	DirectoryPage(raw []byte) (DirectoryPage, error)
	// Order returns the order that an operator's HTTP call stands for; false if
	// there is none with this method and path.
	Order(method, path string) (Order, bool)
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
	ID  string // identity of this attempt of the caller; "" = absent
	Key string // bearer key of the workspace; "" = absent
	// Deadline is how long the caller waits; 0 = absent.
	Deadline time.Duration
	// After is the id of the last event that the caller has received; "" = absent.
	After string
	Model string
	// PromptTokens is the length of the prompt, OutputTokens the largest number of
	// tokens that may be generated.
	PromptTokens, OutputTokens int
	// OutputHint is the caller's estimate of the tokens generated; 0 = absent.
	OutputHint int
	Prompt     []PromptPart
}

// TargetFields are the fields in the headers of a request to a target.
type TargetFields struct {
	Workspace string // "" on public routes without a key
	// Deadline is how long the target may work on the request.
	Deadline time.Duration
	// Target is the identity of the target that must respond. A target with
	// another identity refuses the request.
	Target string
	// After is the id of the event after which a stream resumes; "" keeps the
	// caller's header.
	After string
}

// AnswerFields are the fields in the response header of a target.
type AnswerFields struct {
	ID     string // request id
	Signed bool   // the response has a signature
	// NotRun reports that the target guarantees that the request was not run and
	// will not be.
	NotRun bool
	// OtherTarget reports that the response is from another target than the
	// expected one.
	OtherTarget bool
	// ColdFor is how long the target stays cold; 0 = absent.
	ColdFor time.Duration
	// IdleLimit is how long the target keeps an idle connection open; 0 = absent.
	IdleLimit time.Duration
}

// DirectoryEntry is one target in the platform's list.
type DirectoryEntry struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int  // concurrent requests
	Leaving    bool // about to be removed; must not be sent new requests
	// ColdFor is how long the target stays cold, counted from the time of the
	// response.
	ColdFor time.Duration
	// BornMs is the start time of the target in Unix milliseconds; 0 = absent. It
	// identifies the incarnation: another value under the same ID means that the
	// target was restarted.
	BornMs int64
}

// DirectoryPage is one page of the list of targets.
type DirectoryPage struct {
	Entries    []DirectoryEntry
	Unreadable int    // number of entries that could not be parsed
	Next       string // token of the next page; "" on the last one
}

// OrderKind is the kind of an operator's order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderReplace OrderKind = iota + 1 // replace the configuration
	OrderRead                         // read the configuration
	OrderOut                          // take a data centre out of service
	OrderBack                         // bring a data centre back into service
)

// Order is an operator's order, parsed from an HTTP call.
type Order struct {
	Kind       OrderKind
	DataCentre string // set for OrderOut and OrderBack
}
