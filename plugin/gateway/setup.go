// Package gateway is the HTTP server for callers of a fleet with the profile
// "routes": it finds the route and the workspace of a request, has it forwarded,
// and passes the answer on as it arrives. It also answers the balancer's question
// for readiness.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/callerconn"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/overload"
	"nutmegrouter/internal/routing"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:   "gateway",
		Order:  kernel.OrderEntry,
		New:    func() kernel.Plugin { return &Gateway{} },
		Wanted: kernel.RoutedEntry,
	})
}

// Bounds that hold before the first configuration and where it sets none.
const (
	defaultIdle  = 15 * time.Second
	defaultHead  = 3 * time.Second
	defaultHeads = 16 << 10 // bytes
	defaultBody  = 4 << 20  // bytes
	// bodyTime is how long the body may take after the head's time is over.
	bodyTime = 20 * time.Second
	// headBuffer bounds the head of a request in bytes, above the configured
	// bound, so that an overlong one is answered and not cut.
	headBuffer  = 20 << 10
	writeBuffer = 4 << 10
	// bodyBuffer bounds a body above the configured bound, for the same reason.
	bodyBuffer = 32 << 20 // bytes
	// callersShare is the part of the sockets that connections of callers may take;
	// the rest is for targets and other instances.
	callersShare = 0.7
	// requestsShare is the part of the memory that requests under way may take;
	// beyond it requests are refused.
	requestsShare = 0.45
	// requestBytes is what a request under way takes beside its body: buffers, heads
	// and stacks of its goroutines. Measured: 46 KB with 600 requests under way.
	requestBytes = 48 << 10
	// idleShare is the part of the memory that connections without a request under
	// way may take, and idleBytes what each takes while a head is read.
	idleShare = 0.3
	idleBytes = headBuffer + 4<<10
)

// Gateway is the plug-in. It must be provisioned before use.
type Gateway struct {
	kernel    *kernel.Context
	forwarder api.Forwarder
	fleet     api.Fleet
	directory api.Directory
	dialect   api.Dialect
	clock     kernel.Clock
	log       *slog.Logger
	stats     *stats

	table    atomic.Pointer[routing.Table]
	patience patience
	memory   *overload.Bytes
	load     *loadGate
	http     *fasthttp.Server
	listener *callerconn.Listener
	conns    *callerconn.Tracker
	draining atomic.Bool // a planned stop has begun
	stopping atomic.Bool // no further request is taken
}

// Provision implements kernel.Plugin.
func (g *Gateway) Provision(c *kernel.Context) (err error) {
	if g.forwarder, err = kernel.Lookup[api.Forwarder](c); err != nil {
		return err
	}
	if g.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	if g.directory, err = kernel.Lookup[api.Directory](c); err != nil {
		return err
	}
	if g.dialect, err = kernel.Lookup[api.Dialect](c); err != nil {
		return err
	}
	g.kernel, g.clock, g.log = c, c.Clock, c.Log.With("plugin", "gateway")
	g.stats = newStats(c.Metrics)
	memory := c.Settings.Routes.MemoryMB * (1 << 20)
	g.memory = overload.NewBytes(int64(requestsShare * memory))
	g.load = newLoadGate()
	g.conns = callerconn.NewTracker(g.stats.sent, &callerconn.Limits{Idle: g.idleLimit, Head: g.headLimit, Whole: g.wholeLimit})
	g.conns.SetMost(int(min(callersShare*float64(c.Settings.Routes.MaxSockets()), idleShare*memory/idleBytes)))
	g.stats.gauges(c.Metrics, g.conns, g.memory, g.load)
	g.fleet.OnChange(g.viewChanged)
	g.http = &fasthttp.Server{
		Handler: g.handle, ErrorHandler: g.handleMalformed, HeaderReceived: g.headReceived,
		ReadBufferSize: headBuffer, WriteBufferSize: writeBuffer, MaxRequestBodySize: bodyBuffer,
		ReduceMemoryUsage: true, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, DisableHeaderNamesNormalizing: false,
		SecureErrorLogMessage: true, Logger: logqueue.Discard{}, CloseOnShutdown: true,
	}
	return nil
}

// viewChanged puts the routes of a newer document in force. A document that this
// version of the program cannot read leaves the one before in force.
func (g *Gateway) viewChanged(v *api.View) {
	old := g.table.Load()
	if v.Version == 0 || (old != nil && old.Version == v.Version) {
		return
	}
	t, err := v.Table(g.dialect)
	if err != nil {
		g.log.Error("configuration not readable", "step", "view", "version", v.Version, "error", err)
		return
	}
	g.table.Store(t)
	logqueue.Notice(g.log, "configuration in force", "step", "view", "version", v.Version, "revision", v.Revision,
		"routes", len(t.Routes), "services", len(t.Services), "workspaces", len(t.Workspaces))
}

func (g *Gateway) limits() routing.CallerLimits {
	if t := g.table.Load(); t != nil {
		return t.Callers
	}
	return routing.CallerLimits{}
}

// idleLimit is a little above the configured time, because callers use it up to
// its end.
func (g *Gateway) idleLimit() time.Duration {
	const margin = time.Second
	return orDefault(g.limits().IdleTimeout, defaultIdle) + margin
}

func (g *Gateway) headLimit() time.Duration {
	const margin = 500 * time.Millisecond
	return orDefault(g.limits().HeaderTimeout, defaultHead) + margin
}

func (g *Gateway) wholeLimit() time.Duration { return g.headLimit() + bodyTime }

// orDefault returns a configured bound, or the fallback where none is set.
func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// Start implements kernel.Starter.
func (g *Gateway) Start(d *kernel.Duties) error {
	// The idle limit ends connections whose caller is gone; probes would cost calls
	// of the system for each of the many short ones.
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := lc.Listen(d.Context(), "tcp", g.kernel.Settings.Listen)
	if err != nil {
		return errors.WithMessage(err, "listen for callers")
	}
	g.listener = g.conns.Listen(ln)
	d.Go("gateway server", g.serve)
	d.Go("gateway load", g.watchLoad)
	return g.startReady(d)
}

// serve accepts callers until the listener closes.
func (g *Gateway) serve(ctx context.Context) error {
	return g.listener.Serve(ctx, g.http.Serve, g.draining.Load)
}
