// Package operators serves the operators of a fleet with the profile "routes" on
// its control instances: they replace and read the configuration and take data
// centres out of service. Any control instance takes a call; the leader decides.
package operators

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/targetconn"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:   "operators",
		Order:  kernel.OrderAdmin,
		New:    func() kernel.Plugin { return &Server{} },
		Wanted: kernel.RoutedControl,
	})
}

// Bounds of calls.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	maxBody      = 64 << 20 // bytes
	// changeLimit bounds a change of the configuration, stateLimit any other call.
	// An operator waits about a second and then asks another instance; a call that
	// took longer could undo a later one.
	changeLimit = 3 * time.Second
	stateLimit  = time.Second
)

// Server is the plug-in. It must be provisioned before use.
type Server struct {
	kernel  *kernel.Context
	control api.Control
	dialect api.Dialect
	log     *slog.Logger
	http    *fasthttp.Server

	accepted, refused, unanswered *metrics.Counter
}

// Provision implements kernel.Plugin.
func (s *Server) Provision(c *kernel.Context) (err error) {
	if s.control, err = kernel.Lookup[api.Control](c); err != nil {
		return err
	}
	if s.dialect, err = kernel.Lookup[api.Dialect](c); err != nil {
		return err
	}
	s.kernel, s.log = c, c.Log.With("plugin", "operators")
	s.accepted = c.Metrics.NewCounter("nutmeg_operators_accepted_total")
	s.refused = c.Metrics.NewCounter("nutmeg_operators_refused_total")
	s.unanswered = c.Metrics.NewCounter("nutmeg_operators_unavailable_total")
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "nutmegd", ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: readTimeout, MaxRequestBodySize: maxBody, NoDefaultServerHeader: true,
		SecureErrorLogMessage: true, Logger: logqueue.Discard{},
	}
	return nil
}

// Start implements kernel.Starter.
func (s *Server) Start(d *kernel.Duties) error {
	ln, err := net.Listen("tcp", s.kernel.Settings.Routes.Operators)
	if err != nil {
		return errors.WithMessage(err, "listen for operators")
	}
	d.Serve("operators", ln, s.http.Serve)
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	order, ok := s.dialect.Order(string(ctx.Method()), string(ctx.Path()))
	switch {
	case !ok:
		s.refuse(ctx, fasthttp.StatusNotFound, "no such call")
	case order.Kind == api.OrderRead:
		s.read(ctx)
	case order.Kind == api.OrderReplace:
		s.replace(ctx)
	default:
		s.move(ctx, order)
	}
}

// replace validates a document, whatever its version, and has it stored.
func (s *Server) replace(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	t, err := s.dialect.Document(body)
	if err != nil {
		s.refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.submit(ctx, changeLimit, api.Submission{Version: t.Version, Document: api.PackDocument(body)})
}

// move takes a data centre out of service or back.
func (s *Server) move(ctx *fasthttp.RequestCtx, order api.Order) {
	if !slices.Contains(s.kernel.Settings.Routes.DataCentres, order.DataCentre) {
		s.refuse(ctx, fasthttp.StatusNotFound, "no such data centre")
		return
	}
	s.submit(ctx, stateLimit, api.Submission{DataCentre: order.DataCentre, Out: order.Kind == api.OrderOut})
}

// submit has a change stored. A caller that has left has asked another instance
// meanwhile, and perhaps given a later order there.
func (s *Server) submit(ctx *fasthttp.RequestCtx, limit time.Duration, c api.Submission) {
	if !targetconn.Open(ctx.Conn()) {
		s.unavailable(ctx, errors.New("the caller has left"))
		return
	}
	c.ChangeID, c.Newest = kernel.NewID(), true
	limited, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := s.control.Submit(limited, c)
	switch {
	case err != nil:
		s.unavailable(ctx, err)
	case r.Error != "":
		s.refuse(ctx, fasthttp.StatusBadRequest, r.Error)
	default:
		s.accepted.Inc()
		logqueue.Notice(s.log, "change accepted", "step", "operators", "change", c.ChangeID, "version", c.Version,
			"data_centre", c.DataCentre, "out", c.Out, "revision", r.Revision)
		ctx.SetStatusCode(fasthttp.StatusOK)
	}
}

// read answers with the newest document, confirmed by the leader's quorum.
func (s *Server) read(ctx *fasthttp.RequestCtx) {
	limited, cancel := context.WithTimeout(context.Background(), stateLimit)
	defer cancel()
	v, err := s.control.ReadView(limited)
	if err == nil && v.Version == 0 {
		err = errors.New("no configuration yet")
	}
	var raw []byte
	if err == nil {
		raw, err = api.UnpackDocument(v.Document)
	}
	if err != nil {
		s.unavailable(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int, text string) {
	s.refused.Inc()
	logqueue.Notice(s.log, "order refused", "step", "operators", "path", string(ctx.Path()), "status", status, "error", text)
	ctx.SetStatusCode(status)
	ctx.SetBodyString(text + "\n")
}

// unavailable answers a call that this instance cannot be sure about.
func (s *Server) unavailable(ctx *fasthttp.RequestCtx, err error) {
	s.unanswered.Inc()
	logqueue.Notice(s.log, "order not decided", "step", "operators", "path", string(ctx.Path()), "error", err)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not decided, ask again\n")
}
