package dispatch

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

// malformedHeads are heads of responses, each with one fault, without the empty line at the end. All
// have the body "ok".
var malformedHeads = map[string]string{
	"status 000":               "HTTP/1.1 000 OK\r\nContent-Length: 2",
	"status 000, no length":    "HTTP/1.1 000 OK",
	"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
	"status 999":               "HTTP/1.1 999 X\r\nContent-Length: 2",
	"interim with status 000":  "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2",
	"control byte in reason":   "HTTP/1.1 200 O\x01K\r\nContent-Length: 2",
	"blank in a name":          "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2",
	"blank before the colon":   "HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: 2",
	"blank in a length's name": "HTTP/1.1 200 OK\r\nContent Length: 2",
	"blank in a coding's name": "HTTP/1.1 200 OK\r\nTransfer -Encoding: chunked",
	"interim with a blank":     "HTTP/1.1 103 X\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2",
	"continued line":           "HTTP/1.1 200 OK\r\nX-Bad: 1\r\n Content-Length: 2",
	"NUL in a name":            "HTTP/1.1 200 OK\r\nX\x00Bad: 1\r\nContent-Length: 2",
	"CR in a name":             "HTTP/1.1 200 OK\r\nX\rBad: 1\r\nContent-Length: 2",
	"0x7f in a length's name":  "HTTP/1.1 200 OK\r\nContent\x7f-Length: 2",
}

// respondMalformed returns a script that responds with a head and the body "ok".
func respondMalformed(head string) script {
	return func(w *scriptConn, _ *receivedRequest, _ int) {
		w.raw(head + "\r\n\r\nok")
		w.Close()
	}
}

// Guards against a response with a malformed head that reaches a caller, and against a retry of a
// request that may have run.
func TestMalformedHeads(t *testing.T) {
	for name, head := range malformedHeads {
		bad := respondMalformed(head)
		runFaults(t, []faultCase{
			{name: name + ", GET", method: "GET", t1Script: bad, t2Script: respondOK, body: "ok", results: "failed ok", sends: "1 1"},
			{name: name + ", GET everywhere", method: "GET", t1Script: bad, code: codeTargetFailed, run: api.RunUnknown,
				results: "failed failed failed failed", sends: "4 0"},
			{name: name + ", POST", method: "POST", t1Script: bad, t2Script: respondOK, code: codeTargetFailed, run: api.RunUnknown, results: "failed", sends: "1 0"},
			{name: name + ", stream", t1Script: bad, t2Script: streamFiveEvents, body: wholeStreamText(5), results: "failed ok", sends: "1 1"},
			{name: name + ", resume", t1Script: closesAfter(3, func(w *scriptConn, r *receivedRequest, n int) {
				if n == 2 {
					bad(w, r, n)
					return
				}
				resumes(w, r, n)
			}), body: wholeStreamText(5), results: "ok", sends: "3 0"},
		})
	}
}

// Guards against a refusal that does not say what was wrong with the response.
func TestRefusalNamesMalformedHead(t *testing.T) {
	for name, head := range malformedHeads {
		is := is.New(t)
		env := newTestEnv(t, newTarget(t, "t1", runScript(respondMalformed(head))))
		_, _, err := env.do(serviceRequest("POST"))
		var refusal *api.Refusal
		is.True(errors.As(err, &refusal))
		if !strings.Contains(refusal.Message, "malformed response head") {
			t.Errorf("%s: %q", name, refusal.Message)
		}
	}
}

// newRawTarget returns a target that reads the beginning of each request and then runs a script.
func newRawTarget(t *testing.T, script func(w *scriptConn)) *fakeTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { ln.Close() })
	f := &fakeTarget{name: "t1", addr: ln.Addr().String()}
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 100))
				script(&scriptConn{c, f})
			}()
		}
	}()
	return f
}

// Guards against a part of a body that is taken for the whole one: the target responds without a
// length while the request is still being written, and resets the connection.
func TestResetDuringUpload(t *testing.T) {
	for name, head := range map[string]string{
		"body": "HTTP/1.1 200 OK\r\n\r\n", "error": "HTTP/1.1 400 X\r\n\r\n", "JSON": "HTTP/1.1 400 X\r\nContent-Type: application/json\r\n\r\n",
	} {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				target := newRawTarget(t, func(w *scriptConn) {
					w.raw(head + strings.Repeat("x", 2000))
					time.Sleep(30 * time.Millisecond)
					w.reset()
				})
				env := newTestEnv(t, target)
				req := serviceRequest(method)
				req.Body = make([]byte, 32<<20)
				body, _, err := env.do(req)
				if err == nil {
					t.Fatalf("a complete response of %d bytes", len(body))
				}
			})
		}
	}
}

// Guards against what TestResetDuringUpload leaves out: uploads that fit the buffers of a connection, no body or a long one
// before the reset, a reset at once, and HTTP/1.0.
func TestOtherResetsDuringUpload(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 400 X\r\nContent-Type: application/json\r\n\r\n"} {
		for _, upload := range []int{10_000, 300_000, 32 << 20} {
			for _, part := range []int{0, 1, 200_000} {
				for _, delay := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
					t.Run(fmt.Sprintf("%q %d bytes %d of the body after %v", head, upload, part, delay), func(t *testing.T) {
						target := newRawTarget(t, func(w *scriptConn) {
							w.raw(head + strings.Repeat("x", part))
							time.Sleep(delay)
							w.reset()
						})
						env := newTestEnv(t, target)
						req := serviceRequest("POST")
						req.Body = make([]byte, upload)
						if body, _, err := env.do(req); err == nil {
							t.Fatalf("a complete response of %d bytes", len(body))
						}
					})
				}
			}
		}
	}
}
