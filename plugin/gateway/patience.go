package gateway

import (
	"sync"
	"time"
)

// patience learns how long the callers of each route wait in all. A caller that
// comes again says how much is left, so the rest is what it has waited.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route name
}

// waited returns the time that a caller spent on earlier attempts, as far as the
// longest deadline seen on the route tells.
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
	return p.longest[route] - deadline
}
