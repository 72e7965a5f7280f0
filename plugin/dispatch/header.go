package dispatch

import (
	"strings"

	"nutmegrouter/internal/api"
)

// strippedHeaders are the headers of a target's response that are not passed to
// callers: hop-by-hop headers, headers meant for the router, and headers that the
// router sets itself.
var strippedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Server": true,
	"X-Stream-Id": true, "X-Target-State": true, "X-Target-Boot": true,
	// Only the router sets these; a target must not forge them.
	"X-Run": true, "X-Served-By": true, "X-Target": true, "X-Request-Id": true,
}

// responseHeader converts the target's response header for the caller. Repeated
// headers go to RepeatedHeaders. A length of -1 means unknown.
func (c *call) responseHeader(a *attempt, x *exchange, length int64) api.ResponseHead {
	h := api.ResponseHead{
		Status: x.resp.StatusCode(), Target: a.grant.Target, BodyBytes: length,
		Header: make(map[string]string, 8),
	}
	connectionOnly := connectionOptions(string(x.resp.Header.Peek("Connection")))
	for k, v := range x.resp.Header.All() {
		name := string(k)
		if !validHeaderName(name) || strippedHeaders[name] || connectionOnly[strings.ToLower(name)] {
			continue
		}
		if _, ok := h.Header[name]; ok {
			h.RepeatedHeaders = append(h.RepeatedHeaders, [2]string{name, string(v)})
			continue
		}
		h.Header[name] = string(v)
	}
	return h
}

// connectionOptions returns the lower-case header names listed in a Connection
// header. Those headers are hop-by-hop.
func connectionOptions(v string) map[string]bool {
	if v == "" {
		return nil
	}
	out := map[string]bool{}
	for _, name := range strings.Split(v, ",") {
		out[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return out
}

// validHeaderName rejects header names with spaces, colons, control and non-ASCII
// characters, which fasthttp accepts from a target.
func validHeaderName(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == ':' {
			return false
		}
	}
	return s != ""
}
