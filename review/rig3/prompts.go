//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// class is a kind of request of the sheet of rayuela-uio.
type class struct {
	name        string
	perSecond   float64
	shared, own int // prompt tokens
	things      int // different shared prompts
	partTokens  int // tokens of a part where prompts have many
	deadline    time.Duration
	events      int
	prefix      string
	outTokens   int
}

var classes = []class{
	{name: "counter-chat", perSecond: 91.3, shared: 198, own: 628, things: 64, partTokens: 1, deadline: 12 * time.Second, events: 49, prefix: "/chat/", outTokens: 294},
	{name: "wear-tag", perSecond: 83.4, shared: 568, own: 1800, things: 96, partTokens: 2, deadline: 3 * time.Second, events: 4, prefix: "/tag/", outTokens: 24},
}

const (
	engineCount  = 18
	engineSlots  = 64
	settleTime   = 2 * time.Second
	eventGap     = 10 * time.Millisecond
	trafficTime  = 85 * time.Second
	checkTime    = 100 * time.Millisecond // between two looks at the memory of the processes
	restartDelay = 500 * time.Millisecond
)

// prompts sends prompts of many small parts, or of three parts each without trouble, and plays the platform: it kills a
// process that uses more than its memory_mb, and starts it again. The rule is broken if processes of two machines or more
// ended, and three times or more.
func prompts(trouble bool, rec *record) (held bool, err error) {
	f, err := newFleet(7)
	if err != nil {
		return false, err
	}
	defer f.close()
	events := func(path string) int {
		for _, c := range classes {
			if strings.HasPrefix(path, c.prefix) {
				return c.events
			}
		}
		return 0
	}
	for n := range engineCount {
		if err := f.addTarget(fmt.Sprintf("i-llm-%d", n), "tiza-llm", dataCentres[n%len(dataCentres)], engineSlots, events, eventGap); err != nil {
			return false, err
		}
	}
	if err := f.startAll(document()); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), trafficTime)
	defer cancel()
	var ends map[string]int
	var platformErr error
	var wg sync.WaitGroup
	wg.Go(func() { ends, platformErr = f.platform(ctx, rec) })
	counts := counter{counts: map[string]int{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128, IdleConnTimeout: 10 * time.Second}}
	for _, c := range classes {
		wg.Go(func() { c.send(ctx, f, client, trouble, &counts) })
	}
	wg.Wait()
	if platformErr != nil {
		return false, platformErr
	}
	rec.printf("sent and answered: %s\nrun by the engines: %d\n", counts.String(), f.runs())
	total := 0
	for _, name := range slices.Sorted(maps.Keys(ends)) {
		rec.printf("%s ended by itself or used more than its memory_mb %d times\n", name, ends[name])
		total += ends[name]
	}
	return len(ends) < 2 || total < 3, nil
}

// document returns a configuration with the sheet's routes, engines and limits.
func document() []byte {
	route := func(name string, c class, timeout int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "fleet.example", "path_prefix": c.prefix, "route_type": "streaming", "timeout_ms": timeout,
			"target_latency_ms": 400, "priority": 1, "service": "tiza-llm", "max_attempts": 1, "public": false, "sticky": true,
			"resumable": false, "target_gap_ms": 300,
		}
	}
	var tenants []any
	for n, key := range keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", n+1), "api_keys": []string{key}, "priority": 1})
	}
	raw, _ := json.Marshal(map[string]any{ // plain values only
		"version": 1, "tenants": tenants,
		"routes": []any{route("r-chat", classes[0], 12000), route("r-tag", classes[1], 3000)},
		"services": []any{map[string]any{
			"name": "tiza-llm", "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 3, "cold_per_s": 10,
			"engine": map[string]any{
				"slots": engineSlots, "kv_capacity": 406682, "kv_token_bytes": 18432, "link_mbps": 180000, "moves": true, "backups": true, "stride": 6,
				"most": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 410000},
	})
	return raw
}

// send sends requests of a class until the context ends, and waits for their answers.
func (c *class) send(ctx context.Context, f *fleet, client *http.Client, trouble bool, counts *counter) {
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / c.perSecond * float64(time.Second)))))
		wg.Go(func() { counts.add(c.name + " " + c.request(f, client, n, trouble)) })
	}
	wg.Wait()
}

// request sends one request and returns what came back.
func (c *class) request(f *fleet, client *http.Client, n int, trouble bool) string {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	entry := f.entries[n%len(f.entries)]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.at(listenPort)+c.prefix+fmt.Sprint(n), strings.NewReader("prompt"))
	if err != nil {
		return "no request"
	}
	r.Host = "fleet.example"
	r.Header.Set("X-Attempt-Id", fmt.Sprintf("%s-%d", c.name, n))
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+keys[n%len(keys)])
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", c.shared+c.own, c.outTokens))
	r.Header.Set("X-Prompt-Prefix", c.prompt(trouble))
	resp, err := client.Do(r)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(resp.StatusCode)
}

// prompt returns the parts of a prompt: a shared prefix and new parts. The tokens are the same with and without trouble.
func (c *class) prompt(trouble bool) string {
	thing := rand.IntN(c.things)
	var b strings.Builder
	add := func(id uint32, tokens int) {
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%08x:%d", id, tokens)
	}
	sharedID := func(i int) uint32 { return uint32(c.shared)<<20 | uint32(thing)<<12 | uint32(i) }
	if !trouble {
		add(sharedID(0), c.shared)
		add(rand.Uint32(), c.own/2)
		add(rand.Uint32(), c.own-c.own/2)
		return b.String()
	}
	for i := range c.shared / c.partTokens {
		add(sharedID(i), c.partTokens)
	}
	for range c.own / c.partTokens {
		add(rand.Uint32(), c.partTokens)
	}
	return b.String()
}

// platform kills processes that use more than their memory and starts ended ones again. It returns how often
// processes ended, by instance.
func (f *fleet) platform(ctx context.Context, rec *record) (ends map[string]int, err error) {
	begin := time.Now()
	ends = map[string]int{}
	peak := map[string]float64{}
	nextLine := time.Duration(0)
	for ; ctx.Err() == nil; time.Sleep(checkTime) {
		for _, i := range f.instances() {
			mb := i.residentMB()
			peak[i.name] = max(peak[i.name], mb)
			if i.running() && mb <= i.memoryMB {
				continue
			}
			ends[i.name]++
			rec.printf("%5.1f s: %s has ended or uses %.0f MB of %.0f MB, and is killed and started again\n", time.Since(begin).Seconds(), i.name, mb, i.memoryMB)
			i.kill()
			time.Sleep(restartDelay)
			if err := f.start(i); err != nil {
				return ends, err
			}
		}
		if time.Since(begin) < nextLine {
			continue
		}
		nextLine += 10 * time.Second
		rec.printf("%5.1f s: peak MB", time.Since(begin).Seconds())
		for _, i := range f.instances() {
			rec.printf(" %s %.0f", i.name, peak[i.name])
		}
		rec.printf("\n")
	}
	return ends, nil
}

// counter counts results by name.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

func (c *counter) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		out = append(out, fmt.Sprintf("%s: %d", name, c.counts[name]))
	}
	return strings.Join(out, ", ")
}
