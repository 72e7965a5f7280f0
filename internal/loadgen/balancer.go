package loadgen

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	readyPollInterval = 250 * time.Millisecond
	readyTimeout      = time.Second
)

// balancer simulates the platform's load balancer: it polls the readiness of each
// entry instance and selects only ready ones, as long as there is any.
type balancer struct {
	urls  []string      // readiness URLs by entry; nil means that all are ready
	ready []atomic.Bool // by entry
	// onReady is called when an entry becomes ready again, before it is selected.
	onReady func(entry int)
}

func newBalancer(p *Plan, onReady func(int)) *balancer {
	b := &balancer{urls: p.Ready, onReady: onReady, ready: make([]atomic.Bool, max(1, len(p.Entries)))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// run starts one poller per readiness URL; they stop when the context ends.
func (b *balancer) run(ctx context.Context) {
	for i, url := range b.urls {
		go b.poll(ctx, i, url)
	}
}

func (b *balancer) poll(ctx context.Context, i int, url string) {
	client := &fasthttp.Client{}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for {
		code, _, err := client.GetTimeout(nil, url, readyTimeout)
		ready := err == nil && code == fasthttp.StatusOK
		if ready && !b.ready[i].Load() {
			b.onReady(i)
		}
		b.ready[i].Store(ready)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// choose returns the index of the entry for the next attempt: the first ready one
// in round-robin order, which starts with the preferred entry and moves on by one
// for each earlier attempt. If no entry is ready, it returns the starting one.
func (b *balancer) choose(preferred, attempts int) int {
	n := len(b.ready)
	for i := range n {
		if e := (preferred + attempts + i) % n; b.ready[e].Load() {
			return e
		}
	}
	return (preferred + attempts) % n
}
