package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxCacheEvents = 1024

// CacheEvent tells that an engine stored a prompt prefix.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	AtMs   int64  `json:"at_ms"`
}

// cacheLog publishes cache events late and leaves out every gap-th one.
type cacheLog struct {
	lag time.Duration
	gap uint64

	mu     sync.Mutex
	seq    uint64
	events []CacheEvent
}

func newCacheLog(s Spec) *cacheLog {
	return &cacheLog{lag: time.Duration(s.CacheLagMs) * time.Millisecond, gap: uint64(max(2, s.CacheGap))}
}

func (c *cacheLog) add(now time.Time, prefix uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	if c.seq%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{c.seq, "stored", strconv.FormatUint(prefix, 16), now.UnixMilli()})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

func (c *cacheLog) serve(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	writeJSON(ctx, map[string]any{"events": c.since(time.Now(), after)})
}

func (c *cacheLog) since(now time.Time, after uint64) []CacheEvent {
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
