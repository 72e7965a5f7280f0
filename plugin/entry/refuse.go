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

// Refusal codes of this plug-in. They are part of the API for callers.
const (
	codeBadRequest       = "bad_request"
	codeUnauthorized     = "unauthorized"
	codeUnknownPool      = "unknown_pool"
	codeUnknownPath      = "unknown_path"
	codeUnknownModel     = "unknown_model"
	codeMethodNotAllowed = "method_not_allowed"
	codeBodyTooLarge     = "body_too_large"
	codeHeadTooLarge     = "head_too_large"
	codeRequestTimeout   = "request_timeout"
	codeNotReady         = "not_ready"
	codeResponseTooLarge = "answer_too_large"
	codeBodiesFull       = "bodies_full"
	codeInternal         = "internal_error"
)

// newRefusal returns the refusal of a request that was not sent to a target.
func newRefusal(status int, code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, Status: status, Run: api.NotRun, Step: "entry"}
}

func badRequest(message string) *api.Refusal {
	return newRefusal(fasthttp.StatusBadRequest, codeBadRequest, message)
}

func notReadyRefusal() *api.Refusal {
	r := newRefusal(fasthttp.StatusServiceUnavailable, codeNotReady, "this instance has no configuration yet")
	r.RetryAfter = time.Second
	return r
}

// asRefusal returns the refusal in an error's chain. Any other error becomes an internal
// error with an unknown run state, because a target may have executed the request.
func asRefusal(err error) *api.Refusal {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r
	}
	r = newRefusal(fasthttp.StatusInternalServerError, codeInternal, err.Error())
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

// refusalBody returns the JSON body of a refusal.
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

// writeRefusal counts a refusal and writes it as the response.
func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, r *api.Refusal, id string) {
	s.stats.countRefusal(r.Code)
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

// handleMalformed refuses a request that fasthttp could not read. The connection lingers
// and discards the rest of the request: closing it with unread bytes would reset it, and
// the caller would lose the refusal.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	r := badRequest("the request is malformed")
	switch callerconn.ClassifyReadError(err) {
	case callerconn.BodyTooLarge:
		r = s.bodyRefusal(&ctx.Request.Header)
	case callerconn.HeaderTooLarge:
		r = newRefusal(fasthttp.StatusRequestHeaderFieldsTooLarge, codeHeadTooLarge,
			"the head exceeds "+strconv.Itoa(headerBuffer)+" bytes")
	case callerconn.TimedOut:
		r = newRefusal(fasthttp.StatusRequestTimeout, codeRequestTimeout, "the request did not arrive in time")
	}
	if c, ok := ctx.Conn().(*callerconn.Conn); ok {
		c.LingerOnClose()
	}
	id := string(ctx.Request.Header.Peek(headerID))
	if !isVisible(id, maxRequestID) {
		id = kernel.NewID()
	}
	s.writeRefusal(ctx, r, id)
}

// bodyRefusal returns the refusal of a request whose body exceeded the limit. Without a
// valid key limitBody lets no body be read, so the reason may be the key.
func (s *Server) bodyRefusal(h *fasthttp.RequestHeader) *api.Refusal {
	routes := s.currentRoutes()
	if routes == nil {
		return notReadyRefusal()
	}
	// fasthttp clears the request header after a chunked body above the limit, so the key
	// can only be checked if a Host is left.
	if _, r := authorize(routes, h); r != nil && len(h.Host()) > 0 {
		return r
	}
	return newRefusal(fasthttp.StatusRequestEntityTooLarge, codeBodyTooLarge,
		"the body exceeds "+strconv.Itoa(s.maxBodyBytes)+" bytes")
}

// limitBody sets the maximum size of a request's body before the body is read. Without a
// valid key it is 1 byte, so that unauthenticated callers cannot fill the memory.
func (s *Server) limitBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if routes := s.currentRoutes(); routes != nil {
		if _, r := authorize(routes, h); r == nil {
			return fasthttp.RequestConfig{}
		}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: 1}
}
