// Package directory polls the platform's list of targets on the control leader and
// replicates it to all instances. It provides api.Directory.
package directory

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/responsehead"
	"nutmegrouter/internal/routing"
	"nutmegrouter/internal/targetlist"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:    "directory",
		Order:   kernel.OrderDirectory,
		New:     func() kernel.Plugin { return &Directory{} },
		Enabled: kernel.OnRoutes,
	})
}

// Directory is the plug-in; it implements api.Directory. It must be provisioned before use.
type Directory struct {
	kernel   *kernel.Context
	mesh     api.Mesh
	topology api.Topology
	dialect  api.Dialect
	fleet    api.Fleet
	control  api.Control // nil on entry instances
	log      *slog.Logger
	client   *fasthttp.HostClient

	mu             sync.Mutex
	list           targetlist.List
	cachedResponse fetchResponse // the latest response to a fetch, reused for fetchResponseTTL
	notifiedAt     time.Duration // time of the last update sent to all peers
	listeners      []func()
	readDue        chan struct{} // triggers a read of the platform's list at once
	lastCallAt     time.Duration // time of the last call to the platform; used by the reading duty only
	// table is that of the newest configuration that could be read; used by the reading duty only.
	table *routing.Table

	fetching atomic.Bool // set while a fetch runs; at most one runs at a time

	current     atomic.Pointer[snapshot]
	refreshedAt atomic.Int64 // kernel clock when the list was last known to be current: read, or confirmed by an update

	reads, readFailures, unreadableEntries, updatesSent *metrics.Counter
}

// snapshot is an immutable copy of the list for readers without the lock.
type snapshot struct {
	list []api.Target
	byID map[string]int // index in list
}

// Provision implements kernel.Plugin. It registers the message handlers and provides
// api.Directory. It fails if the mesh, the topology, the dialect, the fleet or the link
// manager is missing.
func (d *Directory) Provision(c *kernel.Context) (err error) {
	if d.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if d.topology, err = kernel.Lookup[api.Topology](c); err != nil {
		return err
	}
	if d.dialect, err = kernel.Lookup[api.Dialect](c); err != nil {
		return err
	}
	if d.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	linkManager, err := kernel.Lookup[api.LinkManager](c)
	if err != nil {
		return err
	}
	// It is looked up before the first link may appear; entry instances have none.
	d.control, _ = kernel.Lookup[api.Control](c)
	d.kernel, d.log, d.readDue = c, c.Log.With("plugin", "directory"), make(chan struct{}, 1)
	d.client = &fasthttp.HostClient{
		Addr: c.Settings.Routes.Directory.Address, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }, NoDefaultUserAgentHeader: true,
		DialTimeout: responsehead.DialTimeout,
	}
	d.reads = c.Metrics.NewCounter("nutmeg_directory_reads_total")
	d.readFailures = c.Metrics.NewCounter("nutmeg_directory_read_failures_total")
	d.unreadableEntries = c.Metrics.NewCounter("nutmeg_directory_unreadable_entries_total")
	d.updatesSent = c.Metrics.NewCounter("nutmeg_directory_updates_total")
	c.Metrics.NewGauge("nutmeg_directory_targets", func() float64 { return float64(len(d.Targets())) })
	c.Metrics.NewGauge("nutmeg_directory_age_seconds", func() float64 { return d.age().Seconds() })
	d.mesh.Handle(updateMethod, d.handleUpdate)
	d.mesh.Handle(packedMethod, d.handlePacked)
	d.mesh.Handle(fetchMethod, d.handleFetch)
	linkManager.OnLinkChange(d.linkChanged)
	return kernel.Provide[api.Directory](c, d)
}

// Start implements kernel.Starter. On control instances it starts the duty that reads the
// platform's list while this instance is the leader.
func (d *Directory) Start(duties *kernel.Duties) error {
	if d.control == nil {
		return nil // an entry instance only receives updates
	}
	d.control.OnStatus(func(s api.ControlStatus) {
		if s.Role == "leader" {
			kernel.Signal(d.readDue)
		}
	})
	// A new leader reads at once: after a power failure of the whole fleet no instance
	// has a list until then.
	duties.EveryOrOnSignal("directory read", readInterval, d.readDue, d.readPlatformList)
	return nil
}

// Targets implements api.Directory. It returns nil if no list was received yet.
func (d *Directory) Targets() []api.Target {
	if p := d.current.Load(); p != nil {
		return p.list
	}
	return nil
}

// Target implements api.Directory. It returns false if the target is not in the list.
func (d *Directory) Target(id string) (api.Target, bool) {
	p := d.current.Load()
	if p == nil {
		return api.Target{}, false
	}
	i, ok := p.byID[id]
	if !ok {
		return api.Target{}, false
	}
	return p.list[i], true
}

// Loaded implements api.Directory. It reports whether a list was read or received.
func (d *Directory) Loaded() bool { return d.current.Load() != nil }

// OnChange implements api.Directory. The function is called without the lock held.
func (d *Directory) OnChange(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
}

// age returns the time since the list was last known to be current.
func (d *Directory) age() time.Duration {
	return d.kernel.Clock.Now() - time.Duration(d.refreshedAt.Load())
}

// publish replaces the snapshot by the current list and returns the listeners, which the
// caller must call after it has released the lock. The lock must be held.
func (d *Directory) publish() []func() {
	p := &snapshot{list: d.list.Targets(), byID: map[string]int{}}
	for i := range p.list {
		p.byID[p.list[i].ID] = i
	}
	d.current.Store(p)
	return append([]func(){}, d.listeners...)
}

// maxLoggedChanges is the largest number of changes that are logged one by one; more are
// logged as one line.
const maxLoggedChanges = 64

// logChange logs the changes of an update and its source, a peer or "platform".
func (d *Directory) logChange(u targetlist.Update, from string) {
	if len(u.Entries)+len(u.Removed) > maxLoggedChanges {
		logqueue.Notice(d.log, "targets known", "step", "directory", "targets", len(u.Entries), "gone", len(u.Removed), "whole", u.Full,
			"epoch", u.At.Epoch, "seq", u.At.Seq, "from", from)
		return
	}
	for _, e := range u.Entries {
		logqueue.Notice(d.log, "target known", "step", "directory", "target", e.ID, "service", e.Service, "address", e.Address,
			"data_centre", e.DataCentre, "leaving", e.Leaving, "cold_ms", e.ColdMs, "epoch", u.At.Epoch, "seq", u.At.Seq, "from", from)
	}
	for _, id := range u.Removed {
		logqueue.Notice(d.log, "target gone", "step", "directory", "target", id, "epoch", u.At.Epoch, "seq", u.At.Seq, "from", from)
	}
}

// leaderTerm returns the current term; ok is false unless this instance is the control
// leader. It must be called on control instances only.
func (d *Directory) leaderTerm() (term uint64, ok bool) {
	s := d.control.Status()
	return s.Term, s.Role == "leader"
}
