package scenario

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/platform/standin"
)

const (
	brokenRequests = 12       // of each kind of broken response
	uploadBytes    = 12 << 20 // more than the buffers of a connection
)

// brokenTarget is a target that responds to each request with the same broken response.
type brokenTarget struct {
	address string

	mu       sync.Mutex
	arrivals map[string]int // by attempt id
}

// newBrokenTarget starts a target. respond gets a connection on which the head of a request, but not
// its body, was read, and the headers of a signed response to it.
func newBrokenTarget(t *testing.T, respond func(c *net.TCPConn, signed string)) *brokenTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	b := &brokenTarget{address: listener.Addr().String(), arrivals: map[string]int{}}
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReaderSize(c, 4096))
				if err != nil {
					return
				}
				id := r.Header.Get(standin.HeaderAttempt)
				b.mu.Lock()
				b.arrivals[id]++
				b.mu.Unlock()
				respond(c.(*net.TCPConn), fmt.Sprintf("%s: %s\r\n%s: %s\r\n", standin.HeaderAttempt, id, standin.HeaderStamp, standin.Stamp("t2", id)))
			}()
		}
	}()
	return b
}

// Guards against a broken response of a target that callers of a real process get as an answer, and
// against a refusal of a request that has reached the target which says that it has not run.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for name, c := range map[string]struct {
		response string // ID stands for the headers of a signed response
		upload   bool
		reset    bool
	}{
		"status 000":               {"HTTP/1.1 000 OK\r\nIDContent-Length: 2\r\n\r\nok", false, false},
		"status 000, not run":      {"HTTP/1.1 000 OK\r\n" + standin.HeaderNotRun + ": 1\r\nIDContent-Length: 2\r\n\r\nok", false, false},
		"blank in a name":          {"HTTP/1.1 200 OK\r\nIDX Bad: 1\r\nContent-Length: 2\r\n\r\nok", false, false},
		"blank in a length's name": {"HTTP/1.1 200 OK\r\nIDContent Length: 2\r\n\r\nok", false, false},
		"control byte in a name":   {"HTTP/1.1 200 OK\r\nIDX\x01Bad: 1\r\nContent-Length: 2\r\n\r\nok", false, false},
		"reset during an upload":   {"HTTP/1.1 200 OK\r\nID\r\n" + strings.Repeat("part", 500), true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newBrokenTarget(t, func(conn *net.TCPConn, signed string) {
				_, _ = io.WriteString(conn, strings.Replace(c.response, "ID", signed, 1))
				if c.reset {
					time.Sleep(30 * time.Millisecond)
					_ = conn.SetLinger(0)
				}
			})
			f := newRoutesFleet(t)
			f.directory.Add(&standin.Target{ID: "t2", Service: "b", DataCentre: "dc-1", Slots: 64, StartedAt: time.Now().Add(-time.Hour), ListedAddress: target.address})
			f.startControl()
			f.startEntry()
			route := func(name, kind string) standin.Route {
				return standin.Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Service: "b", Kind: kind, TimeoutMs: 2000, ObjectiveMs: 500, MaxAttempts: 2, Public: true}
			}
			f.configure(standin.Config{
				Version: 1, TokensPerSecond: 1000, Services: []standin.Service{{Name: "s"}, {Name: "b"}},
				Routes:  []standin.Route{route("look", "idempotent"), route("order", "non_idempotent")},
				Callers: standin.CallerLimits{HeaderBytes: 16384, BodyBytes: 2 * uploadBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
			})
			body := []byte("x")
			if c.upload {
				body = bytes.Repeat(body, uploadBytes)
			}
			statuses := map[int]int{}
			for n := range brokenRequests {
				path := []string{"/look/x", "/order/x"}[n%2]
				id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), n)
				status, received := callTarget(f.listen, path, id, body)
				statuses[status]++
				target.mu.Lock()
				arrived := target.arrivals[id]
				target.mu.Unlock()
				switch status {
				case http.StatusBadGateway, http.StatusGatewayTimeout, 0: // says that the request may have run
				case http.StatusServiceUnavailable:
					is.Equal(arrived, 0)
				default:
					t.Errorf("status %d with %q", status, received)
				}
				if strings.HasPrefix(path, "/order") {
					is.True(arrived <= 1)
				}
			}
			t.Logf("statuses %v, %d requests arrived", statuses, len(target.arrivals))
			is.True(len(target.arrivals) > 0)
		})
	}
}

// callTarget sends a request and returns the status and the first bytes of the response, 0 without a
// complete one.
func callTarget(address, path, id string, body []byte) (status int, received []byte) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, nil
	}
	defer conn.Close()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 2000\r\nContent-Length: %d\r\n\r\n", path, standin.HeaderAttempt, id, standin.HeaderDeadline, len(body))
		_, _ = conn.Write(body)
	}()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if received, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, received[:min(len(received), 40)]
}
