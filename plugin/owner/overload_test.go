package owner_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nutmegrouter/internal/api"
)

// served returns the number of arrivals at all targets in an interval, by workspace.
func (f *fleet) served(from, to time.Time) map[string]int {
	out := map[string]int{}
	for _, arrivals := range f.arrivals {
		for _, a := range arrivals {
			if !a.at.Before(from) && a.at.Before(to) {
				out[a.workspace]++
			}
		}
	}
	return out
}

// load sends requests of workspaces in turn through all entry instances, from an instant for a time.
// Refused callers come back after the time that the refusal names, until their deadline.
func (f *fleet) load(wg *sync.WaitGroup, seed uint64, from, duration time.Duration, perSecond float64, workspaces ...string) {
	const patience, attempts = 3 * time.Second, 3
	rng := rand.New(rand.NewPCG(seed, uint64(len(workspaces))))
	wg.Go(func() {
		time.Sleep(from)
		for number, end := 0, time.Now().Add(duration); time.Now().Before(end); number++ {
			time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			e, id, workspace := f.entries[rng.IntN(len(f.entries))], int(rng.Int32()), workspaces[number%len(workspaces)]
			wg.Go(func() {
				begin := time.Now()
				for range attempts {
					var refusal *api.Refusal
					if err := f.requestOf(e, workspace, id); !errors.As(err, &refusal) || time.Since(begin)+refusal.RetryAfter > patience {
						return
					}
					time.Sleep(refusal.RetryAfter)
				}
			})
		}
	})
}

// Guards against an owner that gets more work than its processor bears, decides on requests that nobody
// waits for any more, and serves nearly nobody, also long after the load has ended (FAIR).
func TestOwnerBeyondItsProcessor(t *testing.T) {
	const normal, flood = 250.0, 2000.0 // requests per second
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				f := newFleet(seed, 3, 20, 40)
				f.cost = &cost{received: 320 * time.Microsecond, sent: 240 * time.Microsecond, searched: 800 * time.Microsecond}
				f.connect()
				var wg sync.WaitGroup
				f.load(&wg, seed, 0, 16*time.Second, normal, "w1", "w2", "w3", "w4", "w5", "w6", "w7")
				f.load(&wg, seed, 6*time.Second, 4*time.Second, flood, "flood")
				wg.Wait()
				f.end()
				f.checkBound(t, begin)
				perSecond := func(from, to float64) (others, flood int) {
					for w, n := range f.served(begin.Add(time.Duration(from*float64(time.Second))), begin.Add(time.Duration(to*float64(time.Second)))) {
						if w == "flood" {
							flood += n
						} else {
							others += n
						}
					}
					return int(float64(others) / (to - from)), int(float64(flood) / (to - from))
				}
				for _, c := range []struct {
					name     string
					from, to float64
					least    float64 // part of the normal load
				}{{"before", 2, 6, 0.9}, {"during", 7, 10, 0.5}, {"after", 11, 16, 0.9}} {
					others, flooded := perSecond(c.from, c.to)
					t.Logf("%s: %d a second served, and %d of the flood", c.name, others, flooded)
					if float64(others) < c.least*normal {
						t.Errorf("%s: %d a second served, want %.0f", c.name, others, c.least*normal)
					}
				}
				t.Logf("refused: %v", f.refused)
				if n := f.refused["starts_reached"]; n > 0 {
					t.Errorf("%d requests refused as without an owner, which was slow and not lost", n)
				}
				if testing.Verbose() {
					for s := 0.0; s < 16; s++ {
						others, flooded := perSecond(s, s+1)
						t.Logf("second %2.0f: %d, %d", s, others, flooded)
					}
				}
				if t.Failed() || testing.Verbose() {
					t.Log("timeline:\n" + strings.Join(f.timeline, "\n"))
				}
			})
		})
	}
}
