//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	keptKey    = "asnmgkcuyj8pjbvk9m68" // the last key that the operator takes away
	unknownKey = "zz0no0configuration0" // held by no configuration
	applyTime  = 2 * time.Second        // config_apply_ms
	askedTimes = 20                     // requests with each key and to each entry
	askPause   = 10 * time.Millisecond  // between two of them
)

// lastTenant has the operator take away the last tenant; without the disruption the second version changes
// nothing but its number. Requests with a key that no configuration ever held must not run at any time, and
// those with a key that was taken away not later than config_apply_ms after the acknowledgement.
func lastTenant(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	withTenant := func(version int, tenants []any) map[string]any {
		c := configuration(version)
		c["tenants"] = tenants
		for _, r := range c["routes"].([]any) {
			r.(map[string]any)["public"] = false
		}
		return c
	}
	one := []any{map[string]any{"name": "hule930", "api_keys": []string{keptKey}, "priority": 1}}
	f.config = withTenant(1, one)
	var mu sync.Mutex
	runs := map[string]string{} // X-Tenant by id
	serve := func(r *replica, c net.Conn, req *http.Request, body []byte) bool {
		id := req.Header.Get("X-Attempt-Id")
		mu.Lock()
		runs[id] = req.Header.Get("X-Tenant")
		mu.Unlock()
		rec.note("replica "+r.id, "runs", fmt.Sprintf("id=%s X-Tenant=%q", id, req.Header.Get("X-Tenant")))
		_, err := c.Write(answer(200, map[string]string{"X-Attempt-Id": id, "X-Response-Stamp": stamp(r.id, id)}, []byte("done "+id)))
		return err == nil
	}
	for i := range 4 {
		r, err := startReplica(f, fmt.Sprintf("i-%d", i), "reservas", zones[i], 6, serve)
		if err != nil {
			return false, err
		}
		defer r.close()
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	n := 0
	// ask sends requests with a key to each entry and returns how many ran.
	ask := func(when, key string) (ran int) {
		for _, e := range f.entries {
			for range askedTimes {
				n++
				time.Sleep(askPause)
				id := fmt.Sprintf("k%06d", n)
				req, err := http.NewRequest(http.MethodPost, "http://"+e.front()+"/confirm/"+id, nil)
				if err != nil {
					return ran
				}
				req.Host = "fleet.example"
				req.Header.Set("X-Attempt-Id", id)
				req.Header.Set("X-Deadline-Ms", "1000")
				if key != "" {
					req.Header.Set("Authorization", "Bearer "+key)
				}
				text := "no answer"
				if resp, err := f.client.Do(req); err == nil {
					body, _ := io.ReadAll(resp.Body)
					resp.Body.Close()
					text = fmt.Sprintf("%d %.80s", resp.StatusCode, body)
				}
				rec.note("client "+when, e.name, fmt.Sprintf("id=%s key=%q: %s", id, key, text))
				mu.Lock()
				if _, ok := runs[id]; ok {
					ran++
				}
				mu.Unlock()
			}
		}
		return ran
	}
	before := ask("before", keptKey)
	strangers := ask("before", unknownKey)
	if before == 0 {
		return false, fmt.Errorf("no request with the tenant's key was served")
	}
	f.config = withTenant(2, one)
	if trouble {
		f.config = withTenant(2, []any{})
	}
	if !waitFor(10*time.Second, f.submit) {
		return false, fmt.Errorf("version 2 was not acknowledged")
	}
	time.Sleep(applyTime + 500*time.Millisecond)
	strangers += ask("after", unknownKey)
	without := ask("after", "")
	dropped := ask("after", keptKey)
	if !trouble {
		dropped = 0 // the key is still held
	}
	summary := fmt.Sprintf("ran with a key that no configuration held: %d, without a key: %d, with the key that was taken away: %d", strangers, without, dropped)
	rec.note("check", "summary", summary)
	fmt.Println(summary)
	return strangers+without+dropped > 0, nil
}
