package dispatch

import (
	"strings"

	"nutmegrouter/internal/api"
)

// internalHeaders are headers of a target's answer that callers do not get:
// those of one connection, and those between router and target.
var internalHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Server": true,
	"X-Stream-Id": true, "X-Target-State": true, "X-Target-Boot": true,
	// Only the router sets these; a target must not make a claim in its name.
	"X-Run": true, "X-Served-By": true, "X-Target": true, "X-Request-Id": true,
}

// answerHead copies the head of the target's answer.
func (c *call) answerHead(s *slot, x *exchange, length int64) api.AnswerHead {
	h := api.AnswerHead{
		Status: x.resp.StatusCode(), Target: s.grant.Target, Length: length,
		Header: make(map[string]string, 8),
	}
	dropped := connectionNames(string(x.resp.Header.Peek("Connection")))
	for k, v := range x.resp.Header.All() {
		name := string(k)
		if !validName(name) || internalHeaders[name] || dropped[strings.ToLower(name)] {
			continue
		}
		if _, ok := h.Header[name]; ok {
			h.Extra = append(h.Extra, [2]string{name, string(v)})
			continue
		}
		h.Header[name] = string(v)
	}
	return h
}

// connectionNames returns the lower-case header names listed in a Connection
// header; they apply to one connection only.
func connectionNames(v string) map[string]bool {
	if v == "" {
		return nil
	}
	out := map[string]bool{}
	for _, name := range strings.Split(v, ",") {
		out[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return out
}

// validName refuses header names with spaces and control characters, which
// fasthttp accepts from a target.
func validName(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == ':' {
			return false
		}
	}
	return s != ""
}
