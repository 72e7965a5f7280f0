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
	seconds, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
	r.is.NoErr(err)
	passShare := r.gateway.load.gate.PassShare()
	r.is.True(passShare > 0.2) // few are shed, so the caller may soon return
	r.is.True(seconds >= shedRetryAfter(1, 1).Seconds() && seconds <= shedRetryAfter(0.2, 0).Seconds())
}

// Guards against an instance whose refused callers return at once: at 2,300 attempts a second the
// refusals took all of its processor time.
func TestShedRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(shedRetryAfter(1, 0), retryAfterOtherInstance)
	is.Equal(shedRetryAfter(0.05, 0), 20*retryAfterOtherInstance)
	is.Equal(shedRetryAfter(0, 0), maxShedRetryAfter)
	for _, passShare := range []float64{0, 0.01, 0.3, 1} {
		longest, shortest := shedRetryAfter(passShare, 0), shedRetryAfter(passShare, 1)
		is.Equal(shortest, longest/2) // spread over half of it
		is.True(shortest >= retryAfterOtherInstance/2)
	}
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
// after SIGTERM, and its stream was truncated 0.5 s later.
func TestDrainRefusesLateRequests(t *testing.T) {
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		write(c, streamHeader(attemptID(r))+chunk(event(1))+endChunk)
	})
	r := newRig(t, x).configure(1)
	done := make(chan error, 1)
	go func() { done <- r.gateway.Drain(context.Background()) }()
	begin := time.Now()
	served, refused := 0, 0
	for i := 0; time.Since(begin) < drainAdmitTime+500*time.Millisecond; i++ { // new callers keep connecting
		c, err := net.Dial("tcp", r.gateway.listener.Addr().String())
		if err != nil {
			break // the listener may close when no connection arrives for a while
		}
		one := &caller{t, c, bufio.NewReader(c)}
		one.send(request("POST", "/chat/1", fmt.Sprintf("id%d", i), "x"))
		a, body, err := one.readResponse()
		r.is.NoErr(err) // never closed without a response
		c.Close()
		if a.StatusCode == http.StatusOK {
			served++
			r.is.True(time.Since(begin) < drainAdmitTime+200*time.Millisecond)
		} else {
			refused++
			r.is.True(strings.Contains(body, codeStopping))
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.is.True(served > 20 && refused > 5)
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
		if resp.StatusCode == http.StatusServiceUnavailable {
			r.is.True(resp.Close) // the load balancer chooses an instance for each new connection
			c = r.dial()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.is.True(len(want) > 0)
	r.is.Equal(r.shed, want)
}
