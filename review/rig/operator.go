package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator is a stand-in of the operator. It moves on to another machine after a second without an
// answer, and sends the same order again.
type operator struct {
	d   *deployment
	rec *record
}

// call sends one order once. It gives up and closes its connection after a second.
func (o *operator) call(c *node, method, path string, body []byte) (status int, answer []byte) {
	cl := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+c.address(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	o.rec.printf("operator sends %s %s to %s", method, path, c.name)
	resp, err := cl.Do(req)
	if err != nil {
		o.rec.printf("operator: %s %s at %s has no answer: %v", method, path, c.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, _ = io.ReadAll(resp.Body)
	o.rec.printf("operator: %s %s at %s gets %d", method, path, c.name, resp.StatusCode)
	return resp.StatusCode, answer
}

// order sends an order to the machines in turn until it is acknowledged, at most for the given time.
func (o *operator) order(limit time.Duration, method, path string, body []byte, machines ...*node) error {
	if len(machines) == 0 {
		machines = o.d.controls
	}
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		status, answer := o.call(machines[min(i, len(machines)-1+i*0)%len(machines)], method, path, body)
		if status == http.StatusOK {
			return nil
		}
		if status == 400 {
			return fmt.Errorf("%s refused: %s", path, answer)
		}
		if i >= len(machines)-1 {
			i = -1
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s %s is not acknowledged after %v", method, path, limit)
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, objectiveMs      int
	attempts                    int
	sticky, resumable           bool
}

// config returns a configuration document.
func config(version int, routes []route, services []map[string]any) []byte {
	var rs []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "hostname": routeHost, "path_prefix": r.prefix, "route_type": r.kind, "timeout_ms": r.timeoutMs,
			"target_latency_ms": r.objectiveMs, "priority": 1, "service": r.service, "max_attempts": r.attempts, "public": false,
			"sticky": r.sticky, "resumable": r.resumable, "target_gap_ms": 300,
		})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 410000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	})
	return raw
}

// plainService is a service without model engines.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_check_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
}
