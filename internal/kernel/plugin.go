package kernel

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"nutmegrouter/internal/settings"
)

// Plugin is a component of the daemon. The kernel also calls the optional
// interfaces Validator, Starter, Drainer, Cleaner and Reloader if a plug-in
// implements them.
type Plugin interface {
	// Provision reads the settings, provides services and looks up those of
	// plug-ins earlier in the order. It must not start goroutines.
	Provision(c *Context) error
}

// Validator checks a provisioned plug-in before anything starts. An error ends the start.
type Validator interface{ Validate() error }

// Starter starts the duties of a plug-in. Start may use the services of all
// plug-ins, because all are provisioned by then.
type Starter interface{ Start(d *Duties) error }

// Drainer completes the work in progress during a planned stop.
type Drainer interface {
	// Drain returns when no work is in progress or the context ends. An error is
	// logged; the stop goes on.
	Drain(ctx context.Context) error
}

// Cleaner releases resources after all duties have ended.
type Cleaner interface{ Cleanup() error }

// Reloader applies settings that change while the process runs.
type Reloader interface {
	// Reload applies the new settings as far as the plug-in supports changes at run
	// time; all others keep their values from the start. It must not block.
	Reload(s *settings.Settings)
}

// Registration describes a plug-in to the kernel.
type Registration struct {
	// Name is the lower-case name of the plug-in.
	Name string
	// Order sorts plug-ins; lower ones are provisioned first.
	Order int
	// New returns a plug-in that is ready for Provision.
	New func() Plugin
	// Enabled reports whether the plug-in is enabled with these settings; nil
	// enables it with the profile "pools".
	Enabled func(*settings.Settings) bool
}

// OnAllProfiles enables a plug-in with every profile. Like the functions below it
// is a value for Registration.Enabled.
func OnAllProfiles(*settings.Settings) bool { return true }

// OnRoutes enables a plug-in with the profile "routes".
func OnRoutes(s *settings.Settings) bool { return s.IsRoutes() }

// OnRoutesEntry enables a plug-in on entry instances of the profile "routes".
func OnRoutesEntry(s *settings.Settings) bool { return s.IsRoutes() && s.ServesCallers() }

// OnRoutesControl enables a plug-in on control instances of the profile "routes".
func OnRoutesControl(s *settings.Settings) bool { return s.IsRoutes() && !s.ServesCallers() }

// OnPoolsOrRoutesControl enables a plug-in with the profile "pools" and on control
// instances of the profile "routes".
func OnPoolsOrRoutesControl(s *settings.Settings) bool { return !s.IsRoutes() || OnRoutesControl(s) }

func (r Registration) isEnabled(s *settings.Settings) bool {
	if r.Enabled != nil {
		return r.Enabled(s)
	}
	return !s.IsRoutes()
}

// Values of Registration.Order for the standard plug-ins.
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

// Register adds a plug-in. It panics if the name is empty or already registered or
// New is nil, because that is a programming error that shows at the first start.
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

// Registered returns all registrations, sorted by Order and then by Name.
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
