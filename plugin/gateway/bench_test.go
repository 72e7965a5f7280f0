package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/overload"
	"nutmegrouter/platform/standin"
)

// newBenchRig starts a gateway that logs through a bounded queue, as the daemon does.
func newBenchRig(b *testing.B, targets ...*target) *rig {
	q := logqueue.New(io.Discard, metrics.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { q.Run(ctx); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	r := &rig{t: b, is: is.New(b), targets: targets}
	return r.start(1, q.Handler(0)).configure(1)
}

// reset ends the limits on the request rate and on bursts.
func (l *loadGate) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate = overload.New()
}

// longRequest returns a model request with a body and headers of typical size.
func longRequest(id string) string {
	return request("POST", "/draft/1", id, strings.Repeat("x", 12000),
		standin.HeaderModel+": m", standin.HeaderTokens+": 11992,425", standin.HeaderPrompt+": 5c1e07a2:512,91bd3f06:4870,"+id+":6610")
}

// measure sends b.N requests on one connection and calls prepare before each.
func (r *rig) measure(b *testing.B, status int, prepare func()) {
	c := r.dial()
	b.ResetTimer()
	for i := range b.N {
		prepare()
		c.send(longRequest(fmt.Sprintf("%08x", i)))
		c.want(status, "*")
	}
}

// BenchmarkRefused measures a request that Precheck refuses. An overloaded workspace
// makes an instance do little else.
func BenchmarkRefused(b *testing.B) {
	r := newBenchRig(b)
	r.precheck = &api.Refusal{Code: "share_exceeded", Status: 503, Run: api.NotRun, Step: "place", RetryAfter: time.Second, Message: "the workspace exceeds its share"}
	r.measure(b, http.StatusServiceUnavailable, r.gateway.load.reset)
}

// BenchmarkBusy measures a request that is shed for lack of processor time.
func BenchmarkBusy(b *testing.B) {
	r := newBenchRig(b)
	for range 20 {
		r.gateway.load.allow("w")
		r.gateway.load.tick(200 * time.Millisecond)
	}
	b.ResetTimer()
	for i := range b.N { // on a connection each, because the instance closes that of a request that it sheds
		c := r.dial()
		c.send(longRequest(fmt.Sprintf("%08x", i)))
		c.want(http.StatusServiceUnavailable, "*")
		_ = c.Close()
	}
}

// BenchmarkStream measures a streamed response of 40 events.
func BenchmarkStream(b *testing.B) {
	x := newTarget(b, "t1", func(c net.Conn, r *http.Request, _ int) {
		write(c, streamHeader(attemptID(r)))
		for n := range 40 {
			write(c, chunk(fmt.Sprintf("id: %d\ndata: %075d\n\n", n+1, n)))
			time.Sleep(50 * time.Microsecond)
		}
		write(c, endChunk)
	})
	r := newBenchRig(b, x)
	r.measure(b, http.StatusOK, r.gateway.load.reset)
}
