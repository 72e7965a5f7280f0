// Package api defines the service interfaces and data types through which
// plug-ins use each other. A plug-in registers a service with the kernel under
// its interface type and looks up the services of others; no plug-in imports
// another.
//
// The profile of a fleet determines which services exist. With "pools", requests are
// served through Dispatcher, PoolQueue and Lease; with "routes", through Forwarder,
// Placer, Directory and Topology. Mesh and Fleet exist with both, and so does Control,
// but with "routes" on control instances only.
package api

import (
	"context"
	"encoding/json"
	"time"

	"nutmegrouter/fleetconfig"
)

// Handler handles one message from the instance named from. The returned value
// is encoded as the JSON-RPC result of a call and ignored for a notification.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Mesh sends JSON-RPC messages between instances. Messages to a peer without a
// direct link are relayed through an instance that reports a working link to it.
type Mesh interface {
	// Self returns the name of this instance.
	Self() string
	// Peers returns the names of all other instances, sorted.
	Peers() []string
	// Handle registers the handler of a method. It must be called from
	// Provision, before the duties start.
	Handle(method string, h Handler)
	// Notify queues a message without a response. It fails at once if the bounded
	// queue is full or no path to the peer is known. While a link is up, messages
	// to one peer arrive in order; some may be lost.
	Notify(to, method string, params any) error
	// NotifyAll queues one message for several peers and encodes it once. It fails
	// only if the message cannot be encoded or is too large. Peers whose queue is
	// full or to which no path is known do not receive it.
	NotifyAll(to []string, method string, params any) error
	// Call sends a request and decodes the response into result. It waits until
	// the response arrives or the context ends. A request that was sent is not
	// retried; after an error other than the handler's it may have been handled.
	Call(ctx context.Context, to, method string, params, result any) error
	// Reachable reports whether a direct or relayed path to the peer is known.
	Reachable(peer string) bool
}

// Links exchanges the state of direct links between instances, so that the mesh
// can find relays. The reports are part of the heartbeats and need no messages
// of their own.
type Links interface {
	// PeersWithoutLink returns the peers without a working direct link, sorted.
	PeersWithoutLink() []string
	// RecordPeersWithoutLink records the peers to which the given peer reports no
	// working direct link.
	RecordPeersWithoutLink(peer string, unreached []string)
}

// LinkChange is the event that a link to a peer was established or lost.
type LinkChange struct {
	Peer              string // instance name
	Incarnation       string // incarnation of the peer's process
	DataCentre        string // of the peer; "" when the link is lost
	HasControlReplica bool   // the peer has a control replica
	Up                bool   // the link was established; false = lost
}

// LinkManager maintains the links of a mesh whose membership changes at run time.
type LinkManager interface {
	// SetAddresses sets the addresses, each IP:port, to which links are maintained
	// and closes links to all others. It may be called once the duties have
	// started.
	SetAddresses(addresses []string)
	// OnLinkChange registers a function that is called after a link was established
	// or lost. It must not block. Register from Provision.
	OnLinkChange(f func(LinkChange))
}

// Topology lists the discovered instances and the control leader. It is provided
// only with the profile "routes", whose instances are discovered.
type Topology interface {
	// ControlInstances returns the known control instances, sorted.
	ControlInstances() []string
	// Leader returns the control leader with the highest term that is known, or "".
	Leader() (instance string, term uint64)
	// EntryCount returns the number of entry instances; 0 = not known yet.
	EntryCount() int
	// OnLeader registers a function that is called after the known leader has
	// changed. It must not block. Register from Provision.
	OnLeader(f func(instance string, term uint64))
}

// Lease reports the leases of this instance and the owners of pools. The instance
// lease permits an instance to dispatch work. The owner of a pool is the instance
// that schedules the pool's requests; each new ownership has a higher epoch. Validity
// is checked against the monotonic clock at each call.
type Lease interface {
	// Valid reports whether the instance lease is valid now.
	Valid() bool
	// Owner returns the last known owner of a pool and its epoch; ok is false if
	// none is known.
	Owner(pool string) (instance string, epoch uint64, ok bool)
	// Owns reports whether this instance owns the pool now, and the epoch of its
	// ownership.
	Owns(pool string) (epoch uint64, ok bool)
	// MayHoldLease reports whether a peer may still have a valid instance lease.
	// It is conservative and returns true for unknown peers.
	MayHoldLease(peer string) bool
	// PeerRevision returns the newest view revision that a peer has reported.
	PeerRevision(peer string) uint64
	// SeekOwnership sets the pools of which this instance tries to become the
	// owner.
	SeekOwnership(pools []string)
	// Resign releases the ownership of all pools and waits until it is handed over
	// or the context ends. This instance does not try to become an owner again
	// until its process ends.
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
	// DataCentresOut is the set of data centres that are out of service, by name.
	DataCentresOut map[string]bool `json:"out,omitempty"`
	// Version is the operators' version number of Document; 0 without a document.
	Version uint64 `json:"version,omitempty"`
	// Document is the compressed configuration of a fleet with the profile
	// "routes", as the operator sent it.
	Document []byte `json:"document,omitempty"`
	// Rollouts holds the newest rollout of each service that has had one, by service.
	Rollouts map[string]Rollout `json:"rollouts,omitempty"`
}

// Fleet stores the newest view of the configuration on this instance.
type Fleet interface {
	// View returns the newest view; never nil.
	View() *View
	// Install replaces the view with a committed one; views that are not newer
	// are ignored.
	Install(v *View)
	// OnChange registers a function that is called after a newer view was
	// installed. It must not block.
	OnChange(f func(*View))
}

// Submission is one configuration change from an operator.
type Submission struct {
	// ChangeID identifies the change; a resend with the same id returns the
	// stored result and changes nothing.
	ChangeID string `json:"change_id"`
	// BaseRevision is the revision that the change was based on. A change with an
	// outdated base is refused as a conflict unless OnNewestRevision is set.
	BaseRevision uint64 `json:"base"`
	// Author is free text shown in the history.
	Author string `json:"author,omitempty"`
	// Config replaces the whole document if set. It is ignored if
	// OnNewestRevision is set.
	Config *fleetconfig.Config `json:"config,omitempty"`
	// DataCentre names a data centre to take out of service (Out is true) or to
	// bring back (false).
	DataCentre string `json:"data_centre,omitempty"`
	Out        bool   `json:"out,omitempty"`
	// OnNewestRevision applies the change to the newest revision and ignores
	// BaseRevision. A change that no longer has an effect is accepted without a new
	// revision.
	OnNewestRevision bool `json:"newest,omitempty"`
	// Version and Document replace the document of the profile "routes" if Version
	// is greater than the stored one. They are used only if OnNewestRevision is
	// set.
	Version  uint64 `json:"version,omitempty"`
	Document []byte `json:"document,omitempty"`
	// BaseOrders is, for a change of a data centre with OnNewestRevision, the number that
	// Control.ReadOrders returned after the change was ordered. If a later order on the
	// data centre has been accepted since and says the opposite, the change conflicts with
	// it; nil = Control.Submit reads it.
	BaseOrders *uint64 `json:"base_orders,omitempty"`
	// Rollout starts or ends a rollout; nil = neither. It is used only if OnNewestRevision is set.
	Rollout *RolloutChange `json:"rollout,omitempty"`
}

// SubmitResult is the stored result of a submission.
type SubmitResult struct {
	// Revision is the revision that the change created, or the newest one if the
	// change had no effect. After a conflict it is the revision of the change named
	// by ConflictingChange; 0 with an error.
	Revision uint64 `json:"revision"`
	// ConflictingChange is the id of the change with which this one conflicts, or
	// "unknown" if the history no longer holds it; "" = no conflict.
	ConflictingChange string `json:"conflict,omitempty"`
	// Error is the reason why the change is invalid; "" = valid.
	Error string `json:"error,omitempty"`
}

// HistoryEntry describes one accepted change.
type HistoryEntry struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	Author   string `json:"author,omitempty"`
	UnixMs   int64  `json:"unix_ms"` // wall clock of the leader that proposed it
	Summary  string `json:"summary"` // what it changed, as text
}

// ClaimKey identifies a non-idempotent request by its idempotency key, which is
// unique within a workspace and pool.
type ClaimKey struct {
	Workspace string `json:"workspace"`
	Pool      string `json:"pool"`
	Key       string `json:"key"`
}

// ClaimState is the state of a claim in the control log.
type ClaimState string

// States of a claim.
const (
	ClaimNew     ClaimState = "new"     // claimed by this call, which may run the request
	ClaimRunning ClaimState = "running" // claimed earlier; the outcome is unknown
	ClaimDone    ClaimState = "done"    // finished; Outcome is set
)

// ClaimOutcome is the stored response to a finished request.
type ClaimOutcome struct {
	Status      int    `json:"status"` // HTTP status
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated reports that the body was too large to store.
	Truncated bool `json:"truncated,omitempty"`
}

// ClaimResult is the result of Control.Claim.
type ClaimResult struct {
	State   ClaimState    `json:"state"`
	Outcome *ClaimOutcome `json:"outcome,omitempty"`
}

// Control reads and changes the replicated control log. Calls are sent to the leader of
// the log. Those that the leader does not reply to are retried until their context ends;
// a change may still be applied after that.
type Control interface {
	// Submit proposes a change and returns once it is accepted or refused. A refusal
	// is reported in the result. After an error it is unknown whether the change was
	// accepted; it may be submitted again with the same ChangeID.
	Submit(ctx context.Context, s Submission) (SubmitResult, error)
	// History returns up to limit of the newest accepted changes, newest first; a
	// limit below 1 returns all that are stored.
	History(ctx context.Context, limit int) ([]HistoryEntry, error)
	// Claim claims a request for holder, a unique request id, so that requests
	// with the same key run at most once. A claim expires after 24 hours. Claim fails
	// if holder has released the claim before or too many claims are stored.
	Claim(ctx context.Context, key ClaimKey, holder string) (ClaimResult, error)
	// SettleClaim stores the outcome of a claim. A nil outcome releases the claim;
	// it is allowed only if the request was certainly not run. It fails if holder
	// has no claim on the key.
	SettleClaim(ctx context.Context, key ClaimKey, holder string, outcome *ClaimOutcome) error
	// NewOrderToken returns a new fencing token for the orders that this program
	// sends to the pool's targets.
	NewOrderToken(ctx context.Context, pool string) (uint64, error)
	// ReadRevision returns the newest accepted view revision. The read is
	// linearizable: a quorum confirms the leader after the call began.
	ReadRevision(ctx context.Context) (uint64, error)
	// ReadOrders returns the number of orders on data centres that were accepted with
	// OnNewestRevision, by a linearizable read.
	ReadOrders(ctx context.Context) (uint64, error)
	// ReadView returns the newest accepted view by a linearizable read.
	ReadView(ctx context.Context) (*View, error)
	// SaveRolloutAccount stores the account of a running rollout. Figures that are lower than the stored ones
	// are ignored. It fails if the rollout does not run any more.
	SaveRolloutAccount(ctx context.Context, a RolloutAccount) error
	// ReadRolloutAccounts returns the accounts of the running rollouts by service, by a linearizable read. A
	// rollout whose account was never saved has one without figures.
	ReadRolloutAccounts(ctx context.Context) (map[string]RolloutAccount, error)
	// Status returns the state of the local replica. On an instance without one
	// ReplicaID is "".
	Status() ControlStatus
	// OnStatus registers a function that is called after the role, the known
	// leader or the members have changed. It must not block.
	OnStatus(f func(ControlStatus))
}

// ControlStatus describes the control log as seen from one instance.
type ControlStatus struct {
	ReplicaID   string   `json:"replica,omitempty"` // replica identity, "" without a disk
	Role        string   `json:"role"`              // leader, follower, learner, candidate or none
	Leader      string   `json:"leader,omitempty"`  // instance name of the known leader
	Term        uint64   `json:"term"`              // newest known term
	CommitIndex uint64   `json:"commit"`            // index of the last committed entry
	Voters      []string `json:"voters,omitempty"`  // instances with voting replicas
	// Members names the instances of voters and learners.
	Members []string `json:"members,omitempty"`
}

// CostClass is the caller's estimate of how expensive a request is. The cost of a class
// is estimated from completed requests; the classes have no order.
type CostClass string

// Cost classes.
const (
	ClassUnknown CostClass = ""
	ClassLong    CostClass = "long"
	ClassQuick   CostClass = "quick"
	ClassLabel   CostClass = "label"
)

// SlotRequest is a request for a slot on a target, sent to the pool's scheduler.
type SlotRequest struct {
	ID          string // unique in the fleet
	Pool        string
	Workspace   string
	Class       CostClass
	CostHint    float64       // the caller's estimate of the cost, in cost units; 0 = none
	Deadline    time.Duration // on the kernel clock; 0 = none
	AvoidTarget string        // target to use only if no other has a free slot; "" = none
	// Admitted marks a further attempt of a request that was already admitted. It
	// is accepted even if the queue is full or a planned stop is in progress.
	Admitted bool
}

// Grant assigns a slot on a target to a request. A slot is the right to run one request
// on the target.
type Grant struct {
	Target  string // target name
	Address string // IP:port
	Epoch   uint64 // epoch of the owner that granted the slot
}

// GrantResult is how the use of a grant ended, as reported to the scheduler.
type GrantResult string

// Results of a grant.
const (
	ResultOK         GrantResult = "ok"          // the whole response was received
	ResultNotStarted GrantResult = "not_started" // no byte was sent to the target
	ResultFailed     GrantResult = "failed"      // the target failed, refused or cut off the response
	ResultCancelled  GrantResult = "cancelled"   // the caller disconnected; the work was cancelled
)

// Warmth is whether a target is cold or warm, as reported by the target.
type Warmth string

// Values of Warmth.
const (
	WarmthUnknown Warmth = ""
	WarmthWarm    Warmth = "warm"
	WarmthCold    Warmth = "cold"
)

// GrantOutcome is how the use of a grant ended and what it cost. For engines a cost unit
// is a generated token, and a prompt token costs 0.1 units; for plain services a cost
// unit is a millisecond of processing.
type GrantOutcome struct {
	Result GrantResult
	Cost   float64 // actual cost in cost units; 0 = unknown
	Warmth Warmth  // as reported by the target
	// BootNumber is the boot number that the target reported, which grows with each
	// restart; 0 = unknown.
	BootNumber uint64
}

// Ticket is one queued or running request on this instance.
type Ticket interface {
	// Granted returns a channel that delivers at most one grant. If the request is
	// refused it is closed without a value, and Refusal returns the reason.
	Granted() <-chan Grant
	// Refusal returns the reason why the request was refused; nil = not refused.
	Refusal() *Refusal
	// ResponseStarted reports that the first byte of the response has arrived, with
	// the warmth and boot number in the response header.
	ResponseStarted(w Warmth, boot uint64)
	// Done reports the outcome and frees the slot. It must be called exactly once
	// after a grant was received.
	Done(o GrantOutcome)
	// Cancel removes the request from the queue. After a grant was delivered it has
	// the effect of Done with ResultNotStarted unless Done was called.
	Cancel()
}

// PoolQueue queues requests on this instance until the pool's scheduler grants
// them.
type PoolQueue interface {
	// Enqueue adds a request to the queue. The error is a *Refusal, for example
	// because the queue is full or the instance is stopping.
	Enqueue(d SlotRequest) (Ticket, error)
	// Drain waits until no request is queued or running.
	Drain(ctx context.Context) error
}

// RunState is whether a target may have started a refused request.
type RunState string

// Values of RunState.
const (
	NotRun     RunState = "not-run" // no target started the request
	RunUnknown RunState = "unknown" // a target may have started the request
)

// Refusal is the error with which a request is refused. It becomes the error
// response to the caller.
type Refusal struct {
	Code       string        // stable machine-readable code, e.g. queue_full
	Message    string        // human-readable text
	Status     int           // HTTP status
	Run        RunState      // whether a target may have started the request
	RetryAfter time.Duration // when the caller should retry; 0 = no advice
	Step       string        // processing step that refused the request
	Peer       string        // target or instance involved; "" = none
	// LogAttrs are the values behind the decision, as alternating keys and values
	// for the log.
	LogAttrs []any
}

// Error implements error.
func (r *Refusal) Error() string {
	s := r.Step + ": " + r.Code + ": " + r.Message
	if r.Peer != "" {
		s += " (peer " + r.Peer + ")"
	}
	return s
}

// Request is a caller's request that has passed the admission checks.
type Request struct {
	ID              string // unique request id
	Workspace       string
	Pool            string
	Method          string
	Path            string // path and query on the target
	Header          map[string]string
	Body            []byte
	IdempotencyKey  string // idempotency key, "" = none
	NonIdempotent   bool
	Class           CostClass
	CostHint        float64       // the caller's estimate of the cost, in cost units; 0 = none
	ResponseTimeout time.Duration // how long the caller waits for the start of the response; 0 = none
	// Disconnected is closed when the caller disconnects.
	Disconnected <-chan struct{}
}

// ResponseHead is the status and headers of a target's response.
type ResponseHead struct {
	Status int // HTTP status
	Header map[string]string
	Target string // name of the target that responded
	// BodyBytes is the number of body bytes, or -1 if unknown.
	BodyBytes int64
	// RepeatedHeaders holds the second and further values of repeated headers, such
	// as Set-Cookie, whose values cannot be joined, as pairs of name and value.
	RepeatedHeaders [][2]string
}

// Response is a target's response to a Request.
type Response interface {
	// Head returns the target's status and headers.
	Head() ResponseHead
	// Read reads the body. It returns io.EOF only after the whole body was
	// delivered; any other error means that the response is incomplete.
	Read(p []byte) (int, error)
	// Close frees the slot and cancels work that has not ended.
	Close() error
}

// TargetState is the state of a target as known to the owner of its pool.
type TargetState struct {
	Target     fleetconfig.Target
	Warmth     Warmth // from the newest load report; WarmthUnknown without one
	BootNumber uint64 // boot number from the newest report, 0 if unknown
	Leaving    bool   // the platform's list marks the target as about to be removed
	Out        bool   // its data centre is out of service
}

// TargetStates lists the states of targets in the pools that this instance owns.
type TargetStates interface {
	// States returns the states of the pool's targets; empty if this instance does
	// not own the pool.
	States(pool string) []TargetState
}

// Dispatcher runs a request on a target: it queues the request, waits for a
// grant, claims the idempotency key, sends, retries and resumes a broken stream.
type Dispatcher interface {
	// Dispatch returns the response once its headers have arrived. The error is a
	// *Refusal.
	Dispatch(ctx context.Context, r *Request) (Response, error)
}
