package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eventPause is the time between two events of a stream.
const eventPause = 20 * time.Millisecond

// arrivals counts the requests that are sent by their clients and reach a server within a second.
type arrivals struct {
	mu       sync.Mutex
	requests []arrival
}

type arrival struct{ sent, arrived time.Time }

// add counts a request that arrives now, and returns the number of those that were sent and arrived in the
// second that ends now.
func (a *arrivals) add(sent, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, arrival{sent, now})
	for now.Sub(a.requests[0].arrived) >= time.Second {
		a.requests = a.requests[1:]
	}
	n := 0
	for _, r := range a.requests {
		if now.Sub(r.sent) < time.Second {
			n++
		}
	}
	return n
}

// newEngine returns a stand-in of a model replica. A request's path names the number of events of its
// stream: /PREFIX/EVENTS.
func newEngine(d *deployment, id, service, zone string, slots int) (*server, error) {
	s, err := newServer(d, id, service, zone, slots, 0)
	if err != nil {
		return nil, err
	}
	s.serve = serveStream
	return s, nil
}

// eventCount returns the number of events that a path asks for.
func eventCount(path string) int {
	n, _ := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
	return max(1, n)
}

// serveStream writes a stream of events, as chunks, and keeps the connection.
func serveStream(s *server, c net.Conn, r *http.Request, _ []byte) (keep bool) {
	attempt := r.Header.Get("X-Attempt-Id")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.0\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, s.id)
	for i := from + 1; i <= eventCount(r.URL.Path) && err == nil; i++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, attempt, i)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = fmt.Fprint(c, "0\r\n\r\n")
	}
	return err == nil
}

// engineService is a service of model replicas, as in the example of the protocol's page.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 10.0,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 551335, "kv_token_bytes": 18432, "link_mbps": 180000.0, "moves": true, "backups": true, "stride": 5, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}
