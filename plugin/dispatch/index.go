package dispatch

import (
	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// index finds pools and targets of one view by name. A fleet has thousands of
// targets, so a linear search per request costs too much.
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

// current returns the index of the newest view.
func (d *Dispatcher) current() *index {
	v := d.fleet.View()
	if x := d.index.Load(); x != nil && x.view == v {
		return x
	}
	x := newIndex(v)
	d.index.Store(x)
	return x
}

// permit tells whether a request may start on the target at this moment.
func (d *Dispatcher) permit(target string) error {
	if !d.lease.Valid() {
		return errNoLease
	}
	x := d.current()
	t, ok := x.targets[target]
	if !ok {
		return errTargetUnknown
	}
	if x.view.Out[t.DataCentre] {
		return errTargetOut
	}
	return nil
}

// permitResume tells whether a running stream may be resumed. Running work
// completes while its data centre is out, so only the lease counts.
func (d *Dispatcher) permitResume() error {
	if !d.lease.Valid() {
		return errNoLease
	}
	return nil
}
