package entry

import (
	"bytes"
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/callerconn"
)

// maxBufferedResponse is the length up to which a response is read completely before it is
// written.
const maxBufferedResponse = 256 << 10 // bytes

// maxHTTP10Response limits responses of unknown length to HTTP/1.0 callers.
const maxHTTP10Response = 16 << 20 // bytes

var errResponseTooLarge = &api.Refusal{
	Code: codeResponseTooLarge, Status: fasthttp.StatusHTTPVersionNotSupported, Run: api.RunUnknown, Step: "entry",
	Message: "the answer is too large for HTTP/1.0",
}

// handle validates one request, forwards it and writes the response or a refusal.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	conn, _ := ctx.Conn().(*callerconn.Conn)
	if conn != nil {
		defer conn.HandlerReturned()
	}
	s.stats.receivedBytes.Add(len(ctx.Request.Body()))
	r, refusal := s.parseRequest(ctx)
	var releaseBody func()
	if refusal == nil {
		releaseBody, refusal = s.reserveBody(len(r.Body))
	}
	if refusal != nil {
		s.writeRefusal(ctx, refusal, r.ID)
		if refusal.Status == fasthttp.StatusBadRequest {
			ctx.SetConnectionClose() // the following bytes may belong to this request
		}
		s.closeIfDraining(ctx)
		return
	}
	s.stats.countRequest(r.Pool)
	workCtx, cancel := context.WithCancel(context.Background())
	r.Disconnected = workCtx.Done()
	stopWatch := func() {}
	if conn != nil {
		stopWatch = conn.WatchDisconnect(func() { s.stats.disconnected.Inc(); cancel() })
	}
	s.forward(ctx, workCtx, r, func() { stopWatch(); cancel(); releaseBody() })
	s.closeIfDraining(ctx)
}

// forward dispatches the request and writes the response. workCtx ends when the caller
// disconnects. release is called once the request no longer needs its resources and the
// watch of the caller's connection.
func (s *Server) forward(ctx *fasthttp.RequestCtx, workCtx context.Context, r *api.Request, release func()) {
	resp, err := s.dispatcher.Dispatch(workCtx, r)
	if err != nil {
		release()
		s.writeRefusal(ctx, asRefusal(err), r.ID)
		return
	}
	header := resp.Head()
	s.writeHeader(ctx, &header, r.ID)
	if r.Method == fasthttp.MethodHead {
		defer release()
		if header.BodyBytes >= 0 {
			ctx.Response.Header.SetContentLength(int(header.BodyBytes))
		}
		ctx.Response.SkipBody = true
		resp.Close() //nolint:errcheck // a HEAD response has no body
		return
	}
	if header.BodyBytes >= 0 && header.BodyBytes <= maxBufferedResponse {
		defer release()
		s.writeBuffered(ctx, resp, int(header.BodyBytes), r.ID)
		return
	}
	if header.BodyBytes < 0 && !ctx.Request.Header.IsHTTP11() {
		defer release()
		s.writeBuffered(ctx, resp, 0, r.ID)
		return
	}
	body := newResponseBody(s, resp, &header, r.ID, release)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(body, int(header.BodyBytes))
}

// writeHeader sets status and headers of the response.
func (s *Server) writeHeader(ctx *fasthttp.RequestCtx, header *api.ResponseHead, id string) {
	h := &ctx.Response.Header
	ctx.Response.SetStatusCode(header.Status)
	for k, v := range header.Header {
		h.Set(k, v)
	}
	for _, kv := range header.RepeatedHeaders {
		h.Add(kv[0], kv[1])
	}
	h.Set(headerID, id)
	h.Set("X-Served-By", s.instance)
	if header.Target != "" {
		h.Set("X-Target", header.Target)
	}
}

// writeBuffered reads the whole body before it writes the response: a short one that has
// arrived already, or one of unknown length for an HTTP/1.0 caller. Without chunked
// coding such a caller would take a truncated response for a complete one.
func (s *Server) writeBuffered(ctx *fasthttp.RequestCtx, resp api.Response, length int, id string) {
	defer resp.Close() //nolint:errcheck // the body was read completely, or a refusal replaces it
	var b bytes.Buffer
	b.Grow(length + bytes.MinRead)
	if _, err := io.Copy(&b, io.LimitReader(resp, maxHTTP10Response)); err == nil && b.Len() >= maxHTTP10Response {
		s.replaceWithRefusal(ctx, errResponseTooLarge, id)
		return
	} else if err != nil {
		s.replaceWithRefusal(ctx, asRefusal(err), id)
		return
	}
	ctx.Response.SetBodyRaw(b.Bytes())
}

// replaceWithRefusal replaces a response of which nothing has been written by a refusal.
func (s *Server) replaceWithRefusal(ctx *fasthttp.RequestCtx, r *api.Refusal, id string) {
	s.stats.truncated.Inc()
	ctx.Response.Reset()
	ctx.Response.Header.SetNoDefaultContentType(true)
	s.writeRefusal(ctx, r, id)
}

// closeIfDraining asks the caller during a planned stop to close the connection, so that
// its next request reaches another instance.
func (s *Server) closeIfDraining(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}
