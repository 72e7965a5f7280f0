package schedule

import (
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

const (
	// heartbeatBusy is the longest gap between two messages of a router with
	// waiting or running requests. Grants echo its clock and are refused after
	// echoLimit, and a silent router is suspected to be dead.
	heartbeatBusy = 250 * time.Millisecond
	// ackDelay bounds the time until a router with waiting requests acknowledges
	// a grant.
	ackDelay = 10 * time.Millisecond
	// heartbeatIdle is the same for a router that has had requests within
	// heartbeatTail.
	heartbeatIdle = time.Second
	// heartbeatTail makes sure that the loss of a last message is noticed.
	heartbeatTail = 3 * time.Second
	// echoLimit is the largest age of a clock value echoed by a grant.
	echoLimit = time.Second
	// regrantPause is the pause before a request whose grant was returned is
	// announced again, so that two differing views do not exchange it in a loop.
	regrantPause = 50 * time.Millisecond
	// repeatPause is the time in which a second request for a report that was
	// just sent is ignored.
	repeatPause = 100 * time.Millisecond
	// maxDone bounds the outcomes that no owner has acknowledged.
	maxDone = 4096
)

// Item is one waiting or running request on a router.
type Item struct {
	N      uint64
	Demand api.Demand
	// Data belongs to the user of the router.
	Data any

	state      itemState
	target     string
	estimate   float64
	confirmed  bool
	queued     time.Duration
	started    time.Duration
	queue      *line
	prev, next *Item
}

type itemState uint8

const (
	stateHeld      itemState = iota // waiting, not announced
	stateAnnounced                  // waiting, announced to the owner
	stateRunning
	stateEnded
)

// Waiting reports whether the request waits for a grant.
func (it *Item) Waiting() bool { return it.state <= stateAnnounced }

// Started reports whether the request has a grant whose work has not ended.
func (it *Item) Started() bool { return it.state == stateRunning }

// Env answers what a grant is checked against.
type Env interface {
	// LeaseValid reports whether this instance may dispatch now.
	LeaseValid() bool
	// Address returns the address of a target that this instance's view allows.
	Address(pool, target string) (string, bool)
}

// Granted is a request that may start now.
type Granted struct {
	Item *Item
	api.Grant
}

// Router keeps the requests of one router for one pool.
type Router struct {
	pool string
	inc  uint64

	owner string
	epoch uint64
	gen   uint64
	seq   uint64
	got   uint64
	acked uint64 // value of got in the last message
	next  uint64

	items  map[uint64]*Item // announced and running
	lines  map[string]*line
	queued int // waiting requests

	out        DemandMsg
	spare      DemandMsg
	report     ReportMsg
	mustReport bool
	reported   time.Duration
	sent       time.Duration
	active     time.Duration
	deadline   time.Duration // earliest deadline, 0 = none
	table      ServiceMsg
	since      map[string]float64 // service by workspace since the table was received
	names      []string           // target names received in this generation
	granted    []Granted
	ended      []endedWork
}

// endedWork is an outcome that the owner has not acknowledged.
type endedWork struct {
	Done
	seq uint64 // message that carries it; 0 = the report of this generation
}

// NewRouter returns an empty router. The incarnation differs between any two
// processes of one instance.
func NewRouter(pool string, incarnation uint64) *Router {
	return &Router{pool: pool, inc: incarnation, items: map[uint64]*Item{},
		lines: map[string]*line{}, since: map[string]float64{}}
}

// Queued returns the number of waiting requests.
func (r *Router) Queued() int { return r.queued }

// Running returns the number of requests with a grant.
func (r *Router) Running() int {
	n := 0
	for _, it := range r.items {
		if it.state == stateRunning {
			n++
		}
	}
	return n
}

// Incarnation returns the number that tells this router from others.
func (r *Router) Incarnation() uint64 { return r.inc }

// Owner returns the owner that the router sends to, and its epoch.
func (r *Router) Owner() (string, uint64) { return r.owner, r.epoch }

// SetOwner notes the owner of the pool. A new owner gets a full report.
func (r *Router) SetOwner(owner string, epoch uint64) {
	if epoch < r.epoch || (epoch == r.epoch && owner == r.owner) {
		return
	}
	r.owner, r.epoch = owner, epoch
	r.ended = r.ended[:0] // a new owner knows nothing of them; see since
	r.requireReport()
}

// requireReport voids the messages not sent yet: the report replaces them.
func (r *Router) requireReport() {
	r.mustReport = true
	r.out.clear()
}

// Lost tells the router that a message was not sent.
func (r *Router) Lost() { r.requireReport() }

// inStep reports whether changes are sent one by one.
func (r *Router) inStep() bool { return r.owner != "" && !r.mustReport }

// Enqueue adds a request. With limit or more waiting requests of the workspace
// it returns nil and the time after which a retry is sensible.
func (r *Router) Enqueue(d api.Demand, limit int, now time.Duration) (*Item, time.Duration) {
	l := r.lines[d.Workspace]
	if l == nil {
		l = &line{workspace: d.Workspace}
		r.lines[d.Workspace] = l
	}
	if l.length() >= limit {
		return nil, l.retryAfter()
	}
	it := &Item{Demand: d, queued: now, queue: l}
	l.held.pushBack(it)
	r.queued++
	r.active = now
	if d.Deadline > 0 && (r.deadline == 0 || d.Deadline < r.deadline) {
		r.deadline = d.Deadline
	}
	r.announce(l, now)
	return it, 0
}

// announce fills the window of a workspace.
func (r *Router) announce(l *line, now time.Duration) {
	if now < l.pausedUntil {
		return
	}
	for l.announced.length < Window && l.held.head != nil {
		it := l.held.head
		l.held.remove(it)
		r.next++
		it.N, it.state = r.next, stateAnnounced
		l.announced.pushBack(it)
		r.items[it.N] = it
		if r.inStep() {
			r.out.Added = append(r.out.Added, it.add())
		}
	}
}

func (it *Item) add() Add {
	return Add{it.N, it.Demand.Workspace, it.Demand.Class, it.Demand.Hint, it.Demand.Avoid}
}

// Cancel takes a request out of the queue, or ends its grant as not started.
func (r *Router) Cancel(it *Item, now time.Duration) {
	switch it.state {
	case stateRunning:
		r.Done(it, api.Outcome{Result: api.ResultNotStarted}, now)
		return
	case stateEnded:
		return
	}
	r.leaveQueue(it, now)
	it.state = stateEnded
	r.announce(it.queue, now)
	r.dropLine(it.queue)
}

// leaveQueue takes a waiting request out of its line and tells the owner.
func (r *Router) leaveQueue(it *Item, now time.Duration) {
	r.queued--
	r.active = now
	if it.state == stateHeld {
		it.queue.held.remove(it)
		return
	}
	it.queue.announced.remove(it)
	delete(r.items, it.N)
	if r.inStep() {
		r.out.Cancelled = append(r.out.Cancelled, it.N)
	}
	// A grant may be on its way, and the cancel may be lost.
	r.keep(Done{it.N, api.Outcome{Result: api.ResultNotStarted}})
}

func (r *Router) dropLine(l *line) {
	if l.length() == 0 && l.interval == 0 {
		delete(r.lines, l.workspace)
	}
}

// Confirm reports the first byte of the response.
func (r *Router) Confirm(it *Item, w api.Warmth, boot uint64, now time.Duration) {
	if it.state != stateRunning || it.confirmed {
		return
	}
	it.confirmed = w == api.WarmthWarm
	r.active = now
	if r.inStep() {
		r.out.Confirmed = append(r.out.Confirmed, Confirm{it.N, w, boot})
	}
}

// Done ends the work on a grant.
func (r *Router) Done(it *Item, o api.Outcome, now time.Duration) {
	if it.state != stateRunning {
		return
	}
	it.state = stateEnded
	delete(r.items, it.N)
	if o.Result == api.ResultNotStarted {
		r.account(it, -it.estimate)
	} else if o.Cost > 0 {
		r.account(it, o.Cost-it.estimate)
	}
	r.finish(it.N, o, now)
}

func (r *Router) finish(n uint64, o api.Outcome, now time.Duration) {
	r.active = now
	d := Done{n, o}
	r.keep(d)
	if r.inStep() {
		r.out.Done = append(r.out.Done, d)
	}
}

// keep holds the outcome until the owner has acknowledged it, because a lost
// outcome leaves an estimate in place of the true cost.
func (r *Router) keep(d Done) {
	if len(r.ended) == maxDone {
		r.ended = append(r.ended[:0], r.ended[maxDone/2:]...)
	}
	r.ended = append(r.ended, endedWork{d, r.seq + 1})
}

// acknowledge drops the outcomes that the owner has.
func (r *Router) acknowledge(seq uint64) {
	n := 0
	for n < len(r.ended) && r.ended[n].seq <= seq {
		n++
	}
	if n > 0 {
		r.ended = r.ended[:copy(r.ended, r.ended[n:])]
	}
}

// OnService keeps the newest copy of the virtual service table. The router keeps
// the message.
func (r *Router) OnService(m *ServiceMsg) {
	if !m.Newer(&r.table) {
		return
	}
	r.keepLearned(m)
	r.table = *m
	clear(r.since)
}

// keepLearned fills in the learned means, which most copies leave out.
func (r *Router) keepLearned(m *ServiceMsg) {
	known := make(map[string]*fairness.Row, len(r.table.Rows))
	for i := range r.table.Rows {
		known[r.table.Rows[i].Workspace] = &r.table.Rows[i]
	}
	for i := range m.Rows {
		if old := known[m.Rows[i].Workspace]; old != nil && m.Rows[i].Learned == [fairness.Kinds]float64{} {
			m.Rows[i].Learned = old.Learned
		}
	}
}

// account notes service that the table does not contain yet.
func (r *Router) account(it *Item, service float64) {
	r.since[it.Demand.Workspace] += service
}

// OnGrant handles a message of the owner and returns the requests that may
// start. The slice is valid until the next call.
func (r *Router) OnGrant(from string, m *GrantMsg, now time.Duration, env Env) []Granted {
	r.granted = r.granted[:0]
	if m.Epoch < r.epoch {
		return nil
	}
	r.SetOwner(from, m.Epoch)
	if m.Inc == r.inc && m.Gen == r.gen && !r.mustReport {
		r.acknowledge(m.Ack)
		r.takeGrants(m, now, env)
	}
	unanswered := m.Inc == r.inc && m.Gen >= r.gen
	if m.Want && (unanswered || now-r.reported >= repeatPause) {
		r.requireReport()
	}
	return r.granted
}

func (r *Router) takeGrants(m *GrantMsg, now time.Duration, env Env) {
	if m.First > r.got {
		r.requireReport() // a message was lost, or this one has overtaken it
		return
	}
	if m.First+uint64(len(m.List)) <= r.got {
		return
	}
	fresh := m.List[r.got-m.First:]
	r.got += uint64(len(fresh))
	clock := toMs(now)
	young := m.Clock <= clock && clock-m.Clock <= toMs(echoLimit)
	for i := range fresh {
		if !r.resolve(&fresh[i]) {
			r.requireReport()
			return
		}
		r.takeGrant(&fresh[i], young && env.LeaseValid(), now, env)
	}
}

// resolve fills in the name of the target.
func (r *Router) resolve(g *Grant) bool {
	if g.Target != "" {
		r.names = append(r.names, g.Target)
		return true
	}
	if g.Ref == 0 || g.Ref > uint64(len(r.names)) {
		return false
	}
	g.Target = r.names[g.Ref-1]
	return true
}

func (r *Router) takeGrant(g *Grant, usable bool, now time.Duration, env Env) {
	it := r.items[g.N]
	if it == nil || it.state != stateAnnounced {
		r.finish(g.N, api.Outcome{Result: api.ResultNotStarted}, now) // cancelled meanwhile
		return
	}
	address, ok := "", false
	if usable {
		address, ok = env.Address(r.pool, g.Target)
	}
	l := it.queue
	l.announced.remove(it)
	if !ok {
		delete(r.items, it.N)
		r.finish(it.N, api.Outcome{Result: api.ResultNotStarted}, now)
		it.state = stateHeld
		l.held.pushFront(it)
		l.pausedUntil = now + regrantPause
		return
	}
	r.queued--
	r.active = now
	l.served(now)
	it.state, it.target, it.estimate, it.started = stateRunning, g.Target, g.Estimate, now
	r.account(it, g.Estimate)
	r.granted = append(r.granted, Granted{it, api.Grant{Target: g.Target, Address: address, Epoch: r.epoch}})
	r.announce(l, now)
}

func toMs(d time.Duration) uint64 { return uint64(max(0, d) / time.Millisecond) }
