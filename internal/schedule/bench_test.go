package schedule

import (
	"fmt"
	"testing"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/limits"
)

// newBenchOwner returns an owner with the given numbers of workspaces, each with
// four waiting requests, and of targets, and its only instance.
func newBenchOwner(workspaces, targets int) (*Owner, *peer) {
	o := NewOwner("p", 1, map[string]string{"r": "dc"}, 0)
	weights := map[string]float64{}
	for i := range workspaces {
		weights[fmt.Sprint(i)] = float64(1 + i%7)
	}
	o.SetWeights(weights)
	var cs []limits.Config
	for i := range targets {
		cs = append(cs, limits.Config{Name: fmt.Sprint("t", i), DataCentre: fmt.Sprint("dc", i%23), WarmCapacity: 8, ColdCapacity: 8,
			WarmthTTL: time.Hour, ReportLag: time.Second, RequestLimit: time.Hour})
	}
	o.Targets().Configure(cs, 0)
	o.Report("r", &ReportMsg{Header: Header{Epoch: 1, Incarnation: 1, Generation: 1}}, 0)
	for i := range targets {
		o.Targets().PollFailed(fmt.Sprint("t", i), 0)
	}
	p := o.peers["r"]
	for i := range workspaces {
		for k := range 4 {
			o.addWaiting(p, &Announcement{Number: uint64(4*i + k + 1), Workspace: fmt.Sprint(i), Class: api.ClassQuick}, 0)
		}
	}
	return o, p
}

// BenchmarkDecision measures one full cycle: a decision, its grant message, the
// completion of the work and the announcement of the next request. Four cycles per
// target run first, in which the responses report the targets as warm.
func BenchmarkDecision(b *testing.B) {
	for _, workspaces := range []int{16, 430, 4300} {
		for _, targets := range []int{16, 1200, 12000} {
			b.Run(fmt.Sprintf("workspaces=%d/targets=%d", workspaces, targets), func(b *testing.B) {
				o, p := newBenchOwner(workspaces, targets)
				var last Grant
				send := func(_ string, m *GrantMsg) bool { last = m.Grants[len(m.Grants)-1]; return true }
				cycle := func(i int) {
					if !o.decide(time.Duration(i)) {
						b.Fatal("no request was granted")
					}
					o.Flush(send)
					ws := p.requests[last.Number].queue.account.Name
					d := Completion{last.Number, api.GrantOutcome{Result: api.ResultOK, Cost: float64(50 + i%100), Warmth: api.WarmthWarm}}
					o.applyOutcome(p, &d, time.Duration(i))
					a := Announcement{Number: last.Number, Workspace: ws, Class: api.ClassQuick}
					o.addWaiting(p, &a, time.Duration(i))
				}
				for i := range 4 * targets {
					cycle(i)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					cycle(i)
				}
			})
		}
	}
}

// Guards against memory allocation in decisions once the buffers have grown.
func TestDecisionDoesNotAllocate(t *testing.T) {
	o, p := newBenchOwner(430, 1200)
	var last Grant
	send := func(_ string, m *GrantMsg) bool { last = m.Grants[0]; return true }
	a := Announcement{Class: api.ClassQuick}
	cycle := func() {
		o.decide(0)
		o.Flush(send)
		a.Number, a.Workspace = last.Number, p.requests[last.Number].queue.account.Name
		d := Completion{last.Number, api.GrantOutcome{Result: api.ResultOK, Cost: 70}}
		o.applyOutcome(p, &d, 0)
		o.addWaiting(p, &a, 0)
	}
	for range 5000 {
		cycle()
	}
	if n := testing.AllocsPerRun(1000, cycle); n != 0 {
		t.Fatalf("%v allocations per decision, want 0", n)
	}
}
