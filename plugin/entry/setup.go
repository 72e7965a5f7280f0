// Package entry is the HTTP server for callers: it checks and routes requests,
// passes answers on as they arrive, and refuses with a truthful run state.
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

// Bounds of connections from callers.
const (
	readLimit    = 60 * time.Second  // of one request with its body
	idleLimit    = 120 * time.Second // between two requests of a connection
	headerBuffer = 32 << 10          // bytes; bounds the head of a request
	writeBuffer  = 16 << 10          // bytes
)

// Server is the HTTP server for callers. The zero value must be provisioned.
type Server struct {
	dispatch api.Dispatcher
	fleet    api.Fleet

	instance string
	listen   string
	grace    time.Duration
	maxBody  int
	log      *slog.Logger
	events   *kernel.Events
	stats    *stats
	routes   atomic.Pointer[routes]
	bodies   *overload.Bytes

	http     *fasthttp.Server
	listener *callerconn.Listener
	conns    *callerconn.Tracker
	draining atomic.Bool
}

// Provision implements kernel.Plugin.
func (s *Server) Provision(c *kernel.Context) error {
	var err error
	if s.dispatch, err = kernel.Lookup[api.Dispatcher](c); err != nil {
		return err
	}
	if s.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	s.instance, s.listen = c.Settings.Instance, c.Settings.Listen
	s.grace, s.maxBody = c.Settings.StopGrace(), c.Settings.MaxBodyBytes()
	s.log, s.events = c.Log, c.Events
	s.stats, s.bodies = newStats(c.Metrics), overload.NewBytes(budgetBodies*int64(s.maxBody))
	s.conns = callerconn.NewTracker(s.stats.sent, nil)
	c.Metrics.NewGauge("nutmeg_entry_body_bytes", func() float64 { return float64(s.bodies.Held()) })
	c.Metrics.NewGauge("nutmeg_entry_connections", func() float64 { open, _ := s.conns.Count(); return float64(open) })
	c.Metrics.NewGauge("nutmeg_entry_busy_connections", func() float64 { _, busy := s.conns.Count(); return float64(busy) })
	s.http = s.newHTTP()
	return nil
}

func (s *Server) newHTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleMalformed,
		HeaderReceived:               s.admitBody,
		Name:                         "nutmegd",
		ReadTimeout:                  readLimit,
		IdleTimeout:                  idleLimit,
		ReadBufferSize:               headerBuffer,
		WriteBufferSize:              writeBuffer,
		MaxRequestBodySize:           s.maxBody,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       logqueue.Discard{},
	}
}

// Start implements kernel.Starter.
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

// serve accepts callers until the listener closes.
func (s *Server) serve(ctx context.Context) error {
	return s.listener.Serve(ctx, s.http.Serve, s.draining.Load)
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }
