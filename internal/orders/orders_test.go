package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

var pool = fleetconfig.Pool{Name: "p", Kind: fleetconfig.KindEngine, Model: "m", Version: "1"}

const loadInterval = 2 * time.Second

// states returns the states of n cold targets in service.
func states(n int) []api.TargetState {
	var out []api.TargetState
	for i := range n {
		out = append(out, api.TargetState{
			Target: fleetconfig.Target{Name: fmt.Sprint("t", i), DataCentre: "a"},
			Warmth: api.WarmthCold, BootNumber: 1,
		})
	}
	return out
}

// Guards against load orders above the weight store's rate, also right after a
// takeover.
func TestLoadsArePaced(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, loadInterval, 0)
	var loadTimes []time.Duration
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		for _, o := range p.Plan(now, states(5), nil) {
			if o.Kind == Load {
				loadTimes = append(loadTimes, now)
			}
			p.RecordOutcome(now, o, Accepted)
		}
	}
	is.Equal(len(loadTimes), 5) // one for each target
	last := time.Duration(0)
	for _, x := range loadTimes {
		is.True(x-last >= loadInterval)
		last = x
	}
}

// Guards against a warm order that is sent twice, before the load order, or not at
// all.
func TestLoadThenWarmOncePerBoot(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, loadInterval, 0)
	var kinds []Kind
	for now := time.Duration(0); now < 30*time.Second; now += time.Second {
		s := states(1)
		if now >= 15*time.Second {
			s[0].BootNumber = 2 // the target restarts
		}
		for _, o := range p.Plan(now, s, nil) {
			kinds = append(kinds, o.Kind)
			p.RecordOutcome(now, o, Accepted)
		}
	}
	is.Equal(kinds, []Kind{Load, Warm, Load, Warm})
}

// Guards against orders to targets that are leaving, out of service or already warm.
func TestTargetsWithoutOrders(t *testing.T) {
	cases := []struct {
		name      string
		change    func(*api.TargetState)
		returning bool
		want      int
	}{
		{"in service", func(*api.TargetState) {}, false, 1},
		{"leaving", func(s *api.TargetState) { s.Leaving = true }, true, 0},
		{"out", func(s *api.TargetState) { s.Out = true }, false, 0},
		{"out, returns soon", func(s *api.TargetState) { s.Out = true }, true, 1},
		{"warm already", func(s *api.TargetState) { s.Warmth = api.WarmthWarm }, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := states(1)
			c.change(&s[0])
			got := NewPlanner(pool, loadInterval, 0).Plan(loadInterval, s, map[string]bool{"a": c.returning})
			is.New(t).Equal(len(got), c.want)
		})
	}
}

// Guards against a failed order that is retried without a delay or not at all.
func TestFailedOrderBacksOff(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, time.Millisecond, 0)
	sent := 0
	for now := time.Duration(0); now < 5*time.Minute; now += 100 * time.Millisecond {
		for _, o := range p.Plan(now, states(1), nil) {
			sent++
			p.RecordOutcome(now, o, Failed)
		}
	}
	is.True(sent >= 5*60/30) // retried at least every MaxRetry
	is.True(sent <= 16)      // 5 doublings, then every MaxRetry
}

// Guards against further orders with a fencing token that an engine refused as
// outdated.
func TestOutdatedTokenStopsOrders(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, loadInterval, 0)
	o := p.Plan(loadInterval, states(2), nil)[0]
	p.RecordOutcome(loadInterval, o, TokenOutdated)
	is.True(p.HasOutdatedToken())
	is.Equal(len(p.Plan(time.Minute, states(2), nil)), 0)
	p.TokenRenewed()
	is.True(len(p.Plan(time.Minute, states(2), nil)) > 0)
}

// Guards against the outcome of an order to an earlier boot that marks the restarted
// target as loaded.
func TestOutcomeOfEarlierBootIgnored(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, loadInterval, 0)
	old := p.Plan(loadInterval, states(1), nil)[0]
	s := states(1)
	s[0].BootNumber = 2
	is.Equal(len(p.Plan(loadInterval, s, nil)), 0) // the next load order is not due yet
	p.RecordOutcome(loadInterval, old, Accepted)
	got := p.Plan(3*loadInterval, s, nil)
	is.Equal(len(got), 1)
	is.Equal(got[0].Kind, Load)
}
