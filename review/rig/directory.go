package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["recover"] = unreadableEntry }

// foreignEntry is an entry of another writer. Its id holds bytes that cannot be read; its braces and
// quotes are complete, so that the entries beside it can be told from it.
const foreignEntry = "{\"id\":\"\x03\x1f\xfe\",\"service\":\"ubel04c\",\"address\":\"127.0.0.9:80\",\"state\":\"up\"}"

// unreadableEntry: all processes of the system are killed and come back within a second, while the
// platform's list holds an entry of another writer that cannot be read.
func unreadableEntry(rec *record, trouble bool) error {
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
		s, err := newServer(d, "i-"+z, "xano55b", z, 6, 30*time.Millisecond)
		if err != nil {
			return err
		}
		d.platform.add(s)
	}
	if err := d.start(); err != nil {
		return err
	}
	op := &operator{d, rec}
	routes := []route{{"r-1", "/lohu930/", "non_idempotent", "xano55b", 1000, 150, 1, false, false}}
	services := []map[string]any{plainService("xano55b")}
	if err := op.order(20*time.Second, http.MethodPost, "/config/replace", config(1, routes, services)); err != nil {
		return err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return err
	}
	var mu sync.Mutex
	var before, after tally
	var final time.Time // when the machines are back
	began := time.Now()
	stop := make(chan struct{})
	wg := newClient(rec).load(d, 20, http.MethodPost, "/lohu930/2f", time.Second, stop, func(r result) {
		mu.Lock()
		defer mu.Unlock()
		sent := attemptTime(r.attempt)
		switch {
		case final.IsZero():
			before.count(r)
		case sent.Sub(final) > recoveryTime:
			after.count(r)
		}
	})
	time.Sleep(4 * time.Second)
	if trouble {
		d.platform.addForeign(foreignEntry)
	}
	time.Sleep(4 * time.Second)
	if err := op.order(4*time.Second, http.MethodPost, "/config/replace", config(2, routes, services)); err != nil {
		return err
	}
	mu.Lock()
	final = time.Now().Add(time.Hour)
	mu.Unlock()
	for _, n := range d.machines() {
		d.kill(n)
	}
	time.Sleep(600 * time.Millisecond)
	for _, n := range d.machines() {
		if err := d.writeSettings(n, false); err != nil {
			return err
		}
		if err := d.run(n); err != nil {
			return err
		}
	}
	mu.Lock()
	final = time.Now()
	mu.Unlock()
	rec.printf("all machines are back")
	time.Sleep(recoveryTime + 15*time.Second)
	close(stop)
	wg.Wait()
	_ = began
	rec.printf("before the kill: %v; sent later than %v after the machines were back: %v", before, recoveryTime, after)
	if before.share() < 0.25 || after.all == 0 {
		return fmt.Errorf("too little was served before: %v", before)
	}
	if after.share() < 0.25 {
		rec.breach("RECOVER: of the requests sent later than %v after the machines were back, %v were served; before it were %v", recoveryTime, after, before)
	}
	return nil
}

// tally counts requests and those that were served.
type tally struct{ all, served int }

func (t *tally) count(r result) {
	t.all++
	if r.status/100 == 2 && r.complete && r.stamp != "" {
		t.served++
	}
}

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.all)) }

func (t tally) String() string { return fmt.Sprintf("%d of %d", t.served, t.all) }
