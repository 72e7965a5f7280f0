package api

import (
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/routing"
)

// Dialect translates between this program and the platform of a fleet with the
// profile "routes": header names, paths and document formats. It decides nothing.
type Dialect interface {
	// Caller reads what a caller says about its request.
	Caller(h *fasthttp.RequestHeader) (CallerFields, error)
	// Forward sets what this program says to a target and removes what a caller
	// must not say to it.
	Forward(h *fasthttp.RequestHeader, f TargetFields)
	// Answer reads what a target says in the head of its answer.
	Answer(h *fasthttp.ResponseHeader) AnswerFields
	// Refuse sets the advice of a refusal.
	Refuse(h *fasthttp.ResponseHeader, requestID string, retryAfter time.Duration)
	// Document reads a configuration. The error tells why it is invalid.
	Document(raw []byte) (*routing.Table, error)
	// DirectoryPath returns the path of a page of the list of targets; token is
	// "" for the first page.
	DirectoryPath(token string) string
	// DirectoryPage reads a page of the list of targets. Entries that cannot be
	// read are left out and counted.
	DirectoryPage(raw []byte) (DirectoryPage, error)
	// Order reads an operator's call.
	Order(method, path string) (Order, bool)
	// ReadyPath is the path at which the balancer asks for readiness.
	ReadyPath() string
}

// PromptPart is one part of a prompt. Requests with equal parts before it share it.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallerFields is what a caller says about its request.
type CallerFields struct {
	ID  string // of this attempt of the caller; "" if absent
	Key string // of the workspace; "" if absent
	// Deadline is how long the caller waits; 0 = not said.
	Deadline time.Duration
	// After is the number of the last event that the caller has, or "".
	After string
	Model string
	// PromptTokens and OutputTokens are the prompt's length and the most that may
	// be generated.
	PromptTokens, OutputTokens int
	// OutputHint is the caller's guess of the tokens generated; 0 = none.
	OutputHint int
	Prompt     []PromptPart
}

// TargetFields is what this program says to a target.
type TargetFields struct {
	Workspace string // "" on public routes without a key
	// Deadline is how long the target may work.
	Deadline time.Duration
	// Target is the identity that must answer.
	Target string
	// After resumes a stream after the event with this number; "" keeps what the
	// caller said.
	After string
}

// AnswerFields is what a target says in the head of its answer.
type AnswerFields struct {
	ID     string // of the request
	Signed bool   // the answer bears a signature
	// NotRun reports the promise that the request was not and will not be run.
	NotRun bool
	// OtherTarget reports that another target than the expected one answered.
	OtherTarget bool
	// ColdFor is how long the target stays cold; 0 = not said.
	ColdFor time.Duration
	// IdleLimit is how long the target keeps an idle connection; 0 = not said.
	IdleLimit time.Duration
}

// DirectoryEntry is one target in the platform's list.
type DirectoryEntry struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int
	Leaving    bool
	// ColdFor is how long the target stays cold from the time of the answer on.
	ColdFor time.Duration
	// BornMs is the start of the target in milliseconds of the Unix time; 0 if
	// not said. Another value under the same ID is another life.
	BornMs int64
}

// DirectoryPage is one page of the list of targets.
type DirectoryPage struct {
	Entries    []DirectoryEntry
	Unreadable int    // entries left out
	Next       string // token of the next page; "" on the last one
}

// OrderKind tells what an operator asks for.
type OrderKind uint8

// Kinds of orders.
const (
	OrderReplace OrderKind = iota + 1 // replace the configuration
	OrderRead                         // read the configuration
	OrderOut                          // take a data centre out of service
	OrderBack                         // bring it back
)

// Order is an operator's call.
type Order struct {
	Kind       OrderKind
	DataCentre string // of OrderOut and OrderBack
}
