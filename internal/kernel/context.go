package kernel

import (
	"log/slog"
	"reflect"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"nutmegrouter/internal/settings"
)

// Context gives plug-ins access to the settings, log, metrics, clock and events of
// the process and to each other's services.
type Context struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Metrics  *metrics.Set
	Clock    Clock
	Events   *Events

	services map[reflect.Type]any
}

// NewContext returns a context without services. Tests use it to provision a single
// plug-in.
func NewContext(s *settings.Settings, log *slog.Logger, clock Clock) *Context {
	return &Context{
		Settings: s,
		Log:      log,
		Metrics:  metrics.NewSet(),
		Clock:    clock,
		Events:   NewEvents(s.Instance, s.Limits.Events),
		services: map[reflect.Type]any{},
	}
}

// Provide registers a service under the interface type T. It fails if T is already
// provided.
func Provide[T any](c *Context, service T) error {
	t := reflect.TypeFor[T]()
	if _, ok := c.services[t]; ok {
		return errors.Errorf("provide %s: already provided", t)
	}
	c.services[t] = service
	return nil
}

// Lookup returns the service registered under the interface type T. It fails if
// there is none.
func Lookup[T any](c *Context) (T, error) {
	t := reflect.TypeFor[T]()
	s, ok := c.services[t].(T)
	if !ok {
		var zero T
		return zero, errors.Errorf("look up %s: no plug-in provides it", t)
	}
	return s, nil
}
