package placer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

const (
	// ownerTimeout is the silence of the owner after which waiting requests are placed
	// locally. The owner sends ten heartbeats a second.
	ownerTimeout = 250 * time.Millisecond
	// resendDelay is the time between attempts to send to an owner without a link.
	resendDelay = 100 * time.Millisecond
	// ownerRetryDelay is how long no requests are sent to an owner that did not respond or
	// that reported that it is not the owner.
	ownerRetryDelay = 300 * time.Millisecond
	// grantLifetime is how long after the choice of a target the request may be sent to it.
	// The owner limits starts per second and discards the requests of an instance that has
	// been disconnected for 1.5 s. Connecting takes at most 0.4 s.
	grantLifetime = time.Second
	// maxPendingRefusals bounds the refused requests that are kept while no message reaches the
	// owner.
	maxPendingRefusals = 4096
	// suspensionThreshold is the time between two clock checks above which this process
	// counts as suspended. While requests wait, the clock is checked every 50 ms.
	suspensionThreshold = 600 * time.Millisecond
)

// errExpired ends an attempt whose target was chosen longer than grantLifetime ago.
var errExpired = errors.New("the choice of the target has run out")

// waiter is a model request that waits for the owner's response.
type waiter struct {
	work *api.PlacementRequest
	// candidates are the targets of which a plain request asks for one, best first.
	candidates []api.Target
	suspicion  suspicion
	route      string // as in placewire.Request.Route
	askedAt    time.Duration
	sent       bool               // the owner was asked
	response   chan ownerResponse // capacity 1
}

// request returns the message for the request.
func (wt *waiter) request(number uint64, now time.Duration) placewire.Request {
	r := placewire.NewRequest(number, wt.work, now)
	r.Plain, r.Route = wt.work.Engine == nil, wt.route
	for _, t := range wt.candidates {
		r.Candidates = append(r.Candidates, t.ID)
	}
	if wt.suspicion.suspect() {
		f := placewire.NewFingerprint(wt.suspicion.fingerprint)
		r.Fingerprint = &f
	}
	return r
}

// ownerResponse ends the wait of a request. At most one of its flags is set; without one,
// decision is the owner's.
type ownerResponse struct {
	decision placewire.Decision
	granted  *assignment // set if decision is a grant
	// placeLocally is set if the owner is unavailable, askAgain if its grant has expired.
	placeLocally, askAgain bool
	refusal                *api.Refusal // set if this instance stops; the owner has not decided
}

// Place implements api.Placer.
func (p *Placer) Place(ctx context.Context, w *api.PlacementRequest) (api.Placement, error) {
	if err := p.awaitLists(ctx); err != nil {
		return nil, err
	}
	s := p.findSuspicion(w)
	if s.remaining > 0 {
		return nil, p.crashRefusal(s.remaining)
	}
	place := p.placeEngine
	if w.Engine == nil {
		place = p.placePlain
	}
	a, err := place(ctx, w, s)
	if err != nil {
		return nil, err
	}
	a.suspect = s.fingerprint
	return a, nil
}

// placeEngine has the owner choose a target for a model request, or chooses one locally while no owner
// responds.
func (p *Placer) placeEngine(ctx context.Context, w *api.PlacementRequest, s suspicion) (*assignment, error) {
	waited := false
	for {
		number, wt, ok := p.askOwner(w, nil, s)
		if !ok {
			a, err := p.placeEngineLocal(w, s, "no owner")
			if waited || !isStartsReached(err) {
				return a, err
			}
			waited = true
			if err := p.awaitStarts(ctx); err != nil {
				return nil, err
			}
			continue
		}
		resp, err := p.awaitOwner(ctx, number, wt)
		switch {
		case err != nil:
			return nil, err
		case resp.refusal != nil:
			return nil, resp.refusal
		case resp.askAgain:
		case resp.placeLocally:
			return p.placeEngineLocal(w, s, "owner does not answer")
		case resp.granted == nil:
			return nil, p.refusal(w, resp.decision)
		default:
			return p.acceptGrant(w, resp), nil
		}
	}
}

// recordExpired counts and logs a grant that was not used because it has expired.
func (p *Placer) recordExpired(reason string, age time.Duration) {
	p.expiredGrants.Inc()
	p.log.Warn("choice of a target expired", "step", "place", "why", reason, "age_ms", age.Milliseconds())
}

// checkSuspension records when this process resumes after a suspension. The lock must be
// held.
func (p *Placer) checkSuspension(now time.Duration) {
	if suspended := p.suspension.Elapsed(p.readClocks()); suspended > suspensionThreshold {
		p.suspensionEnd = now
		logqueue.Notice(p.log, "ran again after a pause", "step", "pause", "pause_ms", suspended.Milliseconds(), "waiting", len(p.waiting))
	}
}

// Precheck implements api.Placer.
func (p *Placer) Precheck(w *api.PlacementRequest) *api.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if refusal := p.refuseBlocked(w, now); refusal != nil {
		return refusal
	}
	wall := p.readClocks().Wall
	if w.CallerDeadline > 0 {
		wall += w.CallerDeadline - now
	}
	if !p.throttle.Refuses(w.Workspace, placewire.RequestHash(w), wall, now) {
		return nil
	}
	p.throttled.Inc()
	// Sent with the next message. Until then its times are on the kernel clock.
	p.pending.AddRefused(w.Workspace, placewire.NewRefused(w, 0), maxPendingRefusals)
	return &api.Refusal{
		Code: placement.CodeShareExceeded, Status: 503, Run: api.NotRun, Step: "place", RetryAfter: p.throttle.RetryAfter(w.Workspace),
		Message:  "the workspace exceeds its share",
		LogAttrs: []any{"by", "entry", "passes", p.throttle.Share(w.Workspace), "term", p.owner.term},
	}
}

// partCrashesMessage is the message of refusals with placement.CodePartCrashes.
const partCrashesMessage = "targets crash with a part of the prompt"

// refuseBlocked refuses a request with a prompt part that the owner has blocked; nil = not
// refused. The lock must be held.
func (p *Placer) refuseBlocked(w *api.PlacementRequest, now time.Duration) *api.Refusal {
	if p.blocked.Empty() {
		return nil
	}
	remaining := time.Duration(0)
	for _, part := range w.Prompt {
		remaining = max(remaining, p.blocked.Remaining(placewire.PartID(part.ID), now))
	}
	if remaining == 0 {
		return nil
	}
	return &api.Refusal{
		Code: placement.CodePartCrashes, Status: 503, Run: api.NotRun, Step: "place", RetryAfter: remaining,
		Message: partCrashesMessage, LogAttrs: []any{"by", "entry", "term", p.owner.term},
	}
}

// ReportShed implements api.Placer.
func (p *Placer) ReportShed(w *api.PlacementRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.AddShed(w.Workspace, placewire.Tokens(w)) // sent with the next message
}

// RefuseWaiting implements api.Placer.
func (p *Placer) RefuseWaiting(r *api.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRefusal = r
	for n, wt := range p.waiting {
		if wt.work.Engine != nil {
			p.endWait(n, wt)
			wt.response <- ownerResponse{refusal: r}
		}
	}
}

// askOwner sends a request to the owner and returns its number and waiter. A plain request asks for one
// of its candidates, of whose rate limits the owner is told first. It reports false if the owner is
// unknown, unreachable or within ownerRetryDelay. After RefuseWaiting the waiter of a model request has its
// refusal already.
func (p *Placer) askOwner(w *api.PlacementRequest, candidates []api.Target, s suspicion) (uint64, *waiter, bool) {
	now, route := p.clock.Now(), p.rolloutRoute(w)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopRefusal != nil && w.Engine != nil {
		wt := &waiter{askedAt: now, response: make(chan ownerResponse, 1)}
		wt.response <- ownerResponse{refusal: p.stopRefusal}
		return 0, wt, true
	}
	if p.owner.name == "" || now < p.owner.unavailableUntil || !p.mesh.Reachable(p.owner.name) {
		return 0, nil, false
	}
	p.lastNumber++
	wt := &waiter{work: w, candidates: candidates, suspicion: s, route: route, askedAt: now, response: make(chan ownerResponse, 1)}
	for i := range candidates {
		if p.notices.Unreported(&candidates[i]) {
			p.reportLimit(&candidates[i])
		}
	}
	if len(p.waiting) == 0 {
		p.owner.silence.reset(now)
		p.suspension.Reset() // the clock was not checked since the last wait
		kernel.Signal(p.watchSignal)
	}
	p.checkSuspension(now)
	p.offerShare(now)
	p.waiting[p.lastNumber] = wt
	p.pending.Requests = append(p.pending.Requests, wt.request(p.lastNumber, now))
	p.signalSend()
	return p.lastNumber, wt, true
}

// awaitOwner waits for the owner's response. watchLoop ends the wait if the owner is silent
// for ownerTimeout. The error is that of the context.
func (p *Placer) awaitOwner(ctx context.Context, number uint64, wt *waiter) (ownerResponse, error) {
	select {
	case resp := <-wt.response:
		p.waitSeconds.Update((p.clock.Now() - wt.askedAt).Seconds())
		return resp, nil
	case <-ctx.Done():
		p.withdraw(number, wt)
		return ownerResponse{}, ctx.Err()
	}
}

// withdraw cancels the request of a disconnected caller at the owner. A grant that has
// already arrived is released.
func (p *Placer) withdraw(number uint64, wt *waiter) {
	p.mu.Lock()
	select {
	case resp := <-wt.response:
		p.mu.Unlock()
		if resp.granted != nil {
			resp.granted.End(api.AttemptUnsent)
		}
		return // otherwise the request has already ended at the owner
	default:
	}
	defer p.mu.Unlock()
	p.endWait(number, wt)
}

// endWait ends the wait for the owner's response. An owner that was asked is told. The lock must be held.
func (p *Placer) endWait(number uint64, wt *waiter) {
	delete(p.waiting, number)
	if wt.sent {
		p.pending.Ends = append(p.pending.Ends, placewire.End{Number: number, Outcome: api.AttemptUnsent})
		p.signalSend()
	}
}

// watchLoop checks while requests wait whether the owner has become silent.
func (p *Placer) watchLoop(ctx context.Context) error {
	t := time.NewTicker(silenceCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.watchSignal:
		}
		t.Reset(silenceCheckInterval)
		for p.checkOwner(p.clock.Now()) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-t.C:
			}
		}
	}
}

// checkOwner reports whether requests still wait. If the owner has been silent for
// ownerTimeout, it releases them all to be placed locally.
func (p *Placer) checkOwner(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		return false
	}
	p.checkSuspension(now)
	silent := p.owner.silence.advance(now)
	if silent < ownerTimeout {
		return true
	}
	p.ownerTimeouts.Inc()
	logqueue.Notice(p.log, "owner does not answer", "step", "owner", "peer", p.owner.name, "term", p.owner.term,
		"silent_ms", silent.Milliseconds(), "waiting", len(p.waiting))
	p.owner.unavailableUntil = now + ownerRetryDelay
	p.throttle.Hold(now)
	p.releaseWaiting()
	return false
}

// releaseWaiting has all waiting requests placed locally. The lock must be held.
func (p *Placer) releaseWaiting() {
	for n, wt := range p.waiting {
		p.endWait(n, wt)
		wt.response <- ownerResponse{placeLocally: true}
	}
}

// placeEngineLocal places a model request locally and reports it to the owner. One that the last owner
// has blocked is refused.
func (p *Placer) placeEngineLocal(w *api.PlacementRequest, s suspicion, reason string) (*assignment, error) {
	if s.blocked {
		return nil, p.crashRefusal(blockedRetryAfter)
	}
	p.mu.Lock()
	p.keepStarts()
	p.mu.Unlock()
	a, err := p.placeLocal(w)
	p.localPlacements.Inc()
	if err != nil {
		return nil, err
	}
	p.log.Info("placed", "step", "place", "request", w.RequestID, "by", "entry", "why", reason, "target", a.target.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++ // a new one, because the end of the request's former number is reported
	a.number = p.lastNumber
	p.running[a.number] = a
	p.pending.Running = append(p.pending.Running, a.report(p.clock.Now()))
	p.signalSend()
	return a, nil
}

// report describes a running request to the owner.
func (a *assignment) report(now time.Duration) placewire.Running {
	return placewire.Running{Request: placewire.NewRequest(a.number, a.work, now), Target: a.target.ID, Began: a.responseStarted, Answered: a.answered, AgoMs: (now - a.startedAt).Milliseconds()}
}

// acceptGrant logs the grant of a request and returns its placement.
func (p *Placer) acceptGrant(w *api.PlacementRequest, resp ownerResponse) *assignment {
	g := resp.decision
	p.ownerGrants.Inc()
	p.log.Info("placed", "step", "place", "request", w.RequestID, "by", "owner", "target", g.Target, "fetch_from", g.FetchFrom,
		"wait_ms", g.WaitMs, "excess", g.Excess, "retry", g.Retry, "missing_tokens", g.UncachedTokens, "least_missing_tokens", g.MinUncachedTokens, "least_wait_ms", g.MinUncachedWaitMs, "term", g.Term)
	return resp.granted
}

// startGranted starts a request on the target that the owner has granted. It is reported to a
// new owner from now on. The lock must be held.
func (p *Placer) startGranted(w *api.PlacementRequest, g placewire.Decision) *assignment {
	a := &assignment{placer: p, work: w, startedAt: p.clock.Now(), chosenBy: "owner", chosenAt: p.readClocks(), metered: g.Metered,
		newVersion: g.NewVersion, expected: time.Duration(g.ExpectedMs) * time.Millisecond,
		fetchSource: g.FetchFrom, fetchSourceStartedUnixMs: g.FetchStartedUnixMs}
	a.target, _ = p.directory.Target(g.Target) // checkTarget rejects a removed target later
	if w.Engine != nil {
		a.number = g.Number
		p.running[g.Number] = a
		p.recordStart(a)
	}
	p.local.Start(a.target)
	p.noteRollout(w.Service)
	return a
}

// refusal converts the owner's refusal of a request for the caller.
func (p *Placer) refusal(w *api.PlacementRequest, g placewire.Decision) *api.Refusal {
	message := "the targets cannot serve the request in time"
	switch g.Code {
	case placement.CodePartCrashes:
		message = partCrashesMessage
	case placement.CodeLimitReached:
		message = limitReachedMessage
	case placement.CodeRequestCrashes:
		message = requestCrashesMessage
	}
	return &api.Refusal{
		Code: g.Code, Status: 503, Run: api.NotRun, Step: "place",
		Message: message, RetryAfter: time.Duration(g.RetryMs) * time.Millisecond,
		LogAttrs: []any{"by", "owner", "wait_ms", g.WaitMs, "excess", g.Excess, "retry", g.Retry, "missing_tokens", g.UncachedTokens, "idle_target", g.IdleTarget, "term", g.Term},
	}
}

// leaderChanged switches to a new owner and sends it a full report of the waiting and
// running requests.
func (p *Placer) leaderChanged(name string, term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepStarts()
	p.owner = ownerState{name: name, term: term}
	p.scheduleRecentPrompts(rand.Float64())
	p.contact.sampleSent = 0
	p.owner.silence.reset(p.clock.Now())
	p.throttle.Hold(p.clock.Now())
	p.queueFullReport()
}

// linkChanged sends a full report when the link to the owner is up again, because messages
// may have been lost with the former link.
func (p *Placer) linkChanged(c api.LinkChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Up && c.Peer == p.owner.name {
		p.queueFullReport()
	}
}

func (p *Placer) handleOwnerMessage(_ context.Context, from string, params json.RawMessage) (any, error) {
	var d placewire.OwnerMessage
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, errors.WithMessage(err, placewire.MethodDown)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if from != p.owner.name || d.Term != p.owner.term {
		return nil, nil
	}
	now := p.clock.Now()
	if d.NotOwner {
		p.owner.unavailableUntil = now + ownerRetryDelay
		p.throttle.Hold(now)
		p.releaseWaiting()
		return nil, nil
	}
	p.owner.silence.reset(now)
	p.owner.lateness, p.owner.latenessAt = time.Duration(d.LatenessMs)*time.Millisecond, now
	overtaken := d.Sent != 0 && d.Sent < p.owner.sent
	p.recordContact(d.Sent, time.Duration(d.Echo), now)
	if d.ReportFully {
		p.queueFullReport()
	}
	if d.Blocked != nil {
		p.blocked.Set(d.Blocked.ToPlacement(), now)
	}
	if len(d.Suspects) > 0 {
		if err := p.setSuspects(d.Suspects, now); err != nil {
			return nil, err
		}
	}
	if len(d.Limits) > 0 {
		if err := p.mergeLimits(d.Limits, now); err != nil {
			return nil, err
		}
	}
	if len(p.waiting) > 0 {
		p.checkSuspension(now)
	}
	for _, g := range d.Decisions {
		p.deliverDecision(g, overtaken)
	}
	return nil, nil
}

// mergeLimits applies the rate limits that the owner tells of. The lock must be held.
func (p *Placer) mergeLimits(raw json.RawMessage, now time.Duration) error {
	var limits []placewire.Notice
	if err := json.Unmarshal(raw, &limits); err != nil {
		return errors.WithMessage(err, placewire.MethodDown)
	}
	for _, l := range limits {
		p.notices.MergeLimit(l.ToPlacement(), now)
	}
	return nil
}

// deliverDecision passes the owner's decision to the request that waits for it. A grant for
// a request that no longer waits is released, and so is one of a message that a later one has overtaken:
// the owner may have taken it for lost. The lock must be held.
func (p *Placer) deliverDecision(g placewire.Decision, overtaken bool) {
	wt := p.waiting[g.Number]
	if wt == nil {
		if g.Target != "" && p.running[g.Number] == nil {
			p.pending.Ends = append(p.pending.Ends, placewire.End{Number: g.Number, Outcome: api.AttemptUnsent})
			p.signalSend()
		}
		return
	}
	delete(p.waiting, g.Number)
	if (overtaken || wt.askedAt < p.suspensionEnd) && (g.Target != "" || g.NewVersion) {
		// The grant may have been in the receive buffer for the whole suspension.
		p.recordExpired("requested before a suspension or overtaken", p.clock.Now()-wt.askedAt)
		p.pending.Ends = append(p.pending.Ends, placewire.End{Number: g.Number, Outcome: api.AttemptUnsent})
		p.signalSend()
		wt.response <- ownerResponse{askAgain: true}
		return
	}
	if wt.work.Engine != nil {
		p.throttle.SetShare(wt.work.Workspace, g.ForwardShare(), p.clock.Now())
	}
	g.Term = p.owner.term
	resp := ownerResponse{decision: g}
	if g.Target != "" {
		resp.granted = p.startGranted(wt.work, g)
	}
	wt.response <- resp
}
