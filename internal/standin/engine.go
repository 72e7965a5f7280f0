package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// EngineRequest is what an engine reads of a request body; the rest is free.
type EngineRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// User is the request tag under which the start of work is recorded.
	User string `json:"user"`
}

const (
	maxTokens  = 1 << 16
	maxStreams = 1 << 14 // streams that an engine can resume
)

// knownStreams are the streams that an engine can resume: the newest ones since
// it started. A restart forgets them.
type knownStreams struct {
	boot uint64
	seen map[string]bool
	list []string
}

func (k *knownStreams) add(boot uint64, id string) {
	if k.boot != boot {
		*k = knownStreams{boot: boot, seen: map[string]bool{}}
	}
	if len(k.list) >= maxStreams {
		delete(k.seen, k.list[0])
		k.list = k.list[1:]
	}
	k.seen[id] = true
	k.list = append(k.list, id)
}

func (k *knownStreams) has(boot uint64, id string) bool { return k.boot == boot && k.seen[id] }

// engine is the part of a target that a model engine has.
type engine struct {
	t     *target
	cache *cacheLog

	mu       sync.Mutex
	nextID   uint64
	streams  map[string]*work
	known    knownStreams
	fence    uint64
	model    string
	version  string
	role     string
	fetching fasthttp.Client
}

func newEngine(t *target) *engine {
	return &engine{t: t, cache: newCacheLog(t.spec), streams: map[string]*work{}}
}

func (e *engine) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/chat/completions" || path == "/v1/completions":
		e.complete(ctx)
	case strings.HasPrefix(path, "/v1/streams/") && strings.HasSuffix(path, "/cancel"):
		e.cancelStream(ctx, strings.TrimSuffix(strings.TrimPrefix(path, "/v1/streams/"), "/cancel"))
	case path == "/cache/events":
		e.cache.serve(ctx)
	case path == "/orders":
		e.order(ctx)
	default:
		e.t.stateHeaders(ctx)
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

// complete runs one request. The head goes out at admission.
func (e *engine) complete(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.PostBody()...)
	var r EngineRequest
	if err := json.Unmarshal(body, &r); err != nil || r.MaxTokens < 1 || r.MaxTokens > maxTokens {
		e.t.stateHeaders(ctx)
		ctx.Error("want JSON with max_tokens", fasthttp.StatusBadRequest)
		return
	}
	from, id, ok := e.resumePoint(ctx)
	if !ok {
		e.t.stateHeaders(ctx)
		ctx.Error("cannot resume this stream", fasthttp.StatusConflict)
		return
	}
	w := e.t.begin(ctx, r.User, id != "")
	if w == nil {
		return
	}
	if e.t.faults.isOn(FaultSilentAfter) {
		e.t.hold(ctx, w)
		return
	}
	if id == "" {
		id = e.newID(w.boot)
	}
	e.keep(id, w)
	e.cache.add(time.Now(), Seed(body))
	e.respond(ctx, id, w, &r, body, from)
}

func (e *engine) respond(ctx *fasthttp.RequestCtx, id string, w *work, r *EngineRequest, body []byte, from int) {
	e.t.stateHeaders(ctx)
	ctx.Response.Header.Set("X-Stream-Id", id)
	ctx.Response.ImmediateHeaderFlush = true
	s := newStream(e.t, w, body, r.MaxTokens, from, func() { e.forget(id, w) })
	if r.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.SetBodyStream(s, -1)
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyStream(&wholeReader{stream: s}, -1)
}

// resumePoint returns the number of the last event that the caller has and the
// id of the stream to resume, if any. Work still running under it ends.
func (e *engine) resumePoint(ctx *fasthttp.RequestCtx) (from int, id string, ok bool) {
	id = string(ctx.Request.Header.Peek("X-Resume-Id"))
	if id == "" {
		return 0, "", true
	}
	n, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID")))
	if err != nil || n < 0 || e.t.spec.NoResume {
		return 0, "", false
	}
	boot := e.t.gate.report(time.Now()).Boot
	e.mu.Lock()
	old, known := e.streams[id], e.known.has(boot, id)
	e.mu.Unlock()
	if !known {
		return 0, "", false
	}
	if old != nil {
		e.t.gate.finish(old, endAbandon)
	}
	e.t.gate.mu.Lock()
	e.t.gate.count.Resumed++
	e.t.gate.mu.Unlock()
	return n, id, true
}

func (e *engine) newID(boot uint64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	id := fmt.Sprintf("%s-%d", e.t.spec.Name, e.nextID)
	e.known.add(boot, id)
	return id
}

func (e *engine) keep(id string, w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = w
}

// forget drops a stream unless it was resumed as other work meanwhile.
func (e *engine) forget(id string, w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == w {
		delete(e.streams, id)
	}
}

func (e *engine) cancelStream(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	w := e.streams[id]
	e.mu.Unlock()
	e.t.stateHeaders(ctx)
	if w == nil {
		ctx.Error("unknown stream", fasthttp.StatusNotFound)
		return
	}
	e.t.gate.finish(w, endCancel)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// Order is the body of POST /orders.
type Order struct {
	Order   string `json:"order"` // load, role or warm
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fence"`
}

func (e *engine) order(ctx *fasthttp.RequestCtx) {
	e.t.stateHeaders(ctx)
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !e.admitOrder(o) {
		ctx.Error("stale fencing token", fasthttp.StatusConflict)
		return
	}
	switch o.Order {
	case "load":
		if code := e.fetchWeights(o); code != fasthttp.StatusOK {
			ctx.Error("weight store", code)
			return
		}
	case "warm":
		e.t.gate.orderWarm(time.Now())
	case "role":
	default:
		ctx.Error("unknown order", fasthttp.StatusBadRequest)
		return
	}
	e.adopt(o)
	writeJSON(ctx, o)
}

// admitOrder counts an order and checks its fencing token if the engine does.
func (e *engine) admitOrder(o Order) bool {
	e.mu.Lock()
	stale := o.Fence < e.fence
	e.fence = max(e.fence, o.Fence)
	e.mu.Unlock()
	g := e.t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count.Orders++
	if stale && e.t.spec.ChecksFence {
		g.count.StaleRefused++
		return false
	}
	if stale {
		g.count.StaleAccepted++
	}
	return true
}

func (e *engine) adopt(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Order {
	case "load":
		e.model, e.version = o.Model, o.Version
	case "role":
		e.role = o.Role
	}
}

// fetchWeights gets the weights from the store and returns the HTTP status.
func (e *engine) fetchWeights(o Order) int {
	if e.t.spec.WeightStore == "" {
		return fasthttp.StatusOK
	}
	code, _, err := e.fetching.GetTimeout(nil, e.t.spec.WeightStore+"/weights/"+o.Model+"/"+o.Version, 10*time.Second)
	if err != nil {
		code = fasthttp.StatusBadGateway
	}
	if code != fasthttp.StatusOK {
		g := e.t.gate
		g.mu.Lock()
		g.count.LoadFailed++
		g.mu.Unlock()
	}
	return code
}
