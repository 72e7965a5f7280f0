package api

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/routing"
)

// Target is one target in the directory.
type Target struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCentre string
	Version    string // of its software
	Slots      int    // concurrent requests
	Leaving    bool   // about to be removed; must not be sent new requests
	// ColdUntil is the end of the cold start on the kernel clock; 0 = warm.
	ColdUntil time.Duration
	// StartedUnixMs is the start time of the target in Unix milliseconds, which
	// identifies the incarnation of the target under its ID; 0 = unknown.
	StartedUnixMs int64
}

// Directory lists the targets that the platform runs.
type Directory interface {
	// Targets returns all targets in the list, including those that are leaving.
	// The slice is shared and must not be changed.
	Targets() []Target
	// Target returns the target with the ID; false if it is not in the list.
	Target(id string) (Target, bool)
	// Loaded reports whether a list has been received.
	Loaded() bool
	// OnChange registers a function that is called after the list has changed. It
	// must not block. Register from Provision.
	OnChange(f func())
}

// PlacementRequest describes a request that needs a target.
type PlacementRequest struct {
	RequestID string
	Workspace string // "" on public routes
	Route     *routing.Route
	Service   string
	Engine    *routing.Engine // nil for plain services
	// ColdPerSecond is routing.Service.ColdPerSecond.
	ColdPerSecond float64
	// PromptTokens, ExpectedOutputTokens and Prompt describe a model request; zero
	// otherwise. ExpectedOutputTokens is not the upper bound.
	PromptTokens, ExpectedOutputTokens int
	Prompt                             []PromptPart
	// Objective is when the response, or the first event of a stream, is due.
	// Deadline is when the response becomes useless. Both are on the kernel clock.
	Objective, Deadline time.Duration
	// CallerDeadline is when the caller stops waiting, on the kernel clock; 0 = it has
	// not stated it. The route may set an earlier Deadline.
	CallerDeadline time.Duration
	// TriedTargets lists the IDs of the targets to which the request was already
	// sent.
	TriedTargets []string
	// Identity relates the request to its repeats; nil = not known.
	Identity *RequestIdentity
	// Resumed reports that a broken stream is resumed; the caller has already
	// received its beginning.
	Resumed bool
}

// Placement is a target on which a request may start now.
type Placement interface {
	// Target returns the target.
	Target() Target
	// FetchFrom returns the IP:port of the target from which the target is to fetch parts of the prompt; "" =
	// none.
	FetchFrom() string
	// BeforeSend reports that the first byte of the request is about to be written.
	// It fails if the target must no longer be used; then nothing may be sent.
	BeforeSend() error
	// ResponseStarted reports that the first byte of the response has arrived.
	ResponseStarted()
	// ReportNotice reports what the target has said of itself in its response. It is called for
	// each response, because one that names no rate limit ends the limit.
	ReportNotice(n TargetNotice)
	// ReportEvents reports the number of events received from the target so far.
	ReportEvents(events int)
	// ReportCrash reports, after End, that the target has crashed while it ran the request with a
	// fingerprint.
	ReportCrash(f Fingerprint)
	// End reports the outcome and frees the target. It must be called once.
	End(o AttemptOutcome)
}

// TargetNotice is what a target says of itself in a response, whatever its status.
type TargetNotice struct {
	Leaving bool // it leaves and must not be sent new requests
	// Pause is how long this instance must send it nothing; 0 = no pause.
	Pause     time.Duration
	RateLimit RateLimit
}

// RateLimit is what a response says of the requests per second that its target takes from all
// instances together. The zero value says that it has no limit.
type RateLimit struct {
	Limited   bool
	PerSecond float64 // if Limited
	// Unknown reports that the response says nothing: what was known before still holds.
	Unknown bool
}

// AttemptOutcome is how an attempt on a target ended.
type AttemptOutcome string

// Outcomes of an attempt.
const (
	AttemptServed      AttemptOutcome = "served"      // the whole response was received
	AttemptUnreachable AttemptOutcome = "unreachable" // no connection; nothing was sent
	AttemptUnsent      AttemptOutcome = "unsent"      // abandoned before the first byte was sent
	AttemptTargetFull  AttemptOutcome = "full"        // the target refused because it was full
	AttemptPaused      AttemptOutcome = "paused"      // the target refused and asked for a pause
	AttemptWrongTarget AttemptOutcome = "other"       // another target has the address
	AttemptFailed      AttemptOutcome = "failed"      // the target returned an error response
	AttemptIncomplete  AttemptOutcome = "broken"      // no response, or an incomplete one
	AttemptTimedOut    AttemptOutcome = "late"        // the target missed the deadline
	AttemptCancelled   AttemptOutcome = "cancelled"   // the caller disconnected
)

// Placer finds targets for requests.
type Placer interface {
	// Precheck refuses a request of an overloaded workspace, which sends far more
	// than its share to this instance; nil = not refused.
	Precheck(w *PlacementRequest) *Refusal
	// ReportShed reports a request that this instance shed for lack of its own
	// resources, so that its workspace's demand is counted in the shares.
	ReportShed(w *PlacementRequest)
	// RefuseWaiting refuses the model requests that wait in Place, and those that come later. It is
	// used in a planned stop; r must not be modified afterwards.
	RefuseWaiting(r *Refusal)
	// Place waits until the request may start on a target. The error is a
	// *Refusal or the context's error.
	Place(ctx context.Context, w *PlacementRequest) (Placement, error)
}

// ForwardRequest is a caller's request that has passed the admission checks.
type ForwardRequest struct {
	ID      string
	Route   *routing.Route
	Service string
	Engine  *routing.Engine // nil for plain services
	// ColdPerSecond is routing.Service.ColdPerSecond.
	ColdPerSecond float64
	Workspace     string
	Fields        CallerFields
	// Header is the caller's request header. It is not modified.
	Header *fasthttp.RequestHeader
	Body   []byte
	// PriorWait is a lower bound of the time that the caller has spent on its
	// earlier attempts.
	PriorWait time.Duration
	// ReceivedAt is when the first byte of the request was read, Deadline when the
	// response must be complete. Both are on the kernel clock.
	ReceivedAt, Deadline time.Duration
	// CallerConnected checks the connection itself and reports whether the caller
	// is still connected. Its result is right even if the goroutine that watches
	// the connection has not been scheduled yet. nil = not known.
	CallerConnected func() bool
}

// ForwardResponse is the response of a target.
type ForwardResponse interface {
	// Header returns the target's status and headers. It is valid until Close.
	Header() *fasthttp.ResponseHeader
	// CompleteBody returns the body if it is already complete; false if it must be
	// read with Read while it arrives.
	CompleteBody() ([]byte, bool)
	// Read reads the body. It returns io.EOF only after the whole body; any other
	// error means that the response is incomplete.
	Read(p []byte) (int, error)
	// Close cancels the work on the target if the response was not read to its end.
	Close() error
}

// Forwarder sends requests to targets.
type Forwarder interface {
	// Precheck refuses a request of an overloaded workspace, which sends many times
	// its share, before more work is spent on it; nil = not refused. It is cheap.
	Precheck(r *ForwardRequest) *Refusal
	// ReportShed reports a request that the instance shed after Precheck, for lack
	// of its own resources.
	ReportShed(r *ForwardRequest)
	// RefuseWaiting is Placer.RefuseWaiting. A request that an earlier attempt may have run is refused
	// as one whose run state is not known.
	RefuseWaiting(r *Refusal)
	// Forward returns the response once its headers have arrived. The error is a
	// *Refusal, or the context's error after the caller has disconnected.
	Forward(ctx context.Context, r *ForwardRequest) (ForwardResponse, error)
}
