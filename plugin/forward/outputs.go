package forward

import (
	"sync"

	"nutmegrouter/internal/api"
)

// newestStreamWeight is the weight of the newest stream in the exponentially weighted
// mean length of a route's streams.
const newestStreamWeight = 0.05

// outputEstimator predicts how many tokens a request generates, from the mean length of
// its route's streams. The limit that a caller states is only an upper bound. It is safe
// for concurrent use.
type outputEstimator struct {
	mu         sync.Mutex
	meanTokens map[string]float64 // mean stream length by route name
}

func newOutputEstimator() *outputEstimator { return &outputEstimator{meanTokens: map[string]float64{}} }

// recordStream adds a complete stream to the mean of its route. Resumed streams and
// requests without tokens are ignored.
func (o *outputEstimator) recordStream(r *api.ForwardRequest, events int) {
	if r.Engine == nil || r.Engine.EventTokens <= 0 || r.Fields.LastEventID != "" {
		return
	}
	tokens := float64(events * r.Engine.EventTokens)
	o.mu.Lock()
	defer o.mu.Unlock()
	if mean, ok := o.meanTokens[r.Route.Name]; ok {
		tokens = mean + newestStreamWeight*(tokens-mean)
	}
	o.meanTokens[r.Route.Name] = tokens
}

// estimate returns the number of tokens that a request probably generates: the route's
// mean, or a share of the caller's limit before the first stream has ended. A caller's
// hint is often far off, so it is averaged with the mean.
func (o *outputEstimator) estimate(r *api.ForwardRequest) int {
	const limitShare = 0.4 // of the caller's limit
	o.mu.Lock()
	mean, ok := o.meanTokens[r.Route.Name]
	o.mu.Unlock()
	if !ok {
		mean = limitShare * float64(r.Fields.MaxOutputTokens)
	}
	if r.Fields.OutputTokensHint > 0 {
		mean = (mean + float64(r.Fields.OutputTokensHint)) / 2
	}
	if r.Fields.MaxOutputTokens > 0 {
		mean = min(mean, float64(r.Fields.MaxOutputTokens))
	}
	return int(mean)
}
