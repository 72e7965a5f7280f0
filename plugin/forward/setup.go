// Package forward sends a caller's request to a target that the placer chose, and
// repeats or resumes it where the route allows. It provides api.Forwarder.
package forward

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/overload"
	"nutmegrouter/internal/retrybudget"
	"nutmegrouter/internal/settings"
	"nutmegrouter/internal/targetconn"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:   "forward",
		Order:  kernel.OrderDispatch,
		New:    func() kernel.Plugin { return &Forwarder{} },
		Wanted: kernel.RoutedEntry,
	})
}

// Forwarder implements api.Forwarder. It must be provisioned before use.
type Forwarder struct {
	placer   api.Placer
	dialect  api.Dialect
	topology api.Topology
	clock    kernel.Clock
	log      *slog.Logger
	conns    *targetconn.Pool
	budget   *retrybudget.Budget
	outputs  *outputs
	answers  *overload.Bytes // memory of answers that are read whole and of events
	stats    *stats
}

// Bounds of connections to targets.
const (
	// dialLimit bounds a connect. Targets are a few milliseconds away; a dark one
	// does not answer at all.
	dialLimit = 400 * time.Millisecond
	// silentLimit is how long sent bytes may stay unacknowledged, and how long an
	// idle peer may not answer probes, before the connection counts as dead.
	silentLimit = 1200 * time.Millisecond
	probeAfter  = 400 * time.Millisecond
	probeEvery  = 400 * time.Millisecond
	probeCount  = 2
	// idleLimit is how long connections without a stated limit are kept.
	idleLimit = 4 * time.Second
	// answersShare is the part of the memory that answers take beside the buffers of their
	// requests, which the gateway counts.
	answersShare = 0.15
)

// Provision implements kernel.Plugin.
func (f *Forwarder) Provision(c *kernel.Context) (err error) {
	if f.placer, err = kernel.Lookup[api.Placer](c); err != nil {
		return err
	}
	if f.dialect, err = kernel.Lookup[api.Dialect](c); err != nil {
		return err
	}
	if f.topology, err = kernel.Lookup[api.Topology](c); err != nil {
		return err
	}
	f.clock, f.log = c.Clock, c.Log.With("plugin", "forward")
	f.stats, f.outputs = newStats(c.Metrics), newOutputs()
	f.answers = overload.NewBytes(int64(answersShare * c.Settings.Routes.MemoryMB * (1 << 20)))
	c.Metrics.NewGauge("nutmeg_forward_answer_bytes", func() float64 { return float64(f.answers.Held()) })
	f.budget = newBudget(c.Settings.Routes.Bounds)
	f.shareBudget()
	f.conns = targetconn.NewPool(targetconn.Options{
		DialTimeout: dialLimit, IdleLimit: idleLimit, Control: setUserTimeout,
		KeepAlive: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount},
	})
	return kernel.Provide[api.Forwarder](c, f)
}

// newBudget takes the part of the bounds that one instance may use by itself.
func newBudget(b settings.Bounds) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Config{
		Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: settings.Ms(b.RetryWindowMs),
	})
}

// budgetInterval is how often the number of entry instances is asked for. It changes
// far more slowly than the window of the budget ends.
const budgetInterval = time.Second

// shareBudget takes this instance's part of the slack that all entry instances share.
func (f *Forwarder) shareBudget() { f.budget.SetInstances(f.topology.Entries()) }

// setUserTimeout ends a connection whose peer has gone silent without a reset.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Start implements kernel.Starter.
func (f *Forwarder) Start(d *kernel.Duties) error {
	d.Every("forward budget", budgetInterval, func(context.Context) { f.shareBudget() })
	d.Every("forward idle connections", targetconn.SweepInterval, func(context.Context) { f.conns.Sweep() })
	return nil
}

// Cleanup implements kernel.Cleaner.
func (f *Forwarder) Cleanup() error {
	f.conns.Close()
	return nil
}
