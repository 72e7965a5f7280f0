package standin

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxBody        = 64 << 20 // bytes of a request body
	sampleInterval = 50 * time.Millisecond
	closeLimit     = 500 * time.Millisecond
)

// Host runs stand-ins. Close ends them.
type Host struct {
	targets []*target
	done    chan struct{}
	wait    sync.WaitGroup
}

// target is one stand-in.
type target struct {
	spec   Spec
	gate   *gate
	door   *door
	server *fasthttp.Server
	runs   *runs
	faults faults
	lag    lagged[LoadReport]
	// handle answers all paths that are not common to every kind.
	handle func(*fasthttp.RequestCtx)
	// kind holds the parts of one kind; nil for others.
	engine   *engine
	platform *platform
	weights  *weights
}

// Start opens all stand-ins or none.
func Start(specs []Spec) (*Host, error) {
	h := &Host{done: make(chan struct{})}
	for _, s := range specs {
		t, err := newTarget(s)
		if err != nil {
			h.Close()
			return nil, err
		}
		h.targets = append(h.targets, t)
		h.wait.Add(1)
		go func() {
			defer h.wait.Done()
			_ = t.server.Serve(t.door)
		}()
	}
	h.wait.Add(1)
	go h.sample()
	return h, nil
}

// Addresses returns the addresses in the order of the specs.
func (h *Host) Addresses() []string {
	var out []string
	for _, t := range h.targets {
		out = append(out, t.door.address)
	}
	return out
}

// Close cuts all connections and ends all goroutines.
func (h *Host) Close() {
	close(h.done)
	for _, t := range h.targets {
		_ = t.door.Close()
		t.gate.restart(time.Now())
		t.door.each(func(c *faultConn) { _ = c.Close() })
		ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
		_ = t.server.ShutdownWithContext(ctx)
		cancel()
	}
	h.wait.Wait()
}

// sample records load reports, so that GET /load can answer with a lag.
func (h *Host) sample() {
	defer h.wait.Done()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.done:
			return
		case now := <-tick.C:
			for _, t := range h.targets {
				t.lag.add(now, t.gate.report(now))
			}
		}
	}
}

func newTarget(s Spec) (*target, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	s = s.withDefaults()
	d, err := openDoor(s.Listen)
	if err != nil {
		return nil, err
	}
	t := &target{spec: s, gate: newGate(s), door: d, runs: newRuns()}
	d.dropping = func() bool { return t.gate.down(time.Now()) || t.faults.isOn(FaultReset) }
	d.silent = func() bool { return t.faults.isOn(FaultSilentBefore) }
	t.server = &fasthttp.Server{
		Handler:               t.serve,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                silentLog{},
	}
	t.useKind()
	t.lag.add(time.Now().Add(-time.Hour), t.gate.report(time.Now()))
	return t, nil
}

func (t *target) useKind() {
	switch t.spec.Kind {
	case KindEngine:
		t.engine = newEngine(t)
		t.handle = t.engine.serve
	case KindService:
		t.handle = t.serveCall
	case KindPlatform:
		t.platform = newPlatform(t.spec)
		t.handle = t.platform.serve
	case KindWeights:
		t.weights = newWeights(t.spec)
		t.handle = t.weights.serve
	}
}

// serve answers the common paths and passes the others on.
func (t *target) serve(ctx *fasthttp.RequestCtx) {
	if id := ctx.Request.Header.Peek("X-Request-Id"); len(id) > 0 {
		ctx.Response.Header.SetBytesV("X-Request-Id", id)
	}
	switch string(ctx.Path()) {
	case "/fault":
		t.serveFault(ctx)
	case "/stats":
		writeJSON(ctx, t.stats(string(ctx.QueryArgs().Peek("starts")) != "0"))
	case "/runs":
		writeJSON(ctx, t.runs.table(string(ctx.QueryArgs().Peek("by"))))
	case "/load":
		t.serveLoad(ctx)
	default:
		t.handle(ctx)
	}
}

func (t *target) serveLoad(ctx *fasthttp.RequestCtx) {
	if t.spec.HideState {
		ctx.Error("no load report", fasthttp.StatusNotFound)
		return
	}
	now := time.Now()
	lag := time.Duration(t.spec.ReportLagMs)*time.Millisecond + t.faults.reportDelay()
	r, _ := t.lag.at(now.Add(-lag))
	t.stateHeaders(ctx)
	writeJSON(ctx, r)
}

// stateHeaders tells the caller the present state and boot number.
func (t *target) stateHeaders(ctx *fasthttp.RequestCtx) {
	if t.spec.HideState {
		return
	}
	r := t.gate.report(time.Now())
	ctx.Response.Header.Set("X-Target-State", r.State)
	ctx.Response.Header.Set("X-Target-Boot", strconv.FormatUint(r.Boot, 10))
}

// restart fails the target: it is down for a moment, then cold, and all its
// data connections are cut.
func (t *target) restart() {
	t.gate.restart(time.Now())
	t.door.cut()
}

// begin admits a request or tells the caller by a closed connection.
func (t *target) begin(ctx *fasthttp.RequestCtx, tag string, resumes bool) *work {
	w, breach := t.gate.admit(time.Now(), tag, resumes)
	if breach {
		t.restart()
	}
	if w == nil {
		drop(ctx)
		return nil
	}
	t.runs.add(tag, string(ctx.Request.Header.Peek("X-Request-Id")), string(ctx.Request.Header.Peek("Idempotency-Key")))
	return w
}

// drop closes the connection without a response.
func drop(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	_ = conn.Close()
	ctx.SetConnectionClose()
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// silentLog drops fasthttp's lines about connections that the faults cut.
type silentLog struct{}

// Printf implements fasthttp.Logger.
func (silentLog) Printf(string, ...any) {}

// lagged keeps the values of the last minute, so that an old one can be read.
type lagged[T any] struct {
	mu     sync.Mutex
	times  []time.Time
	values []T
}

func (l *lagged[T]) add(now time.Time, v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times, l.values = append(l.times, now), append(l.values, v)
	old := 0
	for old < len(l.times)-1 && now.Sub(l.times[old+1]) > time.Minute {
		old++
	}
	l.times, l.values = l.times[old:], l.values[old:]
}

// at returns the newest value that is not younger than when, and its time.
func (l *lagged[T]) at(when time.Time) (v T, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.times) - 1; i >= 0; i-- {
		if i == 0 || !l.times[i].After(when) {
			return l.values[i], l.times[i]
		}
	}
	return v, at
}
