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
		New:   func() kernel.Plugin { return &Keeper{} },
	})
}

// Keeper implements api.Lease. Call Provision on the zero value before use.
type Keeper struct {
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
func (k *Keeper) Provision(c *kernel.Context) (err error) {
	if k.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if k.links, err = kernel.Lookup[api.Links](c); err != nil {
		return err
	}
	if k.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	k.context, k.clock, k.events, k.log = c, c.Clock, c.Events, c.Log.With("plugin", "lease")
	k.sendNow, k.fetchNow = make(chan struct{}, 1), make(chan struct{}, 1)
	k.reportedOwners, k.startedAt = map[string]ownership{}, c.Clock.Now()
	k.node = lease.New(lease.Config{
		Self:      k.mesh.Self(),
		Instances: append(k.mesh.Peers(), k.mesh.Self()),
		Boot:      1 + uint64(rand.Uint32()), // not 0; 32 bits, because every heartbeat carries it
		Start:     k.startedAt,
	})
	k.setMetrics(c.Metrics)
	k.mesh.Handle(heartbeatMethod, k.handleHeartbeat)
	k.mesh.Handle(fetchMethod, k.handleFetch)
	k.fleet.OnChange(k.viewChanged)
	return kernel.Provide[api.Lease](c, k)
}

func (k *Keeper) setMetrics(set *metrics.Set) {
	k.heartbeats = set.NewCounter("nutmeg_lease_beats_total")
	k.heartbeatsUnanswered = set.NewCounter("nutmeg_lease_beats_unanswered_total")
	k.viewFetches = set.NewCounter("nutmeg_lease_view_fetches_total")
	k.leasesGained = set.NewCounter("nutmeg_lease_gained_total")
	k.leasesLost = set.NewCounter("nutmeg_lease_lost_total")
	set.NewGauge("nutmeg_lease_valid", func() float64 {
		if k.Valid() {
			return 1
		}
		return 0
	})
}

// Start implements kernel.Starter. It starts the duties for heartbeats, for fetching
// views and for confirming the revision with the control quorum.
func (k *Keeper) Start(d *kernel.Duties) error {
	if control, err := kernel.Lookup[api.Control](k.context); err == nil {
		k.control = control
	}
	k.update(func(n *lease.Node, now time.Duration) { n.SetRevision(now, k.fleet.View().Revision) })
	d.Go("lease.beat", k.heartbeatLoop)
	d.Go("lease.fetch", k.fetchLoop)
	d.Go("lease.confirm", k.confirmLoop)
	return nil
}

// Drain implements kernel.Drainer. It hands over the owned pools, as Resign does.
func (k *Keeper) Drain(ctx context.Context) error { return k.Resign(ctx) }

// Cleanup implements kernel.Cleaner. It waits for heartbeat calls, which end with the
// context of the duties.
func (k *Keeper) Cleanup() error {
	k.heartbeatCalls.Wait()
	return nil
}

// Valid implements api.Lease. It reports whether the instance lease is valid. It
// uses no lock, because it is called before the first byte of every request.
func (k *Keeper) Valid() bool { return k.clock.Now() < time.Duration(k.leaseEnd.Load()) }

// Owner implements api.Lease. It returns the last known owner of a pool and its
// epoch; false if none is known.
func (k *Keeper) Owner(pool string) (string, uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.Owner(k.clock.Now(), pool)
}

// Owns implements api.Lease. It reports whether this instance owns the pool now, and
// with which epoch.
func (k *Keeper) Owns(pool string) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.Holds(k.clock.Now(), pool)
}

// MayHoldLease implements api.Lease. It is false only if enough witnesses report that
// they did not answer the peer to rule out a valid lease.
func (k *Keeper) MayHoldLease(peer string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.MayHoldLease(k.clock.Now(), peer)
}

// PeerRevision implements api.Lease. It returns the view revision in the peer's
// newest reply, or 0 if that reply is to a heartbeat older than 1.5 s.
func (k *Keeper) PeerRevision(peer string) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.PeerRevision(k.clock.Now(), peer)
}

// SeekOwnership implements api.Lease. It sets the pools whose ownership this instance
// seeks and releases all others.
func (k *Keeper) SeekOwnership(pools []string) {
	k.update(func(n *lease.Node, now time.Duration) {
		n.SetPools(now, pools)
		k.watchPools(pools...)
	})
}

// OnChange implements api.Lease. The function is called without the lock after a
// change of the lease or of a pool's owner.
func (k *Keeper) OnChange(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listeners = append(k.listeners, f)
}

// Resign implements api.Lease. It gives up all pools and returns once every successor
// has taken over or the handover has timed out (500 ms), or with the context's error.
func (k *Keeper) Resign(ctx context.Context) error {
	k.update(func(n *lease.Node, now time.Duration) { n.Resign(now) })
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for {
		k.mu.Lock()
		waiting := k.node.HandingOver()
		k.mu.Unlock()
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
func (k *Keeper) watchPools(pools ...string) {
	for _, p := range pools {
		if !slices.Contains(k.watchedPools, p) {
			k.watchedPools = append(k.watchedPools, p)
		}
	}
}
