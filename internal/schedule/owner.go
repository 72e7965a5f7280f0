package schedule

import (
	"maps"
	"slices"
	"time"

	"nutmegrouter/internal/fairness"
	"nutmegrouter/internal/limits"
)

const (
	// Window is the number of waiting requests of one workspace that a router
	// announces. It bounds the owner's state.
	Window = 64
	// staleAfter is the silence after which a router gets no grants. Routers
	// with waiting requests send every 250 ms and refuse grants that echo a
	// clock value older than 1 s.
	staleAfter = 800 * time.Millisecond
	// askEvery is the interval between requests for the same full report.
	askEvery = 200 * time.Millisecond
	// ackLimit is how long grants may stay unacknowledged before the router gets
	// no more of them and is asked for a full report. Routers with waiting
	// requests acknowledge within ackDelay. Each grant to a dead router blocks a
	// slot until the target has reported, so the limit is short.
	ackLimit = 100 * time.Millisecond
	// suspectAfter is the silence after which a router with requests is suspected
	// to be dead: it should have sent twice.
	suspectAfter = 600 * time.Millisecond
	// deadAfter is the silence after which a router without a lease is dead.
	deadAfter = time.Second
	// unheardAfter is the same for a router that a new owner has not heard at
	// all: time for one request for a report and its answer. Waiting deadAfter
	// here would prolong each takeover by a second beyond its bound of 3 s.
	unheardAfter = askEvery
	// limitsEvery is the interval of time steps of the targets, each of which
	// costs one step for each target.
	limitsEvery = 50 * time.Millisecond
	// gateTime bounds the wait for the first load report after a takeover. It
	// begins with the wait for the routers' reports.
	gateTime = time.Second
	// spareWorkspaces is room for workspaces that routers know and the owner's
	// view does not.
	spareWorkspaces = 16
)

// Stats are counters of an owner. They only grow.
type Stats struct {
	Grants, Started, Settled, Refunded uint64
	Gaps, Stale, Reports, Dropped      uint64
	Lost                               uint64 // requests whose end was never reported
}

// Note is a change of state for the timeline.
type Note struct {
	Step   string
	Peer   string
	Target string
	Detail string
}

// maxNotes bounds the notes kept between two calls of Notes.
const maxNotes = 256

// Owner schedules one pool during one epoch of ownership.
type Owner struct {
	Stats Stats

	pool  string
	epoch uint64
	fair  *fairness.Table
	lim   *limits.Set
	peers map[string]*peer
	order []*peer
	dirty []*peer
	free  *request

	open       bool
	workspaces int
	table      ServiceMsg // newest copy offered by a report
	seq        uint64     // number of the last copy sent; starts at the clock, so that it grows if one instance owns an epoch twice
	copies     uint64
	emptied    bool   // the last copy had no rows
	copied     uint64 // changes contained in the last copy
	limTicked  time.Duration
	forgot     time.Duration
	notes      []Note
	msg        GrantMsg
}

// NewOwner returns an owner that waits for the reports of all instances. The
// map gives the data centre of each instance, this one included.
func NewOwner(pool string, epoch uint64, instances map[string]string, now time.Duration) *Owner {
	o := &Owner{
		pool: pool, epoch: epoch, forgot: now, seq: toMs(now),
		fair: fairness.New(), lim: limits.NewSet(),
		peers: make(map[string]*peer, len(instances)),
	}
	o.lim.Gate(now+gateTime, now)
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		p := &peer{name: name, dataCentre: instances[name], heard: now, requests: map[uint64]*request{}, names: map[string]uint64{}}
		o.peers[name] = p
		o.order = append(o.order, p)
		o.ask(p, now)
	}
	return o
}

// Pool returns the name of the pool.
func (o *Owner) Pool() string { return o.pool }

// Epoch returns the epoch of ownership.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Open reports whether all instances have reported or hold no lease.
func (o *Owner) Open() bool { return o.open }

// Limits gives access to the targets.
func (o *Owner) Limits() *limits.Set { return o.lim }

// Fair gives access to the accounts.
func (o *Owner) Fair() *fairness.Table { return o.fair }

// SetWeights sets the weights of the configured workspaces.
func (o *Owner) SetWeights(weights map[string]float64) {
	o.workspaces = len(weights)
	o.fair.SetWeights(weights)
}

// Notes returns and clears the changes of state. The slice is reused.
func (o *Owner) Notes() []Note {
	for _, c := range o.lim.Changes() {
		o.note(Note{Step: "target", Target: c.Target, Detail: c.What})
	}
	n := o.notes
	o.notes = o.notes[:0]
	return n
}

func (o *Owner) note(n Note) {
	if len(o.notes) < maxNotes {
		o.notes = append(o.notes, n)
	}
}

// Schedule makes grants until no request waits or no target has room, and
// returns their number.
func (o *Owner) Schedule(now time.Duration) int {
	if !o.open {
		return 0
	}
	count := 0
	for o.decide(now) {
		count++
	}
	return count
}

// decide makes one scheduling decision and reports whether it granted. It costs
// at most the logarithm of the workspaces and of the targets, and allocates
// nothing once the buffers have grown.
func (o *Owner) decide(now time.Duration) bool {
	w := o.fair.Min()
	if w == nil {
		return false
	}
	r := w.Data.(*queue).head
	t := o.lim.Pick(r.peer.dataCentre, r.avoid)
	if t == nil {
		return false
	}
	r.estimate = o.fair.Charge(w, r.kind, r.hint)
	o.dequeue(r)
	o.lim.Begin(t, &r.work, now)
	o.send(r.peer, r.peer.grant(r, t.Name), now)
	o.Stats.Grants++
	return true
}

func (o *Owner) send(p *peer, g Grant, now time.Duration) {
	if p.mark == 0 {
		p.markAt = now
	}
	p.out = append(p.out, g)
	p.sent++
	if p.mark == 0 {
		p.mark = p.sent
	}
	o.touch(p)
}

func (o *Owner) touch(p *peer) {
	if !p.dirty {
		p.dirty = true
		o.dirty = append(o.dirty, p)
	}
}

// Flush passes the messages due to a function. The message is valid only during
// the call. If the function returns false the message is lost, and the router's
// acknowledgements will show it.
func (o *Owner) Flush(send func(to string, m *GrantMsg) bool) {
	for _, p := range o.dirty {
		p.dirty = false
		if len(p.out) == 0 && !p.want {
			continue
		}
		o.msg = GrantMsg{
			Epoch: o.epoch, Inc: p.inc, Gen: p.gen, Clock: p.clock,
			First: p.sent - uint64(len(p.out)), Ack: p.ack(), Want: p.want, List: p.out,
		}
		if p.want {
			o.msg.Pool = o.pool // the router may be a new process
		}
		if !send(p.name, &o.msg) {
			o.Stats.Dropped++
		}
		p.out, p.want = p.out[:0], false
	}
	o.dirty = o.dirty[:0]
}

// Pending reports whether Flush has messages.
func (o *Owner) Pending() bool { return len(o.dirty) > 0 }

// ask requests a full report, at most once in askEvery.
func (o *Owner) ask(p *peer, now time.Duration) {
	if p.askedAt && now-p.asked < askEvery {
		return
	}
	p.askedAt, p.asked, p.want = true, now, true
	o.touch(p)
}

// learnedEvery is the number of copies of which one carries the learned means,
// which are most of its bytes and change slowly.
const learnedEvery = 5

// Service fills a copy of the virtual service table: the accounts in use, or all.
// It reports whether there is anything to send: not if nothing has changed.
func (o *Owner) Service(m *ServiceMsg, all bool) bool {
	changes := o.Stats.Grants + o.Stats.Settled + o.Stats.Refunded + o.Stats.Lost
	if !o.open || changes == o.copied && !all {
		return false
	}
	o.copied = changes
	o.copies++
	o.seq++
	m.Pool, m.Epoch, m.Seq, m.Virtual = o.pool, o.epoch, o.seq, o.fair.VirtualTime()
	m.Rows = o.fair.Rows(m.Rows[:0], all)
	if len(m.Rows) == 0 && o.emptied {
		return false // the last copy said the same
	}
	o.emptied = len(m.Rows) == 0
	for i := range m.Rows {
		if !all && o.copies%learnedEvery != 1 {
			m.Rows[i].Learned = [fairness.Kinds]float64{}
		}
	}
	return true
}

// Waiting returns the number of announced requests that wait.
func (o *Owner) Waiting() int {
	n := 0
	for _, p := range o.order {
		n += p.waiting
	}
	return n
}
