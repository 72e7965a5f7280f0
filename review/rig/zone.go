package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["zone"] = missingZone }

// missingZone: another writer adds an entry to the platform's list that repeats the entry of a server but
// has no zone. The server's own entry stands beside it, unchanged. Then the server's zone is evacuated.
func missingZone(rec *record, trouble bool) error {
	const zone = "amman-c"
	d, err := newDeployment(rec, []string{"amman-a", "amman-b", "amman-c", "amman-d"})
	if err != nil {
		return err
	}
	current = d
	if d.platform, err = newPlatform(d); err != nil {
		return err
	}
	d.addMachines(7, 5)
	var mu sync.Mutex
	var acked time.Time
	var repeated *server
	for _, z := range d.zones {
		s, err := newServer(d, "i-"+z, "xano55b", z, 6, 150*time.Millisecond)
		if err != nil {
			return err
		}
		if z == zone {
			repeated = s
		}
		s.arrived = func(s *server, attempt string, _ time.Time) {
			mu.Lock()
			t := acked
			mu.Unlock()
			if s.zone == zone && !t.IsZero() && time.Since(t) > evacuationTime {
				rec.breach("EVAC: %s reaches %s in %s, %.1f s after the evacuation of the zone was acknowledged", attempt, s.id, s.zone, time.Since(t).Seconds())
			}
		}
		d.platform.add(s)
	}
	if err := d.start(); err != nil {
		return err
	}
	op := &operator{d, rec}
	conf := config(1, []route{{"r-1", "/lohu930/", "non_idempotent", "xano55b", 1000, 150, 1, false, false}}, []map[string]any{plainService("xano55b")})
	if err := op.order(20*time.Second, http.MethodPost, "/config/replace", conf); err != nil {
		return err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	wg := newClient(rec).load(d, 60, http.MethodPost, "/lohu930/2f", time.Second, stop, nil)
	time.Sleep(3 * time.Second)
	if trouble {
		raw, err := json.Marshal(map[string]any{
			"id": repeated.id, "service": repeated.service, "address": repeated.address, "version": "v1", "slots": repeated.slots,
			"state": "ready", "cold_remaining_ms": 0, "born": repeated.born.UnixMilli(),
		})
		if err != nil {
			return err
		}
		d.platform.addForeign(string(raw))
	}
	time.Sleep(4 * time.Second)
	if err := op.order(4*time.Second, http.MethodPost, fmt.Sprintf("/evacuate/%s/start", zone), nil); err != nil {
		return err
	}
	mu.Lock()
	acked = time.Now()
	mu.Unlock()
	rec.printf("the evacuation of %s is acknowledged", zone)
	time.Sleep(evacuationTime + 10*time.Second)
	close(stop)
	wg.Wait()
	return nil
}
