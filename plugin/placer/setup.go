// Package placer assigns the requests of an entry instance to targets. It provides
// api.Placer. Model requests are placed by the owner on the control leader, which sees
// the work of all entry instances. Plain requests, and all requests while no owner
// responds, are placed locally.
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
		Name:    "placer",
		Order:   kernel.OrderPlacer,
		New:     func() kernel.Plugin { return &Placer{} },
		Enabled: kernel.OnRoutesEntry,
	})
}

// Placer is the plug-in that implements api.Placer. It must be provisioned before use.
type Placer struct {
	mesh       api.Mesh
	topology   api.Topology
	fleet      api.Fleet
	directory  api.Directory
	clock      kernel.Clock
	log        *slog.Logger
	dataCentre string
	instance   string
	process    string // identifies this process

	readClocks func() kernel.ClockReading

	mu            sync.Mutex
	local         *placement.Local
	throttle      *placement.Throttle
	blocked       *placement.BlockList // prompt parts that the owner has blocked
	notices       *placement.Notices   // what targets have said of themselves
	suspects      *placement.SuspectList
	listsKnown    chan struct{} // closed when the first lists of an owner have arrived
	listsOnce     sync.Once
	startedAt     time.Duration
	owner         ownerState
	lastNumber    uint64                    // number of the newest model request
	waiting       map[uint64]*waiter        // model requests without the owner's response, by number
	stopRefusal   *api.Refusal              // see RefuseWaiting; nil = this instance does not stop
	suspension    kernel.SuspensionDetector // checked while requests wait
	suspensionEnd time.Duration             // when this process last resumed after a suspension
	running       map[uint64]*assignment    // model requests on targets, by number
	// localByWorkspace is the number of running model requests that this instance has placed.
	localByWorkspace map[string]int
	subsets          map[string]subset // by service
	contact          ownerContact
	starts           *placement.StartShare
	rollouts         map[string]*runningRollout // by service
	recent           recentPrompts
	pending          placewire.EntryMessage // message to the owner that is not sent yet
	sendDueAt        time.Duration          // when pending is to be sent; -1 = it has no content
	sendSignal       chan struct{}          // sendDueAt is earlier than before
	watchSignal      chan struct{}          // the first request waits

	ownerGrants, localPlacements, ownerTimeouts, throttled, expiredGrants *metrics.Counter
	leavingNotices, pauseNotices, limitNotices, unmeteredSends            *metrics.Counter
	waitSeconds                                                           *metrics.Histogram
}

// subset is the part of a list of targets that this instance uses while no owner responds.
type subset struct {
	list  []api.Target // of which it is a part
	share float64
	// versions identifies the versions that may be used.
	versions placement.Versions
	targets  []api.Target
}

// ownerState is this instance's state of the current owner.
type ownerState struct {
	name             string
	term             uint64
	unavailableUntil time.Duration // no requests are sent to it before
	sent             int64         // newest placewire.OwnerMessage.Sent
	shareSentAt      time.Duration // when it was last sent this instance's starts; 0 = not yet

	// lateness is the age of the newest message that it has applied, as it said at latenessAt.
	lateness, latenessAt time.Duration

	silence silenceTimer
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
	p.local, p.throttle = placement.NewLocal(p.dataCentre), placement.NewThrottle()
	p.starts, p.process, p.recent = placement.NewStartShare(), kernel.NewID(), newRecentPrompts()
	p.blocked, p.notices, p.suspects = placement.NewBlockList(), placement.NewNotices(), placement.NewSuspectList()
	p.instance, p.localByWorkspace, p.subsets = c.Settings.Instance, map[string]int{}, map[string]subset{}
	p.listsKnown, p.startedAt = make(chan struct{}), p.clock.Now()
	p.waiting, p.running, p.sendSignal = map[uint64]*waiter{}, map[uint64]*assignment{}, make(chan struct{}, 1)
	p.sendDueAt = -1
	p.watchSignal, p.readClocks = make(chan struct{}, 1), kernel.ReadClocks
	p.ownerGrants = c.Metrics.NewCounter("nutmeg_placer_owner_grants_total")
	p.localPlacements = c.Metrics.NewCounter("nutmeg_placer_local_total")
	p.throttled = c.Metrics.NewCounter("nutmeg_placer_held_back_total")
	p.leavingNotices = c.Metrics.NewCounter(`nutmeg_placer_target_notices_total{kind="leaving"}`)
	p.pauseNotices = c.Metrics.NewCounter(`nutmeg_placer_target_notices_total{kind="pause"}`)
	p.limitNotices = c.Metrics.NewCounter(`nutmeg_placer_target_notices_total{kind="limit"}`)
	p.unmeteredSends = c.Metrics.NewCounter("nutmeg_placer_unmetered_total")
	p.expiredGrants = c.Metrics.NewCounter("nutmeg_placer_grants_expired_total")
	p.ownerTimeouts = c.Metrics.NewCounter("nutmeg_placer_unanswered_total")
	p.waitSeconds = c.Metrics.NewHistogram("nutmeg_placer_wait_seconds")
	p.mesh.Handle(placewire.MethodDown, p.handleOwnerMessage)
	p.directory.OnChange(p.targetsChanged)
	p.fleet.OnChange(p.viewChanged)
	p.topology.OnLeader(p.leaderChanged)
	linkManager, err := kernel.Lookup[api.LinkManager](c)
	if err != nil {
		return err
	}
	linkManager.OnLinkChange(p.linkChanged)
	return kernel.Provide[api.Placer](c, p)
}

// Start implements kernel.Starter.
func (p *Placer) Start(d *kernel.Duties) error {
	d.Go("placer", p.sendLoop)
	d.Go("placer owner watch", p.watchLoop)
	return nil
}

// targetsChanged discards the local state of removed targets.
func (p *Placer) targetsChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local.Retain(p.directory.Targets())
	p.starts.Retain(p.directory.Targets())
	p.notices.Retain(p.directory.Targets())
	for _, r := range p.rollouts {
		p.findOldTargets(r)
	}
}

// Errors of an assignment whose target must not be used any more.
var (
	errTargetLeaving = errors.New("the target leaves or is gone")
	errDataCentreOut = errors.New("the target's data centre is out of service")
	errTargetPaused  = errors.New("the target has asked for a pause")
	errTargetLimited = errors.New("the request is not counted against the target's rate limit")
)

// checkTarget returns an error if the target must not receive a request any more.
func (p *Placer) checkTarget(t api.Target) error {
	if p.fleet.View().DataCentresOut[t.DataCentre] {
		return errDataCentreOut
	}
	p.mu.Lock()
	leaving, pause := p.notices.Leaving(&t), p.notices.Pause(&t, p.clock.Now())
	p.mu.Unlock()
	switch {
	case leaving:
		return errTargetLeaving
	case pause > 0:
		return errTargetPaused
	}
	if current, ok := p.directory.Target(t.ID); ok && current.StartedUnixMs == t.StartedUnixMs && !current.Leaving {
		return nil
	}
	return errTargetLeaving
}
