package overload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulatedInstance is an instance that spends processor time on served and on shed
// requests. Its ticks are delayed in proportion to its backlog.
type simulatedInstance struct {
	gate                *Gate
	serveTime, shedTime time.Duration
	coreShare           float64 // fraction of a core
	backlog             time.Duration
	maxBacklog          time.Duration // processor time
	served              map[string]int
}

// run simulates a number of periods. rates is the load per workspace, in requests a
// second.
func (p *simulatedInstance) run(periods int, rates map[string]float64) {
	for range periods {
		elapsed := Period + time.Duration(float64(p.backlog)/p.coreShare)
		work := time.Duration(0)
		for w, rate := range rates {
			for range int(rate * elapsed.Seconds()) {
				if p.gate.Allow(w, 0) {
					p.served[w]++
					work += p.serveTime
				} else {
					work += p.shedTime
				}
			}
		}
		p.backlog = max(0, p.backlog+work-time.Duration(p.coreShare*float64(elapsed)))
		p.maxBacklog = max(p.maxBacklog, p.backlog)
		p.gate.Tick(elapsed)
	}
}

func newSimulatedInstance() *simulatedInstance {
	return &simulatedInstance{gate: New(), serveTime: 650 * time.Microsecond, shedTime: 80 * time.Microsecond, coreShare: 0.19, served: map[string]int{}}
}

// Guards against an instance that accepts more requests than it can serve, so that all
// of them wait and miss their deadlines.
func TestBoundsOverload(t *testing.T) {
	is := is.New(t)
	p := newSimulatedInstance()
	p.run(100, map[string]float64{"large": 900, "small": 20})
	clear(p.served)
	p.run(100, map[string]float64{"large": 900, "small": 20})
	is.True(p.gate.MeanDelay() < 100*time.Millisecond)
	is.True(p.served["large"] > 10*100) // 100/s of the 190/s for which there is time besides shedding
	is.True(p.served["small"] > 150)    // of 200 sent
	is.True(p.backlog < 40*time.Millisecond)
}

// Guards against a rate limit while there is free processor time, and one that remains
// after the load has ended.
func TestNoBoundWithoutOverload(t *testing.T) {
	is := is.New(t)
	p := newSimulatedInstance()
	p.run(50, map[string]float64{"w": 250})
	is.True(math.IsInf(p.gate.Rate(), 1))
	is.Equal(p.served["w"], 50*25)
	p.run(50, map[string]float64{"w": 2000})
	is.True(!math.IsInf(p.gate.Rate(), 1))
	p.run(60, map[string]float64{"w": 50})
	is.True(math.IsInf(p.gate.Rate(), 1))
}

// Guards against an instance that stays ready for new callers while it sheds requests,
// and against one that never becomes ready again.
func TestShedding(t *testing.T) {
	is := is.New(t)
	p := newSimulatedInstance()
	p.run(50, map[string]float64{"w": 150})
	is.True(!p.gate.Shedding())
	p.run(10, map[string]float64{"w": 2000})
	is.True(p.gate.Shedding())
	p.run(readyAfterTicks/2, map[string]float64{"w": 20})
	is.True(p.gate.Shedding())
	p.run(readyAfterTicks, map[string]float64{"w": 20})
	is.True(!p.gate.Shedding())
}

// Guards against a process that sheds requests after it was suspended.
func TestSuspendedProcess(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Tick(10 * time.Second)
	is.True(math.IsInf(g.Rate(), 1))
	is.True(g.Allow("w", 0))
}

// Guards against a limit that lets one workspace use the fair share of another.
func TestFairLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(fairLimit(map[string]int{"a": 100, "b": 2}, 20), 18.0)
	is.Equal(fairLimit(map[string]int{"a": 10, "b": 10}, 8), 4.0)
	is.Equal(fairLimit(map[string]int{"a": 3, "b": 4}, 10), 7.0) // 3 are unused: added to the largest demand
	is.Equal(fairLimit(nil, 5), 5.0)
	is.True(math.IsInf(fairLimit(map[string]int{"a": 3}, math.Inf(1)), 1))
}

// Guards against a sudden overload that adds seconds of work before the first delayed
// tick: the accepted requests would wait until their callers have disconnected.
func TestSuddenOverload(t *testing.T) {
	is := is.New(t)
	p := newSimulatedInstance()
	p.run(50, map[string]float64{"large": 50, "small": 20})
	p.run(30, map[string]float64{"large": 1500, "small": 20})
	is.True(time.Duration(float64(p.maxBacklog)/p.coreShare) < 500*time.Millisecond)
	is.True(p.served["small"] >= 120) // of 160 sent
}

// Guards against a burst limit that sheds requests of an instance with free processor
// time.
func TestRampFollowsLoad(t *testing.T) {
	is := is.New(t)
	p := newSimulatedInstance()
	p.coreShare = 1
	p.run(10, map[string]float64{"w": 1000})
	clear(p.served)
	p.run(10, map[string]float64{"w": 1000})
	is.Equal(p.served["w"], 1000)
}

// Guards against memory that stays reserved after Reserve has returned false.
func TestBytes(t *testing.T) {
	is := is.New(t)
	m := NewMemoryLimit(3)
	is.True(m.Reserve(2))
	is.True(!m.Reserve(2))
	is.Equal(m.Reserved(), int64(2))
	is.True(m.Reserve(1))
	m.Release(2)
	m.Release(1)
	is.Equal(m.Reserved(), int64(0))
}

// Guards against a gate that counts its limits by tick: under load a tick was 2.2 s late, and a
// workspace was shed until then after the requests of a tenth of a second.
func TestLimitsHoldByTimeWhenTicksAreLate(t *testing.T) {
	is := is.New(t)
	const late = 2 * time.Second
	g := New()
	accept := func(until time.Duration) (n int) { // 600 requests a second
		for at := time.Duration(0); at < until; at += time.Second / 600 {
			if g.Allow("large", at) {
				n++
			}
		}
		return n
	}
	for g.Rate() > 150 { // overloaded until the limit is about 150 a second
		accept(Period)
		g.Tick(Period + 2*maxMeanDelay)
	}
	accept(Period)
	g.Tick(Period) // the limit follows the demand of this period
	rate := g.Rate()
	accepted := accept(late)
	is.True(float64(accepted) >= 0.9*rate*late.Seconds()) // at the rate limit
	is.True(float64(accepted) <= 1.2*rate*late.Seconds()) // and not above it
}

// Guards against a gate that forgets the flood it sheds, or remembers it after it has ended: the
// Retry-After of shed requests follows from the accepted share.
func TestPassShare(t *testing.T) {
	is := is.New(t)
	g := New()
	is.Equal(g.PassShare(), 1.0)
	run := func(periods, requests int) {
		for range periods {
			for range requests {
				g.Allow("large", 0)
			}
			g.Tick(Period)
		}
	}
	run(5, 20)
	is.Equal(g.PassShare(), 1.0) // within the limits
	run(10, 600)
	is.True(g.PassShare() < 0.2)
	run(60, 20)
	is.True(g.PassShare() > 0.9)
}

// Guards against totals that miss requests, name the wrong workspace, or count some twice.
func TestTotals(t *testing.T) {
	is := is.New(t)
	g := New()
	for range 50 {
		g.Allow("large", 0)
	}
	g.Allow("small", 0)
	g.Tick(Period + 30*time.Millisecond)
	totals := g.TakeTotals()
	accepted, shed := totals.Sum()
	is.Equal(accepted+shed, 51)
	is.True(shed > 0)
	is.Equal(totals.MostShed(), "large")
	is.Equal(totals.Accepted["small"], 1)
	is.Equal(totals.Ticks, 1)
	is.Equal(totals.MaxDelay, 30*time.Millisecond)
	accepted, shed = g.TakeTotals().Sum()
	is.Equal(accepted+shed, 0)
}
