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

// The simulation runs instances, one owner and targets in simulated time. Every
// message is encoded and decoded. The targets check that their capacity is never
// exceeded.

const (
	ms            = time.Millisecond
	simReportLag  = 2 * time.Second // largest lag of a load report
	simLeaseTime  = 2 * time.Second
	poolName      = "matcher-llm"
	envelopeBytes = 56 // bytes of a JSON-RPC notification around its parameters
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
	now       time.Duration
	rng       *rand.Rand
	events    events
	eventSeq  int
	instances []*simInstance
	targets   []*simTarget
	byName    map[string]*simTarget
	weights   map[string]float64

	owner          *Owner
	ownerName      string // instance that runs the owner, "" = none
	epoch          uint64
	networkFaults  bool // messages are lost, duplicated and delayed
	dataCentresOut map[string]bool
	leaving        map[string]bool
	grantedCost    map[string]float64 // true cost of started work by workspace
	servedCost     map[string]float64 // true cost of the work done by workspace
	completions    map[string]int
	onStart        func(*simJob)
	onEnd          func(*simJob)
	sentBytes      map[string]int // by sender
	violations     []string
}

type simInstance struct {
	*sim
	queues         *EntryQueues
	name           string
	dataCentre     string
	incarnation    uint64
	alive          bool
	crashedAt      time.Duration
	flushScheduled bool
}

type simJob struct {
	instance    *simInstance
	incarnation uint64
	request     *LocalRequest
	workspace   string
	cost        float64
	queuedAt    time.Duration
	startedAt   time.Duration
	boot        uint64
	startedCold bool // the target was cold at the start
}

// simTarget completes rate cost units per second in each slot.
type simTarget struct {
	*sim
	name, dataCentre           string
	warmCapacity, coldCapacity int
	rate                       float64
	isCold                     bool
	coldSince                  time.Duration
	coldDuration               time.Duration
	boot                       uint64
	jobs                       map[*simJob]bool
	lastStartAt                time.Duration
	peakCold                   int
	peak                       int
	reports                    []limits.Report // one per 100 ms, the newest last
}

func newSim(seed uint64, instances int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*simTarget{}, weights: map[string]float64{},
		dataCentresOut: map[string]bool{}, leaving: map[string]bool{}, sentBytes: map[string]int{}, grantedCost: map[string]float64{}, servedCost: map[string]float64{}, completions: map[string]int{}}
	for i := range instances {
		r := &simInstance{sim: s, name: fmt.Sprintf("r%d", i), dataCentre: fmt.Sprintf("dc%d", i%2), alive: true, incarnation: uint64(i + 500001)}
		r.queues = NewEntryQueues(poolName, r.incarnation)
		s.instances = append(s.instances, r)
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
		t := &simTarget{sim: s, name: fmt.Sprintf("matcher-llm-%d", i), dataCentre: fmt.Sprintf("dc%d", i%2), warmCapacity: warm, coldCapacity: cold,
			rate: rate, boot: 1, isCold: true, coldDuration: time.Second, jobs: map[*simJob]bool{}}
		s.targets = append(s.targets, t)
		s.byName[t.name] = t
		s.every(100*ms, t.sample)
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.eventSeq++
	heap.Push(&s.events, event{s.now + d, s.eventSeq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) violation(format string, args ...any) {
	if len(s.violations) < 5 {
		s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
	}
}

// setOwner moves ownership of the pool to an instance, or to none if the name is
// empty.
func (s *sim) setOwner(at string) {
	s.owner, s.ownerName = nil, at
	if at == "" {
		return
	}
	s.epoch++
	dataCentres := map[string]string{}
	for _, r := range s.instances {
		dataCentres[r.name] = r.dataCentre
	}
	s.owner = NewOwner(poolName, s.epoch, dataCentres, s.now)
	s.configure()
	for _, r := range s.instances {
		if r.alive {
			r.queues.SetOwner(at, s.epoch)
		}
	}
	s.after(2*ms, s.poll)
}

func (s *sim) configure() {
	var cs []limits.Config
	for _, t := range s.targets {
		cs = append(cs, limits.Config{Name: t.name, DataCentre: t.dataCentre, WarmCapacity: t.warmCapacity, ColdCapacity: t.coldCapacity,
			WarmthTTL: 10 * time.Second, ReportLag: simReportLag, RequestLimit: 10 * time.Minute})
	}
	s.owner.SetWeights(s.weights)
	s.owner.Targets().Configure(cs, s.now)
	s.owner.Targets().SetOut(s.dataCentresOut, s.now)
	s.owner.Targets().SetLeaving(s.leaving, s.now)
}

func (s *sim) mayHold(name string) bool {
	for _, r := range s.instances {
		if r.name == name {
			return r.alive || s.now-r.crashedAt < simLeaseTime
		}
	}
	return false
}

func (s *sim) tickOwner() {
	if s.owner == nil {
		return
	}
	s.owner.Tick(s.now, s.mayHold)
	s.owner.Changes()
	if s.now%time.Second == 0 {
		m := &ServiceTableMsg{}
		sent := s.owner.ServiceTable(m, false)
		for _, r := range s.instances {
			if !sent {
				break
			}
			s.deliver(s.ownerName, r.name, m, func(b []byte) {
				var x ServiceTableMsg
				s.check(x.UnmarshalJSON(b))
				r.queues.OnServiceTable(&x)
			})
		}
	}
	s.grant()
}

func (s *sim) check(err error) {
	if err != nil {
		s.violation("%v", err)
	}
}

func (s *sim) grant() {
	if s.owner == nil {
		return
	}
	s.owner.Schedule(s.now)
	s.owner.Flush(func(to string, m *GrantMsg) bool {
		for _, r := range s.instances {
			if r.name == to {
				from := s.ownerName
				s.deliver(from, to, m, func(b []byte) { r.onGrant(from, b) })
			}
		}
		return true
	})
}

// deliver sends one message, which may be lost, duplicated or delayed.
func (s *sim) deliver(from, to string, m json.Marshaler, receive func(b []byte)) {
	b, err := m.MarshalJSON()
	s.check(err)
	delay := ms
	if from == to {
		delay = 0
	} else {
		s.sentBytes[from] += len(b) + envelopeBytes
	}
	if s.networkFaults && from != to {
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

func (s *sim) poll() { s.pollTargets(func(*limits.Target) bool { return true }) }

func (s *sim) pollOrphans() { s.pollTargets(func(t *limits.Target) bool { return t.Orphans() > 0 }) }

func (s *sim) pollTargets(want func(*limits.Target) bool) {
	for _, t := range s.targets {
		if s.owner == nil || !want(s.owner.Targets().Target(t.name)) {
			continue
		}
		lag := min(s.rng.IntN(int(simReportLag/(100*ms))), len(t.reports))
		if s.owner != nil && lag > 0 {
			s.owner.Targets().Report(t.name, t.reports[len(t.reports)-lag], s.now)
		}
	}
	s.grant()
}

func (r *simInstance) LeaseValid() bool { return r.alive }

func (r *simInstance) Address(_, target string) (string, bool) {
	return "a", !r.dataCentresOut[r.byName[target].dataCentre]
}

func (r *simInstance) tick() {
	if r.alive {
		r.queues.Tick(r.now)
		r.flush()
	}
}

// flush sends at most once a millisecond.
func (r *simInstance) flush() {
	if r.flushScheduled || !r.alive {
		return
	}
	r.flushScheduled = true
	r.after(ms, func() { r.flushScheduled = false; r.sendDue() })
	r.sendDue()
}

func (r *simInstance) sendDue() {
	if !r.alive {
		return
	}
	to, epoch := r.queues.Owner()
	demand, report := r.queues.Flush(r.now)
	if report != nil {
		r.deliver(r.name, to, report, func(b []byte) {
			var m ReportMsg
			r.check(m.UnmarshalJSON(b))
			if r.ownerName == to && r.epoch >= epoch {
				r.owner.Report(r.name, &m, r.now)
				r.grant()
			}
		})
	}
	if demand != nil {
		r.deliver(r.name, to, demand, func(b []byte) {
			var m DemandMsg
			r.check(m.UnmarshalJSON(b))
			if r.ownerName == to && r.epoch >= epoch {
				r.owner.Demand(r.name, &m, r.now)
				r.grant()
			}
		})
	}
}

func (r *simInstance) onGrant(from string, b []byte) {
	if !r.alive {
		return
	}
	var m GrantMsg
	r.check(m.UnmarshalJSON(b))
	for _, g := range r.queues.OnGrant(from, &m, r.now, r) {
		j := g.Request.Data.(*simJob)
		t := r.byName[g.Target]
		r.grantedCost[j.workspace] += j.cost
		if r.onStart != nil {
			r.onStart(j)
		}
		r.after(ms, func() { t.start(j) })
	}
	r.flush()
}

// enqueue adds a request of the given true cost. It returns nil if the queue is full.
func (r *simInstance) enqueue(ws string, class api.CostClass, cost, hint float64) *simJob {
	j := &simJob{instance: r, incarnation: r.incarnation, workspace: ws, cost: cost, queuedAt: r.now}
	req, _ := r.queues.Enqueue(api.SlotRequest{Workspace: ws, Pool: poolName, Class: class, CostHint: hint}, 256, r.now)
	if req == nil {
		return nil
	}
	req.Data, j.request = j, req
	r.flush()
	return j
}

func (r *simInstance) crash() { r.alive, r.crashedAt = false, r.now }

// restart starts a new process of the instance, with empty memory.
func (r *simInstance) restart() {
	r.incarnation += 100
	r.queues, r.alive = NewEntryQueues(poolName, r.incarnation), true
	if r.ownerName != "" {
		r.queues.SetOwner(r.ownerName, r.epoch)
	}
}

// notifyInstance calls f on the instance, unless the process that started the job
// has crashed.
func (j *simJob) notifyInstance(f func(r *simInstance)) {
	r := j.instance
	r.after(ms, func() {
		if r.alive && r.incarnation == j.incarnation {
			f(r)
			r.flush()
		}
	})
}

// cancel ends the job as if its caller had disconnected.
func (j *simJob) cancel() {
	r := j.instance
	if !r.alive || r.incarnation != j.incarnation {
		return
	}
	if t := r.byName[j.request.target]; t != nil && t.jobs[j] {
		delete(t.jobs, j)
		r.queues.Done(j.request, api.GrantOutcome{Result: api.ResultCancelled}, r.now)
	} else if j.request.Waiting() {
		r.queues.Cancel(j.request, r.now)
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
	if t.isCold && t.now-t.coldSince >= t.coldDuration {
		t.isCold = false
	}
	t.reports = append(t.reports, limits.Report{Warmth: t.warmth(), Boot: t.boot, Running: len(t.jobs)})
	if len(t.reports) > 30 {
		t.reports = t.reports[1:]
	}
}

func (t *simTarget) start(j *simJob) {
	j.startedAt, j.boot, j.startedCold = t.now, t.boot, t.isCold
	t.jobs[j] = true
	t.lastStartAt = t.now
	t.checkCapacity()
	w, boot := t.warmth(), t.boot
	j.notifyInstance(func(r *simInstance) { r.queues.Confirm(j.request, w, boot, r.now) })
	t.after(time.Duration(j.cost/t.rate*float64(time.Second)), func() { t.end(j, w) })
}

// checkCapacity records a violation if the target runs more than its capacity.
func (t *simTarget) checkCapacity() {
	t.peak = max(t.peak, len(t.jobs))
	if len(t.jobs) > t.warmCapacity {
		t.violation("%s runs %d, warm capacity %d", t.name, len(t.jobs), t.warmCapacity)
	}
	if !t.isCold {
		return
	}
	startedSinceCold := 0
	for j := range t.jobs {
		if j.startedCold && j.startedAt >= t.coldSince {
			startedSinceCold++
		}
	}
	t.peakCold = max(t.peakCold, startedSinceCold)
	if startedSinceCold > t.coldCapacity {
		t.violation("cold %s runs %d, cold capacity %d", t.name, startedSinceCold, t.coldCapacity)
	}
}

func (t *simTarget) end(j *simJob, w api.Warmth) {
	if !t.jobs[j] {
		return
	}
	delete(t.jobs, j)
	t.completions[j.workspace]++
	t.servedCost[j.workspace] += j.cost
	boot := j.boot
	j.notifyInstance(func(r *simInstance) {
		r.queues.Done(j.request, api.GrantOutcome{Result: api.ResultOK, Cost: j.cost, Warmth: w, BootNumber: boot}, r.now)
		if r.onEnd != nil {
			r.onEnd(j)
		}
	})
}

// makeCold makes the target cold without warning. With restart, its running work
// fails and its boot number changes.
func (t *simTarget) makeCold(restart bool) {
	t.isCold, t.coldSince = true, t.now
	if !restart {
		return
	}
	t.boot++
	for j := range t.jobs {
		delete(t.jobs, j)
		t.servedCost[j.workspace] += min(j.cost, (t.now-j.startedAt).Seconds()*t.rate)
		j.notifyInstance(func(r *simInstance) {
			r.queues.Done(j.request, api.GrantOutcome{Result: api.ResultFailed}, r.now)
			if r.onEnd != nil {
				r.onEnd(j)
			}
		})
	}
}
