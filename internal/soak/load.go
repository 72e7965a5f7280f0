package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"nutmegrouter/platform/standin"
)

// request is one request of a caller and the response to it.
type request struct {
	call        standin.Call
	route       standin.Route
	entry       *instance
	sentAt      time.Time
	response    standin.Response
	disconnects bool // the caller disconnects 100 ms after sending
	deadly      bool // crashes the targets that run it
}

// loadGenerator sends requests to the entry instances and records the responses.
type loadGenerator struct {
	harness *harness
	clients []*http.Client
	wg      sync.WaitGroup

	mu        sync.Mutex
	requests  []*request
	generated int
}

// clientCount is the number of HTTP clients, each with its own connection pool.
const clientCount = 24

func newLoadGenerator(h *harness) *loadGenerator {
	g := &loadGenerator{harness: h}
	for range clientCount {
		g.clients = append(g.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}})
	}
	return g
}

// run sends requests with exponentially distributed gaps until the context ends,
// and waits for the responses. Each request goes to a random entry instance, ready
// or not, over a random client.
func (g *loadGenerator) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.harness.opt.Seed, 2))
	nextAt := time.Now()
	for ctx.Err() == nil {
		nextAt = nextAt.Add(time.Duration(rng.ExpFloat64() / g.harness.opt.RequestsPerS * float64(time.Second)))
		if wait := time.Until(nextAt); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		req := g.newRequest(rng)
		client := g.clients[rng.IntN(len(g.clients))]
		g.wg.Go(func() { g.send(req, client) })
	}
	g.wg.Wait()
}

// sessions is the number of sessions of model requests, each with one last prompt part.
const sessions = 30

// newRequest returns a random request to one of the four base routes. Model requests
// have a prompt of one part that all share, one of 20 parts that some share, and a last
// one of their own or, every other time, of one of 30 sessions. One request in 40 disconnects.
func (g *loadGenerator) newRequest(rng *rand.Rand) *request {
	g.generated++
	routes := g.harness.config.Routes
	route := routes[rng.IntN(4)]
	req := &request{route: route, entry: g.harness.entryInstances()[rng.IntN(g.harness.opt.Entries)], disconnects: rng.IntN(40) == 0}
	req.call = standin.Call{
		ID: fmt.Sprintf("%x-%d", g.harness.opt.Seed, g.generated), Host: route.Host, Path: route.Prefix + fmt.Sprint(g.generated), Method: http.MethodPost,
		Deadline: time.Duration(route.TimeoutMs) * time.Millisecond,
	}
	if route.Kind == "idempotent" {
		req.call.Method = http.MethodGet
	}
	if !route.Public {
		keys := []string{"key-small", "key-large-1", "key-large-2", "key-large-1", "key-large-2", "key-other"}
		req.call.APIKey = keys[rng.IntN(len(keys))]
	}
	if route.Kind == "streaming" {
		sharedBlock, last := rng.IntN(20), standin.Part{ID: fmt.Sprintf("c%d", g.generated), Tokens: 200 + rng.IntN(1500)}
		if session := rng.IntN(2 * sessions); session < sessions {
			sharedBlock, last = session%20, standin.Part{ID: fmt.Sprintf("d%d", session), Tokens: 600}
		}
		req.call.MaxOutput = 200
		req.call.Prompt = []standin.Part{{ID: "a1", Tokens: 100}, {ID: fmt.Sprintf("b%d", sharedBlock), Tokens: 800}, last}
		req.call.Body = make([]byte, 2000)
	}
	return req
}

// sendDeadly sends a request to a route that crashes the targets that run it. All such requests with one
// path are the same but for their IDs.
func (g *loadGenerator) sendDeadly(route standin.Route, path string, prompt []standin.Part, rng *rand.Rand) {
	req := &request{route: route, entry: g.harness.entryInstances()[rng.IntN(g.harness.opt.Entries)], deadly: true}
	req.call = standin.Call{
		ID: fmt.Sprintf("%x-deadly-%x", g.harness.opt.Seed, rng.Uint64()), Host: route.Host, Path: path, Method: http.MethodPost,
		Deadline: time.Duration(route.TimeoutMs) * time.Millisecond, Body: []byte("the same each time"),
	}
	if !route.Public {
		req.call.APIKey = "key-small"
	}
	if route.Kind == "streaming" {
		req.call.MaxOutput, req.call.Prompt = 200, prompt
	}
	client := g.clients[rng.IntN(len(g.clients))]
	g.wg.Go(func() { g.send(req, client) })
}

// send sends the request and records it when its response has ended.
func (g *loadGenerator) send(req *request, client *http.Client) {
	ctx := context.Background()
	if req.disconnects {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
	}
	req.sentAt = time.Now()
	req.response = req.call.Do(ctx, client, req.entry.address(listenPort))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests = append(g.requests, req)
}

// recorded returns the requests whose responses have ended.
func (g *loadGenerator) recorded() []*request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*request(nil), g.requests...)
}
