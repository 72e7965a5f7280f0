package placer

import (
	"context"
	"testing"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// targetList is a directory with the targets by ID.
type targetList struct {
	api.Directory
	targets map[string]api.Target
}

func (l targetList) Target(id string) (api.Target, bool) { t, ok := l.targets[id]; return t, ok }
func (l targetList) Targets() (out []api.Target) {
	for _, t := range l.targets {
		out = append(out, t)
	}
	return out
}

// outFleet is a fleet with the data centre "out" taken out.
type outFleet struct{ api.Fleet }

func (outFleet) View() *api.View { return &api.View{DataCentresOut: map[string]bool{"out": true}} }

// Guards against a fetch from another target than the owner has named: a new incarnation, which has an
// empty cache, or one that must not be used any more; and against a source that is lost on the way.
func TestFetchFromNamesTheOwnersSource(t *testing.T) {
	source := api.Target{ID: "t2", Service: "m", Address: "10.0.0.2:80", DataCentre: "z", Slots: 4, StartedUnixMs: 7}
	changed := func(change func(*api.Target)) map[string]api.Target {
		s := source
		change(&s)
		return map[string]api.Target{"t1": testTarget, "t2": s}
	}
	for name, c := range map[string]struct {
		targets map[string]api.Target
		notice  placement.TargetNotice
		want    string
	}{
		"listed":          {targets: changed(func(*api.Target) {}), want: "10.0.0.2:80"},
		"not listed":      {targets: map[string]api.Target{"t1": testTarget}},
		"new incarnation": {targets: changed(func(t *api.Target) { t.StartedUnixMs = 8 })},
		"leaving":         {targets: changed(func(t *api.Target) { t.Leaving = true })},
		"data centre out": {targets: changed(func(t *api.Target) { t.DataCentre = "out" })},
		"says it leaves":  {targets: changed(func(*api.Target) {}), notice: placement.TargetNotice{Target: "t2", StartedUnixMs: 7, Leaving: true}},
		"paused":          {targets: changed(func(*api.Target) {}), notice: placement.TargetNotice{Target: "t2", StartedUnixMs: 7, Pause: time.Second}},
	} {
		r := newHarness(t)
		r.p.directory, r.p.fleet = targetList{targets: c.targets}, outFleet{}
		placed := make(chan result, 1)
		go func() {
			p, err := r.p.Place(context.Background(), promptRequest("root", "own"))
			placed <- result{p, err}
		}()
		n := r.waitForAsk(0)
		d := placement.Decision{Key: placement.Key{Entry: "e", Number: n}, Target: "t1", FetchFrom: "t2", FetchStartedUnixMs: 7, ForwardShare: 1}
		r.respond(placewire.OwnerMessage{Term: 1, Decisions: []placewire.Decision{placewire.NewDecision(d)}})
		got := <-placed
		r.NoErr(got.err)
		if c.notice.Target != "" {
			r.p.notices.Record(c.notice, r.p.clock.Now())
		}
		if address := got.placement.FetchFrom(); address != c.want {
			t.Errorf("%s: fetches from %q, want %q", name, address, c.want)
		}
		r.NoErr(got.placement.BeforeSend()) // the request is sent in any case
	}
}

// Guards against a fetch for a request that this instance has placed itself.
func TestNoFetchWithoutOwner(t *testing.T) {
	r := newHarness(t)
	a, err := r.p.placeLocal(promptRequest("root", "own"))
	r.NoErr(err)
	r.Equal(a.FetchFrom(), "")
}
