package placer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

const (
	// answerLimit is the silence of the owner after which waiting requests are
	// placed here. The owner tells ten times a second that it is there.
	answerLimit = 250 * time.Millisecond
	// resendPause separates attempts to reach an owner without a link.
	resendPause = 100 * time.Millisecond
	// absentFor is how long an owner that did not answer is not asked.
	absentFor = 300 * time.Millisecond
	// grantLife is how long the choice of a target holds until the request is sent. The
	// owner counts starts by the second, and forgets an instance that it has not reached
	// for 1.5 s. Connecting takes 0.4 s at most.
	grantLife = time.Second
	// pauseLeast is the time without a look from which this process counts as having been
	// stopped or delayed. While requests wait it looks every 50 ms.
	pauseLeast = 600 * time.Millisecond
)

// errExpired ends an attempt whose target was chosen too long ago.
var errExpired = errors.New("the choice of the target has run out")

// waiter is an ask without an answer.
type waiter struct {
	work   *api.Work
	asked  time.Duration
	answer chan answer // holds one
}

// answer ends the wait of an ask.
type answer struct {
	grant placewire.Grant
	// local tells that the owner does not answer, again that its answer has run out.
	local, again bool
}

// Place implements api.Placer.
func (p *Placer) Place(ctx context.Context, w *api.Work) (api.Placement, error) {
	if w.Engine == nil {
		return asPlacement(p.placeLocal(w))
	}
	for {
		number, wt, ok := p.ask(w)
		if !ok {
			return asPlacement(p.placeEngineLocal(w, "no owner"))
		}
		a, err := p.await(ctx, number, wt)
		switch {
		case err != nil:
			return nil, err
		case a.again:
		case a.local:
			return asPlacement(p.placeEngineLocal(w, "owner does not answer"))
		case a.grant.Target == "":
			return nil, p.refusal(w, a.grant)
		default:
			return p.take(w, number, a.grant)
		}
	}
}

// expire tells that a choice was not used because it has run out.
func (p *Placer) expire(why string, age time.Duration) {
	p.expired.Inc()
	p.log.Warn("choice of a target expired", "step", "place", "why", why, "age_ms", age.Milliseconds())
}

// look notes that this process runs. The lock must be held.
func (p *Placer) look(now time.Duration) {
	if pause := p.lapse.Look(p.instant()); pause > pauseLeast {
		p.wokeAt = now
		logqueue.Notice(p.log, "ran again after a pause", "step", "pause", "pause_ms", pause.Milliseconds(), "waiting", len(p.waiting))
	}
}

// Precheck implements api.Placer.
func (p *Placer) Precheck(w *api.Work) *api.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.flood.Holds(w.Workspace, placewire.OwnPart(w.Prompt), now) {
		return nil
	}
	p.held.Inc()
	if p.up.Refused == nil {
		p.up.Refused = map[string][]placewire.Refused{}
	}
	p.up.Refused[w.Workspace] = append(p.up.Refused[w.Workspace], placewire.NewRefused(w, now)) // told with the next message
	return &api.Refusal{
		Code: placement.CodeShare, Status: 503, Run: api.NotRun, Step: "place", RetryAfter: p.flood.Advice(w.Workspace),
		Message: "the workspace exceeds its share",
		Inputs:  []any{"by", "entry", "passes", p.flood.Share(w.Workspace), "term", p.owner.term},
	}
}

// TurnedAway implements api.Placer.
func (p *Placer) TurnedAway(w *api.Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.up.TurnedAway == nil {
		p.up.TurnedAway = map[string]int{}
	}
	p.up.TurnedAway[w.Workspace] += placewire.Tokens(w) // told with the next message
}

func asPlacement(l *placed, err error) (api.Placement, error) {
	if err != nil {
		return nil, err
	}
	return l, nil
}

// ask sends a request to the owner. It reports false if there is none to ask.
func (p *Placer) ask(w *api.Work) (uint64, *waiter, bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owner.name == "" || now < p.owner.absent || !p.mesh.Reachable(p.owner.name) {
		return 0, nil, false
	}
	p.number++
	wt := &waiter{work: w, asked: now, answer: make(chan answer, 1)}
	if len(p.waiting) == 0 {
		p.owner.silence.heard(now)
		p.lapse.Forget() // nobody has looked since the last wait
		kernel.Signal(p.watch)
	}
	p.look(now)
	p.waiting[p.number] = wt
	p.up.Asks = append(p.up.Asks, placewire.NewAsk(p.number, w, now))
	p.wake()
	return p.number, wt, true
}

// await waits for the owner's answer; the watch ends the wait if the owner has been
// silent for too long.
func (p *Placer) await(ctx context.Context, number uint64, wt *waiter) (answer, error) {
	select {
	case a := <-wt.answer:
		p.wait.Update((p.clock.Now() - wt.asked).Seconds())
		return a, nil
	case <-ctx.Done():
		p.giveUp(number, wt)
		return answer{}, ctx.Err()
	}
}

// giveUp withdraws an ask whose caller has left, or gives back its target.
func (p *Placer) giveUp(number uint64, wt *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, number)
	p.up.Ends = append(p.up.Ends, placewire.End{Number: number, Outcome: api.WorkUnsent})
	p.wake()
	select {
	case <-wt.answer: // the end above frees the target
	default:
	}
}

// watchLoop follows the owner's silence while requests wait for its answers.
func (p *Placer) watchLoop(ctx context.Context) error {
	t := time.NewTicker(pulseEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.watch:
		}
		t.Reset(pulseEvery)
		for p.checkOwner(p.clock.Now()) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-t.C:
			}
		}
	}
}

// checkOwner reports whether requests wait. If the owner has been silent for too
// long, all asks are answered to be placed here.
func (p *Placer) checkOwner(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 {
		return false
	}
	p.look(now)
	silent := p.owner.silence.look(now)
	if silent < answerLimit {
		return true
	}
	p.unanswered.Inc()
	logqueue.Notice(p.log, "owner does not answer", "step", "owner", "peer", p.owner.name, "term", p.owner.term,
		"silent_ms", silent.Milliseconds(), "waiting", len(p.waiting))
	p.owner.absent = now + absentFor
	p.releaseWaiting()
	return false
}

// releaseWaiting answers all asks to be placed here. The lock must be held.
func (p *Placer) releaseWaiting() {
	for n, wt := range p.waiting {
		delete(p.waiting, n)
		p.up.Ends = append(p.up.Ends, placewire.End{Number: n, Outcome: api.WorkUnsent})
		wt.answer <- answer{local: true}
	}
	p.wake()
}

// placeEngineLocal places a model request here and tells the owner about it.
func (p *Placer) placeEngineLocal(w *api.Work, why string) (*placed, error) {
	l, err := p.placeLocal(w)
	p.fallback.Inc()
	if err != nil {
		return nil, err
	}
	p.log.Info("placed", "step", "place", "request", w.RequestID, "by", "entry", "why", why, "target", l.target.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++ // not the number of the ask, which the owner is told has ended
	l.number = p.number
	p.running[l.number] = l
	p.up.Running = append(p.up.Running, l.report(p.clock.Now()))
	p.wake()
	return l, nil
}

// report describes a running request to the owner.
func (l *placed) report(now time.Duration) placewire.Running {
	return placewire.Running{Ask: placewire.NewAsk(l.number, l.work, now), Target: l.target.ID, Began: l.began, AgoMs: (now - l.begin).Milliseconds()}
}

// take makes a placement of a grant.
func (p *Placer) take(w *api.Work, number uint64, g placewire.Grant) (api.Placement, error) {
	p.remote.Inc()
	p.log.Info("placed", "step", "place", "request", w.RequestID, "by", "owner", "target", g.Target,
		"wait_ms", g.WaitMs, "excess", g.Excess, "missing_tokens", g.Missing, "least_missing_tokens", g.Least, "least_wait_ms", g.LeastWaitMs, "term", g.Term)
	l := &placed{p: p, work: w, begin: p.clock.Now(), by: "owner", number: number, at: p.instant()}
	l.target, _ = p.directory.Target(g.Target) // permit refuses one that is gone
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[number] = l
	p.local.Start(l.target)
	return l, nil
}

func (p *Placer) refusal(w *api.Work, g placewire.Grant) *api.Refusal {
	return &api.Refusal{
		Code: g.Code, Status: 503, Run: api.NotRun, Step: "place",
		Message: "the targets cannot serve the request in time", RetryAfter: time.Duration(g.RetryMs) * time.Millisecond,
		Inputs: []any{"by", "owner", "wait_ms", g.WaitMs, "excess", g.Excess, "missing_tokens", g.Missing, "term", g.Term},
	}
}

// leaderChanged takes a new owner and tells it what waits and runs here.
func (p *Placer) leaderChanged(name string, term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner = ownerState{name: name, term: term}
	p.owner.silence.heard(p.clock.Now())
	p.reportAll()
}

// linkChanged repeats the report after the link to the owner was lost, and with
// it perhaps messages.
func (p *Placer) linkChanged(c api.LinkChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Up && c.Peer == p.owner.name {
		p.reportAll()
	}
}

// reportAll replaces the news for the owner by all that waits and runs here. The
// lock must be held.
func (p *Placer) reportAll() {
	now := p.clock.Now()
	p.up = placewire.Up{Whole: true}
	for _, l := range p.running {
		p.up.Running = append(p.up.Running, l.report(now))
	}
	for n, wt := range p.waiting {
		p.up.Asks = append(p.up.Asks, placewire.NewAsk(n, wt.work, now))
	}
	p.wake()
}

// wake has the pending message sent.
func (p *Placer) wake() { kernel.Signal(p.kick) }

func (p *Placer) sendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.kick:
		}
		if p.send() {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(resendPause):
		}
	}
}

// send tells the owner what has happened since the last message. Without an owner
// the news is dropped: the next one gets a whole report. It reports false if the
// message cannot be sent now.
func (p *Placer) send() bool {
	p.mu.Lock()
	u := p.up
	p.up = placewire.Up{}
	owner := p.owner
	p.mu.Unlock()
	if owner.name == "" {
		return true
	}
	u.Term, u.DataCentre = owner.term, p.dataCentre
	if err := p.mesh.Notify(owner.name, placewire.MethodUp, u); err != nil {
		p.log.Debug("owner not told", "step", "owner", "peer", owner.name, "error", err)
		p.mu.Lock()
		p.reportAll()
		p.mu.Unlock()
		return false
	}
	return true
}

func (p *Placer) handleDown(_ context.Context, from string, params json.RawMessage) (any, error) {
	var d placewire.Down
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, errors.WithMessage(err, placewire.MethodDown)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if from != p.owner.name || d.Term != p.owner.term {
		return nil, nil
	}
	now := p.clock.Now()
	if d.Not {
		p.owner.absent = now + absentFor
		p.releaseWaiting()
		return nil, nil
	}
	p.owner.silence.heard(now)
	if len(p.waiting) > 0 {
		p.look(now)
	}
	for _, g := range d.Grants {
		p.deliver(g)
	}
	return nil, nil
}

// deliver gives an answer to its ask. A grant that nobody waits for is given back.
// The lock must be held.
func (p *Placer) deliver(g placewire.Grant) {
	wt := p.waiting[g.Number]
	if wt == nil {
		if g.Target != "" && p.running[g.Number] == nil {
			p.up.Ends = append(p.up.Ends, placewire.End{Number: g.Number, Outcome: api.WorkUnsent})
			p.wake()
		}
		return
	}
	delete(p.waiting, g.Number)
	if wt.asked < p.wokeAt && g.Target != "" {
		// It may have waited for this process as long as the pause was.
		p.expire("it was asked for before a pause", p.clock.Now()-wt.asked)
		p.up.Ends = append(p.up.Ends, placewire.End{Number: g.Number, Outcome: api.WorkUnsent})
		p.wake()
		wt.answer <- answer{again: true}
		return
	}
	p.flood.Tell(wt.work.Workspace, g.Pass(), p.clock.Now())
	g.Term = p.owner.term
	wt.answer <- answer{grant: g}
}
