// Package pool queues the requests of this instance until the scheduler of their pool
// grants them. It provides api.PoolQueue.
package pool

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/schedule"
)

const (
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
	// minFlushInterval is the shortest time between two batches of messages. The first
	// message after an idle period of this length is sent at once.
	minFlushInterval = time.Millisecond
	// leaseGracePeriod is how long requests stay queued without a valid lease.
	leaseGracePeriod = 500 * time.Millisecond
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "pool",
		Order: kernel.OrderPool,
		New:   func() kernel.Plugin { return &Client{} },
	})
}

// Client is the plug-in that implements api.PoolQueue. Its lock guards the queues of all
// pools; no blocking call is made under it. It must be provisioned before use.
type Client struct {
	kernel          *kernel.Context
	mesh            api.Mesh
	lease           api.Lease
	fleet           api.Fleet
	localOwner      schedule.Local
	countBadMessage func()
	flushSignal     chan struct{} // messages may be due
	tickSignal      chan struct{} // a tick is due at once

	mu                sync.Mutex
	entryQueues       map[string]*schedule.EntryQueues
	byIncarnation     map[uint64]*schedule.EntryQueues
	view              view
	queued            int
	draining          bool
	leaseInvalidSince time.Duration // start of the time without a valid lease; 0 = the lease is valid
	flushedAt         time.Duration
	metrics           map[string]*poolMetrics
}

// Provision implements kernel.Plugin. It provides api.PoolQueue, and fails if the mesh, the
// lease, the fleet or the local scheduler is missing.
func (c *Client) Provision(k *kernel.Context) (err error) {
	if c.mesh, err = kernel.Lookup[api.Mesh](k); err != nil {
		return err
	}
	if c.lease, err = kernel.Lookup[api.Lease](k); err != nil {
		return err
	}
	if c.fleet, err = kernel.Lookup[api.Fleet](k); err != nil {
		return err
	}
	if c.localOwner, err = kernel.Lookup[schedule.Local](k); err != nil {
		return err
	}
	c.kernel = k
	c.flushSignal, c.tickSignal = make(chan struct{}, 1), make(chan struct{}, 1)
	c.entryQueues, c.metrics = map[string]*schedule.EntryQueues{}, map[string]*poolMetrics{}
	c.byIncarnation = map[uint64]*schedule.EntryQueues{}
	badMessages := k.Metrics.GetOrCreateCounter(`nutmeg_sched_bad_messages_total{at="router"}`)
	c.countBadMessage = badMessages.Inc
	k.Metrics.NewGauge("nutmeg_pool_waiting", func() float64 { return float64(c.waiting()) })
	c.mesh.Handle(schedule.MethodGrant, c.onGrant)
	c.mesh.Handle(schedule.MethodServiceTable, c.onService)
	c.lease.OnChange(func() { c.signalFlush(); kernel.Signal(c.tickSignal) })
	c.localOwner.Attach(c)
	return kernel.Provide[api.PoolQueue](k, c)
}

// Start implements kernel.Starter. It starts the duties that send messages and call tick.
func (c *Client) Start(d *kernel.Duties) error {
	d.Go("pool messages", c.runSender)
	d.Go("pool clock", c.runTicker)
	return nil
}

// runTicker calls tick every tickInterval while requests wait or run, else every
// idleTickInterval: frequent wakeups made up most of the processor time of an idle instance.
func (c *Client) runTicker(ctx context.Context) error {
	t := time.NewTimer(idleTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.tickSignal:
		case <-t.C:
		}
		c.tick()
		if waiting, running := c.requestCounts(); waiting+running > 0 {
			t.Reset(tickInterval)
		} else {
			t.Reset(idleTickInterval)
		}
	}
}

// Drain implements api.PoolQueue and kernel.Drainer: it refuses new requests and blocks
// until no request waits or runs. The error is that of the context.
func (c *Client) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		if waiting, running := c.requestCounts(); waiting+running == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.WithMessage(ctx.Err(), "drain pool")
		case <-t.C:
		}
	}
}

// requestCounts returns the numbers of waiting and running requests of all pools.
func (c *Client) requestCounts() (waiting, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entryQueues {
		waiting += e.Queued()
		running += e.Running()
	}
	return waiting, running
}

func (c *Client) waiting() int {
	waiting, _ := c.requestCounts()
	return waiting
}

func (c *Client) onGrant(_ context.Context, from string, params json.RawMessage) (any, error) {
	m := &schedule.GrantMsg{}
	if err := m.UnmarshalJSON(params); err != nil {
		c.countBadMessage()
		return nil, errors.WithMessagef(err, "grant from %s", from)
	}
	c.Grant(from, m)
	return nil, nil
}

func (c *Client) onService(_ context.Context, from string, params json.RawMessage) (any, error) {
	m := &schedule.ServiceTableMsg{}
	if err := m.UnmarshalJSON(params); err != nil {
		c.countBadMessage()
		return nil, errors.WithMessagef(err, "service table from %s", from)
	}
	c.Service(from, m)
	return nil, nil
}

// signalFlush makes runSender send the messages that are due. It never blocks.
func (c *Client) signalFlush() { kernel.Signal(c.flushSignal) }
