package orders

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/kernel"
	planner "nutmegrouter/internal/orders"
)

// orderBody is the JSON body of an order; see the target interface in docs/design.md.
type orderBody struct {
	Order   planner.Kind `json:"order"`
	Model   string       `json:"model"`
	Version string       `json:"version"`
	Fence   uint64       `json:"fence"`
}

// send posts an order to its target in the background. It reports the order to the
// planner as failed if maxInFlight orders are in flight or the pool is no longer owned in
// the same epoch. The ownership is checked right before sending, because some engines
// ignore the fencing token.
func (o *Orders) send(pool string, state *poolState, order planner.Order) {
	now := o.kernel.Clock.Now()
	if o.inFlight >= maxInFlight {
		state.planner.RecordOutcome(now, order, planner.Failed)
		return
	}
	if epoch, holds := o.lease.Owns(pool); !holds || epoch != state.epoch {
		state.planner.RecordOutcome(now, order, planner.Failed)
		return
	}
	o.inFlight++
	o.sent.Inc()
	out := outcome{pool: pool, epoch: state.epoch, order: order}
	fence := state.token
	go func() {
		out.outcome, out.err = o.post(order, fence)
		o.outcomes.Push(out)
	}()
}

// post sends an order and waits for the response. Status 2xx is Accepted, 409 is
// TokenOutdated; any other status or error is Failed, with an error that says why.
func (o *Orders) post(order planner.Order, fence uint64) (planner.Outcome, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	raw, _ := json.Marshal(orderBody{order.Kind, order.Model, order.Version, fence}) // encoding cannot fail
	req.SetRequestURI("http://" + order.Target.Address + "/orders")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	if err := o.client.DoTimeout(req, resp, orderTimeout); err != nil {
		return planner.Failed, err
	}
	switch code := resp.StatusCode(); {
	case code >= 200 && code < 300:
		return planner.Accepted, nil
	case code == fasthttp.StatusConflict:
		return planner.TokenOutdated, nil
	default:
		return planner.Failed, errors.Errorf("status %d", code)
	}
}

// handleOutcome applies the result of an order or of a request for a token. Results from
// a former ownership epoch are dropped.
func (o *Orders) handleOutcome(out outcome) {
	isToken := out.token != 0 || out.tokenFailed
	if !isToken {
		o.inFlight--
	}
	state, ok := o.pools[out.pool]
	if !ok || state.epoch != out.epoch {
		return
	}
	if isToken {
		state.tokenRequested = false
		if out.token > state.token {
			state.token = out.token
			state.planner.TokenRenewed()
		}
		return
	}
	state.planner.RecordOutcome(o.kernel.Clock.Now(), out.order, out.outcome)
	o.recordOutcome(out, state.token)
}

// recordOutcome counts a failed or refused order and records an event for every order.
func (o *Orders) recordOutcome(out outcome, token uint64) {
	event := kernel.Event{
		Kind: "order", Step: string(out.order.Kind), Pool: out.pool, Target: out.order.Target.Name, Epoch: token,
	}
	switch out.outcome {
	case planner.Failed:
		o.failed.Inc()
		event.Detail = "failed"
		if out.err != nil {
			event.Detail += ": " + out.err.Error()
		}
	case planner.TokenOutdated:
		o.stale.Inc()
		event.Detail = "refused: stale fencing token"
	}
	o.kernel.Events.Record(event)
}
