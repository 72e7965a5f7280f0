package gateway

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
)

// startReady starts the HTTP server for the load balancer's readiness checks.
func (g *Gateway) startReady(d *kernel.Duties) error {
	ln, err := net.Listen("tcp", g.kernel.Settings.Routes.Ready)
	if err != nil {
		return errors.WithMessage(err, "listen for readiness checks")
	}
	s := &fasthttp.Server{
		Handler: g.handleReady, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: logqueue.Discard{},
		ReadTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
	}
	d.Serve("gateway ready", ln, s.Serve)
	return nil
}

// handleReady responds to the readiness path with 200 if the instance is ready, and with
// 503 and the reason if it is not.
func (g *Gateway) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.dialect.ReadyPath() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if reason := g.notReadyReason(); reason != "" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
	}
}

// notReadyReason returns why the load balancer should send no callers to this instance,
// or "" if it is ready.
func (g *Gateway) notReadyReason() string {
	switch {
	case g.draining.Load():
		return "stopping"
	case g.table.Load() == nil:
		return "no configuration yet"
	case !g.directory.Loaded():
		return "no list of targets yet"
	case g.load.shedding():
		return "no processor time left"
	}
	return ""
}
