package standin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// FaultName identifies a kind of fault.
type FaultName string

// Kinds of faults. A fault "for MS" ends after Fault.MS milliseconds, or on FaultClear if
// MS is 0.
const (
	// FaultCold makes a target cold without notice; running work continues.
	FaultCold FaultName = "cold"
	// FaultRestart restarts a target, which closes its connections and makes it cold.
	FaultRestart FaultName = "restart"
	// FaultCut closes the open connections without a restart of the target.
	FaultCut FaultName = "cut"
	// FaultSlow multiplies the duration of all work by Factor, for MS.
	FaultSlow FaultName = "slow"
	// FaultCrash restarts the target once After more events (at least one) were
	// sent. Each response of a plain service counts as one event, and the
	// target restarts in the middle of it.
	FaultCrash FaultName = "die"
	// FaultSilentBefore discards the requests that arrive, for MS. Their
	// connections stay open and silent, also after the fault has ended.
	FaultSilentBefore FaultName = "silent_before"
	// FaultSilentAfter starts the work of requests but sends no response, for MS.
	FaultSilentAfter FaultName = "silent_after"
	// FaultSilentOpen makes the open connections silent until they are closed.
	FaultSilentOpen FaultName = "silent_open"
	// FaultRefuse closes the open connections and, for MS (0 = 1000), the port.
	FaultRefuse FaultName = "refuse"
	// FaultReset closes each data connection when it next receives bytes, for MS.
	FaultReset FaultName = "reset"
	// FaultReportLag adds DelayMS to the age of load reports, for MS.
	FaultReportLag FaultName = "late_reports"
	// FaultClear ends all faults "for MS" except FaultRefuse, and a pending
	// FaultCrash.
	FaultClear FaultName = "clear"
)

// Fault is the body of POST /fault. The kind, in the field Fault, determines which of the
// other fields apply.
type Fault struct {
	Fault   FaultName `json:"fault"`
	MS      int       `json:"ms,omitempty"`       // duration in ms
	Factor  float64   `json:"factor,omitempty"`   // of FaultSlow; less than 1 means 1
	After   int       `json:"after,omitempty"`    // events before FaultCrash
	DelayMS int       `json:"delay_ms,omitempty"` // of FaultReportLag, in ms
}

const defaultRefuseTime = time.Second

// faults holds the active faults of one target.
type faults struct {
	mu          sync.Mutex
	until       map[FaultName]time.Time // zero time = until cleared
	factor      float64
	reportDelay time.Duration
	crashAfter  int
}

func (f *faults) isActive(name FaultName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isActiveLocked(name)
}

func (f *faults) isActiveLocked(name FaultName) bool {
	expiry, ok := f.until[name]
	return ok && (expiry.IsZero() || time.Now().Before(expiry))
}

func (f *faults) set(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = map[FaultName]time.Time{}
	}
	var expiry time.Time
	if x.MS > 0 {
		expiry = time.Now().Add(time.Duration(x.MS) * time.Millisecond)
	}
	f.until[x.Fault] = expiry
	switch x.Fault {
	case FaultSlow:
		f.factor = max(1, x.Factor)
	case FaultReportLag:
		f.reportDelay = time.Duration(x.DelayMS) * time.Millisecond
	case FaultCrash:
		f.crashAfter = max(1, x.After)
	}
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until, f.crashAfter = nil, 0
}

// slowFactor returns the factor by which the duration of work is multiplied.
func (f *faults) slowFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isActiveLocked(FaultSlow) {
		return f.factor
	}
	return 1
}

// extraReportLag returns the time that is added to the lag of load reports.
func (f *faults) extraReportLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isActiveLocked(FaultReportLag) {
		return f.reportDelay
	}
	return 0
}

// countEvents subtracts sent events from those left until the crash of FaultCrash. It
// returns true when the crash is due.
func (f *faults) countEvents(events int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashAfter == 0 {
		return false
	}
	f.crashAfter = max(0, f.crashAfter-events)
	return f.crashAfter == 0
}

func (t *target) serveFault(ctx *fasthttp.RequestCtx) {
	var x Fault
	if err := json.Unmarshal(ctx.PostBody(), &x); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := t.applyFault(x); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, x)
}

func (t *target) applyFault(x Fault) error {
	switch x.Fault {
	case FaultCold:
		t.admission.setCold()
	case FaultRestart:
		t.restart()
	case FaultCut:
		t.listener.cutConns()
	case FaultSilentOpen:
		t.listener.silenceConns()
	case FaultRefuse:
		outage := defaultRefuseTime
		if x.MS > 0 {
			outage = time.Duration(x.MS) * time.Millisecond
		}
		t.listener.refuse(outage)
	case FaultClear:
		t.faults.clear()
	case FaultSlow, FaultCrash, FaultSilentBefore, FaultSilentAfter, FaultReset, FaultReportLag:
		t.faults.set(x)
	default:
		return errors.Errorf("unknown fault %q", x.Fault)
	}
	return nil
}
