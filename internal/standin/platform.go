package standin

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ListedChange is a state change of an instance and the wall time from which the list
// shows it.
type ListedChange struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	UnixMs int64  `json:"unix_ms"`
}

// platform serves the platform's list of target instances. GET /instances returns the
// list as it was one lag ago. POST /instances with a list replaces it; with a single
// {"name","state"} object it changes one entry.
type platform struct {
	lag     time.Duration
	history history[[]Instance]

	mu      sync.Mutex
	current []Instance
	changes []ListedChange
}

func newPlatform(s Spec) *platform {
	p := &platform{lag: time.Duration(s.ReportLagMs) * time.Millisecond, current: s.Instances}
	p.history.add(time.Now().Add(-time.Hour), s.Instances)
	return p
}

func (p *platform) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/instances" {
		ctx.Error("unknown path", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsPost() {
		p.post(ctx)
		return
	}
	list, _ := p.history.valueAt(time.Now().Add(-p.lag))
	if list == nil {
		list = []Instance{}
	}
	writeJSON(ctx, list)
}

func (p *platform) post(ctx *fasthttp.RequestCtx) {
	var list []Instance
	var entry Instance
	if err := json.Unmarshal(ctx.PostBody(), &list); err == nil {
		p.replace(list)
	} else if err := json.Unmarshal(ctx.PostBody(), &entry); err != nil || !p.changeState(entry) {
		ctx.Error("want a list, or the name and state of one instance", fasthttp.StatusBadRequest)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (p *platform) replace(list []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = list
	p.history.add(time.Now(), list)
}

// changeState sets the state of an instance and reports whether the list contains it.
func (p *platform) changeState(x Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := append([]Instance(nil), p.current...)
	for i := range next {
		if next[i].Name == x.Name {
			next[i].State = x.State
			p.current = next
			now := time.Now()
			p.history.add(now, next)
			p.changes = append(p.changes, ListedChange{x.Name, x.State, now.Add(p.lag).UnixMilli()})
			return true
		}
	}
	return false
}

// visibleChanges returns the changes that GET /instances shows at now.
func (p *platform) visibleChanges(now time.Time) []ListedChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ListedChange
	for _, c := range p.changes {
		if c.UnixMs <= now.UnixMilli() {
			out = append(out, c)
		}
	}
	return out
}

// WeightStats counts the requests to a weight store: those served, and those refused by
// the rate limit.
type WeightStats struct {
	Served  uint64 `json:"served"`
	Limited uint64 `json:"limited"`
}

// weightStore serves weights of a fixed size, limited by a token bucket.
type weightStore struct {
	ratePerSecond float64
	burst         float64
	downloadBytes int

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	counters   WeightStats
}

func newWeightStore(s Spec) *weightStore {
	return &weightStore{ratePerSecond: s.WeightsPerSecond, burst: float64(s.WeightsBurst), downloadBytes: s.WeightBytes,
		tokens: float64(s.WeightsBurst), refilledAt: time.Now()}
}

func (w *weightStore) serve(ctx *fasthttp.RequestCtx) {
	if parts := strings.Split(string(ctx.Path()), "/"); len(parts) != 4 || parts[1] != "weights" {
		ctx.Error("want /weights/{model}/{version}", fasthttp.StatusNotFound)
		return
	}
	if wait := w.takeToken(time.Now()); wait > 0 {
		ctx.Error("rate limit", fasthttp.StatusTooManyRequests)
		seconds := int64((wait + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
		return
	}
	ctx.SetBody(make([]byte, w.downloadBytes))
}

// takeToken takes one token from the bucket and returns 0, or returns the time until one
// is available.
func (w *weightStore) takeToken(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.burst, w.tokens+now.Sub(w.refilledAt).Seconds()*w.ratePerSecond)
	w.refilledAt = now
	if w.tokens < 1 {
		w.counters.Limited++
		return time.Duration((1 - w.tokens) / w.ratePerSecond * float64(time.Second))
	}
	w.tokens--
	w.counters.Served++
	return 0
}

func (w *weightStore) stats() WeightStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counters
}
