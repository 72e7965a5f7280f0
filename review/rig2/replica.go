//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a server of a service. It reads requests itself, so that it can answer as faulty ones do.
type replica struct {
	id, service, zone string
	slots             int
	faulty            bool // it may answer as faulty replicas do
	rec               *record
	running           atomic.Int64
	listener          net.Listener
	born              time.Time
	serve             func(r *replica, c net.Conn, req *http.Request, body []byte) (keep bool)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startReplica listens and enters the replica in the list.
func startReplica(f *fleet, id, service, zone string, slots int, serve func(*replica, net.Conn, *http.Request, []byte) bool) (*replica, error) {
	l, err := net.Listen("tcp", f.ip(2)+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, slots: slots, rec: f.rec, listener: l, born: time.Now().Add(-time.Minute), serve: serve, conns: map[net.Conn]bool{}}
	go r.accept()
	f.list.set(id, service, l.Addr().String(), zone, slots, "ready", r.born)
	return r, nil
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.handle(c)
	}
}

// handle serves one connection. Requests for another replica get 421; GET /report and the health path are
// answered as the pages say.
func (r *replica) handle(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			r.rec.note("replica "+r.id, "incomplete", fmt.Sprintf("id=%s %v", req.Header.Get("X-Attempt-Id"), err))
			return
		}
		switch {
		case req.URL.Path == "/health":
			writeAnswer(c, 200, map[string]string{"X-Instance-Id": r.id}, nil)
			continue
		case req.Header.Get("X-Expect-Instance") != "" && req.Header.Get("X-Expect-Instance") != r.id:
			r.rec.note("replica "+r.id, "421", fmt.Sprintf("id=%s %s %s", req.Header.Get("X-Attempt-Id"), req.Method, req.RequestURI))
			writeAnswer(c, 421, map[string]string{"X-Attempt-Id": req.Header.Get("X-Attempt-Id"), "X-Not-Executed": "1"}, nil)
			continue
		case req.Header.Get("X-Attempt-Id") == "":
			r.rec.note("replica "+r.id, "400", fmt.Sprintf("no id %s %s, %d bytes", req.Method, req.RequestURI, len(body)))
			writeAnswer(c, 400, map[string]string{"X-Not-Executed": "1"}, nil)
			continue
		}
		if !r.serve(r, c, req, body) {
			return
		}
	}
}

func (r *replica) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// answer returns a response with a length.
func answer(status int, header map[string]string, body []byte) []byte {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for k, v := range header {
		out += k + ": " + v + "\r\n"
	}
	return append([]byte(out+"\r\n"), body...)
}

func writeAnswer(c net.Conn, status int, header map[string]string, body []byte) {
	_, _ = c.Write(answer(status, header, body))
}

// stamp signs a replica's answer.
func stamp(replica, id string) string { return replica + "." + id }
