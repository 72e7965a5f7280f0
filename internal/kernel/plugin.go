package kernel

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"nutmegrouter/internal/settings"
)

// Plugin is a unit of the daemon. The optional interfaces Validator, Starter,
// Drainer and Cleaner are called if implemented.
type Plugin interface {
	// Provision reads settings, provides services and looks up those of
	// plug-ins earlier in the order. It starts nothing.
	Provision(c *Context) error
}

// Validator checks a provisioned plug-in before anything starts.
type Validator interface{ Validate() error }

// Starter registers duties. Services of all plug-ins may be looked up.
type Starter interface{ Start(d *Duties) error }

// Drainer takes part in a planned stop. Drain returns when the plug-in has
// finished the work under way or the context ends.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Cleaner releases resources after all duties have ended.
type Cleaner interface{ Cleanup() error }

// Reloader takes settings that have changed while the process runs.
type Reloader interface {
	// Reload must not block. Settings that it does not follow stay as they were.
	Reload(s *settings.Settings)
}

// Registration describes a plug-in to the kernel.
type Registration struct {
	// Name is the lower-case name of the plug-in.
	Name string
	// Order sorts plug-ins; lower ones are provisioned first.
	Order int
	// New makes an instance with useful zero values.
	New func() Plugin
	// Wanted reports whether an instance with these settings runs the plug-in;
	// nil = with the profile "pools".
	Wanted func(*settings.Settings) bool
}

// Everywhere wants a plug-in with every profile.
func Everywhere(*settings.Settings) bool { return true }

// Routed wants a plug-in with the profile "routes".
func Routed(s *settings.Settings) bool { return s.Routed() }

// RoutedEntry wants a plug-in with the profile "routes" on instances that serve callers.
func RoutedEntry(s *settings.Settings) bool { return s.Routed() && s.ServesCallers() }

// RoutedControl wants a plug-in with the profile "routes" on control instances.
func RoutedControl(s *settings.Settings) bool { return s.Routed() && !s.ServesCallers() }

// RoutedControlOrPools wants a plug-in with the profile "pools" and on control
// instances of the profile "routes".
func RoutedControlOrPools(s *settings.Settings) bool { return !s.Routed() || RoutedControl(s) }

func (r Registration) wanted(s *settings.Settings) bool {
	if r.Wanted != nil {
		return r.Wanted(s)
	}
	return !s.Routed()
}

// Orders of the standard plug-ins.
const (
	OrderTimeline  = 10
	OrderDialect   = 15
	OrderMesh      = 20
	OrderFleet     = 30
	OrderLease     = 40
	OrderMembers   = 45
	OrderControl   = 50
	OrderDirectory = 57
	OrderScheduler = 60
	OrderOrders    = 65
	OrderPlacer    = 68
	OrderPool      = 70
	OrderDispatch  = 80
	OrderEntry     = 90
	OrderAdmin     = 100
)

var registry = struct {
	sync.Mutex
	byName map[string]Registration
}{byName: map[string]Registration{}}

// Register adds a plug-in. It panics on an empty or doubled name because that is
// an error of the program, found at its first start.
func Register(r Registration) {
	registry.Lock()
	defer registry.Unlock()
	if r.Name == "" || r.New == nil {
		panic("kernel: plug-in without a name or constructor")
	}
	if _, ok := registry.byName[r.Name]; ok {
		panic(fmt.Sprintf("kernel: plug-in %q registered twice", r.Name))
	}
	registry.byName[r.Name] = r
}

// Registered returns all registrations in their order.
func Registered() []Registration {
	registry.Lock()
	defer registry.Unlock()
	out := make([]Registration, 0, len(registry.byName))
	for _, r := range registry.byName {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Order != out[j].Order {
			return out[i].Order < out[j].Order
		}
		return out[i].Name < out[j].Name
	})
	return out
}
