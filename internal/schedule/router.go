package schedule

import (
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

const (
	// busyHeartbeatInterval is the longest interval between two messages of an
	// instance with waiting or running requests. Grants echo the clock value of
	// the last message and are refused once it is older than maxEchoedClockAge;
	// the owner suspects a silent instance of having crashed.
	busyHeartbeatInterval = 250 * time.Millisecond
	// maxAckDelay bounds the time until an instance with waiting requests
	// acknowledges a grant.
	maxAckDelay = 10 * time.Millisecond
	// idleHeartbeatInterval is the longest interval between two messages of an
	// instance without requests, until idleHeartbeatDuration after the last
	// activity.
	idleHeartbeatInterval = time.Second
	// idleHeartbeatDuration is how long heartbeats continue after the last
	// activity, so that the owner detects the loss of the last message.
	idleHeartbeatDuration = 3 * time.Second
	// maxEchoedClockAge is the largest age of the clock value echoed by a grant
	// that may still be used.
	maxEchoedClockAge = time.Second
	// reannounceDelay is the wait before a request whose grant was returned is
	// announced again. Without it, an owner and an instance whose views differ
	// would grant and return the request in a loop.
	reannounceDelay = 50 * time.Millisecond
	// reportRequestDedupTime is the time after a full report during which requests
	// for a report are ignored that the owner sent before it received this one.
	reportRequestDedupTime = 100 * time.Millisecond
	// maxUnackedOutcomes bounds the outcomes kept until an owner acknowledges
	// them. The older half is dropped when the bound is reached.
	maxUnackedOutcomes = 4096
)

// LocalRequest is one waiting or running request of an instance.
type LocalRequest struct {
	// Number is the request's number on its instance, assigned when the request is
	// announced to the owner; 0 before.
	Number uint64
	Demand api.SlotRequest
	// Data is for the caller of Enqueue; the package does not use it.
	Data any

	state      requestState
	target     string
	estimate   float64 // cost units
	confirmed  bool    // the target responded and was warm
	queuedAt   time.Duration
	startedAt  time.Duration
	queue      *entryQueue
	prev, next *LocalRequest
}

type requestState uint8

const (
	stateUnannounced requestState = iota // waiting, not announced
	stateAnnounced                       // waiting, announced to the owner
	stateRunning
	stateEnded
)

// Waiting reports whether the request is queued and has no grant.
func (req *LocalRequest) Waiting() bool { return req.state <= stateAnnounced }

// Started reports whether the request has a grant whose work has not ended.
func (req *LocalRequest) Started() bool { return req.state == stateRunning }

// GrantChecker provides the local state that a grant is checked against before use.
type GrantChecker interface {
	// LeaseValid reports whether this instance has a valid lease, without which it
	// must not start requests.
	LeaseValid() bool
	// Address returns the address of a target. It returns false if the instance's
	// view does not list the target in the pool or has it out of service.
	Address(pool, target string) (string, bool)
}

// Granted is a request that may start now.
type Granted struct {
	Request *LocalRequest
	api.Grant
}

// EntryQueues queues the requests of one instance for one pool, announces them to the
// owner of the pool and starts them on the owner's grants. It is not safe for
// concurrent use.
type EntryQueues struct {
	pool        string
	incarnation uint64

	owner          string
	epoch          uint64
	generation     uint64
	seq            uint64 // number of the last message in this generation
	grantsReceived uint64 // in this generation
	grantsAcked    uint64 // value of grantsReceived in the last message
	lastNumber     uint64 // number of the request announced last

	requests map[uint64]*LocalRequest // announced and running, by number
	queues   map[string]*entryQueue
	queued   int // waiting requests

	pendingDemand     DemandMsg // changes not sent yet
	sentDemand        DemandMsg // message returned by the last Flush
	report            ReportMsg // buffer of full reports
	reportDue         bool      // the next message is a full report
	lastReportAt      time.Duration
	lastSentAt        time.Duration
	lastActiveAt      time.Duration
	earliestDeadline  time.Duration // of all waiting requests, 0 = none
	serviceTable      ServiceTableMsg
	serviceSinceTable map[string]float64 // cost units by workspace
	targetNames       []string           // received in this generation
	granted           []Granted          // buffer of OnGrant
	unackedOutcomes   []unackedOutcome
}

// unackedOutcome is an outcome that the owner has not acknowledged.
type unackedOutcome struct {
	Completion
	seq uint64 // number of the message that carries it; 0 = this generation's report
}

// NewEntryQueues returns empty queues without an owner. The caller
// must choose an incarnation that differs from those of all other pools and all
// earlier processes of the instance.
func NewEntryQueues(pool string, incarnation uint64) *EntryQueues {
	return &EntryQueues{pool: pool, incarnation: incarnation, requests: map[uint64]*LocalRequest{},
		queues: map[string]*entryQueue{}, serviceSinceTable: map[string]float64{}}
}

// Queued returns the number of waiting requests.
func (e *EntryQueues) Queued() int { return e.queued }

// Running returns the number of requests that have a grant and have not ended.
func (e *EntryQueues) Running() int {
	n := 0
	for _, req := range e.requests {
		if req.state == stateRunning {
			n++
		}
	}
	return n
}

// Incarnation returns the number given to NewEntryQueues.
func (e *EntryQueues) Incarnation() uint64 { return e.incarnation }

// Owner returns the instance that owns the pool, as known here, and its epoch.
// The name is empty if no owner is known.
func (e *EntryQueues) Owner() (string, uint64) { return e.owner, e.epoch }

// SetOwner sets the owner of the pool, to which the next message is a full
// report. It ignores an owner that is already set and those of earlier epochs.
func (e *EntryQueues) SetOwner(owner string, epoch uint64) {
	if epoch < e.epoch || (epoch == e.epoch && owner == e.owner) {
		return
	}
	e.owner, e.epoch = owner, epoch
	// A new owner has no record of these requests; serviceSinceTable holds their cost.
	e.unackedOutcomes = e.unackedOutcomes[:0]
	e.requireReport()
}

// requireReport schedules a full report and drops the changes not sent yet, which
// the report includes.
func (e *EntryQueues) requireReport() {
	e.reportDue = true
	e.pendingDemand.clear()
}

// MessageNotSent handles a message from Flush that could not be sent: the next message
// is a full report.
func (e *EntryQueues) MessageNotSent() { e.requireReport() }

// sendsChanges reports whether changes are sent as increments rather than in the
// next full report.
func (e *EntryQueues) sendsChanges() bool { return e.owner != "" && !e.reportDue }

// Enqueue adds a request to the queue of its workspace. If limit or more requests
// of the workspace are waiting, it returns nil and the time after which the caller
// should retry.
func (e *EntryQueues) Enqueue(d api.SlotRequest, limit int, now time.Duration) (*LocalRequest, time.Duration) {
	q := e.queues[d.Workspace]
	if q == nil {
		q = &entryQueue{workspace: d.Workspace}
		e.queues[d.Workspace] = q
	}
	if q.waiting() >= limit {
		return nil, q.retryAfter()
	}
	req := &LocalRequest{Demand: d, queuedAt: now, queue: q}
	q.unannounced.pushBack(req)
	e.queued++
	e.lastActiveAt = now
	if d.Deadline > 0 && (e.earliestDeadline == 0 || d.Deadline < e.earliestDeadline) {
		e.earliestDeadline = d.Deadline
	}
	e.announce(q, now)
	return req, 0
}

// announce announces requests of a workspace until MaxAnnounced of them are announced.
func (e *EntryQueues) announce(q *entryQueue, now time.Duration) {
	if now < q.announceAfter {
		return
	}
	for q.announced.length < MaxAnnounced && q.unannounced.head != nil {
		req := q.unannounced.head
		q.unannounced.remove(req)
		e.lastNumber++
		req.Number, req.state = e.lastNumber, stateAnnounced
		q.announced.pushBack(req)
		e.requests[req.Number] = req
		if e.sendsChanges() {
			e.pendingDemand.Added = append(e.pendingDemand.Added, req.announcement())
		}
	}
}

func (req *LocalRequest) announcement() Announcement {
	return Announcement{req.Number, req.Demand.Workspace, req.Demand.Class, req.Demand.CostHint, req.Demand.AvoidTarget}
}

// Cancel removes a waiting request from the queue, or returns the grant of a
// started one unused. It does nothing for a request that has ended.
func (e *EntryQueues) Cancel(req *LocalRequest, now time.Duration) {
	switch req.state {
	case stateRunning:
		e.Done(req, api.GrantOutcome{Result: api.ResultNotStarted}, now)
		return
	case stateEnded:
		return
	}
	e.removeWaiting(req, now)
	req.state = stateEnded
	e.announce(req.queue, now)
	e.removeIfUnused(req.queue)
}

// removeWaiting removes a waiting request from its queue and reports the
// cancellation to the owner.
func (e *EntryQueues) removeWaiting(req *LocalRequest, now time.Duration) {
	e.queued--
	e.lastActiveAt = now
	if req.state == stateUnannounced {
		req.queue.unannounced.remove(req)
		return
	}
	req.queue.announced.remove(req)
	delete(e.requests, req.Number)
	if e.sendsChanges() {
		e.pendingDemand.Cancelled = append(e.pendingDemand.Cancelled, req.Number)
	}
	// A grant may be in flight, and the cancellation may be lost.
	e.retainOutcome(Completion{req.Number, api.GrantOutcome{Result: api.ResultNotStarted}})
}

func (e *EntryQueues) removeIfUnused(q *entryQueue) {
	if q.waiting() == 0 && q.meanGrantInterval == 0 {
		delete(e.queues, q.workspace)
	}
}

// Confirm reports the first byte of the response to the owner, with the target's
// warmth and boot number. It does nothing if the request has not started or is
// already confirmed as warm.
func (e *EntryQueues) Confirm(req *LocalRequest, w api.Warmth, boot uint64, now time.Duration) {
	if req.state != stateRunning || req.confirmed {
		return
	}
	req.confirmed = w == api.WarmthWarm
	e.lastActiveAt = now
	if e.sendsChanges() {
		e.pendingDemand.Confirmed = append(e.pendingDemand.Confirmed, Confirm{req.Number, w, boot})
	}
}

// Done ends a started request and reports its outcome to the owner. It does
// nothing if the request has not started.
func (e *EntryQueues) Done(req *LocalRequest, o api.GrantOutcome, now time.Duration) {
	if req.state != stateRunning {
		return
	}
	req.state = stateEnded
	delete(e.requests, req.Number)
	if o.Result == api.ResultNotStarted {
		e.addService(req, -req.estimate)
	} else if o.Cost > 0 {
		e.addService(req, o.Cost-req.estimate)
	}
	e.recordOutcome(req.Number, o, now)
}

func (e *EntryQueues) recordOutcome(n uint64, o api.GrantOutcome, now time.Duration) {
	e.lastActiveAt = now
	d := Completion{n, o}
	e.retainOutcome(d)
	if e.sendsChanges() {
		e.pendingDemand.Done = append(e.pendingDemand.Done, d)
	}
}

// retainOutcome keeps the outcome until the owner has acknowledged it, because a
// lost outcome leaves an estimate in place of the true cost.
func (e *EntryQueues) retainOutcome(d Completion) {
	if len(e.unackedOutcomes) == maxUnackedOutcomes {
		e.unackedOutcomes = append(e.unackedOutcomes[:0], e.unackedOutcomes[maxUnackedOutcomes/2:]...)
	}
	e.unackedOutcomes = append(e.unackedOutcomes, unackedOutcome{d, e.seq + 1})
}

// dropAcknowledged drops the outcomes that the owner has received in messages up
// to seq.
func (e *EntryQueues) dropAcknowledged(seq uint64) {
	n := 0
	for n < len(e.unackedOutcomes) && e.unackedOutcomes[n].seq <= seq {
		n++
	}
	if n > 0 {
		e.unackedOutcomes = e.unackedOutcomes[:copy(e.unackedOutcomes, e.unackedOutcomes[n:])]
	}
}

// OnServiceTable handles a copy of the virtual service table and keeps the newest one.
// The queues retain the message; the caller must not change it afterwards.
func (e *EntryQueues) OnServiceTable(m *ServiceTableMsg) {
	if !m.Newer(&e.serviceTable) {
		return
	}
	e.fillLearnedMeans(m)
	e.serviceTable = *m
	clear(e.serviceSinceTable)
}

// fillLearnedMeans copies the learned mean costs from the previous table, because
// most copies omit them.
func (e *EntryQueues) fillLearnedMeans(m *ServiceTableMsg) {
	known := make(map[string]*fairness.Row, len(e.serviceTable.Rows))
	for i := range e.serviceTable.Rows {
		known[e.serviceTable.Rows[i].Workspace] = &e.serviceTable.Rows[i]
	}
	for i := range m.Rows {
		if old := known[m.Rows[i].Workspace]; old != nil && m.Rows[i].MeanCosts == [fairness.NumCostClasses]float64{} {
			m.Rows[i].MeanCosts = old.MeanCosts
		}
	}
}

// addService adds service, in cost units, that the table does not contain yet.
func (e *EntryQueues) addService(req *LocalRequest, service float64) {
	e.serviceSinceTable[req.Demand.Workspace] += service
}

// OnGrant handles a message of the owner and returns the requests that may start.
// Messages of earlier epochs are ignored; a later epoch replaces the owner. Grants
// that must not be used are returned to the owner. The slice is valid until the
// next call.
func (e *EntryQueues) OnGrant(from string, m *GrantMsg, now time.Duration, env GrantChecker) []Granted {
	e.granted = e.granted[:0]
	if m.Epoch < e.epoch {
		return nil
	}
	e.SetOwner(from, m.Epoch)
	if m.Incarnation == e.incarnation && m.Generation == e.generation && !e.reportDue {
		e.dropAcknowledged(m.Ack)
		e.applyGrants(m, now, env)
	}
	wantsNewer := m.Incarnation == e.incarnation && m.Generation >= e.generation
	if m.WantReport && (wantsNewer || now-e.lastReportAt >= reportRequestDedupTime) {
		e.requireReport()
	}
	return e.granted
}

func (e *EntryQueues) applyGrants(m *GrantMsg, now time.Duration, env GrantChecker) {
	if m.GrantsBefore > e.grantsReceived {
		e.requireReport() // an earlier message was lost or overtaken by this one
		return
	}
	if m.GrantsBefore+uint64(len(m.Grants)) <= e.grantsReceived {
		return
	}
	newGrants := m.Grants[e.grantsReceived-m.GrantsBefore:]
	e.grantsReceived += uint64(len(newGrants))
	clock := toMs(now)
	clockFresh := m.Clock <= clock && clock-m.Clock <= toMs(maxEchoedClockAge)
	for i := range newGrants {
		if !e.resolveTarget(&newGrants[i]) {
			e.requireReport()
			return
		}
		e.applyGrant(&newGrants[i], clockFresh && env.LeaseValid(), now, env)
	}
}

// resolveTarget fills in the name of the target and returns false if the grant
// refers to a name that was not received.
func (e *EntryQueues) resolveTarget(g *Grant) bool {
	if g.Target != "" {
		e.targetNames = append(e.targetNames, g.Target)
		return true
	}
	if g.Ref == 0 || g.Ref > uint64(len(e.targetNames)) {
		return false
	}
	g.Target = e.targetNames[g.Ref-1]
	return true
}

func (e *EntryQueues) applyGrant(g *Grant, usable bool, now time.Duration, env GrantChecker) {
	req := e.requests[g.Number]
	if req == nil || req.state != stateAnnounced {
		// The request was cancelled before the grant arrived.
		e.recordOutcome(g.Number, api.GrantOutcome{Result: api.ResultNotStarted}, now)
		return
	}
	address, ok := "", false
	if usable {
		address, ok = env.Address(e.pool, g.Target)
	}
	q := req.queue
	q.announced.remove(req)
	if !ok {
		delete(e.requests, req.Number)
		e.recordOutcome(req.Number, api.GrantOutcome{Result: api.ResultNotStarted}, now)
		req.state = stateUnannounced
		q.unannounced.pushFront(req)
		q.announceAfter = now + reannounceDelay
		return
	}
	e.queued--
	e.lastActiveAt = now
	q.recordGrant(now)
	req.state, req.target, req.estimate, req.startedAt = stateRunning, g.Target, g.Estimate, now
	e.addService(req, g.Estimate)
	e.granted = append(e.granted, Granted{req, api.Grant{Target: g.Target, Address: address, Epoch: e.epoch}})
	e.announce(q, now)
}

func toMs(d time.Duration) uint64 { return uint64(max(0, d) / time.Millisecond) }
