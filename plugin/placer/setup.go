// Package placer finds targets for the requests of an entry instance. It provides
// api.Placer.
package placer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/placement"
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
	fleet     api.Fleet
	directory api.Directory
	clock     kernel.Clock
	log       *slog.Logger

	mu    sync.Mutex
	local *placement.Local
}

// Provision implements kernel.Plugin.
func (p *Placer) Provision(c *kernel.Context) (err error) {
	if p.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	if p.directory, err = kernel.Lookup[api.Directory](c); err != nil {
		return err
	}
	p.clock, p.log = c.Clock, c.Log.With("plugin", "placer")
	p.local = placement.NewLocal(c.Settings.DataCentre)
	p.directory.OnChange(p.listChanged)
	return kernel.Provide[api.Placer](c, p)
}

func (p *Placer) listChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local.Keep(p.directory.Targets())
}

// Place implements api.Placer.
func (p *Placer) Place(_ context.Context, w *api.Work) (api.Placement, error) {
	p.mu.Lock()
	t, ok := p.local.Choose(placement.Query{
		Service: w.Service, Targets: p.directory.Targets(), Out: p.fleet.View().Out,
		Tried: w.Tried, Now: p.clock.Now(), Random: rand.Float64(),
	})
	if ok {
		p.local.Start(t)
	}
	p.mu.Unlock()
	if !ok {
		return nil, &api.Refusal{
			Code: "no_target", Status: 503, Run: api.NotRun, Step: "place",
			Message: "no target of the service may be used", RetryAfter: noTargetAdvice,
		}
	}
	return &placed{p: p, target: t, begin: p.clock.Now()}, nil
}

// noTargetAdvice is when a caller may come back while no target is in service:
// the list is read at shorter intervals.
const noTargetAdvice = 500 * time.Millisecond

// placed implements api.Placement.
type placed struct {
	p      *Placer
	target api.Target
	begin  time.Duration
}

// Target implements api.Placement.
func (l *placed) Target() api.Target { return l.target }

// Sent implements api.Placement.
func (l *placed) Sent() error { return nil }

// Began implements api.Placement.
func (l *placed) Began() {}

// Progress implements api.Placement.
func (l *placed) Progress(int) {}

// End implements api.Placement.
func (l *placed) End(o api.WorkOutcome) {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	now := l.p.clock.Now()
	l.p.local.End(l.target, o, now-l.begin, now)
}
