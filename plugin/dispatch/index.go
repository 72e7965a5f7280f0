package dispatch

import (
	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// index maps names to the pools and targets of one view. A fleet has thousands of
// targets, too many for a linear search per request.
type index struct {
	view    *api.View
	pools   map[string]fleetconfig.Pool
	targets map[string]fleetconfig.Target
}

func newIndex(v *api.View) *index {
	x := &index{view: v, pools: map[string]fleetconfig.Pool{}, targets: map[string]fleetconfig.Target{}}
	if v.Config == nil {
		return x
	}
	for _, p := range v.Config.Pools {
		x.pools[p.Name] = p
	}
	for _, t := range v.Config.Targets {
		x.targets[t.Name] = t
	}
	return x
}

// currentIndex returns the index of the newest view. It is rebuilt when the view
// has changed.
func (d *Dispatcher) currentIndex() *index {
	v := d.fleet.View()
	if x := d.index.Load(); x != nil && x.view == v {
		return x
	}
	x := newIndex(v)
	d.index.Store(x)
	return x
}

// checkTarget returns an error if no request may be sent to the target now: without
// a valid lease, to an unknown target, or to a data centre that is out of service.
func (d *Dispatcher) checkTarget(target string) error {
	if !d.lease.Valid() {
		return errNoLease
	}
	x := d.currentIndex()
	t, ok := x.targets[target]
	if !ok {
		return errTargetUnknown
	}
	if x.view.DataCentresOut[t.DataCentre] {
		return errDataCentreOut
	}
	return nil
}

// checkResume returns an error if streams must not be resumed. Running streams
// complete while their data centre is out of service, so it checks only the lease.
func (d *Dispatcher) checkResume() error {
	if !d.lease.Valid() {
		return errNoLease
	}
	return nil
}
