package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/callerconn"
	"nutmegrouter/internal/kernel"
)

// Codes of refusals that this plug-in makes. They are stable words for callers.
const (
	codeBadRequest   = "bad_request"
	codeUnauthorized = "unauthorized"
	codeUnknownPool  = "unknown_pool"
	codeUnknownPath  = "unknown_path"
	codeUnknownModel = "unknown_model"
	codeMethod       = "method_not_allowed"
	codeTooLarge     = "body_too_large"
	codeHeadLarge    = "head_too_large"
	codeTimeout      = "request_timeout"
	codeNotReady     = "not_ready"
	codeAnswerLarge  = "answer_too_large"
	codeBodiesFull   = "bodies_full"
	codeInternal     = "internal_error"
)

// refuse makes a refusal of a request that was not passed on.
func refuse(status int, code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, Status: status, Run: api.NotRun, Step: "entry"}
}

func badRequest(message string) *api.Refusal {
	return refuse(fasthttp.StatusBadRequest, codeBadRequest, message)
}

func notReady() *api.Refusal {
	r := refuse(fasthttp.StatusServiceUnavailable, codeNotReady, "this instance has no configuration yet")
	r.RetryAfter = time.Second
	return r
}

// asRefusal makes a refusal of any error. An error without a type says nothing
// about whether the request was run.
func asRefusal(err error) *api.Refusal {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r
	}
	r = refuse(fasthttp.StatusInternalServerError, codeInternal, err.Error())
	r.Run = api.RunUnknown
	return r
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         string       `json:"code"`
	Message      string       `json:"message"`
	Run          api.RunState `json:"run"`
	RetryAfterMs int64        `json:"retry_after_ms"`
	RequestID    string       `json:"request_id"`
	Step         string       `json:"step"`
	Peer         string       `json:"peer"`
}

func refusalBody(r *api.Refusal, id string) []byte {
	b, err := json.Marshal(errorBody{errorFields{
		Code: r.Code, Message: r.Message, Run: r.Run, RetryAfterMs: r.RetryAfter.Milliseconds(),
		RequestID: id, Step: r.Step, Peer: r.Peer,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal_error","run":"unknown"}}`)
	}
	return b
}

// writeRefusal answers with a refusal.
func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, r *api.Refusal, id string) {
	s.stats.refusal(r.Code)
	h := &ctx.Response.Header
	status := r.Status
	if status < 400 || status > 599 {
		status = fasthttp.StatusInternalServerError
	}
	ctx.Response.SetStatusCode(status)
	h.SetContentType("application/json")
	h.Set("X-Run", string(r.Run))
	h.Set("X-Served-By", s.instance)
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if status == fasthttp.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	ctx.Response.SetBody(refusalBody(r, id))
}

// handleMalformed answers a request that fasthttp could not read. The rest of
// the request is discarded for a moment so that the caller gets the refusal.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	r := badRequest("the request is malformed")
	switch callerconn.ReadFaultOf(err) {
	case callerconn.BodyTooLarge:
		r = s.tooLarge(&ctx.Request.Header)
	case callerconn.HeadTooLarge:
		r = refuse(fasthttp.StatusRequestHeaderFieldsTooLarge, codeHeadLarge,
			"the head exceeds "+strconv.Itoa(headerBuffer)+" bytes")
	case callerconn.TimedOut:
		r = refuse(fasthttp.StatusRequestTimeout, codeTimeout, "the request did not arrive in time")
	}
	if c, ok := ctx.Conn().(*callerconn.Conn); ok {
		c.LingerOnClose()
	}
	id := string(ctx.Request.Header.Peek(headerID))
	if !visible(id, maxRequestID) {
		id = kernel.NewID()
	}
	s.writeRefusal(ctx, r, id)
}

// tooLarge refuses a body that was not read. Without a valid key no body is
// read, so the reason may be the key.
func (s *Server) tooLarge(h *fasthttp.RequestHeader) *api.Refusal {
	routes := s.current()
	if routes == nil {
		return notReady()
	}
	// fasthttp clears the head after an overlong chunked body.
	if _, r := authorize(routes, h); r != nil && len(h.Host()) > 0 {
		return r
	}
	return refuse(fasthttp.StatusRequestEntityTooLarge, codeTooLarge,
		"the body exceeds "+strconv.Itoa(s.maxBody)+" bytes")
}

// admitBody bounds the body before it is read. A caller without a valid key
// must not fill the memory.
func (s *Server) admitBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if routes := s.current(); routes != nil {
		if _, r := authorize(routes, h); r == nil {
			return fasthttp.RequestConfig{}
		}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: 1}
}
