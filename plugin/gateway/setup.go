// Package gateway is the HTTP reverse proxy for callers of a fleet with the profile
// "routes". It authenticates and routes requests, limits what they use of the instance's
// memory, connections and processor time, forwards them through api.Forwarder and
// streams the responses back. It also serves the load balancer's readiness checks.
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
		Name:    "gateway",
		Order:   kernel.OrderEntry,
		New:     func() kernel.Plugin { return &Gateway{} },
		Enabled: kernel.OnRoutesEntry,
	})
}

// Limits of caller connections and requests. Those named default apply before the first
// configuration and where it sets no value.
const (
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10 // bytes
	defaultBodyBytes     = 4 << 20  // bytes
	// headerBuffer is fasthttp's limit of a request header. It exceeds the configured
	// limit, so that a header above that limit is still read and refused with a response.
	headerBuffer = 20 << 10 // bytes
	writeBuffer  = 4 << 10  // bytes
	// callerSocketShare is the fraction of the sockets for connections of callers; the
	// rest is for targets and other instances.
	callerSocketShare = 0.7
	// requestMemoryShare is the fraction of the memory for requests in progress; above it
	// requests are shed.
	requestMemoryShare = 0.45
	// requestOverheadBytes is the memory of a request in progress beside its body:
	// buffers, headers and goroutine stacks. It is 46 KB with 600 requests in progress.
	requestOverheadBytes = 48 << 10
	// idleMemoryShare is the fraction of the memory for connections without a request in
	// progress. Each of them uses idleConnBytes: the server keeps the buffer for the header of
	// the next request while a connection is open.
	idleMemoryShare = 0.3
	idleConnBytes   = headerBuffer + 4<<10
)

// Gateway is the plug-in that serves callers and readiness checks over HTTP. The zero
// value must be provisioned and started.
type Gateway struct {
	kernel    *kernel.Context
	forwarder api.Forwarder
	fleet     api.Fleet
	directory api.Directory
	dialect   api.Dialect
	clock     kernel.Clock
	log       *slog.Logger
	stats     *stats

	table         atomic.Pointer[routing.Table]
	startup       startup
	waitEstimator waitEstimator
	memory        *overload.MemoryLimit
	load          *loadGate
	http          *fasthttp.Server
	listener      *callerconn.Listener
	conns         *callerconn.Tracker
	draining      atomic.Bool                         // set when a planned stop begins
	stopBegin     atomic.Pointer[kernel.ClockReading] // start of the planned stop; nil = none
	readClocks    func() kernel.ClockReading
}

// Provision implements kernel.Plugin. It fails if a service that the gateway uses is not
// provided.
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
	g.kernel, g.clock, g.readClocks, g.log = c, c.Clock, kernel.ReadClocks, c.Log.With("plugin", "gateway")
	g.stats = newStats(c.Metrics)
	memory := c.Settings.Routes.MemoryMB * (1 << 20)
	g.memory = overload.NewMemoryLimit(int64(requestMemoryShare * memory))
	g.load = newLoadGate()
	g.conns = callerconn.NewTracker(g.stats.sentBytes, &callerconn.Limits{IdleTimeout: g.idleLimit, HeaderTimeout: g.headerReadLimit})
	g.conns.SetMaxOpen(int(min(callerSocketShare*float64(c.Settings.Routes.MaxSockets()), idleMemoryShare*memory/idleConnBytes)))
	g.stats.registerGauges(c.Metrics, g.conns, g.memory, g.load)
	g.startup.begin(g.clock.Now())
	g.fleet.OnChange(g.applyView)
	g.directory.OnChange(g.endStartup)
	g.http = &fasthttp.Server{
		Handler: g.handle, ErrorHandler: g.handleMalformed, HeaderReceived: g.limitBody,
		ReadBufferSize: headerBuffer, WriteBufferSize: writeBuffer, StreamRequestBody: true,
		ReduceMemoryUsage: true, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, DisableHeaderNamesNormalizing: false,
		SecureErrorLogMessage: true, Logger: logqueue.Discard{}, CloseOnShutdown: true,
	}
	return nil
}

// applyView activates the routes of a view with another configuration version. If this
// release cannot read the configuration, the previous one stays active.
func (g *Gateway) applyView(v *api.View) {
	old := g.table.Load()
	if v.Version == 0 || (old != nil && old.Version == v.Version) {
		return
	}
	t, err := v.ParseTable(g.dialect)
	if err != nil {
		g.log.Error("configuration not readable", "step", "view", "version", v.Version, "error", err)
		return
	}
	g.table.Store(t)
	g.endStartup()
	logqueue.Notice(g.log, "configuration in force", "step", "view", "version", v.Version, "revision", v.Revision,
		"routes", len(t.Routes), "services", len(t.Services), "workspaces", len(t.Workspaces), "access", t.Access())
}

// callerLimits returns the configured limits, or none before the first configuration.
func (g *Gateway) callerLimits() routing.CallerLimits {
	if t := g.table.Load(); t != nil {
		return t.Callers
	}
	return routing.CallerLimits{}
}

// idleLimit returns how long a connection may be idle. It exceeds the configured time,
// because callers reuse connections until that time is over.
func (g *Gateway) idleLimit() time.Duration {
	const margin = time.Second
	return orDefault(g.callerLimits().IdleTimeout, defaultIdleTimeout) + margin
}

// headerReadLimit returns how long reading a request header may take.
func (g *Gateway) headerReadLimit() time.Duration {
	const margin = 500 * time.Millisecond
	return orDefault(g.callerLimits().HeaderTimeout, defaultHeaderTimeout) + margin
}

// orDefault returns a configured limit, or the fallback if it is not set.
func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// Start implements kernel.Starter. It fails if the address for callers or for readiness
// checks is not available.
func (g *Gateway) Start(d *kernel.Duties) error {
	// The idle limit closes connections of disconnected callers. TCP keep-alive would cost
	// system calls for each of the many short connections.
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

// serve accepts connections of callers until the context ends or the listener closes.
func (g *Gateway) serve(ctx context.Context) error {
	return g.listener.Serve(ctx, g.http.Serve, g.draining.Load)
}
