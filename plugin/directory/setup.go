// Package directory reads the platform's list of targets on the control leader
// and carries it to all instances. It provides api.Directory.
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
	"nutmegrouter/internal/targetlist"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:   "directory",
		Order:  kernel.OrderDirectory,
		New:    func() kernel.Plugin { return &Directory{} },
		Wanted: kernel.Routed,
	})
}

// Directory implements api.Directory. It must be provisioned before use.
type Directory struct {
	kernel   *kernel.Context
	mesh     api.Mesh
	topology api.Topology
	dialect  api.Dialect
	control  api.Control // nil on entry instances
	log      *slog.Logger
	client   *fasthttp.HostClient

	mu        sync.Mutex
	list      targetlist.List
	newest    answer        // the newest one to a fetch
	sharedAt  time.Duration // time of the last update sent to all
	listeners []func()
	led       chan struct{} // signalled when this instance begins to lead
	calledAt  time.Duration // time of the last call to the platform; owned by the duty

	fetching atomic.Bool // one fetch at a time

	targets atomic.Pointer[published]
	readAt  atomic.Int64 // time of the last answer of the platform or news of it

	reads, failures, unreadable, updates *metrics.Counter
}

// published is the list that other plug-ins see.
type published struct {
	list []api.Target
	byID map[string]int // index in list
}

// Provision implements kernel.Plugin.
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
	roster, err := kernel.Lookup[api.Roster](c)
	if err != nil {
		return err
	}
	d.kernel, d.log, d.led = c, c.Log.With("plugin", "directory"), make(chan struct{}, 1)
	d.client = &fasthttp.HostClient{
		Addr: c.Settings.Routes.Directory.Address, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }, NoDefaultUserAgentHeader: true,
	}
	d.reads = c.Metrics.NewCounter("nutmeg_directory_reads_total")
	d.failures = c.Metrics.NewCounter("nutmeg_directory_read_failures_total")
	d.unreadable = c.Metrics.NewCounter("nutmeg_directory_unreadable_entries_total")
	d.updates = c.Metrics.NewCounter("nutmeg_directory_updates_total")
	c.Metrics.NewGauge("nutmeg_directory_targets", func() float64 { return float64(len(d.Targets())) })
	c.Metrics.NewGauge("nutmeg_directory_age_seconds", func() float64 { return d.age().Seconds() })
	d.mesh.Handle(updateMethod, d.handleUpdate)
	d.mesh.Handle(packedMethod, d.handlePacked)
	d.mesh.Handle(fetchMethod, d.handleFetch)
	roster.OnLink(d.linkChanged)
	return kernel.Provide[api.Directory](c, d)
}

// Start implements kernel.Starter.
func (d *Directory) Start(duties *kernel.Duties) error {
	control, err := kernel.Lookup[api.Control](d.kernel)
	if err != nil {
		return nil // an entry instance only listens
	}
	d.control = control
	control.OnStatus(func(s api.ControlStatus) {
		if s.Role == "leader" {
			kernel.Signal(d.led)
		}
	})
	// A new leader reads at once: after a loss of power no instance knows any target
	// until then.
	duties.EveryOr("directory read", readInterval, d.led, d.read)
	return nil
}

// Targets implements api.Directory.
func (d *Directory) Targets() []api.Target {
	if p := d.targets.Load(); p != nil {
		return p.list
	}
	return nil
}

// Target implements api.Directory.
func (d *Directory) Target(id string) (api.Target, bool) {
	p := d.targets.Load()
	if p == nil {
		return api.Target{}, false
	}
	i, ok := p.byID[id]
	if !ok {
		return api.Target{}, false
	}
	return p.list[i], true
}

// Known implements api.Directory.
func (d *Directory) Known() bool { return d.targets.Load() != nil }

// OnChange implements api.Directory.
func (d *Directory) OnChange(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
}

func (d *Directory) age() time.Duration { return d.kernel.Clock.Now() - time.Duration(d.readAt.Load()) }

// publish makes the list visible and tells the listeners. The lock must be held.
func (d *Directory) publish() []func() {
	p := &published{list: d.list.Targets(), byID: map[string]int{}}
	for i := range p.list {
		p.byID[p.list[i].ID] = i
	}
	d.targets.Store(p)
	return append([]func(){}, d.listeners...)
}

// loggedMost is the largest number of changes that get a line each.
const loggedMost = 64

func (d *Directory) logChange(u targetlist.Update, from string) {
	if len(u.Entries)+len(u.Gone) > loggedMost {
		logqueue.Notice(d.log, "targets known", "step", "directory", "targets", len(u.Entries), "gone", len(u.Gone), "whole", u.Whole,
			"epoch", u.At.Epoch, "seq", u.At.Seq, "from", from)
		return
	}
	for _, e := range u.Entries {
		logqueue.Notice(d.log, "target known", "step", "directory", "target", e.ID, "service", e.Service, "address", e.Address,
			"data_centre", e.DataCentre, "leaving", e.Leaving, "cold_ms", e.ColdMs, "epoch", u.At.Epoch, "seq", u.At.Seq, "from", from)
	}
	for _, id := range u.Gone {
		logqueue.Notice(d.log, "target gone", "step", "directory", "target", id, "epoch", u.At.Epoch, "seq", u.At.Seq, "from", from)
	}
}

// leads reports whether this instance is the control leader.
func (d *Directory) leads() (term uint64, ok bool) {
	s := d.control.Status()
	return s.Term, s.Role == "leader"
}
