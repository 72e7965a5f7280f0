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
	bodyCallers  = 100
	largestBody  = 4 << 20 // bytes, as the users' deployments allow
	entryMemory  = 284     // MB, that of an entry instance of the users' smallest deployment
	bodyTimeout  = 6 * time.Second
	answerMargin = 2 * time.Second
)

// Guards against bodies that take more memory than the instance has, because what was announced is
// allocated before it arrives, and against whole bodies that are not served meanwhile. The platform ends
// a process that exceeds its memory.
func TestBodiesStayWithinMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	whole := bytes.Repeat([]byte("b"), largestBody)
	for name, c := range map[string]struct {
		send func(conn net.Conn) // sends the body, as far as it goes
		// minServed is the number of callers of bodyCallers that must be served. All others must be refused
		// with a status that says that the request has not run.
		minServed int
	}{
		"at once": {func(conn net.Conn) {
			head(conn, fmt.Sprintf("Content-Length: %d", largestBody))
			_, _ = conn.Write(whole)
		}, 10},
		"chunked": {func(conn net.Conn) {
			head(conn, "Transfer-Encoding: chunked")
			for range 4 {
				_, _ = fmt.Fprintf(conn, "%x\r\n", largestBody/4)
				_, _ = conn.Write(whole[:largestBody/4])
				_, _ = io.WriteString(conn, "\r\n")
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}, 10},
		"slow": {func(conn net.Conn) {
			head(conn, fmt.Sprintf("Content-Length: %d", largestBody))
			for sent := 0; sent < largestBody; sent += largestBody / 16 {
				if _, err := conn.Write(whole[:largestBody/16]); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}, 10},
		"announced and never sent": {func(conn net.Conn) {
			head(conn, fmt.Sprintf("Content-Length: %d", largestBody))
			_, _ = conn.Write(whole[:1000])
		}, 0},
		"never ending": {func(conn net.Conn) {
			head(conn, "Transfer-Encoding: chunked")
			for {
				if _, err := io.WriteString(conn, "1\r\nb\r\n"); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRoutesFleet(t)
			f.memoryMB = entryMemory
			f.startControl()
			f.startEntry()
			f.configure(standin.Config{
				Version: 1, TokensPerSecond: 1000, Services: []standin.Service{{Name: "s"}},
				Routes: []standin.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Service: "s", Kind: "non_idempotent", TimeoutMs: int(bodyTimeout.Milliseconds()),
					ObjectiveMs: 1000, MaxAttempts: 2, Public: true}},
				Callers: standin.CallerLimits{HeaderBytes: 16384, BodyBytes: largestBody, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
			})
			var mu sync.Mutex
			statuses := map[int]int{}
			var longest time.Duration
			var callers sync.WaitGroup
			for range bodyCallers {
				callers.Go(func() {
					begin := time.Now()
					status := callWithBody(f.listen, c.send)
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
					longest = max(longest, time.Since(begin))
				})
			}
			callers.Wait()
			peak := f.entryMetric("process_resident_memory_peak_bytes")
			t.Logf("statuses %v, longest %v, peak %.0f MB of %d", statuses, longest, peak/(1<<20), entryMemory)
			is.True(peak > 0 && peak < entryMemory<<20)
			is.True(statuses[http.StatusOK] >= c.minServed)
			for status := range statuses { // each has an answer that is true
				is.True(status == http.StatusOK || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout)
			}
			is.Equal(len(f.target.RunLog.Arrivals()), statuses[http.StatusOK]) // none that was refused has run
			is.True(longest < bodyTimeout+answerMargin)
			f.waitFor("free memory", func() bool { return f.entryMetric("nutmeg_gateway_request_bytes") == 0 })
		})
	}
}

// head sends the header of a request with a body.
func head(conn net.Conn, framing string) {
	_, _ = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n",
		standin.HeaderAttempt, strings.ReplaceAll(conn.LocalAddr().String(), ":", "-"), standin.HeaderDeadline, bodyTimeout.Milliseconds(), framing)
}

// callWithBody sends a request while it waits for the response, and returns its status, 0 without one.
func callWithBody(address string, send func(net.Conn)) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	go send(conn)
	_ = conn.SetReadDeadline(time.Now().Add(bodyTimeout + 2*answerMargin))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// entryMetric returns a metric of the entry instance, 0 without it.
func (f *routesFleet) entryMetric(name string) (value float64) {
	resp, err := http.Get("http://" + f.entryAdmin + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			_, _ = fmt.Sscan(rest, &value)
		}
	}
	return value
}
