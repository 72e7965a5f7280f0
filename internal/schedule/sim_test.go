package schedule

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/limits"
)

// The simulation runs routers, one owner and targets in simulated time. Every
// message is encoded and decoded. The targets check what reaches them.

const (
	ms       = time.Millisecond
	simLag   = 2 * time.Second // largest lag of a load report
	simLease = 2 * time.Second
	poolName = "matcher-llm"
	envelope = 56 // bytes of a JSON-RPC notification around its parameters
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type sim struct {
	now     time.Duration
	rng     *rand.Rand
	queue   events
	seq     int
	routers []*simRouter
	targets []*simTarget
	byName  map[string]*simTarget
	weights map[string]float64

	owner   *Owner
	at      string // instance of the owner
	epoch   uint64
	faults  bool // messages are lost, doubled, delayed
	out     map[string]bool
	leaving map[string]bool
	granted map[string]float64 // true cost of started work by workspace
	done    map[string]float64 // true cost of ended work by workspace
	ended   map[string]int
	onStart func(*simJob)
	onEnd   func(*simJob)
	sent    map[string]int // bytes by sender
	faulty  []string
}

type simRouter struct {
	*sim
	r        *Router
	name     string
	dc       string
	inc      uint64
	alive    bool
	died     time.Duration
	flushing bool
}

type simJob struct {
	router *simRouter
	inc    uint64
	item   *Item
	ws     string
	cost   float64
	queued time.Duration
	begun  time.Duration
	boot   uint64
	atCold bool // the target was cold when the work arrived
}

// simTarget serves rate cost units a second on each slot.
type simTarget struct {
	*sim
	name, dc   string
	warm, cold int
	rate       float64
	isCold     bool
	coldSince  time.Duration
	coldFor    time.Duration
	boot       uint64
	jobs       map[*simJob]bool
	lastNew    time.Duration
	peakCold   int
	peak       int
	history    []limits.Report // one entry each 100 ms, the newest last
}

func newSim(seed uint64, routers int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*simTarget{}, weights: map[string]float64{},
		out: map[string]bool{}, leaving: map[string]bool{}, sent: map[string]int{}, granted: map[string]float64{}, done: map[string]float64{}, ended: map[string]int{}}
	for i := range routers {
		r := &simRouter{sim: s, name: fmt.Sprintf("r%d", i), dc: fmt.Sprintf("dc%d", i%2), alive: true, inc: uint64(i + 500001)}
		r.r = NewRouter(poolName, r.inc)
		s.routers = append(s.routers, r)
		s.every(20*ms, r.tick)
	}
	s.every(10*ms, s.tickOwner)
	s.every(time.Second, s.poll)
	s.every(250*ms, s.pollOrphans)
	return s
}

func (s *sim) addTargets(n, warm, cold int, rate float64) {
	for range n {
		i := len(s.targets)
		t := &simTarget{sim: s, name: fmt.Sprintf("matcher-llm-%d", i), dc: fmt.Sprintf("dc%d", i%2), warm: warm, cold: cold,
			rate: rate, boot: 1, isCold: true, coldFor: time.Second, jobs: map[*simJob]bool{}}
		s.targets = append(s.targets, t)
		s.byName[t.name] = t
		s.every(100*ms, t.sample)
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) fault(format string, args ...any) {
	if len(s.faulty) < 5 {
		s.faulty = append(s.faulty, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
	}
}

// setOwner moves ownership; an empty name means that nobody owns the pool.
func (s *sim) setOwner(at string) {
	s.owner, s.at = nil, at
	if at == "" {
		return
	}
	s.epoch++
	zones := map[string]string{}
	for _, r := range s.routers {
		zones[r.name] = r.dc
	}
	s.owner = NewOwner(poolName, s.epoch, zones, s.now)
	s.configure()
	for _, r := range s.routers {
		if r.alive {
			r.r.SetOwner(at, s.epoch)
		}
	}
	s.after(2*ms, s.poll)
}

func (s *sim) configure() {
	var cs []limits.Config
	for _, t := range s.targets {
		cs = append(cs, limits.Config{Name: t.name, DataCentre: t.dc, WarmCapacity: t.warm, ColdCapacity: t.cold,
			EvidenceLife: 10 * time.Second, ReportLag: simLag, RequestLimit: 10 * time.Minute})
	}
	s.owner.SetWeights(s.weights)
	s.owner.Limits().Configure(cs, s.now)
	s.owner.Limits().SetOut(s.out, s.now)
	s.owner.Limits().SetLeaving(s.leaving, s.now)
}

func (s *sim) mayHold(name string) bool {
	for _, r := range s.routers {
		if r.name == name {
			return r.alive || s.now-r.died < simLease
		}
	}
	return false
}

func (s *sim) tickOwner() {
	if s.owner == nil {
		return
	}
	s.owner.Tick(s.now, s.mayHold)
	s.owner.Notes()
	if s.now%time.Second == 0 {
		m := &ServiceMsg{}
		sent := s.owner.Service(m, false)
		for _, r := range s.routers {
			if !sent {
				break
			}
			s.deliver(s.at, r.name, m, func(b []byte) {
				var x ServiceMsg
				s.must(x.UnmarshalJSON(b))
				r.r.OnService(&x)
			})
		}
	}
	s.grant()
}

func (s *sim) must(err error) {
	if err != nil {
		s.fault("%v", err)
	}
}

func (s *sim) grant() {
	if s.owner == nil {
		return
	}
	s.owner.Schedule(s.now)
	s.owner.Flush(func(to string, m *GrantMsg) bool {
		for _, r := range s.routers {
			if r.name == to {
				from := s.at
				s.deliver(from, to, m, func(b []byte) { r.onGrant(from, b) })
			}
		}
		return true
	})
}

// deliver sends one message with the faults of the network.
func (s *sim) deliver(from, to string, m json.Marshaler, receive func(b []byte)) {
	b, err := m.MarshalJSON()
	s.must(err)
	delay := ms
	if from == to {
		delay = 0
	} else {
		s.sent[from] += len(b) + envelope
	}
	if s.faults && from != to {
		switch s.rng.IntN(20) {
		case 0:
			return
		case 1:
			s.after(time.Duration(s.rng.IntN(300))*ms, func() { receive(b) })
		case 2:
			delay = time.Duration(s.rng.IntN(400)) * ms
		}
	}
	s.after(delay, func() { receive(b) })
}

func (s *sim) poll() { s.pollSome(func(*limits.Target) bool { return true }) }

func (s *sim) pollOrphans() { s.pollSome(func(t *limits.Target) bool { return t.Orphans() > 0 }) }

func (s *sim) pollSome(want func(*limits.Target) bool) {
	for _, t := range s.targets {
		if s.owner == nil || !want(s.owner.Limits().Target(t.name)) {
			continue
		}
		lag := min(s.rng.IntN(int(simLag/(100*ms))), len(t.history))
		if s.owner != nil && lag > 0 {
			s.owner.Limits().Report(t.name, t.history[len(t.history)-lag], s.now)
		}
	}
	s.grant()
}

func (r *simRouter) LeaseValid() bool { return r.alive }

func (r *simRouter) Address(_, target string) (string, bool) { return "a", !r.out[r.byName[target].dc] }

func (r *simRouter) tick() {
	if r.alive {
		r.r.Tick(r.now)
		r.flush()
	}
}

// flush sends at most once a millisecond.
func (r *simRouter) flush() {
	if r.flushing || !r.alive {
		return
	}
	r.flushing = true
	r.after(ms, func() { r.flushing = false; r.sendDue() })
	r.sendDue()
}

func (r *simRouter) sendDue() {
	if !r.alive {
		return
	}
	to, epoch := r.r.Owner()
	d, rep := r.r.Flush(r.now)
	if rep != nil {
		r.deliver(r.name, to, rep, func(b []byte) {
			var m ReportMsg
			r.must(m.UnmarshalJSON(b))
			if r.at == to && r.epoch >= epoch {
				r.owner.Report(r.name, &m, r.now)
				r.grant()
			}
		})
	}
	if d != nil {
		r.deliver(r.name, to, d, func(b []byte) {
			var m DemandMsg
			r.must(m.UnmarshalJSON(b))
			if r.at == to && r.epoch >= epoch {
				r.owner.Demand(r.name, &m, r.now)
				r.grant()
			}
		})
	}
}

func (r *simRouter) onGrant(from string, b []byte) {
	if !r.alive {
		return
	}
	var m GrantMsg
	r.must(m.UnmarshalJSON(b))
	for _, g := range r.r.OnGrant(from, &m, r.now, r) {
		j := g.Item.Data.(*simJob)
		t := r.byName[g.Target]
		r.granted[j.ws] += j.cost
		if r.onStart != nil {
			r.onStart(j)
		}
		r.after(ms, func() { t.begin(j) })
	}
	r.flush()
}

// enqueue adds a request of the true cost and returns false if the queue is full.
func (r *simRouter) enqueue(ws string, class api.CostClass, cost, hint float64) *simJob {
	j := &simJob{router: r, inc: r.inc, ws: ws, cost: cost, queued: r.now}
	it, _ := r.r.Enqueue(api.Demand{Workspace: ws, Pool: poolName, Class: class, Hint: hint}, 256, r.now)
	if it == nil {
		return nil
	}
	it.Data, j.item = j, it
	r.flush()
	return j
}

func (r *simRouter) die() { r.alive, r.died = false, r.now }

// restart brings the router back with empty memory.
func (r *simRouter) restart() {
	r.inc += 100
	r.r, r.alive = NewRouter(poolName, r.inc), true
	if r.at != "" {
		r.r.SetOwner(r.at, r.epoch)
	}
}

// tell runs f on the router if the process that started the job still lives.
func (j *simJob) tell(f func(r *simRouter)) {
	r := j.router
	r.after(ms, func() {
		if r.alive && r.inc == j.inc {
			f(r)
			r.flush()
		}
	})
}

// cancel ends the job as a caller does who goes away.
func (j *simJob) cancel() {
	r := j.router
	if !r.alive || r.inc != j.inc {
		return
	}
	if t := r.byName[j.item.target]; t != nil && t.jobs[j] {
		delete(t.jobs, j)
		r.r.Done(j.item, api.Outcome{Result: api.ResultCancelled}, r.now)
	} else if j.item.Waiting() {
		r.r.Cancel(j.item, r.now)
	}
	r.flush()
}

func (t *simTarget) warmth() api.Warmth {
	if t.isCold {
		return api.WarmthCold
	}
	return api.WarmthWarm
}

func (t *simTarget) sample() {
	if t.isCold && t.now-t.coldSince >= t.coldFor {
		t.isCold = false
	}
	t.history = append(t.history, limits.Report{Warmth: t.warmth(), Boot: t.boot, Running: len(t.jobs)})
	if len(t.history) > 30 {
		t.history = t.history[1:]
	}
}

func (t *simTarget) begin(j *simJob) {
	j.begun, j.boot, j.atCold = t.now, t.boot, t.isCold
	t.jobs[j] = true
	t.lastNew = t.now
	t.check()
	w, boot := t.warmth(), t.boot
	j.tell(func(r *simRouter) { r.r.Confirm(j.item, w, boot, r.now) })
	t.after(time.Duration(j.cost/t.rate*float64(time.Second)), func() { t.end(j, w) })
}

// check counts what the target carries against what it can carry.
func (t *simTarget) check() {
	t.peak = max(t.peak, len(t.jobs))
	if len(t.jobs) > t.warm {
		t.fault("%s carries %d, warm capacity %d", t.name, len(t.jobs), t.warm)
	}
	if !t.isCold {
		return
	}
	fresh := 0
	for j := range t.jobs {
		if j.atCold && j.begun >= t.coldSince {
			fresh++
		}
	}
	t.peakCold = max(t.peakCold, fresh)
	if fresh > t.cold {
		t.fault("cold %s carries %d, cold capacity %d", t.name, fresh, t.cold)
	}
}

func (t *simTarget) end(j *simJob, w api.Warmth) {
	if !t.jobs[j] {
		return
	}
	delete(t.jobs, j)
	t.ended[j.ws]++
	t.done[j.ws] += j.cost
	boot := j.boot
	j.tell(func(r *simRouter) {
		r.r.Done(j.item, api.Outcome{Result: api.ResultOK, Cost: j.cost, Warmth: w, Boot: boot}, r.now)
		if r.onEnd != nil {
			r.onEnd(j)
		}
	})
}

// turnCold makes the target cold without warning. With restart its work is cut
// and its boot number changes.
func (t *simTarget) turnCold(restart bool) {
	t.isCold, t.coldSince = true, t.now
	if !restart {
		return
	}
	t.boot++
	for j := range t.jobs {
		delete(t.jobs, j)
		t.done[j.ws] += min(j.cost, (t.now-j.begun).Seconds()*t.rate)
		j.tell(func(r *simRouter) {
			r.r.Done(j.item, api.Outcome{Result: api.ResultFailed}, r.now)
			if r.onEnd != nil {
				r.onEnd(j)
			}
		})
	}
}
