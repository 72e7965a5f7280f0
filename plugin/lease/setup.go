// Package lease runs the protocol of internal/lease over the mesh: it sends
// heartbeats every 500 ms, maintains the instance lease and the ownership of pools,
// acts as a witness for other instances, and fetches newer views from peers. It
// provides api.Lease.
package lease

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/lease"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "lease",
		Order: kernel.OrderLease,
		New:   func() kernel.Plugin { return &Runner{} },
	})
}

// Runner implements api.Lease. Call Provision on the zero value before use.
type Runner struct {
	mesh      api.Mesh
	links     api.Links
	fleet     api.Fleet
	control   api.Control // nil if no plug-in provides it
	context   *kernel.Context
	clock     kernel.Clock
	startedAt time.Duration
	events    *kernel.Events
	log       *slog.Logger

	mu              sync.Mutex
	node            *lease.Node
	watchedPools    []string // pools whose owner changes are reported; grows only
	reportedOwners  map[string]ownership
	reportedValid   bool
	reportedWitness bool
	listeners       []func()

	leaseEnd atomic.Int64 // end of the instance lease on the monotonic clock in ns

	heartbeatCalls sync.WaitGroup // heartbeats without a reply yet
	sendNow        chan struct{}  // signals that a heartbeat must be sent at once
	fetchNow       chan struct{}  // signals that a peer has a newer view

	heartbeats, heartbeatsUnanswered, viewFetches, leasesGained, leasesLost *metrics.Counter
}

// ownership is the owner of a pool as last reported to the listeners.
type ownership struct {
	instance string
	epoch    uint64
	known    bool
}

// Provision implements kernel.Plugin. It requires a mesh with its links, and a fleet.
func (r *Runner) Provision(c *kernel.Context) (err error) {
	if r.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if r.links, err = kernel.Lookup[api.Links](c); err != nil {
		return err
	}
	if r.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	r.context, r.clock, r.events, r.log = c, c.Clock, c.Events, c.Log.With("plugin", "lease")
	r.sendNow, r.fetchNow = make(chan struct{}, 1), make(chan struct{}, 1)
	r.reportedOwners, r.startedAt = map[string]ownership{}, c.Clock.Now()
	r.node = lease.New(lease.Config{
		Self:      r.mesh.Self(),
		Instances: append(r.mesh.Peers(), r.mesh.Self()),
		Boot:      1 + uint64(rand.Uint32()), // not 0; 32 bits, because every heartbeat carries it
		Start:     r.startedAt,
	})
	r.setMetrics(c.Metrics)
	r.mesh.Handle(heartbeatMethod, r.handleHeartbeat)
	r.mesh.Handle(fetchMethod, r.handleFetch)
	r.fleet.OnChange(r.viewChanged)
	return kernel.Provide[api.Lease](c, r)
}

func (r *Runner) setMetrics(set *metrics.Set) {
	r.heartbeats = set.NewCounter("nutmeg_lease_beats_total")
	r.heartbeatsUnanswered = set.NewCounter("nutmeg_lease_beats_unanswered_total")
	r.viewFetches = set.NewCounter("nutmeg_lease_view_fetches_total")
	r.leasesGained = set.NewCounter("nutmeg_lease_gained_total")
	r.leasesLost = set.NewCounter("nutmeg_lease_lost_total")
	set.NewGauge("nutmeg_lease_valid", func() float64 {
		if r.Valid() {
			return 1
		}
		return 0
	})
}

// Start implements kernel.Starter. It starts the duties for heartbeats, for fetching
// views and for confirming the revision with the control quorum.
func (r *Runner) Start(d *kernel.Duties) error {
	if control, err := kernel.Lookup[api.Control](r.context); err == nil {
		r.control = control
	}
	r.update(func(n *lease.Node, now time.Duration) { n.SetRevision(now, r.fleet.View().Revision) })
	d.Go("lease.beat", r.heartbeatLoop)
	d.Go("lease.fetch", r.fetchLoop)
	d.Go("lease.confirm", r.confirmLoop)
	return nil
}

// Drain implements kernel.Drainer. It hands over the owned pools, as Resign does.
func (r *Runner) Drain(ctx context.Context) error { return r.Resign(ctx) }

// Cleanup implements kernel.Cleaner. It waits for heartbeat calls, which end with the
// context of the duties.
func (r *Runner) Cleanup() error {
	r.heartbeatCalls.Wait()
	return nil
}

// Valid implements api.Lease. It reports whether the instance lease is valid. It
// uses no lock, because it is called before the first byte of every request.
func (r *Runner) Valid() bool { return r.clock.Now() < time.Duration(r.leaseEnd.Load()) }

// Owner implements api.Lease. It returns the last known owner of a pool and its
// epoch; false if none is known.
func (r *Runner) Owner(pool string) (string, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Owner(r.clock.Now(), pool)
}

// Owns implements api.Lease. It reports whether this instance owns the pool now, and
// with which epoch.
func (r *Runner) Owns(pool string) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Holds(r.clock.Now(), pool)
}

// MayHoldLease implements api.Lease. It is false only if enough witnesses report that
// they did not answer the peer to rule out a valid lease.
func (r *Runner) MayHoldLease(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.MayHoldLease(r.clock.Now(), peer)
}

// PeerRevision implements api.Lease. It returns the view revision in the peer's
// newest reply, or 0 if that reply is to a heartbeat older than 1.5 s.
func (r *Runner) PeerRevision(peer string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.PeerRevision(r.clock.Now(), peer)
}

// SeekOwnership implements api.Lease. It sets the pools whose ownership this instance
// seeks and releases all others.
func (r *Runner) SeekOwnership(pools []string) {
	r.update(func(n *lease.Node, now time.Duration) {
		n.SetPools(now, pools)
		r.watchPools(pools...)
	})
}

// OnChange implements api.Lease. The function is called without the lock after a
// change of the lease or of a pool's owner.
func (r *Runner) OnChange(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// Resign implements api.Lease. It gives up all pools and returns once every successor
// has taken over or the handover has timed out (500 ms), or with the context's error.
func (r *Runner) Resign(ctx context.Context) error {
	r.update(func(n *lease.Node, now time.Duration) { n.Resign(now) })
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		waiting := r.node.HandingOver()
		r.mu.Unlock()
		if !waiting {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// watchPools adds pools to those whose owner changes are reported. The lock must be
// held.
func (r *Runner) watchPools(pools ...string) {
	for _, p := range pools {
		if !slices.Contains(r.watchedPools, p) {
			r.watchedPools = append(r.watchedPools, p)
		}
	}
}
