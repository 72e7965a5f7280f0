package gateway

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
)

// startReady serves the balancer's question for readiness.
func (g *Gateway) startReady(d *kernel.Duties) error {
	ln, err := net.Listen("tcp", g.kernel.Settings.Routes.Ready)
	if err != nil {
		return errors.WithMessage(err, "listen for the balancer")
	}
	s := &fasthttp.Server{
		Handler: g.handleReady, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: logqueue.Discard{},
		ReadTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
	}
	d.Serve("gateway ready", ln, s.Serve)
	return nil
}

func (g *Gateway) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.dialect.ReadyPath() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if why := g.notReady(); why != "" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(why + "\n")
	}
}

// notReady tells why callers should not be sent here, or "".
func (g *Gateway) notReady() string {
	switch {
	case g.draining.Load():
		return "stopping"
	case g.table.Load() == nil:
		return "no configuration yet"
	case !g.directory.Known():
		return "no list of targets yet"
	case g.load.shedding():
		return "no processor time left"
	}
	return ""
}
