package gateway

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/callerconn"
)

// Refusal codes of this plug-in. They are part of the API for callers.
const (
	codeBadRequest     = "bad_request"
	codeUnauthorized   = "unauthorized"
	codeNoRoute        = "no_route"
	codeBodyTooLarge   = "body_too_large"
	codeHeadTooLarge   = "head_too_large"
	codeRequestTimeout = "request_timeout"
	codeNotReady       = "not_ready"
	codeMemoryFull     = "memory_full"
	codeBusy           = "instance_busy"
	codeStopping       = "stopping"
	codeInternal       = "internal_error"
)

// statusClientClosedRequest is the status set after the caller has disconnected; nobody
// receives it.
const statusClientClosedRequest = 499

// retryAfterDefault is the Retry-After of an instance that has no configuration yet or no
// memory left.
const retryAfterDefault = 300 * time.Millisecond

// newRefusal returns the refusal of a request that was not sent to a target.
func newRefusal(status int, code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, Status: status, Run: api.NotRun, Step: "admit"}
}

func badRequest(message string) *api.Refusal {
	return newRefusal(fasthttp.StatusBadRequest, codeBadRequest, message)
}

func notReadyRefusal(message string) *api.Refusal {
	r := newRefusal(fasthttp.StatusServiceUnavailable, codeNotReady, message)
	r.RetryAfter = retryAfterDefault
	return r
}

// stoppingRefusal returns the refusal of a planned stop. The caller's retry reaches another instance.
func stoppingRefusal() *api.Refusal {
	r := newRefusal(fasthttp.StatusServiceUnavailable, codeStopping, "the instance stops")
	r.RetryAfter = retryAfterOtherInstance
	return r
}

// asRefusal returns the refusal in an error's chain. Any other error becomes an internal
// error with an unknown run state, because a target may have executed the request.
func asRefusal(err error) *api.Refusal {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r
	}
	r = newRefusal(fasthttp.StatusBadGateway, codeInternal, "internal error")
	r.Run = api.RunUnknown
	return r
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    string       `json:"code"`
	Message string       `json:"message"`
	Run     api.RunState `json:"run"`
}

// writeRefusal logs and counts a refusal and writes it as the response.
func (g *Gateway) writeRefusal(ctx *fasthttp.RequestCtx, r *api.Refusal, req *api.ForwardRequest) {
	g.stats.countRefusal(r.Code)
	g.log.Warn("refused", append([]any{"step", r.Step, "request", req.ID, "workspace", req.Workspace, "code", r.Code, "status", r.Status,
		"run", string(r.Run), "reason", r.Message, "retry_after_ms", r.RetryAfter.Milliseconds(),
		"after_ms", (g.clock.Now() - req.ReceivedAt).Milliseconds()}, r.LogAttrs...)...)
	body, err := json.Marshal(refusalBody{r.Code, r.Message, r.Run})
	if err != nil {
		body = []byte(`{"code":"internal_error"}`) // not reached: strings can always be encoded
	}
	closing := ctx.Response.ConnectionClose()
	ctx.Response.Reset()
	if closing {
		ctx.SetConnectionClose()
	}
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(r.Status)
	ctx.Response.Header.SetContentType("application/json")
	g.dialect.SetRefusalHeaders(&ctx.Response.Header, req.ID, r.RetryAfter)
	ctx.Response.SetBody(body)
}

// handleMalformed refuses a request that fasthttp could not read. The connection lingers
// and discards the rest of the request: closing it with unread bytes would reset it, and
// the caller would lose the refusal.
func (g *Gateway) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*callerconn.Conn); ok {
		c.LingerOnClose()
	}
	g.writeRefusal(ctx, readErrorRefusal(err), &api.ForwardRequest{ReceivedAt: g.clock.Now()})
}

// readErrorRefusal returns the refusal of a request that could not be read.
func readErrorRefusal(err error) *api.Refusal {
	switch callerconn.ClassifyReadError(err) {
	case callerconn.BodyTooLarge:
		return bodyTooLargeRefusal()
	case callerconn.HeaderTooLarge:
		return newRefusal(fasthttp.StatusRequestHeaderFieldsTooLarge, codeHeadTooLarge, "the head exceeds the limit")
	case callerconn.TimedOut:
		return newRefusal(fasthttp.StatusRequestTimeout, codeRequestTimeout, "the request did not arrive in time")
	}
	return badRequest("the request is malformed")
}

func bodyTooLargeRefusal() *api.Refusal {
	return newRefusal(fasthttp.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body exceeds the limit")
}
