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
	"nutmegrouter/internal/overload"
	"nutmegrouter/internal/routing"
)

// handle admits one request, forwards it and writes the response or a refusal.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*callerconn.Conn)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError) // the connection is not from callerconn.Listener
		return
	}
	defer conn.HandlerReturned()
	arrived := g.clock.Now() - time.Since(conn.HandlerStarted())
	r, body, refusal := g.accept(ctx, arrived)
	if refusal != nil {
		wholeBody := g.discardBody(ctx, conn)
		g.writeRefusal(ctx, refusal, r)
		if !wholeBody {
			ctx.SetConnectionClose()
			conn.LingerOnClose()
		}
		g.closeIfDrainingOrCrowded(ctx)
		if refusal.Code == codeBusy {
			ctx.SetConnectionClose() // the load balancer chooses an instance for each new connection
		}
		return
	}
	g.stats.requests.Inc()
	g.log.Info("admitted", "step", "admit", "request", r.ID, "route", r.Route.Name, "kind", r.Route.Kind.String(),
		"service", r.Service, "workspace", r.Workspace, "version", g.table.Load().Version,
		"prompt_tokens", r.Fields.PromptTokens, "output_tokens", r.Fields.MaxOutputTokens, "left_ms", (r.Deadline - g.clock.Now()).Milliseconds(),
		"objective_ms", (r.Route.Objective - r.PriorWait).Milliseconds())
	r.CallerConnected = conn.Connected
	workCtx, cancel := context.WithCancel(context.Background())
	stopWatch := conn.WatchDisconnect(func() {
		g.stats.disconnected.Inc()
		g.log.Info("caller left", "step", "caller", "request", r.ID, "after_ms", (g.clock.Now() - r.ReceivedAt).Milliseconds())
		cancel()
	})
	release := func() {
		stopWatch()
		cancel()
		body.Free()
		g.memory.Release(requestOverheadBytes)
	}
	g.forward(ctx, workCtx, r, release)
	g.closeIfDrainingOrCrowded(ctx)
}

// accept admits a request, reserves its resources and reads its body. The returned request is
// never nil, but incomplete if there is a refusal; then nothing is reserved.
func (g *Gateway) accept(ctx *fasthttp.RequestCtx, arrived time.Duration) (*api.ForwardRequest, *overload.Buffer, *api.Refusal) {
	r, refusal := g.admit(ctx, arrived)
	if refusal == nil {
		refusal = g.checkStopping(r)
	}
	if refusal == nil {
		refusal = g.forwarder.Precheck(r)
	}
	if refusal != nil {
		return r, nil, refusal
	}
	// Resources are reserved last, because the refusals above cost little processor time.
	if refusal = g.reserve(r); refusal != nil {
		g.forwarder.ReportShed(r)
		return r, nil, refusal
	}
	body, refusal := g.readBody(ctx)
	if refusal == nil {
		refusal = g.checkStopping(r) // the body may have taken long
	} else if refusal.Code == codeMemoryFull {
		g.forwarder.ReportShed(r)
	}
	if refusal != nil {
		body.Free()
		g.memory.Release(requestOverheadBytes)
		return r, nil, refusal
	}
	r.Body = body.Bytes()
	return r, body, nil
}

// checkStopping returns a refusal if the response may be truncated by the exit of a planned stop, or nil.
func (g *Gateway) checkStopping(r *api.ForwardRequest) *api.Refusal {
	if !g.admissionClosed() || g.endsBeforeStop(r.Deadline) {
		return nil
	}
	return stoppingRefusal()
}

// admit validates a request and resolves its route, workspace, service and deadline.
// arrived is when its first byte was read, on the kernel clock. The returned request is
// never nil, but incomplete if there is a refusal.
func (g *Gateway) admit(ctx *fasthttp.RequestCtx, arrived time.Duration) (*api.ForwardRequest, *api.Refusal) {
	h := &ctx.Request.Header
	r := &api.ForwardRequest{Header: h, ReceivedAt: arrived}
	fields, err := g.dialect.ParseRequest(h)
	r.Fields, r.ID = fields, fields.RequestID
	g.startup.wait(fields.Timeout, g.clock.Now())
	t := g.table.Load()
	if t == nil {
		return r, notReadyRefusal("no configuration yet")
	}
	if refusal := checkHeader(h, t.Callers); refusal != nil {
		ctx.SetConnectionClose() // the following bytes may belong to this request
		return r, refusal
	}
	path, _, _ := strings.Cut(string(h.RequestURI()), "?")
	if r.Route = t.Resolve(string(h.Host()), path); r.Route == nil {
		return r, newRefusal(fasthttp.StatusNotFound, codeNoRoute, "no route has this host and path")
	}
	if refusal := authorize(t, r); refusal != nil {
		return r, refusal
	}
	if err != nil {
		return r, newRefusal(fasthttp.StatusBadRequest, codeBadRequest, err.Error())
	}
	if h.ContentLength() > g.bodyLimit() {
		return r, bodyTooLargeRefusal()
	}
	r.Service = r.Route.Choose(rand.Float64())
	if s := t.Services[r.Service]; s != nil {
		r.Engine, r.ColdPerSecond = s.Engine, s.ColdPerSecond
	}
	r.PriorWait = g.waitEstimator.earlierWait(r.Route.Name, fields.Timeout)
	r.Deadline = arrived + r.Route.Timeout
	if fields.Timeout > 0 {
		r.Deadline = min(r.Deadline, arrived+fields.Timeout)
	}
	return r, nil
}

// authorize sets the workspace that owns the bearer key, or returns a refusal. Public
// routes, and all routes of an open table, accept a missing or unknown key.
func authorize(t *routing.Table, r *api.ForwardRequest) *api.Refusal {
	if r.Fields.BearerKey != "" {
		if w := t.Workspace(r.Fields.BearerKey); w != nil {
			r.Workspace = w.Name
			return nil
		}
	}
	if r.Route.Public || t.Open {
		return nil
	}
	return newRefusal(fasthttp.StatusUnauthorized, codeUnauthorized, "the key is missing or unknown")
}

// forward sends the request to a target and writes the response. workCtx ends when the
// caller disconnects. release is called once the request no longer needs its resources
// and the watch of the caller's connection.
func (g *Gateway) forward(ctx *fasthttp.RequestCtx, workCtx context.Context, r *api.ForwardRequest, release func()) {
	resp, err := g.forwarder.Forward(workCtx, r)
	if err != nil {
		release()
		if errors.Is(err, context.Canceled) {
			ctx.SetConnectionClose() // the caller has disconnected
			ctx.SetStatusCode(statusClientClosedRequest)
			return
		}
		g.writeRefusal(ctx, asRefusal(err), r)
		return
	}
	resp.Header().CopyTo(&ctx.Response.Header)
	exchange.StripResponse(&ctx.Response.Header)
	if body, ok := resp.CompleteBody(); ok {
		g.writeBuffered(ctx, r, resp, body, release)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(&responseBody{gateway: g, resp: resp, release: release, id: r.ID}, -1)
}

// writeBuffered writes a response whose body has been read completely. The memory of a
// response above maxUncountedResponse stays reserved until it has been written.
func (g *Gateway) writeBuffered(ctx *fasthttp.RequestCtx, r *api.ForwardRequest, resp api.ForwardResponse, content []byte, release func()) {
	isHead := r.Route != nil && string(ctx.Method()) == fasthttp.MethodHead
	if len(content) > maxUncountedResponse && !isHead {
		ctx.Response.SetBodyStream(&responseBody{gateway: g, resp: resp, release: release, id: r.ID}, len(content))
		return
	}
	release()
	ctx.Response.SetBodyRaw(content)
	ctx.Response.SkipBody = isHead
	_ = resp.Close() // the body has been read completely
}

// maxUncountedResponse is the size up to which the memory of a response counts as part of
// its connection and is not reserved while it is written.
const maxUncountedResponse = 16 << 10 // bytes

// closeIfDrainingOrCrowded asks the caller to open a new connection for its next
// request. During a planned stop the load balancer sends it to another instance; if
// many connections are open, it frees one of them.
func (g *Gateway) closeIfDrainingOrCrowded(ctx *fasthttp.RequestCtx) {
	if g.draining.Load() || g.conns.NearLimit() {
		ctx.SetConnectionClose()
	}
}

// responseBody streams a target's response body to the caller. On a read error fasthttp
// closes the connection without the last chunk, so that a truncated response never looks
// complete.
type responseBody struct {
	gateway *Gateway
	resp    api.ForwardResponse
	release func()
	id      string
	closed  bool
}

// Read implements io.Reader. It logs and counts truncated responses.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.resp.Read(p)
	if err != nil && err != io.EOF {
		b.gateway.stats.truncated.Inc()
		b.gateway.log.Warn("answer cut", "step", "caller", "request", b.id, "error", err)
	}
	return n, err
}

// Close implements io.Closer. fasthttp calls it after the last read.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.resp.Close()
	b.release()
	return err
}
