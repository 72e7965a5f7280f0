package gateway

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// singleValueHeaders must not be repeated: readers of a request differ in which of
// several values they use, which allows request smuggling.
var singleValueHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Authorization"}

// checkHeader returns a refusal if the request header is ambiguous, malformed or exceeds
// the configured size, or nil.
func checkHeader(h *fasthttp.RequestHeader, limits routing.CallerLimits) *api.Refusal {
	raw := h.RawHeaders()
	if len(raw) > orDefault(limits.HeaderBytes, defaultHeaderBytes) {
		return newRefusal(fasthttp.StatusRequestHeaderFieldsTooLarge, codeHeadTooLarge, "the head exceeds the limit")
	}
	if !wellFormed(raw) {
		return badRequest("a header line is malformed")
	}
	for _, name := range singleValueHeaders {
		if countHeader(raw, name) > 1 {
			return badRequest("header " + name + " is given more than once")
		}
	}
	if len(h.Host()) == 0 {
		return badRequest("header Host is missing")
	}
	if uri := h.RequestURI(); len(uri) == 0 || uri[0] != '/' || !isVisible(uri) {
		return badRequest("the request target must be a path")
	}
	if countHeader(raw, "Transfer-Encoding") > 0 && countHeader(raw, "Content-Length") > 0 {
		return badRequest("the body has both a length and chunks")
	}
	return nil
}

// wellFormed reports whether each header line ends in CRLF, starts with a name of token
// characters directly followed by a colon, and has no control characters.
func wellFormed(raw []byte) bool {
	for len(raw) > 0 {
		line, rest, ok := bytes.Cut(raw, []byte{'\n'})
		raw = rest
		line, cr := bytes.CutSuffix(line, []byte{'\r'})
		if ok && !cr {
			return false
		}
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || !isToken(name) || !isFieldValue(value) {
			return false
		}
	}
	return true
}

// countHeader returns the number of lines with a header name. It reads the raw header,
// because fasthttp joins or drops some repeated lines.
func countHeader(raw []byte, name string) int {
	n := 0
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		if field, _, ok := bytes.Cut(line, []byte{':'}); ok && bytes.EqualFold(field, []byte(name)) {
			n++
		}
	}
	return n
}

// isToken reports whether a header name is an RFC 9110 token.
func isToken(name []byte) bool {
	for _, b := range name {
		alnum := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !alnum && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether a header value has no control characters except tab.
func isFieldValue(v []byte) bool {
	for _, b := range v {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}

// isVisible reports whether a value has no spaces and no control characters.
func isVisible(v []byte) bool {
	for _, b := range v {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return true
}
