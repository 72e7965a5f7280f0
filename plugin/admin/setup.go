// Package admin serves the HTTP admin interface defined by package adminapi: health,
// metrics, status, configuration changes, and the timeline of events merged over
// all instances.
package admin

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:    "admin",
		Order:   kernel.OrderAdmin,
		New:     func() kernel.Plugin { return &Admin{} },
		Enabled: kernel.OnAllProfiles,
	})
}

// Timeouts of the operators' connections.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
)

// Admin is the plug-in that serves the admin interface. The zero value is ready for Provision.
type Admin struct {
	kernel  *kernel.Context
	mesh    api.Mesh
	lease   api.Lease // nil with the profile "routes"
	fleet   api.Fleet
	control api.Control // nil on entry instances of the profile "routes"
	dialect api.Dialect // nil with the profile "pools"

	listener net.Listener
	server   *fasthttp.Server
	draining atomic.Bool
}

// Provision implements kernel.Plugin. It listens on the admin address of the settings, and
// fails if it cannot or if a needed interface is missing.
func (a *Admin) Provision(c *kernel.Context) error {
	a.kernel = c
	if err := a.lookup(c); err != nil {
		return err
	}
	a.mesh.Handle(methodEvents, a.handleEvents)
	c.Metrics.NewGauge("nutmeg_ready", func() float64 {
		if ok, _ := a.ready(); ok {
			return 1
		}
		return 0
	})
	ln, err := net.Listen("tcp", c.Settings.Admin)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	a.listener = ln
	a.server = &fasthttp.Server{
		Handler:            a.handle,
		Name:               "nutmegd",
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		IdleTimeout:        readTimeout,
		MaxRequestBodySize: adminapi.MaxChangeBytes,
	}
	return nil
}

// lookup resolves the interfaces that the profile and the role of this instance provide.
func (a *Admin) lookup(c *kernel.Context) (err error) {
	if a.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if a.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	if c.Settings.IsRoutes() {
		if a.dialect, err = kernel.Lookup[api.Dialect](c); err != nil {
			return err
		}
		if c.Settings.ServesCallers() {
			return nil
		}
	} else if a.lease, err = kernel.Lookup[api.Lease](c); err != nil {
		return err
	}
	a.control, err = kernel.Lookup[api.Control](c)
	return err
}

// Start implements kernel.Starter. It serves the listener made by Provision.
func (a *Admin) Start(d *kernel.Duties) error {
	d.Serve("admin", a.listener, a.server.Serve)
	return nil
}

// Drain makes /ready respond with 503 from now on, so that the load balancer sends no new
// callers. It returns at once and never fails.
func (a *Admin) Drain(context.Context) error {
	a.draining.Store(true)
	return nil
}

// ready reports whether callers may be sent to this instance, and the reason if not.
func (a *Admin) ready() (bool, string) {
	switch {
	case a.draining.Load():
		return false, "stopping"
	case a.fleet.View().Revision == 0:
		return false, "no configuration yet"
	case a.lease != nil && !a.lease.Valid():
		return false, "no valid lease: no majority of instances answers"
	}
	return true, ""
}
