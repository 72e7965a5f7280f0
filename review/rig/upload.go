package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["memory"] = largeBodies }

const (
	entryMemoryMB = 284     // memory_mb of an entry machine on site tapfinder-amman
	bodyBytes     = 4194304 // max_body_bytes of its configuration
)

// residentMB returns the resident memory of a process in MiB; 0 = it does not run.
func residentMB(n *node) int {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// upload sends a request with a body of the largest size that the configuration allows, within about
// 2.5 s, and returns the status of the answer; 0 = none.
func upload(rec *record, e *node, body []byte) int {
	const steps, took = 25, 2500 * time.Millisecond
	attempt := newAttempt()
	c, err := net.DialTimeout("tcp", e.address(frontPort), time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /photo/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 10000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		routeHost, attempt, apiKey, len(body))
	for i := range steps {
		if _, err := c.Write(body[i*len(body)/steps : (i+1)*len(body)/steps]); err != nil {
			break // an answer may have come early
		}
		time.Sleep(took / steps)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	buf := make([]byte, 64)
	n, _ := c.Read(buf)
	status := 0
	_, _ = fmt.Sscanf(string(buf[:n]), "HTTP/1.1 %d", &status)
	rec.printf("client: upload %s at %s gets %d", attempt, e.name, status)
	return status
}

// largeBodies: many clients come at once and send bodies of the largest allowed size. The platform ends a
// process that uses more than memory_mb. Without the disruption the same clients come one after the other.
func largeBodies(rec *record, trouble bool) error {
	const rounds, perRound, pause = 3, 100, 12 * time.Second
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
		s, err := newServer(d, "i-"+z, "xano55b", z, 6, 300*time.Millisecond)
		if err != nil {
			return err
		}
		d.platform.add(s)
	}
	if err := d.start(); err != nil {
		return err
	}
	op := &operator{d, rec}
	conf := config(1, []route{
		{"r-photo", "/photo/", "idempotent", "xano55b", 10000, 1000, 2, false, false},
		{"r-order", "/order/", "non_idempotent", "xano55b", 2000, 500, 1, false, false},
	}, []map[string]any{plainService("xano55b")})
	if err := op.order(20*time.Second, http.MethodPost, "/config/replace", conf); err != nil {
		return err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return err
	}
	ends, most := map[string]int{}, map[string]int{}
	stop := make(chan struct{})
	watched := make(chan error, 1)
	go func() { watched <- watchMemory(d, stop, ends, most) }()
	wg := newClient(rec).load(d, 14, http.MethodPost, "/order/2f", 2*time.Second, stop, nil)
	time.Sleep(3 * time.Second)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var uploads sync.WaitGroup
	for round := range rounds {
		rec.printf("round %d of %d uploads at each of two machines", round+1, perRound)
		for i := range perRound {
			for _, e := range d.entries[:2] {
				uploads.Add(1)
				go func() {
					defer uploads.Done()
					if !trouble {
						time.Sleep(time.Duration(i) * (pause - 3*time.Second) / perRound)
					}
					upload(rec, e, body)
				}()
			}
		}
		time.Sleep(pause)
	}
	uploads.Wait()
	close(stop)
	wg.Wait()
	if err := <-watched; err != nil {
		return err
	}
	rec.printf("most memory: %v MB; ends: %v", most, ends)
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		rec.breach("Fault: the processes of %d entry machines of %d went over memory_mb and ended three times, without a disruption on them", machines, len(d.entries))
	}
	return nil
}

// watchMemory does what the platform does: it kills a process that uses more than memory_mb, and starts it
// again after a short delay.
func watchMemory(d *deployment, stop <-chan struct{}, ends, most map[string]int) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		for _, e := range d.entries {
			mb := residentMB(e)
			most[e.name] = max(most[e.name], mb)
			if mb <= entryMemoryMB {
				continue
			}
			d.rec.printf("platform: %s uses %d MB of %d and is killed", e.name, mb, entryMemoryMB)
			d.kill(e)
			ends[e.name]++
			time.Sleep(300 * time.Millisecond)
			if err := d.writeSettings(e, false); err != nil {
				return err
			}
			if err := d.run(e); err != nil {
				return err
			}
		}
	}
}
