package api

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/routing"
)

// Target is one target as the instances know it.
type Target struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int
	Leaving    bool
	// ColdUntil is the end of the cold start on the kernel clock; 0 = warm.
	ColdUntil time.Duration
	// BornMs tells apart the lives of a target under one ID; 0 = not said.
	BornMs int64
}

// Directory tells which targets there are.
type Directory interface {
	// Targets returns the targets in the list, also those that leave. The slice
	// is shared and must not be changed.
	Targets() []Target
	// Target returns the target with an ID, if it is in the list.
	Target(id string) (Target, bool)
	// Known reports whether a list was received.
	Known() bool
	// OnChange registers a function called after the list has changed. It must
	// not block. Register from Provision.
	OnChange(f func())
}

// Work describes a request that needs a target.
type Work struct {
	RequestID string
	Workspace string // "" on public routes
	Route     *routing.Route
	Service   string
	Engine    *routing.Engine // nil for plain services
	// PromptTokens, OutputTokens and Prompt describe a model request; zero
	// otherwise. OutputTokens is the best guess, not the bound.
	PromptTokens, OutputTokens int
	Prompt                     []PromptPart
	// Objective is when the answer, or its first event, is due; Deadline is when
	// it is of no use any more. Both are on the kernel clock.
	Objective, Deadline time.Duration
	// Tried lists the targets to which the request was sent before.
	Tried []string
	// Resumes reports that a stream goes on, so that the caller holds its begin.
	Resumes bool
}

// Placement is a target on which a request may start now.
type Placement interface {
	Target() Target
	// Sent tells that the first byte of the request is about to be written. It
	// fails if the target must not be used any more.
	Sent() error
	// Began tells that the first byte of the answer arrived.
	Began()
	// Progress tells the number of events received from the target.
	Progress(events int)
	// End ends the use of the target. It must be called once.
	End(o WorkOutcome)
}

// WorkOutcome tells how the use of a target ended.
type WorkOutcome string

// Outcomes of work on a target.
const (
	WorkServed      WorkOutcome = "served"      // whole answer
	WorkUnreachable WorkOutcome = "unreachable" // no connection; nothing was sent
	WorkUnsent      WorkOutcome = "unsent"      // given up before the first byte
	WorkFull        WorkOutcome = "full"        // the target refused for want of room
	WorkOther       WorkOutcome = "other"       // another target has the address
	WorkFailed      WorkOutcome = "failed"      // error answer of the target
	WorkBroken      WorkOutcome = "broken"      // no answer, or one that is not whole
	WorkLate        WorkOutcome = "late"        // no answer in time
	WorkCancelled   WorkOutcome = "cancelled"   // the caller went away
)

// Placer finds targets for requests.
type Placer interface {
	// Precheck refuses a request whose workspace floods this instance; nil
	// otherwise.
	Precheck(w *Work) *Refusal
	// TurnedAway tells of a request that this instance refused for want of means of its
	// own, so that shares count what was asked for.
	TurnedAway(w *Work)
	// Place waits until the request may start on a target. The error is a
	// *Refusal, or the context's.
	Place(ctx context.Context, w *Work) (Placement, error)
}

// ForwardRequest is a request of a caller after the admission checks.
type ForwardRequest struct {
	ID        string
	Route     *routing.Route
	Service   string
	Engine    *routing.Engine // nil for plain services
	Workspace string
	Fields    CallerFields
	// Header is the caller's. It is not changed.
	Header *fasthttp.RequestHeader
	Body   []byte
	// Waited is the time that the caller spent on earlier attempts, as far as known.
	Waited time.Duration
	// Arrived is when the first byte of the request was read, Deadline when the
	// answer must have ended. Both are on the kernel clock.
	Arrived, Deadline time.Duration
	// Present looks whether the caller is still connected, also if the watch of its
	// connection has had no processor time yet; nil = not known.
	Present func() bool
}

// ForwardAnswer is the answer of a target.
type ForwardAnswer interface {
	// Header holds the target's status and headers. It is valid until Close.
	Header() *fasthttp.ResponseHeader
	// Whole returns the body if it was read to its end, or false for an answer
	// that is to be read as it arrives.
	Whole() ([]byte, bool)
	// Read returns io.EOF only after the whole body; any other error means that
	// the answer is not whole.
	Read(p []byte) (int, error)
	// Close ends the work if the answer was not read to its end.
	Close() error
}

// Forwarder sends requests to targets.
type Forwarder interface {
	// Precheck refuses a request that need not be looked at further: its workspace
	// sends many times its share. It is cheap, and nil otherwise.
	Precheck(r *ForwardRequest) *Refusal
	// TurnedAway tells of a request that the instance refused after Precheck.
	TurnedAway(r *ForwardRequest)
	// Forward returns the answer once its head is known. The error is a *Refusal,
	// or the context's when the caller went away.
	Forward(ctx context.Context, r *ForwardRequest) (ForwardAnswer, error)
}
