// Package retrybudget implements a retry budget for each service. It bounds the retries
// of all instances together: in any window, there are at most Config.Ratio retries for
// each request plus Config.Slack. Each instance applies the ratio to its own requests
// and uses its share of the slack, so that the bound holds without coordination.
//
// The package reads no clock: the caller passes the time.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// slotsPerWindow divides a window. A retry counts until its slot has left the
	// window.
	slotsPerWindow = 10
	// ratioUsed is the part of the ratio that the budget grants. The rest allows for
	// requests at the edge of a window, whose retries are in another window.
	ratioUsed = 0.85
	// slackUsed is the part of the slack that the budgets of all instances grant
	// together.
	slackUsed = 0.6
)

// Config is the bound on the retries at one service.
type Config struct {
	Ratio  float64 // retries per request
	Slack  float64 // additional retries per window, of all instances together
	Window time.Duration
}

// Budget counts the requests and retries of this instance by service. It is safe for
// concurrent use.
type Budget struct {
	cfg Config

	mu         sync.Mutex
	slackShare float64 // part of the slack that this instance may use, 0 to 1
	services   map[string]*window
}

// window is a ring buffer of counts by slot. newestSlot is the index of the newest
// slot, counted from time 0.
type window struct {
	newestSlot int64
	requests   [slotsPerWindow]int
	retries    [slotsPerWindow]int
}

// New returns a budget for a single instance. SetInstances changes their number.
func New(c Config) *Budget {
	return &Budget{cfg: c, slackShare: 1, services: map[string]*window{}}
}

// SetInstances sets the number of instances that share the slack. If n is 0, the
// number is unknown and this instance uses no slack.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackShare = 0
	if n > 0 {
		b.slackShare = 1 / float64(n)
	}
}

// CountRequest counts a request for a service. Retries are counted by AllowRetry instead.
func (b *Budget) CountRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	w.requests[w.newestSlot%slotsPerWindow]++
}

// AllowRetry reports whether the budget of a service allows a retry now, and counts the
// retry if so.
func (b *Budget) AllowRetry(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	requests, retries := 0, 0
	for i := range slotsPerWindow {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	limit := ratioUsed*b.cfg.Ratio*float64(requests) + slackUsed*b.cfg.Slack*b.slackShare
	if float64(retries+1) > limit {
		return false
	}
	w.retries[w.newestSlot%slotsPerWindow]++
	return true
}

// windowAt returns the window of a service, advanced to now: slots that have left the
// window are cleared.
func (b *Budget) windowAt(service string, now time.Duration) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	slotLength := max(b.cfg.Window/slotsPerWindow, time.Millisecond)
	slot := int64(now / slotLength)
	for ; w.newestSlot < slot && slot-w.newestSlot <= slotsPerWindow; w.newestSlot++ {
		w.clearSlot(w.newestSlot + 1)
	}
	if w.newestSlot < slot {
		*w = window{newestSlot: slot}
	}
	return w
}

// clearSlot resets the counts of a slot.
func (w *window) clearSlot(slot int64) {
	w.requests[slot%slotsPerWindow], w.retries[slot%slotsPerWindow] = 0, 0
}
