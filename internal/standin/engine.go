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

// EngineRequest holds the fields of a request body that an engine reads. Other fields
// are ignored.
type EngineRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// User is the request tag under which GET /runs counts the request.
	User string `json:"user"`
}

const (
	maxTokens  = 1 << 16 // largest max_tokens of a request
	maxStreams = 1 << 14 // streams that an engine can resume
)

// resumableStreams holds the ids of the streams that an engine can resume: the newest
// maxStreams of its present boot. A restart clears them.
type resumableStreams struct {
	boot  uint64
	ids   map[string]bool
	order []string // ids, oldest first
}

func (r *resumableStreams) add(boot uint64, id string) {
	if r.boot != boot {
		*r = resumableStreams{boot: boot, ids: map[string]bool{}}
	}
	if len(r.order) >= maxStreams {
		delete(r.ids, r.order[0])
		r.order = r.order[1:]
	}
	r.ids[id] = true
	r.order = append(r.order, id)
}

func (r *resumableStreams) has(boot uint64, id string) bool { return r.boot == boot && r.ids[id] }

// engine is the part of a target that is specific to a model engine.
type engine struct {
	target *target
	cache  *cacheLog

	mu           sync.Mutex
	nextID       uint64
	streams      map[string]*work
	resumable    resumableStreams
	fencingToken uint64
	model        string
	version      string
	role         string
	weightClient fasthttp.Client
}

func newEngine(t *target) *engine {
	return &engine{target: t, cache: newCacheLog(t.spec), streams: map[string]*work{}}
}

func (e *engine) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/chat/completions" || path == "/v1/completions":
		e.serveCompletion(ctx)
	case strings.HasPrefix(path, "/v1/streams/") && strings.HasSuffix(path, "/cancel"):
		e.serveCancel(ctx, strings.TrimSuffix(strings.TrimPrefix(path, "/v1/streams/"), "/cancel"))
	case path == "/cache/events":
		e.cache.serve(ctx)
	case path == "/orders":
		e.serveOrder(ctx)
	default:
		e.target.setStateHeaders(ctx)
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

// serveCompletion runs one request. The response header is sent at admission, before
// the first token.
func (e *engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.PostBody()...)
	var r EngineRequest
	if err := json.Unmarshal(body, &r); err != nil || r.MaxTokens < 1 || r.MaxTokens > maxTokens {
		e.target.setStateHeaders(ctx)
		ctx.Error("want JSON with max_tokens", fasthttp.StatusBadRequest)
		return
	}
	lastEvent, id, ok := e.resumePoint(ctx)
	if !ok {
		e.target.setStateHeaders(ctx)
		ctx.Error("cannot resume this stream", fasthttp.StatusConflict)
		return
	}
	w := e.target.startWork(ctx, r.User, id != "")
	if w == nil {
		return
	}
	if e.target.faults.isActive(FaultSilentAfter) {
		e.target.holdResponse(ctx, w)
		return
	}
	if id == "" {
		id = e.newStreamID(w.boot)
	}
	e.register(id, w)
	e.cache.add(time.Now(), Seed(body))
	e.respond(ctx, id, w, &r, body, lastEvent)
}

func (e *engine) respond(ctx *fasthttp.RequestCtx, id string, w *work, r *EngineRequest, body []byte, lastEvent int) {
	e.target.setStateHeaders(ctx)
	ctx.Response.Header.Set("X-Stream-Id", id)
	ctx.Response.ImmediateHeaderFlush = true
	s := newStream(e.target, w, body, r.MaxTokens, lastEvent, func() { e.unregister(id, w) })
	if r.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.SetBodyStream(s, -1)
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyStream(&unstreamedReader{stream: s}, -1)
}

// resumePoint returns the number of the last event that the caller received and the id
// of the stream to resume. The id is "" if the request is not a resume, and ok is false
// if the stream cannot be resumed. Work still running for the stream is ended.
func (e *engine) resumePoint(ctx *fasthttp.RequestCtx) (lastEvent int, id string, ok bool) {
	id = string(ctx.Request.Header.Peek("X-Resume-Id"))
	if id == "" {
		return 0, "", true
	}
	n, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID")))
	if err != nil || n < 0 || e.target.spec.NoResume {
		return 0, "", false
	}
	boot := e.target.admission.loadReport(time.Now()).Boot
	e.mu.Lock()
	old, resumable := e.streams[id], e.resumable.has(boot, id)
	e.mu.Unlock()
	if !resumable {
		return 0, "", false
	}
	if old != nil {
		e.target.admission.finish(old, outcomeAbandoned)
	}
	e.target.admission.mu.Lock()
	e.target.admission.counters.Resumed++
	e.target.admission.mu.Unlock()
	return n, id, true
}

// newStreamID returns the id of a new stream, which can be resumed until the engine
// restarts.
func (e *engine) newStreamID(boot uint64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	id := fmt.Sprintf("%s-%d", e.target.spec.Name, e.nextID)
	e.resumable.add(boot, id)
	return id
}

func (e *engine) register(id string, w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = w
}

// unregister removes a stream, unless other work has resumed it meanwhile.
func (e *engine) unregister(id string, w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == w {
		delete(e.streams, id)
	}
}

func (e *engine) serveCancel(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	w := e.streams[id]
	e.mu.Unlock()
	e.target.setStateHeaders(ctx)
	if w == nil {
		ctx.Error("unknown stream", fasthttp.StatusNotFound)
		return
	}
	e.target.admission.finish(w, outcomeCancelled)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// Order is the body of POST /orders.
type Order struct {
	Order        string `json:"order"` // load, role or warm
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken uint64 `json:"fence"`
}

func (e *engine) serveOrder(ctx *fasthttp.RequestCtx) {
	e.target.setStateHeaders(ctx)
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !e.checkOrder(o) {
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
		e.target.admission.startWarmOrder(time.Now())
	case "role":
	default:
		ctx.Error("unknown order", fasthttp.StatusBadRequest)
		return
	}
	e.applyOrder(o)
	writeJSON(ctx, o)
}

// checkOrder counts an order and reports whether to execute it. An order with a stale
// fencing token is refused only with ChecksFencingToken.
func (e *engine) checkOrder(o Order) bool {
	e.mu.Lock()
	stale := o.FencingToken < e.fencingToken
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.mu.Unlock()
	a := e.target.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counters.Orders++
	if stale && e.target.spec.ChecksFencingToken {
		a.counters.StaleRefused++
		return false
	}
	if stale {
		a.counters.StaleAccepted++
	}
	return true
}

// applyOrder records the model, version or role set by an order.
func (e *engine) applyOrder(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Order {
	case "load":
		e.model, e.version = o.Model, o.Version
	case "role":
		e.role = o.Role
	}
}

// fetchWeights downloads the weights of an order from the weight store and returns the
// HTTP status: 200 if there is no store, 502 if the store cannot be reached.
func (e *engine) fetchWeights(o Order) int {
	if e.target.spec.WeightStore == "" {
		return fasthttp.StatusOK
	}
	code, _, err := e.weightClient.GetTimeout(nil, e.target.spec.WeightStore+"/weights/"+o.Model+"/"+o.Version, 10*time.Second)
	if err != nil {
		code = fasthttp.StatusBadGateway
	}
	if code != fasthttp.StatusOK {
		a := e.target.admission
		a.mu.Lock()
		a.counters.LoadFailed++
		a.mu.Unlock()
	}
	return code
}
