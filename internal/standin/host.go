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
	maxBodyBytes    = 64 << 20 // of a request
	sampleInterval  = 50 * time.Millisecond
	shutdownTimeout = 500 * time.Millisecond
)

// Host runs the stand-ins of one process until Close.
type Host struct {
	targets []*target
	done    chan struct{}
	wg      sync.WaitGroup
}

// target is one stand-in of any kind.
type target struct {
	spec        Spec
	admission   *admission
	listener    *faultListener
	server      *fasthttp.Server
	runCounts   *runCounts
	faults      faults
	loadHistory history[LoadReport]
	// handle serves the paths that are specific to the kind.
	handle func(*fasthttp.RequestCtx)
	// At most one of the following is set, according to the kind.
	engine      *engine
	platform    *platform
	weightStore *weightStore
}

// Start validates the specs, listens on their addresses and serves all stand-ins.
// If one of them fails, it stops the others and returns the error.
func Start(specs []Spec) (*Host, error) {
	h := &Host{done: make(chan struct{})}
	for _, s := range specs {
		t, err := newTarget(s)
		if err != nil {
			h.Close()
			return nil, err
		}
		h.targets = append(h.targets, t)
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			_ = t.server.Serve(t.listener)
		}()
	}
	h.wg.Add(1)
	go h.sampleLoad()
	return h, nil
}

// Addresses returns the IP:port of each stand-in, in the order of the specs.
func (h *Host) Addresses() []string {
	var out []string
	for _, t := range h.targets {
		out = append(out, t.listener.address)
	}
	return out
}

// Close stops all stand-ins, closes their connections and waits for the
// goroutines of the host.
func (h *Host) Close() {
	close(h.done)
	for _, t := range h.targets {
		_ = t.listener.Close()
		t.admission.restart(time.Now())
		t.listener.eachDataConn(func(c *faultConn) { _ = c.Close() })
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		_ = t.server.ShutdownWithContext(ctx)
		cancel()
	}
	h.wg.Wait()
}

// sampleLoad records load reports periodically, so that GET /load can return one
// of the past.
func (h *Host) sampleLoad() {
	defer h.wg.Done()
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.done:
			return
		case now := <-tick.C:
			for _, t := range h.targets {
				t.loadHistory.add(now, t.admission.loadReport(now))
			}
		}
	}
}

// newTarget validates the spec and listens on its address, but does not serve yet.
func newTarget(s Spec) (*target, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s = s.withDefaults()
	l, err := newFaultListener(s.Listen)
	if err != nil {
		return nil, err
	}
	t := &target{spec: s, admission: newAdmission(s), listener: l, runCounts: newRunCounts()}
	l.shouldReset = func() bool { return t.admission.isDown(time.Now()) || t.faults.isActive(FaultReset) }
	l.shouldSilence = func() bool { return t.faults.isActive(FaultSilentBefore) }
	t.server = &fasthttp.Server{
		Handler:               t.serve,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	t.initKind()
	t.loadHistory.add(time.Now().Add(-time.Hour), t.admission.loadReport(time.Now()))
	return t, nil
}

// initKind sets the handler and the state of the kind.
func (t *target) initKind() {
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
		t.weightStore = newWeightStore(t.spec)
		t.handle = t.weightStore.serve
	}
}

// serve handles the paths common to all kinds and delegates the others to handle.
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
		writeJSON(ctx, t.runCounts.table(string(ctx.QueryArgs().Peek("by"))))
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
	lag := time.Duration(t.spec.ReportLagMs)*time.Millisecond + t.faults.extraReportLag()
	r, _ := t.loadHistory.valueAt(now.Add(-lag))
	t.setStateHeaders(ctx)
	writeJSON(ctx, r)
}

// setStateHeaders adds the present state and boot number to the response, unless
// the spec hides them.
func (t *target) setStateHeaders(ctx *fasthttp.RequestCtx) {
	if t.spec.HideState {
		return
	}
	r := t.admission.loadReport(time.Now())
	ctx.Response.Header.Set("X-Target-State", r.State)
	ctx.Response.Header.Set("X-Target-Boot", strconv.FormatUint(r.Boot, 10))
}

// restart simulates a crash: it closes all data connections, keeps the target down
// for RestartMs and makes it cold.
func (t *target) restart() {
	t.admission.restart(time.Now())
	t.listener.cutConns()
}

// startWork admits a request. If the target is down or the request exceeds its
// capacity, startWork closes the connection and returns nil; in the latter case
// the target restarts.
func (t *target) startWork(ctx *fasthttp.RequestCtx, tag string, resumes bool) *work {
	w, breach := t.admission.admit(time.Now(), tag, resumes)
	if breach {
		t.restart()
	}
	if w == nil {
		abort(ctx)
		return nil
	}
	t.runCounts.add(tag, string(ctx.Request.Header.Peek("X-Request-Id")), string(ctx.Request.Header.Peek("Idempotency-Key")))
	return w
}

// abort closes the connection of a request without a response.
func abort(ctx *fasthttp.RequestCtx) {
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

// discardLogger drops fasthttp's messages about connections closed by faults.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// history keeps the values recorded in the last minute, for reads with a lag.
type history[T any] struct {
	mu     sync.Mutex
	times  []time.Time
	values []T
}

func (h *history[T]) add(now time.Time, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.times, h.values = append(h.times, now), append(h.values, v)
	expired := 0
	for expired < len(h.times)-1 && now.Sub(h.times[expired+1]) > time.Minute {
		expired++
	}
	h.times, h.values = h.times[expired:], h.values[expired:]
}

// valueAt returns the newest value recorded at or before when, and the time of its
// recording. If all values are newer, it returns the oldest one.
func (h *history[T]) valueAt(when time.Time) (v T, recorded time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.times) - 1; i >= 0; i-- {
		if i == 0 || !h.times[i].After(when) {
			return h.values[i], h.times[i]
		}
	}
	return v, recorded
}
