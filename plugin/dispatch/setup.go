// Package dispatch runs a caller's request on a target: queue, grant, claim,
// send, retry, resume. It provides api.Dispatcher.
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

// answersMost bounds the memory of all events that are read, beyond the first buffer of
// each stream: sixteen of the largest.
const answersMost = 16 * sse.MaxEvent // bytes

// Dispatcher implements api.Dispatcher. The zero value must be provisioned.
type Dispatcher struct {
	pool    api.Pool
	lease   api.Lease
	control api.Control
	fleet   api.Fleet

	log    *slog.Logger
	clock  kernel.Clock
	events *kernel.Events
	stats  *stats
	conns  *targetconn.Pool
	health *health
	index  atomic.Pointer[index]
	// answers bounds the memory of the events under way.
	answers *overload.Bytes

	prefix string        // makes request ids unique across restarts
	serial atomic.Uint64 // counts requests since the start

	background sync.WaitGroup // cancels and claims that outlive their caller
}

// Provision implements kernel.Plugin.
func (d *Dispatcher) Provision(c *kernel.Context) error {
	var err error
	if d.pool, err = kernel.Lookup[api.Pool](c); err != nil {
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
	d.answers = overload.NewBytes(answersMost)
	d.conns, d.health = targetconn.NewPool(targetconn.Options{}), newHealth()
	d.fleet.OnChange(d.health.keep)
	var boot [6]byte
	if _, err := rand.Read(boot[:]); err != nil {
		return err
	}
	d.prefix = c.Settings.Instance + "-" + hex.EncodeToString(boot[:])
	return kernel.Provide[api.Dispatcher](c, d)
}

// Start implements kernel.Starter.
func (d *Dispatcher) Start(duties *kernel.Duties) error {
	duties.Every("dispatch idle connections", targetconn.SweepInterval, func(context.Context) { d.conns.Sweep() })
	return nil
}

// Drain implements kernel.Drainer. It waits for cancels and claim outcomes that
// are still on their way.
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

// Cleanup implements kernel.Cleaner.
func (d *Dispatcher) Cleanup() error {
	d.conns.Close()
	return nil
}

// nextID returns a request id that is unique in the fleet. The caller's own
// X-Request-Id is not, because callers choose it.
func (d *Dispatcher) nextID() string {
	return fmt.Sprintf("%s-%d", d.prefix, d.serial.Add(1))
}

func (d *Dispatcher) record(kind, step string, c *call, target, detail string) {
	d.events.Record(kernel.Event{
		Kind: kind, Step: step, Pool: c.req.Pool, Workspace: c.req.Workspace,
		Target: target, Request: c.id, Detail: detail,
	})
}
