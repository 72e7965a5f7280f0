package loadgen

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	readyInterval = 250 * time.Millisecond
	readyLimit    = time.Second
)

// balancer plays the platform's load balancer: it polls the readiness of each
// entry and sends nothing to those that are not ready.
type balancer struct {
	urls  []string
	ready []atomic.Bool
	// returned is called before an entry is used again.
	returned func(entry int)
}

func newBalancer(p *Plan, returned func(int)) *balancer {
	b := &balancer{urls: p.Ready, returned: returned, ready: make([]atomic.Bool, max(1, len(p.Entries)))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// run polls until the context ends.
func (b *balancer) run(ctx context.Context) {
	for i, url := range b.urls {
		go b.poll(ctx, i, url)
	}
}

func (b *balancer) poll(ctx context.Context, i int, url string) {
	client := &fasthttp.Client{}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		code, _, err := client.GetTimeout(nil, url, readyLimit)
		now := err == nil && code == fasthttp.StatusOK
		if now && !b.ready[i].Load() {
			b.returned(i)
		}
		b.ready[i].Store(now)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// choose returns the wanted entry, or the next ready one. If none is ready the
// wanted one is used. skip leaves out entries already tried.
func (b *balancer) choose(wanted, skip int) int {
	n := len(b.ready)
	for i := range n {
		if e := (wanted + skip + i) % n; b.ready[e].Load() {
			return e
		}
	}
	return (wanted + skip) % n
}
