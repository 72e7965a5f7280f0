package gateway

import (
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/callerconn"
	"nutmegrouter/internal/overload"
)

const (
	// maxBodyTime is how long a request may take to arrive. Less counts if its route or its caller
	// gives it less time.
	maxBodyTime = 20 * time.Second
	// maxDiscardedBody is the size up to which the body of a refused request is read and discarded, so
	// that the connection stays open, and discardTime how long that may delay the refusal. After a larger
	// or later body the connection is closed.
	maxDiscardedBody = 64 << 10 // bytes
	discardTime      = 50 * time.Millisecond
)

// bodyLimit returns the configured size limit of a body in bytes.
func (g *Gateway) bodyLimit() int { return orDefault(g.callerLimits().BodyBytes, defaultBodyBytes) }

// limitBody sets how long the body of a request may take to arrive, before it is read. The server reads
// at most 8 KB of it ahead of the handler.
func (g *Gateway) limitBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if n := h.ContentLength(); n == 0 || n < 0 && !isChunked(h) {
		return fasthttp.RequestConfig{}
	}
	limit := maxBodyTime
	if t := g.table.Load(); t != nil {
		path, _, _ := strings.Cut(string(h.RequestURI()), "?")
		if route := t.Resolve(string(h.Host()), path); route != nil {
			limit = min(limit, route.Timeout)
		}
	}
	if timeout := g.dialect.CallerTimeout(h); timeout > 0 {
		limit = min(limit, timeout)
	}
	return fasthttp.RequestConfig{ReadTimeout: limit}
}

// isChunked reports whether a request has a body of unknown length.
func isChunked(h *fasthttp.RequestHeader) bool {
	const chunked = -1 // as fasthttp reports it
	return h.ContentLength() == chunked
}

// readBody reads the body of a request. The memory of the returned buffer is reserved as the bytes
// arrive, whatever size was announced; it must be freed also after a refusal. The header then states
// the length of the body.
func (g *Gateway) readBody(ctx *fasthttp.RequestCtx) (*overload.Buffer, *api.Refusal) {
	announced := ctx.Request.Header.ContentLength()
	body := overload.NewBufferFor(g.memory, max(announced, 0))
	stream := ctx.RequestBodyStream()
	if stream == nil || announced == 0 {
		return body, nil
	}
	limit := g.bodyLimit()
	n, err := body.ReadFrom(io.LimitReader(stream, int64(limit)+1))
	switch {
	case errors.Is(err, overload.ErrNoMemory):
		return body, memoryRefusal()
	case err != nil:
		return body, readErrorRefusal(err)
	case int(n) > limit:
		return body, bodyTooLargeRefusal()
	case announced >= 0 && int(n) != announced:
		return body, badRequest("the request is malformed")
	}
	ctx.Request.Header.SetContentLength(int(n))
	return body, nil
}

// discardBody reads what is left of the body of a refused request, and reports whether it has read all.
// If not, the connection must be closed after the refusal: the bytes that follow must not be taken for a
// request. Under overload it costs less to read what has arrived than to close the connection.
func (g *Gateway) discardBody(ctx *fasthttp.RequestCtx, conn *callerconn.Conn) bool {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return true
	}
	if ctx.Request.Header.ContentLength() > maxDiscardedBody {
		return false
	}
	conn.LimitBody(discardTime)
	n, err := io.CopyN(io.Discard, stream, maxDiscardedBody+1)
	return err == io.EOF && n <= maxDiscardedBody
}
