package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["evacuation"] = evacuation }

// evacuation: two zones cannot reach each other for some seconds, while the others reach both. The
// operator's order to take a zone back reaches a control machine in one of them, whose link to the leader
// in the other is cut. The operator sends it again to another machine, and later evacuates the zone again.
// Both are acknowledged. The check begins when the bound of an evacuation has passed, stretched by outer_ms
// because of the cut.
func evacuation(rec *record, trouble bool) error {
	const cutFor = 4 * time.Second
	d, err := newDeployment(rec, []string{"amman-a", "amman-b", "amman-c", "amman-d"})
	if err != nil {
		return err
	}
	current = d
	d.proxied = true
	if d.platform, err = newPlatform(d); err != nil {
		return err
	}
	d.addMachines(4, 5)
	if err := d.start(); err != nil {
		return err
	}
	op := &operator{d, rec}
	conf := config(1, []route{{"r-1", "/lohu930/", "idempotent", "xano55b", 1000, 150, 2, false, false}}, []map[string]any{plainService("xano55b")})
	if err := op.order(20*time.Second, http.MethodPost, "/config/replace", conf); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the group of the control machines is complete
	leader := d.leader()
	if leader == nil {
		return fmt.Errorf("no leader")
	}
	// Of the cut zones, the leader's is the one that is evacuated, and the other one has no servers: so
	// the cut is felt between the machines of the system only.
	var other *node
	for _, c := range d.controls {
		if c.zone != leader.zone {
			other = c
		}
	}
	zone := leader.zone
	rec.printf("leader %s; order goes to %s; zone %s", leader.name, other.name, zone)
	var acked time.Time
	for _, z := range d.zones {
		if z == other.zone {
			continue
		}
		for i := range 2 {
			s, err := newServer(d, fmt.Sprintf("i-%s-%d", z, i+1), "xano55b", z, 6, 30*time.Millisecond)
			if err != nil {
				return err
			}
			s.arrived = func(s *server, attempt string, _ time.Time) {
				d.rec.mu.Lock()
				t := acked
				d.rec.mu.Unlock()
				if s.zone == zone && !t.IsZero() && time.Since(t) > evacuationTime+outerTime {
					rec.breach("EVAC: %s reaches %s in %s, %.1f s after the evacuation of the zone was acknowledged", attempt, s.id, s.zone, time.Since(t).Seconds())
				}
			}
			d.platform.add(s)
		}
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	wg := newClient(rec).load(d, 40, http.MethodGet, "/lohu930/2f", time.Second, stop, nil)
	time.Sleep(2 * time.Second)
	start, finish := "/evacuate/"+zone+"/start", "/evacuate/"+zone+"/finish"
	var majority []*node // machines on neither side of the cut
	for _, c := range d.controls {
		if c.zone != zone && c.zone != other.zone {
			majority = append(majority, c)
		}
	}
	if err := op.order(4*time.Second, http.MethodPost, start, nil, majority...); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		rec.printf("cut between %s and %s", zone, other.zone)
		d.proxy.setCut(func(from, to *node) bool { return from.zone == zone && to.zone == other.zone })
	}
	cutAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	if err := op.order(4*time.Second, http.MethodPost, finish, nil, append([]*node{other}, majority...)...); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := op.order(4*time.Second, http.MethodPost, start, nil, majority...); err != nil {
		return err
	}
	d.rec.mu.Lock()
	acked = time.Now()
	d.rec.mu.Unlock()
	rec.printf("the evacuation of %s is acknowledged; nothing is ordered from now on", zone)
	if trouble {
		time.Sleep(time.Until(cutAt.Add(cutFor)))
		d.proxy.setCut(nil)
		rec.printf("the cut ends")
	}
	time.Sleep(16 * time.Second)
	close(stop)
	wg.Wait()
	return nil
}
