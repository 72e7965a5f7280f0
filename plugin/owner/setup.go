// Package owner schedules the model requests of all entry instances onto targets. It
// runs on the control leader, because only one owner for the whole fleet sees all work
// on each target.
package owner

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
	"nutmegrouter/internal/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:    "owner",
		Order:   kernel.OrderPlacer,
		New:     func() kernel.Plugin { return &Owner{} },
		Enabled: kernel.OnRoutesControl,
	})
}

const (
	inboxSize = 8192 // queued functions
	// maxRound is the number of queued functions that are run before decisions are sent.
	maxRound = 64
	// maxDecisions is the number of requests that are decided on before decisions are sent, in steps of
	// decisionStep; none are any more when the round has taken maxRoundTime.
	maxDecisions = 32
	decisionStep = 8
	maxRoundTime = 10 * time.Millisecond
	// tickInterval is how often the owner tries again to place queued requests while no
	// message arrives.
	tickInterval = 10 * time.Millisecond
	// heartbeatInterval is the interval of heartbeats to entry instances with queued
	// requests.
	heartbeatInterval = 100 * time.Millisecond
	// disconnectTimeout is how long the requests of an entry instance without a link still
	// count as running on their targets.
	disconnectTimeout = 1500 * time.Millisecond
	// clockCheckInterval is how often the owner checks the clock while no message arrives.
	clockCheckInterval = 100 * time.Millisecond
	// suspensionThreshold is the time between two clock checks from which the process
	// counts as suspended. It is below the election timeout of 0.5 s, after which another
	// instance may become the owner.
	suspensionThreshold = 400 * time.Millisecond
	// confirmTimeout bounds one read that confirms the leadership with a majority.
	confirmTimeout = time.Second
	// limitsInterval is the minimum time between two messages with changed rate limits of targets.
	limitsInterval = 100 * time.Millisecond
	// suspectsInterval is the minimum time between two messages with suspect requests.
	suspectsInterval = 50 * time.Millisecond
	// reportRetryDelay is the time after which an entry instance is asked again for a full report.
	reportRetryDelay = time.Second
	// confirmRetryDelay is the time between two such reads.
	confirmRetryDelay = 20 * time.Millisecond
)

// Owner is the plug-in that decides, while this instance is the control leader, on which
// target each model request runs. It must be provisioned before use.
type Owner struct {
	kernel    *kernel.Context
	mesh      api.Mesh
	fleet     api.Fleet
	directory api.Directory
	dialect   api.Dialect
	control   api.Control
	clock     kernel.Clock
	log       *slog.Logger

	inbox         *kernel.Ring[func()]
	state         *placement.Owner
	term          uint64 // control term of the ownership; 0 = not the owner
	table         *routing.Table
	lastHeartbeat time.Duration

	readClocks func() kernel.ClockReading
	suspension kernel.SuspensionDetector
	// unconfirmed is set after a suspension until a majority has confirmed the ownership.
	unconfirmed bool

	entries        map[string]bool // entry instances that have sent a full report
	peers          map[string]peer // linked entry instances, and those whose link was lost, by name
	settledAt      time.Duration   // a takeover does not end before
	takingOver     bool            // as placement.Owner.TakingOver when it was last asked
	ownedSince     time.Duration
	blockedParts   broadcast
	suspects       broadcast
	suspectsSentAt time.Duration
	// suspectsDue are the entry instances that must be sent the list even if it is empty: they place
	// nothing before, if they have just started.
	suspectsDue map[string]bool
	// limitsDue are the entry instances that must be sent all rate limits of targets, limitsSentAt is
	// when changes were last sent.
	limitsDue    map[string]bool
	limitsSentAt time.Duration

	// reportsDue is when entry instances were asked for full reports that have not arrived.
	reportsDue map[string]time.Duration

	droppedMu sync.Mutex
	// dropped has the term of the newest message that did not fit into the inbox, by entry instance.
	dropped map[string]uint64

	load            load
	reception       reception
	searchesCounted uint64 // of placement.Owner.Searches

	rolloutBounds *settings.Rollouts         // nil = the fleet has no rollouts
	rollouts      map[string]*runningRollout // by service
	rolloutsAt    time.Duration              // when they were last advanced
	reportedAt    time.Duration              // last time at which full reports of entry instances were missing
	awaitsReports bool                       // new versions get nothing until these have been evaluated
	metrics       *metrics.Set

	grants, fetches, refusals, retries, searches, blocks, blockedRequests *metrics.Counter
	decideSeconds                                                         *metrics.Histogram
}

// Provision implements kernel.Plugin.
func (o *Owner) Provision(c *kernel.Context) (err error) {
	if o.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if o.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	if o.directory, err = kernel.Lookup[api.Directory](c); err != nil {
		return err
	}
	if o.dialect, err = kernel.Lookup[api.Dialect](c); err != nil {
		return err
	}
	if o.control, err = kernel.Lookup[api.Control](c); err != nil {
		return err
	}
	linkManager, err := kernel.Lookup[api.LinkManager](c)
	if err != nil {
		return err
	}
	o.kernel, o.clock, o.log = c, c.Clock, c.Log.With("plugin", "owner")
	o.rolloutBounds, o.metrics = c.Settings.Routes.Rollouts, c.Metrics
	o.readClocks, o.dropped = kernel.ReadClocks, map[string]uint64{}
	o.peers, o.settledAt = map[string]peer{}, o.clock.Now()+linkSettleTime
	o.inbox = kernel.NewRing[func()](c.Metrics, "owner", inboxSize)
	o.grants = c.Metrics.NewCounter("nutmeg_owner_grants_total")
	o.blocks = c.Metrics.NewCounter("nutmeg_owner_parts_blocked_total")
	o.blockedRequests = c.Metrics.NewCounter("nutmeg_owner_requests_blocked_total")
	o.fetches = c.Metrics.NewCounter("nutmeg_owner_fetches_total")
	o.refusals = c.Metrics.NewCounter("nutmeg_owner_refusals_total")
	o.retries = c.Metrics.NewCounter("nutmeg_owner_retries_total")
	o.searches = c.Metrics.GetOrCreateCounter("nutmeg_owner_searches_total")
	o.decideSeconds = c.Metrics.NewHistogram("nutmeg_owner_decide_seconds")
	o.mesh.Handle(placewire.MethodUp, o.handleEntryMessage)
	o.fleet.OnChange(func(*api.View) { o.inbox.Push(o.viewChanged) })
	o.directory.OnChange(func() { o.inbox.Push(o.viewChanged) })
	o.control.OnStatus(func(s api.ControlStatus) { o.inbox.Push(func() { o.statusChanged(s) }) })
	linkManager.OnLinkChange(o.linkChanged)
	return nil
}

// Start implements kernel.Starter.
func (o *Owner) Start(d *kernel.Duties) error {
	d.Go("owner", o.run)
	return nil
}

// run processes queued functions and ticks. All state of the owner belongs to its
// goroutine.
func (o *Owner) run(ctx context.Context) error {
	t := time.NewTimer(tickInterval)
	defer t.Stop()
	for {
		var tick <-chan time.Time
		if o.term != 0 {
			interval := clockCheckInterval
			switch {
			case o.state.Asked() > 0:
				interval = 0
			case o.state.Waiting() > 0 || len(o.rollouts) > 0:
				interval = tickInterval
			}
			t.Reset(interval)
			tick = t.C
		}
		var f func()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f = <-o.inbox.C():
		case <-tick:
		}
		o.checkSuspension(ctx)
		begin := o.clock.Now()
		if f != nil {
			o.load.longestInbox = max(o.load.longestInbox, o.inbox.Len()+1)
			f()
			o.processQueued()
		}
		if o.term != 0 {
			o.advanceRollouts(ctx)
			o.decideAsked(begin)
		}
		if f != nil {
			o.load.applyTime += o.clock.Now() - begin
			o.checkSuspension(ctx) // it may have been suspended in this round
		}
		if o.term != 0 {
			o.sendDecisions()
			o.askForReports()
			now := o.clock.Now()
			o.load.rounds++
			o.load.longestRound = max(o.load.longestRound, now-begin)
			o.logLoad(now)
		}
	}
}

// checkSuspension detects that the process was suspended and then starts a confirmation of
// the ownership, because another instance may have become the owner meanwhile.
func (o *Owner) checkSuspension(ctx context.Context) {
	if o.term == 0 {
		o.suspension.Reset()
		return
	}
	suspended := o.suspension.Elapsed(o.readClocks())
	if suspended < suspensionThreshold || o.unconfirmed {
		return
	}
	o.unconfirmed = true
	term := o.term
	logqueue.Notice(o.log, "ownership in doubt after a pause", "step", "owner", "term", term, "pause_ms", suspended.Milliseconds())
	go o.confirmLeadership(ctx, term)
}

// confirmLeadership reads from the control group until a majority confirms the leadership
// in the given term or the leadership has ended.
func (o *Owner) confirmLeadership(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, confirmTimeout)
		_, err := o.control.ReadRevision(limited)
		cancel()
		s := o.control.Status()
		if s.Role != "leader" || s.Term != term {
			return // statusChanged ends the ownership
		}
		if err != nil {
			o.log.Warn("ownership not confirmed", "step", "owner", "term", term, "error", err)
		} else if o.inbox.Push(func() { o.leadershipConfirmed(term) }) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmRetryDelay):
		}
	}
}

// leadershipConfirmed lets the owner grant again if it is still in the given term.
func (o *Owner) leadershipConfirmed(term uint64) {
	if o.term == term {
		o.unconfirmed = false
		logqueue.Notice(o.log, "ownership confirmed", "step", "owner", "term", term)
	}
}

// processQueued runs functions that are in the inbox now, so that one round of decisions
// covers them. At most maxRound of them are run: in a longer round decisions would be late, and
// a busy process would take itself for a suspended one.
func (o *Owner) processQueued() {
	for range min(o.inbox.Len(), maxRound) {
		select {
		case f := <-o.inbox.C():
			f()
		default:
			return
		}
	}
}

// decideAsked decides on requests that entry instances have asked for, in a round that began at a time.
func (o *Owner) decideAsked(begin time.Duration) {
	if o.unconfirmed {
		for _, entry := range o.state.DropAsked() {
			o.send(entry, placewire.OwnerMessage{Term: o.term, NotOwner: true})
		}
		return
	}
	for range maxDecisions / decisionStep { // once in any case: messages alone may fill the time
		now := o.clock.Now()
		o.state.DecideAsked(decisionStep, now)
		if o.state.Asked() == 0 || now-begin >= maxRoundTime {
			return
		}
	}
}

// statusChanged starts the ownership when this instance becomes the control leader and
// ends it when the leadership ends.
func (o *Owner) statusChanged(s api.ControlStatus) {
	switch {
	case s.Role != "leader" && o.term != 0:
		logqueue.Notice(o.log, "ownership ended", "step", "owner", "term", o.term)
		o.term, o.state, o.unconfirmed = 0, nil, false
		o.resetRollouts()
	case s.Role == "leader" && o.term != s.Term:
		b := o.kernel.Settings.Routes.Bounds
		o.term, o.unconfirmed, o.searchesCounted = s.Term, false, 0
		o.entries, o.limitsDue, o.suspectsDue = map[string]bool{}, map[string]bool{}, map[string]bool{}
		o.reportsDue = map[string]time.Duration{}
		o.blockedParts, o.suspects = newBroadcast(), newBroadcast()
		o.resetRollouts()
		o.state = placement.NewOwner(placement.Config{
			ShareWindow: settings.Ms(b.ShareWindowMs), ColdOverage: b.ColdOverage, ColdSlack: b.ColdSlack,
		})
		now := o.clock.Now()
		known := o.knownEntries(now)
		o.takingOver, o.ownedSince = true, now
		o.reportedAt, o.awaitsReports = now, true
		o.state.BeginTakeover(known, o.settledAt, now)
		logqueue.Notice(o.log, "ownership begins", "step", "owner", "term", o.term, "entries", len(known))
		o.viewChanged()
	}
}

// viewChanged applies the current configuration and list of targets.
func (o *Owner) viewChanged() {
	v := o.fleet.View()
	o.noteRollouts(v)
	if o.term == 0 {
		return
	}
	if o.table == nil || o.table.Version != v.Version {
		o.loadTable(v)
	}
	if o.table == nil {
		return
	}
	o.state.SetView(placement.View{
		Services: o.table.Services, Targets: o.directory.Targets(), OutOfService: v.DataCentresOut, TokensPerSecond: o.table.TokensPerSecond, Rollouts: v.Rollouts,
	}, o.clock.Now())
	o.refreshRolloutTargets()
}

func (o *Owner) loadTable(v *api.View) {
	t, err := v.ParseTable(o.dialect)
	if err != nil {
		o.log.Error("configuration not readable", "step", "view", "version", v.Version, "error", err)
		return
	}
	if t != nil {
		o.table = t
	}
}

// linkChanged discards the requests of an entry instance that stays disconnected for
// disconnectTimeout: its connections to the targets are presumed closed.
func (o *Owner) linkChanged(c api.LinkChange) {
	if !o.inbox.Push(func() { o.recordLink(c) }) {
		o.log.Warn("link change dropped: the inbox is full", "step", "owner", "peer", c.Peer, "up", c.Up)
	}
	if c.Up || c.HasControlReplica {
		return
	}
	time.AfterFunc(disconnectTimeout, func() {
		if o.mesh.Reachable(c.Peer) {
			return
		}
		o.inbox.Push(func() {
			if o.term != 0 {
				o.state.RemoveEntry(c.Peer)
			}
		})
	})
}

func (o *Owner) handleEntryMessage(_ context.Context, from string, params json.RawMessage) (any, error) {
	begin := o.clock.Now()
	var u placewire.EntryMessage
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, errors.WithMessage(err, placewire.MethodUp)
	}
	received := o.clock.Now()
	o.reception.decodeTime.Add(int64(received - begin))
	if !o.inbox.Push(func() { o.applyUpdate(from, &u, received) }) {
		o.reception.dropped.Add(1)
		o.log.Warn("message dropped: the inbox is full", "step", "owner", "peer", from)
		o.droppedMu.Lock()
		defer o.droppedMu.Unlock()
		o.dropped[from] = u.Term
	}
	return nil, nil
}

// askForReports asks the entry instances of which messages were dropped for full reports. Without them,
// requests whose ends were dropped would count as running for good. It waits until the inbox has room
// for the reports.
func (o *Owner) askForReports() {
	if o.inbox.Len() > inboxSize/2 {
		return
	}
	o.droppedMu.Lock()
	dropped := o.dropped
	if len(dropped) > 0 {
		o.dropped = map[string]uint64{}
	}
	o.droppedMu.Unlock()
	now := o.clock.Now()
	for entry, term := range dropped {
		if term == o.term {
			o.reportsDue[entry] = now
			o.askForReport(entry, now)
		}
	}
	for entry, askedAt := range o.reportsDue {
		if now-askedAt >= reportRetryDelay && o.mesh.Reachable(entry) {
			o.reportsDue[entry] = now
			o.askForReport(entry, now)
		}
	}
}

// lacksMessages reports whether a message of an entry instance was dropped that no full report has replaced.
func (o *Owner) lacksMessages(entry string) bool {
	o.droppedMu.Lock()
	defer o.droppedMu.Unlock()
	_, dropped := o.dropped[entry]
	_, due := o.reportsDue[entry]
	return dropped || due
}

// askForReport asks an entry instance for a full report.
func (o *Owner) askForReport(entry string, now time.Duration) {
	m := placewire.OwnerMessage{Term: o.term, ReportFully: true}
	o.stamp(entry, &m, now)
	o.load.reportsAsked++
	o.send(entry, m)
}

// applyUpdate applies a message from an entry instance, received at a time: running requests, starts,
// ends, refusals and new requests, in this order.
func (o *Owner) applyUpdate(from string, u *placewire.EntryMessage, received time.Duration) {
	if o.term == 0 || u.Term != o.term {
		o.send(from, placewire.OwnerMessage{Term: u.Term, NotOwner: true})
		return
	}
	now := o.clock.Now()
	o.load.countMessage(u, now-received)
	late := lateness(u, received, now)
	newest := o.recordHeard(from, u, late, now)
	if u.FullReport && u.Sent != 0 && !newest {
		// It describes an earlier state, and requests that only it names would wait for good.
		o.askForReport(from, now)
		return
	}
	if u.FullReport {
		o.state.RemoveEntry(from)
		o.state.RecordFullReport(from, u.Entries)
		if !o.entries[from] { // otherwise its lists may be older than this owner's
			o.state.MergeBlocked(u.Blocked.ToPlacement(), now)
			o.state.MergeSuspects(placewire.SuspectsToPlacement(u.Suspects), now)
		}
		o.entries[from], o.limitsDue[from], o.suspectsDue[from] = true, true, true
		o.blockedParts.add(from)
		o.suspects.add(from)
	}
	for _, c := range u.Crashes {
		f := c.Fingerprint.ToAPI()
		if o.state.RecordRequestCrash(f, c.Target, now) {
			o.blockedRequests.Inc()
			logqueue.Notice(o.log, "request blocked: targets crash with it", "step", "crash", "fingerprint", f.String(), "target", c.Target)
		}
	}
	for _, f := range u.AnsweredSuspects {
		o.state.RecordRequestAnswered(f.ToAPI())
	}
	for _, n := range u.Notices {
		o.state.RecordNotice(n.ToPlacement(), now)
	}
	for i := range u.Running {
		r := &u.Running[i]
		o.state.AddRunning(placement.Key{Entry: from, Number: r.Number}, r.Request.ToPlacement(u.DataCentre), r.Target, r.Began, r.Answered, time.Duration(r.AgoMs)*time.Millisecond, now)
	}
	if len(u.Recent) > 0 {
		var recent []placement.RecentPrompt
		for i := range u.Recent {
			recent = append(recent, u.Recent[i].ToPlacement()...)
		}
		o.state.RecordRecentPrompts(recent)
	}
	if u.Share != nil && newest {
		o.state.RecordStarts(from, u.Share.ToPlacement(), time.Duration(u.Heard), now)
	}
	for _, n := range u.Began {
		o.state.RecordFirstEvent(placement.Key{Entry: from, Number: n}, now)
	}
	for _, n := range u.Answered {
		o.state.RecordAnswered(placement.Key{Entry: from, Number: n}, now)
	}
	for _, e := range u.Ends {
		o.state.End(placement.Key{Entry: from, Number: e.Number}, e.Outcome, now)
	}
	o.recordEvidence(from, u.Rollouts, now)
	for workspace, tokens := range u.Shed {
		o.state.CountShed(workspace, tokens, now)
	}
	for workspace, requests := range u.Refused {
		for _, r := range requests {
			o.state.CountThrottled(workspace, r.ToPlacement(), late, now)
		}
	}
	if o.unconfirmed {
		// The ends above count, but the entry instance must place new requests itself.
		o.send(from, placewire.OwnerMessage{Term: u.Term, NotOwner: true})
		return
	}
	for i := range u.Requests {
		a := &u.Requests[i]
		o.state.Ask(placement.Key{Entry: from, Number: a.Number}, a.ToPlacement(u.DataCentre), late, now)
	}
}

// sendDecisions decides on queued requests and sends the decisions, and heartbeats that
// are due, to the entry instances. An unconfirmed owner sends NotOwner in place of
// decisions.
func (o *Owner) sendDecisions() {
	now := o.clock.Now()
	o.logTakeover(now)
	o.state.Tick(now)
	decisions := o.state.Decisions()
	searches := int(o.state.Searches() - o.searchesCounted)
	o.searchesCounted += uint64(searches)
	o.searches.Add(searches)
	o.load.searches += searches
	messages := map[string]*placewire.OwnerMessage{}
	to := func(entry string) *placewire.OwnerMessage {
		d := messages[entry]
		if d == nil {
			d = &placewire.OwnerMessage{Term: o.term}
			messages[entry] = d
		}
		return d
	}
	if o.unconfirmed {
		for _, d := range decisions {
			messages[d.Key.Entry] = &placewire.OwnerMessage{Term: o.term, NotOwner: true}
		}
		decisions = nil
	}
	for _, d := range decisions {
		if d.Target != "" || d.Permitted {
			o.grants.Inc()
			o.load.granted++
			if d.FetchFrom != "" {
				o.fetches.Inc()
			}
		} else {
			o.refusals.Inc()
			o.load.declined++
		}
		if d.Retry {
			o.retries.Inc()
		}
		m := to(d.Key.Entry)
		m.Decisions = append(m.Decisions, placewire.NewDecision(d))
	}
	if !o.unconfirmed {
		o.addBlockedParts(to, now)
		o.addSuspects(to, now)
		o.addLimits(to, now)
	}
	if now-o.lastHeartbeat >= heartbeatInterval && !o.unconfirmed {
		o.lastHeartbeat = now
		for _, entry := range o.state.WaitingEntries() {
			to(entry)
		}
		for _, entry := range o.state.Followers() {
			if now-o.peers[entry].sentAt >= heartbeatInterval {
				to(entry)
			}
		}
		for _, entry := range o.idlePeers(now) {
			to(entry)
		}
	}
	decided := o.clock.Now()
	o.load.decideTime += decided - now
	if len(decisions) > 0 {
		o.decideSeconds.Update((decided - now).Seconds())
	}
	for entry, d := range messages {
		if !d.NotOwner {
			o.stamp(entry, d, now)
		}
		o.send(entry, *d)
	}
	o.load.sent += len(messages)
	o.load.sendTime += o.clock.Now() - decided
}

func (o *Owner) send(to string, d placewire.OwnerMessage) {
	// If the message is lost, the entry instance places the request locally after a timeout.
	if err := o.mesh.Notify(to, placewire.MethodDown, d); err != nil {
		o.log.Debug("decision not sent", "step", "owner", "peer", to, "error", err)
	}
}
