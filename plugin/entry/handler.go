package entry

import (
	"bytes"
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/callerconn"
)

// wholeLimit bounds the answers that are read whole before they are written.
const wholeLimit = 256 << 10 // bytes

// oldLimit bounds the answers of unknown length to HTTP/1.0 callers.
const oldLimit = 16 << 20 // bytes

var errAnswerLarge = &api.Refusal{
	Code: codeAnswerLarge, Status: fasthttp.StatusHTTPVersionNotSupported, Run: api.RunUnknown, Step: "entry",
	Message: "the answer is too large for HTTP/1.0",
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	conn, _ := ctx.Conn().(*callerconn.Conn)
	if conn != nil {
		defer conn.Served()
	}
	s.stats.received.Add(len(ctx.Request.Body()))
	r, refusal := s.parse(ctx)
	var free func()
	if refusal == nil {
		free, refusal = s.takeBody(len(r.Body))
	}
	if refusal != nil {
		s.writeRefusal(ctx, refusal, r.ID)
		if refusal.Status == fasthttp.StatusBadRequest {
			ctx.SetConnectionClose() // what follows may be the rest of this request
		}
		s.closeIfDraining(ctx)
		return
	}
	s.stats.request(r.Pool)
	work, cancel := context.WithCancel(context.Background())
	r.Gone = work.Done()
	stop := func() {}
	if conn != nil {
		stop = conn.Watch(func() { s.stats.gone.Inc(); cancel() })
	}
	s.run(ctx, work, r, func() { stop(); cancel(); free() })
	s.closeIfDraining(ctx)
}

// run has the request dispatched and writes its answer. It calls end once the
// caller need not be watched any more.
func (s *Server) run(ctx *fasthttp.RequestCtx, work context.Context, r *api.Request, end func()) {
	ans, err := s.dispatch.Do(work, r)
	if err != nil {
		end()
		s.writeRefusal(ctx, asRefusal(err), r.ID)
		return
	}
	head := ans.Head()
	s.writeHead(ctx, &head, r.ID)
	if r.Method == fasthttp.MethodHead {
		defer end()
		if head.Length >= 0 {
			ctx.Response.Header.SetContentLength(int(head.Length))
		}
		ctx.Response.SkipBody = true
		ans.Close() //nolint:errcheck // there is no body to lose
		return
	}
	if head.Length >= 0 && head.Length <= wholeLimit {
		defer end()
		s.writeWhole(ctx, ans, int(head.Length), r.ID)
		return
	}
	if head.Length < 0 && !ctx.Request.Header.IsHTTP11() {
		defer end()
		s.writeWhole(ctx, ans, 0, r.ID)
		return
	}
	body := newBody(s, ans, &head, r.ID, end)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(body, int(head.Length))
}

func (s *Server) writeHead(ctx *fasthttp.RequestCtx, head *api.AnswerHead, id string) {
	h := &ctx.Response.Header
	ctx.Response.SetStatusCode(head.Status)
	for k, v := range head.Header {
		h.Set(k, v)
	}
	for _, kv := range head.Extra {
		h.Add(kv[0], kv[1])
	}
	h.Set(headerID, id)
	h.Set("X-Served-By", s.instance)
	if head.Target != "" {
		h.Set("X-Target", head.Target)
	}
}

// writeWhole reads the whole body before it answers: a short one that is already
// at hand, or one of unknown length for an HTTP/1.0 caller, who knows no chunks
// and would take a cut answer for whole.
func (s *Server) writeWhole(ctx *fasthttp.RequestCtx, ans api.Answer, length int, id string) {
	defer ans.Close() //nolint:errcheck // the body was read to its end or is refused
	var b bytes.Buffer
	b.Grow(length + bytes.MinRead)
	if _, err := io.Copy(&b, io.LimitReader(ans, oldLimit)); err == nil && b.Len() >= oldLimit {
		s.refuseAnswer(ctx, errAnswerLarge, id)
		return
	} else if err != nil {
		s.refuseAnswer(ctx, asRefusal(err), id)
		return
	}
	ctx.Response.SetBodyRaw(b.Bytes())
}

// refuseAnswer replaces an answer of which nothing has been written.
func (s *Server) refuseAnswer(ctx *fasthttp.RequestCtx, r *api.Refusal, id string) {
	s.stats.cut.Inc()
	ctx.Response.Reset()
	ctx.Response.Header.SetNoDefaultContentType(true)
	s.writeRefusal(ctx, r, id)
}

// closeIfDraining asks the caller to use another connection, and so another
// instance, for its next request.
func (s *Server) closeIfDraining(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}
