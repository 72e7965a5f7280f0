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

// Item is one waiting or running request of an instance.
type Item struct {
	// N is the request's number on its instance, assigned when the request is
	// announced to the owner; 0 before.
	N      uint64
	Demand api.Demand
	// Data is for the caller of Enqueue; the package does not use it.
	Data any

	state      itemState
	target     string
	estimate   float64 // cost units
	confirmed  bool    // the target responded and was warm
	queuedAt   time.Duration
	startedAt  time.Duration
	queue      *entryQueue
	prev, next *Item
}

type itemState uint8

const (
	stateUnannounced itemState = iota // waiting, not announced
	stateAnnounced                    // waiting, announced to the owner
	stateRunning
	stateEnded
)

// Waiting reports whether the request is queued and has no grant.
func (it *Item) Waiting() bool { return it.state <= stateAnnounced }

// Started reports whether the request has a grant whose work has not ended.
func (it *Item) Started() bool { return it.state == stateRunning }

// Env provides the local state that a grant is checked against before use.
type Env interface {
	// LeaseValid reports whether this instance may dispatch now.
	LeaseValid() bool
	// Address returns the address of a target. It returns false if the instance's
	// view does not list the target in the pool or has it out of service.
	Address(pool, target string) (string, bool)
}

// Granted is a request that may start now.
type Granted struct {
	Item *Item
	api.Grant
}

// Router queues the requests of one instance for one pool, announces them to the
// owner of the pool and starts them on the owner's grants. It is not safe for
// concurrent use.
type Router struct {
	pool        string
	incarnation uint64

	owner          string
	epoch          uint64
	generation     uint64
	seq            uint64 // number of the last message in this generation
	grantsReceived uint64 // in this generation
	grantsAcked    uint64 // value of grantsReceived in the last message
	lastNumber     uint64 // number of the request announced last

	items  map[uint64]*Item // announced and running, by number
	queues map[string]*entryQueue
	queued int // waiting requests

	pendingDemand     DemandMsg // changes not sent yet
	sentDemand        DemandMsg // message returned by the last Flush
	report            ReportMsg // buffer of full reports
	reportDue         bool      // the next message is a full report
	lastReportAt      time.Duration
	lastSentAt        time.Duration
	lastActiveAt      time.Duration
	earliestDeadline  time.Duration // of all waiting requests, 0 = none
	serviceTable      ServiceMsg
	serviceSinceTable map[string]float64 // cost units by workspace
	targetNames       []string           // received in this generation
	granted           []Granted          // buffer of OnGrant
	unackedOutcomes   []unackedOutcome
}

// unackedOutcome is an outcome that the owner has not acknowledged.
type unackedOutcome struct {
	Done
	seq uint64 // number of the message that carries it; 0 = this generation's report
}

// NewRouter returns a router without requests and without an owner. The caller
// must choose an incarnation that differs from those of all other pools and all
// earlier processes of the instance.
func NewRouter(pool string, incarnation uint64) *Router {
	return &Router{pool: pool, incarnation: incarnation, items: map[uint64]*Item{},
		queues: map[string]*entryQueue{}, serviceSinceTable: map[string]float64{}}
}

// Queued returns the number of waiting requests.
func (r *Router) Queued() int { return r.queued }

// Running returns the number of requests that have a grant and have not ended.
func (r *Router) Running() int {
	n := 0
	for _, it := range r.items {
		if it.state == stateRunning {
			n++
		}
	}
	return n
}

// Incarnation returns the number given to NewRouter.
func (r *Router) Incarnation() uint64 { return r.incarnation }

// Owner returns the instance that owns the pool, as known here, and its epoch.
// The name is empty if no owner is known.
func (r *Router) Owner() (string, uint64) { return r.owner, r.epoch }

// SetOwner sets the owner of the pool, to which the next message is a full
// report. It ignores an owner that is already set and those of earlier epochs.
func (r *Router) SetOwner(owner string, epoch uint64) {
	if epoch < r.epoch || (epoch == r.epoch && owner == r.owner) {
		return
	}
	r.owner, r.epoch = owner, epoch
	r.unackedOutcomes = r.unackedOutcomes[:0] // a new owner has no record of them; serviceSinceTable holds their cost
	r.requireReport()
}

// requireReport schedules a full report and drops the changes not sent yet, which
// the report includes.
func (r *Router) requireReport() {
	r.reportDue = true
	r.pendingDemand.clear()
}

// Lost handles a message from Flush that could not be sent: the next message is a
// full report.
func (r *Router) Lost() { r.requireReport() }

// sendsChanges reports whether changes are sent as increments rather than in the
// next full report.
func (r *Router) sendsChanges() bool { return r.owner != "" && !r.reportDue }

// Enqueue adds a request to the queue of its workspace. If limit or more requests
// of the workspace are waiting, it returns nil and the time after which the caller
// should retry.
func (r *Router) Enqueue(d api.Demand, limit int, now time.Duration) (*Item, time.Duration) {
	q := r.queues[d.Workspace]
	if q == nil {
		q = &entryQueue{workspace: d.Workspace}
		r.queues[d.Workspace] = q
	}
	if q.waiting() >= limit {
		return nil, q.retryAfter()
	}
	it := &Item{Demand: d, queuedAt: now, queue: q}
	q.unannounced.pushBack(it)
	r.queued++
	r.lastActiveAt = now
	if d.Deadline > 0 && (r.earliestDeadline == 0 || d.Deadline < r.earliestDeadline) {
		r.earliestDeadline = d.Deadline
	}
	r.announce(q, now)
	return it, 0
}

// announce announces requests of a workspace until Window of them are announced.
func (r *Router) announce(q *entryQueue, now time.Duration) {
	if now < q.announceAfter {
		return
	}
	for q.announced.length < Window && q.unannounced.head != nil {
		it := q.unannounced.head
		q.unannounced.remove(it)
		r.lastNumber++
		it.N, it.state = r.lastNumber, stateAnnounced
		q.announced.pushBack(it)
		r.items[it.N] = it
		if r.sendsChanges() {
			r.pendingDemand.Added = append(r.pendingDemand.Added, it.announcement())
		}
	}
}

func (it *Item) announcement() Add {
	return Add{it.N, it.Demand.Workspace, it.Demand.Class, it.Demand.Hint, it.Demand.Avoid}
}

// Cancel removes a waiting request from the queue, or returns the grant of a
// started one unused. It does nothing for a request that has ended.
func (r *Router) Cancel(it *Item, now time.Duration) {
	switch it.state {
	case stateRunning:
		r.Done(it, api.Outcome{Result: api.ResultNotStarted}, now)
		return
	case stateEnded:
		return
	}
	r.removeWaiting(it, now)
	it.state = stateEnded
	r.announce(it.queue, now)
	r.removeIfUnused(it.queue)
}

// removeWaiting removes a waiting request from its queue and reports the
// cancellation to the owner.
func (r *Router) removeWaiting(it *Item, now time.Duration) {
	r.queued--
	r.lastActiveAt = now
	if it.state == stateUnannounced {
		it.queue.unannounced.remove(it)
		return
	}
	it.queue.announced.remove(it)
	delete(r.items, it.N)
	if r.sendsChanges() {
		r.pendingDemand.Cancelled = append(r.pendingDemand.Cancelled, it.N)
	}
	// A grant may be in flight, and the cancellation may be lost.
	r.retainOutcome(Done{it.N, api.Outcome{Result: api.ResultNotStarted}})
}

func (r *Router) removeIfUnused(q *entryQueue) {
	if q.waiting() == 0 && q.meanGrantInterval == 0 {
		delete(r.queues, q.workspace)
	}
}

// Confirm reports the first byte of the response to the owner, with the target's
// warmth and boot number. It does nothing if the request has not started or is
// already confirmed as warm.
func (r *Router) Confirm(it *Item, w api.Warmth, boot uint64, now time.Duration) {
	if it.state != stateRunning || it.confirmed {
		return
	}
	it.confirmed = w == api.WarmthWarm
	r.lastActiveAt = now
	if r.sendsChanges() {
		r.pendingDemand.Confirmed = append(r.pendingDemand.Confirmed, Confirm{it.N, w, boot})
	}
}

// Done ends a started request and reports its outcome to the owner. It does
// nothing if the request has not started.
func (r *Router) Done(it *Item, o api.Outcome, now time.Duration) {
	if it.state != stateRunning {
		return
	}
	it.state = stateEnded
	delete(r.items, it.N)
	if o.Result == api.ResultNotStarted {
		r.addService(it, -it.estimate)
	} else if o.Cost > 0 {
		r.addService(it, o.Cost-it.estimate)
	}
	r.recordOutcome(it.N, o, now)
}

func (r *Router) recordOutcome(n uint64, o api.Outcome, now time.Duration) {
	r.lastActiveAt = now
	d := Done{n, o}
	r.retainOutcome(d)
	if r.sendsChanges() {
		r.pendingDemand.Done = append(r.pendingDemand.Done, d)
	}
}

// retainOutcome keeps the outcome until the owner has acknowledged it, because a
// lost outcome leaves an estimate in place of the true cost.
func (r *Router) retainOutcome(d Done) {
	if len(r.unackedOutcomes) == maxUnackedOutcomes {
		r.unackedOutcomes = append(r.unackedOutcomes[:0], r.unackedOutcomes[maxUnackedOutcomes/2:]...)
	}
	r.unackedOutcomes = append(r.unackedOutcomes, unackedOutcome{d, r.seq + 1})
}

// dropAcknowledged drops the outcomes that the owner has received in messages up
// to seq.
func (r *Router) dropAcknowledged(seq uint64) {
	n := 0
	for n < len(r.unackedOutcomes) && r.unackedOutcomes[n].seq <= seq {
		n++
	}
	if n > 0 {
		r.unackedOutcomes = r.unackedOutcomes[:copy(r.unackedOutcomes, r.unackedOutcomes[n:])]
	}
}

// OnService handles a copy of the virtual service table and keeps the newest one.
// The router retains the message; the caller must not change it afterwards.
func (r *Router) OnService(m *ServiceMsg) {
	if !m.Newer(&r.serviceTable) {
		return
	}
	r.fillLearnedMeans(m)
	r.serviceTable = *m
	clear(r.serviceSinceTable)
}

// fillLearnedMeans copies the learned mean costs from the previous table, because
// most copies omit them.
func (r *Router) fillLearnedMeans(m *ServiceMsg) {
	known := make(map[string]*fairness.Row, len(r.serviceTable.Rows))
	for i := range r.serviceTable.Rows {
		known[r.serviceTable.Rows[i].Workspace] = &r.serviceTable.Rows[i]
	}
	for i := range m.Rows {
		if old := known[m.Rows[i].Workspace]; old != nil && m.Rows[i].Learned == [fairness.Kinds]float64{} {
			m.Rows[i].Learned = old.Learned
		}
	}
}

// addService adds service, in cost units, that the table does not contain yet.
func (r *Router) addService(it *Item, service float64) {
	r.serviceSinceTable[it.Demand.Workspace] += service
}

// OnGrant handles a message of the owner and returns the requests that may start.
// Messages of earlier epochs are ignored; a later epoch replaces the owner. Grants
// that must not be used are returned to the owner. The slice is valid until the
// next call.
func (r *Router) OnGrant(from string, m *GrantMsg, now time.Duration, env Env) []Granted {
	r.granted = r.granted[:0]
	if m.Epoch < r.epoch {
		return nil
	}
	r.SetOwner(from, m.Epoch)
	if m.Inc == r.incarnation && m.Gen == r.generation && !r.reportDue {
		r.dropAcknowledged(m.Ack)
		r.applyGrants(m, now, env)
	}
	wantsNewer := m.Inc == r.incarnation && m.Gen >= r.generation
	if m.Want && (wantsNewer || now-r.lastReportAt >= reportRequestDedupTime) {
		r.requireReport()
	}
	return r.granted
}

func (r *Router) applyGrants(m *GrantMsg, now time.Duration, env Env) {
	if m.First > r.grantsReceived {
		r.requireReport() // an earlier message was lost or overtaken by this one
		return
	}
	if m.First+uint64(len(m.List)) <= r.grantsReceived {
		return
	}
	newGrants := m.List[r.grantsReceived-m.First:]
	r.grantsReceived += uint64(len(newGrants))
	clock := toMs(now)
	clockFresh := m.Clock <= clock && clock-m.Clock <= toMs(maxEchoedClockAge)
	for i := range newGrants {
		if !r.resolveTarget(&newGrants[i]) {
			r.requireReport()
			return
		}
		r.applyGrant(&newGrants[i], clockFresh && env.LeaseValid(), now, env)
	}
}

// resolveTarget fills in the name of the target and returns false if the grant
// refers to a name that was not received.
func (r *Router) resolveTarget(g *Grant) bool {
	if g.Target != "" {
		r.targetNames = append(r.targetNames, g.Target)
		return true
	}
	if g.Ref == 0 || g.Ref > uint64(len(r.targetNames)) {
		return false
	}
	g.Target = r.targetNames[g.Ref-1]
	return true
}

func (r *Router) applyGrant(g *Grant, usable bool, now time.Duration, env Env) {
	it := r.items[g.N]
	if it == nil || it.state != stateAnnounced {
		r.recordOutcome(g.N, api.Outcome{Result: api.ResultNotStarted}, now) // cancelled before the grant arrived
		return
	}
	address, ok := "", false
	if usable {
		address, ok = env.Address(r.pool, g.Target)
	}
	q := it.queue
	q.announced.remove(it)
	if !ok {
		delete(r.items, it.N)
		r.recordOutcome(it.N, api.Outcome{Result: api.ResultNotStarted}, now)
		it.state = stateUnannounced
		q.unannounced.pushFront(it)
		q.announceAfter = now + reannounceDelay
		return
	}
	r.queued--
	r.lastActiveAt = now
	q.recordGrant(now)
	it.state, it.target, it.estimate, it.startedAt = stateRunning, g.Target, g.Estimate, now
	r.addService(it, g.Estimate)
	r.granted = append(r.granted, Granted{it, api.Grant{Target: g.Target, Address: address, Epoch: r.epoch}})
	r.announce(q, now)
}

func toMs(d time.Duration) uint64 { return uint64(max(0, d) / time.Millisecond) }
