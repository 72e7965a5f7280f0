package mesh

import (
	"context"

	"nutmegrouter/internal/kernel"
)

// peerState holds the inbox, the call slots and the counters of one instance. A
// relayed message uses the inbox and the slots of its origin, not of the relay.
type peerState struct {
	name         string
	inbox        *kernel.Ring[message] // notifications queued for their handlers
	slots        chan struct{}         // one element for each call in progress
	counters     *counters
	inboxStarted bool // the duty that reads the inbox was started
}

// peerState returns the state of an instance and creates it on first use.
func (m *Mesh) peerState(name string) *peerState {
	m.mu.RLock()
	p := m.peerStates[name]
	m.mu.RUnlock()
	if p != nil {
		return p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p = m.peerStates[name]; p != nil {
		return p
	}
	p = &peerState{
		name:     name,
		inbox:    kernel.NewRing[message](m.metrics, "mesh.in."+name, maxInboxMessages),
		slots:    make(chan struct{}, maxCallsPerPeer),
		counters: newCounters(m.metrics, name),
	}
	m.peerStates[name] = p
	m.startInbox(p)
	return p
}

// startInbox starts the duty that reads an inbox, unless it was started already or
// the mesh has not started. The lock must be held.
func (m *Mesh) startInbox(p *peerState) {
	if m.duties == nil || p.inboxStarted {
		return
	}
	p.inboxStarted = true
	m.duties.Go("mesh.in."+p.name, func(ctx context.Context) error { return m.runInbox(ctx, p.name, p.inbox) })
}
