package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

const (
	// fetchInterval is how often the revisions that peers report are compared.
	fetchInterval = 100 * time.Millisecond
	// fetchLimit bounds one fetch of a view.
	fetchLimit = 3 * time.Second
)

// newsParams tells that a revision is committed.
type newsParams struct {
	Revision uint64 `json:"revision"`
}

// fetchParams asks for a view newer than the known one.
type fetchParams struct {
	Revision uint64 `json:"revision"`
}

// viewCache holds the encoded form of the newest view, which all instances fetch
// at about the same time.
type viewCache struct {
	mu       sync.Mutex
	revision uint64
	raw      json.RawMessage
}

func (vc *viewCache) encode(v *api.View) (json.RawMessage, error) {
	vc.mu.Lock()
	defer vc.mu.Unlock()
	if vc.raw != nil && vc.revision == v.Revision {
		return vc.raw, nil
	}
	raw, err := json.Marshal(v)
	if err == nil {
		vc.revision, vc.raw = v.Revision, raw
	}
	return raw, errors.WithMessage(err, "control: encode view")
}

// handleFetch returns the view of this instance, or only its revision if the
// caller has it.
func (c *Control) handleFetch(_ context.Context, from string, params json.RawMessage) (any, error) {
	var p fetchParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.WithMessagef(err, "%s from %s", methodFetch, from)
	}
	v := c.fleet.View()
	if v.Revision <= p.Revision {
		return &api.View{Revision: v.Revision}, nil
	}
	return c.views.encode(v)
}

func (c *Control) handleNews(_ context.Context, from string, params json.RawMessage) (any, error) {
	var p newsParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.WithMessagef(err, "%s from %s", methodNews, from)
	}
	if p.Revision > c.fleet.View().Revision {
		c.news.Push(from)
	}
	return nil, nil
}

// fetchViews fetches the view whenever a peer has a newer one.
func (c *Control) fetchViews(ctx context.Context) error {
	t := time.NewTicker(fetchInterval)
	defer t.Stop()
	for {
		from := ""
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from = <-c.news.C():
		case <-t.C:
			from = c.aheadPeer()
		}
		if from != "" {
			c.fetch(ctx, from)
		}
	}
}

// aheadPeer returns the peer with the newest view above the own one, or "".
func (c *Control) aheadPeer() string {
	best, newest := "", c.fleet.View().Revision
	for _, p := range c.mesh.Peers() {
		if r := c.lease.Revision(p); r > newest {
			best, newest = p, r
		}
	}
	return best
}

func (c *Control) fetch(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	var v api.View
	if err := c.mesh.Call(ctx, from, methodFetch, fetchParams{c.fleet.View().Revision}, &v); err != nil {
		return // the next round asks again
	}
	c.metrics.fetches.Inc()
	if v.Config != nil {
		c.fleet.Install(&v)
	}
}
