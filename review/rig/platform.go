package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is a stand-in of the platform's list of servers. Its list lags by up to listLag.
type platform struct {
	address string
	rec     *record

	mu      sync.Mutex
	servers []*server
	foreign []string // entries of other writers, as they stand in the list
	shown   []byte
}

func newPlatform(d *deployment) (*platform, error) {
	p := &platform{address: fmt.Sprintf("%s:%d", d.newIP(), platformPort), rec: d.rec}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.refresh()
	go func() { _ = http.Serve(l, p) }()
	go func() {
		for {
			time.Sleep(listLag / 2)
			p.refresh()
		}
	}()
	return p, nil
}

func (p *platform) add(servers ...*server) {
	p.mu.Lock()
	p.servers = append(p.servers, servers...)
	p.mu.Unlock()
}

func (p *platform) addForeign(entry string) {
	p.mu.Lock()
	p.foreign = append(p.foreign, entry)
	p.mu.Unlock()
	p.rec.printf("platform: another writer adds the entry %q", entry)
}

// refresh renders the list that is shown from now on.
func (p *platform) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries [][]byte
	for _, s := range p.servers {
		state := s.listState()
		if state == "" {
			continue
		}
		raw, _ := json.Marshal(map[string]any{
			"id": s.id, "service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": state, "cold_remaining_ms": s.cold().Milliseconds(), "born": s.born.UnixMilli(), "stage": "colocated", "models": []any{},
		})
		entries = append(entries, raw)
		s.listed(state)
	}
	for _, f := range p.foreign {
		entries = append(entries, []byte(f))
	}
	p.shown = append([]byte(`{"instances":[`), append(bytes.Join(entries, []byte(",")), []byte(`],"next":null}`)...)...)
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.mu.Lock()
	shown := p.shown
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(shown)
}
