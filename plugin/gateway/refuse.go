package gateway

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/callerconn"
)

// Codes of refusals that this plug-in makes. They are stable words for callers.
const (
	codeBadRequest   = "bad_request"
	codeUnauthorized = "unauthorized"
	codeNoRoute      = "no_route"
	codeTooLarge     = "body_too_large"
	codeHeadLarge    = "head_too_large"
	codeTimeout      = "request_timeout"
	codeNotReady     = "not_ready"
	codeMemoryFull   = "memory_full"
	codeBusy         = "instance_busy"
	codeStopping     = "stopping"
	codeInternal     = "internal_error"
)

// statusGone is the status of requests whose caller went away; nobody reads it.
const statusGone = 499

// comeBack is the advice to callers of an instance that is not ready or has no
// memory left.
const comeBack = 300 * time.Millisecond

// refuse makes a refusal of a request that was not passed on.
func refuse(status int, code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, Status: status, Run: api.NotRun, Step: "admit"}
}

func badRequest(message string) *api.Refusal {
	return refuse(fasthttp.StatusBadRequest, codeBadRequest, message)
}

func notReady(message string) *api.Refusal {
	r := refuse(fasthttp.StatusServiceUnavailable, codeNotReady, message)
	r.RetryAfter = comeBack
	return r
}

// asRefusal makes a refusal of any error. An error without a type says nothing
// about whether the request was run.
func asRefusal(err error) *api.Refusal {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r
	}
	r = refuse(fasthttp.StatusBadGateway, codeInternal, "internal error")
	r.Run = api.RunUnknown
	return r
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    string       `json:"code"`
	Message string       `json:"message"`
	Run     api.RunState `json:"run"`
}

// refuse answers with a refusal.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, r *api.Refusal, req *api.ForwardRequest) {
	g.stats.refusal(r.Code)
	g.log.Warn("refused", append([]any{"step", r.Step, "request", req.ID, "workspace", req.Workspace, "code", r.Code, "status", r.Status,
		"run", string(r.Run), "reason", r.Message, "retry_after_ms", r.RetryAfter.Milliseconds(),
		"after_ms", (g.clock.Now() - req.Arrived).Milliseconds()}, r.Inputs...)...)
	body, err := json.Marshal(refusalBody{r.Code, r.Message, r.Run})
	if err != nil {
		body = []byte(`{"code":"internal_error"}`) // strings always encode
	}
	ctx.Response.Reset()
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(r.Status)
	ctx.Response.Header.SetContentType("application/json")
	g.dialect.Refuse(&ctx.Response.Header, req.ID, r.RetryAfter)
	ctx.Response.SetBody(body)
}

// handleMalformed answers a request that fasthttp could not read. The rest of the
// request is discarded for a moment so that the caller gets the refusal.
func (g *Gateway) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	r := badRequest("the request is malformed")
	switch callerconn.ReadFaultOf(err) {
	case callerconn.BodyTooLarge:
		r = refuse(fasthttp.StatusRequestEntityTooLarge, codeTooLarge, "the body exceeds the limit")
	case callerconn.HeadTooLarge:
		r = refuse(fasthttp.StatusRequestHeaderFieldsTooLarge, codeHeadLarge, "the head exceeds the limit")
	case callerconn.TimedOut:
		r = refuse(fasthttp.StatusRequestTimeout, codeTimeout, "the request did not arrive in time")
	}
	if c, ok := ctx.Conn().(*callerconn.Conn); ok {
		c.LingerOnClose()
	}
	g.refuse(ctx, r, &api.ForwardRequest{Arrived: g.clock.Now()})
}

// headReceived bounds the body before it is read.
func (g *Gateway) headReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: orDefault(g.limits().BodyBytes, defaultBody) + 1}
}
