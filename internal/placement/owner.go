package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// Key identifies a request in the fleet: the entry instance and its number there.
type Key struct {
	Entry  string
	Number uint64
}

// Ask is a request for a target.
type Ask struct {
	Service   string
	Workspace string
	// DataCentre is where the entry instance runs.
	DataCentre   string
	PromptTokens int
	OutputTokens int // the best guess
	Prompt       []Part
	// Objective is when the first event is due, Last when it is of no use any more,
	// both from the ask on.
	Objective, Last time.Duration
	// Allowed is the route's whole objective.
	Allowed time.Duration
	Tried   []string
	Resumes bool
}

// Decision answers an ask.
type Decision struct {
	Key Key
	// Target is set if the request may start there now.
	Target string
	// Code and RetryAfter are set if it is refused.
	Code       string
	RetryAfter time.Duration
	// Wait is how long the request has waited for its target, or the predicted time until
	// one has room if it is refused. Excess is by how much its workspace exceeds the share.
	Wait   time.Duration
	Excess float64
	// Pass is the part of the workspace's requests that the entry instance is to ask
	// for; 1 = all.
	Pass float64
	// Missing is the number of prompt tokens that the target must read, Least the
	// smallest such number of any target, and LeastWait the time until that one has
	// room.
	Missing, Least int
	LeastWait      time.Duration
}

// Codes of refusals.
const (
	CodeNoTarget = "no_target"
	CodeLate     = "too_late"
	CodeShare    = "share_exceeded"
	CodeYield    = "share_yields"
)

// View is what the owner needs to know about the fleet.
type View struct {
	Services map[string]*routing.Service
	Targets  []api.Target
	Out      map[string]bool
	// TokensPerSecond is what all engines produce together.
	TokensPerSecond float64
}

// Config sets the bounds of an owner.
type Config struct {
	ShareWindow time.Duration
	// ColdOverage and ColdSlack bound the starts a second on a cold target.
	ColdOverage, ColdSlack float64
}

// Owner places the model requests of all entry instances. Each request is decided
// when it is asked for: it starts, it is refused, or it waits for the target that
// suits it best. It is not safe for concurrent use.
type Owner struct {
	cfg     Config
	view    View
	targets map[string]*target
	byName  []*target            // sorted by ID
	usable  map[string][]*target // those that take new requests, by service, sorted by ID
	keepers keepers
	next    int // where the next choice begins to look
	works   map[Key]*work
	waiting int
	shares  *shares
	repeats *repeats
	runs    map[string]time.Duration // mean time of a request on a target, by service
	out     []Decision
	looked  time.Duration // last look at all waiting requests
}

// NewOwner returns an owner that knows no targets.
func NewOwner(c Config) *Owner {
	return &Owner{cfg: c, targets: map[string]*target{}, keepers: keepers{}, works: map[Key]*work{}, shares: newShares(c.ShareWindow), repeats: newRepeats(), runs: map[string]time.Duration{}}
}

// SetView takes a newer view. Targets that are gone keep their running requests
// until these end; requests that wait for them are placed anew.
func (o *Owner) SetView(v View, now time.Duration) {
	o.view = v
	next := make(map[string]*target, len(v.Targets))
	for _, info := range v.Targets {
		if s := v.Services[info.Service]; s != nil && s.Engine != nil {
			next[info.ID] = o.known(info, *s.Engine)
		}
	}
	gone := o.byName
	o.targets, o.byName = next, make([]*target, 0, len(next))
	for _, t := range next {
		o.byName = append(o.byName, t)
	}
	slices.SortFunc(o.byName, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
	o.usable = map[string][]*target{}
	for _, t := range o.byName {
		if o.inService(t) {
			o.usable[t.info.Service] = append(o.usable[t.info.Service], t)
		}
	}
	for _, t := range gone {
		if next[t.info.ID] != t {
			t.held.forget()
		}
	}
	for _, t := range gone {
		if next[t.info.ID] != t || !o.inService(t) {
			o.replan(t, now)
		}
	}
}

// known returns the model of a target, new if it has begun another life.
func (o *Owner) known(info api.Target, e routing.Engine) *target {
	t := o.targets[info.ID]
	if t == nil || t.info.BornMs != info.BornMs {
		return newTarget(info, e, o.keepers)
	}
	t.info, t.engine = info, e
	t.held.capacity = e.CacheTokens
	return t
}

// Serves reports whether the owner places the requests of a service.
func (o *Owner) Serves(service string) bool {
	s := o.view.Services[service]
	return s != nil && s.Engine != nil
}

// Ask takes a request and decides on it.
func (o *Owner) Ask(k Key, a Ask, now time.Duration) {
	if o.works[k] != nil {
		return
	}
	o.advance(now)
	w := newWork(k, a, now)
	o.works[k] = w
	w.effective = max(w.due, now+time.Duration(longFactor*float64(o.readTime(a)+baseTime)))
	if due, again := o.repeats.due(ownPart(a.Prompt)); again && !a.Resumes {
		w.due = min(w.due, due)
		w.effective, w.missed = w.due, true // late by its first attempt, not for want of room
	} else if !a.Resumes {
		o.shares.ask(a.Workspace, w.cost)
	}
	o.decide(w, now)
}

// Refused counts a request of a workspace that an entry instance refused: its tokens,
// the last part of its prompt, and the time until its first event is due.
func (o *Owner) Refused(workspace string, tokens int, own PartID, objective, now time.Duration) {
	o.advance(now)
	if _, again := o.repeats.due(own); !again {
		o.shares.ask(workspace, float64(tokens))
	}
	o.repeats.note(own, now+objective, now)
	o.shares.deny(workspace, now)
}

// TurnedAway counts requests of a workspace, in tokens, that an entry instance refused for
// want of processor time or memory.
func (o *Owner) TurnedAway(workspace string, tokens int, now time.Duration) {
	o.advance(now)
	o.shares.turnAway(workspace, float64(tokens), now)
}

// rateSample is the number of targets from which the usual rate of a service is taken.
const rateSample = 64

// readTime returns the time that a whole prompt takes on a usual target of its
// service.
func (o *Owner) readTime(a Ask) time.Duration {
	all := o.usable[a.Service]
	if len(all) == 0 {
		return 0
	}
	// A sample: the rates of targets of one service differ little.
	sum, n := 0.0, 0
	for i := 0; i < len(all); i += 1 + len(all)/rateSample {
		sum += all[i].rate
		n++
	}
	return time.Duration(float64(a.PromptTokens) / (sum / float64(n)) * float64(time.Millisecond))
}

// Running tells about a request that runs on a target by another's decision: the
// owner before, or the entry instance itself. It was sent there a time ago.
func (o *Owner) Running(k Key, a Ask, targetID string, began bool, ago, now time.Duration) {
	if w := o.works[k]; w != nil {
		if w.target != nil {
			return
		}
		o.unplan(w)
	}
	t := o.targets[targetID]
	if t == nil {
		delete(o.works, k)
		return
	}
	w := newWork(k, a, now)
	o.works[k] = w
	t.start(w, now-max(0, ago))
	if began {
		w.began = true
		t.dequeue(w, false)
	}
}

// Began notes the first event of a request.
func (o *Owner) Began(k Key, now time.Duration) {
	if w := o.works[k]; w != nil && w.target != nil {
		w.target.begin(w, now)
		o.serve(w.target, now)
	}
}

// End notes the end of a request, on its target or while it waits.
func (o *Owner) End(k Key, outcome api.WorkOutcome, now time.Duration) {
	w := o.works[k]
	if w == nil {
		return
	}
	delete(o.works, k)
	if w.target == nil {
		o.unplan(w)
		return
	}
	w.target.end(w)
	w.target.health.note(outcome, now)
	if outcome == api.WorkServed {
		o.noteRun(w.target.info.Service, now-w.sentAt)
	}
	switch outcome {
	case api.WorkUnreachable, api.WorkUnsent, api.WorkFull, api.WorkOther:
		o.shares.begin(w.ask.Workspace, -w.cost)
	}
	if w.target.health.until > now {
		o.replan(w.target, now)
		return
	}
	o.serve(w.target, now)
}

// runTime returns the mean time of a request of a service on a target.
func (o *Owner) runTime(service string) time.Duration {
	if mean, ok := o.runs[service]; ok {
		return mean
	}
	return usualRun
}

// noteRun counts the time of a request in the mean.
func (o *Owner) noteRun(service string, took time.Duration) {
	mean := o.runTime(service)
	o.runs[service] = mean + time.Duration(runWeight*float64(took-mean))
}

// Forget drops all requests of an entry instance that is gone.
func (o *Owner) Forget(entry string) {
	for k, w := range o.works {
		if k.Entry != entry {
			continue
		}
		delete(o.works, k)
		if w.target == nil {
			o.unplan(w)
		} else {
			w.target.end(w)
		}
	}
}

// Waiting returns the number of requests that wait.
func (o *Owner) Waiting() int { return o.waiting }

// Entries returns the entry instances whose requests wait.
func (o *Owner) Entries() []string {
	seen := map[string]bool{}
	var out []string
	for _, t := range o.byName {
		for _, w := range t.plan {
			if !seen[w.key.Entry] {
				seen[w.key.Entry] = true
				out = append(out, w.key.Entry)
			}
		}
	}
	return out
}

// Decisions returns the decisions made since the last call.
func (o *Owner) Decisions() []Decision {
	out := o.out
	o.out = nil
	return out
}

// lookInterval is how often all waiting requests are looked at again.
const lookInterval = 10 * time.Millisecond

// Tick serves the targets on which requests wait, and refuses those that cannot
// be served in time any more. It does so at most once in lookInterval.
func (o *Owner) Tick(now time.Duration) {
	if o.waiting == 0 || now-o.looked < lookInterval {
		return
	}
	o.looked = now
	o.advance(now)
	for _, t := range o.byName {
		if len(t.plan) > 0 {
			o.serve(t, now)
			o.review(t, now)
		}
	}
}

// advance moves the shares to a time. Their capacity is what the usable targets
// produce.
func (o *Owner) advance(now time.Duration) {
	if !o.shares.due(now) {
		return
	}
	usable, all := 0, 0
	for _, t := range o.byName {
		all++
		if o.inService(t) && t.health.until <= now {
			usable++
		}
	}
	capacity := o.view.TokensPerSecond
	if all > 0 {
		capacity *= float64(usable) / float64(all)
	}
	if capacity <= 0 {
		capacity = math.Inf(1)
	}
	o.shares.advance(now, capacity)
}

// inService reports whether a target takes new requests at all.
func (o *Owner) inService(t *target) bool {
	return !t.info.Leaving && !o.view.Out[t.info.DataCentre]
}
