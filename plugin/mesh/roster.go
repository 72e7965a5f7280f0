package mesh

import (
	"context"
	"slices"
	"sync"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/settings"
)

// roster holds the links of a fleet whose members come and go. Instances are
// dialled by address and give their names in the hello. Requests go both ways
// over one connection, because only the dialling end knows an address.
type roster struct {
	dataCentre string
	control    bool // this instance holds a control replica

	mu        sync.Mutex
	links     map[string]*dialled // by address
	listeners []func(api.LinkChange)
}

// dialled is a link to an address and the function that ends it.
type dialled struct {
	*link
	stop context.CancelFunc
}

func newRoster(s *settings.Settings) *roster {
	return &roster{dataCentre: s.DataCentre, control: s.DataDir != "", links: map[string]*dialled{}}
}

// hello returns what this instance says about itself.
func (m *Mesh) hello(to string) hello {
	h := hello{Instance: m.self, Boot: m.boot, To: to}
	if m.roster != nil {
		h.DataCentre, h.Control = m.roster.dataCentre, m.roster.control
	}
	return h
}

// Dial implements api.Roster.
func (m *Mesh) Dial(addresses []string) {
	r := m.roster
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
			r.links[address] = m.dial(address)
		}
	}
}

func (m *Mesh) dial(address string) *dialled {
	l := newLink(m, address, address, m.origin("").count)
	ctx, stop := context.WithCancel(m.duties.Context())
	m.duties.Go("mesh.link."+address, func(context.Context) error {
		_ = l.run(ctx) // ends with the context
		return nil
	})
	return &dialled{l, stop}
}

// OnLink implements api.Roster.
func (m *Mesh) OnLink(f func(api.LinkChange)) {
	m.roster.mu.Lock()
	defer m.roster.mu.Unlock()
	m.roster.listeners = append(m.roster.listeners, f)
}

func (m *Mesh) linkChanged(h hello, up bool) {
	if m.roster == nil {
		return
	}
	m.roster.mu.Lock()
	listeners := slices.Clone(m.roster.listeners)
	m.roster.mu.Unlock()
	for _, f := range listeners {
		f(api.LinkChange{Peer: h.Instance, Boot: h.Boot, DataCentre: h.DataCentre, Control: h.Control, Up: up})
	}
}

// linked returns an open session with the named instance. An instance that is
// dialled from here is reached over that link only: its silence is watched, while
// a connection that it has opened may have been silent for long.
func (m *Mesh) linked(name string) *session {
	if l := m.linkTo(name); l != nil {
		return l.up()
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.incoming[name]
}

// linkTo returns the link that is dialled from here to the named instance, or nil.
func (m *Mesh) linkTo(name string) *link {
	if m.roster == nil {
		return m.links[name]
	}
	m.roster.mu.Lock()
	defer m.roster.mu.Unlock()
	if d := m.roster.links[name]; d != nil {
		return d.link
	}
	return nil
}

// linkedNames returns the names of all linked instances, sorted.
func (m *Mesh) linkedNames() []string {
	var out []string
	m.roster.mu.Lock()
	for _, d := range m.roster.links {
		if s := d.up(); s != nil && s.peer != m.self {
			out = append(out, s.peer)
		}
	}
	m.roster.mu.Unlock()
	m.mu.RLock()
	for name := range m.incoming {
		out = append(out, name)
	}
	m.mu.RUnlock()
	slices.Sort(out)
	return slices.Compact(out)
}
