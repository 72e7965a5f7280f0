package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against requests that reach a target but get no response during a planned stop
// under load. Callers send on open and new connections until the listener is closed: two
// pipelined requests, bodies in two writes, and streams that begin late. A second Drain
// runs during the first.
func TestDrainUnderLoad(t *testing.T) {
	var reached sync.Map // ids of requests that reached the target
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, n int) {
		reached.Store(attemptID(r), true)
		time.Sleep(time.Duration(n%20) * time.Millisecond)
		if strings.HasPrefix(r.URL.Path, "/chat") {
			write(c, streamHeader(attemptID(r)))
			for i := range 5 {
				write(c, chunk(event(i+1)))
				time.Sleep(50 * time.Millisecond)
			}
			write(c, endChunk)
			return
		}
		write(c, fullResponse(200, attemptID(r), "ok"))
	})
	r := newRig(t, x).configure(1)
	address := r.gateway.listener.Addr().String()
	var served, refused, lost atomic.Int64
	var stopped atomic.Bool
	// sendAll sends pipelined requests on a connection and reads the responses. It reports
	// whether the connection can be reused.
	sendAll := func(c *caller, ids []string, path, body string) bool {
		for _, id := range ids {
			text := request("POST", path, id, body)
			c.send(text[:len(text)-len(body)/2])
			if len(body) > 1 {
				time.Sleep(time.Millisecond)
			}
			c.send(text[len(text)-len(body)/2:])
		}
		for i, id := range ids {
			resp, _, err := c.readResponse()
			if err != nil {
				for _, rest := range ids[i:] {
					if _, ok := reached.Load(rest); ok {
						lost.Add(1)
						t.Logf("%s reached the target, but its caller received: %v", rest, err)
					}
				}
				return false
			}
			if resp.StatusCode == 200 {
				served.Add(1)
			} else {
				refused.Add(1)
				if _, ok := reached.Load(id); ok && resp.StatusCode == 503 {
					t.Errorf("%s was refused but reached the target", id)
				}
			}
			if resp.Close {
				return false
			}
		}
		return true
	}
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			var c *caller
			for n := 0; !stopped.Load(); n++ {
				if c == nil {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						return // the listener is closed
					}
					c = newCaller(t, conn)
				}
				id := fmt.Sprint("id-", i, "-", n)
				ids, path, body := []string{id}, "/order/1", "body"
				switch i % 4 {
				case 1:
					ids = append(ids, id+"b")
				case 2:
					path = "/chat/1"
				case 3:
					body = strings.Repeat("x", 20_000)
				}
				if !sendAll(c, ids, path, body) || n%7 == 6 {
					c.Close()
					c = nil
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	done := make(chan error, 2)
	for range 2 {
		go func() { done <- r.gateway.Drain(context.Background()) }()
		time.Sleep(200 * time.Millisecond)
	}
	r.is.NoErr(<-done)
	r.is.NoErr(<-done)
	stopped.Store(true)
	callers.Wait()
	t.Logf("%d served, %d refused", served.Load(), refused.Load())
	r.is.True(served.Load() > 500)
	r.is.Equal(lost.Load(), int64(0))
}
