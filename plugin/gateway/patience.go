package gateway

import (
	"sync"
	"time"
)

// patienceSpread is the part by which callers of one route differ in how long they
// wait in all. Measured on both users' sites: first attempts say 0.85 to 1.0 of the
// longest time.
const patienceSpread = 0.15

// patience learns how long the callers of each route wait in all. A caller that
// comes again says how much is left.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route name
}

// waited returns the time that a caller has certainly spent on earlier attempts. What
// may be a less patient caller's first attempt counts as one: taken for late, it would
// be refused although its first event can be on time.
func (p *patience) waited(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = map[string]time.Duration{}
	}
	p.longest[route] = max(p.longest[route], deadline)
	return max(0, time.Duration((1-patienceSpread)*float64(p.longest[route]))-deadline)
}
