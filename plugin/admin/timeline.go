package admin

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/kernel"
)

const (
	// methodEvents is the RPC method that reads the events of a peer.
	methodEvents = "events.read"
	// eventsTimeout bounds the wait for the events of peers. A slower peer is reported as
	// missing. It is shorter than the timeout of the admin client.
	eventsTimeout = time.Second
)

// handleEvents returns the matching local events to a peer that merges the timeline.
func (a *Admin) handleEvents(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var f adminapi.Filter
	if err := json.Unmarshal(params, &f); err != nil {
		return nil, errors.Wrap(err, "read filter")
	}
	return a.localEvents(f), nil
}

// localEvents returns the events of this instance that match a filter, and how many were
// overwritten.
func (a *Admin) localEvents(f adminapi.Filter) adminapi.InstanceEvents {
	all, dropped := a.kernel.Events.Read()
	out := adminapi.InstanceEvents{
		Instance: a.kernel.Settings.Instance, Events: []kernel.Event{}, Dropped: dropped,
	}
	for _, e := range all {
		if f.Match(e) {
			out.Events = append(out.Events, e)
		}
	}
	return out
}

// serveEvents responds with the timeline of all instances, filtered by the query arguments.
func (a *Admin) serveEvents(r *fasthttp.RequestCtx) {
	f := adminapi.Filter{
		Kind:      string(r.QueryArgs().Peek("kind")),
		Workspace: string(r.QueryArgs().Peek("workspace")),
		Target:    string(r.QueryArgs().Peek("target")),
		Request:   string(r.QueryArgs().Peek("request")),
	}
	var errSince, errUntil error
	f.SinceMs, errSince = queryInt(r, "since_ms", 0)
	f.UntilMs, errUntil = queryInt(r, "until_ms", 0)
	if errSince != nil || errUntil != nil {
		writeError(r, fasthttp.StatusBadRequest, "events", "since_ms and until_ms want Unix milliseconds")
		return
	}
	writeJSON(r, a.collectTimeline(f))
}

// collectTimeline reads the events of all instances in parallel and merges them. Peers
// that fail or exceed eventsTimeout are listed as missing.
func (a *Admin) collectTimeline(f adminapi.Filter) adminapi.Timeline {
	ctx, cancel := context.WithTimeout(context.Background(), eventsTimeout)
	defer cancel()
	parts := []adminapi.InstanceEvents{a.localEvents(f)}
	var missing []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, peer := range a.mesh.Peers() {
		wg.Go(func() {
			var part adminapi.InstanceEvents
			err := a.mesh.Call(ctx, peer, methodEvents, f, &part)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, peer)
				return
			}
			parts = append(parts, part)
		})
	}
	wg.Wait()
	sort.Strings(missing)
	return mergeTimeline(parts, missing)
}

// mergeTimeline merges the events of several instances in the order of their hybrid logical
// clock stamps, then by instance. The order is causal: a stamp is greater than any stamp
// that its instance had received before.
func mergeTimeline(parts []adminapi.InstanceEvents, missing []string) adminapi.Timeline {
	out := adminapi.Timeline{Events: []kernel.Event{}, Missing: missing, Dropped: map[string]uint64{}}
	for _, p := range parts {
		out.Events = append(out.Events, p.Events...)
		if p.Dropped > 0 {
			out.Dropped[p.Instance] = p.Dropped
		}
	}
	sort.SliceStable(out.Events, func(i, j int) bool {
		a, b := out.Events[i], out.Events[j]
		if a.Stamp != b.Stamp {
			return a.Stamp.Less(b.Stamp)
		}
		return a.Instance < b.Instance
	})
	return out
}
