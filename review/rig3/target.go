//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"nutmegrouter/platform/standin"
)

// target is a stand-in of a sound model replica that sends streams of numbered events.
type target struct {
	id       string
	listener net.Listener
	server   *http.Server
	started  time.Time
	runs     atomic.Int64
	events   func(path string) int
	gap      time.Duration // between events
}

// addTarget starts a target and adds it to the platform's list.
func (f *fleet) addTarget(id, service, dataCentre string, slots int, events func(path string) int, gap time.Duration) error {
	listener, err := net.Listen("tcp", f.ip(2)+":0")
	if err != nil {
		return err
	}
	t := &target{id: id, listener: listener, started: time.Now().Add(-time.Hour), events: events, gap: gap}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }() // ends with close
	f.directory.Add(&standin.Target{
		ID: id, Service: service, DataCentre: dataCentre, Version: standin.DefaultVersion, Engine: true, Slots: slots,
		StartedAt: t.started, ListedAddress: listener.Addr().String(),
	})
	f.targets = append(f.targets, t)
	return nil
}

func (t *target) close() { _ = t.server.Close() }

// runs returns the number of requests that all targets have run.
func (f *fleet) runs() (n int64) {
	for _, t := range f.targets {
		n += t.runs.Load()
	}
	return n
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set(standin.HeaderInstance, t.id)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,`+
			`"num_waiting":0,"num_running":0,"kv_used":0,"kv_total":406682,"handles":0,"pinned":0,"held":0,"runs":[],"born":%d}`, t.started.UnixMilli())
		return
	}
	id := r.Header.Get(standin.HeaderAttempt)
	w.Header().Set(standin.HeaderAttempt, id)
	if expected := r.Header.Get(standin.HeaderExpect); expected != "" && expected != t.id {
		w.Header().Set(standin.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.runs.Add(1)
	w.Header().Set(standin.HeaderStamp, standin.Stamp(t.id, id))
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get(standin.HeaderAfter)) // no header = from the first event
	controller := http.NewResponseController(w)
	for n := after + 1; n <= t.events(r.URL.Path); n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(t.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", n, id, n); err != nil || controller.Flush() != nil {
			return
		}
	}
}
