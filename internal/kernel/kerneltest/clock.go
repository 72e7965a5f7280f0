// Package kerneltest provides a clock that tests set.
package kerneltest

import (
	"sync"
	"time"

	"nutmegrouter/internal/kernel"
)

// Clock implements kernel.Clock. The zero value stands still; it is safe for concurrent
// use.
type Clock struct {
	mu sync.Mutex
	at kernel.Instant
}

// Now implements kernel.Clock.
func (c *Clock) Now() time.Duration { return c.Instant().Monotonic }

// Instant returns the present moment by both clocks.
func (c *Clock) Instant() kernel.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// Pass lets time pass. The monotonic clock stands still while a machine is suspended.
func (c *Clock) Pass(monotonic, wall time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at.Monotonic, c.at.Wall = c.at.Monotonic+monotonic, c.at.Wall+wall
}
