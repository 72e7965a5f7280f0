package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/platform/standin"
)

// respondWith returns a script that responds with status 200 and a body.
func respondWith(body string) func(c net.Conn, r *http.Request, n int) {
	return func(c net.Conn, r *http.Request, _ int) { write(c, fullResponse(200, attemptID(r), body)) }
}

// Guards against lost or changed requests and responses, and against headers that must not
// be forwarded.
func TestForwarding(t *testing.T) {
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		write(c, fullResponse(201, attemptID(r), "made", "Content-Type: text/odd", "X-Other: kept", "Keep-Alive: timeout=5", "Connection: keep-alive"))
	})
	r := newRig(t, x).configure(1)
	c := r.dial()
	c.send(request("POST", "/order/a%2Fb/../x?q=1&r", "id1", "body", standin.HeaderWorkspace+": forged", standin.HeaderExpect+": forged", standin.HeaderHold+": 7", "Connection: X-Gone", "X-Gone: 1", "Te: gzip", "X-Kept: 1"))
	resp := c.want(201, "made")
	r.is.Equal(resp.Header.Get(standin.HeaderStamp), "stamp-id1")
	r.is.Equal(resp.Header.Get(standin.HeaderAttempt), "id1")
	r.is.Equal(resp.Header.Get("X-Other"), "kept")
	r.is.Equal(resp.Header.Get("Content-Type"), "text/odd")
	r.is.Equal(resp.Header.Get("Keep-Alive"), "")
	forwarded := x.requests[0]
	r.is.Equal(forwarded.RequestURI, "/order/a%2Fb/../x?q=1&r")
	r.is.Equal(forwarded.Method, "POST")
	r.is.Equal(forwarded.Host, "f.example")
	r.is.Equal(x.bodies[0], "body")
	r.is.Equal(forwarded.Header.Get(standin.HeaderWorkspace), "w")
	r.is.Equal(forwarded.Header.Get(standin.HeaderExpect), "t1")
	r.is.Equal(forwarded.Header.Get("X-Kept"), "1")
	for _, removed := range []string{"Authorization", standin.HeaderHold, "X-Gone", "Te"} {
		r.is.Equal(forwarded.Header.Get(removed), "")
	}
	var left int
	_, err := fmt.Sscan(forwarded.Header.Get(standin.HeaderDeadline), &left)
	r.is.NoErr(err)
	r.is.True(left > 1000 && left <= 1500) // the route's time limit is shorter than the caller's deadline
}

// Guards against a response of an earlier request on a reused connection that is taken for
// the response to the next one.
func TestStrayResponse(t *testing.T) {
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, n int) {
		if n == 2 { // a duplicate response to the first request, before the right one
			write(c, fullResponse(200, "id1", "late")+fullResponse(200, attemptID(r), "right"))
			return
		}
		write(c, fullResponse(200, attemptID(r), "first"))
	})
	r := newRig(t, x).configure(1)
	c := r.dial()
	c.send(request("GET", "/look/1", "id1", ""))
	c.want(200, "first")
	c.send(request("GET", "/look/2", "id2", ""))
	c.want(200, "right")
	_, conns := x.count()
	r.is.Equal(conns, 1)
}

// Guards against surplus bytes after a response that are read as the next response.
func TestSurplusBytes(t *testing.T) {
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, n int) {
		write(c, fullResponse(200, attemptID(r), "ok")+fullResponse(200, "nobody", "extra"))
	})
	r := newRig(t, x).configure(1)
	c := r.dial()
	for i := range 3 {
		c.send(request("GET", "/look/1", fmt.Sprint("id", i), ""))
		c.want(200, "ok")
		time.Sleep(10 * time.Millisecond)
	}
	_, conns := x.count()
	r.is.Equal(conns, 3)
}

// Guards against forwarding a response that is truncated or not from the target, and
// against retrying a request that must not run twice.
func TestBrokenResponses(t *testing.T) {
	for name, script := range map[string]func(c net.Conn, r *http.Request, n int){
		"no stamp":      func(c net.Conn, r *http.Request, _ int) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") },
		"other id only": func(c net.Conn, r *http.Request, _ int) { write(c, fullResponse(200, "other", "no")); c.Close() },
		"truncated body": func(c net.Conn, r *http.Request, _ int) {
			write(c, responseHeader(200, attemptID(r), "Content-Length: 9")+"\r\nhalf")
			c.Close()
		},
		"truncated chunks": func(c net.Conn, r *http.Request, _ int) {
			write(c, responseHeader(200, attemptID(r), "Transfer-Encoding: chunked")+"\r\n5\r\nhal")
			c.Close()
		},
		"reset without length": func(c net.Conn, r *http.Request, _ int) {
			write(c, responseHeader(200, attemptID(r))+"\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			resetConn(c)
		},
		"not HTTP":         func(c net.Conn, r *http.Request, _ int) { write(c, "garbage\r\n\r\n"); c.Close() },
		"closed":           func(c net.Conn, r *http.Request, _ int) { c.Close() },
		"reset":            func(c net.Conn, r *http.Request, _ int) { resetConn(c) },
		"interim":          func(c net.Conn, r *http.Request, _ int) { write(c, "HTTP/1.1 102 X\r\n\r\n"); c.Close() },
		"truncated header": func(c net.Conn, r *http.Request, _ int) { write(c, "HTTP/1.1 200 OK\r\nX-Resp"); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			bad, good := newTarget(t, "t1", script), newTarget(t, "t2", respondWith("good"))
			r := newRig(t, bad, good).configure(1)
			c := r.dial()
			c.send(request("GET", "/look/1", "id1", ""))
			c.want(200, "good") // retried on the other target
			c.send(request("POST", "/twice/1", "id2", "x"))
			resp := c.want(502, "*")
			r.is.Equal(resp.Header.Get(standin.HeaderStamp), "")
			n, _ := good.count()
			r.is.Equal(n, 1) // the non-idempotent request was not retried
		})
	}
}

// Guards against a complete response without a length that is taken for a broken one.
func TestResponseWithoutLength(t *testing.T) {
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		write(c, responseHeader(200, attemptID(r))+"\r\nall of it")
		c.Close()
	})
	r := newRig(t, x).configure(1)
	c := r.dial()
	c.send(request("POST", "/order/1", "id1", "x"))
	c.want(200, "all of it")
	c.send(request("POST", "/order/1", "id2", "x")) // the caller's connection stays open
	c.want(200, "all of it")
}

// Guards against reusing a connection on which the target responded before it read the
// whole body, and against a caller that waits until the target has read it.
func TestEarlyResponse(t *testing.T) {
	for _, size := range []int{4000, 90000} {
		x := newTarget(t, "t1", func(c net.Conn, r *http.Request, n int) {
			if strings.Contains(r.URL.Path, "early") {
				write(c, "HTTP/1.1 503 X\r\n"+standin.HeaderAttempt+": "+attemptID(r)+"\r\n"+standin.HeaderNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(300 * time.Millisecond)
				_, _ = io.Copy(io.Discard, r.Body) // reads the body late
				return
			}
			write(c, fullResponse(200, attemptID(r), "ok"))
		})
		r := newRig(t, x).configure(1)
		c := r.dial()
		begin := time.Now()
		c.send(request("POST", "/order/early", "id1", strings.Repeat("b", size)))
		resp := c.want(503, "*")
		r.is.True(time.Since(begin) < time.Second)
		r.is.True(resp.Header.Get("Retry-After") != "")
		c.send(request("POST", "/order/1", "id2", "x"))
		c.want(200, "ok")
		for _, b := range x.bodies {
			r.is.True(b == "" || b == "x") // a body has no bytes of another request
		}
	}
}

// Guards against attempts that the route does not allow, and against a wrong run state: a
// request that a target refused may be retried, a failed non-idempotent one may not.
func TestRefusals(t *testing.T) {
	refuse := func(c net.Conn, r *http.Request, _ int) { write(c, notRunResponse(attemptID(r))) }
	other := func(c net.Conn, r *http.Request, _ int) {
		write(c, "HTTP/1.1 421 X\r\n"+standin.HeaderInstance+": i-9\r\nContent-Length: 0\r\n\r\n")
	}
	fail := func(c net.Conn, r *http.Request, _ int) { write(c, fullResponse(500, attemptID(r), "failed")) }
	plain503 := func(c net.Conn, r *http.Request, _ int) { write(c, fullResponse(503, attemptID(r), "ran")) }
	for _, x := range []struct {
		name, path string
		script     func(c net.Conn, r *http.Request, n int)
		status     int
		body       string
		second     int // requests that reach the second target
		outcomes   string
	}{
		{"full, one attempt", "/order/1", refuse, 503, "*", 0, "full"},
		{"full, two attempts", "/twice/1", refuse, 200, "good", 1, "full served"},
		{"other target", "/twice/1", other, 200, "good", 1, "other served"},
		{"failed, idempotent", "/look/1", fail, 200, "good", 1, "failed served"},
		{"failed, non-idempotent", "/twice/1", fail, 500, "failed", 0, "failed"},
	} {
		t.Run(x.name, func(t *testing.T) {
			first, second := newTarget(t, "t1", x.script), newTarget(t, "t2", respondWith("good"))
			r := newRig(t, first, second).configure(1)
			c := r.dial()
			method, body := "POST", "x"
			if strings.HasPrefix(x.path, "/look") {
				method, body = "GET", ""
			}
			c.send(request(method, x.path, "id1", body))
			resp := c.want(x.status, x.body)
			if x.status == 500 {
				r.is.Equal(resp.Header.Get(standin.HeaderStamp), "stamp-id1")
			}
			n, _ := second.count()
			r.is.Equal(n, x.second)
			r.is.Equal(r.waitOutcomes(len(strings.Fields(x.outcomes))), x.outcomes)
		})
	}
	r := newRig(t, newTarget(t, "t1", plain503)).configure(1)
	c := r.dial()
	c.send(request("POST", "/order/1", "id1", "x"))
	resp := c.want(502, "*") // a 503 would claim that the request has not run
	r.is.Equal(resp.Header.Get(standin.HeaderStamp), "")
}

// Guards against an unreachable target that uses up the only attempt of a request or
// delays the request.
func TestUnreachable(t *testing.T) {
	unreachable := newTarget(t, "t1", nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable.address = l.Addr().String()
	l.Close()
	r := newRig(t, unreachable, newTarget(t, "t2", respondWith("good"))).configure(1)
	c := r.dial()
	c.send(request("POST", "/order/1", "id1", "x"))
	c.want(200, "good")
	r.is.Equal(r.waitOutcomes(2), "unreachable served")
}

// Guards against losing a request on a kept connection that the target has closed in the
// meantime, and against running a non-idempotent request twice.
func TestStaleConnections(t *testing.T) {
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, n int) {
		if n == 2 {
			resetConn(c) // as if the idle connection had been dropped silently
			return
		}
		write(c, fullResponse(200, attemptID(r), "ok"))
	})
	r := newRig(t, x).configure(1)
	c := r.dial()
	c.send(request("GET", "/look/1", "id1", ""))
	c.want(200, "ok")
	c.send(request("GET", "/look/2", "id2", ""))
	c.want(200, "ok") // sent again on a new connection
	time.Sleep(900 * time.Millisecond)
	_, before := x.count()
	c.send(request("POST", "/order/1", "id3", "x"))
	c.want(200, "ok")
	_, after := x.count()
	r.is.Equal(after, before+1) // a non-idempotent request uses no connection that was idle for long
}

// Guards against a refusal that says "not run" after a send that may have run: the target reads
// the request on a kept connection, resets it, and accepts no new connection.
func TestResetThenUnreachable(t *testing.T) {
	var x *target
	x = newTarget(t, "t1", func(c net.Conn, r *http.Request, n int) {
		if n == 2 {
			x.listener.Close()
			resetConn(c)
			return
		}
		write(c, fullResponse(200, attemptID(r), "ok"))
	})
	r := newRig(t, x).configure(1)
	c := r.dial()
	c.send(request("GET", "/look/1", "id1", ""))
	c.want(200, "ok")
	c.send(request("GET", "/look/2", "id2", ""))
	resp := c.want(502, "*")
	r.is.Equal(resp.Header.Get(standin.HeaderNotRun), "")
	r.is.Equal(r.waitOutcomes(2), "served broken")
}

// Guards against more sends than the route allows: a send over a new connection after a reset
// counts like any other.
func TestResendCountsAsAttempt(t *testing.T) {
	reset := func(c net.Conn, r *http.Request, n int) {
		if n == 1 {
			write(c, fullResponse(200, attemptID(r), "ok"))
			return
		}
		resetConn(c)
	}
	first, second := newTarget(t, "t1", reset), newTarget(t, "t2", respondWith("good"))
	r := newRig(t, first, second).configure(1)
	c := r.dial()
	c.send(request("GET", "/look/1", "id1", ""))
	c.want(200, "ok")
	c.send(request("GET", "/look/2", "id2", "")) // the route allows two attempts
	c.want(502, "*")
	n, _ := first.count()
	r.is.Equal(n, 3)
	n, _ = second.count()
	r.is.Equal(n, 0)
}

// Guards against streams with missing, duplicate or merged events, against a broken stream that looks
// complete, and against one that is cut because its numbers grow by more than one.
func TestStreams(t *testing.T) {
	stream := func(parts ...string) func(c net.Conn, r *http.Request, n int) {
		return func(c net.Conn, r *http.Request, _ int) {
			write(c, streamHeader(attemptID(r)))
			for _, p := range parts {
				write(c, chunk(p))
				time.Sleep(2 * time.Millisecond)
			}
			if !strings.Contains(strings.Join(parts, ""), "cut") {
				write(c, endChunk)
				return
			}
			resetConn(c)
		}
	}
	resume := func(c net.Conn, r *http.Request, n int) {
		var after int
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
		rest := events(after+1, 6)
		switch {
		case r.URL.Path == "/draft/skip": // an event is missing
			rest = events(after+2, 6)
		case after == 4: // its numbers grow by two
			rest = event(6)
		}
		write(c, strings.Replace(streamHeader(attemptID(r)), "stamp-", "second-", 1)+chunk(rest)+endChunk)
	}
	for _, x := range []struct {
		name, path string
		script     func(c net.Conn, r *http.Request, n int)
		want       string
		complete   bool
		second     int
	}{
		{"complete", "/chat/1", stream(event(1), event(2)+event(3), events(4, 6)), events(1, 6), true, 0},
		{"split events", "/chat/1", stream("id: 1\nda", "ta: e1\n", "\n"+event(2), events(3, 6)), events(1, 6), true, 0},
		{"duplicate events", "/chat/1", stream(events(1, 3), events(3, 3), events(4, 6)), events(1, 6), true, 0},
		{"broken, resumed", "/draft/1", stream(events(1, 3), "id: 4\ndata: cut"), events(1, 6), true, 1},
		{"broken, not resumable", "/chat/1", stream(events(1, 3), "id: 4\ndata: cut"), events(1, 3), false, 0},
		{"larger numbers", "/draft/1", stream(events(1, 2), events(4, 6)), events(1, 2) + events(4, 6), true, 0},
		{"larger numbers, not resumable", "/chat/1", stream(event(5), event(10), event(15)), event(5) + event(10) + event(15), true, 0},
		{"larger numbers, resumed", "/draft/1", stream(event(2), event(4), "id: 6\ndata: cut"), event(2) + event(4) + event(6), true, 1},
		{"missing after a resume", "/draft/skip", stream(events(1, 2), "id: 3\ndata: cut"), events(1, 2), false, 1},
		{"torn end, resumed", "/draft/1", stream(events(1, 5), "id: 6\nda"), events(1, 6), true, 1},
		{"events without numbers, not resumed", "/draft/1", stream(events(1, 2), "data: plain\n\n", "id: 3\ndata: cut"), events(1, 2) + "data: plain\n\n", false, 0},
		{"numbered again, resumed", "/draft/1", stream(events(1, 2), "data: plain\n\n", events(3, 3), "id: 4\ndata: cut"), events(1, 2) + "data: plain\n\n" + events(3, 6), true, 1},
		{"comment, resumed", "/draft/1", stream(events(1, 3), ": comment\n\n", "id: 4\ndata: cut"), events(1, 3) + ": comment\n\n" + events(4, 6), true, 1},
		{"no event, retried", "/draft/1", stream("id: 1 cut"), events(1, 6), true, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			first, second := newTarget(t, "t1", x.script), newTarget(t, "t2", resume)
			r := newRig(t, first, second).configure(1)
			c := r.dial()
			c.send(request("POST", x.path, "id1", "prompt"))
			resp, body, err := c.readResponse()
			r.is.True(resp != nil)
			r.is.Equal(body, x.want)
			r.is.Equal(err == nil, x.complete)
			if x.second == 0 || !strings.Contains(x.name, "no event") {
				r.is.Equal(resp.Header.Get(standin.HeaderStamp), "stamp-id1") // from the first target
			}
			n, _ := second.count()
			r.is.Equal(n, x.second)
		})
	}
}

// Guards against ignoring a caller's Last-Event-ID: the stream must resume after the event
// that it names.
func TestCallerResumes(t *testing.T) {
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		write(c, streamHeader(attemptID(r))+chunk(events(4, 6))+endChunk)
	})
	r := newRig(t, x).configure(1)
	c := r.dial()
	c.send(request("POST", "/draft/1", "id1", "p", "Last-Event-Id: 3"))
	c.want(200, events(4, 6))
	r.is.Equal(x.requests[0].Header.Get("Last-Event-Id"), "3")
}

// Guards against targets that continue to work for a disconnected caller.
func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/chat/1", "/look/1"} {
		x := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
			if strings.HasPrefix(path, "/chat") {
				write(c, streamHeader(attemptID(r))+chunk(event(1)))
			}
		})
		r := newRig(t, x).configure(1)
		c := r.dial()
		method, body := "POST", "x"
		if path == "/look/1" {
			method, body = "GET", ""
		}
		c.send(request(method, path, "id1", body))
		time.Sleep(50 * time.Millisecond)
		c.Close()
		begin := time.Now()
		select {
		case <-x.closed:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection to the target stays open")
		}
		r.is.True(time.Since(begin) < 500*time.Millisecond)
		r.is.Equal(r.waitOutcomes(1), "cancelled")
	}
}

// Guards against sending a request whose caller has already disconnected: a process
// without processor time may not have noticed that yet.
func TestCallerDisconnectedBeforeSend(t *testing.T) {
	x := newTarget(t, "a", respondWith("ok"))
	r := newRig(t, x).configure(1)
	now := r.gateway.clock.Now()
	_, err := r.gateway.forwarder.Forward(context.Background(), &api.ForwardRequest{
		ID: "gone", Route: &r.gateway.table.Load().Routes[0], Header: &fasthttp.RequestHeader{}, ReceivedAt: now, Deadline: now + time.Second,
		CallerConnected: func() bool { return false },
	})
	r.is.True(errors.Is(err, context.Canceled))
	r.is.Equal(r.waitOutcomes(1), string(api.AttemptUnsent))
	requests, _ := x.count()
	r.is.Equal(requests, 0)
}

// Guards against a request without a final response at its route's time limit or its
// caller's deadline.
func TestDeadline(t *testing.T) {
	silent := func(c net.Conn, r *http.Request, _ int) {}
	r := newRig(t, newTarget(t, "t1", silent), newTarget(t, "t2", silent)).configure(1)
	for _, x := range []struct {
		path, deadline string
		limit          time.Duration
	}{{"/order/1", standin.HeaderDeadline + ": 9000", 1500 * time.Millisecond}, {"/look/1", standin.HeaderDeadline + ": 400", 400 * time.Millisecond}, {"/chat/1", standin.HeaderDeadline + ": 700", 700 * time.Millisecond}} {
		c := r.dial()
		begin := time.Now()
		method, body := "POST", "x"
		if x.path == "/look/1" {
			method, body = "GET", ""
		}
		c.send(strings.Replace(request(method, x.path, "id1", body), standin.HeaderDeadline+": 4000", x.deadline, 1))
		c.want(504, "*")
		r.is.True(time.Since(begin) >= x.limit-20*time.Millisecond)
		r.is.True(time.Since(begin) < x.limit+300*time.Millisecond)
	}
}

// Guards against entry instances that each use the whole slack of the retry budget: 100
// instances together sent 60 times as many retries as allowed.
func TestRetryBudgetIsShared(t *testing.T) {
	fail := func(c net.Conn, r *http.Request, _ int) { write(c, fullResponse(500, attemptID(r), "failed")) }
	retries := func(entries int) int {
		first, second := newTarget(t, "t1", fail), newTarget(t, "t2", fail)
		r := newRigWithEntries(t, entries, first, second).configure(1)
		c := r.dial()
		for i := range 5 {
			c.send(request("GET", "/look/1", fmt.Sprintf("id%d", i), ""))
			c.want(500, "failed")
		}
		n, _ := second.count()
		m, _ := first.count()
		return n + m - 5
	}
	is := is.New(t)
	is.True(retries(1) >= 5)  // one instance has the whole slack of 100
	is.Equal(retries(100), 1) // 0.6 of the slack, 0.85 for the 5 requests
	is.Equal(retries(0), 0)   // number of instances not known yet
}

// Guards against notices of a target that are missed in one of its answers: a success, a stream's
// head, an error, a 421, or a refusal; and against a pause or a rate limit that cannot be read.
func TestTargetNoticesArePassedOn(t *testing.T) {
	unknown := api.RateLimit{Unknown: true}
	limit := func(perSecond float64) api.TargetNotice {
		return api.TargetNotice{RateLimit: api.RateLimit{Limited: true, PerSecond: perSecond}}
	}
	cases := []struct {
		name, path, head string
		want             []api.TargetNotice
	}{
		{"success", "/look/1", "HTTP/1.1 200 OK\r\n" + standin.HeaderLeaving + ": 1\r\n", []api.TargetNotice{{Leaving: true}}},
		{"stream", "/draft/1", "HTTP/1.1 200 OK\r\n" + standin.HeaderLeaving + ": 1\r\n", []api.TargetNotice{{Leaving: true}}},
		{"error", "/look/1", "HTTP/1.1 500 Internal Server Error\r\n" + standin.HeaderLeaving + ": 1\r\n", []api.TargetNotice{{Leaving: true}}},
		{"421", "/look/1", "HTTP/1.1 421 Misdirected Request\r\n" + standin.HeaderLeaving + ": 1\r\n", []api.TargetNotice{{Leaving: true, RateLimit: unknown}}},
		{"limit", "/look/1", "HTTP/1.1 200 OK\r\n" + standin.HeaderRateLimit + ": 4.25\r\n", []api.TargetNotice{limit(4.25)}},
		{"limit of a stream", "/draft/1", "HTTP/1.1 200 OK\r\n" + standin.HeaderRateLimit + ": 0.3\r\n", []api.TargetNotice{limit(0.3)}},
		{"limit with an error", "/look/1", "HTTP/1.1 500 Internal Server Error\r\n" + standin.HeaderRateLimit + ": 0\r\n", []api.TargetNotice{limit(0)}},
		{"limit with a refusal", "/look/1", "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderNotRun + ": 1\r\n" + standin.HeaderRateLimit + ": 2\r\n", []api.TargetNotice{limit(2)}},
		{"limit of another target", "/look/1", "HTTP/1.1 421 Misdirected Request\r\n" + standin.HeaderRateLimit + ": 2\r\n", []api.TargetNotice{{RateLimit: unknown}}},
		{"huge limit", "/look/1", "HTTP/1.1 200 OK\r\n" + standin.HeaderRateLimit + ": 1e300\r\n", []api.TargetNotice{limit(1e6)}},
		{"negative limit", "/look/1", "HTTP/1.1 200 OK\r\n" + standin.HeaderRateLimit + ": -1\r\n", []api.TargetNotice{{RateLimit: unknown}}},
		{"unreadable limit", "/look/1", "HTTP/1.1 200 OK\r\n" + standin.HeaderRateLimit + ": NaN\r\n", []api.TargetNotice{{RateLimit: unknown}}},
		{"empty limit", "/look/1", "HTTP/1.1 200 OK\r\n" + standin.HeaderRateLimit + ": \r\n", []api.TargetNotice{{RateLimit: unknown}}},
		{"pause", "/look/1", "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderNotRun + ": 1\r\n" + standin.HeaderPause + ": 1.5\r\n", []api.TargetNotice{{Pause: 1500 * time.Millisecond}}},
		{"both", "/look/1", "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderNotRun + ": 1\r\n" + standin.HeaderLeaving + ": 1\r\n" + standin.HeaderPause + ": 2\r\n", []api.TargetNotice{{Leaving: true, Pause: 2 * time.Second}}},
		{"huge", "/look/1", "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderNotRun + ": 1\r\n" + standin.HeaderPause + ": 1e300\r\n", []api.TargetNotice{{Pause: 24 * time.Hour}}},
		{"date", "/look/1", "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderNotRun + ": 1\r\n" + standin.HeaderPause + ": Wed, 21 Oct 2026 07:28:00 GMT\r\n", nil},
		{"negative", "/look/1", "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderNotRun + ": 1\r\n" + standin.HeaderPause + ": -3\r\n", nil},
		{"no pause with another status", "/look/1", "HTTP/1.1 500 Internal Server Error\r\n" + standin.HeaderPause + ": 3\r\n", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newTarget(t, "t1", func(conn net.Conn, r *http.Request, _ int) {
				write(conn, c.head+standin.HeaderAttempt+": "+attemptID(r)+"\r\n"+standin.HeaderStamp+": s\r\nContent-Length: 0\r\n\r\n")
			})
			r := newRig(t, x).configure(1)
			caller := r.dial()
			caller.send(request("POST", c.path, "a1", "x"))
			_, _, err := caller.readResponse()
			r.is.NoErr(err)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.is.Equal(r.notices, c.want)
		})
	}
}

// Guards against a crash of a target that is not told from a broken connection, against a request that
// is blamed without its identity, and against a check that delays the caller.
func TestCrashOfTargetIsReported(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		var x *target
		x = newTarget(t, "t1", func(c net.Conn, r *http.Request, n int) {
			if crashes {
				x.listener.Close()
			}
			resetConn(c)
		})
		r := newRig(t, x).configure(1)
		c := r.dial()
		c.send(request("POST", "/order/1", "id1", "deadly"))
		c.want(502, "*")
		want := api.NewRequestIdentity("w", []byte("POST"), []byte("f.example"), []byte("/order/1"), []byte("deadly")).Fingerprint()
		r.waitUntil("checked", func() bool { return strings.Contains(r.logs.String(), "target checked after a failure") })
		r.mu.Lock()
		if crashes {
			r.is.Equal(r.crashes, []string{"t1 " + want.String()})
		} else {
			r.is.Equal(len(r.crashes), 0)
		}
		r.mu.Unlock()
	}
}
