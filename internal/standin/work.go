package standin

import (
	"sync"
	"time"
)

// Bounds on what a stand-in remembers.
const (
	maxStarts   = 1 << 14 // wall times of starts
	maxBreaches = 64      // details of breaches
	maxRuns     = 1 << 20 // names per run table
)

// Breach describes work that arrived beyond the present capacity.
type Breach struct {
	UnixMs   int64  `json:"unix_ms"`
	State    string `json:"state"`
	Running  int    `json:"running"` // including the work that was too much
	Capacity int    `json:"capacity"`
	Request  string `json:"request,omitempty"`
}

// work is one admitted request.
type work struct {
	boot   uint64
	spell  uint64        // which cold spell or warm time it started in
	cancel chan struct{} // closed when the work is cancelled or cut
	closed bool
	done   bool
}

// gate admits work to one target, tracks its warmth and counts breaches.
type gate struct {
	mu   sync.Mutex
	spec Spec

	boot     uint64
	warm     bool
	warmAt   time.Time // end of a warm order under way; zero = none
	progress int       // completions since the target turned cold
	spell    uint64
	downTill time.Time
	running  map[*work]struct{}
	// coldRunning counts running work that started since the target turned
	// cold. Work from before that moment does not count against the cold
	// capacity, because nobody could have known.
	coldRunning int

	accrued  time.Time // up to when the slot times are counted
	count    Counters
	starts   []int64 // ring of wall times
	startAt  int
	breaches []Breach
}

// Counters are the totals of one target since the process started.
type Counters struct {
	Starts    uint64 `json:"starts"`
	Completed uint64 `json:"completed"`
	Cut       uint64 `json:"cut"`
	Cancelled uint64 `json:"cancelled"`
	Abandoned uint64 `json:"abandoned"` // the connection was lost
	Resumed   uint64 `json:"resumed"`
	Breaches  uint64 `json:"breaches"`
	Restarts  uint64 `json:"restarts"`
	Tokens    uint64 `json:"tokens"`
	PeakWarm  int    `json:"peak_warm"`
	PeakCold  int    `json:"peak_cold"`
	Orders    uint64 `json:"orders"`
	// StaleRefused and StaleAccepted count orders with an old fencing token.
	StaleRefused  uint64 `json:"stale_refused"`
	StaleAccepted uint64 `json:"stale_accepted"`
	// LoadFailed counts load orders that the weight store turned away.
	LoadFailed uint64 `json:"load_failed"`
	// BusySlotMs sums running work over time, SlotMs the present capacity;
	// their ratio is the utilisation.
	BusySlotMs float64 `json:"busy_slot_ms"`
	SlotMs     float64 `json:"slot_ms"`
}

func newGate(s Spec) *gate {
	return &gate{spec: s, boot: 1, warm: s.StartWarm, running: map[*work]struct{}{}, accrued: time.Now()}
}

// accrue counts the slot times up to now. It precedes each change.
func (g *gate) accrue(now time.Time) {
	ms := float64(now.Sub(g.accrued)) / float64(time.Millisecond)
	if ms <= 0 {
		return
	}
	_, capacity := g.load()
	g.count.BusySlotMs += ms * float64(len(g.running))
	g.count.SlotMs += ms * float64(capacity)
	g.accrued = now
}

// admit starts work. It returns nil while the target is down, and breach true
// if the work was too much, after which the caller must restart the target. The time
// of work that resumes a stream is not recorded: it is the work that began before, and
// may go on while its data centre is out.
func (g *gate) admit(now time.Time, request string, resumes bool) (w *work, breach bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.downTill) {
		return nil, false
	}
	g.accrue(now)
	g.settleWarm(now)
	load, capacity := g.load()
	if load+1 > capacity {
		g.addBreach(Breach{now.UnixMilli(), g.state(), load + 1, capacity, request})
		return nil, true
	}
	w = &work{boot: g.boot, spell: g.spell, cancel: make(chan struct{})}
	g.running[w] = struct{}{}
	if g.warm {
		g.count.PeakWarm = max(g.count.PeakWarm, load+1)
	} else {
		g.coldRunning++
		g.count.PeakCold = max(g.count.PeakCold, load+1)
	}
	g.count.Starts++
	if !resumes {
		g.addStart(now.UnixMilli())
	}
	return w, false
}

func (g *gate) load() (running, capacity int) {
	if g.warm {
		return len(g.running), g.spec.WarmCapacity
	}
	return g.coldRunning, g.spec.ColdCapacity
}

func (g *gate) addBreach(b Breach) {
	g.count.Breaches++
	if len(g.breaches) < maxBreaches {
		g.breaches = append(g.breaches, b)
	}
}

func (g *gate) addStart(ms int64) {
	if len(g.starts) < maxStarts {
		g.starts = append(g.starts, ms)
		return
	}
	g.starts[g.startAt] = ms
	g.startAt = (g.startAt + 1) % maxStarts
}

// settleWarm ends a warm order whose time has come.
func (g *gate) settleWarm(now time.Time) {
	if !g.warmAt.IsZero() && !now.Before(g.warmAt) {
		g.turnWarm()
	}
}

func (g *gate) turnWarm() {
	g.warm, g.warmAt, g.progress = true, time.Time{}, 0
}

// ending tells how work ended.
type ending int

const (
	endComplete ending = iota
	endCancel
	endAbandon
	endCut
)

// finish frees the slot of the work. It must be called before the last byte
// of the response is sent, so that a caller who has the whole response finds
// the slot free. Calls after the first have no effect.
func (g *gate) finish(w *work, how ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishLocked(w, how)
}

func (g *gate) finishLocked(w *work, how ending) {
	if w.done {
		return
	}
	g.accrue(time.Now())
	w.done = true
	delete(g.running, w)
	if !g.warm && w.spell == g.spell {
		g.coldRunning--
	}
	switch how {
	case endComplete:
		g.count.Completed++
		g.addProgress(w)
	case endCancel:
		g.count.Cancelled++
	case endAbandon:
		g.count.Abandoned++
	case endCut:
		g.count.Cut++
	}
	if how != endComplete && !w.closed {
		w.closed = true
		close(w.cancel)
	}
}

func (g *gate) addProgress(w *work) {
	if g.warm || w.spell != g.spell {
		return
	}
	if g.progress++; g.progress >= g.spec.WarmAfter {
		g.turnWarm()
	}
}

// turnCold makes the target cold without ending its running work.
func (g *gate) turnCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turnColdLocked()
}

func (g *gate) turnColdLocked() {
	g.accrue(time.Now())
	g.warm, g.warmAt, g.progress, g.coldRunning = false, time.Time{}, 0, 0
	g.spell++
}

// restart ends all work, gives the target a new boot number and makes it cold.
func (g *gate) restart(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.running {
		g.finishLocked(w, endCut)
	}
	g.turnColdLocked()
	g.boot++
	g.count.Restarts++
	g.downTill = now.Add(time.Duration(g.spec.RestartMs) * time.Millisecond)
}

// orderWarm begins to warm the target.
func (g *gate) orderWarm(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.warm && g.warmAt.IsZero() {
		g.warmAt = now.Add(time.Duration(g.spec.WarmMs) * time.Millisecond)
	}
}

func (g *gate) down(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.downTill)
}

func (g *gate) state() string {
	if g.warm {
		return "warm"
	}
	return "cold"
}

// LoadReport is the answer of GET /load.
type LoadReport struct {
	State   string `json:"state"`
	Boot    uint64 `json:"boot"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	AsOfMs  int64  `json:"as_of_ms"`
}

// report describes this moment.
func (g *gate) report(now time.Time) LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accrue(now)
	g.settleWarm(now)
	return LoadReport{State: g.state(), Boot: g.boot, Running: len(g.running), AsOfMs: now.UnixMilli()}
}

// batch returns the number of running sequences.
func (g *gate) batch() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}
