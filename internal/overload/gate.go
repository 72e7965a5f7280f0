// Package overload bounds the requests that an instance accepts by the processor
// time it has. It answers for the load of callers that the platform's balancer sends
// to one instance beyond what that instance can carry: the balancer chooses by a hash
// of the client, so one client may send 1,000 requests a second to one instance of
// many. A caller that is refused at once reaches another instance with its retry; one
// whose request waits for processor time reaches nobody.
//
// The gate is pure: the caller tells the time and how late its ticks came. Bytes bounds
// what requests hold in memory.
package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// Period separates the ticks.
	Period = 100 * time.Millisecond
	// lateLimit is the mean lateness of ticks above which the processor is
	// overloaded. Instances with processor time left tick 0 to 15 ms late. A request
	// waits for the processor several times, and so does each of its events.
	lateLimit = 20 * time.Millisecond
	// lateWeight is the share of the newest tick in the mean: a single late tick, as
	// a burst of connections causes it, bounds nothing.
	lateWeight = 0.3
	// lateMost bounds the effect of one tick on the mean.
	lateMost = 150 * time.Millisecond
	// frozenFor is a lateness that no load causes: the process stood still.
	frozenFor = time.Second
	// cut is the part of the accepted rate that is kept at each overloaded tick.
	cut = 0.85
	// growth is the part, and leastGrowth the number, of requests a second by which
	// the bound grows at each other tick.
	growth      = 0.04
	leastGrowth = 2.0
	// leastRate keeps a bounded instance at work, in requests a second.
	leastRate = 10.0
	// freeAfter is the number of ticks without a refusal after which the bound ends.
	freeAfter = 20
	// shedTicks is the number of ticks without a refusal after which an instance takes
	// new callers again. The balancer asks once a second.
	shedTicks = 10
	// ramp bounds the requests of a period by a multiple of those in the period before
	// also where the processor is not late yet: one second of a flood of 2,000 requests
	// leaves 5 s of work on an instance with 0.2 of a core before a tick shows it.
	ramp = 1.15
	// burstKept is the part of a period's bound that holds in the next one, so that a
	// pause in the load does not begin the ramp anew.
	burstKept = 0.9
	// leastBurst is accepted in every period while the rate is not bounded.
	leastBurst = 30
)

// Gate decides which requests an instance accepts. While its rate is bounded, the
// workspaces share it max-min fairly: the one that sends most is refused first. It is
// not safe for concurrent use.
type Gate struct {
	rate    float64 // requests a second; +Inf = no bound
	late    time.Duration
	quiet   int // ticks without a refusal
	level   float64
	wanted  map[string]int // requests of each workspace in this period
	taken   int            // requests accepted in this period
	burst   int            // requests of this period above which the level holds
	over    bool           // the burst is used up, and the level follows from it
	refused int
	shedAt  int // ticks since a period with refusals
}

// New returns a gate without a bound.
func New() *Gate {
	return &Gate{rate: math.Inf(1), level: math.Inf(1), wanted: map[string]int{}, burst: leastBurst, shedAt: shedTicks}
}

// Rate returns the bound in requests a second; +Inf = none.
func (g *Gate) Rate() float64 { return g.rate }

// Bounded reports whether the rate is bounded.
func (g *Gate) Bounded() bool { return !math.IsInf(g.rate, 1) }

// Shedding reports whether requests were refused a moment ago: further callers are
// better off at another instance.
func (g *Gate) Shedding() bool { return g.shedAt < shedTicks }

// Late returns the mean lateness of the ticks.
func (g *Gate) Late() time.Duration { return g.late }

// Allow reports whether a request of a workspace is accepted.
func (g *Gate) Allow(workspace string) bool {
	n := g.wanted[workspace]
	g.wanted[workspace] = n + 1
	if g.taken >= g.burst && !g.over {
		g.over = true
		g.level = min(g.level, fill(g.wanted, float64(g.burst)))
	}
	if float64(n) >= g.level {
		g.refused++
		return false
	}
	g.taken++
	return true
}

// Tick ends a period that took a time, which is later than Period by what the tick
// waited for the processor.
func (g *Gate) Tick(took time.Duration) {
	late := max(0, took-Period)
	if late > frozenFor {
		g.next(Period)
		return
	}
	g.late += time.Duration(lateWeight * float64(min(late, lateMost)-g.late))
	accepted := float64(g.taken) / took.Seconds()
	switch {
	case g.late > lateLimit && late > lateLimit/2:
		g.rate = max(leastRate, cut*min(g.rate, max(accepted, leastRate)))
		g.quiet = 0
	case !g.Bounded():
	case g.refused == 0:
		if g.quiet++; g.quiet >= freeAfter {
			g.rate = math.Inf(1)
		}
	default:
		g.quiet = 0
		g.rate += max(leastGrowth, growth*g.rate)
	}
	g.next(took)
}

// next begins a period. The level is what each workspace may send, so that all
// together reach the rate if they send as much as in the period before.
func (g *Gate) next(took time.Duration) {
	g.burst = max(leastBurst, int(ramp*float64(g.taken)), int(burstKept*float64(g.burst)))
	g.over = false
	if g.shedAt++; g.refused > 0 {
		g.shedAt = 0
	}
	g.level = fill(g.wanted, g.rate*took.Seconds())
	clear(g.wanted)
	g.taken, g.refused = 0, 0
}

// fill returns the level at which the demands, each cut to the level, sum up to an
// amount. If they do not reach it, one workspace may take what is left beside the
// largest demand.
func fill(wanted map[string]int, amount float64) float64 {
	demands := make([]int, 0, len(wanted))
	for _, n := range wanted {
		demands = append(demands, n)
	}
	slices.Sort(demands)
	for i, n := range demands {
		left := len(demands) - i
		if float64(n*left) >= amount {
			return amount / float64(left)
		}
		amount -= float64(n)
	}
	return max(amount, 0) + maxDemand(demands)
}

// maxDemand is a level's part for workspaces that sent nothing so far.
func maxDemand(demands []int) float64 {
	if len(demands) == 0 {
		return 0
	}
	return float64(demands[len(demands)-1])
}
