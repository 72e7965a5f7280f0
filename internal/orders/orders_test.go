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

const interval = 2 * time.Second

func states(n int) []api.TargetState {
	var out []api.TargetState
	for i := range n {
		out = append(out, api.TargetState{
			Target: fleetconfig.Target{Name: fmt.Sprint("t", i), DataCentre: "a"},
			Warmth: api.WarmthCold, Boot: 1,
		})
	}
	return out
}

// Guards against loads above the weight store's rate, also right after a takeover.
func TestLoadsArePaced(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, interval, 0)
	var at []time.Duration
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		for _, o := range p.Plan(now, states(5), nil) {
			if o.Kind == Load {
				at = append(at, now)
			}
			p.Done(now, o, Accepted)
		}
	}
	is.Equal(len(at), 5) // each target once
	last := time.Duration(0)
	for _, x := range at {
		is.True(x-last >= interval)
		last = x
	}
}

// Guards against a target that is warmed twice, before its load, or not at all.
func TestLoadThenWarmOncePerBoot(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, interval, 0)
	var kinds []Kind
	for now := time.Duration(0); now < 30*time.Second; now += time.Second {
		s := states(1)
		if now >= 15*time.Second {
			s[0].Boot = 2 // the target restarts
		}
		for _, o := range p.Plan(now, s, nil) {
			kinds = append(kinds, o.Kind)
			p.Done(now, o, Accepted)
		}
	}
	is.Equal(kinds, []Kind{Load, Warm, Load, Warm})
}

// Guards against orders to targets that must get no work.
func TestSkippedTargets(t *testing.T) {
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
			got := NewPlanner(pool, interval, 0).Plan(interval, s, map[string]bool{"a": c.returning})
			is.New(t).Equal(len(got), c.want)
		})
	}
}

// Guards against a failed order that is repeated without a pause or given up.
func TestFailedOrderBacksOff(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, time.Millisecond, 0)
	sent := 0
	for now := time.Duration(0); now < 5*time.Minute; now += 100 * time.Millisecond {
		for _, o := range p.Plan(now, states(1), nil) {
			sent++
			p.Done(now, o, Failed)
		}
	}
	is.True(sent >= 5*60/30) // still tried at least every MaxRetry
	is.True(sent <= 16)      // 5 doublings, then every MaxRetry
}

// Guards against orders under an old fencing token after an engine refused one.
func TestStaleTokenStopsOrders(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, interval, 0)
	o := p.Plan(interval, states(2), nil)[0]
	p.Done(interval, o, Stale)
	is.True(p.Stale())
	is.Equal(len(p.Plan(time.Minute, states(2), nil)), 0)
	p.Renewed()
	is.True(len(p.Plan(time.Minute, states(2), nil)) > 0)
}

// Guards against an answer to an order of an earlier boot that marks the
// restarted target as loaded.
func TestLateAnswerOfEarlierBoot(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(pool, interval, 0)
	old := p.Plan(interval, states(1), nil)[0]
	s := states(1)
	s[0].Boot = 2
	is.Equal(len(p.Plan(interval, s, nil)), 0) // the rate is used up
	p.Done(interval, old, Accepted)
	got := p.Plan(3*interval, s, nil)
	is.Equal(len(got), 1)
	is.Equal(got[0].Kind, Load)
}
