package loadgen

import (
	"context"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/standin"
)

// testPlan returns a plan of 1 s with two workspaces and the standard kinds.
func testPlan(direct map[string][]string) *Plan {
	return &Plan{
		Seed: 7, Rate: 300, Duration: time.Second, Direct: direct, Entries: []string{"unused"},
		Workspaces: []Workspace{{Name: "a", Weight: 1, Share: 2}, {Name: "b", Weight: 1, Share: 1}},
		Kinds:      StandardKinds("llm", "m", "svc"),
	}
}

// Guards against a plan that does not generate the same jobs again from its seed,
// and against an arrival rate that differs from the planned one.
func TestJobsAreSeeded(t *testing.T) {
	is := is.New(t)
	a, b := testPlan(nil), testPlan(nil)
	is.Equal(len(a.Jobs()), len(b.Jobs()))
	ja, jb := a.Jobs(), b.Jobs()
	for i := range ja {
		ja[i].Kind, jb[i].Kind = nil, nil
	}
	is.True(reflect.DeepEqual(ja, jb))
	is.True(math.Abs(float64(len(ja))-300) < 5*math.Sqrt(300)) // 5 standard deviations
	b.Seed = 8
	is.True(b.Jobs()[0].At != ja[0].At)
}

// Guards against a generator that reports whole responses as lost, or that misses
// lost responses and doubled or falsely refused requests.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	h, err := standin.Start([]standin.Spec{
		{Name: "e", Kind: standin.KindEngine, Listen: "127.0.0.1:0", StartWarm: true, WarmCapacity: 1000, PaceUs: 500, PerSequenceUs: 1},
		{Name: "s", Kind: standin.KindService, Listen: "127.0.0.1:0", StartWarm: true, WarmCapacity: 1000},
	})
	is.NoErr(err)
	defer h.Close()
	addr := h.Addresses()
	p := testPlan(map[string][]string{"llm": addr[:1], "svc": addr[1:]})
	r := New(p)
	r.Do(context.Background())
	ev, err := Collect(context.Background(), addr)
	is.NoErr(err)
	rep := r.Report(ev)
	is.Equal(rep.Total.Whole, rep.Total.Sent)
	is.True(rep.Clean())
	is.True(rep.FirstByte["long"].TotalCount() > 0 && rep.EventGap["long"].TotalCount() > 0)

	// The same requests again: each keyed call has now run twice.
	r = New(p)
	r.Do(context.Background())
	ev, err = Collect(context.Background(), addr)
	is.NoErr(err)
	rep = r.Report(ev)
	is.True(rep.Total.Doubled > 0)
	rec := &r.Records[0]
	rec.Verdict, rec.AllNotRun = Refused, true
	is.Equal(r.Report(ev).Total.FalselyRefused, 1)

	// A target that restarts during the run truncates streams.
	time.AfterFunc(300*time.Millisecond, func() { injectFault(t, addr[0], `{"fault":"die"}`) })
	p.Seed = 9
	r = New(p)
	r.Do(context.Background())
	rep = r.Report(nil)
	is.True(rep.Total.Lost > 0)
	is.Equal(rep.Total.Wrong, 0)
}

// Guards against wrong max-min fair shares when a workspace asks for less than its
// share.
func TestMaxMinFairShares(t *testing.T) {
	is := is.New(t)
	is.Equal(MaxMinFairShares(90, []float64{10, 100, 100}, []float64{1, 1, 1}), []float64{10, 40, 40})
	is.Equal(MaxMinFairShares(90, []float64{100, 100}, []float64{2, 1}), []float64{60, 30})
	is.Equal(MaxMinFairShares(90, []float64{10, 20}, []float64{1, 1}), []float64{10, 20})
}

// Guards against a load balancer that selects an entry that is not ready, or
// retries at the entry of the failed attempt.
func TestBalancerChoose(t *testing.T) {
	is := is.New(t)
	b := newBalancer(&Plan{Entries: []string{"a", "b", "c"}}, nil)
	is.Equal(b.choose(1, 0), 1)
	is.Equal(b.choose(1, 1), 2)
	b.ready[1].Store(false)
	is.Equal(b.choose(1, 0), 2)
	b.ready[0].Store(false)
	b.ready[2].Store(false)
	is.Equal(b.choose(1, 0), 1)
}

func injectFault(t *testing.T, addr, body string) {
	t.Helper()
	if err := standin.Inject(addr, body); err != nil {
		t.Error(err)
	}
}

// Guards against a backlog that includes requests before their arrival or after
// their first byte, or requests of other workspaces.
func TestBacklog(t *testing.T) {
	is := is.New(t)
	r := &Run{Records: []Record{
		{Job: &Job{At: 2 * time.Second}, FirstByteLatency: 2 * time.Second},
		{Job: &Job{At: 3 * time.Second, Workspace: 1}, FirstByteLatency: time.Minute},
	}}
	is.Equal(r.Backlog(0, time.Second, 6*time.Second, time.Second), []int{0, 1, 1, 0, 0})
}
