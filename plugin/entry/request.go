package entry

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
)

// Limits of header values.
const (
	maxRequestID      = 128 // bytes
	maxIdempotencyKey = 255 // bytes
	maxDeadline       = 24 * time.Hour
)

// Headers of the caller interface.
const (
	headerID             = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerNonIdempotent  = "X-Non-Idempotent"
	headerCostHint       = "X-Cost-Hint"
	headerCostClass      = "X-Cost-Class"
	headerDeadline       = "X-Deadline-Ms"
)

// singleValueHeaders must not be repeated: readers of a request differ in which of
// several values they use, which allows request smuggling.
var singleValueHeaders = []string{
	"Authorization", "Host", "Content-Length", "Content-Type", headerID, headerIdempotencyKey, headerNonIdempotent,
	headerCostHint, headerCostClass, headerDeadline,
}

// droppedHeaders are not forwarded to the target: hop-by-hop headers, those meant for the
// router, and those between router and target, with which a caller could reach another
// caller's stream.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Host": true, "Content-Length": true, "Authorization": true,
	headerNonIdempotent: true, headerCostHint: true, headerCostClass: true, headerDeadline: true,
	"X-Resume-Id": true, "Last-Event-Id": true, "X-Stream-Id": true,
	"X-Target-State": true, "X-Target-Boot": true,
}

// parseRequest validates a request and converts it for the dispatcher. The body is not
// copied and is valid until the response has been written. The returned request always
// has an ID, but is incomplete if there is a refusal.
func (s *Server) parseRequest(ctx *fasthttp.RequestCtx) (*api.Request, *api.Refusal) {
	h := &ctx.Request.Header
	r := &api.Request{ID: kernel.NewID()}
	if id := string(h.Peek(headerID)); id != "" {
		if !isVisible(id, maxRequestID) {
			return r, badRequest(headerID + " must be 1 to 128 visible ASCII characters")
		}
		r.ID = id
	}
	if refusal := checkHeader(h); refusal != nil {
		return r, refusal
	}
	routes := s.currentRoutes()
	if routes == nil {
		return r, notReadyRefusal()
	}
	var refusal *api.Refusal
	if r.Workspace, refusal = authorize(routes, h); refusal != nil {
		return r, refusal
	}
	r.Method, r.Body = string(h.Method()), ctx.Request.Body()
	if refusal := routes.route(r, string(h.RequestURI())); refusal != nil {
		return r, refusal
	}
	if refusal := parseHints(r, h); refusal != nil {
		return r, refusal
	}
	if refusal := parseIdempotency(r, h, routes.pools[r.Pool]); refusal != nil {
		return r, refusal
	}
	r.Header = forwardedHeaders(h, r.ID)
	return r, nil
}

// checkHeader returns a refusal if the request header is ambiguous or malformed, or nil.
func checkHeader(h *fasthttp.RequestHeader) *api.Refusal {
	for _, name := range singleValueHeaders {
		if len(h.PeekAll(name)) > 1 {
			return badRequest("header " + name + " is given more than once")
		}
	}
	if len(h.Host()) == 0 {
		return badRequest("header Host is missing")
	}
	for k, v := range h.All() {
		if !isToken(string(k)) {
			return badRequest("a header name has an invalid character")
		}
		if !isFieldValue(string(v)) {
			return badRequest("header " + string(k) + " has an invalid character")
		}
	}
	return checkBody(h)
}

// checkBody returns a refusal if the framing of the body is ambiguous, or if the method is
// not supported or must not have a body, or nil.
func checkBody(h *fasthttp.RequestHeader) *api.Refusal {
	if raw := h.RawHeaders(); hasHeader(raw, "Transfer-Encoding") && hasHeader(raw, "Content-Length") {
		return badRequest("the body has both a length and chunks")
	}
	switch string(h.Method()) {
	case fasthttp.MethodGet, fasthttp.MethodHead:
		if n := h.ContentLength(); n > 0 || n == -1 {
			return badRequest("a GET or HEAD request must not have a body")
		}
	case fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch, fasthttp.MethodDelete, fasthttp.MethodOptions:
	default:
		return newRefusal(fasthttp.StatusMethodNotAllowed, codeMethodNotAllowed, "method is not supported")
	}
	return nil
}

// hasHeader reports whether raw headers contain a header. fasthttp drops the length of a
// chunked body, but a proxy in front of the router may have used it.
func hasHeader(raw []byte, header string) bool {
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		name, _, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(name, []byte(header)) {
			return true
		}
	}
	return false
}

// authorize returns the workspace that owns the bearer key, or a refusal.
func authorize(routes *routes, h *fasthttp.RequestHeader) (string, *api.Refusal) {
	scheme, key, _ := strings.Cut(string(h.Peek("Authorization")), " ")
	if strings.EqualFold(scheme, "Bearer") {
		if name, ok := routes.workspace(strings.TrimSpace(key)); ok {
			return name, nil
		}
	}
	return "", newRefusal(fasthttp.StatusUnauthorized, codeUnauthorized, "the bearer key is missing or wrong")
}

// parseHints reads cost hint, cost class and deadline.
func parseHints(r *api.Request, h *fasthttp.RequestHeader) *api.Refusal {
	if v := string(h.Peek(headerCostHint)); v != "" {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n > 0) || math.IsInf(n, 0) {
			return badRequest(headerCostHint + " must be a positive number")
		}
		r.CostHint = n
	}
	switch c := api.CostClass(h.Peek(headerCostClass)); c {
	case api.ClassUnknown, api.ClassLong, api.ClassQuick, api.ClassLabel:
		r.Class = c
	default:
		return badRequest(headerCostClass + " must be long, quick or label")
	}
	if v := string(h.Peek(headerDeadline)); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 1 || n > maxDeadline.Milliseconds() {
			return badRequest(headerDeadline + " must be a number of milliseconds of at most one day")
		}
		r.ResponseTimeout = time.Duration(n) * time.Millisecond
	}
	return nil
}

// parseIdempotency reads the idempotency key and decides whether the request may be sent
// more than once.
func parseIdempotency(r *api.Request, h *fasthttp.RequestHeader, p fleetconfig.Pool) *api.Refusal {
	r.IdempotencyKey = string(h.Peek(headerIdempotencyKey))
	if r.IdempotencyKey != "" && !isVisible(r.IdempotencyKey, maxIdempotencyKey) {
		return badRequest(headerIdempotencyKey + " must be 1 to 255 visible ASCII characters")
	}
	nonIdempotentMethod := r.Method == fasthttp.MethodPost || r.Method == fasthttp.MethodPatch
	switch strings.ToLower(string(h.Peek(headerNonIdempotent))) {
	case "true":
		r.NonIdempotent = nonIdempotentMethod || r.Method == fasthttp.MethodPut || r.Method == fasthttp.MethodDelete
	case "", "false":
		r.NonIdempotent = nonIdempotentMethod && p.Kind != fleetconfig.KindEngine && !p.Idempotent
	default:
		return badRequest(headerNonIdempotent + " must be true or false")
	}
	return nil
}

// forwardedHeaders returns the headers to send to the target. Values of repeated ones are
// joined.
func forwardedHeaders(h *fasthttp.RequestHeader, id string) map[string]string {
	out := make(map[string]string, 8)
	connectionHeader := string(h.Peek("Connection"))
	for k, v := range h.All() {
		name := string(k)
		if droppedHeaders[name] || (connectionHeader != "" && isConnectionOption(connectionHeader, name)) {
			continue
		}
		if old, ok := out[name]; ok {
			out[name] = old + separator(name) + string(v)
			continue
		}
		out[name] = string(v)
	}
	out[headerID] = id
	return out
}

// separator returns the text between the joined values of a repeated header.
func separator(name string) string {
	if name == "Cookie" {
		return "; "
	}
	return ", "
}

// isConnectionOption reports whether a Connection header lists another header, which is
// then hop-by-hop.
func isConnectionOption(connection, name string) bool {
	for _, v := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(v), name) {
			return true
		}
	}
	return false
}

// isVisible reports whether a value has 1 to limit visible ASCII characters.
func isVisible(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether a header name is an RFC 9110 token.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		b := s[i]
		alnum := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !alnum && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether a header value has no control characters except tab.
func isFieldValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if (s[i] < ' ' && s[i] != '\t') || s[i] == 0x7f {
			return false
		}
	}
	return true
}
