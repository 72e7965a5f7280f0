package gateway

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"nutmegrouter/internal/overload"
)

// Guards against an instance without processor time that accepts requests which it
// cannot serve in time, while the retry of a refused one would reach another instance.
func TestRefusesWithoutProcessorTime(t *testing.T) {
	x := newTarget(t, "t1", echo("ok"))
	r := newRig(t, x).configured(1)
	c := r.dial()
	c.send(request("POST", "/look/1", "a1", "x"))
	c.want(http.StatusOK, "ok")
	for range 20 { // the processor is late and one request a period is wanted
		r.gateway.load.allow("w")
		r.gateway.load.tick(overload.Period + 100*time.Millisecond)
	}
	var refused *http.Response
	var body string
	for n := 0; refused == nil && n < 50; n++ {
		c.send(request("POST", "/look/1", "b", "x"))
		a, text, err := c.answer()
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

// Guards against a balancer that goes on sending new callers to an instance that
// refuses requests for want of processor time: on the grown Amman site the callers that
// came again met the same saturated instance.
func TestNotReadyWithoutProcessorTime(t *testing.T) {
	r := newRig(t).configured(1)
	r.is.Equal(r.gateway.notReady(), "")
	for r.gateway.load.allow("w") == nil {
	}
	r.until("no processor time left", func() bool { return r.gateway.notReady() == "no processor time left" })
	r.until("ready again", func() bool { return r.gateway.notReady() == "" }) // after a second without a refusal
}

// Guards against a measure that is blind to the work that waits for the processor: the
// runtime runs a timer's goroutine first, however many others are ready. Here each of
// them waits for about 120 ms.
func TestLoadCountsReadyWork(t *testing.T) {
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
	late := g.load.lateness()
	cancel()
	_ = busy.Wait() // the canceled context
	t.Logf("ticks come %v late", late)
	is.New(t).True(late > 50*time.Millisecond)
}

// Guards against a stopping instance that takes requests to its end and cuts them: on
// the Quito site the balancer had too few instances left and sent a request 7.3 s after
// SIGTERM; its stream was cut 0.5 s later.
func TestStopTakesNoLateRequest(t *testing.T) {
	x := newTarget(t, "t1", echo("ok"))
	r := newRig(t, x).configured(1)
	done := make(chan error, 1)
	go func() { done <- r.gateway.Drain(context.Background()) }()
	begin := time.Now()
	served, refused := 0, 0
	for i := 0; time.Since(begin) < lastTaken+500*time.Millisecond; i++ { // callers keep coming
		c, err := net.Dial("tcp", r.gateway.listener.Addr().String())
		if err != nil {
			break // the listener may close once nobody comes
		}
		one := &caller{t, c, bufio.NewReader(c)}
		one.send(request("GET", "/look/1", fmt.Sprintf("id%d", i), ""))
		a, body, err := one.answer()
		r.is.NoErr(err) // never cut
		c.Close()
		if a.StatusCode == http.StatusOK {
			served++
			r.is.True(time.Since(begin) < lastTaken+200*time.Millisecond)
		} else {
			refused++
			r.is.True(strings.Contains(body, codeStopping))
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.is.True(served > 20 && refused > 5)
	r.is.NoErr(<-done)
}

// Guards against requests that a saturated instance refuses and of which the owner of the
// placements does not know: on large Amman scale-2 a workspace whose callers met saturated
// instances counted as one that gets most of what it asks for, and another one got 2.4
// times as much.
func TestBusyRefusalsAreTold(t *testing.T) {
	r := newRig(t, newTarget(t, "t1", echo("ok"))).configured(1)
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
			path = "/order/1" // asks for no share of the tokens
		}
		c.send(request("POST", path, id, "x"))
		resp, body, err := c.answer()
		r.is.NoErr(err)
		if resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, codeBusy) && path == "/chat/1" {
			want = append(want, id)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.is.True(len(want) > 0)
	r.is.Equal(r.turnedAway, want)
}
