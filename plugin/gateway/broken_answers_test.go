package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"nutmegrouter/platform/standin"
)

// malformedHeads are signed heads of responses to a request, each with one fault. ID stands for the
// request's id. All have the body "ok".
var malformedHeads = map[string]string{
	"status 000":              "HTTP/1.1 000 OK\r\nIDContent-Length: 2",
	"status 000, not run":     "HTTP/1.1 000 OK\r\n" + standin.HeaderNotRun + ": 1\r\nIDContent-Length: 2",
	"status 000, no length":   "HTTP/1.1 000 OK\r\nIDX-Other: 1",
	"status 999":              "HTTP/1.1 999 X\r\nIDContent-Length: 2",
	"interim with status 000": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: 2",
}

// Guards against a response with a malformed head that reaches a caller, as a response, as an event
// stream or as a statement that the request has not run; and against a retry that the route does not
// allow.
func TestMalformedHeads(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			bad := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
				id := attemptID(r)
				write(c, strings.Replace(head, "ID", standin.HeaderAttempt+": "+id+"\r\n"+standin.HeaderStamp+": stamp-"+id+"\r\n", 1)+"\r\n\r\nok")
				c.Close()
			})
			good := newTarget(t, "t2", func(c net.Conn, r *http.Request, _ int) {
				if strings.HasPrefix(r.URL.Path, "/draft") {
					write(c, streamHeader(attemptID(r))+chunk(events(1, 2))+endChunk)
					return
				}
				write(c, fullResponse(200, attemptID(r), "good"))
			})
			r := newRig(t, bad, good).configure(1)
			c := r.dial()
			c.send(request("GET", "/look/1", "id1", ""))
			c.want(200, "good") // retried on the other target
			c.send(request("POST", "/draft/1", "id2", "x"))
			c.want(200, events(1, 2)) // before its first event
			for i, path := range []string{"/twice/1", "/chat/1"} {
				c.send(request("POST", path, fmt.Sprint("id", 3+i), "x"))
				resp := c.want(502, "*")
				r.is.Equal(resp.Header.Get(standin.HeaderStamp), "")
			}
			n, _ := good.count()
			r.is.Equal(n, 2) // requests that may have run are not retried
			r.is.Equal(strings.Count(r.waitOutcomes(6), "broken"), 4)
			r.is.Equal(strings.Count(r.logs.String(), "malformed response head"), 4)
		})
	}
}
