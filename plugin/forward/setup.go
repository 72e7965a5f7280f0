// Package forward is a reverse proxy plug-in: it sends a caller's request to the target
// that the placer chose, and retries it or resumes its stream where the route allows. It
// provides api.Forwarder.
package forward

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
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
		Name:    "forward",
		Order:   kernel.OrderDispatch,
		New:     func() kernel.Plugin { return &Forwarder{} },
		Enabled: kernel.OnRoutesEntry,
	})
}

// Forwarder implements api.Forwarder. It must be provisioned before use.
type Forwarder struct {
	placer         api.Placer
	dialect        api.Dialect
	topology       api.Topology
	clock          kernel.Clock
	log            *slog.Logger
	conns          *targetconn.Pool
	retryBudget    *retrybudget.Budget
	outputLengths  *outputEstimator
	responseMemory *overload.MemoryLimit // memory of buffered responses and of events
	stats          *stats

	crashChecks singleflight.Group // by address of the target
	checks      sync.WaitGroup     // running crash checks
}

// Settings of connections to targets and of response memory.
const (
	// dialTimeout is far above the connect time of a reachable target, which is a few
	// milliseconds away. An unreachable one does not respond at all.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection. The keep-alive probes find a dead peer of an idle
	// connection within the same time.
	tcpUserTimeout    = 1200 * time.Millisecond
	keepAliveIdle     = 400 * time.Millisecond
	keepAliveInterval = 400 * time.Millisecond
	keepAliveProbes   = 2
	// defaultIdleLimit is how long an idle connection is pooled if the target states no
	// limit.
	defaultIdleLimit = 4 * time.Second
	// responseMemoryShare is the share of the configured memory for responses. The buffers
	// of requests are separate: the gateway counts them.
	responseMemoryShare = 0.15
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
	f.stats, f.outputLengths = newStats(c.Metrics), newOutputEstimator()
	f.responseMemory = overload.NewMemoryLimit(int64(responseMemoryShare * c.Settings.Routes.MemoryMB * (1 << 20)))
	c.Metrics.NewGauge("nutmeg_forward_answer_bytes", func() float64 { return float64(f.responseMemory.Reserved()) })
	f.retryBudget = newRetryBudget(c.Settings.Routes.Bounds)
	f.updateRetryBudget()
	f.conns = targetconn.NewPool(targetconn.Options{
		DialTimeout: dialTimeout, IdleLimit: defaultIdleLimit, Control: setTCPUserTimeout,
		KeepAlive: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	})
	return kernel.Provide[api.Forwarder](c, f)
}

// newRetryBudget returns a retry budget with the configured bounds.
func newRetryBudget(b settings.Bounds) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Config{
		Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: settings.Ms(b.RetryWindowMs),
	})
}

// retryBudgetInterval is how often the number of entry instances is read. The number
// changes far more slowly than the window of the budget ends.
const retryBudgetInterval = time.Second

// updateRetryBudget adjusts this instance's part of the slack to the number of entry
// instances, which share it.
func (f *Forwarder) updateRetryBudget() { f.retryBudget.SetInstances(f.topology.EntryCount()) }

// setTCPUserTimeout makes the kernel close a connection whose peer stops acknowledging
// without a reset. It is a net.Dialer.Control function.
func setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Start implements kernel.Starter.
func (f *Forwarder) Start(d *kernel.Duties) error {
	d.Every("forward budget", retryBudgetInterval, func(context.Context) { f.updateRetryBudget() })
	d.Every("forward idle connections", targetconn.SweepInterval, func(context.Context) { f.conns.Sweep() })
	return nil
}

// Cleanup implements kernel.Cleaner. It waits for running crash checks, each of which ends within
// dialTimeout, and closes the idle connections to targets.
func (f *Forwarder) Cleanup() error {
	f.checks.Wait()
	f.conns.Close()
	return nil
}
