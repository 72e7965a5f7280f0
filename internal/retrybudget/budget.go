// Package retrybudget bounds the repeats of requests at each service. All
// instances share one bound: in any window, repeats are at most a ratio of the
// requests and a slack. Each instance keeps to the ratio of its own requests and
// to its part of the slack, so that the sum holds without coordination.
//
// The package is pure: time is an argument. It answers for any load.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// slots divide a window. A repeat counts until its slot has left the window.
	slots = 10
	// ratioUsed is the part of the ratio that is used: requests at the edge of a
	// window are counted in another one than their repeats.
	ratioUsed = 0.85
	// slackUsed is the part of the slack that all instances use together.
	slackUsed = 0.6
)

// Config states the bound.
type Config struct {
	Ratio  float64 // repeats for each request
	Slack  float64 // repeats in a window besides, over all instances
	Window time.Duration
}

// Budget counts requests and repeats by service. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu       sync.Mutex
	share    float64 // part of the slack that this instance may use
	services map[string]*window
}

// window holds the newest counts, one slot for each tenth of the window.
type window struct {
	slot     int64
	requests [slots]int
	repeats  [slots]int
}

// New returns a budget for an instance that knows of no others.
func New(c Config) *Budget {
	return &Budget{cfg: c, share: 1, services: map[string]*window{}}
}

// SetInstances sets the number of instances that share the slack. While it is not
// known (0), this instance uses none of it.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = 0
	if n > 0 {
		b.share = 1 / float64(n)
	}
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.slot%slots]++
}

// Repeat reports whether a request may be sent once more to a service, and
// counts it if so.
func (b *Budget) Repeat(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	requests, repeats := 0, 0
	for i := range slots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	limit := ratioUsed*b.cfg.Ratio*float64(requests) + slackUsed*b.cfg.Slack*b.share
	if float64(repeats+1) > limit {
		return false
	}
	w.repeats[w.slot%slots]++
	return true
}

// at returns the window of a service with the slots before it cleared.
func (b *Budget) at(service string, now time.Duration) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	length := max(b.cfg.Window/slots, time.Millisecond)
	slot := int64(now / length)
	for ; w.slot < slot && slot-w.slot <= slots; w.slot++ {
		w.clear(w.slot + 1)
	}
	if w.slot < slot {
		*w = window{slot: slot}
	}
	return w
}

func (w *window) clear(slot int64) {
	w.requests[slot%slots], w.repeats[slot%slots] = 0, 0
}
