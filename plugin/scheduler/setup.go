// Package scheduler runs the schedulers of the pools that this instance owns. It passes
// messages of the instances, load reports of targets and the platform's list to
// internal/schedule, and sends the grants. It provides schedule.Local and
// api.TargetStates.
package scheduler

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/schedule"
)

const (
	inboxSize          = 8192 // messages queued for the worker
	activeTickInterval = 10 * time.Millisecond
	idleTickInterval   = 200 * time.Millisecond
	minFlushInterval   = time.Millisecond // shortest time between two batches of grants
	publishInterval    = time.Second
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "scheduler",
		Order: kernel.OrderScheduler,
		New:   func() kernel.Plugin { return &Scheduler{} },
	})
}

// Scheduler is the plug-in that schedules the pools that this instance owns. Its state
// belongs to one worker; handlers and polls send to the worker through a bounded ring. It
// must be provisioned before use.
type Scheduler struct {
	kernel *kernel.Context
	mesh   api.Mesh
	lease  api.Lease
	fleet  api.Fleet
	client schedule.Client
	http   *fasthttp.Client

	inbox            *kernel.Ring[input]
	wakeSignal       chan struct{} // ownership or view may have changed
	pollSignal       chan struct{} // a poll of the targets is due at once
	listSignal       chan struct{} // a poll of the platform's list is due at once
	plan             atomic.Pointer[pollPlan]
	urgentTargets    atomic.Pointer[[]pollTarget]
	urgentPlannedAt  time.Duration
	states           atomic.Pointer[map[string][]api.TargetState]
	handOverRequests chan chan struct{}

	owned       map[string]*ownedPool
	revision    uint64
	dataCentres map[string]string // data centre of each instance
	leaving     map[string]bool
	listReadAt  time.Duration // when the platform's list was last read
	flushedAt   time.Duration
	publishedAt time.Duration
	resigning   bool
	serviceMsg  schedule.ServiceTableMsg
	failures    *errorCounters
}

// input is one message to the worker. Exactly one pointer is set; from is the sending
// instance of a demand or report.
type input struct {
	from   string
	demand *schedule.DemandMsg
	report *schedule.ReportMsg
	load   *loadResult
	list   *listResult
}

// Provision implements kernel.Plugin. It provides schedule.Local and api.TargetStates, and
// fails if the mesh, the lease or the fleet is missing.
func (s *Scheduler) Provision(c *kernel.Context) error {
	if err := s.lookUpDependencies(c); err != nil {
		return err
	}
	s.kernel = c
	s.http = newHTTP()
	s.inbox = kernel.NewRing[input](c.Metrics, "scheduler", inboxSize)
	s.wakeSignal, s.pollSignal, s.listSignal = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	s.handOverRequests = make(chan chan struct{})
	s.owned, s.dataCentres = map[string]*ownedPool{}, map[string]string{}
	s.failures = newErrorCounters(c.Metrics)
	for _, p := range c.Settings.Peers {
		s.dataCentres[p.Instance] = p.DataCentre
	}
	s.plan.Store(&pollPlan{})
	s.urgentTargets.Store(&[]pollTarget{})
	s.mesh.Handle(schedule.MethodDemand, s.onDemand)
	s.mesh.Handle(schedule.MethodReport, s.onReport)
	s.lease.OnChange(s.wakeWorker)
	s.fleet.OnChange(func(*api.View) { s.wakeWorker() })
	if err := kernel.Provide[api.TargetStates](c, s); err != nil {
		return err
	}
	return kernel.Provide[schedule.Local](c, s)
}

func (s *Scheduler) lookUpDependencies(c *kernel.Context) (err error) {
	if s.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if s.lease, err = kernel.Lookup[api.Lease](c); err != nil {
		return err
	}
	s.fleet, err = kernel.Lookup[api.Fleet](c)
	return err
}

// Start implements kernel.Starter. It starts the worker and the polls of load reports and of
// the platform's list.
func (s *Scheduler) Start(d *kernel.Duties) error {
	d.Go("scheduler", s.runWorker)
	d.Go("scheduler polls", s.pollLoads)
	if s.kernel.Settings.PlatformList != "" {
		d.Go("scheduler platform list", s.pollList)
	}
	return nil
}

// Drain implements kernel.Drainer: it sends the last grants and the whole virtual service
// table to all instances, stops granting and resigns ownership. The error is that of the
// context or of the resignation.
func (s *Scheduler) Drain(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case s.handOverRequests <- done:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return errors.WithMessage(s.lease.Resign(ctx), "resign ownership")
}

// Attach implements schedule.Local. It sets the client of this instance, which receives
// grants and service tables without the mesh. It must be called before Start.
func (s *Scheduler) Attach(c schedule.Client) { s.client = c }

// Demand implements schedule.Local. It queues a demand message of this instance for the
// worker, and reports false if the ring is full.
func (s *Scheduler) Demand(m *schedule.DemandMsg) bool {
	return s.inbox.Push(input{from: s.mesh.Self(), demand: m})
}

// Report implements schedule.Local. It queues a full report of this instance for the worker,
// and reports false if the ring is full.
func (s *Scheduler) Report(m *schedule.ReportMsg) bool {
	return s.inbox.Push(input{from: s.mesh.Self(), report: m})
}

func (s *Scheduler) onDemand(_ context.Context, from string, params json.RawMessage) (any, error) {
	m := &schedule.DemandMsg{}
	if err := m.UnmarshalJSON(params); err != nil {
		s.failures.badMessages.Inc()
		return nil, errors.WithMessagef(err, "demand from %s", from)
	}
	s.inbox.Push(input{from: from, demand: m})
	return nil, nil
}

func (s *Scheduler) onReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	m := &schedule.ReportMsg{}
	if err := m.UnmarshalJSON(params); err != nil {
		s.failures.badMessages.Inc()
		return nil, errors.WithMessagef(err, "report from %s", from)
	}
	s.inbox.Push(input{from: from, report: m})
	return nil, nil
}

// wakeWorker makes the worker check ownership and the view. It never blocks.
func (s *Scheduler) wakeWorker() { kernel.Signal(s.wakeSignal) }
