package schedule

import (
	"maps"
	"slices"
	"time"

	"nutmegrouter/internal/fairness"
	"nutmegrouter/internal/limits"
)

const (
	// MaxAnnounced is the largest number of waiting requests of one workspace that an
	// instance announces. It bounds the owner's state.
	MaxAnnounced = 64
	// maxGrantSilence is the silence after which an instance gets no grants.
	// Instances with waiting requests send every 250 ms and return grants that
	// echo a clock value older than 1 s.
	maxGrantSilence = 800 * time.Millisecond
	// reportRequestInterval is the shortest interval between two requests for a
	// full report to one instance.
	reportRequestInterval = 200 * time.Millisecond
	// maxGrantAckTime is how long grants may stay unacknowledged before the owner
	// stops granting to the instance and requests a full report. Instances with
	// waiting requests acknowledge within maxAckDelay. Each grant to a crashed
	// instance blocks a slot until the target has reported, so the limit is short.
	maxGrantAckTime = 100 * time.Millisecond
	// suspectAfter is the silence after which an instance with requests is
	// suspected of having crashed: two heartbeats are missing.
	suspectAfter = 600 * time.Millisecond
	// lostAfter is the silence after which an instance without a lease is lost.
	lostAfter = time.Second
	// unreportedLostAfter replaces lostAfter for an instance from which a new owner
	// has received no report: time for one request for a report and its response.
	// Waiting lostAfter here would prolong each takeover by a second, beyond its
	// bound of 3 s.
	unreportedLostAfter = reportRequestInterval
	// targetTickInterval is the interval between ticks of the target set, each of
	// which visits every target.
	targetTickInterval = 50 * time.Millisecond
	// maxFirstReportWait bounds the wait for the first load report of a target after a
	// takeover. It runs at the same time as the wait for the instances' reports.
	maxFirstReportWait = time.Second
	// spareWorkspaces is added to the number of configured workspaces when the waiting
	// requests of an instance are bounded, for workspaces that the instance knows and
	// the owner's view does not.
	spareWorkspaces = 16
)

// Stats are counters of an owner. They only grow.
type Stats struct {
	// Grants counts grants, Settled those whose outcome was reported, and Refunded
	// those returned unused. Started is not used.
	Grants, Started, Settled, Refunded uint64
	// Gaps counts messages after a loss, Stale those out of date, and Reports the
	// full reports applied. Dropped counts announcements beyond the bound and
	// messages that could not be sent.
	Gaps, Stale, Reports, Dropped uint64
	Lost                          uint64 // requests whose outcome was never reported
}

// Change is a change of state, recorded as an event of the timeline.
type Change struct {
	Step   string // "open", "target", "router lost", "router back" or "router restarted"
	Peer   string // instance concerned, or ""
	Target string // target concerned, or ""
	Detail string // limits.Change.Event for the step "target", else ""
}

// maxChanges bounds the changes kept between two calls of Changes; further ones are
// dropped.
const maxChanges = 256

// Owner schedules the requests of one pool during one epoch of ownership. It is not
// safe for concurrent use.
type Owner struct {
	Stats Stats

	pool         string
	epoch        uint64
	accounts     *fairness.Table
	targets      *limits.Set
	peers        map[string]*peer
	sortedPeers  []*peer
	dirtyPeers   []*peer
	freeRequests *request

	open           bool
	workspaceCount int
	newestTable    ServiceTableMsg // newest copy in a report received before the owner opened
	// tableSeq is the number of the last copy sent. It starts at the clock value, so
	// that it grows if one instance owns an epoch twice.
	tableSeq       uint64
	tableCopies    uint64
	lastCopyEmpty  bool   // the last copy had no rows
	copiedChanges  uint64 // number of changes contained in the last copy
	lastTargetTick time.Duration
	lastRemoveIdle time.Duration
	changes        []Change
	grantMsg       GrantMsg
}

// NewOwner returns an owner that grants nothing until all instances have reported
// or hold no lease. Instances maps the name of each instance, including this one,
// to its data centre.
func NewOwner(pool string, epoch uint64, instances map[string]string, now time.Duration) *Owner {
	o := &Owner{
		pool: pool, epoch: epoch, lastRemoveIdle: now, tableSeq: toMs(now),
		accounts: fairness.New(), targets: limits.NewSet(),
		peers: make(map[string]*peer, len(instances)),
	}
	o.targets.AwaitReports(now+maxFirstReportWait, now)
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		p := &peer{name: name, dataCentre: instances[name], lastReceivedAt: now, requests: map[uint64]*request{}, targetRefs: map[string]uint64{}}
		o.peers[name] = p
		o.sortedPeers = append(o.sortedPeers, p)
		o.requestReport(p, now)
	}
	return o
}

// Pool returns the name of the pool.
func (o *Owner) Pool() string { return o.pool }

// Epoch returns the epoch of ownership.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Open reports whether the owner makes grants: all instances have reported or hold
// no lease.
func (o *Owner) Open() bool { return o.open }

// Targets returns the targets of the pool with their limits, which the caller may
// update.
func (o *Owner) Targets() *limits.Set { return o.targets }

// Accounts returns the virtual service accounts of the workspaces.
func (o *Owner) Accounts() *fairness.Table { return o.accounts }

// SetWeights sets the weights of the configured workspaces.
func (o *Owner) SetWeights(weights map[string]float64) {
	o.workspaceCount = len(weights)
	o.accounts.SetWeights(weights)
}

// Changes returns and clears the changes of state since the last call. The slice is
// reused.
func (o *Owner) Changes() []Change {
	for _, c := range o.targets.Changes() {
		o.recordChange(Change{Step: "target", Target: c.Target, Detail: c.Event})
	}
	c := o.changes
	o.changes = o.changes[:0]
	return c
}

func (o *Owner) recordChange(c Change) {
	if len(o.changes) < maxChanges {
		o.changes = append(o.changes, c)
	}
}

// Schedule makes grants until no request waits or no target has room, and returns
// their number. It makes none before the owner is open.
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

// decide grants the next request, if any, and reports whether it did. It takes time
// logarithmic in the numbers of workspaces and targets, and allocates nothing once
// the buffers have grown.
func (o *Owner) decide(now time.Duration) bool {
	w := o.accounts.Min()
	if w == nil {
		return false
	}
	r := w.Data.(*ownerQueue).head
	t := o.targets.Pick(r.peer.dataCentre, r.avoid)
	if t == nil {
		return false
	}
	r.estimate = o.accounts.Charge(w, r.class, r.hint)
	o.dequeue(r)
	o.targets.Begin(t, &r.work, now)
	o.queueGrant(r.peer, r.peer.newGrant(r, t.Name), now)
	o.Stats.Grants++
	return true
}

func (o *Owner) queueGrant(p *peer, g Grant, now time.Duration) {
	if p.awaitedAck == 0 {
		p.awaitingSince = now
	}
	p.pendingGrants = append(p.pendingGrants, g)
	p.grantsSent++
	if p.awaitedAck == 0 {
		p.awaitedAck = p.grantsSent
	}
	o.markDirty(p)
}

func (o *Owner) markDirty(p *peer) {
	if !p.flushDue {
		p.flushDue = true
		o.dirtyPeers = append(o.dirtyPeers, p)
	}
}

// Flush calls send for each message that is due. The message is valid only during
// the call. If send returns false the message counts as lost, and the loss shows
// in the instance's acknowledgements.
func (o *Owner) Flush(send func(to string, m *GrantMsg) bool) {
	for _, p := range o.dirtyPeers {
		p.flushDue = false
		if len(p.pendingGrants) == 0 && !p.wantReport {
			continue
		}
		o.grantMsg = GrantMsg{
			Epoch: o.epoch, Incarnation: p.incarnation, Generation: p.generation, Clock: p.lastClock,
			GrantsBefore: p.grantsSent - uint64(len(p.pendingGrants)), Ack: p.takeAck(), WantReport: p.wantReport, Grants: p.pendingGrants,
		}
		if p.wantReport {
			o.grantMsg.Pool = o.pool // the instance may be a new process without this incarnation
		}
		if !send(p.name, &o.grantMsg) {
			o.Stats.Dropped++
		}
		p.pendingGrants, p.wantReport = p.pendingGrants[:0], false
	}
	o.dirtyPeers = o.dirtyPeers[:0]
}

// Pending reports whether Flush may have messages to send.
func (o *Owner) Pending() bool { return len(o.dirtyPeers) > 0 }

// requestReport requests a full report, at most once per reportRequestInterval.
func (o *Owner) requestReport(p *peer, now time.Duration) {
	if p.reportRequested && now-p.reportRequestedAt < reportRequestInterval {
		return
	}
	p.reportRequested, p.reportRequestedAt, p.wantReport = true, now, true
	o.markDirty(p)
}

// copiesPerLearnedMeans is the number of copies of the table of which one includes
// the learned mean costs, which are most of its bytes and change slowly.
const copiesPerLearnedMeans = 5

// ServiceTable fills m with a copy of the virtual service table: all accounts, or only
// those that are backlogged or carry much debt. It returns false if there is
// nothing to send: before the owner is open, if the last copy was empty as well, or,
// unless all is set, if nothing has changed since the last copy.
func (o *Owner) ServiceTable(m *ServiceTableMsg, all bool) bool {
	changes := o.Stats.Grants + o.Stats.Settled + o.Stats.Refunded + o.Stats.Lost
	if !o.open || changes == o.copiedChanges && !all {
		return false
	}
	o.copiedChanges = changes
	o.tableCopies++
	o.tableSeq++
	m.Pool, m.Epoch, m.Seq, m.VirtualTime = o.pool, o.epoch, o.tableSeq, o.accounts.VirtualTime()
	m.Rows = o.accounts.Rows(m.Rows[:0], all)
	if len(m.Rows) == 0 && o.lastCopyEmpty {
		return false // the last copy was empty as well
	}
	o.lastCopyEmpty = len(m.Rows) == 0
	for i := range m.Rows {
		if !all && o.tableCopies%copiesPerLearnedMeans != 1 {
			m.Rows[i].MeanCosts = [fairness.NumCostClasses]float64{}
		}
	}
	return true
}

// Waiting returns the number of announced requests without a grant.
func (o *Owner) Waiting() int {
	n := 0
	for _, p := range o.sortedPeers {
		n += p.waiting
	}
	return n
}
