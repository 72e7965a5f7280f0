package standin

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ShownChange is the wall time from which the list shows a changed state.
type ShownChange struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	UnixMs int64  `json:"unix_ms"`
}

// platform is the platform's list of target instances, which lags.
// POST /instances with a list replaces it; POST /instances with a single
// {"name","state"} object changes one entry.
type platform struct {
	lag  time.Duration
	list lagged[[]Instance]

	mu      sync.Mutex
	now     []Instance
	changes []ShownChange
}

func newPlatform(s Spec) *platform {
	p := &platform{lag: time.Duration(s.ReportLagMs) * time.Millisecond, now: s.Instances}
	p.list.add(time.Now().Add(-time.Hour), s.Instances)
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
	list, _ := p.list.at(time.Now().Add(-p.lag))
	if list == nil {
		list = []Instance{}
	}
	writeJSON(ctx, list)
}

func (p *platform) post(ctx *fasthttp.RequestCtx) {
	var list []Instance
	var one Instance
	if err := json.Unmarshal(ctx.PostBody(), &list); err == nil {
		p.replace(list)
	} else if err := json.Unmarshal(ctx.PostBody(), &one); err != nil || !p.change(one) {
		ctx.Error("want a list, or the name and state of one instance", fasthttp.StatusBadRequest)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (p *platform) replace(list []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = list
	p.list.add(time.Now(), list)
}

func (p *platform) change(x Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := append([]Instance(nil), p.now...)
	for i := range next {
		if next[i].Name == x.Name {
			next[i].State = x.State
			p.now = next
			now := time.Now()
			p.list.add(now, next)
			p.changes = append(p.changes, ShownChange{x.Name, x.State, now.Add(p.lag).UnixMilli()})
			return true
		}
	}
	return false
}

// shown returns the changes that the list shows by now.
func (p *platform) shown(now time.Time) []ShownChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ShownChange
	for _, c := range p.changes {
		if c.UnixMs <= now.UnixMilli() {
			out = append(out, c)
		}
	}
	return out
}

// WeightStats counts the downloads of a weight store.
type WeightStats struct {
	Served  uint64 `json:"served"`
	Limited uint64 `json:"limited"`
}

// weights is the weight store: a token bucket in front of fixed bytes.
type weights struct {
	perSecond float64
	burst     float64
	size      int

	mu     sync.Mutex
	tokens float64
	last   time.Time
	count  WeightStats
}

func newWeights(s Spec) *weights {
	return &weights{perSecond: s.WeightsPerSecond, burst: float64(s.WeightsBurst), size: s.WeightBytes,
		tokens: float64(s.WeightsBurst), last: time.Now()}
}

func (w *weights) serve(ctx *fasthttp.RequestCtx) {
	if parts := strings.Split(string(ctx.Path()), "/"); len(parts) != 4 || parts[1] != "weights" {
		ctx.Error("want /weights/{model}/{version}", fasthttp.StatusNotFound)
		return
	}
	if wait := w.take(time.Now()); wait > 0 {
		ctx.Error("rate limit", fasthttp.StatusTooManyRequests)
		seconds := int64((wait + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
		return
	}
	ctx.SetBody(make([]byte, w.size))
}

// take uses one token or returns the time until there is one.
func (w *weights) take(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.burst, w.tokens+now.Sub(w.last).Seconds()*w.perSecond)
	w.last = now
	if w.tokens < 1 {
		w.count.Limited++
		return time.Duration((1 - w.tokens) / w.perSecond * float64(time.Second))
	}
	w.tokens--
	w.count.Served++
	return 0
}

func (w *weights) stats() WeightStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}
