package rollout

import "time"

const (
	// rateSlot and rateSlots give the time over which rates are measured: 2 s.
	rateSlot  = 100 * time.Millisecond
	rateSlots = 20
	// maxRouteShare is the greatest part of a route's requests that go to the new version in the canary phase, so
	// that the old version has evidence to compare with.
	maxRouteShare = 0.5
)

// rates measures the requests by route and divides the canary's requests between the routes.
type rates struct {
	startedAt, now time.Duration
	slot           int64 // number of the present slot
	counts         [rateSlots]uint32
	routes         []routeRate
	canary         float64 // requests a second to the new version that the schedule expects
}

type routeRate struct {
	counts [rateSlots]uint32
	share  float64 // of its requests that go to the new version
	credit float64 // requests that are due there
}

func newRates(now time.Duration) rates {
	return rates{startedAt: now, now: now, slot: int64(now / rateSlot)}
}

// advance clears the slots that lie more than the measured time ago.
func (r *rates) advance(now time.Duration) {
	r.now = max(r.now, now)
	slot := int64(r.now / rateSlot)
	for i := r.slot + 1; i <= min(slot, r.slot+rateSlots); i++ {
		r.counts[i%rateSlots] = 0
		for j := range r.routes {
			r.routes[j].counts[i%rateSlots] = 0
		}
	}
	r.slot = slot
}

func (r *rates) count(route int, now time.Duration) {
	r.advance(now)
	for len(r.routes) <= route {
		r.routes = append(r.routes, routeRate{})
	}
	r.counts[r.slot%rateSlots]++
	r.routes[route].counts[r.slot%rateSlots]++
}

// measured returns the time over which the slots count, in seconds.
func (r *rates) measured() float64 {
	full := (rateSlots-1)*rateSlot + r.now%rateSlot
	return max(rateSlot, min(full, r.now-r.startedAt)).Seconds()
}

// total returns the requests of the service a second.
func (r *rates) total(now time.Duration) float64 {
	r.advance(now)
	return r.sum(&r.counts)
}

func (r *rates) sum(counts *[rateSlots]uint32) float64 {
	var n uint32
	for _, c := range counts {
		n += c
	}
	return float64(n) / r.measured()
}

// divide sets the shares of the routes so that a number of requests a second go to the new version. Routes get equal
// numbers as far as they have the requests, so that a fault of a rarely used route is found too.
func (r *rates) divide(wanted float64, now time.Duration) {
	r.advance(now)
	r.canary = wanted
	room := make([]float64, len(r.routes))
	var open int
	for i := range r.routes {
		room[i] = maxRouteShare * r.sum(&r.routes[i].counts)
		r.routes[i].share = 0
		if room[i] > 0 {
			open++
		}
	}
	given := make([]float64, len(r.routes))
	for open > 0 && wanted > 1e-9 {
		each, next := wanted/float64(open), 0
		for i := range room {
			if room[i] <= given[i] {
				continue
			}
			take := min(each, room[i]-given[i])
			given[i] += take
			wanted -= take
			if room[i] > given[i] {
				next++
			}
		}
		if next == open {
			break
		}
		open = next
	}
	for i := range r.routes {
		if room[i] > 0 {
			r.routes[i].share = maxRouteShare * given[i] / room[i]
		}
	}
}

// takeShare adds the share of one request to a route's credit, and reports whether a request is due. Credit for which
// no canary target had room is kept for one request only, so that no burst follows.
func (r *rates) takeShare(route int) bool {
	t := &r.routes[route]
	t.credit = min(t.credit+t.share, 2)
	return t.credit >= 1
}

func (r *rates) granted(route int) {
	if route < len(r.routes) {
		r.routes[route].credit = max(0, r.routes[route].credit-1)
	}
}
