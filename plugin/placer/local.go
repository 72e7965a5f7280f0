package placer

import (
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
)

// placeLocal chooses a target from the state that this instance has itself. The error is
// an *api.Refusal if no target may be used.
func (p *Placer) placeLocal(w *api.PlacementRequest) (*assignment, error) {
	now := p.clock.Now()
	q := placement.Query{
		Service: w.Service, Targets: p.directory.Targets(), OutOfService: p.fleet.View().DataCentresOut,
		Tried: w.TriedTargets, Now: now, Random: rand.Float64(),
	}
	if w.Engine != nil {
		q.AffinityPart, q.MaxRunning = affinityPart(w.Prompt), p.maxRunning(w.Engine.Slots)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q.Notices = p.notices
	t, ok := p.local.Choose(q)
	if !ok {
		retryAfter := noTargetRetryAfter
		if pause := q.PauseEnd(); pause > 0 {
			retryAfter = pause + time.Duration(rand.Float64()*float64(pause)/2) // callers do not return together
		}
		return nil, &api.Refusal{
			Code: placement.CodeNoTarget, Status: 503, Run: api.NotRun, Step: "place",
			Message: "no target of the service may be used", RetryAfter: retryAfter,
		}
	}
	p.local.Start(t)
	return &assignment{placer: p, work: w, target: t, startedAt: now, chosenBy: "entry", chosenAt: p.readClocks()}, nil
}

// maxRunning returns how many requests this instance may run on a target with the given
// number of slots: its part of localSlotFraction, at least 1.
func (p *Placer) maxRunning(slots int) int {
	entries := p.topology.EntryCount()
	if entries == 0 {
		entries = defaultEntryCount
	}
	return max(1, int(localSlotFraction*float64(slots)/float64(entries)+0.5))
}

// affinityPart returns the prompt part by which requests are routed to the same target,
// the last one before the part that belongs to the request alone; 0 = none.
func affinityPart(prompt []api.PromptPart) placement.PartID {
	if len(prompt) < 2 {
		return 0
	}
	return placewire.PartID(prompt[len(prompt)-2].ID)
}

// assignment is a request that was assigned to a target. It implements api.Placement.
type assignment struct {
	placer          *Placer
	work            *api.PlacementRequest
	target          api.Target
	startedAt       time.Duration       // when the target was chosen, on the kernel clock
	sentAt          time.Duration       // first byte of the newest send, on the kernel clock
	chosenBy        string              // instance that chose the target: owner or entry
	chosenAt        kernel.ClockReading // for the grant lifetime; includes suspensions
	number          uint64              // number of the model request; 0 for plain requests
	responseStarted bool
	firstEventAt    time.Duration // 0 = no event yet
	answered        bool          // the target has begun to answer and did not crash
}

// Target implements api.Placement.
func (a *assignment) Target() api.Target { return a.target }

// BeforeSend implements api.Placement.
func (a *assignment) BeforeSend() error {
	if age := a.placer.readClocks().Since(a.chosenAt); age > grantLifetime {
		a.placer.recordExpired("before the request was sent", age)
		return errExpired
	}
	a.sentAt = a.placer.clock.Now()
	return a.placer.checkTarget(a.target)
}

// ResponseStarted implements api.Placement.
func (a *assignment) ResponseStarted() {
	if a.number == 0 {
		return
	}
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	a.responseStarted = true
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
	if limit, isNew, _ := p.notices.RecordLimit(&a.target, n.RateLimit, a.sentAt, now); isNew {
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
	a.placer.pending.Answered = append(a.placer.pending.Answered, a.number) // sent with the next message
	a.placer.signalSend()
}

// End implements api.Placement.
func (a *assignment) End(o api.AttemptOutcome) {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.local.End(a.target, o, now-a.startedAt, now)
	if a.number != 0 {
		delete(p.running, a.number)
		p.pending.Ends = append(p.pending.Ends, placewire.End{Number: a.number, Outcome: o})
		p.signalSend()
	}
}
