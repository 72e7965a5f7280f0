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

// Bounds of header values.
const (
	maxRequestID = 128 // bytes
	maxKey       = 255 // bytes
	maxDeadline  = 24 * time.Hour
)

// Headers of the caller interface.
const (
	headerID            = "X-Request-Id"
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "X-Non-Idempotent"
	headerCost          = "X-Cost-Hint"
	headerClass         = "X-Cost-Class"
	headerDeadline      = "X-Deadline-Ms"
)

// single lists headers that the router reads. A second value would make their
// meaning depend on who reads them, so it is refused.
var single = []string{
	"Authorization", "Host", "Content-Length", "Content-Type", headerID, headerKey, headerNonIdempotent,
	headerCost, headerClass, headerDeadline,
}

// consumed are headers that do not go to the target: those of one connection,
// those meant for the router, and those between router and target, with which a
// caller could reach the stream of another one.
var consumed = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Host": true, "Content-Length": true, "Authorization": true,
	headerNonIdempotent: true, headerCost: true, headerClass: true, headerDeadline: true,
	"X-Resume-Id": true, "Last-Event-Id": true, "X-Stream-Id": true,
	"X-Target-State": true, "X-Target-Boot": true,
}

// parse checks a request and makes the record for the dispatcher. The body is
// not copied: it is valid until the answer has been written.
func (s *Server) parse(ctx *fasthttp.RequestCtx) (*api.Request, *api.Refusal) {
	h := &ctx.Request.Header
	r := &api.Request{ID: kernel.NewID()}
	if id := string(h.Peek(headerID)); id != "" {
		if !visible(id, maxRequestID) {
			return r, badRequest(headerID + " must be 1 to 128 visible ASCII characters")
		}
		r.ID = id
	}
	if refusal := checkHead(h); refusal != nil {
		return r, refusal
	}
	routes := s.current()
	if routes == nil {
		return r, notReady()
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
	r.Header = forwarded(h, r.ID)
	return r, nil
}

// checkHead refuses what two readers could understand differently.
func checkHead(h *fasthttp.RequestHeader) *api.Refusal {
	for _, name := range single {
		if len(h.PeekAll(name)) > 1 {
			return badRequest("header " + name + " is given more than once")
		}
	}
	if len(h.Host()) == 0 {
		return badRequest("header Host is missing")
	}
	for k, v := range h.All() {
		if !token(string(k)) {
			return badRequest("a header name has an invalid character")
		}
		if !fieldValue(string(v)) {
			return badRequest("header " + string(k) + " has an invalid character")
		}
	}
	return checkBody(h)
}

func checkBody(h *fasthttp.RequestHeader) *api.Refusal {
	if raw := h.RawHeaders(); named(raw, "Transfer-Encoding") && named(raw, "Content-Length") {
		return badRequest("the body has both a length and chunks")
	}
	switch string(h.Method()) {
	case fasthttp.MethodGet, fasthttp.MethodHead:
		if n := h.ContentLength(); n > 0 || n == -1 {
			return badRequest("a GET or HEAD request must not have a body")
		}
	case fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch, fasthttp.MethodDelete, fasthttp.MethodOptions:
	default:
		return refuse(fasthttp.StatusMethodNotAllowed, codeMethod, "method is not supported")
	}
	return nil
}

// named reports whether raw headers have a header. fasthttp drops the length
// of a chunked body, but a proxy in front may have used it.
func named(raw []byte, header string) bool {
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		name, _, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(name, []byte(header)) {
			return true
		}
	}
	return false
}

func authorize(routes *routes, h *fasthttp.RequestHeader) (string, *api.Refusal) {
	scheme, key, _ := strings.Cut(string(h.Peek("Authorization")), " ")
	if strings.EqualFold(scheme, "Bearer") {
		if name, ok := routes.workspace(strings.TrimSpace(key)); ok {
			return name, nil
		}
	}
	return "", refuse(fasthttp.StatusUnauthorized, codeUnauthorized, "the bearer key is missing or wrong")
}

// parseHints reads cost and deadline.
func parseHints(r *api.Request, h *fasthttp.RequestHeader) *api.Refusal {
	if v := string(h.Peek(headerCost)); v != "" {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n > 0) || math.IsInf(n, 0) {
			return badRequest(headerCost + " must be a positive number")
		}
		r.Hint = n
	}
	switch c := api.CostClass(h.Peek(headerClass)); c {
	case api.ClassUnknown, api.ClassLong, api.ClassQuick, api.ClassLabel:
		r.Class = c
	default:
		return badRequest(headerClass + " must be long, quick or label")
	}
	if v := string(h.Peek(headerDeadline)); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 1 || n > maxDeadline.Milliseconds() {
			return badRequest(headerDeadline + " must be a number of milliseconds of at most one day")
		}
		r.Deadline = time.Duration(n) * time.Millisecond
	}
	return nil
}

// parseIdempotency decides whether the request may be sent more than once.
func parseIdempotency(r *api.Request, h *fasthttp.RequestHeader, p fleetconfig.Pool) *api.Refusal {
	r.Key = string(h.Peek(headerKey))
	if r.Key != "" && !visible(r.Key, maxKey) {
		return badRequest(headerKey + " must be 1 to 255 visible ASCII characters")
	}
	changes := r.Method == fasthttp.MethodPost || r.Method == fasthttp.MethodPatch
	switch strings.ToLower(string(h.Peek(headerNonIdempotent))) {
	case "true":
		r.NonIdempotent = changes || r.Method == fasthttp.MethodPut || r.Method == fasthttp.MethodDelete
	case "", "false":
		r.NonIdempotent = changes && p.Kind != fleetconfig.KindEngine && !p.Idempotent
	default:
		return badRequest(headerNonIdempotent + " must be true or false")
	}
	return nil
}

// forwarded returns the headers that go to the target. Repeated ones are joined.
func forwarded(h *fasthttp.RequestHeader, id string) map[string]string {
	out := make(map[string]string, 8)
	listed := string(h.Peek("Connection"))
	for k, v := range h.All() {
		name := string(k)
		if consumed[name] || (listed != "" && listedIn(listed, name)) {
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

// separator returns what joins the values of a repeated header.
func separator(name string) string {
	if name == "Cookie" {
		return "; "
	}
	return ", "
}

// listedIn reports whether a Connection header names another header, which then
// applies to this connection only.
func listedIn(connection, name string) bool {
	for _, v := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(v), name) {
			return true
		}
	}
	return false
}

// visible reports whether a value has 1 to limit visible ASCII characters.
func visible(s string, limit int) bool {
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

// token reports whether a header name is valid.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		b := s[i]
		alnum := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !alnum && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return s != ""
}

// fieldValue reports whether a header value has no control characters.
func fieldValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if (s[i] < ' ' && s[i] != '\t') || s[i] == 0x7f {
			return false
		}
	}
	return true
}
