// Package orders sends load and warm orders to the engines of the pools that
// this instance owns. The decisions are in internal/orders.
package orders

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	planner "nutmegrouter/internal/orders"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "orders",
		Order: kernel.OrderOrders,
		New:   func() kernel.Plugin { return &Orders{} },
	})
}

// Timing and bounds of the plug-in.
const (
	planInterval = 500 * time.Millisecond
	// orderTimeout bounds the answer to one order. Engines answer when they
	// have accepted it, not when it is carried out.
	orderTimeout = 5 * time.Second
	tokenTimeout = 5 * time.Second
	// maxInFlight bounds the orders sent at the same time.
	maxInFlight = 64
)

// Orders is the plug-in. The zero value is ready for Provision.
type Orders struct {
	kernel  *kernel.Context
	lease   api.Lease
	fleet   api.Fleet
	control api.Control
	states  api.TargetStates
	client  fasthttp.Client

	pools    map[string]*owned
	outcomes *kernel.Ring[outcome]
	inFlight int
	sent     *metrics.Counter
	failed   *metrics.Counter
	stale    *metrics.Counter
}

// owned is the state of one pool while this instance owns it.
type owned struct {
	epoch   uint64 // ownership epoch
	token   uint64 // fencing token, 0 until obtained
	asking  bool
	planner *planner.Planner
}

// outcome is the end of an order, or of a request for a token if token is not 0
// or tokenFailed is set.
type outcome struct {
	pool        string
	epoch       uint64
	order       planner.Order
	verdict     planner.Verdict
	token       uint64
	tokenFailed bool
}

// Provision implements kernel.Plugin.
func (o *Orders) Provision(c *kernel.Context) (err error) {
	o.kernel = c
	o.pools = map[string]*owned{}
	o.outcomes = kernel.NewRing[outcome](c.Metrics, "orders", 2*maxInFlight)
	o.sent = c.Metrics.NewCounter("nutmeg_orders_sent_total")
	o.failed = c.Metrics.NewCounter("nutmeg_orders_failed_total")
	o.stale = c.Metrics.NewCounter("nutmeg_orders_stale_total")
	o.client = fasthttp.Client{ReadTimeout: orderTimeout, WriteTimeout: orderTimeout, MaxIdemponentCallAttempts: 1}
	if o.lease, err = kernel.Lookup[api.Lease](c); err != nil {
		return err
	}
	if o.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	if o.control, err = kernel.Lookup[api.Control](c); err != nil {
		return err
	}
	o.states, err = kernel.Lookup[api.TargetStates](c)
	return err
}

// Start implements kernel.Starter.
func (o *Orders) Start(d *kernel.Duties) error {
	d.Go("orders", o.run)
	return nil
}

func (o *Orders) run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case out := <-o.outcomes.C():
			o.finish(out)
		case <-tick.C:
			o.plan(ctx)
		}
	}
}

// plan goes over the engine pools that this instance owns.
func (o *Orders) plan(ctx context.Context) {
	view := o.fleet.View()
	if view.Config == nil {
		return
	}
	returning := o.returning(view.Config, time.Now())
	for _, pool := range view.Config.Pools {
		epoch, holds := o.lease.Holds(pool.Name)
		if !holds || pool.Kind != fleetconfig.KindEngine {
			delete(o.pools, pool.Name)
			continue
		}
		own := o.own(pool, epoch, view.Config.LoadInterval())
		if own.token == 0 || own.planner.Stale() {
			o.askToken(ctx, pool.Name, own)
			continue
		}
		for _, order := range own.planner.Plan(o.kernel.Clock.Now(), o.states.States(pool.Name), returning) {
			o.send(pool.Name, own, order)
		}
	}
}

func (o *Orders) own(pool fleetconfig.Pool, epoch uint64, interval time.Duration) *owned {
	own, ok := o.pools[pool.Name]
	if !ok || own.epoch != epoch {
		own = &owned{epoch: epoch, planner: planner.NewPlanner(pool, interval, o.kernel.Clock.Now())}
		o.pools[pool.Name] = own
	}
	own.planner.Configure(pool, interval)
	return own
}

// returning names the data centres with a planned return within ReturnLead.
func (o *Orders) returning(cfg *fleetconfig.Config, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, m := range cfg.Moves {
		back, err := time.Parse(time.RFC3339, m.BackAt)
		if err == nil && now.Before(back) && back.Sub(now) <= planner.ReturnLead {
			out[m.DataCentre] = true
		}
	}
	return out
}

// askToken obtains a fencing token from the control log without blocking the
// duty. Orders wait meanwhile.
func (o *Orders) askToken(ctx context.Context, pool string, own *owned) {
	if own.asking {
		return
	}
	own.asking = true
	epoch := own.epoch
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
		defer cancel()
		token, err := o.control.OrderEpoch(ctx, pool)
		o.outcomes.Push(outcome{pool: pool, epoch: epoch, token: token, tokenFailed: err != nil})
	}()
}
