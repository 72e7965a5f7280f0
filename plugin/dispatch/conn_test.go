package dispatch

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
)

// Guards against work that starts after the lease or the data centre was lost
// between the grant and the first byte.
func TestCheckBeforeFirstByte(t *testing.T) {
	lost := map[string]func(r *rig){
		"lease":       func(r *rig) { r.lease.valid = func() bool { return false } },
		"data centre": func(r *rig) { takeOut(r, nil) },
	}
	for name, lose := range lost {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget(t, "t1", numbered(ok))
			r := newRig(t, target)
			var calls int
			r.pool.refuse = func(n int) *api.Refusal {
				if calls = n; n > 1 {
					return &api.Refusal{Code: "queue_full", Status: 503, Run: api.NotRun}
				}
				return nil
			}
			conn, err := r.d.conns.dial(t.Context(), target.addr)
			is.NoErr(err)
			conn.arm(time.Second, time.Now().Add(time.Minute), func() error { return r.d.permit("t1") })
			lose(r) // after the connection was opened
			n, err := conn.Write([]byte("POST / HTTP/1.1\r\n\r\n"))
			is.Equal(n, 0)
			is.True(notStarted(err))
			is.NoErr(conn.Close())
			_, _, err = r.do(serviceRequest("POST"))
			is.True(err != nil)
			is.Equal(calls, 2) // it went back to the queue
			is.Equal(r.pool.results(), "not_started")
			is.Equal(target.received(), 0)
		})
	}
}

// Guards against a request lost to a connection that the target closed while it
// was idle, and against a non-idempotent request on a reused connection.
func TestReusedConnections(t *testing.T) {
	is := is.New(t)
	var drop atomic.Bool
	target := newTarget(t, "t1", numbered(func(w *wire, _ *seen, _ int) {
		w.plain(200, "ok")
		if drop.Load() {
			w.Close()
		}
	}))
	r := newRig(t, target)
	get := func(method string) {
		t.Helper()
		body, _, err := r.do(serviceRequest(method))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	get("GET")
	get("GET")
	is.Equal(target.opened(), 1) // kept
	get("POST")
	is.Equal(target.opened(), 2) // its own connection
	drop.Store(true)
	get("GET")
	drop.Store(false)
	idle := r.d.conns.pop(target.addr)
	eventually(t, "the target's close arrived", func() bool { return !idle.alive() })
	r.d.conns.put(idle)
	get("GET")
	is.Equal(r.pool.results(), "ok ok ok ok ok") // an idle close is not a failure
}

// Guards against a failure report when a target closes an idle connection at
// the moment a request is sent on it.
func TestStaleConnection(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, "t1", numbered(func(w *wire, _ *seen, n int) {
		if n == 2 {
			w.reset()
			return
		}
		w.plain(200, "ok")
	}))
	r := newRig(t, target)
	for range 2 {
		body, _, err := r.do(serviceRequest("GET"))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(r.pool.results(), "ok ok")
	is.Equal(target.opened(), 2)
}

// Guards against bytes after an answer that are taken for the next caller's.
func TestSurplusBytes(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, "t1", numbered(func(w *wire, _ *seen, n int) {
		if n == 1 {
			w.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			return
		}
		w.plain(200, "right")
	}))
	r := newRig(t, target)
	body, _, err := r.do(serviceRequest("GET"))
	is.NoErr(err)
	is.Equal(body, "ok")
	body, _, err = r.do(serviceRequest("GET"))
	is.NoErr(err)
	is.Equal(body, "right")
}

// Guards against a target whose connections open but never answer, and which
// keeps a caller waiting.
func TestSilentFromTheStart(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	t2 := newTarget(t, "t2", numbered(ok))
	// Accepts at the kernel, never reads: the request is written, nothing comes.
	r := newRig(t, &fakeTarget{name: "t1", addr: ln.Addr().String()}, t2)
	body, _, err := r.do(serviceRequest("GET"))
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(r.pool.results(), "failed ok")
}

// Guards against a large body that a target reads slowly, and against one that
// it stops reading.
func TestLargeBody(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, "t1", numbered(func(w *wire, r *seen, _ int) { w.plain(200, r.body[:3]) }))
	r := newRig(t, target)
	req := serviceRequest("POST")
	req.Body = make([]byte, 12<<20)
	copy(req.Body, "abc")
	body, _, err := r.do(req)
	is.NoErr(err)
	is.Equal(body, "abc")

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	r = newRig(t, &fakeTarget{name: "t1", addr: ln.Addr().String()})
	_, _, err = r.do(req)
	checkAnswer(is, &faultCase{code: codeSilent, run: api.RunUnknown}, "", err)
}

func (f *fakeTarget) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns
}
