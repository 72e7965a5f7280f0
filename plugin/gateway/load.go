package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/overload"
)

const (
	// retryAfterOtherInstance is the Retry-After of an instance that is stopping, or sheds few
	// requests. It is short, because that instance reports itself as not ready and a new
	// connection reaches another one.
	retryAfterOtherInstance = 50 * time.Millisecond
	// maxShedRetryAfter is the longest Retry-After of shed requests. Until then the load
	// balancer has moved the callers to another instance.
	maxShedRetryAfter = 4 * time.Second
	// retryAfterSpread is the fraction by which the Retry-After of shed requests may be shorter,
	// so that their callers do not return together.
	retryAfterSpread = 0.5
	// minPassShare is the lowest share of passing requests from which a Retry-After is derived.
	minPassShare = 1e-3
)

// shedRetryAfter returns the Retry-After of a shed request, given the share of requests that
// passed recently and a random number from [0, 1). It is the longer the less likely a retry
// passes: retries of most callers would use the processor time that serves others.
func shedRetryAfter(passShare, random float64) time.Duration {
	longest := min(float64(maxShedRetryAfter), float64(retryAfterOtherInstance)/max(passShare, minPassShare))
	return time.Duration(longest * (1 - retryAfterSpread*random))
}

// loadGate makes an overload.Gate safe for concurrent use.
type loadGate struct {
	mu       sync.Mutex
	gate     *overload.Gate
	lastTick time.Time
}

func newLoadGate() *loadGate { return &loadGate{gate: overload.New(), lastTick: time.Now()} }

// allow counts a request of a workspace. It returns a refusal if the instance has no
// processor time for it, or nil.
func (l *loadGate) allow(workspace string) *api.Refusal {
	l.mu.Lock()
	ok := l.gate.Allow(workspace, time.Since(l.lastTick))
	rate, delay, passShare := l.gate.Rate(), l.gate.MeanDelay(), l.gate.PassShare()
	l.mu.Unlock()
	if ok {
		return nil
	}
	r := newRefusal(fasthttp.StatusServiceUnavailable, codeBusy, "the instance has no processor time left for the workspace")
	r.RetryAfter = shedRetryAfter(passShare, rand.Float64())
	r.LogAttrs = []any{"rate", int(rate), "late_ms", delay.Milliseconds()}
	return r
}

// loadState is the state of the gate: rateLimited if the request rate is limited, and
// shedding if requests were shed recently.
type loadState struct{ rateLimited, shedding bool }

// tick ends a measuring period of the given length. It returns the state after it, and
// whether it differs from the state before.
func (l *loadGate) tick(elapsed time.Duration) (after loadState, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.state()
	l.gate.Tick(elapsed)
	l.lastTick = time.Now()
	return l.state(), l.state() != before
}

// state returns the state of the gate. l.mu must be held.
func (l *loadGate) state() loadState { return loadState{l.gate.RateLimited(), l.gate.Shedding()} }

// shedding reports whether requests were shed recently, so that new connections should
// go to other instances.
func (l *loadGate) shedding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Shedding()
}

// schedulingDelay returns the mean delay of the ticks, a measure of how long ready work
// waits for the processor.
func (l *loadGate) schedulingDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.MeanDelay()
}

// watchLoad feeds the gate with the time between ticks, from which it derives how long
// ready goroutines wait for the processor. The runtime runs a timer's goroutine ahead of
// the run queue, so each tick yields once to queue behind the other goroutines: with
// 2,000 connections the timer alone was 1 ms late while requests waited for 200 ms. The
// timer is reset after each tick, because the interval of a ticker does not grow if all
// of its ticks are delayed equally.
func (g *Gateway) watchLoad(ctx context.Context) error {
	timer := time.NewTimer(overload.Period)
	defer timer.Stop()
	last := time.Now()
	reported := last
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		runtime.Gosched()
		now := time.Now()
		if state, changed := g.load.tick(now.Sub(last)); changed {
			logqueue.Notice(g.log, "processor overload", "step", "load", "bounded", state.rateLimited, "shedding", state.shedding,
				"late_ms", g.load.schedulingDelay().Milliseconds())
		}
		if now.Sub(reported) >= loadReportInterval {
			g.reportLoad(now.Sub(reported))
			reported = now
		}
		last = now
		timer.Reset(overload.Period)
	}
}

// loadReportInterval is the shortest time between two reports of the load.
const loadReportInterval = time.Second

// reportLoad logs what the instance accepted and shed since the last report, if it shed
// requests. The lines of single refusals are limited in volume and do not show the totals.
func (g *Gateway) reportLoad(since time.Duration) {
	g.load.mu.Lock()
	totals, rate := g.load.gate.TakeTotals(), g.load.gate.Rate()
	g.load.mu.Unlock()
	accepted, shed := totals.Sum()
	if shed == 0 {
		return
	}
	open, busy := g.conns.Count()
	most := totals.MostShed()
	var gc debug.GCStats
	debug.ReadGCStats(&gc)
	logqueue.Notice(g.log, "requests shed", "step", "load", "since_ms", since.Milliseconds(), "accepted", accepted, "shed", shed,
		"workspace", most, "workspace_accepted", totals.Accepted[most], "workspace_shed", totals.Shed[most],
		"rate", min(rate, math.MaxInt32), "ticks", totals.Ticks, "max_late_ms", totals.MaxDelay.Milliseconds(),
		"connections", open, "busy_connections", busy, "goroutines", runtime.NumGoroutine(), "collections", gc.NumGC)
}

// reserve reserves processor time, and memory for a request without its body. It returns a
// refusal if either is exhausted, or nil. The memory is held until the response has ended.
func (g *Gateway) reserve(r *api.ForwardRequest) *api.Refusal {
	if refusal := g.load.allow(r.Workspace); refusal != nil {
		return refusal
	}
	if !g.memory.Reserve(requestOverheadBytes) {
		return memoryRefusal()
	}
	return nil
}

// memoryRefusal returns the refusal of a request for which no memory is left.
func memoryRefusal() *api.Refusal {
	r := newRefusal(fasthttp.StatusServiceUnavailable, codeMemoryFull, "the requests under way take all memory for requests")
	r.RetryAfter = retryAfterDefault
	return r
}
