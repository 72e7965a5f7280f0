package rollout

import (
	"math"
	"time"
)

const (
	// saveInterval is the longest time between two stored accounts.
	saveInterval = time.Second
	// retryInterval is the time after which an account that could not be stored is due again.
	retryInterval = 50 * time.Millisecond
	// tranchePeriod is the time for which a tranche is expected to last.
	tranchePeriod = 500 * time.Millisecond
	minTranche    = 8
)

// reservation is the state of the stored account. Grants are stored before they are given, in tranches.
type reservation struct {
	allowed   uint64 // stored
	tranche   uint64 // size of the last one
	savedAt   time.Duration
	pending   *Account
	notBefore time.Duration
}

// Reservation returns the account to store if a reservation is due; false if none is. It returns the same
// again until Reserved or ReservationFailed is called.
func (c *Controller) Reservation(now time.Duration) (Account, bool) {
	if c.pending != nil {
		return *c.pending, true
	}
	if c.phase == PhaseDecided && !c.verdict.Succeeded || now < c.notBefore {
		return Account{}, false
	}
	tranche := c.nextTranche(now)
	low := c.phase != PhaseBefore && c.allowed < c.used+max(c.tranche, tranche)/2
	if low = low && c.trancheAllowed() > c.allowed; !low && now-c.savedAt < saveInterval {
		return Account{}, false
	}
	a := Account{Requests: c.requests, Allowed: c.allowed, Elapsed: c.Elapsed(now)}
	if low {
		a.Allowed = max(c.allowed, min(c.used+tranche, c.trancheAllowed()))
		c.tranche = a.Allowed - c.used
	}
	c.pending = &a
	return a, true
}

// nextTranche returns the number of grants that the schedule expects for tranchePeriod.
func (c *Controller) nextTranche(now time.Duration) uint64 {
	rate := c.rates.canary
	if c.phase == PhaseMoved || c.phase == PhaseDecided {
		rate = loadGrowth * c.rates.total(now)
	}
	return max(minTranche, uint64(math.Ceil(rate*tranchePeriod.Seconds())))
}

// trancheAllowed returns the greatest useful account. More than the bound permits would only be lost to the next
// owner.
func (c *Controller) trancheAllowed() uint64 {
	share := grantedShare
	if c.phase == PhaseCanary {
		share = c.canaryPart
	}
	period := c.rates.total(c.rates.now) * tranchePeriod.Seconds()
	return uint64(share * c.bound(float64(c.requests)+period))
}

// Reserved records that an account was stored, ReservationFailed that it is not known to be.
func (c *Controller) Reserved(a Account, now time.Duration) {
	c.allowed = max(c.allowed, a.Allowed)
	c.pending = nil
	c.savedAt = now
}

// ReservationFailed lets the next call of Reservation return an account again after a short time.
func (c *Controller) ReservationFailed(now time.Duration) {
	c.pending = nil
	c.notBefore = now + retryInterval
}
