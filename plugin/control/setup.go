// Package control provides api.Control on every instance. On instances with a
// disk it runs a replica of the control log; elsewhere it forwards to the leader.
package control

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/wal"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:   "control",
		Order:  kernel.OrderControl,
		New:    func() kernel.Plugin { return &Control{} },
		Wanted: kernel.RoutedControlOrPools,
	})
}

const (
	tickInterval = 50 * time.Millisecond
	// folder is the name of the log's folder within the data directory.
	folder = "control"
)

// Control implements api.Control. It must be provisioned before use.
type Control struct {
	kernel  *kernel.Context
	mesh    api.Mesh
	lease   api.Lease    // nil with the profile "routes"
	members api.Topology // nil with the profile "pools"
	fleet   api.Fleet
	metrics counters
	wall    func() time.Time

	replicas []string // instances with a disk in the settings, sorted
	replica  *replica // nil without a disk
	calls    *kernel.Ring[func(*replica)]
	inbox    *kernel.Ring[received]
	leader   leaderHint
	ids      idSource

	mu        sync.Mutex
	listeners []func(api.ControlStatus)
}

// Provision implements kernel.Plugin.
func (c *Control) Provision(k *kernel.Context) error {
	c.kernel, c.wall = k, time.Now
	var err error
	if c.mesh, err = kernel.Lookup[api.Mesh](k); err != nil {
		return err
	}
	if err = c.lookUpProfile(k); err != nil {
		return err
	}
	if c.fleet, err = kernel.Lookup[api.Fleet](k); err != nil {
		return err
	}
	c.metrics = newCounters(k.Metrics)
	if err := c.ids.seed(); err != nil {
		return err
	}
	c.registerHandlers()
	if err := c.openReplica(); err != nil {
		return err
	}
	return kernel.Provide[api.Control](k, c)
}

// lookUpProfile looks up what tells the other replicas and their views.
func (c *Control) lookUpProfile(k *kernel.Context) (err error) {
	if k.Settings.Routed() {
		c.members, err = kernel.Lookup[api.Topology](k)
		return err
	}
	c.replicas = slices.Sorted(slices.Values(k.Settings.Replicas()))
	c.lease, err = kernel.Lookup[api.Lease](k)
	return err
}

// others returns the instances that may hold a replica, this one included.
func (c *Control) others() []string {
	if c.members != nil {
		return c.members.Controls()
	}
	return c.replicas
}

// Validate implements kernel.Validator.
func (c *Control) Validate() error {
	if c.members != nil {
		return nil // checked with the settings
	}
	self := c.kernel.Settings.Instance
	disk := slices.Contains(c.replicas, self)
	if disk != (c.replica != nil) {
		return errors.Errorf("instance %s: dataDir must be set exactly if peers marks it with disk", self)
	}
	if len(c.replicas) == 0 {
		return errors.New("peers: no instance has a disk for the control log")
	}
	return nil
}

// openReplica opens the data folder if the instance has a disk.
func (c *Control) openReplica() error {
	dir := c.kernel.Settings.DataDir
	if dir == "" {
		return nil
	}
	log, st, err := wal.Open(c.logFolder())
	if err != nil {
		return err
	}
	if st.TornBytes > 0 {
		c.kernel.Events.Record(kernel.Event{Kind: "control", Step: "torn-tail"})
		logqueue.Notice(c.kernel.Log, "cut off the torn tail of the log", "step", "open", "bytes", st.TornBytes)
	}
	c.calls = kernel.NewRing[func(*replica)](c.kernel.Metrics, "control_calls", callRing)
	c.inbox = kernel.NewRing[received](c.kernel.Metrics, "control_raft", raftRing)
	c.replica, err = newReplica(c, log, st)
	if err != nil {
		_ = log.Close()
	}
	return err
}

func (c *Control) logFolder() string { return filepath.Join(c.kernel.Settings.DataDir, folder) }

// Sizes of the rings, in records.
const (
	callRing = 4096
	raftRing = 1024
)

// Start implements kernel.Starter.
func (c *Control) Start(d *kernel.Duties) error {
	if c.replica == nil {
		return nil
	}
	d.Go("control replica", c.runReplica)
	d.Every("control join", c.joinInterval(), c.joinGroup)
	return nil
}

// runReplica is the only goroutine that touches the replica.
func (c *Control) runReplica(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	r := c.replica
	for {
		if err := r.flush(); err != nil {
			if c.members == nil {
				return err
			}
			if err := c.reopen(ctx, err); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			r.failAll()
			return ctx.Err()
		case <-t.C:
			r.tick()
		case m := <-c.inbox.C():
			r.step(m)
		case f := <-c.calls.C():
			f(r)
		}
		c.drainRings(r)
	}
}

// maxBatch bounds the records that share one write and one sync.
const maxBatch = 512

// drainRings handles what has queued up, so that it shares one sync.
func (c *Control) drainRings(r *replica) {
	for range maxBatch {
		select {
		case m := <-c.inbox.C():
			r.step(m)
		case f := <-c.calls.C():
			f(r)
		default:
			return
		}
	}
}

// transferLimit bounds the handover of leadership in a planned stop.
const transferLimit = 3 * time.Second

// Drain implements kernel.Drainer. It hands leadership over.
func (c *Control) Drain(ctx context.Context) error {
	if c.replica == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferLimit)
	defer cancel()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		a := c.inLoop(ctx, func(r *replica, done func(answer)) { done(r.handOver()) })
		if a.err != nil || !a.leads {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.WithMessage(ctx.Err(), "hand over control leadership")
		case <-t.C:
		}
	}
}

// Cleanup implements kernel.Cleaner.
func (c *Control) Cleanup() error {
	if c.replica == nil {
		return nil
	}
	return c.replica.log.Close()
}

// OnStatus implements api.Control.
func (c *Control) OnStatus(f func(api.ControlStatus)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, f)
}

func (c *Control) statusChanged() {
	c.mu.Lock()
	listeners := slices.Clone(c.listeners)
	c.mu.Unlock()
	for _, f := range listeners {
		f(c.Status())
	}
}

// Status implements api.Control.
func (c *Control) Status() api.ControlStatus {
	if c.replica == nil {
		return api.ControlStatus{Role: "none", Leader: c.leader.get()}
	}
	return *c.replica.status.Load()
}
