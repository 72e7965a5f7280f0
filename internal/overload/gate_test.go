package overload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// processor is an instance that serves accepted and refuses other requests, each at a
// cost, and ticks later the more work waits.
type processor struct {
	gate          *Gate
	serve, refuse time.Duration
	share         float64 // of a core
	backlog       time.Duration
	longest       time.Duration // backlog
	served        map[string]int
}

// run plays periods with requests a second of each workspace.
func (p *processor) run(periods int, rates map[string]float64) {
	for range periods {
		took := Period + time.Duration(float64(p.backlog)/p.share)
		work := time.Duration(0)
		for w, rate := range rates {
			for range int(rate * took.Seconds()) {
				if p.gate.Allow(w) {
					p.served[w]++
					work += p.serve
				} else {
					work += p.refuse
				}
			}
		}
		p.backlog = max(0, p.backlog+work-time.Duration(p.share*float64(took)))
		p.longest = max(p.longest, p.backlog)
		p.gate.Tick(took)
	}
}

func newProcessor() *processor {
	return &processor{gate: New(), serve: 650 * time.Microsecond, refuse: 80 * time.Microsecond, share: 0.19, served: map[string]int{}}
}

// Guards against an instance that accepts more than it can carry, so that every
// request waits and none is answered in time.
func TestBoundsOverload(t *testing.T) {
	is := is.New(t)
	p := newProcessor()
	p.run(100, map[string]float64{"large": 900, "small": 20})
	clear(p.served)
	p.run(100, map[string]float64{"large": 900, "small": 20})
	is.True(p.gate.Late() < 100*time.Millisecond)
	is.True(p.served["large"] > 10*100) // 100/s of the 190/s that fit beside the refusals
	is.True(p.served["small"] > 150)    // of 200
	is.True(p.backlog < 40*time.Millisecond)
}

// Guards against a bound where there is processor time left, or after the load has gone.
func TestNoBoundWithoutOverload(t *testing.T) {
	is := is.New(t)
	p := newProcessor()
	p.run(50, map[string]float64{"w": 250})
	is.True(math.IsInf(p.gate.Rate(), 1))
	is.Equal(p.served["w"], 50*25)
	p.run(50, map[string]float64{"w": 2000})
	is.True(!math.IsInf(p.gate.Rate(), 1))
	p.run(60, map[string]float64{"w": 50})
	is.True(math.IsInf(p.gate.Rate(), 1))
}

// Guards against an instance that attracts new callers while it refuses those it has,
// and against one that sends them away for good.
func TestShedding(t *testing.T) {
	is := is.New(t)
	p := newProcessor()
	p.run(50, map[string]float64{"w": 150})
	is.True(!p.gate.Shedding())
	p.run(10, map[string]float64{"w": 2000})
	is.True(p.gate.Shedding())
	p.run(shedTicks/2, map[string]float64{"w": 20})
	is.True(p.gate.Shedding())
	p.run(shedTicks, map[string]float64{"w": 20})
	is.True(!p.gate.Shedding())
}

// Guards against a process that was frozen and refuses its callers afterwards.
func TestFrozen(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Tick(10 * time.Second)
	is.True(math.IsInf(g.Rate(), 1))
	is.True(g.Allow("w"))
}

// Guards against a level that lets one workspace take what another one needs.
func TestFill(t *testing.T) {
	is := is.New(t)
	is.Equal(fill(map[string]int{"a": 100, "b": 2}, 20), 18.0)
	is.Equal(fill(map[string]int{"a": 10, "b": 10}, 8), 4.0)
	is.Equal(fill(map[string]int{"a": 3, "b": 4}, 10), 7.0) // 3 are left beside the largest demand
	is.Equal(fill(nil, 5), 5.0)
	is.True(math.IsInf(fill(map[string]int{"a": 3}, math.Inf(1)), 1))
}

// Guards against a flood that leaves seconds of work behind before the first late tick
// shows it: the requests accepted then wait until their callers have given up.
func TestSuddenFlood(t *testing.T) {
	is := is.New(t)
	p := newProcessor()
	p.run(50, map[string]float64{"large": 50, "small": 20})
	p.run(30, map[string]float64{"large": 1500, "small": 20})
	is.True(time.Duration(float64(p.longest)/p.share) < 500*time.Millisecond)
	is.True(p.served["small"] >= 120) // of 160
}

// Guards against a ramp that holds back an instance with enough processor time.
func TestRampFollowsLoad(t *testing.T) {
	is := is.New(t)
	p := newProcessor()
	p.share = 1
	p.run(10, map[string]float64{"w": 1000})
	clear(p.served)
	p.run(10, map[string]float64{"w": 1000})
	is.Equal(p.served["w"], 1000)
}

// Guards against a refused request whose memory stays counted.
func TestBytes(t *testing.T) {
	is := is.New(t)
	b := NewBytes(3)
	is.True(b.Take(2))
	is.True(!b.Take(2))
	is.Equal(b.Held(), int64(2))
	is.True(b.Take(1))
	b.Free(2)
	b.Free(1)
	is.Equal(b.Held(), int64(0))
}
