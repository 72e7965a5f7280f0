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
	// methodEvents reads the events of a peer.
	methodEvents = "events.read"
	// eventsLimit bounds the wait for a peer's events. A peer that is slower
	// is reported as missing. It is shorter than the client's wait for an answer.
	eventsLimit = time.Second
)

// handleEvents answers a peer that merges the time line.
func (a *Admin) handleEvents(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var f adminapi.Filter
	if err := json.Unmarshal(params, &f); err != nil {
		return nil, errors.Wrap(err, "read filter")
	}
	return a.local(f), nil
}

func (a *Admin) local(f adminapi.Filter) adminapi.InstanceEvents {
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

func (a *Admin) serveEvents(r *fasthttp.RequestCtx) {
	f := adminapi.Filter{
		Kind:      string(r.QueryArgs().Peek("kind")),
		Workspace: string(r.QueryArgs().Peek("workspace")),
		Target:    string(r.QueryArgs().Peek("target")),
		Request:   string(r.QueryArgs().Peek("request")),
	}
	var errSince, errUntil error
	f.SinceMs, errSince = intArg(r, "since_ms", 0)
	f.UntilMs, errUntil = intArg(r, "until_ms", 0)
	if errSince != nil || errUntil != nil {
		fail(r, fasthttp.StatusBadRequest, "events", "since_ms and until_ms want Unix milliseconds")
		return
	}
	reply(r, a.merge(f))
}

// merge asks all instances at once and sorts by hybrid logical clock; a stamp
// never precedes a stamp its instance had received before.
func (a *Admin) merge(f adminapi.Filter) adminapi.Timeline {
	ctx, cancel := context.WithTimeout(context.Background(), eventsLimit)
	defer cancel()
	parts := []adminapi.InstanceEvents{a.local(f)}
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
	return mergeParts(parts, missing)
}

func mergeParts(parts []adminapi.InstanceEvents, missing []string) adminapi.Timeline {
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
