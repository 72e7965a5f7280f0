// Package dispatch proxies a caller's request to a target and returns the target's
// response. For each request it waits for a grant of the scheduler, claims the
// idempotency key, sends the request, retries it on failures, resumes interrupted
// streams and cancels work of disconnected callers. It provides api.Dispatcher.
package dispatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/overload"
	"nutmegrouter/internal/sse"
	"nutmegrouter/internal/targetconn"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "dispatch",
		Order: kernel.OrderDispatch,
		New:   func() kernel.Plugin { return &Dispatcher{} },
	})
}

// maxEventMemory bounds the memory for reading events, summed over all streams and
// without the initial buffer of each: sixteen events of the largest size.
const maxEventMemory = 16 * sse.MaxEventBytes // bytes

// Dispatcher implements api.Dispatcher and the kernel's plug-in interfaces. Provision
// must be called before use.
type Dispatcher struct {
	pool    api.PoolQueue
	lease   api.Lease
	control api.Control
	fleet   api.Fleet

	log    *slog.Logger
	clock  kernel.Clock
	events *kernel.Events
	stats  *stats
	conns  *targetconn.Pool
	health *healthTracker
	index  atomic.Pointer[index]
	// eventMemory bounds the memory of the events that are being read.
	eventMemory *overload.MemoryLimit

	idPrefix   string        // makes request ids unique across restarts
	lastSerial atomic.Uint64 // number of ids assigned since the start

	background sync.WaitGroup // cancels, settles and reads that continue after the caller's request
}

// Provision implements kernel.Plugin. It looks up the services that dispatch depends
// on and provides api.Dispatcher. It fails if one of them is missing.
func (d *Dispatcher) Provision(c *kernel.Context) error {
	var err error
	if d.pool, err = kernel.Lookup[api.PoolQueue](c); err != nil {
		return err
	}
	if d.lease, err = kernel.Lookup[api.Lease](c); err != nil {
		return err
	}
	if d.control, err = kernel.Lookup[api.Control](c); err != nil {
		return err
	}
	if d.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	d.log, d.clock, d.events = c.Log, c.Clock, c.Events
	d.stats = newStats(c.Metrics)
	d.eventMemory = overload.NewMemoryLimit(maxEventMemory)
	d.conns, d.health = targetconn.NewPool(targetconn.Options{}), newHealthTracker()
	d.fleet.OnChange(d.health.removeMissing)
	var boot [6]byte
	if _, err := rand.Read(boot[:]); err != nil {
		return err
	}
	d.idPrefix = c.Settings.Instance + "-" + hex.EncodeToString(boot[:])
	return kernel.Provide[api.Dispatcher](c, d)
}

// Start implements kernel.Starter. It starts the duty that closes idle connections.
func (d *Dispatcher) Start(duties *kernel.Duties) error {
	duties.Every("dispatch idle connections", targetconn.SweepInterval, func(context.Context) { d.conns.Sweep() })
	return nil
}

// Drain implements kernel.Drainer. It waits until cancels, settles and reads in the
// background have finished, or returns the error of ctx if that ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Cleanup implements kernel.Cleaner. It closes the idle connections.
func (d *Dispatcher) Cleanup() error {
	d.conns.Close()
	return nil
}

// nextID returns a request id that is unique in the fleet. The X-Request-Id of a
// caller cannot serve for that, because callers choose it.
func (d *Dispatcher) nextID() string {
	return fmt.Sprintf("%s-%d", d.idPrefix, d.lastSerial.Add(1))
}

// recordEvent adds an event of a call to the timeline.
func (d *Dispatcher) recordEvent(kind, step string, c *call, target, detail string) {
	d.events.Record(kernel.Event{
		Kind: kind, Step: step, Pool: c.req.Pool, Workspace: c.req.Workspace,
		Target: target, RequestID: c.id, Detail: detail,
	})
}
