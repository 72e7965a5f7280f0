// Package members discovers the control instances of a fleet with the profile
// "routes", maintains links to them, and distributes the committed view to the entry
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
		Name:    "members",
		Order:   kernel.OrderMembers,
		New:     func() kernel.Plugin { return &Members{} },
		Enabled: kernel.OnRoutes,
	})
}

// Members is the plug-in; it implements api.Topology. It must be provisioned before use.
type Members struct {
	kernel      *kernel.Context
	mesh        api.Mesh
	linkManager api.LinkManager
	fleet       api.Fleet
	control     api.Control // nil on entry instances
	log         *slog.Logger
	events      *kernel.Events

	mu        sync.Mutex
	seeds     []string
	reports   map[string]controlReport // latest report of each control instance, by its name
	leader    string
	term      uint64
	listeners []func(string, uint64)

	entryCount atomic.Int64 // number of entry instances, from the last heartbeat response that had one

	heartbeatDue   chan struct{}               // triggers heartbeats at once
	announcedViews *kernel.Ring[announcedView] // newer views to fetch

	heartbeats, unansweredHeartbeats, viewFetches *metrics.Counter
}

// controlReport is the list of control instances in the heartbeat responses of one of them.
type controlReport struct {
	receivedAt time.Duration // kernel clock, of the last response
	controls   []string
}

// Timing and bounds of heartbeats and fetches.
const (
	// heartbeatInterval separates the heartbeats on a link. Three intervals fit into the
	// silence after which the mesh replaces a link.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1500 * time.Millisecond
	// reportTTL is how long a report counts after the last heartbeat response of the
	// control instance that sent it. Instances named by no valid report are not dialled,
	// unless they are seeds.
	reportTTL = 10 * time.Second
	// maxAnnouncedViews is the capacity of the ring of announced views. They are fetched
	// in the order of arrival; a full ring refuses further ones.
	maxAnnouncedViews = 64
)

// Provision implements kernel.Plugin. It registers the message handlers and provides
// api.Topology. It fails if the mesh, the link manager or the fleet is missing.
func (m *Members) Provision(c *kernel.Context) (err error) {
	if m.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if m.linkManager, err = kernel.Lookup[api.LinkManager](c); err != nil {
		return err
	}
	if m.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	m.kernel, m.events, m.log = c, c.Events, c.Log.With("plugin", "members")
	m.reports, m.heartbeatDue = map[string]controlReport{}, make(chan struct{}, 1)
	m.announcedViews = kernel.NewRing[announcedView](c.Metrics, "members.views", maxAnnouncedViews)
	m.heartbeats = c.Metrics.NewCounter("nutmeg_members_beats_total")
	m.unansweredHeartbeats = c.Metrics.NewCounter("nutmeg_members_beats_unanswered_total")
	m.viewFetches = c.Metrics.NewCounter("nutmeg_members_view_fetches_total")
	m.setSeeds(c.Settings)
	m.mesh.Handle(heartbeatMethod, m.handleHeartbeat)
	m.mesh.Handle(leaderMethod, m.handleLeader)
	m.mesh.Handle(viewChangedMethod, m.handleViewChanged)
	m.mesh.Handle(viewFetchMethod, m.handleViewFetch)
	m.linkManager.OnLinkChange(m.linkChanged)
	return kernel.Provide[api.Topology](c, m)
}

// Reload implements kernel.Reloader. It applies changed seeds and sends heartbeats at once.
func (m *Members) Reload(s *settings.Settings) {
	m.setSeeds(s)
	kernel.Signal(m.heartbeatDue)
}

// setSeeds replaces the seeds by those of the settings. Seeds without a valid mesh address
// are skipped.
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

// Start implements kernel.Starter. It dials the seeds and starts the duties that send
// heartbeats and fetch views.
func (m *Members) Start(d *kernel.Duties) error {
	if control, err := kernel.Lookup[api.Control](m.kernel); err == nil {
		m.control = control
		control.OnStatus(m.statusChanged)
		m.fleet.OnChange(func(v *api.View) { m.announceView(v.Revision) })
	}
	m.dialControls()
	d.EveryOrOnSignal("members.beat", heartbeatInterval, m.heartbeatDue, m.runHeartbeat)
	d.Go("members.fetch", m.fetchLoop)
	return nil
}

// ControlInstances implements api.Topology. It returns the seeds, the control instances named
// by reports younger than reportTTL and, on a control instance, the members of the local
// replica and the instance itself.
func (m *Members) ControlInstances() []string {
	now := m.kernel.Clock.Now()
	m.mu.Lock()
	out := slices.Clone(m.seeds)
	for from, r := range m.reports {
		if now-r.receivedAt > reportTTL {
			delete(m.reports, from)
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

// Leader implements api.Topology. It returns "" and 0 if no leader is known.
func (m *Members) Leader() (string, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader, m.term
}

// OnLeader implements api.Topology. The function is called with the new leader and its term.
func (m *Members) OnLeader(f func(string, uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, f)
}

// updateLeader stores a leader of a higher term than the known one and notifies the
// listeners; others are ignored.
func (m *Members) updateLeader(instance string, term uint64) {
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

// EntryCount implements api.Topology. A control instance counts its links to entry
// instances; an entry instance returns the number in the newest heartbeat response.
func (m *Members) EntryCount() int {
	if m.control == nil {
		return int(m.entryCount.Load())
	}
	return len(m.linkedEntries())
}

// linkedEntries returns the linked instances that are not control instances.
func (m *Members) linkedEntries() []string {
	controls := m.ControlInstances()
	return slices.DeleteFunc(m.mesh.Peers(), func(p string) bool { return slices.Contains(controls, p) })
}

// setEntryCount stores the number of entry instances that a peer has reported; 0 = not known.
func (m *Members) setEntryCount(n int) {
	if n > 0 {
		m.entryCount.Store(int64(n))
	}
}

// dialControls makes the mesh keep links to exactly the known control instances.
func (m *Members) dialControls() {
	self := m.mesh.Self()
	addresses := slices.DeleteFunc(m.ControlInstances(), func(a string) bool { return a == self })
	m.linkManager.SetAddresses(addresses)
}

// linkChanged triggers heartbeats at once after a link to a control instance came up, to
// get the leader and the newest revision without waiting for the next interval.
func (m *Members) linkChanged(c api.LinkChange) {
	if c.Up && c.HasControlReplica {
		kernel.Signal(m.heartbeatDue)
	}
}

// runHeartbeat updates the dialled addresses and sends a round of heartbeats.
func (m *Members) runHeartbeat(ctx context.Context) {
	m.dialControls()
	m.sendHeartbeats(ctx)
}
