package exchange

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopHeaders are the hop-by-hop headers, which a proxy must not pass on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripRequest removes the hop-by-hop headers of a request and those that its Connection
// header lists.
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

// StripResponse removes the hop-by-hop headers of a response and those that its
// Connection header lists.
func StripResponse(h *fasthttp.ResponseHeader) {
	for name := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, "close") {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
