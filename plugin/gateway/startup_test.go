package gateway

import (
	"strings"
	"testing"
	"time"
)

// Guards against callers that are refused, and refused again when they retry, while an instance
// that has just started is about to receive its configuration.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	r := newRig(t, newTarget(t, "t1", respondWith("good")))
	c := r.dial()
	c.send(request("GET", "/look/1", "id1", ""))
	time.Sleep(100 * time.Millisecond)
	r.configure(1)
	c.want(200, "good")
}

// Guards against requests that wait although no configuration is about to come, or until their
// deadline passes.
func TestStartupWaitIsBounded(t *testing.T) {
	const tolerance = 300 * time.Millisecond
	r := newRig(t, newTarget(t, "t1", respondWith("good")))
	for _, x := range []struct {
		deadlineMs string
		wait       time.Duration
	}{{"400", 200 * time.Millisecond}, {"60000", startupWait}, {"60000", 0}} {
		begin := time.Now()
		c := r.dial()
		c.send(strings.Replace(request("GET", "/look/1", "id1", ""), ": 4000", ": "+x.deadlineMs, 1))
		c.want(503, "*")
		if took := time.Since(begin); took > x.wait+tolerance {
			t.Fatalf("refused after %v, want %v", took, x.wait)
		}
	}
}
