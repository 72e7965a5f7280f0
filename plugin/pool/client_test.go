package pool_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// eventually waits up to 15 s until a condition holds, and fails the test otherwise.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("did not happen: %s", what)
}

// refusalOf returns the refusal in err, and fails the test without one.
func refusalOf(t testing.TB, err error) *api.Refusal {
	t.Helper()
	var r *api.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("want a refusal, got %v", err)
	}
	return r
}

// expectRefused waits until a ticket is refused with the given code and as not run.
func expectRefused(t testing.TB, tk api.Ticket, code string) {
	t.Helper()
	select {
	case _, ok := <-tk.Granted():
		if ok || tk.Refusal() == nil || tk.Refusal().Code != code || tk.Refusal().Run != api.NotRun {
			t.Fatalf("want %s, got %v", code, tk.Refusal())
		}
	case <-time.After(15 * time.Second):
		t.Fatal("neither granted nor refused")
	}
}

// metric returns the value of a metric of the instance, or "".
func (x *instance) metric(name string) string {
	var b bytes.Buffer
	x.k.Metrics.WritePrometheus(&b)
	for _, line := range strings.Split(b.String(), "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return v
		}
	}
	return ""
}

// Guards against refusals without code, run state or retry delay, and against requests
// that stay queued on an instance that cannot start them (R6).
func TestRefusals(t *testing.T) {
	is := is.New(t)
	cfg := oneTarget(t, 1, 1)
	cfg.Pools[0].QueueLimit = 3
	n, fleet := startFleet(t, cfg, "a", "b")
	n.setOwner("b", 1)
	c := fleet["a"].client
	_, err := c.Enqueue(api.SlotRequest{Pool: "other", Workspace: "w"})
	is.Equal(refusalOf(t, err).Code, "unknown_pool")
	first, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	is.NoErr(err)
	await(t, first)
	expiring, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w", Deadline: fleet["a"].k.Clock.Now() + 50*time.Millisecond})
	is.NoErr(err)
	expectRefused(t, expiring, "deadline")
	var waiting []api.Ticket
	for range 3 {
		tk, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
		is.NoErr(err)
		waiting = append(waiting, tk)
	}
	_, err = c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	r := refusalOf(t, err)
	again, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w", Admitted: true})
	is.NoErr(err) // a further attempt of an admitted request is not limited
	again.Cancel()
	is.Equal(r.Code, "queue_full")
	is.Equal(r.Run, api.NotRun)
	is.True(r.RetryAfter > 0 && r.Status == http.StatusTooManyRequests)
	waiting[0].Cancel()
	waiting[0].Cancel() // a second Cancel has no effect
	n.setValid("a", false)
	for _, tk := range waiting[1:] {
		expectRefused(t, tk, "no_lease")
	}
	_, err = c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	is.Equal(refusalOf(t, err).Code, "no_lease")
	n.setValid("a", true)
	first.Done(api.GrantOutcome{Result: api.ResultOK, Cost: 1})
	eventually(t, "served again", func() bool {
		tk, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
		if err != nil {
			return false
		}
		await(t, tk)
		tk.Cancel()
		return true
	})
	is.Equal(fleet["a"].metric(`nutmeg_pool_refused_total{pool="p",code="queue_full"}`), "1")
}

// Guards against a planned stop that ends before all requests have ended, or that accepts
// new ones.
func TestDrain(t *testing.T) {
	is := is.New(t)
	n, fleet := startFleet(t, oneTarget(t, 1, 1), "a", "b")
	n.setOwner("b", 1)
	c := fleet["a"].client
	first, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	is.NoErr(err)
	await(t, first)
	second, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	is.NoErr(err)
	drained := make(chan error, 1)
	go func() { drained <- c.Drain(context.Background()) }()
	eventually(t, "refuses new requests", func() bool {
		tk, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
		if err == nil {
			tk.Cancel()
			return false
		}
		return refusalOf(t, err).Code == "stopping"
	})
	first.Done(api.GrantOutcome{Result: api.ResultOK})
	await(t, second)
	select {
	case <-drained:
		t.Fatal("drained with a running request")
	default:
	}
	second.Done(api.GrantOutcome{Result: api.ResultOK})
	is.NoErr(<-drained)
	short, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(fleet["b"].client.Drain(short)) // nothing waits or runs
}

// Guards against requests that are never granted, or whose slot is freed too early, when the
// owner changes by a takeover or by a planned handover.
func TestOwnerMoves(t *testing.T) {
	is := is.New(t)
	n, fleet := startFleet(t, oneTarget(t, 2, 2), "a", "b", "c")
	n.setOwner("b", 1)
	c := fleet["a"].client
	running, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	is.NoErr(err)
	await(t, running)
	n.setOwner("", 1) // no instance owns the pool
	waiting, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	is.NoErr(err)
	third, err := fleet["c"].client.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	is.NoErr(err)
	n.setOwner("c", 2)
	eventually(t, "one of two is granted", func() bool { return len(waiting.Granted())+len(third.Granted()) == 1 })
	running.Done(api.GrantOutcome{Result: api.ResultOK, Cost: 3})
	is.Equal(await(t, waiting).Epoch, uint64(2))
	await(t, third)
	is.NoErr(fleet["c"].sched.Drain(context.Background()))
	n.setOwner("b", 3)
	waiting.Done(api.GrantOutcome{Result: api.ResultOK, Cost: 3})
	last, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
	is.NoErr(err)
	is.Equal(await(t, last).Epoch, uint64(3))
	eventually(t, "one slot is still in use", func() bool { return fleet["b"].metric(`nutmeg_sched_used{pool="p"}`) == "2" })
}

// Guards against load reports and the platform's list being read wrongly: they must change
// the limits of the targets.
func TestPolls(t *testing.T) {
	is := is.New(t)
	var leaving atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/load":
			fmt.Fprint(w, `{"state":"warm","boot":3,"running":0,"queued":0,"as_of_ms":1}`)
		case leaving.Load():
			fmt.Fprint(w, `[{"name":"t1","address":"x","state":"leaving"},{"name":"t2","state":"live"}]`)
		default:
			fmt.Fprint(w, `[]`)
		}
	}))
	t.Cleanup(server.Close)
	cfg := oneTarget(t, 1, 3)
	cfg.Targets[0].Address = strings.TrimPrefix(server.URL, "http://")
	cfg.Targets = append(cfg.Targets, fleetconfig.Target{Name: "t2", Pool: "p", DataCentre: "dc", Address: "127.0.0.1:1",
		WarmCapacity: 9, ColdCapacity: 1})
	platformList = server.URL + "/instances"
	t.Cleanup(func() { platformList = "" })
	n, fleet := startFleet(t, cfg, "a")
	n.setOwner("a", 1)
	limit := func() string { return fleet["a"].metric(`nutmeg_sched_limit{pool="p"}`) }
	eventually(t, "t1 warms up by its reports, t2 refuses and stays cold", func() bool { return limit() == "4" })
	leaving.Store(true)
	eventually(t, "t1 leaves", func() bool { return limit() == "1" })
	var steps []string
	all, _ := fleet["a"].k.Events.Read()
	for _, e := range all {
		steps = append(steps, e.Step+" "+e.Target+" "+e.Detail)
	}
	for _, want := range []string{"open  ", "target t1 warm", "target t1 leaving"} {
		is.True(strings.Contains(strings.Join(steps, "\n"), want))
	}
}

// BenchmarkFleet measures the scheduling of requests by seven instances and one scheduler in
// one process, without targets: queue, demand, grant, confirm, done.
func BenchmarkFleet(b *testing.B) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	n, fleet := startFleet(b, oneTarget(b, 1000, 1000), names...)
	n.setOwner("g", 1)
	var next atomic.Int64
	b.SetParallelism(40)
	b.RunParallel(func(pb *testing.PB) {
		c := fleet[names[next.Add(1)%7]].client
		for pb.Next() {
			tk, err := c.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
			if err != nil {
				b.Error(err)
				return
			}
			<-tk.Granted()
			tk.ResponseStarted(api.WarmthWarm, 1)
			tk.Done(api.GrantOutcome{Result: api.ResultOK, Cost: 1, Warmth: api.WarmthWarm, BootNumber: 1})
		}
	})
}

// BenchmarkIdleGrant measures the time from a request to its grant with an empty queue,
// between two instances in one process.
func BenchmarkIdleGrant(b *testing.B) {
	n, fleet := startFleet(b, oneTarget(b, 10, 10), "a", "b")
	n.setOwner("b", 1)
	took := make([]time.Duration, 0, 4096)
	for b.Loop() {
		begin := time.Now()
		tk, err := fleet["a"].client.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"})
		if err != nil {
			b.Fatal(err)
		}
		await(b, tk)
		took = append(took, time.Since(begin))
		tk.Done(api.GrantOutcome{Result: api.ResultOK, Cost: 1})
		time.Sleep(3 * time.Millisecond)
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "us-p50")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "us-p99")
}
