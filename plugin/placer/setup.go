// Package placer finds targets for the requests of an entry instance. It provides
// api.Placer. Model requests are placed by the owner on the control leader, which
// sees the work of all entry instances; plain requests, and all requests while no
// owner answers, are placed here.
package placer

import (
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:   "placer",
		Order:  kernel.OrderPlacer,
		New:    func() kernel.Plugin { return &Placer{} },
		Wanted: kernel.RoutedEntry,
	})
}

// Placer implements api.Placer. It must be provisioned before use.
type Placer struct {
	mesh       api.Mesh
	topology   api.Topology
	fleet      api.Fleet
	directory  api.Directory
	clock      kernel.Clock
	log        *slog.Logger
	dataCentre string

	instant func() kernel.Instant

	mu      sync.Mutex
	local   *placement.Local
	flood   *placement.Flood
	owner   ownerState
	number  uint64             // of the newest model request
	waiting map[uint64]*waiter // asks without an answer
	lapse   kernel.Lapse       // looked at while requests wait
	wokeAt  time.Duration      // when this process last ran again after a pause
	running map[uint64]*placed // model requests on targets
	up      placewire.Up       // not sent yet
	kick    chan struct{}      // up has content
	watch   chan struct{}      // a request begins to wait

	remote, fallback, unanswered, held, expired *metrics.Counter
	wait                                        *metrics.Histogram
}

// ownerState is what this instance knows of the owner.
type ownerState struct {
	name   string
	term   uint64
	absent time.Duration // not asked until then

	silence silence
}

// Provision implements kernel.Plugin.
func (p *Placer) Provision(c *kernel.Context) (err error) {
	if p.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if p.topology, err = kernel.Lookup[api.Topology](c); err != nil {
		return err
	}
	if p.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	if p.directory, err = kernel.Lookup[api.Directory](c); err != nil {
		return err
	}
	p.clock, p.log, p.dataCentre = c.Clock, c.Log.With("plugin", "placer"), c.Settings.DataCentre
	p.local, p.flood = placement.NewLocal(p.dataCentre), placement.NewFlood()
	p.waiting, p.running, p.kick = map[uint64]*waiter{}, map[uint64]*placed{}, make(chan struct{}, 1)
	p.watch, p.instant = make(chan struct{}, 1), kernel.Now
	p.remote = c.Metrics.NewCounter("nutmeg_placer_owner_grants_total")
	p.fallback = c.Metrics.NewCounter("nutmeg_placer_local_total")
	p.held = c.Metrics.NewCounter("nutmeg_placer_held_back_total")
	p.expired = c.Metrics.NewCounter("nutmeg_placer_grants_expired_total")
	p.unanswered = c.Metrics.NewCounter("nutmeg_placer_unanswered_total")
	p.wait = c.Metrics.NewHistogram("nutmeg_placer_wait_seconds")
	p.mesh.Handle(placewire.MethodDown, p.handleDown)
	p.directory.OnChange(p.listChanged)
	p.topology.OnLeader(p.leaderChanged)
	roster, err := kernel.Lookup[api.Roster](c)
	if err != nil {
		return err
	}
	roster.OnLink(p.linkChanged)
	return kernel.Provide[api.Placer](c, p)
}

// Start implements kernel.Starter.
func (p *Placer) Start(d *kernel.Duties) error {
	d.Go("placer", p.sendLoop)
	d.Go("placer owner watch", p.watchLoop)
	return nil
}

func (p *Placer) listChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local.Keep(p.directory.Targets())
}

// Errors of a placement that must not be used any more.
var (
	errLeaving = errors.New("the target leaves or is gone")
	errOut     = errors.New("the target's data centre is out of service")
)

// permit reports whether a target may still get a request.
func (p *Placer) permit(t api.Target) error {
	if p.fleet.View().Out[t.DataCentre] {
		return errOut
	}
	if have, ok := p.directory.Target(t.ID); ok && have.BornMs == t.BornMs && !have.Leaving {
		return nil
	}
	return errLeaving
}
