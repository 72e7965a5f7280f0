package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "asnmgkcuyj8pjbvk9m68"

const routeHost = "ficu95.example"

// client is a stand-in of the clients of one entry machine.
type client struct {
	rec   *record
	http  *http.Client
	quiet bool // requests are not recorded one by one
}

func (c *client) printf(format string, args ...any) {
	if !c.quiet {
		c.rec.printf(format, args...)
	}
}

// attemptTime returns when an attempt was sent.
func attemptTime(id string) time.Time {
	ns, err := strconv.ParseInt(id[strings.LastIndexByte(id, '-')+1:], 16, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 32, DisableCompression: true,
	}}}
}

var attempts atomic.Int64

// newAttempt returns the id of a client attempt that is sent now.
func newAttempt() string { return fmt.Sprintf("%04x-%x", attempts.Add(1), time.Now().UnixNano()) }

// result is what a client sees of its request.
type result struct {
	attempt  string
	status   int // 0 = no answer
	complete bool
	stamp    string
	body     string
	err      error
	retry    string
}

// send sends one request and reads the whole answer.
func (c *client) send(e *node, method, path string, body []byte, deadline time.Duration, extra ...string) result {
	return c.sendID(e, newAttempt(), method, path, body, deadline, extra...)
}

// sendID is send with a given id of the attempt.
func (c *client) sendID(e *node, id, method, path string, body []byte, deadline time.Duration, extra ...string) result {
	res := result{attempt: id}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.address(frontPort)+path, bytes.NewReader(body))
	if err != nil {
		res.err = err
		return res
	}
	req.Host = routeHost
	req.Header.Set("X-Attempt-Id", res.attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i+1 < len(extra); i += 2 {
		req.Header.Set(extra[i], extra[i+1])
	}
	c.printf("client sends %s %s%s to %s", res.attempt, method, path, e.name)
	resp, err := c.http.Do(req)
	if err != nil {
		res.err = err
		c.printf("client: %s has no answer: %v", res.attempt, err)
		return res
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	res.status, res.stamp, res.body, res.err = resp.StatusCode, resp.Header.Get("X-Response-Stamp"), string(raw), err
	res.retry, res.complete = resp.Header.Get("Retry-After"), err == nil
	c.printf("client: %s gets %d, stamp %q, %d bytes, complete %v%s", res.attempt, res.status, res.stamp, len(raw), res.complete, reason(res))
	return res
}

// reason returns the text of an answer without a replica's stamp.
func reason(r result) string {
	if r.stamp != "" || len(r.body) > 300 {
		return ""
	}
	return ", " + strings.TrimSpace(r.body)
}

// load sends requests at a steady rate, to one entry machine after the other, until stop is closed.
func (c *client) load(d *deployment, perSecond float64, method, path string, deadline time.Duration, stop <-chan struct{}, each func(result)) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			e := d.entries[i%len(d.entries)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				res := c.send(e, method, path, []byte("x"), deadline)
				if each != nil {
					each(res)
				}
			}()
		}
	}()
	return &wg
}

// ready reports whether an entry machine says that it is ready.
func ready(e *node) bool {
	cl := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := cl.Get("http://" + e.address(readyPort) + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
