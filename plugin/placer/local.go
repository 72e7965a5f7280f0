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
	// noTargetAdvice is when a caller may come back while no target is in service:
	// the list is read at shorter intervals.
	noTargetAdvice = 500 * time.Millisecond
	// localSlots is the part of a target's slots that all entry instances together
	// use while no owner answers.
	localSlots = 0.7
	// unknownEntries is the assumed number of entry instances before it was told.
	unknownEntries = 16
)

// placeLocal chooses a target by what this instance knows.
func (p *Placer) placeLocal(w *api.Work) (*placed, error) {
	now := p.clock.Now()
	q := placement.Query{
		Service: w.Service, Targets: p.directory.Targets(), Out: p.fleet.View().Out,
		Tried: w.Tried, Now: now, Random: rand.Float64(),
	}
	if w.Engine != nil {
		q.Home, q.MostRunning = homePart(w.Prompt), p.mostRunning(w.Engine.Slots)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.local.Choose(q)
	if !ok {
		return nil, &api.Refusal{
			Code: placement.CodeNoTarget, Status: 503, Run: api.NotRun, Step: "place",
			Message: "no target of the service may be used", RetryAfter: noTargetAdvice,
		}
	}
	p.local.Start(t)
	return &placed{p: p, work: w, target: t, begin: now, by: "entry", at: p.instant()}, nil
}

// mostRunning returns this instance's part of a target's slots.
func (p *Placer) mostRunning(slots int) int {
	entries := p.topology.Entries()
	if entries == 0 {
		entries = unknownEntries
	}
	return max(1, int(localSlots*float64(slots)/float64(entries)+0.5))
}

func homePart(prompt []api.PromptPart) placement.PartID {
	if len(prompt) < 2 {
		return 0
	}
	return placewire.PartID(prompt[len(prompt)-2].ID)
}

// placed implements api.Placement.
type placed struct {
	p      *Placer
	work   *api.Work
	target api.Target
	begin  time.Duration
	by     string         // who chose the target
	at     kernel.Instant // when it was chosen
	number uint64         // of a model request; 0 otherwise
	began  bool
}

// Target implements api.Placement.
func (l *placed) Target() api.Target { return l.target }

// Sent implements api.Placement.
func (l *placed) Sent() error {
	if age := l.p.instant().Since(l.at); age > grantLife {
		l.p.expire("before the request was sent", age)
		return errExpired
	}
	return l.p.permit(l.target)
}

// Began implements api.Placement.
func (l *placed) Began() {
	if l.number == 0 {
		return
	}
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	l.began = true
	l.p.up.Began = append(l.p.up.Began, l.number)
	l.p.wake()
}

// Progress implements api.Placement.
func (l *placed) Progress(int) {}

// End implements api.Placement.
func (l *placed) End(o api.WorkOutcome) {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.local.End(l.target, o, now-l.begin, now)
	if l.number != 0 {
		delete(p.running, l.number)
		p.up.Ends = append(p.up.Ends, placewire.End{Number: l.number, Outcome: o})
		p.wake()
	}
}
