// Package kerneltest provides a fake clock for tests.
package kerneltest

import (
	"sync"
	"time"

	"nutmegrouter/internal/kernel"
)

// Clock is a kernel.Clock that only moves when a test calls Advance. The zero value is
// ready for use. It is safe for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now kernel.ClockReading
}

// Now implements kernel.Clock.
func (c *Clock) Now() time.Duration { return c.ReadClocks().Monotonic }

// ReadClocks returns the current time on both clocks.
func (c *Clock) ReadClocks() kernel.ClockReading {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance advances the clocks by the given times. A smaller monotonic time than wall
// time stands for a suspended machine.
func (c *Clock) Advance(monotonic, wall time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Monotonic, c.now.Wall = c.now.Monotonic+monotonic, c.now.Wall+wall
}
