// Package orders sends load and warm orders to the engines of the pools that this
// instance owns. Package internal/orders plans them; this plug-in obtains fencing
// tokens, sends the orders over HTTP and reports their outcomes to the planner.
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
	"nutmegrouter/internal/responsehead"
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
	// orderTimeout bounds one order. Engines respond when they have accepted an order,
	// not when they have carried it out.
	orderTimeout = 5 * time.Second
	tokenTimeout = 5 * time.Second
	// maxInFlight bounds the orders without a response, over all pools.
	maxInFlight = 64
)

// Orders is the plug-in that plans and sends orders. The zero value is ready for Provision.
// Only the duty accesses pools and inFlight; requests run in goroutines of their own and
// return an outcome.
type Orders struct {
	kernel  *kernel.Context
	lease   api.Lease
	fleet   api.Fleet
	control api.Control
	states  api.TargetStates
	client  fasthttp.Client

	pools    map[string]*poolState
	outcomes *kernel.Ring[outcome]
	inFlight int // orders without a response
	sent     *metrics.Counter
	failed   *metrics.Counter
	stale    *metrics.Counter
}

// poolState is the state of one pool while this instance owns it.
type poolState struct {
	epoch          uint64 // ownership epoch
	token          uint64 // fencing token, 0 until obtained
	tokenRequested bool   // a request for a token is in flight
	planner        *planner.Planner
}

// outcome is the result of an order, or of a request for a fencing token if token is not
// 0 or tokenFailed is set.
type outcome struct {
	pool        string
	epoch       uint64 // ownership epoch at the time of sending
	order       planner.Order
	outcome     planner.Outcome
	err         error // why the order failed, if that is known
	token       uint64
	tokenFailed bool
}

// Provision implements kernel.Plugin. It fails if the lease, the fleet, the control log or
// the target states are missing.
func (o *Orders) Provision(c *kernel.Context) (err error) {
	o.kernel = c
	o.pools = map[string]*poolState{}
	o.outcomes = kernel.NewRing[outcome](c.Metrics, "orders", 2*maxInFlight)
	o.sent = c.Metrics.NewCounter("nutmeg_orders_sent_total")
	o.failed = c.Metrics.NewCounter("nutmeg_orders_failed_total")
	o.stale = c.Metrics.NewCounter("nutmeg_orders_stale_total")
	o.client = fasthttp.Client{ReadTimeout: orderTimeout, WriteTimeout: orderTimeout, MaxIdemponentCallAttempts: 1, DialTimeout: responsehead.DialTimeout}
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

// Start implements kernel.Starter. It starts the duty that plans and sends orders.
func (o *Orders) Start(d *kernel.Duties) error {
	d.Go("orders", o.run)
	return nil
}

// run plans orders each planInterval and handles their outcomes until the context ends.
func (o *Orders) run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case out := <-o.outcomes.C():
			o.handleOutcome(out)
		case <-ticker.C:
			o.plan(ctx)
		}
	}
}

// plan sends the orders that are due in the engine pools that this instance owns, and
// requests a fencing token for pools that have none or an outdated one. It drops the state
// of the configured pools that are not owned here.
func (o *Orders) plan(ctx context.Context) {
	view := o.fleet.View()
	if view.Config == nil {
		return
	}
	returning := o.returningDataCentres(view.Config, time.Now())
	for _, pool := range view.Config.Pools {
		epoch, holds := o.lease.Owns(pool.Name)
		if !holds || pool.Kind != fleetconfig.KindEngine {
			delete(o.pools, pool.Name)
			continue
		}
		state := o.stateFor(pool, epoch, view.Config.LoadInterval())
		if state.token == 0 || state.planner.HasOutdatedToken() {
			o.requestToken(ctx, pool.Name, state)
			continue
		}
		for _, order := range state.planner.Plan(o.kernel.Clock.Now(), o.states.States(pool.Name), returning) {
			o.send(pool.Name, state, order)
		}
	}
}

// stateFor returns the state of an owned pool with its current configuration. It starts
// with a new state in each ownership epoch.
func (o *Orders) stateFor(pool fleetconfig.Pool, epoch uint64, interval time.Duration) *poolState {
	state, ok := o.pools[pool.Name]
	if !ok || state.epoch != epoch {
		state = &poolState{epoch: epoch, planner: planner.NewPlanner(pool, interval, o.kernel.Clock.Now())}
		o.pools[pool.Name] = state
	}
	state.planner.Configure(pool, interval)
	return state
}

// returningDataCentres returns the data centres whose planned return is at most
// planner.ReturnLead after now.
func (o *Orders) returningDataCentres(cfg *fleetconfig.Config, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, m := range cfg.Moves {
		returnAt, err := time.Parse(time.RFC3339, m.BackAt)
		if err == nil && now.Before(returnAt) && returnAt.Sub(now) <= planner.ReturnLead {
			out[m.DataCentre] = true
		}
	}
	return out
}

// requestToken requests a fencing token from the control log in the background. No order
// is sent to the pool until the token has arrived.
func (o *Orders) requestToken(ctx context.Context, pool string, state *poolState) {
	if state.tokenRequested {
		return
	}
	state.tokenRequested = true
	epoch := state.epoch
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
		defer cancel()
		token, err := o.control.NewOrderToken(ctx, pool)
		o.outcomes.Push(outcome{pool: pool, epoch: epoch, token: token, tokenFailed: err != nil})
	}()
}
