package forward

import (
	"sync"

	"nutmegrouter/internal/api"
)

// outputWeight is the share of the newest stream in a route's mean length.
const outputWeight = 0.05

// outputs keeps the mean length of the streams of each route, in tokens. What
// callers state is only a bound.
type outputs struct {
	mu    sync.Mutex
	means map[string]float64 // by route name
}

func newOutputs() *outputs { return &outputs{means: map[string]float64{}} }

// note counts a whole stream.
func (o *outputs) note(r *api.ForwardRequest, events int) {
	if r.Engine == nil || r.Engine.EventTokens <= 0 || r.Fields.After != "" {
		return
	}
	tokens := float64(events * r.Engine.EventTokens)
	o.mu.Lock()
	defer o.mu.Unlock()
	if mean, ok := o.means[r.Route.Name]; ok {
		tokens = mean + outputWeight*(tokens-mean)
	}
	o.means[r.Route.Name] = tokens
}

// guess returns the tokens that a request probably generates: the route's mean,
// or a part of the caller's bound while none is known. A caller's own hint is
// often far off, so it counts as much as the mean.
func (o *outputs) guess(r *api.ForwardRequest) int {
	const boundShare = 0.4 // of the bound, before the first stream has ended
	o.mu.Lock()
	mean, ok := o.means[r.Route.Name]
	o.mu.Unlock()
	if !ok {
		mean = boundShare * float64(r.Fields.OutputTokens)
	}
	if r.Fields.OutputHint > 0 {
		mean = (mean + float64(r.Fields.OutputHint)) / 2
	}
	if r.Fields.OutputTokens > 0 {
		mean = min(mean, float64(r.Fields.OutputTokens))
	}
	return int(mean)
}
