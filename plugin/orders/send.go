package orders

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/kernel"
	planner "nutmegrouter/internal/orders"
)

// body is an order on the wire, see the target interface in docs/design.md.
type body struct {
	Order   planner.Kind `json:"order"`
	Model   string       `json:"model"`
	Version string       `json:"version"`
	Fence   uint64       `json:"fence"`
}

// send carries out one order. Engines that ignore the fencing token rely on the
// ownership being checked right before the order leaves.
func (o *Orders) send(pool string, own *owned, order planner.Order) {
	now := o.kernel.Clock.Now()
	if o.inFlight >= maxInFlight {
		own.planner.Done(now, order, planner.Failed)
		return
	}
	if epoch, holds := o.lease.Holds(pool); !holds || epoch != own.epoch {
		own.planner.Done(now, order, planner.Failed)
		return
	}
	o.inFlight++
	o.sent.Inc()
	out := outcome{pool: pool, epoch: own.epoch, order: order}
	fence := own.token
	go func() {
		out.verdict = o.post(order, fence)
		o.outcomes.Push(out)
	}()
}

func (o *Orders) post(order planner.Order, fence uint64) planner.Verdict {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	raw, _ := json.Marshal(body{order.Kind, order.Model, order.Version, fence}) // always encodes
	req.SetRequestURI("http://" + order.Target.Address + "/orders")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	if err := o.client.DoTimeout(req, resp, orderTimeout); err != nil {
		return planner.Failed
	}
	switch code := resp.StatusCode(); {
	case code >= 200 && code < 300:
		return planner.Accepted
	case code == fasthttp.StatusConflict:
		return planner.Stale
	}
	return planner.Failed
}

// finish applies the end of an order or of a request for a token.
func (o *Orders) finish(out outcome) {
	isToken := out.token != 0 || out.tokenFailed
	if !isToken {
		o.inFlight--
	}
	own, ok := o.pools[out.pool]
	if !ok || own.epoch != out.epoch {
		return
	}
	if isToken {
		own.asking = false
		if out.token > own.token {
			own.token = out.token
			own.planner.Renewed()
		}
		return
	}
	own.planner.Done(o.kernel.Clock.Now(), out.order, out.verdict)
	o.count(out, own.token)
}

func (o *Orders) count(out outcome, token uint64) {
	event := kernel.Event{
		Kind: "order", Step: string(out.order.Kind), Pool: out.pool, Target: out.order.Target.Name, Epoch: token,
	}
	switch out.verdict {
	case planner.Failed:
		o.failed.Inc()
		event.Detail = "failed"
	case planner.Stale:
		o.stale.Inc()
		event.Detail = "refused: stale fencing token"
	}
	o.kernel.Events.Record(event)
}
