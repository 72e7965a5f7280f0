// Package lease runs internal/lease over the mesh: beats every 500 ms, the
// witness, the instance lease, the ownership of pools, and the catch-up of the
// view. It provides api.Lease.
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

// Keeper implements api.Lease. The zero value must be provisioned before use.
type Keeper struct {
	mesh    api.Mesh
	links   api.Links
	fleet   api.Fleet
	control api.Control // nil if no plug-in provides it
	context *kernel.Context
	clock   kernel.Clock
	started time.Duration
	events  *kernel.Events
	log     *slog.Logger

	mu        sync.Mutex
	node      *lease.Node
	pools     []string // all pools seen, for change detection
	known     map[string]ownership
	valid     bool
	witness   bool
	listeners []func()

	until atomic.Int64 // end of the instance lease, for Valid without a lock

	calls sync.WaitGroup // beats under way
	kick  chan struct{}  // a beat must be sent at once
	fetch chan struct{}  // a peer has a newer view

	beats, failed, fetches, gains, losses *metrics.Counter
}

// ownership is an owner as last told to the listeners.
type ownership struct {
	instance string
	epoch    uint64
	ok       bool
}

// Provision implements kernel.Plugin.
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
	k.kick, k.fetch = make(chan struct{}, 1), make(chan struct{}, 1)
	k.known, k.started = map[string]ownership{}, c.Clock.Now()
	k.node = lease.New(lease.Config{
		Self:      k.mesh.Self(),
		Instances: append(k.mesh.Peers(), k.mesh.Self()),
		Boot:      1 + uint64(rand.Uint32()), // not 0; short, because every beat carries it
		Start:     k.started,
	})
	k.setMetrics(c.Metrics)
	k.mesh.Handle(beatMethod, k.handleBeat)
	k.mesh.Handle(fetchMethod, k.handleFetch)
	k.fleet.OnChange(k.viewChanged)
	return kernel.Provide[api.Lease](c, k)
}

func (k *Keeper) setMetrics(set *metrics.Set) {
	k.beats = set.NewCounter("nutmeg_lease_beats_total")
	k.failed = set.NewCounter("nutmeg_lease_beats_unanswered_total")
	k.fetches = set.NewCounter("nutmeg_lease_view_fetches_total")
	k.gains = set.NewCounter("nutmeg_lease_gained_total")
	k.losses = set.NewCounter("nutmeg_lease_lost_total")
	set.NewGauge("nutmeg_lease_valid", func() float64 {
		if k.Valid() {
			return 1
		}
		return 0
	})
}

// Start implements kernel.Starter.
func (k *Keeper) Start(d *kernel.Duties) error {
	if control, err := kernel.Lookup[api.Control](k.context); err == nil {
		k.control = control
	}
	k.update(func(n *lease.Node, now time.Duration) { n.SetRevision(now, k.fleet.View().Revision) })
	d.Go("lease.beat", k.beatLoop)
	d.Go("lease.fetch", k.fetchLoop)
	d.Go("lease.confirm", k.confirmLoop)
	return nil
}

// Drain implements kernel.Drainer.
func (k *Keeper) Drain(ctx context.Context) error { return k.Resign(ctx) }

// Cleanup implements kernel.Cleaner. Calls end with the context of the duties.
func (k *Keeper) Cleanup() error {
	k.calls.Wait()
	return nil
}

// Valid implements api.Lease. It takes no lock, because it is checked before
// the first byte of every request.
func (k *Keeper) Valid() bool { return k.clock.Now() < time.Duration(k.until.Load()) }

// Owner implements api.Lease.
func (k *Keeper) Owner(pool string) (string, uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.Owner(k.clock.Now(), pool)
}

// Holds implements api.Lease.
func (k *Keeper) Holds(pool string) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.Holds(k.clock.Now(), pool)
}

// MayHoldLease implements api.Lease.
func (k *Keeper) MayHoldLease(peer string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.MayHoldLease(k.clock.Now(), peer)
}

// Revision implements api.Lease. A report older than 1.5 s counts as 0.
func (k *Keeper) Revision(peer string) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.Revision(k.clock.Now(), peer)
}

// SetPools implements api.Lease.
func (k *Keeper) SetPools(pools []string) {
	k.update(func(n *lease.Node, now time.Duration) {
		n.SetPools(now, pools)
		k.watch(pools...)
	})
}

// OnChange implements api.Lease.
func (k *Keeper) OnChange(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listeners = append(k.listeners, f)
}

// Resign implements api.Lease. It returns when every successor has taken over,
// or after the bounded time of a handover.
func (k *Keeper) Resign(ctx context.Context) error {
	k.update(func(n *lease.Node, now time.Duration) { n.Resign(now) })
	t := time.NewTicker(handoverPoll)
	defer t.Stop()
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
		case <-t.C:
		}
	}
}

// watch adds pools to those whose owner is observed. The lock must be held.
func (k *Keeper) watch(pools ...string) {
	for _, p := range pools {
		if !slices.Contains(k.pools, p) {
			k.pools = append(k.pools, p)
		}
	}
}
