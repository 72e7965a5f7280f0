package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["cold"] = coldWithoutOwner }

// coldWithoutOwner: all processes of the core are killed and are back within a second, under a burst of
// traffic. Meanwhile the replicas of two zones turn cold.
func coldWithoutOwner(rec *record, trouble bool) error {
	const (
		coldBound = 10*1.5 + 5 // cold_per_s x cold_overage + cold_slack
		usual     = 170.7      // model requests a second on the sheet of tapfinder-amman
		burst     = 1.7
	)
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
	most := 0 // requests in a second that ends while the server is cold
	var engines []*server
	for _, z := range d.zones {
		for i := range 3 {
			s, err := newEngine(d, fmt.Sprintf("i-%s-%d", z, i+1), "dele69a", z, 64)
			if err != nil {
				return err
			}
			s.quiet = true
			var a arrivals
			worst := 0
			s.arrived = func(s *server, attempt string, sent time.Time) {
				now := time.Now()
				n := a.add(sent, now)
				if s.cold() > 0 {
					mu.Lock()
					most = max(most, n)
					mu.Unlock()
					rec.printf("server %s (%s), cold, runs %s, number %d in a second", s.id, s.zone, attempt, n)
				}
				// The whole second lies within the time in which the server is cold.
				if left := s.cold(); left > 0 && left <= coldTime-time.Second && float64(n) > coldBound && n > worst {
					worst = n
					rec.breach("FAILBACK: %s is cold and gets %d requests within a second", s.id, n)
				}
			}
			engines = append(engines, s)
			d.platform.add(s)
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	op := &operator{d, rec}
	conf := config(1, []route{
		{"r-spec", "/spec/", "streaming", "dele69a", 15000, 1000, 2, true, true},
		{"r-fit", "/fit/", "streaming", "dele69a", 12000, 400, 1, true, false},
		{"r-label", "/label/", "streaming", "dele69a", 3000, 400, 2, true, true},
	}, []map[string]any{engineService("dele69a")})
	if err := op.order(20*time.Second, http.MethodPost, "/config/replace", conf); err != nil {
		return err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	rate := usual
	seen := map[int]int{}
	cl := newClient(rec)
	cl.quiet = true
	wg.Add(1)
	go func() {
		defer wg.Done()
		rnd := rand.New(rand.NewSource(1))
		next := time.Now()
		for i := 0; ; i++ {
			mu.Lock()
			r := rate
			mu.Unlock()
			next = next.Add(time.Duration(float64(time.Second) / r))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(next)):
			}
			path, deadline, events, in, things := "/fit/", 12*time.Second, 58, 628, 105
			switch x := rnd.Float64() * usual; {
			case x < 42.5:
				path, deadline, events, in, things = "/spec/", 15*time.Second, 76, 6610, 150
			case x < 42.5+61.2:
				path, deadline, events, in, things = "/label/", 3*time.Second, 5, 1800, 96
			}
			thing := rnd.Intn(things)
			prompt := fmt.Sprintf("%x:100,%x:200,%x:%d", 0xa0000+len(path), 0xb0000+len(path)*1000+thing, 0x1000000+i, in)
			e := d.entries[i%len(d.entries)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				res := cl.send(e, http.MethodPost, fmt.Sprintf("%s%d", path, events), []byte("x"), deadline,
					"X-Model", "m", "X-Token-Usage", fmt.Sprintf("%d,%d", in+300, events*5), "X-Prompt-Prefix", prompt)
				mu.Lock()
				seen[res.status]++
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(6 * time.Second)
	mu.Lock()
	rate = usual * burst
	mu.Unlock()
	rec.printf("burst: %.1f times the traffic", burst)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, c := range d.controls {
			d.kill(c)
		}
	}
	for _, s := range engines {
		if s.zone == "amman-b" || s.zone == "amman-c" {
			s.turnCold(coldTime)
		}
	}
	time.Sleep(900 * time.Millisecond)
	if trouble {
		for _, c := range d.controls {
			if err := d.writeSettings(c, false); err != nil {
				return err
			}
			if err := d.run(c); err != nil {
				return err
			}
		}
	}
	time.Sleep(600 * time.Millisecond)
	mu.Lock()
	rate = usual
	mu.Unlock()
	rec.printf("the burst ends")
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	rec.printf("answers by status: %v; most requests to a cold replica in a second: %d", seen, most)
	return nil
}

// coldTime is how long a replica stays cold.
const coldTime = 3 * time.Second
