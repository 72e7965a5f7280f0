package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// BenchmarkAddedDelay measures a short call straight to a target and the same
// call through the router when nothing waits. The difference is the added delay.
func BenchmarkAddedDelay(b *testing.B) {
	target := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }}
	b.Run("direct", func(b *testing.B) {
		addr := serveLibrary(b, target)
		measure(b, addr, "GET", "/count")
	})
	for _, method := range []string{"GET", "POST"} { // POST uses a fresh connection to the target
		b.Run("router-"+method, func(b *testing.B) {
			addr := serveLibrary(b, target)
			r := newRig(b, &fakeTarget{name: "t1", addr: addr})
			s, _ := r.serve()
			measure(b, s.Addr(), method, "/v1/pools/svc/count")
		})
	}
}

func measure(b *testing.B, addr, method, path string) {
	c := &fasthttp.HostClient{Addr: addr}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.Header.Set("Authorization", "Bearer secret")
	took := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for b.Loop() {
		begin := time.Now()
		if err := c.Do(req, resp); err != nil || resp.StatusCode() != 200 {
			b.Fatal(err, resp.StatusCode())
		}
		took = append(took, time.Since(begin))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}
