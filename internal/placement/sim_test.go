package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// sim simulates a load on an owner and its engines. An engine prefills prompts one at a time,
// has a prompt cache of its own, and slows down with the number of running requests.
type sim struct {
	owner        *Owner
	rng          *rand.Rand
	now          time.Duration
	events       eventQueue
	engines      map[string]*engine
	view         View
	number       uint64
	calls        map[Key]*call
	messageDelay time.Duration        // between entry instances and owner
	tokenPauseMs float64              // milliseconds per output token in addition to the step
	retries      bool                 // refused callers retry once, after the advised time
	throttles    map[string]*Throttle // by entry instance; nil = no throttling
	shedShare    map[string]float64   // share of a workspace's requests that entry instances shed
	onRefused    func(*call)          // called for each refused attempt; nil = none
	deadly       PartID               // part that crashes each engine that begins to answer it; 0 = none
	sameHash     bool                 // the requests of a session are word for word the same
	failShare    float64              // share of the requests with which engines fail at their first event
	crashes      []time.Duration
	overlapFetch bool            // engines fetch for one request while they prefill others
	deadlyStarts []time.Duration // when requests with the deadly part reached engines
}

// engine is a simulated target.
type engine struct {
	id          string
	speed       float64 // prompt tokens per millisecond
	busyUntil   time.Duration
	running     int
	slots       int
	cache       *promptCache
	starts      []time.Duration
	maxStarts   int // maximum number of starts within a second
	unreachable bool
	active      map[Key]*call // requests on the engine
	incarnation int64
	link        link
	dataCentre  string
}

// call is a simulated request and its outcome.
type call struct {
	request      Request
	workspace    string
	kind         string
	submittedAt  time.Duration
	target       string // on which it runs
	sentAt       time.Duration
	firstEventAt time.Duration
	refused      string
	done         bool
	prefilled    int
	fetchFrom    string // engine named by the owner
	fetched      int    // tokens
	retried      bool   // this is the caller's second attempt
	attempts     int    // on engines
}

type event struct {
	at time.Duration
	f  func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSim(seed uint64, engines, slots, cacheTokens int, tokensPerSecond float64) *sim {
	s := &sim{
		owner:   NewOwner(Config{ShareWindow: 4 * time.Second, ColdOverage: 1.5, ColdSlack: 5}),
		rng:     rand.New(rand.NewPCG(seed, 7)),
		engines: map[string]*engine{}, calls: map[Key]*call{}, messageDelay: 2 * time.Millisecond, tokenPauseMs: 6,
	}
	e := &routing.Engine{Slots: slots, CacheTokens: cacheTokens, EventTokens: 5}
	s.view = View{
		Services:        map[string]*routing.Service{"m": {Name: "m", ColdPerSecond: 10, Engine: e}},
		TokensPerSecond: tokensPerSecond, OutOfService: map[string]bool{},
	}
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		s.engines[id] = &engine{id: id, speed: 40, slots: slots, cache: newPromptCache(cacheTokens), active: map[Key]*call{}, dataCentre: fmt.Sprint("z", i%4)}
		s.view.Targets = append(s.view.Targets, api.Target{ID: id, Service: "m", DataCentre: fmt.Sprint("z", i%4), Slots: slots})
	}
	s.owner.SetView(s.view, 0)
	return s
}

func (s *sim) after(d time.Duration, f func()) { heap.Push(&s.events, event{s.now + d, f}) }

// run processes the events up to a time.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
		s.deliver()
	}
	s.now = until
}

// tick calls the owner's Tick periodically, as its plug-in does.
func (s *sim) tick() {
	s.owner.Tick(s.now)
	s.after(minTickInterval, s.tick)
}

// deliver carries out the owner's decisions.
func (s *sim) deliver() {
	for _, d := range s.owner.Decisions() {
		c := s.calls[d.Key]
		if throttle := s.throttles[d.Key.Entry]; throttle != nil {
			throttle.SetShare(c.workspace, d.ForwardShare, s.now)
		}
		if d.Target == "" {
			s.endRefused(d.Key, d.Code, d.RetryAfter)
			continue
		}
		c.target, c.sentAt, c.fetchFrom = d.Target, s.now, d.FetchFrom
		s.after(s.messageDelay, func() { s.start(d.Key, s.engines[d.Target]) })
	}
}

// ask passes a request through its entry instance, which throttles it, sheds it or forwards it
// to the owner.
func (s *sim) ask(k Key, req Request) {
	throttle := s.throttles[k.Entry]
	if throttle == nil || !throttle.Refuses(req.Workspace, req.Hash, s.now+req.CallerDeadline, s.now) {
		if s.rng.Float64() < s.shedShare[req.Workspace] {
			s.owner.CountShed(req.Workspace, req.PromptTokens+2*req.OutputTokens, s.now)
			s.endRefused(k, "busy", 50*time.Millisecond)
			return
		}
		s.owner.Submit(k, req, s.now)
		return
	}
	s.owner.CountThrottled(req.Workspace, ThrottledRequest{req.PromptTokens + 2*req.OutputTokens, req.Hash, req.CallerDeadline, req.Objective}, 0, s.now)
	s.endRefused(k, "throttled", throttle.RetryAfter(req.Workspace))
}

// endRefused ends a refused attempt and schedules the caller's retry.
func (s *sim) endRefused(k Key, code string, advice time.Duration) {
	c := s.calls[k]
	c.refused, c.done = code, true
	if s.onRefused != nil {
		s.onRefused(c)
	}
	if s.retries && !c.retried {
		s.retry(k, min(advice, (c.request.Deadline-(s.now-c.submittedAt))/3))
	}
}

// enableThrottling lets the entry instances throttle overloaded workspaces.
func (s *sim) enableThrottling() {
	s.throttles = map[string]*Throttle{}
	for i := range numEntries {
		s.throttles[fmt.Sprint("n", i)] = NewThrottle()
	}
}

// retry schedules a second attempt, which states the time that is left to its caller. Its outcome
// counts from the first attempt on.
func (s *sim) retry(k Key, wait time.Duration) {
	previous := s.calls[k]
	s.after(wait, func() {
		s.number++
		next := Key{Entry: k.Entry, Number: s.number}
		req := previous.request
		req.Deadline -= s.now - previous.submittedAt
		req.CallerDeadline = max(1, req.Deadline)
		c := *previous
		c.retried, c.refused, c.done = true, "", false
		delete(s.calls, k)
		s.calls[next] = &c
		s.ask(next, req)
	})
}

// start sends a request to an engine.
func (s *sim) start(k Key, e *engine) {
	c := s.calls[k]
	e.starts = append(e.starts, s.now)
	for s.now-e.starts[0] >= time.Second {
		e.starts = e.starts[1:]
	}
	e.maxStarts = max(e.maxStarts, len(e.starts))
	if e.unreachable {
		s.after(400*time.Millisecond, func() { s.owner.End(k, api.AttemptUnreachable, s.now); c.done, c.refused = true, "unreachable" })
		return
	}
	if hasPart(c.request.Prompt, s.deadly) {
		s.deadlyStarts = append(s.deadlyStarts, s.now)
	}
	e.running++
	e.active[k] = c
	c.attempts++
	incarnation := e.incarnation
	c.prefilled = e.cache.uncachedTokens(c.request.Prompt)
	ready := s.fetch(c, e)
	e.cache.pin(c.request.Prompt, 0)
	step := 4 + 0.09*float64(e.running)
	prefill := time.Duration((float64(c.prefilled)/e.speed + step) * float64(time.Millisecond))
	e.busyUntil = max(e.busyUntil, ready) + prefill
	s.after(e.busyUntil-s.now, func() {
		if e.incarnation != incarnation {
			return
		}
		if hasPart(c.request.Prompt, s.deadly) {
			s.crash(e)
			return
		}
		if s.failShare > 0 && s.rng.Float64() < s.failShare {
			s.fail(k, e)
			return
		}
		c.firstEventAt = s.now
		e.cache.markPrefilled(c.request.Prompt)
		s.after(answerTime, func() { s.owner.RecordAnswered(k, s.now) })
		s.after(s.messageDelay, func() { s.owner.RecordFirstEvent(k, s.now) })
		generation := time.Duration(float64(c.request.OutputTokens) * (step + s.tokenPauseMs) * float64(time.Millisecond))
		s.after(generation, func() {
			if e.incarnation != incarnation {
				return
			}
			e.running--
			delete(e.active, k)
			e.cache.unpin(c.request.Prompt, 0)
			c.done = true
			s.after(s.messageDelay, func() { s.owner.End(k, api.AttemptServed, s.now) })
		})
	})
}

// fetch has an engine fetch what the engine that the owner has named holds of a prompt, and returns
// when the prefill of the others can begin.
func (s *sim) fetch(c *call, e *engine) time.Duration {
	source := s.engines[c.fetchFrom]
	if source == nil || source.unreachable {
		return s.now
	}
	c.fetched = max(0, source.cache.prefilledTokens(c.request.Prompt)-(c.request.PromptTokens-c.prefilled))
	c.prefilled -= c.fetched
	takes := transferTime(s.view.Services["m"].Engine, c.fetched, source.dataCentre != e.dataCentre)
	ends := reserveTransfer(&source.link, &e.link, takes, s.now)
	if s.overlapFetch {
		return ends
	}
	return max(ends, e.busyUntil+takes)
}

// enableFetch lets engines fetch prompt parts from one another, as fast as the platform's.
func (s *sim) enableFetch() {
	e := s.view.Services["m"].Engine
	e.CanMove, e.CachedTokenBytes, e.LinkMbps = true, 18_432, 180_000
	s.owner.SetView(s.view, s.now)
}

// answerTime is the time from the first event until an entry instance reports that a target has
// begun to answer; restartTime is how long a crashed engine is away.
const (
	answerTime  = 100 * time.Millisecond
	restartTime = 3 * time.Second
)

func hasPart(prompt []Part, id PartID) bool {
	return slices.ContainsFunc(prompt, func(p Part) bool { return id != 0 && p.ID == id })
}

// crash ends an engine and all of its requests. A new incarnation follows after restartTime.
func (s *sim) crash(e *engine) {
	s.crashes = append(s.crashes, s.now)
	e.incarnation++
	e.unreachable, e.running, e.busyUntil, e.cache = true, 0, 0, newPromptCache(e.cache.capacity)
	for k, c := range e.active {
		delete(e.active, k)
		s.breakOff(k, c)
	}
	s.after(restartTime, func() {
		e.unreachable = false
		for i := range s.view.Targets {
			if s.view.Targets[i].ID == e.id {
				s.view.Targets[i].StartedUnixMs = e.incarnation
			}
		}
		s.owner.SetView(s.view, s.now)
	})
}

// fail breaks off one request of an engine that goes on running.
func (s *sim) fail(k Key, e *engine) {
	c := e.active[k]
	delete(e.active, k)
	e.running--
	e.cache.unpin(c.request.Prompt, 0)
	s.breakOff(k, c)
}

// breakOff ends an attempt without an answer. The entry instance tries one further target if no
// event has arrived.
func (s *sim) breakOff(k Key, c *call) {
	s.after(s.messageDelay, func() {
		s.owner.End(k, api.AttemptIncomplete, s.now)
		if c.firstEventAt > 0 || c.attempts > 1 {
			c.done, c.refused = true, "broken"
			return
		}
		s.number++
		next := Key{Entry: k.Entry, Number: s.number}
		delete(s.calls, k)
		c.request.Tried = []string{c.target}
		s.calls[next] = c
		s.owner.Submit(next, c.request, s.now)
	})
}

const numEntries = 7 // entry instances

// workload describes one kind of request of a workspace.
type workload struct {
	workspace    string
	kind         string
	perSecond    float64
	uniqueTokens int // mean length of the last part, which only this request or its session has
	sharedTokens int // length of the shared part
	sharedParts  int // number of different shared parts
	output       int
	objective    time.Duration
	last         time.Duration
}

// generate schedules the requests of a workload in a span of time. Each has a last prompt part of its own.
func (s *sim) generate(load workload, from, to time.Duration) { s.generateSessions(load, 0, from, to) }

// generateSessions is generate with the requests of a number of sessions, each of which has one last prompt part.
func (s *sim) generateSessions(load workload, sessions int, from, to time.Duration) {
	at := from
	for {
		at += time.Duration(s.rng.ExpFloat64() / load.perSecond * float64(time.Second))
		if at >= to {
			return
		}
		s.number++
		k := Key{Entry: fmt.Sprint("n", s.number%numEntries), Number: s.number}
		uniqueTokens := max(10, int(float64(load.uniqueTokens)*s.rng.ExpFloat64()))
		part := s.rng.IntN(max(1, load.sharedParts))
		owner, session := "own", int(s.number)
		if sessions > 0 {
			owner, session, uniqueTokens = load.workspace, s.rng.IntN(sessions), load.uniqueTokens
		}
		req := Request{
			Service: "m", Workspace: load.workspace, DataCentre: fmt.Sprint("z", s.number%4), PromptTokens: uniqueTokens + load.sharedTokens, OutputTokens: load.output,
			Prompt:    []Part{{ID: hashPart(load.kind, part), Tokens: load.sharedTokens}, {ID: hashPart(owner, session), Tokens: uniqueTokens}},
			Objective: load.objective, Deadline: load.last, RouteObjective: load.objective, Hash: RequestHash(s.number), CallerDeadline: load.last,
		}
		if s.sameHash {
			req.Hash = RequestHash(req.Prompt[1].ID)
		}
		heap.Push(&s.events, event{at + s.messageDelay, func() {
			s.calls[k] = &call{request: req, workspace: load.workspace, kind: load.kind, submittedAt: s.now}
			s.ask(k, req)
		}})
	}
}

func hashPart(kind string, n int) PartID { return PartID(hashName(fmt.Sprint(kind, n))) }

// outcome sums up the results of a selection of calls.
type outcome struct {
	asked, onTime, started, refused int
	tokensAsked, tokensStarted      float64
	prefilled, fetched              int
}

func (o outcome) onTimeShare() float64 { return float64(o.onTime) / float64(max(1, o.asked)) }

// add adds the outcomes of another run.
func (o *outcome) add(p outcome) {
	o.asked, o.onTime, o.started, o.refused, o.prefilled = o.asked+p.asked, o.onTime+p.onTime, o.started+p.started, o.refused+p.refused, o.prefilled+p.prefilled
	o.fetched += p.fetched
	o.tokensAsked, o.tokensStarted = o.tokensAsked+p.tokensAsked, o.tokensStarted+p.tokensStarted
}

func (s *sim) summarize(from, to time.Duration, match func(*call) bool) (o outcome) {
	for _, c := range s.calls {
		if c.submittedAt < from || c.submittedAt >= to || !match(c) {
			continue
		}
		o.asked++
		cost := float64(c.request.PromptTokens) + 2*float64(c.request.OutputTokens)
		o.tokensAsked += cost
		switch {
		case c.refused != "":
			o.refused++
		case c.firstEventAt > 0:
			o.started++
			o.tokensStarted += cost
			o.prefilled += c.prefilled
			o.fetched += c.fetched
			if c.firstEventAt-c.submittedAt <= c.request.Objective {
				o.onTime++
			}
		}
	}
	return o
}
