package gateway

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// single lists headers whose second value would make a request mean different
// things to different readers.
var single = []string{"Host", "Content-Length", "Transfer-Encoding", "Authorization"}

// checkHead refuses a head that two readers could understand differently, or that
// exceeds the limits.
func checkHead(h *fasthttp.RequestHeader, limits routing.CallerLimits) *api.Refusal {
	raw := h.RawHeaders()
	if len(raw) > orDefault(limits.HeaderBytes, defaultHeads) {
		return refuse(fasthttp.StatusRequestHeaderFieldsTooLarge, codeHeadLarge, "the head exceeds the limit")
	}
	if !wellFormed(raw) {
		return badRequest("a header line is malformed")
	}
	for _, name := range single {
		if countNamed(raw, name) > 1 {
			return badRequest("header " + name + " is given more than once")
		}
	}
	if len(h.Host()) == 0 {
		return badRequest("header Host is missing")
	}
	if uri := h.RequestURI(); len(uri) == 0 || uri[0] != '/' || !visible(uri) {
		return badRequest("the request target must be a path")
	}
	if countNamed(raw, "Transfer-Encoding") > 0 && countNamed(raw, "Content-Length") > 0 {
		return badRequest("the body has both a length and chunks")
	}
	return nil
}

// wellFormed reports whether each line ends in CRLF, has a name of token
// characters directly before its colon, and holds no control characters.
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
		if !ok || !token(name) || !fieldValue(value) {
			return false
		}
	}
	return true
}

// countNamed counts the lines of a header. fasthttp joins or drops some.
func countNamed(raw []byte, name string) int {
	n := 0
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		if have, _, ok := bytes.Cut(line, []byte{':'}); ok && bytes.EqualFold(have, []byte(name)) {
			n++
		}
	}
	return n
}

func token(name []byte) bool {
	for _, b := range name {
		alnum := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !alnum && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

func fieldValue(v []byte) bool {
	for _, b := range v {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}

func visible(v []byte) bool {
	for _, b := range v {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return true
}
