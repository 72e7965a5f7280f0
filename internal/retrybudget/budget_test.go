package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against more retries than the configured bound in any window, for random
// orders of requests and retries on several instances.
func TestBoundAcrossInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		all := make([]*Budget, n)
		for i := range all {
			all[i] = New(cfg)
			all[i].SetInstances(n)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond
			b := all[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest("s", now)
				requests = append(requests, now)
			} else if b.AllowRetry("s", now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			countWithin := func(list []time.Duration, from, to time.Duration) (c int) {
				for _, at := range list {
					if at > from && at <= to {
						c++
					}
				}
				return c
			}
			retriesInWindow := countWithin(retries, end-cfg.Window, end)
			maxRequests := max(countWithin(requests, end-cfg.Window, end), countWithin(requests, end-2*cfg.Window, end-cfg.Window), countWithin(requests, end-3*cfg.Window/2, end-cfg.Window/2))
			if float64(retriesInWindow) > cfg.Ratio*float64(maxRequests)+cfg.Slack+1 {
				t.Fatalf("%d retries for %d requests", retriesInWindow, maxRequests)
			}
		}
	})
}

// Guards against a budget that stays exhausted after its window.
func TestBudgetRecovers(t *testing.T) {
	is := is.New(t)
	b := New(Config{Ratio: 0.5, Window: 10 * time.Second})
	for range 10 {
		b.CountRequest("s", 0)
	}
	for range 4 {
		is.True(b.AllowRetry("s", time.Second))
	}
	is.True(!b.AllowRetry("s", time.Second))
	for range 10 {
		b.CountRequest("s", 12*time.Second)
	}
	is.True(b.AllowRetry("s", 12*time.Second))
	is.True(!b.AllowRetry("other", 12*time.Second))
}
