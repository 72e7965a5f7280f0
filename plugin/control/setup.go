// Package control replicates the fleet's configuration and its claims of keyed
// requests with Raft, and provides them as api.Control on every instance with the profile
// "pools" and on control instances with "routes". Instances with a disk run a replica of
// the control log. Calls are forwarded to the leader.
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
		Name:    "control",
		Order:   kernel.OrderControl,
		New:     func() kernel.Plugin { return &Control{} },
		Enabled: kernel.OnPoolsOrRoutesControl,
	})
}

const (
	tickInterval = 50 * time.Millisecond
	// logFolderName is the folder of the control log within the data directory.
	logFolderName = "control"
)

// Control implements api.Control with a local replica, if any, and calls to the
// leader. It must be provisioned before use. Its methods are safe for concurrent use.
type Control struct {
	kernel    *kernel.Context
	mesh      api.Mesh
	lease     api.Lease    // nil with the profile "routes" (discovered instances)
	topology  api.Topology // nil with the profile "pools" (listed instances)
	fleet     api.Fleet
	metrics   counters
	wallClock func() time.Time

	diskInstances []string // instances with a disk in the settings, sorted
	replica       *replica // nil without a disk
	calls         *kernel.Ring[func(*replica)]
	inbox         *kernel.Ring[receivedMessage]
	leader        leaderHint
	ids           idSource

	mu        sync.Mutex
	listeners []func(api.ControlStatus)
}

// Provision implements kernel.Plugin. It looks up the services it needs, registers
// the RPC handlers and opens the log if the instance has a disk. It fails if the log
// or its snapshot is damaged other than by a torn tail.
func (c *Control) Provision(k *kernel.Context) error {
	c.kernel, c.wallClock = k, time.Now
	var err error
	if c.mesh, err = kernel.Lookup[api.Mesh](k); err != nil {
		return err
	}
	if err = c.lookUpMembership(k); err != nil {
		return err
	}
	if c.fleet, err = kernel.Lookup[api.Fleet](k); err != nil {
		return err
	}
	c.metrics = newCounters(k.Metrics)
	if err := c.ids.setRandomPrefix(); err != nil {
		return err
	}
	c.registerHandlers()
	if err := c.openReplica(); err != nil {
		return err
	}
	return kernel.Provide[api.Control](k, c)
}

// lookUpMembership looks up the source of the instances that may hold a replica: the
// topology if instances are discovered, otherwise the settings. For the latter it also
// looks up the lease service, which knows the view revisions of the instances.
func (c *Control) lookUpMembership(k *kernel.Context) (err error) {
	if k.Settings.IsRoutes() {
		c.topology, err = kernel.Lookup[api.Topology](k)
		return err
	}
	c.diskInstances = slices.Sorted(slices.Values(k.Settings.Replicas()))
	c.lease, err = kernel.Lookup[api.Lease](k)
	return err
}

// replicaInstances returns the instances that may hold a replica, possibly including
// this one.
func (c *Control) replicaInstances() []string {
	if c.topology != nil {
		return c.topology.ControlInstances()
	}
	return c.diskInstances
}

// Validate implements kernel.Validator. With listed instances it returns an error if
// dataDir and the disk mark of this instance disagree, or if no instance has a disk.
func (c *Control) Validate() error {
	if c.topology != nil {
		return nil // the settings package has checked this
	}
	self := c.kernel.Settings.Instance
	disk := slices.Contains(c.diskInstances, self)
	if disk != (c.replica != nil) {
		return errors.Errorf("instance %s: dataDir must be set exactly if peers marks it with disk", self)
	}
	if len(c.diskInstances) == 0 {
		return errors.New("peers: no instance has a disk for the control log")
	}
	return nil
}

// openReplica opens the log and loads the replica if the instance has a disk.
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
		logqueue.Notice(c.kernel.Log, "truncated torn tail of control log", "step", "open", "bytes", st.TornBytes)
	}
	c.calls = kernel.NewRing[func(*replica)](c.kernel.Metrics, "control_calls", callRingSize)
	c.inbox = kernel.NewRing[receivedMessage](c.kernel.Metrics, "control_raft", raftRingSize)
	c.replica, err = newReplica(c, log, st)
	if err != nil {
		_ = log.Close()
	}
	return err
}

func (c *Control) logFolder() string { return filepath.Join(c.kernel.Settings.DataDir, logFolderName) }

// Sizes of the rings, in records.
const (
	callRingSize = 4096
	raftRingSize = 1024
)

// Start implements kernel.Starter. On an instance with a disk it starts the duties
// that run the replica and join it to a group.
func (c *Control) Start(d *kernel.Duties) error {
	if c.replica == nil {
		return nil
	}
	d.Go("control replica", c.runReplica)
	d.Every("control join", c.joinInterval(), c.joinGroup)
	return nil
}

// runReplica is the only goroutine that accesses the replica, except for its status.
// After a failed write it returns an error if instances are listed, and reopens the log
// if they are discovered.
func (c *Control) runReplica(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	r := c.replica
	for {
		if err := r.processReady(); err != nil {
			if c.topology == nil {
				return err
			}
			if err := c.reopen(ctx, err); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			r.failPendingCalls()
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

// maxBatch bounds the ring records that are handled before the next write and sync.
const maxBatch = 512

// drainRings handles queued messages and calls, so that they share one sync.
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

// transferTimeout bounds the transfer of leadership in a planned stop.
const transferTimeout = 3 * time.Second

// Drain implements kernel.Drainer. It transfers leadership to another voter if this
// replica leads and a voter can take over, and waits at most transferTimeout for that.
// It returns an error if the time ends between two checks of the transfer, and nil if
// the replica does not respond to a check.
func (c *Control) Drain(ctx context.Context) error {
	if c.replica == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		res := c.runOnReplica(ctx, func(r *replica, done func(callResult)) { done(r.transferLeadership()) })
		if res.err != nil || !res.transferring {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.WithMessage(ctx.Err(), "transfer leadership of the control group")
		case <-t.C:
		}
	}
}

// Cleanup implements kernel.Cleaner. It closes the log and releases its lock.
func (c *Control) Cleanup() error {
	if c.replica == nil {
		return nil
	}
	return c.replica.log.Close()
}

// OnStatus implements api.Control. It registers a function that is called on the
// replica's goroutine after a change of role, leader or members; f must not block.
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

// Status implements api.Control. Without a replica it returns the role "none" and, as
// the leader, the instance that completed the last call.
func (c *Control) Status() api.ControlStatus {
	if c.replica == nil {
		return api.ControlStatus{Role: "none", Leader: c.leader.get()}
	}
	return *c.replica.status.Load()
}
