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

// Guards against requests that were accepted and are cut without an answer during a planned
// stop under load: callers send on kept and on new connections until nothing answers any
// more, two requests at once, bodies in halves, and streams that begin in the last moment.
// A second order to stop comes while the first is carried out.
func TestStopUnderLoad(t *testing.T) {
	var reached sync.Map // ids that a target got
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, n int) {
		reached.Store(idOf(r), true)
		time.Sleep(time.Duration(n%20) * time.Millisecond)
		if strings.HasPrefix(r.URL.Path, "/chat") {
			write(c, streamHead(idOf(r)))
			for i := range 5 {
				write(c, chunk(event(i+1)))
				time.Sleep(50 * time.Millisecond)
			}
			write(c, endChunk)
			return
		}
		write(c, whole(200, idOf(r), "ok"))
	})
	r := newRig(t, x).configured(1)
	address := r.gateway.listener.Addr().String()
	var answered, refused, lost atomic.Int64
	var stopped atomic.Bool
	// ask sends requests on a connection and reads their answers. It reports whether the
	// connection can be used again.
	ask := func(c *caller, ids []string, path, body string) bool {
		for _, id := range ids {
			text := request("POST", path, id, body)
			c.send(text[:len(text)-len(body)/2])
			if len(body) > 1 {
				time.Sleep(time.Millisecond)
			}
			c.send(text[len(text)-len(body)/2:])
		}
		for i, id := range ids {
			resp, _, err := c.answer()
			if err != nil {
				for _, rest := range ids[i:] {
					if _, ok := reached.Load(rest); ok {
						lost.Add(1)
						t.Logf("%s reached a target, and its caller got: %v", rest, err)
					}
				}
				return false
			}
			if resp.StatusCode == 200 {
				answered.Add(1)
			} else {
				refused.Add(1)
				if _, ok := reached.Load(id); ok && resp.StatusCode == 503 {
					t.Errorf("%s was refused and has run", id)
				}
			}
			if resp.Close {
				return false
			}
		}
		return true
	}
	var all sync.WaitGroup
	for i := range 24 {
		all.Add(1)
		go func() {
			defer all.Done()
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
				if !ask(c, ids, path, body) || n%7 == 6 {
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
	all.Wait()
	t.Logf("%d answered, %d refused", answered.Load(), refused.Load())
	r.is.True(answered.Load() > 500)
	r.is.Equal(lost.Load(), int64(0))
}
