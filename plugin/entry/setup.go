// Package entry is the HTTP reverse proxy for callers of a fleet with the profile
// "pools". It authenticates, validates and routes requests, dispatches them through
// api.Dispatcher and streams the responses back. Each refusal states whether the request
// may have run.
package entry

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
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "entry",
		Order: kernel.OrderEntry,
		New:   func() kernel.Plugin { return &Server{} },
	})
}

// Limits of caller connections.
const (
	requestReadTimeout = 60 * time.Second  // of reading one request with its body
	idleTimeout        = 120 * time.Second // between two requests of a connection
	headerBuffer       = 32 << 10          // bytes; the largest request header
	writeBuffer        = 16 << 10          // bytes
)

// Server is the plug-in that serves callers over HTTP. The zero value must be provisioned
// and started.
type Server struct {
	dispatcher api.Dispatcher
	fleet      api.Fleet

	instance     string
	listen       string
	stopGrace    time.Duration
	maxBodyBytes int
	log          *slog.Logger
	events       *kernel.Events
	stats        *stats
	routes       atomic.Pointer[routes]
	bodies       *overload.MemoryLimit

	http     *fasthttp.Server
	listener *callerconn.Listener
	conns    *callerconn.Tracker
	draining atomic.Bool
}

// Provision implements kernel.Plugin. It fails if the dispatcher or the fleet is not
// provided.
func (s *Server) Provision(c *kernel.Context) error {
	var err error
	if s.dispatcher, err = kernel.Lookup[api.Dispatcher](c); err != nil {
		return err
	}
	if s.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	s.instance, s.listen = c.Settings.Instance, c.Settings.Listen
	s.stopGrace, s.maxBodyBytes = c.Settings.StopGrace(), c.Settings.MaxBodyBytes()
	s.log, s.events = c.Log, c.Events
	s.stats, s.bodies = newStats(c.Metrics), overload.NewMemoryLimit(bodyBudgetFactor*int64(s.maxBodyBytes))
	s.conns = callerconn.NewTracker(s.stats.sentBytes, nil)
	c.Metrics.NewGauge("nutmeg_entry_body_bytes", func() float64 { return float64(s.bodies.Reserved()) })
	c.Metrics.NewGauge("nutmeg_entry_connections", func() float64 { open, _ := s.conns.Count(); return float64(open) })
	c.Metrics.NewGauge("nutmeg_entry_busy_connections", func() float64 { _, busy := s.conns.Count(); return float64(busy) })
	s.http = s.newHTTPServer()
	return nil
}

func (s *Server) newHTTPServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleMalformed,
		HeaderReceived:               s.limitBody,
		Name:                         "nutmegd",
		ReadTimeout:                  requestReadTimeout,
		IdleTimeout:                  idleTimeout,
		ReadBufferSize:               headerBuffer,
		WriteBufferSize:              writeBuffer,
		MaxRequestBodySize:           s.maxBodyBytes,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       logqueue.Discard{},
	}
}

// Start implements kernel.Starter. It fails if the address for callers is not available.
func (s *Server) Start(d *kernel.Duties) error {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3,
	}}
	ln, err := lc.Listen(d.Context(), "tcp", s.listen)
	if err != nil {
		return errors.WithMessage(err, "listen for callers")
	}
	s.listener = s.conns.Listen(ln)
	d.Go("entry server", s.serve)
	return nil
}

// serve accepts connections of callers until the context ends or the listener closes.
func (s *Server) serve(ctx context.Context) error {
	return s.listener.Serve(ctx, s.http.Serve, s.draining.Load)
}

// Addr returns the address on which the server listens. It must not be called before
// Start.
func (s *Server) Addr() string { return s.listener.Addr().String() }
