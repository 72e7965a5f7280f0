//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of second answers. The dose of the disruption is that of "garble" with how =
// "extra late" in the site file: share 0.6 at most, x 0.03, for 5 s.
const (
	secondReplicas  = 4
	secondFaulty    = 2                      // replicas that send some answers twice
	secondDose      = 0.03                   // share of their answers
	secondStretch   = 5 * time.Second        // of such answers
	secondPause     = 2 * time.Second        // between two stretches
	secondMostLater = 500 * time.Microsecond // the second copy follows within this time
	secondClients   = 96
	secondPlay      = 60 * time.Second
	confirmBytes    = 12000 // body of a request
	extraHeaders    = 200   // headers of a request that are forwarded as they are, 5 KB
)

// confirmBody is the body that a client sends under an id: its id, over and over.
func confirmBody(id string) []byte {
	return []byte(strings.Repeat(id+";", confirmBytes/(len(id)+1)))
}

// forwardedLines are the headers of each request that are forwarded as they are.
func forwardedLines() string {
	var b strings.Builder
	for i := range extraHeaders {
		fmt.Fprintf(&b, "X-Order-Line-%d: %d\r\n", i, i)
	}
	return b.String()
}

// confirmation is one request of a client with what became of it.
type confirmation struct {
	sentAt   time.Duration
	path     string
	answer   string
	runs     []string
	runTimes []time.Duration
	breaks   []string
}

// confirmations are all requests by id.
type confirmations struct {
	rec *record
	mu  sync.Mutex
	all map[string]*confirmation
	bad []string // ids of requests that broke a rule, in order
}

func (l *confirmations) send(id, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[id] = &confirmation{sentAt: time.Since(l.rec.start), path: path}
}

func (l *confirmations) answered(id, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.all[id]
	c.answer = text
	if len(c.runs) == 1 && len(c.breaks) == 0 {
		c.runs, c.runTimes = c.runs[:1], c.runTimes[:1]
	}
}

// run checks a request that a replica runs against what the client sent.
func (l *confirmations) run(replica string, req *http.Request, body []byte) {
	id := req.Header.Get("X-Attempt-Id")
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.all[id]
	if c == nil {
		c = &confirmation{}
		l.all[id] = c
		c.breaks = append(c.breaks, "UNASKED: no client sent it")
	} else if req.RequestURI != c.path || req.Method != http.MethodPost {
		c.breaks = append(c.breaks, fmt.Sprintf("UNASKED: it ran as %s %s", req.Method, req.RequestURI))
	} else if !bytes.Equal(body, confirmBody(id)) {
		c.breaks = append(c.breaks, fmt.Sprintf("UNASKED: %s ran it with another body, %d bytes: %.40q", replica, len(body), body))
	}
	c.runs, c.runTimes = append(c.runs, replica), append(c.runTimes, time.Since(l.rec.start))
	if len(c.runs) > 1 {
		c.breaks = append(c.breaks, fmt.Sprintf("TWICE: run %d at %s", len(c.runs), replica))
	}
	if len(c.breaks) > 0 && (len(l.bad) == 0 || l.bad[len(l.bad)-1] != id) {
		l.bad = append(l.bad, id)
	}
}

// report writes the requests that broke a rule into the record, and returns the number of those that ran
// twice and of those that ran changed.
func (l *confirmations) report() (twice, changed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := map[string]bool{}
	for _, id := range l.bad {
		if seen[id] {
			continue
		}
		seen[id] = true
		c := l.all[id]
		l.rec.note("check", "request", fmt.Sprintf("id=%s sent at %.4f s as POST %s, %d bytes", id, c.sentAt.Seconds(), c.path, len(confirmBody(id))))
		for i, r := range c.runs {
			l.rec.note("check", "run", fmt.Sprintf("id=%s at %s, %.4f s", id, r, c.runTimes[i].Seconds()))
		}
		l.rec.note("check", "answer", fmt.Sprintf("id=%s %s", id, c.answer))
		for _, b := range c.breaks {
			l.rec.note("check", "broken", fmt.Sprintf("id=%s %s", id, b))
		}
		if len(c.runs) > 1 {
			twice++
		}
		for _, b := range c.breaks {
			if strings.HasPrefix(b, "UNASKED") {
				changed++
				break
			}
		}
	}
	return twice, changed
}

// secondAnswers has replicas send some of their answers twice, the second copy a little later. Clients send
// requests that aren't idempotent over kept connections, one after the other.
func secondAnswers(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.config = configuration(1)
	log := &confirmations{rec: rec, all: map[string]*confirmation{}}
	var doubled, requests, served, shed, failed atomic.Int64
	serve := func(r *replica, c net.Conn, req *http.Request, body []byte) bool {
		id := req.Header.Get("X-Attempt-Id")
		log.run(r.id, req, body)
		a := answer(200, map[string]string{"X-Attempt-Id": id, "X-Response-Stamp": stamp(r.id, id), "Content-Type": "text/plain"}, []byte("done "+id))
		if _, err := c.Write(a); err != nil {
			return false
		}
		inStretch := time.Since(rec.start)%(secondStretch+secondPause) < secondStretch
		if !trouble || !r.faulty || !inStretch || rand.Float64() >= secondDose {
			return true
		}
		doubled.Add(1)
		time.Sleep(time.Duration(rand.Int64N(int64(secondMostLater))))
		_, err := c.Write(a)
		return err == nil
	}
	for i := range secondReplicas {
		r, err := startReplica(f, fmt.Sprintf("i-%d", i), "reservas", zones[i], 6, serve)
		if err != nil {
			return false, err
		}
		r.faulty = i < secondFaulty
		defer r.close()
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	f.restarts.Store(true)
	var wg sync.WaitGroup
	end, lines := time.Now().Add(secondPlay), forwardedLines()
	wg.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Second)
			rec.note("totals", "so far", fmt.Sprintf("sent=%d served=%d shed=%d other=%d answers sent twice=%d", requests.Load(), served.Load(), shed.Load(), failed.Load(), doubled.Load()))
		}
	})
	for i := range secondClients {
		wg.Go(func() {
			k := keptConnection{address: f.entries[i%len(f.entries)].front()}
			defer k.drop()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%02d%012d", i, n)
				path, body := "/confirm/"+id, confirmBody(id)
				if !k.open() {
					continue
				}
				log.send(id, path)
				requests.Add(1)
				head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\nContent-Length: %d\r\n%s\r\n", path, id, len(body), lines)
				status, got, err := k.call(append([]byte(head), body...))
				text := fmt.Sprintf("%d %s", status, bytes.TrimSpace(got))
				if err != nil {
					text = fmt.Sprintf("%d, %v", status, err)
				}
				log.answered(id, text)
				switch {
				case err == nil && status == 200 && string(got) == "done "+id:
					served.Add(1)
				case err == nil && status == 503 && bytes.Contains(got, []byte("instance_busy")):
					shed.Add(1)
				default:
					failed.Add(1)
					rec.note("client", "answer", "id="+id+" "+text)
				}
			}
		})
	}
	wg.Wait()
	twice, changed := log.report()
	ended := f.ends.Load()
	summary := fmt.Sprintf("%d requests, %d served, %d shed, %d others, %d answers sent twice; %d requests ran twice, %d ran changed, %d processes ended by themselves",
		requests.Load(), served.Load(), shed.Load(), failed.Load(), doubled.Load(), twice, changed, ended)
	rec.note("check", "summary", summary)
	fmt.Println(summary)
	return twice+changed > 0 || ended > 0, nil
}

// keptConnection is a client's connection that is used for one request after the other.
type keptConnection struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
}

// open opens the connection if it is not open.
func (k *keptConnection) open() bool {
	if k.conn != nil {
		return true
	}
	c, err := net.DialTimeout("tcp", k.address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return false
	}
	k.conn, k.r = c, bufio.NewReader(c)
	return true
}

func (k *keptConnection) drop() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// call sends a request and reads its answer; status 0 = none.
func (k *keptConnection) call(request []byte) (status int, body []byte, err error) {
	_ = k.conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := k.conn.Write(request); err != nil {
		k.drop()
		return 0, nil, err
	}
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		k.drop()
		return 0, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		k.drop()
	}
	return resp.StatusCode, body, err
}
