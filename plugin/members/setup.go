// Package members finds the control instances of a fleet with the profile
// "routes", keeps links to them, and carries the committed view to the entry
// instances. It provides api.Topology.
package members

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:   "members",
		Order:  kernel.OrderMembers,
		New:    func() kernel.Plugin { return &Members{} },
		Wanted: kernel.Routed,
	})
}

// Members implements api.Topology. It must be provisioned before use.
type Members struct {
	kernel  *kernel.Context
	mesh    api.Mesh
	roster  api.Roster
	fleet   api.Fleet
	control api.Control // nil on entry instances
	log     *slog.Logger
	events  *kernel.Events

	mu        sync.Mutex
	seeds     []string
	reported  map[string]report // by the control instance that answered
	leader    string
	term      uint64
	listeners []func(string, uint64)

	entries atomic.Int64 // entry instances, as last told

	kick   chan struct{}           // beats are due at once
	behind *kernel.Ring[announced] // newer views that other instances have

	beats, unanswered, fetches *metrics.Counter
}

// report is what a control instance said of the membership.
type report struct {
	at       time.Duration
	controls []string
}

// Bounds of the duties.
const (
	// beatInterval separates the heartbeats of a link. Three of them fit into the
	// silence after which the mesh replaces a link.
	beatInterval = 500 * time.Millisecond
	beatLimit    = 1500 * time.Millisecond
	// reportLife is how long a control instance that one other names is dialled
	// after the last answer that named it.
	reportLife = 10 * time.Second
	// announcements is the number of newer views that wait to be fetched; the
	// newest is fetched first.
	announcements = 64
)

// Provision implements kernel.Plugin.
func (m *Members) Provision(c *kernel.Context) (err error) {
	if m.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if m.roster, err = kernel.Lookup[api.Roster](c); err != nil {
		return err
	}
	if m.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	m.kernel, m.events, m.log = c, c.Events, c.Log.With("plugin", "members")
	m.reported, m.kick = map[string]report{}, make(chan struct{}, 1)
	m.behind = kernel.NewRing[announced](c.Metrics, "members.views", announcements)
	m.beats = c.Metrics.NewCounter("nutmeg_members_beats_total")
	m.unanswered = c.Metrics.NewCounter("nutmeg_members_beats_unanswered_total")
	m.fetches = c.Metrics.NewCounter("nutmeg_members_view_fetches_total")
	m.setSeeds(c.Settings)
	m.mesh.Handle(beatMethod, m.handleBeat)
	m.mesh.Handle(leaderMethod, m.handleLeader)
	m.mesh.Handle(changedMethod, m.handleChanged)
	m.mesh.Handle(fetchMethod, m.handleFetch)
	m.roster.OnLink(m.linkChanged)
	return kernel.Provide[api.Topology](c, m)
}

// Reload implements kernel.Reloader. It follows the seeds.
func (m *Members) Reload(s *settings.Settings) {
	m.setSeeds(s)
	kernel.Signal(m.kick)
}

func (m *Members) setSeeds(s *settings.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = nil
	for _, seed := range s.Routes.Seeds {
		address, err := s.MeshAddress(seed)
		if err != nil {
			m.log.Warn("seed is not an address", "step", "seeds", "seed", seed, "error", err)
			continue
		}
		m.seeds = append(m.seeds, address)
	}
}

// Start implements kernel.Starter.
func (m *Members) Start(d *kernel.Duties) error {
	if control, err := kernel.Lookup[api.Control](m.kernel); err == nil {
		m.control = control
		control.OnStatus(m.statusChanged)
		m.fleet.OnChange(func(v *api.View) { m.announce(v.Revision) })
	}
	m.redial()
	d.EveryOr("members.beat", beatInterval, m.kick, m.beat)
	d.Go("members.fetch", m.fetchLoop)
	return nil
}

// Controls implements api.Topology: the seeds, and all that an answer of the last
// seconds named.
func (m *Members) Controls() []string {
	now := m.kernel.Clock.Now()
	m.mu.Lock()
	out := slices.Clone(m.seeds)
	for from, r := range m.reported {
		if now-r.at > reportLife {
			delete(m.reported, from)
			continue
		}
		out = append(out, r.controls...)
	}
	m.mu.Unlock()
	if m.control != nil {
		out = append(append(out, m.control.Status().Members...), m.mesh.Self())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Leader implements api.Topology.
func (m *Members) Leader() (string, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader, m.term
}

// OnLeader implements api.Topology.
func (m *Members) OnLeader(f func(string, uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, f)
}

// noteLeader keeps the leader of the highest term.
func (m *Members) noteLeader(instance string, term uint64) {
	m.mu.Lock()
	if instance == "" || term <= m.term {
		m.mu.Unlock()
		return
	}
	m.leader, m.term = instance, term
	listeners := slices.Clone(m.listeners)
	m.mu.Unlock()
	m.events.Record(kernel.Event{Kind: "leader", Step: "known", Peer: instance, Epoch: term})
	logqueue.Notice(m.log, "leader known", "step", "leader", "peer", instance, "term", term)
	for _, f := range listeners {
		f(instance, term)
	}
}

// Entries implements api.Topology. A control instance counts its links; an entry
// instance takes the newest answer.
func (m *Members) Entries() int {
	if m.control == nil {
		return int(m.entries.Load())
	}
	return len(m.linkedEntries())
}

// linkedEntries returns the linked instances that hold no control replica.
func (m *Members) linkedEntries() []string {
	controls := m.Controls()
	return slices.DeleteFunc(m.mesh.Peers(), func(p string) bool { return slices.Contains(controls, p) })
}

func (m *Members) noteEntries(n int) {
	if n > 0 {
		m.entries.Store(int64(n))
	}
}

// redial keeps links to all known control instances.
func (m *Members) redial() {
	self := m.mesh.Self()
	addresses := slices.DeleteFunc(m.Controls(), func(a string) bool { return a == self })
	m.roster.Dial(addresses)
}

// linkChanged sends a beat at once over a new link, which brings the newest view
// and the leader.
func (m *Members) linkChanged(c api.LinkChange) {
	if c.Up && c.Control {
		kernel.Signal(m.kick)
	}
}

func (m *Members) beat(ctx context.Context) {
	m.redial()
	m.sendBeats(ctx)
}
