package mesh

import (
	"context"
	"slices"
	"sync"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/settings"
)

// linkManager holds the links of a fleet with dynamic membership. Only control
// instances are dialled; their mesh address is their name. Both ends send requests
// over the same connection, because only the dialling end knows the other's
// address.
type linkManager struct {
	dataCentre string
	control    bool // this instance holds a control replica

	mu        sync.Mutex
	links     map[string]*dialledLink // by address
	listeners []func(api.LinkChange)
}

// dialledLink is a link to an address and the function that closes it.
type dialledLink struct {
	*link
	stop context.CancelFunc
}

func newLinkManager(s *settings.Settings) *linkManager {
	return &linkManager{dataCentre: s.DataCentre, control: s.DataDir != "", links: map[string]*dialledLink{}}
}

// handshake returns the handshake of this instance for the instance named to.
func (m *Mesh) handshake(to string) handshake {
	h := handshake{Instance: m.self, Incarnation: m.incarnation, To: to}
	if m.linkManager != nil {
		h.DataCentre, h.Control = m.linkManager.dataCentre, m.linkManager.control
	}
	return h
}

// SetAddresses implements api.LinkManager. It opens links to the new mesh addresses and closes
// the links to addresses that are not listed. It must not be called before Start.
func (m *Mesh) SetAddresses(addresses []string) {
	r := m.linkManager
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, d := range r.links {
		if !slices.Contains(addresses, address) {
			d.stop()
			delete(r.links, address)
		}
	}
	for _, address := range addresses {
		if r.links[address] == nil {
			r.links[address] = m.dialAddress(address)
		}
	}
}

// dialAddress starts the duty of a link to the address.
func (m *Mesh) dialAddress(address string) *dialledLink {
	l := newLink(m, address, address, m.peerState("").counters)
	ctx, stop := context.WithCancel(m.duties.Context())
	m.duties.Go("mesh.link."+address, func(context.Context) error {
		_ = l.run(ctx) // ends with the context
		return nil
	})
	return &dialledLink{l, stop}
}

// OnLinkChange implements api.LinkManager. It registers a function that is called, without a
// lock held, after a link in either direction has opened or closed.
func (m *Mesh) OnLinkChange(f func(api.LinkChange)) {
	m.linkManager.mu.Lock()
	defer m.linkManager.mu.Unlock()
	m.linkManager.listeners = append(m.linkManager.listeners, f)
}

// notifyLinkChange calls the registered listeners. Without a link manager there are
// none.
func (m *Mesh) notifyLinkChange(h handshake, up bool) {
	if m.linkManager == nil {
		return
	}
	m.linkManager.mu.Lock()
	listeners := slices.Clone(m.linkManager.listeners)
	m.linkManager.mu.Unlock()
	for _, f := range listeners {
		f(api.LinkChange{Peer: h.Instance, Incarnation: h.Incarnation, DataCentre: h.DataCentre, HasControlReplica: h.Control, Up: up})
	}
}

// dynamicSession returns an open session with the named instance, or nil. If this
// instance dials it, only the dialled link is used: silence is detected there,
// but not on an incoming connection, which may have failed without notice.
func (m *Mesh) dynamicSession(name string) *session {
	if l := m.dialledLinkTo(name); l != nil {
		return l.openSession()
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.incoming[name]
}

// dialledLinkTo returns the link that this instance dials to the named instance,
// or nil.
func (m *Mesh) dialledLinkTo(name string) *link {
	if m.linkManager == nil {
		return m.links[name]
	}
	m.linkManager.mu.Lock()
	defer m.linkManager.mu.Unlock()
	if d := m.linkManager.links[name]; d != nil {
		return d.link
	}
	return nil
}

// linkedInstances returns the names of all instances with an open link in either
// direction, sorted.
func (m *Mesh) linkedInstances() []string {
	var out []string
	m.linkManager.mu.Lock()
	for _, d := range m.linkManager.links {
		if s := d.openSession(); s != nil && s.peer != m.self {
			out = append(out, s.peer)
		}
	}
	m.linkManager.mu.Unlock()
	m.mu.RLock()
	for name := range m.incoming {
		out = append(out, name)
	}
	m.mu.RUnlock()
	slices.Sort(out)
	return slices.Compact(out)
}
