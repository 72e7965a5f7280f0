package placer

import (
	"fmt"
	"testing"
	"time"

	"nutmegrouter/internal/api"
)

// Guards against throttling that draws once for a whole session, whose requests have the same last prompt part: half of
// its requests must pass if half of the workspace's do.
func TestThrottleDrawsRequestsOfSession(t *testing.T) {
	const requests = 1000
	for _, x := range []struct {
		name     string
		url      func(n int) string
		interval time.Duration
	}{
		{"URLs of their own", func(n int) string { return fmt.Sprint("/chat/", n) }, 0},
		{"word for word the same", func(int) string { return "/chat" }, 2 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := newHarness(t)
			passed := 0
			for n := range requests {
				r.Advance(x.interval, x.interval)
				w := modelRequest()
				w.Identity = api.NewRequestIdentity("flood", []byte("POST"), []byte("h"), []byte(x.url(n)), nil)
				w.CallerDeadline = r.p.clock.Now() + 12*time.Second
				r.p.throttle.SetShare("flood", 0.5, r.p.clock.Now())
				if r.p.Precheck(w) == nil {
					passed++
				}
			}
			r.True(passed >= 4*requests/10 && passed <= 6*requests/10)
		})
	}
}

// Guards against a caller that is throttled at one instance and passes at the next one: a retry must get the result of
// the first attempt, also where the wall clocks of the instances differ a little.
func TestThrottledRetryIsRefusedElsewhere(t *testing.T) {
	const requests = 1000
	first, second := newHarness(t), newHarness(t)
	second.Advance(3*time.Hour, 50*time.Millisecond) // its kernel clock says nothing to others
	same, refused := 0, 0
	for n := range requests {
		w := modelRequest()
		w.Identity = api.NewRequestIdentity("flood", []byte("POST"), []byte("h"), []byte(fmt.Sprint("/chat/", n)), nil)
		first.p.throttle.SetShare("flood", 0.5, first.p.clock.Now())
		w.CallerDeadline = first.p.clock.Now() + 12*time.Second
		if first.p.Precheck(w) == nil {
			continue
		}
		refused++
		for _, r := range []*harness{first, second} {
			r.Advance(2*time.Second, 2*time.Second)
		}
		second.p.throttle.SetShare("flood", 0.5, second.p.clock.Now())
		w.CallerDeadline = second.p.clock.Now() + 10*time.Second
		if second.p.Precheck(w) != nil {
			same++
		}
	}
	first.True(refused >= 4*requests/10)
	first.True(same >= 9*refused/10)
}
