package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// sim plays a load against an owner and simulated engines. An engine reads prompts
// one after the other, keeps parts in a memory of its own, and slows with the
// number of running requests.
type sim struct {
	owner   *Owner
	rng     *rand.Rand
	now     time.Duration
	events  queue
	engines map[string]*engine
	view    View
	number  uint64
	calls   map[Key]*call
	late    time.Duration      // delay of messages to the owner
	pause   float64            // milliseconds that a token takes beside its step
	again   bool               // refused callers come again once, as told
	floods  map[string]*Flood  // of the entry instances; nil = they hold nothing back
	busy    map[string]float64 // part of a workspace's requests that entries refuse for want of means
}

// engine is a simulated target.
type engine struct {
	id      string
	speed   float64 // prompt tokens a millisecond
	busy    time.Duration
	running int
	slots   int
	memory  *held
	starts  []time.Duration
	most    int // most starts within a second
	dead    bool
}

// call is a simulated request and what became of it.
type call struct {
	ask       Ask
	workspace string
	kind      string
	askedAt   time.Duration
	target    string // on which it runs
	sentAt    time.Duration
	begin     time.Duration
	refused   string
	done      bool
	read      int
	again     bool // the caller has come again
}

type event struct {
	at time.Duration
	f  func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSim(seed uint64, engines, slots, memory int, tokensPerSecond float64) *sim {
	s := &sim{
		owner:   NewOwner(Config{ShareWindow: 4 * time.Second, ColdOverage: 1.5, ColdSlack: 5}),
		rng:     rand.New(rand.NewPCG(seed, 7)),
		engines: map[string]*engine{}, calls: map[Key]*call{}, late: 2 * time.Millisecond, pause: 6,
	}
	e := &routing.Engine{Slots: slots, CacheTokens: memory, EventTokens: 5}
	s.view = View{
		Services:        map[string]*routing.Service{"m": {Name: "m", ColdPerSecond: 10, Engine: e}},
		TokensPerSecond: tokensPerSecond, Out: map[string]bool{},
	}
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		s.engines[id] = &engine{id: id, speed: 40, slots: slots, memory: newHeld(memory)}
		s.view.Targets = append(s.view.Targets, api.Target{ID: id, Service: "m", DataCentre: fmt.Sprint("z", i%4), Slots: slots})
	}
	s.owner.SetView(s.view, 0)
	return s
}

func (s *sim) after(d time.Duration, f func()) { heap.Push(&s.events, event{s.now + d, f}) }

// run plays until a time.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
		s.deliver()
	}
	s.now = until
}

// tick has the owner look at what waits, as its plug-in does.
func (s *sim) tick() {
	s.owner.Tick(s.now)
	s.after(lookInterval, s.tick)
}

// deliver carries out the owner's decisions.
func (s *sim) deliver() {
	for _, d := range s.owner.Decisions() {
		c := s.calls[d.Key]
		if f := s.floods[d.Key.Entry]; f != nil {
			f.Tell(c.workspace, d.Pass, s.now)
		}
		if d.Target == "" {
			s.refused(d.Key, d.Code, d.RetryAfter)
			continue
		}
		c.target, c.sentAt = d.Target, s.now
		s.after(s.late, func() { s.start(d.Key, s.engines[d.Target]) })
	}
}

// ask has an entry instance ask the owner, or refuse the request itself.
func (s *sim) ask(k Key, a Ask) {
	f := s.floods[k.Entry]
	if f == nil || !f.Holds(a.Workspace, ownPart(a.Prompt), s.now) {
		if s.rng.Float64() < s.busy[a.Workspace] {
			s.owner.TurnedAway(a.Workspace, a.PromptTokens+2*a.OutputTokens, s.now)
			s.refused(k, "busy", 50*time.Millisecond)
			return
		}
		s.owner.Ask(k, a, s.now)
		return
	}
	s.owner.Refused(a.Workspace, a.PromptTokens+2*a.OutputTokens, ownPart(a.Prompt), a.Objective, s.now)
	s.refused(k, "held", f.Advice(a.Workspace))
}

// refused ends an attempt, after which its caller may come again.
func (s *sim) refused(k Key, code string, advice time.Duration) {
	c := s.calls[k]
	c.refused, c.done = code, true
	if s.again && !c.again {
		s.comeAgain(k, min(advice, (c.ask.Last-(s.now-c.askedAt))/3))
	}
}

// holdBack lets the entry instances hold floods back.
func (s *sim) holdBack() {
	s.floods = map[string]*Flood{}
	for i := range entries {
		s.floods[fmt.Sprint("n", i)] = NewFlood()
	}
}

// comeAgain has a refused caller ask once more, by another attempt that says nothing
// of the first one. What becomes of it counts from the first one on.
func (s *sim) comeAgain(k Key, wait time.Duration) {
	first := s.calls[k]
	s.after(wait, func() {
		s.number++
		next := Key{Entry: k.Entry, Number: s.number}
		a := first.ask
		a.Last -= s.now - first.askedAt
		c := *first
		c.again, c.refused, c.done = true, "", false
		delete(s.calls, k)
		s.calls[next] = &c
		s.ask(next, a)
	})
}

// start sends a request to an engine.
func (s *sim) start(k Key, e *engine) {
	c := s.calls[k]
	e.starts = append(e.starts, s.now)
	for s.now-e.starts[0] >= time.Second {
		e.starts = e.starts[1:]
	}
	e.most = max(e.most, len(e.starts))
	if e.dead {
		s.after(400*time.Millisecond, func() { s.owner.End(k, api.WorkUnreachable, s.now); c.done, c.refused = true, "dead" })
		return
	}
	e.running++
	c.read = e.memory.missing(c.ask.Prompt)
	e.memory.take(c.ask.Prompt, 0)
	step := 4 + 0.09*float64(e.running)
	reading := time.Duration((float64(c.read)/e.speed + step) * float64(time.Millisecond))
	e.busy = max(e.busy, s.now) + reading
	s.after(e.busy-s.now, func() {
		c.begin = s.now
		s.after(s.late, func() { s.owner.Began(k, s.now) })
		rest := time.Duration(float64(c.ask.OutputTokens) * (step + s.pause) * float64(time.Millisecond))
		s.after(rest, func() {
			e.running--
			e.memory.release(c.ask.Prompt, 0)
			c.done = true
			s.after(s.late, func() { s.owner.End(k, api.WorkServed, s.now) })
		})
	})
}

const entries = 7 // instances

// stream is the load of one workspace.
type stream struct {
	workspace string
	kind      string
	perSecond float64
	prompt    int // own tokens
	shared    int // tokens of the shared part
	things    int // number of shared parts
	output    int
	objective time.Duration
	last      time.Duration
}

// play sends the requests of a load in a span of time.
func (s *sim) play(l stream, from, to time.Duration) {
	at := from
	for {
		at += time.Duration(s.rng.ExpFloat64() / l.perSecond * float64(time.Second))
		if at >= to {
			return
		}
		s.number++
		k := Key{Entry: fmt.Sprint("n", s.number%entries), Number: s.number}
		own := max(10, int(float64(l.prompt)*s.rng.ExpFloat64()))
		thing := s.rng.IntN(max(1, l.things))
		a := Ask{
			Service: "m", Workspace: l.workspace, DataCentre: fmt.Sprint("z", s.number%4), PromptTokens: own + l.shared, OutputTokens: l.output,
			Prompt:    []Part{{ID: hashPart(l.kind, thing), Tokens: l.shared}, {ID: hashPart("own", int(s.number)), Tokens: own}},
			Objective: l.objective, Last: l.last, Allowed: l.objective,
		}
		heap.Push(&s.events, event{at + s.late, func() {
			s.calls[k] = &call{ask: a, workspace: l.workspace, kind: l.kind, askedAt: s.now}
			s.ask(k, a)
		}})
	}
}

func hashPart(kind string, n int) PartID { return PartID(hashName(fmt.Sprint(kind, n))) }

// outcome sums up what the callers of a selection got.
type outcome struct {
	asked, inTime, begun, refused int
	tokensAsked, tokensBegun      float64
	read                          int
}

func (o outcome) share() float64 { return float64(o.inTime) / float64(max(1, o.asked)) }

// add joins the outcomes of another run.
func (o *outcome) add(p outcome) {
	o.asked, o.inTime, o.begun, o.refused, o.read = o.asked+p.asked, o.inTime+p.inTime, o.begun+p.begun, o.refused+p.refused, o.read+p.read
	o.tokensAsked, o.tokensBegun = o.tokensAsked+p.tokensAsked, o.tokensBegun+p.tokensBegun
}

func (s *sim) sum(from, to time.Duration, match func(*call) bool) (o outcome) {
	for _, c := range s.calls {
		if c.askedAt < from || c.askedAt >= to || !match(c) {
			continue
		}
		o.asked++
		cost := float64(c.ask.PromptTokens) + 2*float64(c.ask.OutputTokens)
		o.tokensAsked += cost
		switch {
		case c.refused != "":
			o.refused++
		case c.begin > 0:
			o.begun++
			o.tokensBegun += cost
			o.read += c.read
			if c.begin-c.askedAt <= c.ask.Objective {
				o.inTime++
			}
		}
	}
	return o
}
