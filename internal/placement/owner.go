package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// Bounds and weights of the owner's decisions.
const (
	// ahead is the reading time that may already wait on a target when another
	// request is sent to it. It covers the way of a message to the owner and back;
	// what waits longer waits here, where it can still be put in order.
	ahead = 60 * time.Millisecond
	// rereadWeight is what reading a part that another target keeps costs, as a
	// multiple of its time: the target could serve another request meanwhile.
	rereadWeight = 3.0
	// homeBonus is what the usual target of a prompt saves if no target keeps it,
	// so that owners that follow each other choose alike.
	homeBonus = 10 * time.Millisecond
	// farCost is what a target in another data centre than the caller's entry costs.
	farCost = 4 * time.Millisecond
	// crowdCost is what each running request on a target costs: it slows the others.
	crowdCost = 500 * time.Microsecond
	// failCost is what a target that always fails costs.
	failCost = 400 * time.Millisecond
	// startShare is the part of the bound on starts of a cold target that is used:
	// starts are counted here when they are granted, and at the target later.
	startShare = 0.8
	// scan bounds the waiting requests that are looked at after one event.
	scan = 48
	// margin is left of the objective for the way of the answer to the caller.
	margin = 15 * time.Millisecond
	// latePenalty makes a target on which a request is on time better than any on
	// which it is not.
	latePenalty = 5 * time.Second
	// longFactor is the multiple of its own reading time within which a prompt that
	// cannot be read within the objective counts as on time, so that the longest
	// requests are served, too.
	longFactor = 1.6
	// lateFactor is the multiple of the objective, counted from the request, after
	// which callers give up a stream that has not begun.
	lateFactor = 4
	lateLeast  = 2 * time.Second
	// adviceLeast and adviceMost bound the time after which refused callers are
	// told to come back.
	adviceLeast = 200 * time.Millisecond
	adviceMost  = 2 * time.Second
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
	// Wait and Excess are the inputs of the decision: the predicted time until the
	// target has room, and by how much the workspace exceeds its share.
	Wait   time.Duration
	Excess float64
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

// Owner places the model requests of all entry instances. It is not safe for
// concurrent use.
type Owner struct {
	cfg     Config
	view    View
	targets map[string]*target
	byName  []*target // sorted by ID
	works   map[Key]*work
	waiting []*work
	shares  *shares
	output  map[string]float64 // mean output tokens by service
}

// NewOwner returns an owner that knows no targets.
func NewOwner(c Config) *Owner {
	return &Owner{
		cfg: c, targets: map[string]*target{}, works: map[Key]*work{}, shares: newShares(c.ShareWindow),
		output: map[string]float64{},
	}
}

// SetView takes a newer view. Targets that are gone keep their running requests
// until these end.
func (o *Owner) SetView(v View) {
	o.view = v
	next := make(map[string]*target, len(v.Targets))
	o.byName = o.byName[:0]
	for _, info := range v.Targets {
		s := v.Services[info.Service]
		if s == nil || s.Engine == nil {
			continue
		}
		t := o.targets[info.ID]
		switch {
		case t == nil:
			t = newTarget(info, *s.Engine)
		case t.info.BornMs != info.BornMs:
			t.renew(info)
		}
		t.info, t.engine = info, *s.Engine
		t.held.capacity = s.Engine.CacheTokens
		next[info.ID] = t
		o.byName = append(o.byName, t)
	}
	o.targets = next
	slices.SortFunc(o.byName, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

// readTime returns the time that a whole prompt takes on a usual target of its
// service.
func (o *Owner) readTime(a Ask) time.Duration {
	sum, n := 0.0, 0
	for _, t := range o.byName {
		if t.info.Service == a.Service {
			sum += t.rate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(float64(a.PromptTokens) / (sum / float64(n)) * float64(time.Millisecond))
}

// Serves reports whether the owner places the requests of a service.
func (o *Owner) Serves(service string) bool {
	s := o.view.Services[service]
	return s != nil && s.Engine != nil
}

// Ask takes a request. Decide answers it.
func (o *Owner) Ask(k Key, a Ask, now time.Duration) {
	if o.works[k] != nil {
		return
	}
	o.advance(now)
	w := &work{key: k, ask: a, askedAt: now, due: now + a.Objective, last: now + a.Last}
	w.cost = float64(a.PromptTokens) + 2*float64(a.OutputTokens)
	w.effective = max(w.due, now+time.Duration(longFactor*float64(o.readTime(a)+baseTime)))
	o.works[k] = w
	o.waiting = append(o.waiting, w)
	if !a.Resumes {
		o.shares.ask(a.Workspace, w.cost)
	}
}

// Running tells about a request that runs on a target by another's decision: the
// owner before, or the entry instance itself.
func (o *Owner) Running(k Key, a Ask, targetID string, began bool, now time.Duration) {
	if w := o.works[k]; w != nil {
		if w.target != nil {
			return
		}
		o.unqueue(w)
		delete(o.works, k)
	}
	t := o.targets[targetID]
	if t == nil {
		return
	}
	w := &work{key: k, ask: a, askedAt: now, due: now, last: now + a.Last}
	w.cost = float64(a.PromptTokens) + 2*float64(a.OutputTokens)
	o.works[k] = w
	t.start(w, now)
	if began {
		w.began = true
		t.dequeue(w, false)
	}
}

// Began notes the first event of a request.
func (o *Owner) Began(k Key, now time.Duration) {
	if w := o.works[k]; w != nil && w.target != nil {
		w.target.begin(w, now)
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
		o.unqueue(w)
		return
	}
	w.target.end(w)
	w.target.health.note(outcome, now)
	switch outcome {
	case api.WorkUnreachable, api.WorkUnsent, api.WorkFull, api.WorkOther:
		o.shares.begin(w.ask.Workspace, -w.cost)
	}
}

// Forget drops all requests of an entry instance that is gone.
func (o *Owner) Forget(entry string) {
	for k, w := range o.works {
		if k.Entry != entry {
			continue
		}
		delete(o.works, k)
		if w.target == nil {
			o.unqueue(w)
		} else {
			w.target.end(w)
		}
	}
}

// Waiting returns the number of requests that wait.
func (o *Owner) Waiting() int { return len(o.waiting) }

// Entries returns the entry instances whose requests wait.
func (o *Owner) Entries() []string {
	var out []string
	for _, w := range o.waiting {
		if !slices.Contains(out, w.key.Entry) {
			out = append(out, w.key.Entry)
		}
	}
	return out
}

func (o *Owner) unqueue(w *work) {
	if i := slices.Index(o.waiting, w); i >= 0 {
		o.waiting = slices.Delete(o.waiting, i, i+1)
	}
}

// advance moves the shares to a time. Their capacity is what the usable targets
// produce.
func (o *Owner) advance(now time.Duration) {
	usable, all := 0, 0
	for _, t := range o.byName {
		all++
		if o.usable(t, now) {
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

func (o *Owner) usable(t *target, now time.Duration) bool {
	return !t.info.Leaving && !o.view.Out[t.info.DataCentre] && t.health.until <= now
}

// Decide grants, refuses or leaves each waiting request.
func (o *Owner) Decide(now time.Duration) []Decision {
	if len(o.waiting) == 0 {
		return nil
	}
	o.advance(now)
	for _, t := range o.byName {
		t.planned, t.slotsKept, t.queued = 0, 0, t.backlog(now)
	}
	o.order(now)
	var out []Decision
	keep := o.waiting[:0]
	for i, w := range o.waiting {
		if i >= scan {
			keep = append(keep, o.waiting[i:]...)
			break
		}
		d, decided := o.decide(w, now)
		if !decided {
			keep = append(keep, w)
			continue
		}
		out = append(out, d)
	}
	clear(o.waiting[len(keep):])
	o.waiting = keep
	return out
}

// order sorts the waiting requests: streams that go on first, then workspaces
// within their share by due time, then the others by how far they exceed it.
func (o *Owner) order(now time.Duration) {
	type rank struct {
		late   bool
		excess float64
	}
	ranks := make(map[*work]rank, len(o.waiting))
	for _, w := range o.waiting {
		r := rank{late: now > w.due}
		if w.ask.Resumes {
			r = rank{excess: -1}
		} else {
			r.excess = o.shares.excess(w.ask.Workspace, w.cost)
		}
		ranks[w] = r
	}
	slices.SortStableFunc(o.waiting, func(a, b *work) int {
		x, y := ranks[a], ranks[b]
		if x.late != y.late {
			if x.late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(x.excess, y.excess), cmp.Compare(a.due, b.due))
	})
}

// choice is a target for a request.
type choice struct {
	target  *target
	wait    time.Duration // until it has room
	begin   time.Duration // until the first event
	score   time.Duration
	missing int

	// least and leastWait describe the target that must read least.
	least     int
	leastWait time.Duration
}

// decide answers one request, or plans its place and leaves it waiting.
func (o *Owner) decide(w *work, now time.Duration) (Decision, bool) {
	d := Decision{Key: w.key, Excess: o.shares.excess(w.ask.Workspace, w.cost)}
	c, ok := o.choose(w, now)
	if !ok {
		return o.refuse(w, d, CodeNoTarget, o.advice(0)), true
	}
	d.Wait, d.Missing, d.Least, d.LeastWait = c.wait, c.missing, c.least, c.leastWait
	late := now+c.begin+margin > w.effective && !w.ask.Resumes
	if late {
		o.shares.deny(w.ask.Workspace, now)
	}
	switch {
	case d.Excess > 0 && !w.ask.Resumes && c.target.queued > 0 && o.shares.overtakes(w.ask.Workspace, w.cost, now):
		return o.refuse(w, d, CodeYield, o.advice(o.shares.window/shareSlots)), true
	case late && !o.worthLate(w, c, d.Excess, now):
		code := CodeLate
		if d.Excess > 0 {
			code = CodeShare
		}
		return o.refuse(w, d, code, o.advice(c.wait)), true
	case c.wait > 0:
		c.target.planned += float64(c.missing)
		c.target.slotsKept++
		return d, false
	}
	c.target.start(w, now)
	c.target.queued = c.target.backlog(now)
	if !w.ask.Resumes {
		o.shares.begin(w.ask.Workspace, w.cost)
	}
	d.Target = c.target.info.ID
	return d, true
}

// worthLate reports whether a request that misses its objective is still served:
// one within its workspace's share is, while its caller waits and the targets are
// not needed by others that can be on time.
func (o *Owner) worthLate(w *work, c choice, excess float64, now time.Duration) bool {
	patience := max(lateLeast, lateFactor*w.ask.Allowed)
	until := min(w.last, w.due-w.ask.Allowed+patience)
	return excess == 0 && now+c.begin+margin < until
}

func (o *Owner) refuse(w *work, d Decision, code string, after time.Duration) Decision {
	delete(o.works, w.key)
	d.Code, d.RetryAfter = code, after
	return d
}

// advice returns when a refused caller should come back.
func (o *Owner) advice(wait time.Duration) time.Duration {
	return min(max(wait, adviceLeast), adviceMost)
}

// choose returns the best target for a request: the one with the least time until
// the first event and the least work that others must wait for. Targets that were
// tried or failed lately are used only if there is no other.
func (o *Owner) choose(w *work, now time.Duration) (choice, bool) {
	var best, spare choice
	least, leastWait := -1, time.Duration(0)
	home := o.home(w)
	for _, t := range o.byName {
		if t.info.Service != w.ask.Service || t.info.Leaving || o.view.Out[t.info.DataCentre] {
			continue
		}
		c := o.assess(t, w, now)
		if least < 0 || c.missing < least || (c.missing == least && c.wait < leastWait) {
			least, leastWait = c.missing, c.wait
		}
		if t == home {
			c.score -= homeBonus
		}
		b := &best
		if t.health.until > now || slices.Contains(w.ask.Tried, t.info.ID) {
			b = &spare
		}
		if b.target == nil || c.score < b.score {
			*b = c
		}
	}
	if best.target == nil {
		best = spare
	}
	best.least, best.leastWait = least, leastWait
	return best, best.target != nil
}

// assess predicts a request's time on a target.
func (o *Owner) assess(t *target, w *work, now time.Duration) choice {
	c := choice{target: t, missing: t.held.missing(w.ask.Prompt)}
	queue := t.queued + t.readTime(t.planned)
	c.wait = max(0, queue-ahead)
	if !t.room(w) {
		c.wait = max(c.wait, o.roomTime(t))
	}
	if !t.mayStart(o.startLimit(t, now), now) {
		if t.info.ColdUntil > now {
			c.wait = max(c.wait, startsWindow/2)
		} else {
			c.wait = max(c.wait, t.starts[0]+startsWindow-now)
		}
	}
	read := t.readTime(float64(c.missing))
	c.begin = max(queue, c.wait) + read + baseTime
	c.score = c.begin + time.Duration(rereadWeight*float64(read)) + time.Duration(len(t.running))*crowdCost +
		time.Duration(t.health.failures*float64(failCost))
	if t.info.DataCentre != w.ask.DataCentre {
		c.score += farCost
	}
	if now+c.begin+margin > w.effective {
		c.score += latePenalty
	}
	return c
}

// roomTime is a guess of the time until a request on a full target ends.
func (o *Owner) roomTime(t *target) time.Duration {
	const usualRun = 4 * time.Second
	return usualRun / time.Duration(max(1, len(t.running)))
}

// startLimit bounds the starts a second on a target. One that is warm may turn
// cold at any moment, and the list tells it late, so the bound for cold targets
// holds always, but for what a cold target takes beyond its rate.
func (o *Owner) startLimit(t *target, now time.Duration) float64 {
	s := o.view.Services[t.info.Service]
	if s == nil || s.ColdPerSecond <= 0 {
		return 0
	}
	if t.info.ColdUntil > now {
		return s.ColdPerSecond * startShare
	}
	return (s.ColdPerSecond*o.cfg.ColdOverage + o.cfg.ColdSlack) * startShare
}

// home returns the target on which the shared parts of a prompt are read first:
// the one with the highest hash of part and target.
func (o *Owner) home(w *work) *target {
	if len(w.ask.Prompt) < 2 {
		return nil
	}
	part := HomePart(w.ask.Prompt)
	var best *target
	highest := uint64(0)
	for _, t := range o.byName {
		if t.info.Service != w.ask.Service || !o.usable(t, 0) {
			continue
		}
		if h := mix(uint64(part), t.info.ID); best == nil || h > highest {
			best, highest = t, h
		}
	}
	return best
}

// HomePart returns the part by which a prompt's usual target is chosen: the last
// one that it shares with other requests. 0 = none.
func HomePart(prompt []Part) PartID {
	if len(prompt) < 2 {
		return 0
	}
	return prompt[len(prompt)-2].ID
}

// mix hashes a part and a target name (FNV-1a with a final avalanche).
func mix(part uint64, name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range 8 {
		h = (h ^ (part >> (8 * i) & 0xff)) * 1099511628211
	}
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
