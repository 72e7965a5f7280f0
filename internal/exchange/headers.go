package exchange

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripRequest removes the headers of a request that concern one connection.
func StripRequest(h *fasthttp.RequestHeader) {
	for name := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// StripAnswer removes the headers of an answer that concern one connection.
func StripAnswer(h *fasthttp.ResponseHeader) {
	for name := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, "close") {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
