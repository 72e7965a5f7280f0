package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a replica of a plain service.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       time.Time
	rec                        *record
	// arrived, if set, is called for each request that the server runs.
	arrived func(s *server, attempt string, sent time.Time)
	// serve, if set, answers a request that the server runs, and reports whether the connection stays open.
	serve func(s *server, c net.Conn, r *http.Request, body []byte) (keep bool)

	raw func(s *server, c net.Conn) // replaces handle

	mu        sync.Mutex
	state     string // ready or draining; "" = not in the list
	drainFrom time.Time
	shownAt   map[string]time.Time
	ran       int
	conns     map[net.Conn]bool
	listener  net.Listener
	down      bool
	coldUntil time.Time
	quiet     bool // runs are not recorded one by one
}

func newServer(d *deployment, id, service, zone string, slots int, work time.Duration) (*server, error) {
	s := &server{
		id: id, service: service, zone: zone, slots: slots, work: work, address: fmt.Sprintf("%s:%d", d.newIP(), serverPort),
		born: time.Now(), rec: d.rec, state: "ready", shownAt: map[string]time.Time{}, conns: map[net.Conn]bool{},
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.listener = l
	go s.accept()
	return s, nil
}

func (s *server) listState() string { s.mu.Lock(); defer s.mu.Unlock(); return s.state }

// listed notes when the list first shows a state.
func (s *server) listed(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.shownAt[state]; !ok {
		s.shownAt[state] = time.Now()
		s.rec.printf("platform: the list shows %s (%s) as %s", s.id, s.zone, state)
	}
}

func (s *server) shown(state string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.shownAt[state]
	return t, ok
}

func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
	s.rec.printf("server %s drains", s.id)
}

// turnCold makes the server cold for some time from now.
func (s *server) turnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
	s.rec.printf("server %s (%s) turns cold for %v", s.id, s.zone, d)
}

// cold returns how long the server stays cold.
func (s *server) cold() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Until(s.coldUntil))
}

func (s *server) leaving() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.state != "ready" }

// end ends the server: it leaves the list, and its connections break.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.down = "", true
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	s.rec.printf("server %s ends", s.id)
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		if s.raw != nil {
			go s.raw(s, c)
			continue
		}
		go s.handle(c)
	}
}

// handle serves the requests of one connection, one at a time.
func (s *server) handle(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.answer(c, req, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (s *server) answer(c net.Conn, r *http.Request, body []byte) bool {
	attempt := r.Header.Get("X-Attempt-Id")
	leaving := ""
	if s.leaving() {
		leaving = "Server-Leaving: 1\r\n"
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", attempt, leaving)
		return err == nil
	}
	if r.URL.Path == "/health" {
		status := "200 OK"
		if leaving != "" {
			status = "503 Service Unavailable"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, s.id)
		return err == nil
	}
	s.mu.Lock()
	s.ran++
	n := s.ran
	s.mu.Unlock()
	sent := attemptTime(attempt)
	if !s.quiet {
		s.rec.printf("server %s (%s) runs %s", s.id, s.zone, attempt)
	}
	if s.arrived != nil {
		s.arrived(s, attempt, sent)
	}
	if s.serve != nil {
		return s.serve(s, c, r, body)
	}
	time.Sleep(s.work)
	text := answerText(attempt, r.URL.Path)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%d\r\n%sContent-Length: %d\r\n\r\n%s", attempt, s.id, n, leaving, len(text), text)
	return err == nil
}

func answerText(attempt, path string) string { return "answer to " + attempt + " at " + path }
