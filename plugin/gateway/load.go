package gateway

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/overload"
)

// elsewhere is the advice to callers of an instance that stops or has no processor time.
// It is short, because the instance is not ready meanwhile and a new connection reaches
// another one.
const elsewhere = 50 * time.Millisecond

// loadGate shares the gate among the handlers of requests.
type loadGate struct {
	mu   sync.Mutex
	gate *overload.Gate
}

func newLoadGate() *loadGate { return &loadGate{gate: overload.New()} }

// allow returns the refusal of a request for which the instance has no processor
// time, or nil.
func (l *loadGate) allow(workspace string) *api.Refusal {
	l.mu.Lock()
	ok, rate, late := l.gate.Allow(workspace), l.gate.Rate(), l.gate.Late()
	l.mu.Unlock()
	if ok {
		return nil
	}
	r := refuse(fasthttp.StatusServiceUnavailable, codeBusy, "the instance has no processor time left for the workspace")
	r.RetryAfter = elsewhere
	r.Inputs = []any{"rate", int(rate), "late_ms", late.Milliseconds()}
	return r
}

// loadState is what the gate makes of the load: whether the rate is bounded, and
// whether new callers are better off at another instance.
type loadState struct{ bounded, shedding bool }

// tick ends a period and reports whether the state has changed.
func (l *loadGate) tick(took time.Duration) (now loadState, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.state()
	l.gate.Tick(took)
	return l.state(), l.state() != before
}

// state must be called with the lock held.
func (l *loadGate) state() loadState { return loadState{l.gate.Bounded(), l.gate.Shedding()} }

// shedding reports whether new callers are better off at another instance.
func (l *loadGate) shedding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Shedding()
}

// lateness returns the mean lateness of the ticks.
func (l *loadGate) lateness() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Late()
}

// watchLoad measures how late this duty runs, which is how long work waits for the
// processor. The runtime runs the goroutine of a timer before all others that are
// ready, so each tick goes once more to the end of their queue: with 2,000 connections
// the timer alone came 1 ms late while requests waited for 200 ms. The timer is set
// anew after each tick: the ticks of a ticker keep their distance where all of them
// come equally late.
func (g *Gateway) watchLoad(ctx context.Context) error {
	timer := time.NewTimer(overload.Period)
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		runtime.Gosched()
		now := time.Now()
		if state, changed := g.load.tick(now.Sub(last)); changed {
			logqueue.Notice(g.log, "processor overload", "step", "load", "bounded", state.bounded, "shedding", state.shedding,
				"late_ms", g.load.lateness().Milliseconds())
		}
		last = now
		timer.Reset(overload.Period)
	}
}

// means takes processor time and memory for a request, or returns why there is none.
func (g *Gateway) means(r *api.ForwardRequest) *api.Refusal {
	if refusal := g.load.allow(r.Workspace); refusal != nil {
		return refusal
	}
	return g.takeMemory(len(r.Body))
}

// takeMemory counts a request with a body of so many bytes. A body is kept until its
// answer has ended, because a further attempt sends it again.
func (g *Gateway) takeMemory(body int) *api.Refusal {
	if g.memory.Take(body + requestBytes) {
		return nil
	}
	r := refuse(fasthttp.StatusServiceUnavailable, codeMemoryFull, "the requests under way take all memory for requests")
	r.RetryAfter = comeBack
	return r
}
