// Package operators serves the operators' HTTP interface on the control instances of a
// fleet with the profile "routes": replacing and reading the configuration, taking data
// centres out of service and bringing them back, starting rollouts and reading their state. Any control instance accepts a call and forwards
// it to the leader through api.Control.
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
		Name:    "operators",
		Order:   kernel.OrderAdmin,
		New:     func() kernel.Plugin { return &Server{} },
		Enabled: kernel.OnRoutesControl,
	})
}

// Limits of calls.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	maxBodyBytes = 64 << 20 // bytes
	// changeTimeout bounds a change of the configuration, callTimeout any other call.
	// An operator waits about a second and then sends the call to another instance.
	changeTimeout = 3 * time.Second
	callTimeout   = time.Second
)

// Server is the plug-in. It must be provisioned before use. It listens on the address
// routes.operators of the settings.
type Server struct {
	kernel  *kernel.Context
	control api.Control
	dialect api.Dialect
	log     *slog.Logger
	http    *fasthttp.Server

	accepted, refused, undecided *metrics.Counter
}

// Provision implements kernel.Plugin. It fails if the control log or the dialect is missing.
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
	s.undecided = c.Metrics.NewCounter("nutmeg_operators_unavailable_total")
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "nutmegd", ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: readTimeout, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true,
		SecureErrorLogMessage: true, Logger: logqueue.Discard{},
	}
	return nil
}

// Start implements kernel.Starter. It fails if the operators' address cannot be listened on.
func (s *Server) Start(d *kernel.Duties) error {
	ln, err := net.Listen("tcp", s.kernel.Settings.Routes.Operators)
	if err != nil {
		return errors.WithMessage(err, "listen for operators")
	}
	d.Serve("operators", ln, s.http.Serve)
	return nil
}

// handle serves one call. The dialect defines the methods and paths. It decodes names in the path itself, so
// it gets the path as it was sent.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	order, ok := s.dialect.ParseOrder(string(ctx.Method()), string(ctx.URI().PathOriginal()))
	switch {
	case !ok:
		s.refuse(ctx, fasthttp.StatusNotFound, "no such call")
	case order.Kind == api.OrderRead:
		s.read(ctx)
	case order.Kind == api.OrderStartRollout || order.Kind == api.OrderReadRollout:
		s.serveRollout(ctx, order)
	case order.Kind == api.OrderReplace:
		s.replace(ctx)
	default:
		s.setDataCentreOut(ctx, order)
	}
}

// replace validates a configuration document and submits it. The version of the document
// is not compared with the one in force.
func (s *Server) replace(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	table, err := s.dialect.ParseConfig(body)
	if err != nil {
		s.refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	s.submit(ctx, callCtx, api.Submission{Version: table.Version, Document: api.PackDocument(body)}, "access", table.Access())
}

// setDataCentreOut takes a data centre out of service or brings it back.
func (s *Server) setDataCentreOut(ctx *fasthttp.RequestCtx, order api.Order) {
	if !slices.Contains(s.kernel.Settings.Routes.DataCentres, order.DataCentre) {
		s.refuse(ctx, fasthttp.StatusNotFound, "no such data centre")
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// A message with the order may be delayed on its way to the leader until a later order has been
	// accepted. It conflicts with that one, because it carries the number of orders accepted by now.
	orders, err := s.control.ReadOrders(callCtx)
	if err != nil {
		s.unavailable(ctx, err)
		return
	}
	s.submit(ctx, callCtx, api.Submission{DataCentre: order.DataCentre, Out: order.Kind == api.OrderTakeOut, BaseOrders: &orders})
}

// submit submits a change to the control log and responds with the result. The change of
// a disconnected caller is not submitted: the caller may have sent it, and a later one,
// to another instance meanwhile. logAttrs are added to the log line of an accepted change.
func (s *Server) submit(ctx *fasthttp.RequestCtx, callCtx context.Context, submission api.Submission, logAttrs ...any) {
	if !targetconn.IsOpen(ctx.Conn()) {
		s.unavailable(ctx, errors.New("the caller has disconnected"))
		return
	}
	submission.ChangeID, submission.OnNewestRevision = kernel.NewID(), true
	result, err := s.control.Submit(callCtx, submission)
	switch {
	case err != nil:
		s.unavailable(ctx, err)
	case result.ConflictingChange != "":
		s.unavailable(ctx, errors.Errorf("overtaken by change %s", result.ConflictingChange))
	case result.Error != "":
		s.refuse(ctx, fasthttp.StatusBadRequest, result.Error)
	default:
		s.accepted.Inc()
		logqueue.Notice(s.log, "change accepted", append([]any{"step", "operators", "change", submission.ChangeID, "version", submission.Version,
			"data_centre", submission.DataCentre, "out", submission.Out, "revision", result.Revision}, logAttrs...)...)
		ctx.SetStatusCode(fasthttp.StatusOK)
	}
}

// read responds with the newest configuration document, confirmed by the leader's quorum.
func (s *Server) read(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	v, err := s.control.ReadView(callCtx)
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

// refuse responds with a client error and its reason.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	s.refused.Inc()
	logqueue.Notice(s.log, "order refused", "step", "operators", "path", string(ctx.Path()), "status", status, "error", reason)
	ctx.SetStatusCode(status)
	ctx.SetBodyString(reason + "\n")
}

// unavailable responds with 503 to a call whose outcome is unknown, or to a read that
// cannot be confirmed. The caller may send it again.
func (s *Server) unavailable(ctx *fasthttp.RequestCtx, err error) {
	s.undecided.Inc()
	logqueue.Notice(s.log, "order not decided", "step", "operators", "path", string(ctx.Path()), "error", err)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not decided, ask again\n")
}
