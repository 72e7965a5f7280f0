package rollout

import "time"

// Controller decides on one running rollout. It belongs to the owner.
type Controller struct{}

// New returns the controller of a rollout that was ordered at a time, as far as this instance has seen. The
// account is that of the owners before: all that it allows counts as granted.
func New(c Config, a Account, orderedAt, now time.Duration) *Controller { panic("not written yet") }

// SetTargets sets the targets that can be used.
func (c *Controller) SetTargets(t Targets, now time.Duration) {}

// IsCanary reports whether a target of the new version may get requests in the present phase.
func (c *Controller) IsCanary(target string) bool { return false }

// Choose counts a request of the service that is about to be placed, and reports whether it is to go to the new
// version. The caller then calls RecordGrant if it grants it there. A retry and a resumed stream are requests of their own.
func (c *Controller) Choose(route string, now time.Duration) (newVersion bool) { return false }

// RecordGrant counts a grant to the new version.
func (c *Controller) RecordGrant(now time.Duration) {}

// Reservation returns the account to store if a reservation is due; false if none is. It returns the same
// again until Reserved or ReservationFailed is called.
func (c *Controller) Reservation(now time.Duration) (Account, bool) { return Account{}, false }

// Reserved records that an account was stored, ReservationFailed that it is not known to be.
func (c *Controller) Reserved(a Account, now time.Duration) {}

// ReservationFailed lets the next call of Reservation return an account again after a short time.
func (c *Controller) ReservationFailed(now time.Duration) {}

// SetEvidence replaces the evidence of a process of an entry instance.
func (c *Controller) SetEvidence(entry, process string, e Evidence, now time.Duration) {}

// Phase returns the present phase.
func (c *Controller) Phase() Phase { return PhaseBefore }

// Elapsed returns the time since the order.
func (c *Controller) Elapsed(now time.Duration) time.Duration { return 0 }

// Verdict returns how the rollout is to end, once that is decided; the result does not change any more.
func (c *Controller) Verdict(now time.Duration) (Verdict, bool) { return Verdict{}, false }
