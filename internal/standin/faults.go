package standin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// FaultName names a scripted fault.
type FaultName string

// Faults. Those with a duration end after it, or on FaultClear if it is 0.
const (
	// FaultCold makes a target cold without warning; running work goes on.
	FaultCold FaultName = "cold"
	// FaultRestart restarts a target cold and cuts all its streams.
	FaultRestart FaultName = "restart"
	// FaultCut closes the open connections; the target itself goes on.
	FaultCut FaultName = "cut"
	// FaultSlow multiplies the time of all work by Factor for MS.
	FaultSlow FaultName = "slow"
	// FaultDie restarts the target once After more events were sent (at least
	// one), or in the middle of the next response of a plain service.
	FaultDie FaultName = "die"
	// FaultSilentBefore leaves requests unread for MS; the connections stay
	// silent for good.
	FaultSilentBefore FaultName = "silent_before"
	// FaultSilentAfter starts the work and then never responds, for MS.
	FaultSilentAfter FaultName = "silent_after"
	// FaultSilentOpen silences the connections open now for good.
	FaultSilentOpen FaultName = "silent_open"
	// FaultRefuse closes the port for MS (default 1000).
	FaultRefuse FaultName = "refuse"
	// FaultReset closes each connection at its first byte, for MS.
	FaultReset FaultName = "reset"
	// FaultLateReports adds DelayMS to the lag of load reports, for MS.
	FaultLateReports FaultName = "late_reports"
	// FaultClear ends all faults with a duration.
	FaultClear FaultName = "clear"
)

// Fault is the body of POST /fault.
type Fault struct {
	Fault   FaultName `json:"fault"`
	MS      int       `json:"ms,omitempty"`
	Factor  float64   `json:"factor,omitempty"`
	After   int       `json:"after,omitempty"`
	DelayMS int       `json:"delay_ms,omitempty"`
}

const defaultRefuse = time.Second

// faults holds the faults of one target that last.
type faults struct {
	mu       sync.Mutex
	until    map[FaultName]time.Time // zero time = until cleared
	factor   float64
	delay    time.Duration
	dieAfter int
}

func (f *faults) isOn(name FaultName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isOnLocked(name)
}

func (f *faults) isOnLocked(name FaultName) bool {
	end, ok := f.until[name]
	return ok && (end.IsZero() || time.Now().Before(end))
}

func (f *faults) set(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = map[FaultName]time.Time{}
	}
	var end time.Time
	if x.MS > 0 {
		end = time.Now().Add(time.Duration(x.MS) * time.Millisecond)
	}
	f.until[x.Fault] = end
	switch x.Fault {
	case FaultSlow:
		f.factor = max(1, x.Factor)
	case FaultLateReports:
		f.delay = time.Duration(x.DelayMS) * time.Millisecond
	case FaultDie:
		f.dieAfter = max(1, x.After)
	}
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until, f.dieAfter = nil, 0
}

// slowness returns the factor on all times of work.
func (f *faults) slowness() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isOnLocked(FaultSlow) {
		return f.factor
	}
	return 1
}

func (f *faults) reportDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isOnLocked(FaultLateReports) {
		return f.delay
	}
	return 0
}

// sent counts events towards a scripted death and reports when it is due.
func (f *faults) sent(events int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dieAfter == 0 {
		return false
	}
	f.dieAfter = max(0, f.dieAfter-events)
	return f.dieAfter == 0
}

func (t *target) serveFault(ctx *fasthttp.RequestCtx) {
	var x Fault
	if err := json.Unmarshal(ctx.PostBody(), &x); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := t.apply(x); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, x)
}

func (t *target) apply(x Fault) error {
	switch x.Fault {
	case FaultCold:
		t.gate.turnCold()
	case FaultRestart:
		t.restart()
	case FaultCut:
		t.door.cut()
	case FaultSilentOpen:
		t.door.silence()
	case FaultRefuse:
		pause := defaultRefuse
		if x.MS > 0 {
			pause = time.Duration(x.MS) * time.Millisecond
		}
		t.door.refuse(pause)
	case FaultClear:
		t.faults.clear()
	case FaultSlow, FaultDie, FaultSilentBefore, FaultSilentAfter, FaultReset, FaultLateReports:
		t.faults.set(x)
	default:
		return errors.Errorf("unknown fault %q", x.Fault)
	}
	return nil
}
