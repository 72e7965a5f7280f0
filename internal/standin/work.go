package standin

import (
	"sync"
	"time"
)

// Limits on the recorded data of one stand-in.
const (
	maxStarts   = 1 << 14 // start times in Stats.StartsMs
	maxBreaches = 64      // entries in Stats.BreachList
	maxRunNames = 1 << 20 // names per RunTable
)

// Breach describes a request that arrived beyond the present capacity.
type Breach struct {
	UnixMs   int64  `json:"unix_ms"`
	State    string `json:"state"`
	Running  int    `json:"running"` // including the request in excess
	Capacity int    `json:"capacity"`
	Request  string `json:"request,omitempty"` // request tag
}

// work is one admitted request.
type work struct {
	boot         uint64
	coldPeriod   uint64        // admission.coldPeriod at the start
	cancel       chan struct{} // closed when the work ends before its completion
	cancelClosed bool
	finished     bool
}

// admission limits the concurrent work of one target, tracks whether the target is
// warm, and counts work and breaches.
type admission struct {
	mu   sync.Mutex
	spec Spec

	boot            uint64
	warm            bool
	warmOrderEnd    time.Time // when the "warm" order in progress completes; zero = none
	coldCompletions int       // completed requests that started since the target became cold
	coldPeriod      uint64    // number of times the target became cold
	downUntil       time.Time
	running         map[*work]struct{}
	// coldRunning counts the running work that started since the target became
	// cold. Earlier work does not count against the cold capacity, because its
	// sender could not know that the target would become cold.
	coldRunning int

	accruedUntil time.Time // end of the time counted in BusySlotMs and SlotMs
	counters     Counters
	startsMs     []int64 // ring buffer of wall times in Unix ms
	oldestStart  int     // index of the oldest one once the buffer is full
	breaches     []Breach
}

// Counters are the totals of one target since the start of the process.
type Counters struct {
	Starts    uint64 `json:"starts"` // admitted requests, including resumed streams
	Completed uint64 `json:"completed"`
	Cut       uint64 `json:"cut"`       // ended by a restart
	Cancelled uint64 `json:"cancelled"` // ended by a cancel request
	Abandoned uint64 `json:"abandoned"` // the caller disconnected or resumed the stream
	Resumed   uint64 `json:"resumed"`   // streams resumed
	Breaches  uint64 `json:"breaches"`
	Restarts  uint64 `json:"restarts"`
	Tokens    uint64 `json:"tokens"`    // generated
	PeakWarm  int    `json:"peak_warm"` // most concurrent requests while warm
	PeakCold  int    `json:"peak_cold"` // most that count against the cold capacity
	Orders    uint64 `json:"orders"`
	// StaleRefused and StaleAccepted count orders with an old fencing token.
	StaleRefused  uint64 `json:"stale_refused"`
	StaleAccepted uint64 `json:"stale_accepted"`
	// LoadFailed counts "load" orders whose download from the weight store failed.
	LoadFailed uint64 `json:"load_failed"`
	// BusySlotMs is the integral over time, in ms, of the number of running
	// requests, and SlotMs that of the capacity. Their ratio is the utilisation.
	BusySlotMs float64 `json:"busy_slot_ms"`
	SlotMs     float64 `json:"slot_ms"`
}

func newAdmission(s Spec) *admission {
	return &admission{spec: s, boot: 1, warm: s.StartWarm, running: map[*work]struct{}{}, accruedUntil: time.Now()}
}

// accrueSlotTime adds the time up to now to BusySlotMs and SlotMs. It must be called
// before each change of the running work or the capacity.
func (a *admission) accrueSlotTime(now time.Time) {
	ms := float64(now.Sub(a.accruedUntil)) / float64(time.Millisecond)
	if ms <= 0 {
		return
	}
	_, capacity := a.usage()
	a.counters.BusySlotMs += ms * float64(len(a.running))
	a.counters.SlotMs += ms * float64(capacity)
	a.accruedUntil = now
}

// admit starts work. It returns nil while the target is down. It returns breach true
// if the work exceeds the capacity; the caller must then restart the target. The start
// time of a resumed stream is not recorded, because the stream continues earlier work
// and may do so while its data centre is out.
func (a *admission) admit(now time.Time, tag string, resumes bool) (w *work, breach bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.downUntil) {
		return nil, false
	}
	a.accrueSlotTime(now)
	a.finishWarmOrder(now)
	running, capacity := a.usage()
	if running+1 > capacity {
		a.recordBreach(Breach{now.UnixMilli(), a.state(), running + 1, capacity, tag})
		return nil, true
	}
	w = &work{boot: a.boot, coldPeriod: a.coldPeriod, cancel: make(chan struct{})}
	a.running[w] = struct{}{}
	if a.warm {
		a.counters.PeakWarm = max(a.counters.PeakWarm, running+1)
	} else {
		a.coldRunning++
		a.counters.PeakCold = max(a.counters.PeakCold, running+1)
	}
	a.counters.Starts++
	if !resumes {
		a.recordStart(now.UnixMilli())
	}
	return w, false
}

// usage returns the number of running requests that count against the present
// capacity, and that capacity.
func (a *admission) usage() (running, capacity int) {
	if a.warm {
		return len(a.running), a.spec.WarmCapacity
	}
	return a.coldRunning, a.spec.ColdCapacity
}

func (a *admission) recordBreach(b Breach) {
	a.counters.Breaches++
	if len(a.breaches) < maxBreaches {
		a.breaches = append(a.breaches, b)
	}
}

// recordStart adds a start time and overwrites the oldest one if the ring is full.
func (a *admission) recordStart(ms int64) {
	if len(a.startsMs) < maxStarts {
		a.startsMs = append(a.startsMs, ms)
		return
	}
	a.startsMs[a.oldestStart] = ms
	a.oldestStart = (a.oldestStart + 1) % maxStarts
}

// finishWarmOrder makes the target warm if a "warm" order has completed by now.
func (a *admission) finishWarmOrder(now time.Time) {
	if !a.warmOrderEnd.IsZero() && !now.Before(a.warmOrderEnd) {
		a.setWarm()
	}
}

func (a *admission) setWarm() {
	a.warm, a.warmOrderEnd, a.coldCompletions = true, time.Time{}, 0
}

// outcome is the way in which work ended.
type outcome int

const (
	outcomeCompleted outcome = iota
	outcomeCancelled
	outcomeAbandoned
	outcomeCut
)

// finish frees the slot of the work and counts its outcome. It must be called before
// the last byte of the response is sent, so that the slot is free once the caller has
// the whole response. Calls after the first have no effect.
func (a *admission) finish(w *work, result outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finishLocked(w, result)
}

func (a *admission) finishLocked(w *work, result outcome) {
	if w.finished {
		return
	}
	a.accrueSlotTime(time.Now())
	w.finished = true
	delete(a.running, w)
	if !a.warm && w.coldPeriod == a.coldPeriod {
		a.coldRunning--
	}
	switch result {
	case outcomeCompleted:
		a.counters.Completed++
		a.countColdCompletion(w)
	case outcomeCancelled:
		a.counters.Cancelled++
	case outcomeAbandoned:
		a.counters.Abandoned++
	case outcomeCut:
		a.counters.Cut++
	}
	if result != outcomeCompleted && !w.cancelClosed {
		w.cancelClosed = true
		close(w.cancel)
	}
}

// countColdCompletion makes the target warm after WarmAfter completions of work that
// started in the present cold period.
func (a *admission) countColdCompletion(w *work) {
	if a.warm || w.coldPeriod != a.coldPeriod {
		return
	}
	if a.coldCompletions++; a.coldCompletions >= a.spec.WarmAfter {
		a.setWarm()
	}
}

// setCold makes the target cold. Running work continues.
func (a *admission) setCold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setColdLocked()
}

func (a *admission) setColdLocked() {
	a.accrueSlotTime(time.Now())
	a.warm, a.warmOrderEnd, a.coldCompletions, a.coldRunning = false, time.Time{}, 0, 0
	a.coldPeriod++
}

// restart ends all work, increments the boot number, makes the target cold and keeps
// it down for RestartMs.
func (a *admission) restart(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.running {
		a.finishLocked(w, outcomeCut)
	}
	a.setColdLocked()
	a.boot++
	a.counters.Restarts++
	a.downUntil = now.Add(time.Duration(a.spec.RestartMs) * time.Millisecond)
}

// startWarmOrder makes the target warm after WarmMs, unless it is warm or a "warm" order
// is in progress.
func (a *admission) startWarmOrder(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.warm && a.warmOrderEnd.IsZero() {
		a.warmOrderEnd = now.Add(time.Duration(a.spec.WarmMs) * time.Millisecond)
	}
}

// isDown reports whether the target is restarting.
func (a *admission) isDown(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.downUntil)
}

func (a *admission) state() string {
	if a.warm {
		return "warm"
	}
	return "cold"
}

// LoadReport is the response to GET /load.
type LoadReport struct {
	State   string `json:"state"`
	Boot    uint64 `json:"boot"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`   // always 0: a target does not queue
	AsOfMs  int64  `json:"as_of_ms"` // Unix ms
}

// loadReport returns the state and the load at now.
func (a *admission) loadReport(now time.Time) LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accrueSlotTime(now)
	a.finishWarmOrder(now)
	return LoadReport{State: a.state(), Boot: a.boot, Running: len(a.running), AsOfMs: now.UnixMilli()}
}

// batchSize returns the number of running requests, each of which is one sequence of
// the batch.
func (a *admission) batchSize() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.running)
}
