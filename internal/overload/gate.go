// Package overload implements load shedding for an instance: it limits the rate of
// accepted requests to the available processor time, and the memory of requests and
// responses. The platform's load balancer chooses an instance by a hash of the client, so
// one client may send 1,000 requests a second to a single instance. A caller whose
// request is shed at once reaches another instance with its retry; a request that waits
// for processor time reaches none.
//
// Gate reads no clock: the caller passes the time between two ticks. The part above
// Period, the tick delay, is the measure of the processor load.
package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// Period is the intended time between two calls of Gate.Tick.
	Period = 100 * time.Millisecond
	// maxMeanDelay is the mean tick delay above which the processor is overloaded.
	// Ticks of instances with free processor time are delayed by 0 to 15 ms. A
	// request waits for the processor several times, and so does each of its events.
	maxMeanDelay = 20 * time.Millisecond
	// delayWeight is the weight of the newest tick in the moving average. The average
	// keeps a single short delay, such as a burst of connections causes, from limiting
	// the rate.
	delayWeight = 0.3
	// maxDelaySample limits the effect of one tick on the moving average.
	maxDelaySample = 150 * time.Millisecond
	// minSuspension is the tick delay above which the process was suspended: load
	// does not cause such a delay.
	minSuspension = time.Second
	// rateDecrease is the factor by which the rate limit, or the accepted rate if that
	// is lower, is multiplied at each overloaded tick.
	rateDecrease = 0.85
	// At each other tick with shed requests, an existing rate limit grows by the
	// fraction rateIncrease of itself, and at least by minRateIncrease requests a
	// second.
	rateIncrease    = 0.04
	minRateIncrease = 2.0
	// minRate is the lowest rate limit, in requests a second.
	minRate = 10.0
	// removeLimitAfterTicks is the number of consecutive ticks without shed requests
	// after which the rate limit is removed.
	removeLimitAfterTicks = 20
	// readyAfterTicks is the number of consecutive ticks without shed requests after
	// which an instance is ready for new callers. The load balancer checks readiness
	// once a second.
	readyAfterTicks = 10
	// maxRamp limits the accepted requests of a period to this multiple of those in
	// the previous period, even before a tick is delayed: an instance with 0.2 of a
	// core can accept 5 s of work in one second at 2,000 requests a second before the
	// first delayed tick.
	maxRamp = 1.15
	// burstDecay is the factor by which the burst limit decreases per period at most,
	// so that a gap in the load does not reset it.
	burstDecay = 0.9
	// recentDecay is the weight of each period relative to the next one in PassShare.
	recentDecay = 0.9
	// minBurst is the lowest burst limit: the number of requests that are accepted in
	// every period while the rate is not limited.
	minBurst = 30
)

// Gate decides which requests an instance accepts and which it sheds. While the rate is
// limited, each workspace gets its max-min fair share, so the workspace that sends most
// is shed first. It is not safe for concurrent use.
type Gate struct {
	rateLimit        float64        // requests a second; +Inf = no limit
	meanDelay        time.Duration  // moving average of the tick delay
	ticksWithoutShed int            // consecutive, while the rate is limited
	workspaceLimit   float64        // requests accepted per workspace in each Period
	demand           map[string]int // requests received per workspace in this period
	acceptedOf       map[string]int // requests accepted per workspace in this period
	accepted         int            // requests accepted in this period
	// burstLimit is the number of accepted requests at which workspaceLimit is lowered to
	// the fair shares of burstLimit.
	burstLimit     int
	burstReached   bool // workspaceLimit has been lowered in this period
	shed           int  // requests shed in this period
	ticksSinceShed int  // ticks since the last period with shed requests
	totals         Totals
	// recentAccepted and recentShed are the requests of the last periods, the older ones with
	// less weight.
	recentAccepted, recentShed float64
}

// PassShare returns the accepted share of the recent requests, from 0 to 1.
func (g *Gate) PassShare() float64 {
	accepted, shed := g.recentAccepted+float64(g.accepted), g.recentShed+float64(g.shed)
	if shed == 0 {
		return 1
	}
	return accepted / (accepted + shed)
}

// Totals counts the requests and ticks since the last call of Gate.TakeTotals.
type Totals struct {
	Accepted, Shed map[string]int // requests by workspace
	Ticks          int
	MaxDelay       time.Duration // largest tick delay
}

func newTotals() Totals { return Totals{Accepted: map[string]int{}, Shed: map[string]int{}} }

// MostShed returns the workspace with the most shed requests, "" if there is none.
func (t Totals) MostShed() string {
	most := ""
	for workspace, n := range t.Shed {
		if most == "" || n > t.Shed[most] || (n == t.Shed[most] && workspace < most) {
			most = workspace
		}
	}
	return most
}

// Sum returns the number of accepted and of shed requests.
func (t Totals) Sum() (accepted, shed int) {
	for _, n := range t.Accepted {
		accepted += n
	}
	for _, n := range t.Shed {
		shed += n
	}
	return accepted, shed
}

// TakeTotals returns the totals since the last call and starts new ones.
func (g *Gate) TakeTotals() Totals {
	t := g.totals
	g.totals = newTotals()
	return t
}

// New returns a gate without a rate limit.
func New() *Gate {
	return &Gate{rateLimit: math.Inf(1), workspaceLimit: math.Inf(1), demand: map[string]int{}, acceptedOf: map[string]int{}, burstLimit: minBurst, ticksSinceShed: readyAfterTicks, totals: newTotals()}
}

// Rate returns the rate limit in requests a second, +Inf if there is none.
func (g *Gate) Rate() float64 { return g.rateLimit }

// RateLimited reports whether the rate is limited.
func (g *Gate) RateLimited() bool { return !math.IsInf(g.rateLimit, 1) }

// Shedding reports whether requests were shed in one of the last periods, so that the
// load balancer should send new callers to another instance.
func (g *Gate) Shedding() bool { return g.ticksSinceShed < readyAfterTicks }

// MeanDelay returns the moving average of the tick delay.
func (g *Gate) MeanDelay() time.Duration { return g.meanDelay }

// Allow counts a request of a workspace and reports whether it is accepted or shed.
// sinceTick is the time since the last tick. The limits grow with it: a delayed tick ends a
// period late, and the requests of that time are accepted at the same rate.
func (g *Gate) Allow(workspace string, sinceTick time.Duration) bool {
	g.demand[workspace]++
	periods := max(1, float64(sinceTick)/float64(Period))
	if float64(g.accepted) >= periods*float64(g.burstLimit) && !g.burstReached {
		g.burstReached = true
		g.workspaceLimit = min(g.workspaceLimit, fairLimit(g.demand, periods*float64(g.burstLimit))/periods)
	}
	if float64(g.acceptedOf[workspace]) >= periods*g.workspaceLimit {
		g.shed++
		g.totals.Shed[workspace]++
		return false
	}
	g.accepted++
	g.acceptedOf[workspace]++
	g.totals.Accepted[workspace]++
	return true
}

// Tick ends a period and adjusts the rate limit. elapsed is the time since the previous
// tick; the part above Period is how long the tick waited for the processor.
func (g *Gate) Tick(elapsed time.Duration) {
	delay := max(0, elapsed-Period)
	g.totals.Ticks, g.totals.MaxDelay = g.totals.Ticks+1, max(g.totals.MaxDelay, delay)
	if delay > minSuspension {
		g.startPeriod(Period)
		return
	}
	g.meanDelay += time.Duration(delayWeight * float64(min(delay, maxDelaySample)-g.meanDelay))
	acceptedRate := float64(g.accepted) / elapsed.Seconds()
	switch {
	case g.meanDelay > maxMeanDelay && delay > maxMeanDelay/2:
		g.rateLimit = max(minRate, rateDecrease*min(g.rateLimit, max(acceptedRate, minRate)))
		g.ticksWithoutShed = 0
	case !g.RateLimited():
	case g.shed == 0:
		if g.ticksWithoutShed++; g.ticksWithoutShed >= removeLimitAfterTicks {
			g.rateLimit = math.Inf(1)
		}
	default:
		g.ticksWithoutShed = 0
		g.rateLimit += max(minRateIncrease, rateIncrease*g.rateLimit)
	}
	g.startPeriod(elapsed)
}

// startPeriod starts a period. It sets workspaceLimit so that the accepted requests
// reach the rate limit if the demand equals that of the previous period.
func (g *Gate) startPeriod(elapsed time.Duration) {
	periods := float64(elapsed) / float64(Period)
	g.burstLimit = max(minBurst, int(maxRamp*float64(g.accepted)/periods), int(burstDecay*float64(g.burstLimit)))
	g.burstReached = false
	if g.ticksSinceShed++; g.shed > 0 {
		g.ticksSinceShed = 0
	}
	g.workspaceLimit = fairLimit(g.demand, g.rateLimit*elapsed.Seconds()) / periods
	g.recentAccepted = recentDecay*g.recentAccepted + float64(g.accepted)
	g.recentShed = recentDecay*g.recentShed + float64(g.shed)
	clear(g.demand)
	clear(g.acceptedOf)
	g.accepted, g.shed = 0, 0
}

// fairLimit returns the limit per workspace at which the demands, each capped at the
// limit, sum up to amount: the max-min fair share. If the demands sum up to less, it
// returns the largest demand plus the unused amount.
func fairLimit(demand map[string]int, amount float64) float64 {
	demands := make([]int, 0, len(demand))
	for _, n := range demand {
		demands = append(demands, n)
	}
	slices.Sort(demands)
	for i, n := range demands {
		remaining := len(demands) - i
		if float64(n*remaining) >= amount {
			return amount / float64(remaining)
		}
		amount -= float64(n)
	}
	return max(amount, 0) + largestDemand(demands)
}

// largestDemand returns the last of the sorted demands, or 0 if there are none.
func largestDemand(demands []int) float64 {
	if len(demands) == 0 {
		return 0
	}
	return float64(demands[len(demands)-1])
}
