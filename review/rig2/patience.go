//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of callers with less patience.
const (
	patientClients   = 28          // of each of two tenants
	patienceInterval = time.Second // between two requests of a client, 3/4 to 5/4 of it
	patiencePlay     = 30 * time.Second
	patienceFrom     = 8 // second from which on the load counts as steady
	lessPatience     = 7 * time.Second
)

// patience has two tenants ask the same, more than the replicas can run. With the disruption the callers of one of
// them wait 7 s in place of 12 s. No two requests share the last part of their prompt.
func patience(rec *record, trouble bool) (bool, error) {
	f, log, most, err := startStreams(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	log.start = time.Now()
	end := log.start.Add(patiencePlay)
	client := &http.Client{Timeout: sessionDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var wg sync.WaitGroup
	for t := range 2 {
		deadline := sessionDeadline
		if trouble && t == 1 {
			deadline = lessPatience
		}
		for n := range patientClients {
			wg.Go(func() {
				time.Sleep(patienceInterval * time.Duration(n) / patientClients)
				for k := 0; time.Now().Before(end); k++ {
					m := modelRequest{t, fmt.Sprintf("%d%02d%08d", t, n, k), fmt.Sprintf("e4%02x%02x%06x:400", t, n, k), deadline}
					wg.Go(func() { m.ask(rec, log, client, f.entries[k%len(f.entries)]) })
					time.Sleep(patienceInterval*3/4 + time.Duration(rand.Int64N(int64(patienceInterval/2))))
				}
			})
		}
	}
	wg.Wait()
	return log.report(rec, patienceFrom, int(patiencePlay.Seconds())-1, most.Load()), nil
}
