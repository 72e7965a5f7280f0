package placer

import (
	"context"
	"math/rand/v2"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

const (
	// noTargetRetryAfter is the retry delay for callers while no target is in service. The
	// list of targets is read at shorter intervals.
	noTargetRetryAfter = 500 * time.Millisecond
	// localSlotFraction is the fraction of a target's slots that all entry instances
	// together use while no owner responds.
	localSlotFraction = 0.7
	// defaultEntryCount is the assumed number of entry instances until the topology is known.
	defaultEntryCount = 16
	// maxLimitRetryAfter bounds the retry delay for callers while this instance's share of the rate
	// limits has no room: an owner may respond again sooner.
	maxLimitRetryAfter = 2 * time.Second
)

const limitReachedMessage = "all targets of the service are at the rate limit that they have named"

// query describes the local choice of a target for a request. Its notices may be used only under the
// lock.
func (p *Placer) query(w *api.PlacementRequest) placement.Query {
	now := p.clock.Now()
	q := placement.Query{
		Service: w.Service, Targets: p.directory.Targets(), OutOfService: p.fleet.View().DataCentresOut,
		Tried: w.TriedTargets, Now: now, Random: rand.Float64(), Notices: p.notices,
	}
	p.applyRollout(&q)
	if w.Engine != nil {
		share := p.slotShare(w.Engine.Slots)
		q.AffinityPart, q.MaxRunning = affinityPart(w.Prompt), max(1, int(share+0.5))
		if w.ColdPerSecond > 0 {
			q.Starts = p.starts // which also divides the targets among the instances
		} else {
			q.Targets = p.localTargets(&q, share)
		}
	}
	return q
}

// placePlain chooses a target for a request to a plain service. A target with a rate limit, which
// counts the requests of all entry instances, needs the owner's grant, and a suspect request its
// permission.
func (p *Placer) placePlain(ctx context.Context, w *api.PlacementRequest, s suspicion) (*assignment, error) {
	q := p.query(w)
	p.mu.Lock()
	limited := p.local.ChooseLimited(q)
	if len(limited) > 0 {
		if t, ok := p.local.Choose(q); ok && !p.local.PrefersLimited(limited[0], t, q) {
			limited = nil
		}
	}
	p.mu.Unlock()
	if len(limited) == 0 && !s.suspect() && p.rolloutRoute(w) == "" {
		return p.placeLocal(w)
	}
	number, wt, ok := p.askOwner(w, limited, s)
	if !ok {
		return p.placeWithoutOwner(w, s)
	}
	resp, err := p.awaitOwner(ctx, number, wt)
	switch {
	case err != nil:
		return nil, err
	case resp.granted != nil:
		return p.acceptGrant(w, resp), nil
	case resp.placeLocally || resp.askAgain:
		return p.placeWithoutOwner(w, s)
	case resp.decision.NewVersion:
		return p.placeNewVersion(w)
	case resp.decision.Permitted:
		return p.placeLocal(w)
	case resp.decision.Code == placement.CodeRequestCrashes:
		return nil, p.refusal(w, resp.decision)
	}
	a, ok := p.placeUnlimited(w)
	if !ok {
		return nil, p.refusal(w, resp.decision)
	}
	return a, nil
}

// placeWithoutOwner chooses a target for a plain request, unless the last owner has blocked it.
func (p *Placer) placeWithoutOwner(w *api.PlacementRequest, s suspicion) (*assignment, error) {
	if s.blocked {
		return nil, p.crashRefusal(blockedRetryAfter)
	}
	return p.placeLocal(w)
}

// placeUnlimited chooses a target without a rate limit from the state that this instance has itself.
func (p *Placer) placeUnlimited(w *api.PlacementRequest) (*assignment, bool) {
	q := p.query(w)
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.local.Choose(q)
	if !ok {
		return nil, false
	}
	return p.startLocal(w, t), true
}

// placeLocal chooses a target from the state that this instance has itself: one without a rate limit,
// or else one on which this instance's share of the limit has room. The error is an *api.Refusal if
// no target may be used.
func (p *Placer) placeLocal(w *api.PlacementRequest) (*assignment, error) {
	q := p.query(w)
	p.mu.Lock()
	defer p.mu.Unlock()
	q.WorkspaceRunning = p.localByWorkspace[w.Workspace]
	t, ok, overShare := p.local.ChooseShared(q)
	switch {
	case ok:
		return p.startLocal(w, t), nil
	case overShare:
		return nil, &api.Refusal{
			Code: placement.CodeShareExceeded, Status: 503, Run: api.NotRun, Step: "place", Message: "the workspace uses its share of this instance while no owner responds",
			RetryAfter: ownerRetryDelay + time.Duration(rand.Float64()*float64(ownerRetryDelay)), LogAttrs: []any{"by", "entry"},
		}
	}
	soonest := time.Duration(0)
	for _, t := range p.local.ChooseLimited(q) {
		wait, ok := p.notices.TakeShare(&t, p.entryCount(), rand.Float64(), q.Now)
		if ok {
			a := p.startLocal(w, t)
			a.metered = true
			return a, nil
		}
		if soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	if soonest > 0 {
		return nil, &api.Refusal{
			Code: placement.CodeLimitReached, Status: 503, Run: api.NotRun, Step: "place",
			Message: limitReachedMessage, RetryAfter: min(soonest, maxLimitRetryAfter), LogAttrs: []any{"by", "entry"},
		}
	}
	if q.Starts != nil && q.AnyUsable() {
		return nil, &api.Refusal{
			Code: placement.CodeStartsReached, Status: 503, Run: api.NotRun, Step: "place", Message: "this instance has used its part of the starts while no owner responds",
			RetryAfter: ownerRetryDelay + time.Duration(rand.Float64()*float64(ownerRetryDelay)), LogAttrs: []any{"by", "entry"},
		}
	}
	retryAfter := noTargetRetryAfter
	if pause := min(q.PauseEnd(), placement.MaxPauseRetryAfter); pause > 0 {
		retryAfter = pause + time.Duration(rand.Float64()*float64(pause)/2) // callers do not return together
	}
	return nil, &api.Refusal{
		Code: placement.CodeNoTarget, Status: 503, Run: api.NotRun, Step: "place",
		Message: "no target of the service may be used", RetryAfter: retryAfter,
	}
}

// startLocal starts a request on a target that this instance has chosen. The lock must be held.
func (p *Placer) startLocal(w *api.PlacementRequest, t api.Target) *assignment {
	p.local.Start(t)
	a := &assignment{placer: p, work: w, target: t, startedAt: p.clock.Now(), chosenBy: "entry", chosenAt: p.readClocks()}
	p.noteRollout(w.Service)
	if w.Engine != nil {
		p.localByWorkspace[w.Workspace]++
		p.recordStart(a)
	}
	return a
}

// endLocal ends the count of a model request that this instance has placed. The lock must be held.
func (p *Placer) endLocal(workspace string) {
	if p.localByWorkspace[workspace]--; p.localByWorkspace[workspace] <= 0 {
		delete(p.localByWorkspace, workspace)
	}
}

// localTargets is placement.LocalTargets for this instance. The result is kept until the list or the
// share changes.
func (p *Placer) localTargets(q *placement.Query, share float64) []api.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	service, targets, versions := q.Service, q.Targets, q.Versions()
	s, ok := p.subsets[service]
	if !ok || s.share != share || s.versions != versions || len(s.list) != len(targets) || len(targets) > 0 && &s.list[0] != &targets[0] {
		s = subset{list: targets, share: share, versions: versions, targets: placement.LocalTargets(q.OfVersions(), service, share, p.instance)}
		p.subsets[service] = s
	}
	return s.targets
}

// slotShare returns this instance's part of a target with the given number of slots, in requests; an
// engine without a known number counts as one slot for each instance.
func (p *Placer) slotShare(slots int) float64 {
	if slots <= 0 {
		return 1
	}
	return localSlotFraction * float64(slots) / float64(p.entryCount())
}

// entryCount returns the number of entry instances, or an assumed one.
func (p *Placer) entryCount() int {
	if n := p.topology.EntryCount(); n > 0 {
		return n
	}
	return defaultEntryCount
}

// affinityPart returns the prompt part by which requests are routed to the same target, as
// placement.AffinityPart does; 0 = none.
func affinityPart(prompt []api.PromptPart) placement.PartID {
	if len(prompt) < 2 {
		return 0
	}
	return placewire.PartID(prompt[len(prompt)-2].ID)
}

// assignment is a request that was assigned to a target. It implements api.Placement.
type assignment struct {
	placer                   *Placer
	work                     *api.PlacementRequest
	target                   api.Target
	fetchSource              string              // ID of the target from which parts of the prompt are fetched; "" = none
	fetchSourceStartedUnixMs int64               // its incarnation
	startedAt                time.Duration       // when the target was chosen, on the kernel clock
	sentAt                   time.Duration       // first byte of the newest send, on the kernel clock
	metered                  bool                // one send is counted against the target's rate limit
	countedAt                time.Duration       // when the next send is counted as a start; -1 = it is not counted yet
	suspect                  api.Fingerprint     // set if targets have crashed with the request and none has answered it
	chosenBy                 string              // instance that chose the target: owner or entry
	chosenAt                 kernel.ClockReading // for the grant lifetime; includes suspensions
	number                   uint64              // number of the model request; 0 for plain requests
	responseStarted          bool
	firstEventAt             time.Duration // 0 = no event yet
	answered                 bool          // the target has begun to answer and did not crash

	newVersion    bool          // the owner has given the request to the new version of its service, for one send
	versionUsed   bool          // that send has begun
	resendRefused bool          // a second send was refused for that reason
	expected      time.Duration // time from the send to the first event that the owner expects; 0 = not known
	tracked       bool          // a rollout ran when it was sent, so that its events are measured
	// trackedEvents counts the events of this attempt, the first and the last of which came at these times.
	trackedEvents               int
	firstTrackedAt, lastEventAt time.Duration
}

// Target implements api.Placement.
func (a *assignment) Target() api.Target { return a.target }

// FetchFrom implements api.Placement. It returns "" if the source is not in this instance's list with the
// incarnation that the owner has named, or must not be sent requests.
func (a *assignment) FetchFrom() string {
	if a.fetchSource == "" {
		return ""
	}
	source, ok := a.placer.directory.Target(a.fetchSource)
	if !ok || source.StartedUnixMs != a.fetchSourceStartedUnixMs || a.placer.checkTarget(source) != nil {
		return ""
	}
	return source.Address
}

// BeforeSend implements api.Placement.
func (a *assignment) BeforeSend() error {
	if age := a.placer.readClocks().Since(a.chosenAt); age > grantLifetime {
		a.placer.recordExpired("before the request was sent", age)
		return errExpired
	}
	if err := a.placer.checkTarget(a.target); err != nil {
		return err
	}
	if err := a.checkLimit(); err != nil {
		return err
	}
	if err := a.checkVersion(); err != nil {
		return err
	}
	a.sentAt = a.placer.clock.Now()
	a.countSend()
	return nil
}

// checkLimit returns an error if the target has a rate limit against which this send is not counted:
// the limit was not known when the target was chosen, or the request is sent to it again. The owner is
// told of the limit, because it may not know it.
func (a *assignment) checkLimit() error {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.notices.Limited(&a.target) && !a.metered {
		p.unmeteredSends.Inc()
		p.reportLimit(&a.target)
		return errTargetLimited
	}
	a.metered = false
	return nil
}

// reportLimit tells the owner of a target's rate limit. The lock must be held.
func (p *Placer) reportLimit(t *api.Target) {
	p.pending.Notices = append(p.pending.Notices, placewire.NewNotice(p.notices.ReportLimit(t, p.clock.Now())))
	p.signalSend()
}

// ResponseStarted implements api.Placement.
func (a *assignment) ResponseStarted() {
	if a.number == 0 {
		return
	}
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	a.responseStarted = true
	a.recordPrefilled(a.placer.clock.Now())
	a.placer.pending.Began = append(a.placer.pending.Began, a.number)
	a.placer.signalSend()
}

// answeredAfter is the time after its first event from which a request counts as answered: a
// target that a prompt crashes ends as soon as it begins to write.
const answeredAfter = 100 * time.Millisecond

// ReportNotice implements api.Placement. The owner is told at once what is new.
func (a *assignment) ReportNotice(n api.TargetNotice) {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	limit, isNew, due := p.notices.RecordLimit(&a.target, n.RateLimit, a.sentAt, now)
	if due {
		p.pending.Notices = append(p.pending.Notices, placewire.NewNotice(limit))
		p.signalSend()
	}
	if isNew {
		p.limitNotices.Inc()
		p.log.Info("target notice", "step", "notice", "request", a.work.RequestID, "target", limit.Target,
			"limited", limit.Limit.Limited, "per_second", limit.Limit.PerSecond)
	}
	if !n.Leaving && n.Pause == 0 {
		return
	}
	notice := placement.TargetNotice{Target: a.target.ID, StartedUnixMs: a.target.StartedUnixMs, Leaving: n.Leaving, Pause: n.Pause}
	if !p.notices.Record(notice, now) {
		return
	}
	if n.Leaving {
		p.leavingNotices.Inc()
	}
	if n.Pause > 0 {
		p.pauseNotices.Inc()
	}
	p.log.Info("target notice", "step", "notice", "request", a.work.RequestID, "target", notice.Target, "leaving", n.Leaving, "pause_ms", n.Pause.Milliseconds())
	p.pending.Notices = append(p.pending.Notices, placewire.NewNotice(notice))
	p.signalSend()
}

// ReportEvents implements api.Placement.
func (a *assignment) ReportEvents(int) {
	a.recordEvents()
	if a.number == 0 || a.answered {
		return
	}
	now := a.placer.clock.Now()
	if a.firstEventAt == 0 {
		a.firstEventAt = now
	}
	if now-a.firstEventAt < answeredAfter {
		return
	}
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	a.answered = true
	a.reportAnswered()
	a.placer.pending.Answered = append(a.placer.pending.Answered, a.number)
	a.placer.signalSendWithin(lazyDelay)
}

// ReportCrash implements api.Placement. A target that has answered a request does not crash because of
// it.
func (a *assignment) ReportCrash(f api.Fingerprint) {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	a.recordRolloutCrash(p.clock.Now())
	if a.answered {
		return
	}
	p.suspects.RecordCrash(f, a.target.ID, p.clock.Now())
	p.pending.Crashes = append(p.pending.Crashes, placewire.RequestCrash{Fingerprint: placewire.NewFingerprint(f), Target: a.target.ID})
	p.signalSend()
}

// reportAnswered tells the owner that a target has answered a suspect request. The lock must be held.
func (a *assignment) reportAnswered() {
	if a.suspect == (api.Fingerprint{}) {
		return
	}
	p := a.placer
	p.suspects.RecordAnswered(a.suspect)
	p.pending.AnsweredSuspects = append(p.pending.AnsweredSuspects, placewire.NewFingerprint(a.suspect))
	a.suspect = api.Fingerprint{}
	p.signalSend()
}

// End implements api.Placement.
func (a *assignment) End(o api.AttemptOutcome) {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.local.End(a.target, o, now-a.startedAt, now)
	a.recordEvidence(o, now)
	if o == api.AttemptServed || o == api.AttemptFailed {
		a.reportAnswered()
	}
	if a.number != 0 {
		if a.chosenBy == "entry" {
			p.endLocal(a.work.Workspace)
		}
		delete(p.running, a.number)
		p.pending.Ends = append(p.pending.Ends, placewire.End{Number: a.number, Outcome: o})
		p.signalSend()
	}
}
