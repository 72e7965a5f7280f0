package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/callerconn"
	"nutmegrouter/internal/exchange"
	"nutmegrouter/internal/routing"
)

// handle serves one request.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*callerconn.Conn)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError) // only with another listener
		return
	}
	defer conn.Served()
	arrived := g.clock.Now() - time.Since(conn.Begin())
	r, refusal := g.admit(ctx, arrived)
	if refusal == nil && g.stopping.Load() {
		refusal = refuse(fasthttp.StatusServiceUnavailable, codeStopping, "the instance stops")
		refusal.RetryAfter = elsewhere
	}
	if refusal == nil {
		refusal = g.forwarder.Precheck(r)
	}
	if refusal == nil {
		// Last: what is refused above takes little processor time.
		if refusal = g.means(r); refusal != nil {
			g.forwarder.TurnedAway(r)
		}
	}
	if refusal != nil {
		g.refuse(ctx, refusal, r)
		g.closeIfDraining(ctx)
		return
	}
	g.stats.requests.Inc()
	g.log.Info("admitted", "step", "admit", "request", r.ID, "route", r.Route.Name, "kind", r.Route.Kind.String(),
		"service", r.Service, "workspace", r.Workspace, "version", g.table.Load().Version,
		"prompt_tokens", r.Fields.PromptTokens, "output_tokens", r.Fields.OutputTokens, "left_ms", (r.Deadline - g.clock.Now()).Milliseconds())
	r.Present = conn.Present
	work, cancel := context.WithCancel(context.Background())
	stop := conn.Watch(func() {
		g.stats.gone.Inc()
		g.log.Info("caller left", "step", "caller", "request", r.ID, "after_ms", (g.clock.Now() - r.Arrived).Milliseconds())
		cancel()
	})
	end := func() {
		stop()
		cancel()
		g.memory.Free(len(r.Body) + requestBytes)
	}
	g.forward(ctx, work, r, end)
	g.closeIfDraining(ctx)
}

// admit checks a request and finds its route, workspace and service. The request
// is never nil.
func (g *Gateway) admit(ctx *fasthttp.RequestCtx, arrived time.Duration) (*api.ForwardRequest, *api.Refusal) {
	h := &ctx.Request.Header
	r := &api.ForwardRequest{Header: h, Arrived: arrived}
	fields, err := g.dialect.Caller(h)
	r.Fields, r.ID = fields, fields.ID
	t := g.table.Load()
	if t == nil {
		return r, notReady("no configuration yet")
	}
	if refusal := checkHead(h, t.Callers); refusal != nil {
		ctx.SetConnectionClose() // what follows may be the rest of this request
		return r, refusal
	}
	path, _, _ := strings.Cut(string(h.RequestURI()), "?")
	if r.Route = t.Resolve(string(h.Host()), path); r.Route == nil {
		return r, refuse(fasthttp.StatusNotFound, codeNoRoute, "no route has this host and path")
	}
	if refusal := authorize(t, r); refusal != nil {
		return r, refusal
	}
	if err != nil {
		return r, refuse(fasthttp.StatusBadRequest, codeBadRequest, err.Error())
	}
	r.Body = ctx.Request.Body()
	if limit := orDefault(t.Callers.BodyBytes, defaultBody); len(r.Body) > limit {
		ctx.SetConnectionClose()
		return r, refuse(fasthttp.StatusRequestEntityTooLarge, codeTooLarge, "the body exceeds the limit")
	}
	r.Service = r.Route.Choose(rand.Float64())
	if s := t.Services[r.Service]; s != nil {
		r.Engine = s.Engine
	}
	r.Waited = g.patience.waited(r.Route.Name, fields.Deadline)
	r.Deadline = arrived + r.Route.Timeout
	if fields.Deadline > 0 {
		r.Deadline = min(r.Deadline, arrived+fields.Deadline)
	}
	return r, nil
}

// authorize finds the workspace. A key on a public route is not needed, and an
// unknown one does no harm there.
func authorize(t *routing.Table, r *api.ForwardRequest) *api.Refusal {
	if r.Fields.Key != "" {
		if w := t.Workspace(r.Fields.Key); w != nil {
			r.Workspace = w.Name
			return nil
		}
	}
	if r.Route.Public || len(t.Workspaces) == 0 {
		return nil
	}
	return refuse(fasthttp.StatusUnauthorized, codeUnauthorized, "the key is missing or unknown")
}

// forward has the request served and writes the answer. It calls end once the
// caller need not be watched any more.
func (g *Gateway) forward(ctx *fasthttp.RequestCtx, work context.Context, r *api.ForwardRequest, end func()) {
	ans, err := g.forwarder.Forward(work, r)
	if err != nil {
		end()
		if errors.Is(err, context.Canceled) {
			ctx.SetConnectionClose() // nobody reads an answer
			ctx.SetStatusCode(statusGone)
			return
		}
		g.refuse(ctx, asRefusal(err), r)
		return
	}
	ans.Header().CopyTo(&ctx.Response.Header)
	exchange.StripAnswer(&ctx.Response.Header)
	if body, ok := ans.Whole(); ok {
		g.forwardWhole(ctx, r, ans, body, end)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(&body{g: g, ans: ans, end: end, id: r.ID}, -1)
}

// forwardWhole writes an answer that was read to its end. The memory of a long one counts
// until its caller has read it.
func (g *Gateway) forwardWhole(ctx *fasthttp.RequestCtx, r *api.ForwardRequest, ans api.ForwardAnswer, content []byte, end func()) {
	head := r.Route != nil && string(ctx.Method()) == fasthttp.MethodHead
	if len(content) > uncounted && !head {
		ctx.Response.SetBodyStream(&body{g: g, ans: ans, end: end, id: r.ID}, len(content))
		return
	}
	end()
	ctx.Response.SetBodyRaw(content)
	ctx.Response.SkipBody = head
	_ = ans.Close() // the answer was read to its end
}

// uncounted is the size of an answer up to which its memory is the connection's.
const uncounted = 16 << 10 // bytes

// closeIfDraining asks the caller to use another connection for its next request:
// at another instance during a planned stop, and at any if too many are open.
func (g *Gateway) closeIfDraining(ctx *fasthttp.RequestCtx) {
	if g.draining.Load() || g.conns.Crowded() {
		ctx.SetConnectionClose()
	}
}

// body passes an answer on as it arrives. A failure ends it with an error, for
// which fasthttp closes the connection without an end mark, so that a cut answer
// never looks whole.
type body struct {
	g      *Gateway
	ans    api.ForwardAnswer
	end    func()
	id     string
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ans.Read(p)
	if err != nil && err != io.EOF {
		b.g.stats.cut.Inc()
		b.g.log.Warn("answer cut", "step", "caller", "request", b.id, "error", err)
	}
	return n, err
}

// Close implements io.Closer. fasthttp calls it after the last read.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ans.Close()
	b.end()
	return err
}
