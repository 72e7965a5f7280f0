package owner_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var seeds = flag.Int("seeds", 8, "number of random orders of faults")

// mostWithinSecond returns the largest number of arrivals at a target within a second, and when that ends.
func mostWithinSecond(arrivals []arrival) (most int, at time.Time) {
	first := 0
	for i, a := range arrivals {
		for a.at.Sub(arrivals[first].at) >= time.Second {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, a.at
		}
	}
	return most, at
}

// startedBetween returns the number of arrivals at all targets in an interval.
func (f *fleet) startedBetween(from, to time.Time) int {
	n := 0
	for _, arrivals := range f.arrivals {
		for _, a := range arrivals {
			if !a.at.Before(from) && a.at.Before(to) {
				n++
			}
		}
	}
	return n
}

// askedBetween returns the number of requests that callers have sent in an interval.
func (f *fleet) askedBetween(from, to time.Time) int {
	n := 0
	for _, at := range f.asked {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// run plays a load and faults for a time, then ends all processes.
func (f *fleet) run(perSecond float64, duration time.Duration, faults func()) {
	end, number := time.Now().Add(duration), 0
	var wg sync.WaitGroup
	go faults()
	for time.Now().Before(end) {
		f.mu.Lock()
		wait := time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
		e := f.entries[f.rng.IntN(len(f.entries))]
		f.mu.Unlock()
		time.Sleep(wait)
		number++
		f.asked = append(f.asked, time.Now())
		n := number
		wg.Go(func() { f.request(e, n) })
	}
	wg.Wait()
	f.end()
}

// end ends all processes.
func (f *fleet) end() {
	for _, list := range [][]*node{f.entries, f.controls} {
		for _, n := range list {
			n.cancel()
			must(n.duties.Wait())
		}
	}
	time.Sleep(time.Second) // messages on their way arrive: time stands still once the test has ended
}

// checkBound fails if a target has got more in a second than a cold one may.
func (f *fleet) checkBound(t *testing.T, begin time.Time) {
	t.Helper()
	for id, arrivals := range f.arrivals {
		if most, at := mostWithinSecond(arrivals); float64(most) > coldPerSecond*coldOverage+coldSlack {
			t.Errorf("%s: %d requests in the second until %v", id, most, at.Sub(begin))
		}
	}
	if t.Failed() {
		t.Log("timeline:\n" + strings.Join(f.timeline, "\n"))
	}
}

func (f *fleet) connect() {
	for _, e := range f.entries {
		for _, c := range f.controls {
			f.setLink(e, c, true)
		}
	}
	f.elect(0)
}

// Guards against targets that get more starts in a second than a cold one may, summed over all entry
// instances, while no owner responds and when a new one begins (FAILBACK); and against entry instances
// that refuse most requests meanwhile although the targets have room.
func TestStartLimitWithoutOwner(t *testing.T) {
	for _, entries := range []int{1, 7, 20} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				targets := max(6, entries*4/5)
				load := 14 * targets // requests per second
				f := newFleet(uint64(entries), 5, entries, targets)
				f.connect()
				f.run(float64(load), 16*time.Second, func() {
					time.Sleep(6 * time.Second)
					for _, c := range f.controls {
						c.stop()
					}
					time.Sleep(900 * time.Millisecond)
					for i := range f.controls {
						f.restart(f.controls, i)
					}
					time.Sleep(700 * time.Millisecond)
					f.elect(1)
				})
				f.checkBound(t, begin)
				second := func(n float64) time.Time { return begin.Add(time.Duration(n * float64(time.Second))) }
				before, without, after := f.startedBetween(second(4), second(5)), f.startedBetween(second(6.5), second(7.5)), f.startedBetween(second(10), second(15))/5
				asked := f.askedBetween(second(4), second(5)) // the load of a single second is random
				t.Logf("starts per second: %d of %d before, %d without an owner, %d after; refused %v", before, asked, without, after, f.refused)
				if before < asked*8/10 || without < load/2 || after < load*8/10 {
					t.Errorf("starts per second: %d of %d before, %d without an owner, %d after", before, asked, without, after)
				}
			})
		})
	}
}

// Guards against orders of events in which the starts of entry instances that place requests themselves,
// of a former owner and of a new one add up to more than a cold target may get in a second.
func TestStartLimitUnderFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				f := newFleet(seed, 3, 2+int(seed%7), 4)
				f.connect()
				rng := rand.New(rand.NewPCG(seed, 1))
				f.run(90, 25*time.Second, func() {
					for time.Since(begin) < 20*time.Second {
						time.Sleep(time.Duration(300+rng.IntN(2500)) * time.Millisecond)
						f.fault(rng)
					}
				})
				f.checkBound(t, begin)
			})
		})
	}
}

// fault plays one fault, which may last beyond the call.
func (f *fleet) fault(rng *rand.Rand) {
	ms := func(from, to int) time.Duration { return time.Duration(from+rng.IntN(to-from)) * time.Millisecond }
	control, entry := rng.IntN(len(f.controls)), rng.IntN(len(f.entries))
	switch rng.IntN(6) {
	case 0: // another leader
		f.elect(control)
	case 1: // the leader is killed, another one is elected
		i := 0
		for j, c := range f.controls {
			if c == f.leader {
				i = j
			}
		}
		f.controls[i].stop()
		time.Sleep(ms(500, 1500))
		f.elect((i + 1) % len(f.controls))
		time.Sleep(ms(1, 500))
		f.restart(f.controls, i)
	case 2: // an entry instance is killed
		f.entries[entry].stop()
		time.Sleep(ms(10, 2000))
		f.restart(f.entries, entry)
	case 3: // some entry instances are cut from the leader
		for _, e := range f.entries {
			if leader := f.leader; rng.IntN(2) == 0 {
				f.setCut(e, leader, true)
				time.AfterFunc(ms(50, 4000), func() { f.setCut(e, leader, false) })
			}
		}
	case 4: // messages are late
		late := ms(100, 900)
		f.mu.Lock()
		f.late = late
		f.mu.Unlock()
		f.note("messages are %v late", late)
		time.AfterFunc(ms(100, 3000), func() {
			f.mu.Lock()
			f.late = 0
			f.mu.Unlock()
			f.note("messages are in time")
		})
	case 5: // all control instances are killed
		for _, c := range f.controls {
			c.stop()
		}
		time.Sleep(ms(100, 1500))
		for i := range f.controls {
			f.restart(f.controls, i)
		}
		time.Sleep(ms(300, 1200))
		f.elect(control)
	}
}
