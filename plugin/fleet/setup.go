// Package fleet stores the newest committed view of the configuration on this instance,
// in memory only, and notifies other plug-ins of changes. It provides api.Fleet.
package fleet

import (
	"sync"
	"sync/atomic"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:    "fleet",
		Order:   kernel.OrderFleet,
		New:     func() kernel.Plugin { return &Store{} },
		Enabled: kernel.OnAllProfiles,
	})
}

// Store is the plug-in; it implements api.Fleet and is safe for concurrent use. The zero
// value has an empty view of revision 0.
type Store struct {
	view   atomic.Pointer[api.View]
	events *kernel.Events

	mu        sync.Mutex
	listeners []func(*api.View)
}

// Provision implements kernel.Plugin. It provides api.Fleet.
func (s *Store) Provision(c *kernel.Context) error {
	s.events = c.Events
	c.Metrics.NewGauge("nutmeg_view_revision", func() float64 { return float64(s.View().Revision) })
	return kernel.Provide[api.Fleet](c, s)
}

// View implements api.Fleet. It returns an empty view of revision 0 before the first Install.
func (s *Store) View() *api.View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return &api.View{}
}

// Install implements api.Fleet. It ignores a view that is not newer than the installed
// one, so a reader never sees an older view after a newer one, and a view without a
// configuration. The listeners are called before it returns.
func (s *Store) Install(v *api.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v == nil || (v.Config == nil && v.Document == nil) || v.Revision <= s.View().Revision {
		return
	}
	s.view.Store(v)
	if s.events != nil {
		s.events.Record(kernel.Event{Kind: "view", Step: "install", Revision: v.Revision})
	}
	for _, f := range s.listeners {
		f(v)
	}
}

// OnChange implements api.Fleet. The function is called with the lock held, so it must not
// call Install or OnChange.
func (s *Store) OnChange(f func(*api.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}
