package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against repeats beyond the stated bound in any window, whatever the
// order of requests and repeats on several instances.
func TestBoundOverInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		all := make([]*Budget, n)
		for i := range all {
			all[i] = New(cfg)
			all[i].SetInstances(n)
		}
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond
			b := all[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.Request("s", now)
				requests = append(requests, now)
			} else if b.Repeat("s", now) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			in := func(list []time.Duration, from, to time.Duration) (c int) {
				for _, at := range list {
					if at > from && at <= to {
						c++
					}
				}
				return c
			}
			got := in(repeats, end-cfg.Window, end)
			base := max(in(requests, end-cfg.Window, end), in(requests, end-2*cfg.Window, end-cfg.Window), in(requests, end-3*cfg.Window/2, end-cfg.Window/2))
			if float64(got) > cfg.Ratio*float64(base)+cfg.Slack+1 {
				t.Fatalf("%d repeats for %d requests", got, base)
			}
		}
	})
}

// Guards against a budget that stays used up after its window.
func TestBudgetReturns(t *testing.T) {
	is := is.New(t)
	b := New(Config{Ratio: 0.5, Window: 10 * time.Second})
	for range 10 {
		b.Request("s", 0)
	}
	for range 4 {
		is.True(b.Repeat("s", time.Second))
	}
	is.True(!b.Repeat("s", time.Second))
	for range 10 {
		b.Request("s", 12*time.Second)
	}
	is.True(b.Repeat("s", 12*time.Second))
	is.True(!b.Repeat("other", 12*time.Second))
}
