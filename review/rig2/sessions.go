//go:build review

package main

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of sessions. The dose of the disruption is that of "hot_tenant" in the site file: x 7.5,
// for 6.5 s.
const (
	sessionReplicas = 4
	sessionSlots    = 12
	sessionTenants  = 4
	usualSessions   = 10              // of each tenant
	hotTenths       = 99              // tenths of its usual that one tenant sends for hotTime
	sessionInterval = 2 * time.Second // between two requests of a session, 3/4 to 5/4 of it
	hotTime         = 8 * time.Second
	usualTime       = 8 * time.Second // before the disruption
	settleTime      = 8 * time.Second // after it, until seconds count as calm
	calmTime        = 25 * time.Second
	sessionEvents   = 88 // of a stream
	eventInterval   = 20 * time.Millisecond
	sessionAim      = 400 * time.Millisecond
	sessionDeadline = 12 * time.Second
	sessionUsage    = "900,420" // prompt tokens, limit of generated ones
	fairWindow      = 6         // seconds
	fairSpare       = 3         // largest requests that are taken off
)

// second is what one tenant asked and got in one second.
type second struct{ asked, got, unwell int }

// fairLog has the seconds of all tenants.
type fairLog struct {
	mu      sync.Mutex
	start   time.Time
	seconds map[string][]second
}

func (l *fairLog) at(tenant string, t time.Time, f func(*second)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := int(t.Sub(l.start).Seconds())
	for len(l.seconds[tenant]) <= i {
		l.seconds[tenant] = append(l.seconds[tenant], second{})
	}
	f(&l.seconds[tenant][i])
}

// breaks returns the first span of fairWindow seconds from a second on in which the rule FAIR is broken for a tenant.
func (l *fairLog) breaks(from, to int) (found bool, tenant string, begin int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	value := func(tenant string, s int) second {
		if s < len(l.seconds[tenant]) {
			return l.seconds[tenant][s]
		}
		return second{}
	}
	for name := range l.seconds {
		for b := from; b+fairWindow <= to; b++ {
			unwell, got, bound := true, 0, 0.0
			for s := b; s < b+fairWindow; s++ {
				own, best := value(name, s), 0
				for other := range l.seconds {
					best = max(best, value(other, s).got)
				}
				unwell = unwell && own.unwell > 0
				got += own.got
				bound += math.Min(float64(own.asked), float64(best))
			}
			if unwell && float64(got) < 0.5*bound-fairSpare {
				return true, name, b
			}
		}
	}
	return false, "", 0
}

// startStreams starts a small fleet with replicas that answer with streams, and tenants with one key each. most is the
// highest number of runs at once.
func startStreams(rec *record, tenantCount int) (f *fleet, log *fairLog, most *atomic.Int64, err error) {
	f, err = newFleet(rec, 3, 2)
	if err != nil {
		return nil, nil, nil, err
	}
	f.config = configuration(1)
	f.config["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["slots"] = sessionSlots
	var tenants []any
	for i := range tenantCount {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant%d", i), "api_keys": []string{fmt.Sprintf("key-of-tenant-%d", i)}, "priority": 1})
	}
	f.config["tenants"] = tenants
	log = &fairLog{seconds: map[string][]second{}}
	var running atomic.Int64
	most = &atomic.Int64{}
	serve := func(r *replica, c net.Conn, req *http.Request, body []byte) bool {
		id := req.Header.Get("X-Attempt-Id")
		if r.running.Add(1) > int64(r.slots) {
			r.running.Add(-1)
			writeAnswer(c, 503, map[string]string{"X-Attempt-Id": id, "X-Not-Executed": "1"}, nil)
			return true
		}
		defer r.running.Add(-1)
		now := running.Add(1)
		defer running.Add(-1)
		if now > most.Load() {
			most.Store(now)
		}
		log.at(req.Header.Get("X-Tenant"), time.Now(), func(s *second) { s.got++ })
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\n\r\n", id, stamp(r.id, id))
		for i := 1; i <= sessionEvents; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(eventInterval)
		}
		_, err := c.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
	for i := range sessionReplicas {
		r, err := startReplica(f, fmt.Sprintf("i-%d", i), "tiza", zones[i], sessionSlots, serve)
		if err != nil {
			f.close()
			return nil, nil, nil, err
		}
		f.replicas = append(f.replicas, r)
	}
	if err := f.startAll(); err != nil {
		f.close()
		return nil, nil, nil, err
	}
	return f, log, most, nil
}

// sessions has clients with sessions ask again and again, and one tenant send 9.9 times its usual for a while.
func sessions(rec *record, trouble bool) (bool, error) {
	f, log, most, err := startStreams(rec, sessionTenants)
	if err != nil {
		return false, err
	}
	defer f.close()
	log.start = time.Now()
	hotFrom := log.start.Add(usualTime)
	hotTo := hotFrom.Add(hotTime)
	end := hotTo.Add(settleTime + calmTime)
	isHot := func(tenant int) bool {
		now := time.Now()
		return trouble && tenant == 0 && now.After(hotFrom) && now.Before(hotTo)
	}
	client := &http.Client{Timeout: sessionDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var wg sync.WaitGroup
	// Each session sends a request in each interval, whether or not the last one has been answered.
	for t := range sessionTenants {
		for n := range usualSessions {
			wg.Go(func() {
				time.Sleep(sessionInterval * time.Duration(n) / usualSessions)
				for k := 0; time.Now().Before(end); k++ {
					m := modelRequest{t, fmt.Sprintf("%d%02d%08d", t, n, k), fmt.Sprintf("e440%02x%02x:400", t, n), sessionDeadline}
					wg.Go(func() { m.ask(rec, log, client, f.entries[k%len(f.entries)]) })
					pause := sessionInterval*3/4 + time.Duration(rand.Int64N(int64(sessionInterval/2)))
					if isHot(t) {
						pause = pause * 10 / hotTenths
					}
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
	from, to := int((usualTime + hotTime + settleTime).Seconds()), int(end.Sub(log.start).Seconds())-1
	return log.report(rec, from, to, most.Load()), nil
}

// report writes what each tenant asked and got into the record, and reports whether FAIR is broken between two seconds.
func (l *fairLog) report(rec *record, from, to int, most int64) bool {
	found, tenant, begin := l.breaks(from, to)
	for _, name := range slices.Sorted(maps.Keys(l.seconds)) {
		for s, v := range l.seconds[name] {
			rec.note("check", name, fmt.Sprintf("second %d: asked %d, began %d, refused or past the aim %d", s, v.asked, v.got, v.unwell))
		}
	}
	summary := fmt.Sprintf("FAIR holds in the calm seconds %d to %d", from, to)
	if found {
		summary = fmt.Sprintf("FAIR broken for %s in the six calm seconds from %d on", tenant, begin)
	}
	rec.note("check", "summary", summary)
	fmt.Println(summary, "- most runs at once:", most, "of", sessionReplicas*sessionSlots)
	return found
}

// modelRequest is one request of a tenant for a stream.
type modelRequest struct {
	tenant   int
	id       string
	lastPart string // of the prompt, with its tokens
	deadline time.Duration
}

// ask sends a request to an entry, reads its stream and records how it went.
func (m modelRequest) ask(rec *record, log *fairLog, client *http.Client, e *process) {
	name := fmt.Sprintf("tenant%d", m.tenant)
	sent := time.Now()
	log.at(name, sent, func(s *second) { s.asked++ })
	req, err := http.NewRequest(http.MethodPost, "http://"+e.front()+"/chat/"+m.id, nil)
	if err != nil {
		return
	}
	req.Host = "fleet.example"
	for k, v := range map[string]string{
		"X-Attempt-Id": m.id, "X-Deadline-Ms": fmt.Sprint(m.deadline.Milliseconds()), "Authorization": fmt.Sprintf("Bearer key-of-tenant-%d", m.tenant),
		"X-Model": "m", "X-Token-Usage": sessionUsage,
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,91bd3f%02x:200,%s", m.tenant, m.lastPart),
	} {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	unwell, text := true, ""
	if err == nil {
		first := make([]byte, 1)
		_, err = resp.Body.Read(first)
		unwell = resp.StatusCode != http.StatusOK || time.Since(sent) > sessionAim
		text = fmt.Sprintf("%d after %d ms", resp.StatusCode, time.Since(sent).Milliseconds())
		rest := make([]byte, 4096)
		for err == nil {
			_, err = resp.Body.Read(rest)
		}
		resp.Body.Close()
	} else {
		text = err.Error()
	}
	if unwell {
		log.at(name, sent, func(s *second) { s.unwell++ })
	}
	rec.note("client", name, fmt.Sprintf("id=%s deadline %d ms, last part %s, sent at %.3f s: %s", m.id, m.deadline.Milliseconds(), m.lastPart, sent.Sub(rec.start).Seconds(), text))
}
