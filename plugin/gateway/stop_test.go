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

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/kernel/kerneltest"
	"nutmegrouter/internal/settings"
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

// Guards against a request that reaches a target although it was sent more than 3 s after the stop signal:
// its response may be truncated when the process exits. Drain begins noticeDelay after the signal.
func TestLateRequestsReachNoTarget(t *testing.T) {
	const (
		latestSend  = 3 * time.Second // after the signal
		noticeDelay = 200 * time.Millisecond
	)
	var reached sync.Map // ids of requests that reached the target
	r := newRig(t, newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		reached.Store(attemptID(r), true)
		write(c, streamHeader(attemptID(r))+chunk(event(1))+endChunk)
	}))
	config := configOf(1)
	config.Routes[1].TimeoutMs = 15_000 // outlasts the stop
	r.fleet.Install(newView(1, config.Document()))
	r.gateway.kernel.Settings.Routes.Bounds.StopMs = 8000
	address := r.gateway.listener.Addr().String()
	begun := make(chan time.Time)
	go func() {
		begun <- time.Now()
		_ = r.gateway.Drain(context.Background())
	}()
	signalled := (<-begun).Add(-noticeDelay)
	var callers sync.WaitGroup
	var sentInTime, late, lateReached atomic.Int64
	for i := 0; time.Since(signalled) < latestSend+2*noticeDelay; i++ {
		conn, err := net.Dial("tcp", address)
		r.is.NoErr(err)
		callers.Go(func() {
			defer conn.Close()
			id := fmt.Sprint("id", i)
			c := newCaller(t, conn)
			sentAt := time.Since(signalled)
			c.send(strings.Replace(request("POST", "/draft/1", id, "x"), ": 4000", ": 15000", 1))
			_, _, err := c.readResponse()
			if err != nil {
				t.Errorf("request sent after %v: %v", sentAt, err)
			}
			if _, ok := reached.Load(id); sentAt <= latestSend {
				sentInTime.Add(1)
			} else if late.Add(1); ok {
				lateReached.Add(1)
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	callers.Wait()
	t.Logf("%d sent in time, %d late, of these %d reached the target", sentInTime.Load(), late.Load(), lateReached.Load())
	r.is.True(sentInTime.Load() > 100 && late.Load() > 50)
	r.is.Equal(lateReached.Load(), int64(0))
}

// Guards against a stopping instance that admits requests for longer after the stop signal because the
// machine was suspended, and against one that refuses requests without a stop.
func TestAdmissionEndsAlsoAfterSuspension(t *testing.T) {
	is := is.New(t)
	g := &Gateway{clock: kernel.NewClock(), kernel: &kernel.Context{Settings: &settings.Settings{Routes: settings.Routes{Bounds: settings.Bounds{StopMs: 8000}}}}}
	start := kernel.ClockReading{Monotonic: time.Hour, Wall: time.Hour}
	var now kernel.ClockReading
	g.readClocks = func() kernel.ClockReading { return now }
	after := func(monotonic, wall time.Duration) bool {
		now = kernel.ClockReading{Monotonic: start.Monotonic + monotonic, Wall: start.Wall + wall}
		return g.checkStopping(&api.ForwardRequest{Deadline: time.Hour}) != nil
	}
	is.True(!after(time.Minute, time.Minute)) // no stop
	g.stopBegin.Store(&start)
	is.True(!after(0, 0))
	is.True(!after(drainAdmitTime-1, drainAdmitTime-1))
	is.True(after(drainAdmitTime, drainAdmitTime))
	is.True(after(time.Second, 4*time.Second))   // suspended for 3 s
	is.True(after(drainAdmitTime, -time.Minute)) // the wall clock was set back
	g.kernel.Settings.Routes.Bounds.StopMs = 2300
	is.True(!after(time.Second-1, time.Second-1)) // half of the time for the stop
	is.True(after(time.Second, time.Second))
}

// Guards against a stopping instance that refuses a request although it ends before the process exits, and
// against one that admits a request which may be truncated. The times have 1 s and more to spare.
func TestShortRequestsAreAdmittedLonger(t *testing.T) {
	r := newRig(t, newTarget(t, "t1", respondWith("ok"))).configure(1)
	r.gateway.kernel.Settings.Routes.Bounds.StopMs = 4300 // any request for 2 s; Drain returns after 4 s at the latest
	send := func(path, timeoutMs string) int {
		c := r.dial()
		defer c.Close()
		c.send(strings.Replace(request("POST", path, "id", "x"), ": 4000", ": "+timeoutMs, 1))
		resp, _, err := c.readResponse()
		r.is.NoErr(err)
		return resp.StatusCode
	}
	done := make(chan error, 1)
	go func() { done <- r.gateway.Drain(context.Background()) }()
	r.is.Equal(send("/order/1", "4000"), http.StatusOK)
	r.waitUntil("refusing", r.gateway.admissionClosed)
	r.is.Equal(send("/order/1", "300"), http.StatusOK)
	r.is.Equal(send("/chat/1", "4000"), http.StatusServiceUnavailable)
	r.is.NoErr(<-done)
}

// Guards against a deadline that is compared with another time than the end of the stop.
func TestDeadlineBeforeEndOfStop(t *testing.T) {
	is := is.New(t)
	var clock kerneltest.Clock
	clock.Advance(time.Hour, time.Hour)
	g := &Gateway{clock: &clock, readClocks: clock.ReadClocks, kernel: &kernel.Context{Settings: &settings.Settings{Routes: settings.Routes{Bounds: settings.Bounds{StopMs: 8000}}}}}
	end := clock.Now() + 8*time.Second - stopMargin
	begin := clock.ReadClocks()
	g.stopBegin.Store(&begin)
	refused := func(deadline time.Duration) bool {
		return g.checkStopping(&api.ForwardRequest{Deadline: deadline}) != nil
	}
	is.True(!refused(end + time.Hour)) // admission has not ended
	clock.Advance(drainAdmitTime, drainAdmitTime)
	is.True(refused(end + time.Hour))
	is.True(refused(end - writeTime + 1))
	is.True(!refused(end - writeTime))
	clock.Advance(time.Second, 2*time.Second) // suspended for 1 s, so that the end comes 1 s sooner on this clock
	is.True(refused(end - time.Second - writeTime + 1))
	is.True(!refused(end - time.Second - writeTime))
}

// Guards against a request that still waits for a target when the process exits, and whose caller gets no
// response and may not repeat it.
func TestWaitingRequestIsRefusedBeforeExit(t *testing.T) {
	x := newTarget(t, "t1", respondWith("ok"))
	r := newRig(t, x).configure(1)
	r.hold = true
	r.gateway.kernel.Settings.Routes.Bounds.StopMs = 2000
	c := r.dial()
	c.send(request("POST", "/chat/1", "id1", "x"))
	time.Sleep(100 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- r.gateway.Drain(context.Background()) }()
	resp, body, err := c.readResponse()
	r.is.NoErr(err)
	r.is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	r.is.True(strings.Contains(body, codeStopping) && strings.Contains(body, string(api.NotRun)))
	r.is.True(resp.Header.Get("Retry-After") != "")
	r.is.NoErr(<-done)
	requests, _ := x.count()
	r.is.Equal(requests, 0)
}
