package main

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { scenarios["invalid"] = invalidConfig }

// invalidConfig: the operator sends a configuration that cannot be read in full: behind its document stands
// one more closing brace. Without the disruption the brace is missing.
func invalidConfig(rec *record, trouble bool) error {
	d, err := newDeployment(rec, []string{"amman-a", "amman-b", "amman-c", "amman-d"})
	if err != nil {
		return err
	}
	current = d
	if d.platform, err = newPlatform(d); err != nil {
		return err
	}
	d.addMachines(7, 5)
	for _, z := range d.zones {
		for _, service := range []string{"xano55b", "ubel04c"} {
			s, err := newServer(d, "i-"+service+"-"+z, service, z, 6, 30*time.Millisecond)
			if err != nil {
				return err
			}
			d.platform.add(s)
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	op := &operator{d, rec}
	conf := func(version int, service string) []byte {
		return config(version, []route{{"r-1", "/lohu930/", "idempotent", service, 1000, 150, 2, false, false}},
			[]map[string]any{plainService("xano55b"), plainService("ubel04c")})
	}
	if err := op.order(20*time.Second, http.MethodPost, "/config/replace", conf(1, "xano55b")); err != nil {
		return err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return err
	}
	body := conf(2, "ubel04c")
	if trouble {
		body = append(body, '}')
	}
	rec.printf("the configuration of version 2 can be read in full: %v", json.Valid(body))
	status, answer := op.call(d.controls[0], http.MethodPost, "/config/replace", body)
	rec.printf("answer: %d %s", status, answer)
	if trouble && status == http.StatusOK {
		rec.breach("CONFIG: a configuration that cannot be read in full is acknowledged")
	}
	time.Sleep(configApply)
	for _, c := range d.controls {
		status, raw := op.call(c, http.MethodGet, "/config/get", nil)
		if status == http.StatusOK && !json.Valid(raw) {
			rec.breach("CONFIG: %s answers a read with a configuration that cannot be read: it ends with %q", c.name, raw[len(raw)-12:])
		}
	}
	cl := newClient(rec)
	for _, e := range d.entries {
		res := cl.send(e, http.MethodGet, "/lohu930/2f", nil, time.Second)
		if trouble && len(res.stamp) > 9 && res.stamp[2:9] == "ubel04c" {
			rec.breach("CONFIG: %s obeys the configuration that cannot be read in full: %s is run by service ubel04c", e.name, res.attempt)
		}
	}
	return nil
}
