package mesh

import (
	"context"

	"nutmegrouter/internal/kernel"
)

// origin is what is kept for an instance that sends messages.
type origin struct {
	name    string
	inbox   *kernel.Ring[message] // notifications that wait for their handlers
	slots   chan struct{}         // bounds the calls under way
	count   *counters
	drained bool // a duty reads the inbox
}

// origin returns the record of an instance and makes it at its first message.
func (m *Mesh) origin(name string) *origin {
	m.mu.RLock()
	o := m.origins[name]
	m.mu.RUnlock()
	if o != nil {
		return o
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o = m.origins[name]; o != nil {
		return o
	}
	o = &origin{
		name:  name,
		inbox: kernel.NewRing[message](m.metrics, "mesh.in."+name, inboxSize),
		slots: make(chan struct{}, callsPerPeer),
		count: newCounters(m.metrics, name),
	}
	m.origins[name] = o
	m.drain(o)
	return o
}

// drain starts the duty that reads an inbox. The lock must be held.
func (m *Mesh) drain(o *origin) {
	if m.duties == nil || o.drained {
		return
	}
	o.drained = true
	m.duties.Go("mesh.in."+o.name, func(ctx context.Context) error { return m.drainInbox(ctx, o.name, o.inbox) })
}
