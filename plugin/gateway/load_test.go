package gateway

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"nutmegrouter/internal/overload"
)

// Guards against an instance without processor time that admits requests which miss
// their deadline, whereas the retry of a refused one would reach another instance.
func TestRefusesWithoutProcessorTime(t *testing.T) {
	x := newTarget(t, "t1", respondWith("ok"))
	r := newRig(t, x).configure(1)
	c := r.dial()
	c.send(request("POST", "/look/1", "a1", "x"))
	c.want(http.StatusOK, "ok")
	for range 20 { // ticks are late, with one request in each period
		r.gateway.load.allow("w")
		r.gateway.load.tick(overload.Period + 100*time.Millisecond)
	}
	var refused *http.Response
	var body string
	for n := 0; refused == nil && n < 50; n++ {
		c.send(request("POST", "/look/1", "b", "x"))
		a, text, err := c.readResponse()
		r.is.NoErr(err)
		if a.StatusCode != http.StatusOK {
			refused, body = a, text
		}
	}
	r.is.True(refused != nil)
	r.is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	r.is.True(strings.Contains(body, codeBusy))
	r.is.Equal(refused.Header.Get("Retry-After"), "0.050")
}

// Guards against an instance that stays ready while it sheds requests for lack of
// processor time: the balancer then sends retries to the same saturated instance.
func TestNotReadyWithoutProcessorTime(t *testing.T) {
	r := newRig(t).configure(1)
	r.is.Equal(r.gateway.notReadyReason(), "")
	for r.gateway.load.allow("w") == nil {
	}
	r.waitUntil("no processor time left", func() bool { return r.gateway.notReadyReason() == "no processor time left" })
	r.waitUntil("ready again", func() bool { return r.gateway.notReadyReason() == "" }) // after a second without a refusal
}

// Guards against a load measurement that does not see ready goroutines: the runtime runs
// a timer's goroutine ahead of them, however many there are. Here each of them waits for
// about 120 ms.
func TestLoadMeasuresRunQueueDelay(t *testing.T) {
	g := &Gateway{load: newLoadGate(), log: slog.New(slog.DiscardHandler)}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(context.Background())
	var busy errgroup.Group
	for range 60 {
		busy.Go(func() error {
			for ctx.Err() == nil {
				for begin := time.Now(); time.Since(begin) < 2*time.Millisecond; {
				}
				runtime.Gosched()
			}
			return nil
		})
	}
	busy.Go(func() error { return g.watchLoad(ctx) })
	time.Sleep(3 * time.Second)
	delay := g.load.schedulingDelay()
	cancel()
	_ = busy.Wait() // returns the context's error
	t.Logf("scheduling delay %v", delay)
	is.New(t).True(delay > 50*time.Millisecond)
}

// Guards against a draining instance that admits requests until the process exits and
// truncates their responses: a balancer with too few ready instances sent a request 7.3 s
// after SIGTERM, and its stream was truncated 0.5 s later. Also guards against one that accepts
// no connection while it drains, or refuses what it can serve in time.
func TestDrainRefusesLateRequests(t *testing.T) {
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		if strings.HasPrefix(r.URL.Path, "/draft") { // keeps the instance draining until its end
			write(c, streamHeader(attemptID(r))+chunk(event(1)))
			return
		}
		write(c, fullResponse(200, attemptID(r), "ok"))
	})
	r := newRig(t, x).configure(1)
	stream := r.dial()
	stream.send(request("POST", "/draft/1", "stream", "x"))
	const (
		stopTime   = 5*time.Second - stopMargin // of the rig
		streamTime = 3800 * time.Millisecond    // less than the deadline of the stream
	)
	begin := time.Now()
	done := make(chan error, 1)
	go func() { done <- r.gateway.Drain(context.Background()) }()
	served, refused := map[string]int{}, map[string]int{}
	for i := 0; time.Since(begin) < streamTime; i++ { // callers connect at long intervals
		for _, deadlineMs := range []string{"1400", "400"} {
			c, err := net.Dial("tcp", r.gateway.listener.Addr().String())
			r.is.NoErr(err)
			one := &caller{t, c, bufio.NewReader(c)}
			sentAt := time.Since(begin)
			one.send(strings.Replace(request("GET", "/look/1", fmt.Sprint("id", i, deadlineMs), ""), ": 4000", ": "+deadlineMs, 1))
			a, body, err := one.readResponse()
			r.is.NoErr(err) // never closed without a response
			c.Close()
			ms, err := strconv.Atoi(deadlineMs)
			r.is.NoErr(err)
			endsAt := sentAt + time.Duration(ms)*time.Millisecond
			if a.StatusCode == http.StatusOK {
				served[deadlineMs]++
				r.is.True(endsAt <= stopTime+100*time.Millisecond) // time from the start of Drain to its clock reading
			} else {
				refused[deadlineMs]++
				r.is.True(strings.Contains(body, codeStopping))
				r.is.True(endsAt > stopTime-100*time.Millisecond) // could not be served in time
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.is.True(served["400"] > served["1400"] && served["1400"] > 5)
	r.is.True(refused["1400"] >= 1)
	r.is.NoErr(<-done)
}

// Guards against shed requests that are not reported to the placer: the owner then took
// the demand of a workspace whose callers reach saturated instances for mostly met, and
// gave another workspace 2.4 times as much.
func TestShedRequestsAreReported(t *testing.T) {
	r := newRig(t, newTarget(t, "t1", respondWith("ok"))).configure(1)
	for range 20 {
		r.gateway.load.allow("w")
		r.gateway.load.tick(overload.Period + 100*time.Millisecond)
	}
	c := r.dial()
	var want []string
	for n := range 20 {
		id := fmt.Sprint("id", n)
		path := "/chat/1"
		if n%5 == 4 {
			path = "/order/1" // a plain service: uses no tokens
		}
		c.send(request("POST", path, id, "x"))
		resp, body, err := c.readResponse()
		r.is.NoErr(err)
		if resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, codeBusy) && path == "/chat/1" {
			want = append(want, id)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.is.True(len(want) > 0)
	r.is.Equal(r.shed, want)
}
