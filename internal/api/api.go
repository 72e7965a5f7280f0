// Package api holds the service interfaces and the typed records that plug-ins
// exchange. A plug-in provides a service to the kernel under its interface type
// and looks up the services of others; no plug-in imports another.
package api

import (
	"context"
	"encoding/json"
	"time"

	"nutmegrouter/fleetconfig"
)

// Handler answers one message from a peer. The result is marshalled as the
// JSON-RPC result of a call and is ignored for a notification.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Mesh carries messages between instances. Messages to an unreachable peer go
// through a third instance that reports a working link to it.
type Mesh interface {
	// Self returns the name of this instance.
	Self() string
	// Peers returns the names of all other instances, sorted.
	Peers() []string
	// Handle registers the handler of a method. It must be called before the
	// duties start, that is, from Provision.
	Handle(method string, h Handler)
	// Notify queues a message. It fails at once if the bounded queue is full
	// or no path to the peer is known. Messages to one peer arrive in order or
	// not at all while a link lasts.
	Notify(to, method string, params any) error
	// NotifyAll queues one message for several peers, encoded once. It fails if the
	// message cannot be encoded; a peer that it cannot be queued for misses it.
	NotifyAll(to []string, method string, params any) error
	// Call sends a request and waits for the answer or the context's end.
	Call(ctx context.Context, to, method string, params, result any) error
	// Reachable reports whether a direct or relayed path to the peer is known.
	Reachable(peer string) bool
}

// Links tells the mesh which paths exist through other instances. Beats carry
// the reports, so that they cost no message of their own.
type Links interface {
	// Unreached returns the peers without a working direct link, sorted.
	Unreached() []string
	// Report records the peers that a peer says it does not reach directly.
	Report(peer string, unreached []string)
}

// LinkChange tells that a link with an instance has begun or ended.
type LinkChange struct {
	Peer       string
	Boot       string // identity of the peer's process
	DataCentre string // "" when the link ends
	Control    bool   // the peer holds a control replica
	Up         bool
}

// Roster sets the links of a mesh whose members come and go.
type Roster interface {
	// Dial keeps links to exactly these addresses, each IP:port. It may be
	// called once the duties have started.
	Dial(addresses []string)
	// OnLink registers a function called after a link was made or lost. It must
	// not block. Register from Provision.
	OnLink(f func(LinkChange))
}

// Topology tells which control instances there are. It is provided with the
// profile "routes", whose instances are discovered.
type Topology interface {
	// Controls returns the known control instances, sorted.
	Controls() []string
	// Leader returns the control leader with the highest term that is known, or "".
	Leader() (instance string, term uint64)
	// Entries returns the number of entry instances; 0 = not known yet.
	Entries() int
	// OnLeader registers a function called after the known leader has changed.
	// It must not block. Register from Provision.
	OnLeader(f func(instance string, term uint64))
}

// Lease tells what this instance may do at this moment on the monotonic clock.
type Lease interface {
	// Valid reports whether this instance may dispatch work now.
	Valid() bool
	// Owner returns the owner of a pool as last known, and its epoch.
	Owner(pool string) (instance string, epoch uint64, ok bool)
	// Holds reports whether this instance owns the pool now, with the epoch.
	Holds(pool string) (epoch uint64, ok bool)
	// MayHoldLease reports whether a peer may still hold a valid instance
	// lease. It is conservative: unknown peers may.
	MayHoldLease(peer string) bool
	// Revision returns the newest view revision that a peer has reported.
	Revision(peer string) uint64
	// SetPools sets the pools whose ownership this instance seeks.
	SetPools(pools []string)
	// Resign gives up all ownership and seeks none until the process ends.
	Resign(ctx context.Context) error
	// OnChange registers a function that is called after the owner of a pool
	// or the validity of the lease has changed. It must not block.
	OnChange(f func())
}

// View is one committed revision of the fleet's configuration. It is immutable.
type View struct {
	// Revision counts the accepted changes; 0 means no configuration yet.
	Revision uint64 `json:"revision"`
	// Config is the configuration document; nil at revision 0.
	Config *fleetconfig.Config `json:"config"`
	// Out names the data centres that are out of service.
	Out map[string]bool `json:"out,omitempty"`
	// Version is the operators' number of Document; 0 without one.
	Version uint64 `json:"version,omitempty"`
	// Document is the compressed configuration of a fleet with the profile
	// "routes", as the operator sent it.
	Document []byte `json:"document,omitempty"`
}

// Fleet gives access to the view of the configuration on this instance.
type Fleet interface {
	// View returns the newest view; never nil.
	View() *View
	// Install offers a committed view; older ones are ignored.
	Install(v *View)
	// OnChange registers a function called after a newer view was installed.
	// It must not block.
	OnChange(f func(*View))
}

// Submission is one configuration change from an operator.
type Submission struct {
	// ChangeID identifies the change; a resend with the same id returns the
	// stored result and changes nothing.
	ChangeID string `json:"change_id"`
	// Base is the revision that the change was based on.
	Base uint64 `json:"base"`
	// Author is free text shown in the history.
	Author string `json:"author,omitempty"`
	// Config replaces the whole document if set.
	Config *fleetconfig.Config `json:"config,omitempty"`
	// DataCentre and Out take one data centre out (true) or back (false).
	DataCentre string `json:"data_centre,omitempty"`
	Out        bool   `json:"out,omitempty"`
	// Newest applies the change to the newest revision whatever Base says. A
	// change that has no effect any more is accepted and makes no revision.
	Newest bool `json:"newest,omitempty"`
	// Version and Document replace the document of the profile "routes" if the
	// version is above the stored one.
	Version  uint64 `json:"version,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// SubmitResult is the stored result of a submission.
type SubmitResult struct {
	// Revision is the revision that the change made or, with a conflict, that
	// the change named by Conflict made; 0 with an error.
	Revision uint64 `json:"revision"`
	// Conflict names the change that won if this one was refused, else "".
	Conflict string `json:"conflict,omitempty"`
	// Error tells why the change is invalid, else "".
	Error string `json:"error,omitempty"`
}

// HistoryEntry describes one accepted change.
type HistoryEntry struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	Author   string `json:"author,omitempty"`
	UnixMs   int64  `json:"unix_ms"`
	Summary  string `json:"summary"`
}

// ClaimKey names one keyed non-idempotent request.
type ClaimKey struct {
	Workspace string `json:"workspace"`
	Pool      string `json:"pool"`
	Key       string `json:"key"`
}

// ClaimState is the state of a claim in the log.
type ClaimState string

// States of a claim.
const (
	ClaimNew     ClaimState = "new"     // claimed by this call; run it
	ClaimRunning ClaimState = "running" // claimed earlier, outcome unknown
	ClaimDone    ClaimState = "done"    // finished; Outcome is set
)

// ClaimOutcome is the stored answer of a finished request.
type ClaimOutcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated reports that the body was too large to store.
	Truncated bool `json:"truncated,omitempty"`
}

// ClaimResult answers a claim.
type ClaimResult struct {
	State   ClaimState    `json:"state"`
	Outcome *ClaimOutcome `json:"outcome,omitempty"`
}

// Control reaches the leader of the control log from any instance.
type Control interface {
	// Submit proposes a change and returns once it is accepted or refused.
	Submit(ctx context.Context, s Submission) (SubmitResult, error)
	// History returns the newest accepted changes, newest first.
	History(ctx context.Context, limit int) ([]HistoryEntry, error)
	// Claim claims a keyed request on behalf of holder (a unique request id).
	Claim(ctx context.Context, key ClaimKey, holder string) (ClaimResult, error)
	// Settle stores the outcome of a claim; a nil outcome releases the claim
	// because the request was certainly not run.
	Settle(ctx context.Context, key ClaimKey, holder string, outcome *ClaimOutcome) error
	// OrderEpoch obtains a fencing number for orders to the pool's targets.
	OrderEpoch(ctx context.Context, pool string) (uint64, error)
	// ReadRevision returns the newest accepted view revision, confirmed by the
	// leader's quorum at some moment after the call began.
	ReadRevision(ctx context.Context) (uint64, error)
	// ReadView returns the newest accepted view, confirmed like ReadRevision.
	ReadView(ctx context.Context) (*View, error)
	// Status describes the local replica, or its absence, for operators.
	Status() ControlStatus
	// OnStatus registers a function called after the role, the known leader or
	// the members have changed. It must not block.
	OnStatus(f func(ControlStatus))
}

// ControlStatus describes the control log as seen from one instance.
type ControlStatus struct {
	Replica string   `json:"replica,omitempty"` // replica identity, "" without a disk
	Role    string   `json:"role"`              // leader, follower, learner, candidate or none
	Leader  string   `json:"leader,omitempty"`  // instance name of the known leader
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Voters  []string `json:"voters,omitempty"`
	// Members names the instances of voters and learners.
	Members []string `json:"members,omitempty"`
}

// CostClass is the caller's rough class of a request.
type CostClass string

// Cost classes.
const (
	ClassUnknown CostClass = ""
	ClassLong    CostClass = "long"
	ClassQuick   CostClass = "quick"
	ClassLabel   CostClass = "label"
)

// Demand asks the pool's scheduler for a slot on a target.
type Demand struct {
	ID        string // unique in the fleet
	Pool      string
	Workspace string
	Class     CostClass
	Hint      float64       // cost units; 0 = none
	Deadline  time.Duration // on the kernel clock; 0 = none
	Avoid     string        // target to avoid if another has room, "" = none
	// Admitted marks a further attempt of a request that was admitted before. It
	// is refused neither by a full queue nor by a planned stop.
	Admitted bool
}

// Grant names the target on which a request may start.
type Grant struct {
	Target  string
	Address string
	Epoch   uint64
}

// Result tells the scheduler how the work on a grant ended.
type Result string

// Results of work.
const (
	ResultOK         Result = "ok"          // whole answer received
	ResultNotStarted Result = "not_started" // no byte was sent to the target
	ResultFailed     Result = "failed"      // target failed, refused or cut the answer
	ResultCancelled  Result = "cancelled"   // caller went away, work was cancelled
)

// Warmth is what the target said about itself.
type Warmth string

// Values of Warmth.
const (
	WarmthUnknown Warmth = ""
	WarmthWarm    Warmth = "warm"
	WarmthCold    Warmth = "cold"
)

// Outcome ends the work on a grant.
type Outcome struct {
	Result Result
	Cost   float64 // true cost in cost units; 0 if unknown
	Warmth Warmth
	Boot   uint64 // boot number of the target, 0 if unknown
}

// Ticket is one waiting or running request on this router.
type Ticket interface {
	// Granted delivers at most one grant. It is closed without a value when
	// the request is refused; Refusal then tells why.
	Granted() <-chan Grant
	// Refusal returns why the request was refused; nil otherwise.
	Refusal() *Refusal
	// Confirm reports the first byte of the answer and what it said.
	Confirm(w Warmth, boot uint64)
	// Done ends the work after a grant. It must be called exactly once after
	// a grant was received.
	Done(o Outcome)
	// Cancel leaves the queue. After a grant was delivered it has the effect
	// of Done with ResultNotStarted unless Done was called.
	Cancel()
}

// Pool queues requests on this router until the pool's scheduler grants them.
type Pool interface {
	// Enqueue adds a request. A full queue or a stopped instance gives a
	// Refusal as error.
	Enqueue(d Demand) (Ticket, error)
	// Drain waits until no request waits or runs.
	Drain(ctx context.Context) error
}

// RunState tells what a refusal says about the request.
type RunState string

// Values of RunState.
const (
	NotRun     RunState = "not-run" // no target began the request
	RunUnknown RunState = "unknown" // a target may have begun the request
)

// Refusal is a typed error for callers. Step and Peer say where it arose.
type Refusal struct {
	Code       string        // stable word, e.g. queue_full
	Message    string        // text for people
	Status     int           // HTTP status
	Run        RunState      // whether the request was run
	RetryAfter time.Duration // 0 = no advice
	Step       string
	Peer       string
	// Inputs are what the decision was based on, as keys and values for the log.
	Inputs []any
}

// Error implements error.
func (r *Refusal) Error() string {
	s := r.Step + ": " + r.Code + ": " + r.Message
	if r.Peer != "" {
		s += " (peer " + r.Peer + ")"
	}
	return s
}

// Request is one request of a caller after admission checks.
type Request struct {
	ID            string
	Workspace     string
	Pool          string
	Method        string
	Path          string // path and query on the target
	Header        map[string]string
	Body          []byte
	Key           string // idempotency key, "" = none
	NonIdempotent bool
	Class         CostClass
	Hint          float64
	Deadline      time.Duration // time the caller waits for the answer's start; 0 = none
	// Gone is closed when the caller's connection is lost.
	Gone <-chan struct{}
}

// AnswerHead is the status and header of a target's answer.
type AnswerHead struct {
	Status int
	Header map[string]string
	Target string
	// Length is the number of body bytes, or -1 if unknown.
	Length int64
	// Extra holds the second and further values of repeated headers, such as
	// Set-Cookie, whose values cannot be joined.
	Extra [][2]string
}

// Answer is the answer to a request. Read returns io.EOF only after the whole
// body was delivered; any other error means the answer is not whole. Close
// frees the slot and cancels work that has not ended.
type Answer interface {
	Head() AnswerHead
	Read(p []byte) (int, error)
	Close() error
}

// TargetState is what the owner of a pool knows of a target.
type TargetState struct {
	Target  fleetconfig.Target
	Warmth  Warmth // from the newest load report; WarmthUnknown without one
	Boot    uint64 // boot number from the newest report, 0 if unknown
	Leaving bool   // marked so in the platform's list
	Out     bool   // its data centre is out of service
}

// TargetStates gives the states of the targets of the pools that this instance
// owns. The result is empty for other pools.
type TargetStates interface {
	States(pool string) []TargetState
}

// Dispatcher runs a request: queue, grant, claim, send, retry, resume.
type Dispatcher interface {
	// Do returns the answer once its head is known, or a *Refusal.
	Do(ctx context.Context, r *Request) (Answer, error)
}
