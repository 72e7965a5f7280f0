package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	tick        = 10 * time.Millisecond
	reportEvery = 100 * time.Millisecond
	numEntries  = 3
)

// size is a duration and a load.
type size struct {
	duration time.Duration
	rate     float64 // requests a second
}

func (s size) String() string { return fmt.Sprintf("%v at %v/s", s.duration, s.rate) }

var sizes = []size{
	{5 * time.Second, 100},
	{5 * time.Second, 1600},
	{12 * time.Second, 100},
	{12 * time.Second, 1600},
	{60 * time.Second, 100},
	{60 * time.Second, 1600},
}

// load describes a version and its surroundings. Zero values are those of a good version.
type load struct {
	bad          bool
	newFail      float64       // share of failed responses of the new version, from badFrom on
	newSlow      float64       // factor on its times, from badFrom on
	badFrom      float64       // as a part of the duration
	afterMove    bool          // bad from the move on
	underLoad    bool          // bad only on targets that get 6 requests a second or more
	onRoute      string        // bad on this route only
	oldFail      float64       // share of failed responses of the old version
	incidentFrom float64       // both versions fail in 35 of 100 from this part of the duration on
	slowMachines bool          // all new targets are slower by speedSpread
	faulty       float64       // part of targets, old and new, that fail 4 in 10
	faultyNew    int           // number of new targets that fail 4 in 10
	crashEvery   time.Duration // a canary target crashes
	leaveEvery   time.Duration // a canary target leaves
	numNew       int           // targets of the new version; 0: as many as old ones
	coldFor      time.Duration // time for which a new target takes few requests
	appearAfter  time.Duration
	ownerLost    []time.Duration // times at which the owner is replaced
	account      string          // "stored", "lost" or "late": an account under way when the owner is lost
	loadStep     float64         // factor on the load from the move on
}

type target struct {
	id      string
	speed   float64
	faulty  bool
	listed  time.Duration // first listed
	recent  float64       // grants, with a time constant of 1 s
	recentT time.Duration
	gone    bool
}

// finish is an event of an attempt: its first event or its end.
type finish struct {
	entry, target int // target -1: an old one
	route         int
	failed, ended bool
	bad           bool
	pace          float64
}

type world struct {
	load
	size
	rng     *rand.Rand
	ctl     *Controller
	now     time.Duration
	targets []*target
	usable  []int
	due     [][]finish // ring by tick
	entries [numEntries]struct {
		outcomes map[outcomeKey]*Outcomes
		running  int
	}
	pending   *Account
	pendingAt time.Duration
	stored    Account
	ownerBack time.Duration
	movedAt   time.Duration

	arrived, granted, badResponses int
	fiftieth, lastNew              time.Duration
	verdict                        *Verdict
	endedAt                        time.Duration
	boundBroken                    bool // until the deadline
	brokenBeforeEnd                bool
}

var (
	modelRoutes = []string{"chat", "complete", "embed"}
	routeShare  = []float64{0.5, 0.85, 1}
)

func newWorld(s size, l load, seed uint64) *world {
	w := &world{load: l, size: s, rng: rand.New(rand.NewPCG(seed, 1)), due: make([][]finish, 3000)}
	numOld := max(4, int(s.rate/11.4))
	if w.numNew == 0 {
		w.numNew = numOld
	}
	for range w.numNew {
		w.addTarget()
	}
	for i := range w.faultyNew {
		w.targets[i].faulty = true
	}
	for i := range w.entries {
		w.entries[i].outcomes = map[outcomeKey]*Outcomes{}
	}
	w.ctl = New(Config{Duration: s.duration, ExposureShare: 0.1, ExposureSlack: 50}, Account{}, 0, 0)
	return w
}

func (w *world) addTarget() {
	t := &target{id: fmt.Sprintf("n%d", len(w.targets)), speed: w.speed(), listed: w.now}
	t.faulty = w.rng.Float64() < w.faulty
	if w.slowMachines {
		t.speed = speedSpread
	}
	w.targets = append(w.targets, t)
}

// speed draws the speed of a machine.
func (w *world) speed() float64 { return math.Pow(speedSpread, w.rng.Float64()) }

func (w *world) at(part float64) bool { return w.now >= time.Duration(part*float64(w.duration)) }

// run simulates the rollout until its end, or until the deadline if that is later or the version is bad.
func (w *world) run() {
	for w.now = tick; w.now < w.duration+time.Second; w.now += tick {
		w.finishAttempts()
		w.changeTargets()
		w.owner()
		if w.now <= w.duration {
			w.arrive()
		}
		w.report()
		if w.verdict == nil && w.now >= w.ownerBack {
			if v, ok := w.ctl.Verdict(w.now); ok {
				w.verdict, w.endedAt = &v, w.now
				if !v.Succeeded || w.now >= w.duration {
					break
				}
			}
		}
	}
}

func (w *world) arrive() {
	rate := w.rate
	if w.loadStep > 0 && w.movedAt > 0 {
		rate *= w.loadStep
	}
	mean := rate * tick.Seconds()
	for t := w.rng.ExpFloat64(); t < mean; t += w.rng.ExpFloat64() {
		w.arrived++
		route := 0
		for u := w.rng.Float64(); u > routeShare[route]; {
			route++
		}
		entry := w.rng.IntN(numEntries)
		if w.verdict != nil { // succeeded: the old targets are stopped
			w.granted++
			w.lastNew = w.now
			w.start(entry, route, w.rng.IntN(len(w.targets)))
			continue
		}
		if w.now >= w.ownerBack && w.ctl.Choose(modelRoutes[route], w.now) {
			if t := w.pick(); t >= 0 {
				w.ctl.RecordGrant(w.now)
				w.granted++
				w.lastNew = w.now
				w.start(entry, route, t)
				continue
			}
		}
		w.start(entry, route, -1)
	}
	if float64(w.granted) > 0.1*float64(w.arrived)+50 {
		w.boundBroken = true
		w.brokenBeforeEnd = w.brokenBeforeEnd || w.verdict == nil
	}
}

// pick returns a new target that has room, -1 if there is none.
func (w *world) pick() int {
	for range 3 {
		if len(w.usable) == 0 {
			return -1
		}
		i := w.usable[w.rng.IntN(len(w.usable))]
		t := w.targets[i]
		t.recent *= math.Exp(-(w.now - t.recentT).Seconds())
		t.recentT = w.now
		if cold := w.now-t.listed < w.appearAfter+w.coldFor; t.gone || cold && t.recent > 4 || t.recent > 40 {
			continue
		}
		t.recent++
		return i
	}
	return -1
}

func (w *world) start(entry, route, index int) {
	fail, slow, bad := w.oldFail, 1.0, false
	speed, faulty := 1.0, false
	if w.incidentFrom > 0 && w.at(w.incidentFrom) {
		fail = 0.35
	}
	if index < 0 {
		speed, faulty = w.speed(), w.rng.Float64() < w.faulty
		w.entries[entry].running++
	} else {
		t := w.targets[index]
		speed, faulty = t.speed, t.faulty
		if w.bad && w.at(w.badFrom) && (!w.afterMove || w.movedAt > 0) && (w.onRoute == "" || w.onRoute == modelRoutes[route]) &&
			(!w.underLoad || t.recent >= 6) {
			fail = max(fail, w.newFail)
			if w.newSlow > 0 {
				slow, bad = w.newSlow, true
			}
		}
	}
	if faulty {
		fail = max(fail, 0.4)
	}
	f := finish{entry: entry, target: index, route: route, ended: true, bad: bad}
	if w.rng.Float64() < fail {
		f.failed = true
		w.after(time.Duration(w.rng.Float64()*0.3*float64(time.Second)), f)
		return
	}
	noise := func() float64 { return speed * slow * math.Exp(0.3*w.rng.NormFloat64()) / math.Sqrt(speedSpread) }
	if route == 2 {
		f.pace = noise()
		w.after(time.Duration(f.pace*0.2*float64(time.Second)), f)
		return
	}
	first := f
	first.ended, first.bad, first.pace = false, false, noise()
	w.after(time.Duration(first.pace*0.3*float64(time.Second)), first)
	f.pace = noise()
	w.after(time.Duration((0.3*first.pace+1.5*f.pace)*float64(time.Second)), f)
}

func (w *world) after(d time.Duration, f finish) {
	i := int((w.now+d)/tick+1) % len(w.due)
	w.due[i] = append(w.due[i], f)
}

func (w *world) finishAttempts() {
	i := int(w.now/tick) % len(w.due)
	for _, f := range w.due[i] {
		key := outcomeKey{route: modelRoutes[f.route]}
		if f.target >= 0 {
			key.target = w.targets[f.target].id
			if w.targets[f.target].gone && !f.failed {
				continue // broke off with the crash
			}
		} else if f.ended {
			w.entries[f.entry].running--
		}
		o := w.entries[f.entry].outcomes[key]
		if o == nil {
			o = &Outcomes{Route: key.route, Target: key.target}
			w.entries[f.entry].outcomes[key] = o
		}
		switch {
		case f.failed:
			o.Failed++
		case f.ended:
			o.Served++
		}
		if !f.failed {
			o.Pace[PaceBucket(f.pace)]++
		}
		if f.target >= 0 && w.load.bad && (f.failed || f.bad) {
			if w.badResponses++; w.badResponses == 50 {
				w.fiftieth = w.now
			}
		}
	}
	w.due[i] = w.due[i][:0]
}

// changeTargets updates the list every 100 ms, and lets targets crash or leave.
func (w *world) changeTargets() {
	if w.now%reportEvery != 0 {
		return
	}
	for _, every := range []time.Duration{w.crashEvery, w.leaveEvery} {
		if every > 0 && w.now%every == 0 && len(w.usable) > 0 {
			i := w.usable[w.rng.IntN(len(w.usable))]
			w.targets[i].gone = true
			w.addTarget()
			if every == w.crashEvery {
				for e := range w.entries {
					key := outcomeKey{modelRoutes[0], w.targets[i].id}
					if o := w.entries[e].outcomes[key]; o != nil {
						o.Crashes++
					}
				}
			}
		}
	}
	var list []string
	if w.now >= w.appearAfter {
		for _, t := range w.targets {
			if !t.gone {
				list = append(list, t.id)
			}
		}
	}
	w.ctl.SetTargets(Targets{New: list, Old: max(4, int(w.rate/11.4)), OldListed: true}, w.now)
	w.usable = w.usable[:0]
	for i, t := range w.targets {
		if !t.gone && w.ctl.IsCanary(t.id) {
			w.usable = append(w.usable, i)
		}
	}
	if w.ctl.Phase() == PhaseMoved && w.movedAt == 0 {
		w.movedAt = w.now
	}
}

// owner stores accounts, and replaces the owner.
func (w *world) owner() {
	if len(w.ownerLost) > 0 && w.now >= w.ownerLost[0] {
		w.ownerLost = w.ownerLost[1:]
		if w.pending != nil && w.account != "lost" {
			w.stored = *w.pending
		}
		w.pending = nil
		w.ownerBack = w.now + time.Duration(w.rng.IntN(100))*tick
		w.ctl = New(w.ctl.config, w.stored, w.ownerBack, w.ownerBack)
	}
	if w.now < w.ownerBack {
		return
	}
	if w.pending != nil && w.now >= w.pendingAt {
		w.stored = *w.pending
		if w.account == "late" && w.rng.IntN(3) == 0 {
			w.ctl.ReservationFailed(w.now) // stored, but the answer was lost
		} else {
			w.ctl.Reserved(*w.pending, w.now)
		}
		w.pending = nil
	}
	if w.pending == nil {
		if a, ok := w.ctl.Reservation(w.now); ok {
			w.pending, w.pendingAt = &a, w.now+time.Duration(1+w.rng.IntN(3))*tick
		}
	}
}

// report sends the evidence of one entry instance.
func (w *world) report() {
	if w.now%reportEvery >= numEntries*tick || w.now < w.ownerBack {
		return
	}
	i := int(w.now % reportEvery / tick)
	r := Evidence{Age: max(0, w.now-time.Duration(50+10*i)*time.Millisecond), RunningOld: w.entries[i].running}
	for _, o := range w.entries[i].outcomes {
		r.Outcomes = append(r.Outcomes, *o)
	}
	w.ctl.SetEvidence(fmt.Sprint("entry", i), "p1", r, w.now)
}
