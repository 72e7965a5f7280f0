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

// attempt is one attempt of a caller and what came of it.
type attempt struct {
	call   standin.Call
	route  standin.Route
	entry  *node
	sentAt time.Time
	answer standin.Answer
	// planned tells that a planned stop of the entry was under way, or began
	// meanwhile.
	left bool // the caller left before the answer
}

// callers play the load and keep what they saw.
type callers struct {
	w       *world
	clients []*http.Client
	wg      sync.WaitGroup

	mu       sync.Mutex
	attempts []*attempt
	number   int
}

// connections is the number of callers with connections of their own.
const connections = 24

func newCallers(w *world) *callers {
	c := &callers{w: w}
	for range connections {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}})
	}
	return c
}

// play sends requests at random times until the context ends, and waits for the
// answers. Callers keep to entries that are ready, and go on using connections to
// others until these are closed.
func (c *callers) play(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.w.opt.Seed, 2))
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.w.opt.RequestsPerS * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		a := c.next(rng)
		client := c.clients[rng.IntN(len(c.clients))]
		c.wg.Go(func() { c.do(a, client) })
	}
	c.wg.Wait()
}

// next draws a request.
func (c *callers) next(rng *rand.Rand) *attempt {
	c.number++
	routes := c.w.config.Routes
	r := routes[rng.IntN(4)]
	a := &attempt{route: r, entry: c.w.entries()[rng.IntN(c.w.opt.Entries)], left: rng.IntN(40) == 0}
	a.call = standin.Call{
		ID: fmt.Sprintf("%x-%d", c.w.opt.Seed, c.number), Host: r.Host, Path: r.Prefix + fmt.Sprint(c.number), Method: http.MethodPost,
		Deadline: time.Duration(r.TimeoutMs) * time.Millisecond,
	}
	if r.Kind == "idempotent" {
		a.call.Method = http.MethodGet
	}
	if !r.Public {
		keys := []string{"key-small", "key-large-1", "key-large-2", "key-large-1", "key-large-2", "key-other"}
		a.call.Key = keys[rng.IntN(len(keys))]
	}
	if r.Kind == "streaming" {
		thing := rng.IntN(20)
		a.call.MaxOutput = 200
		a.call.Prompt = []standin.Part{
			{ID: "a1", Tokens: 100}, {ID: fmt.Sprintf("b%d", thing), Tokens: 800}, {ID: fmt.Sprintf("c%d", c.number), Tokens: 200 + rng.IntN(1500)},
		}
		a.call.Body = make([]byte, 2000)
	}
	return a
}

func (c *callers) do(a *attempt, client *http.Client) {
	ctx := context.Background()
	if a.left {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
	}
	a.sentAt = time.Now()
	a.answer = a.call.Do(ctx, client, a.entry.address(listenPort))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

func (c *callers) all() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.attempts...)
}
