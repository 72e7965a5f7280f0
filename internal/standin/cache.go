package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxCacheEvents = 1024 // kept for GET /cache/events

// CacheEvent reports that an engine stored a prompt prefix in its prompt cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`    // from 1; dropped events leave gaps
	Kind   string `json:"kind"`   // stored
	Prefix string `json:"prefix"` // Seed of the request body, hexadecimal
	AtMs   int64  `json:"at_ms"`  // Unix ms
}

// cacheLog publishes prompt cache events with a delay and drops every dropEvery-th one.
type cacheLog struct {
	lag       time.Duration
	dropEvery uint64

	mu     sync.Mutex
	seq    uint64
	events []CacheEvent
}

func newCacheLog(s Spec) *cacheLog {
	return &cacheLog{lag: time.Duration(s.CacheLagMs) * time.Millisecond, dropEvery: uint64(max(2, s.CacheGap))}
}

func (c *cacheLog) add(now time.Time, prefix uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	if c.seq%c.dropEvery == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{c.seq, "stored", strconv.FormatUint(prefix, 16), now.UnixMilli()})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

func (c *cacheLog) serve(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	writeJSON(ctx, map[string]any{"events": c.eventsAfter(time.Now(), after)})
}

// eventsAfter returns the events with a sequence number above after that are at least one
// lag old at now.
func (c *cacheLog) eventsAfter(now time.Time, after uint64) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > after && e.AtMs <= now.Add(-c.lag).UnixMilli() {
			out = append(out, e)
		}
	}
	return out
}
