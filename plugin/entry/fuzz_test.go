package entry

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
)

// Guards against panics on arbitrary requests, and against accepted requests
// that leave their pool, carry line breaks, or act in the router's name.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /v1/pools/svc/a?b HTTP/1.1\r\n" + auth + "X-Cost-Hint: 2\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("POST /v1/completions HTTP/1.1\r\n" + auth + "X-Resume-Id: s\r\nContent-Length: 14\r\n\r\n{\"model\":\"m1\"}"))
	f.Add([]byte("GET /v1/pools/idem//%2e%2e/x HTTP/1.0\r\n" + auth + "Connection: close, x-a\r\nX-A: 1\r\n\r\n"))
	f.Add([]byte("DELETE /v1/pools/svc HTTP/1.1\r\n" + auth + "X-Deadline-Ms: 9\r\nX-Non-Idempotent: true\r\nIdempotency-Key: k\r\n\r\n"))
	s := newServer(f, &fakeDispatcher{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var ctx fasthttp.RequestCtx
		if ctx.Request.Read(bufio.NewReader(bytes.NewReader(raw))) != nil {
			return
		}
		r, refusal := s.parse(&ctx)
		if refusal != nil {
			if refusal.Run != api.NotRun || refusal.Status < 400 || r == nil || !visible(r.ID, maxRequestID) {
				t.Fatalf("bad refusal %+v", refusal)
			}
			return
		}
		if r.Workspace != "w1" || s.current().pools[r.Pool].Name == "" || !strings.HasPrefix(r.Path, "/") {
			t.Fatalf("accepted %+v", r)
		}
		if r.Pool == "llm" && !strings.HasPrefix(r.Path, "/v1/c") {
			t.Fatalf("path %q reaches an engine", r.Path)
		}
		for k, v := range r.Header {
			if consumed[k] || strings.ContainsAny(k+v+r.Path, "\r\n\x00") {
				t.Fatalf("passed on: %q: %q", k, v)
			}
		}
	})
}
