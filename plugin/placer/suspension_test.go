package placer

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel/kerneltest"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
)

// rig is a placer whose owner and clocks tests play.
type rig struct {
	*is.I
	p *Placer

	kerneltest.Clock

	mu   sync.Mutex
	told []placewire.Up
}

// The methods of api.Mesh, api.Topology, api.Fleet and api.Directory that a placer uses.
func (r *rig) Reachable(string) bool { return true }
func (r *rig) Notify(_, _ string, v any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, v.(placewire.Up))
	return nil
}

var usable = api.Target{ID: "t1", Service: "m", DataCentre: "z", Slots: 4}

type (
	mesh      struct{ api.Mesh }
	topology  struct{ api.Topology }
	fleet     struct{ api.Fleet }
	directory struct{ api.Directory }
)

func (topology) Entries() int                         { return 2 }
func (fleet) View() *api.View                         { return &api.View{} }
func (directory) Targets() []api.Target               { return []api.Target{usable} }
func (directory) Target(id string) (api.Target, bool) { return usable, id == usable.ID }

type tellingMesh struct {
	mesh
	r *rig
}

func (m tellingMesh) Reachable(p string) bool               { return m.r.Reachable(p) }
func (m tellingMesh) Notify(to, method string, v any) error { return m.r.Notify(to, method, v) }

func newRig(t *testing.T) *rig {
	r := &rig{I: is.New(t)}
	set := metrics.NewSet()
	r.p = &Placer{
		mesh: tellingMesh{r: r}, topology: topology{}, fleet: fleet{}, directory: directory{}, clock: r, log: slog.New(slog.DiscardHandler),
		dataCentre: "z", instant: r.Instant, local: placement.NewLocal("z"), flood: placement.NewFlood(),
		owner: ownerState{name: "o", term: 1}, waiting: map[uint64]*waiter{}, running: map[uint64]*placed{},
		kick: make(chan struct{}, 1), watch: make(chan struct{}, 1),
		remote: set.NewCounter("a"), fallback: set.NewCounter("b"), unanswered: set.NewCounter("c"), held: set.NewCounter("d"),
		expired: set.NewCounter("e"), wait: set.NewHistogram("f"),
	}
	return r
}

// asked waits until a request waits for the owner, and returns its number.
func (r *rig) asked(after uint64) uint64 {
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		r.p.mu.Lock()
		for n := range r.p.waiting {
			if n > after {
				r.p.mu.Unlock()
				return n
			}
		}
		r.p.mu.Unlock()
	}
	r.Fail()
	return 0
}

// answer plays the owner's message.
func (r *rig) answer(d placewire.Down) {
	raw, err := json.Marshal(d)
	r.NoErr(err)
	_, err = r.p.handleDown(context.Background(), "o", raw)
	r.NoErr(err)
}

func (r *rig) grant(n uint64) {
	r.answer(placewire.Down{Term: 1, Grants: []placewire.Grant{{Number: n, Target: "t1"}}})
}

type result struct {
	placement api.Placement
	err       error
}

func (r *rig) place() chan result {
	done := make(chan result, 1)
	go func() {
		p, err := r.p.Place(context.Background(), &api.Work{Service: "m", Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{}})
		done <- result{p, err}
	}()
	return done
}

// ends returns the requests that the owner is told to have ended.
func (r *rig) ends() (out []uint64) {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	for _, e := range r.p.up.Ends {
		out = append(out, e.Number)
	}
	return out
}

// Guards against a process that was stopped or suspended for some seconds and then sends
// by a permission from before: the owner has given the target's slot to others meanwhile,
// and a cold target would get more starts in a second than it bears. The pause lies
// before the owner's answer is read, or between the answer and the request's first byte;
// the monotonic clock goes on or stands still.
func TestPausedEntryDoesNotSend(t *testing.T) {
	const pause = 4 * time.Second
	for name, monotonic := range map[string]time.Duration{"stopped": pause, "suspended": 0} {
		t.Run(name+" before the answer", func(t *testing.T) {
			r := newRig(t)
			done := r.place()
			first := r.asked(0)
			r.Pass(monotonic+time.Millisecond, pause)
			r.grant(first)
			second := r.asked(first) // it asks again
			r.Equal(r.ends(), []uint64{first})
			r.grant(second)
			got := <-done
			r.NoErr(got.err)
			r.NoErr(got.placement.Sent())
			r.Equal(got.placement.(*placed).number, second)
		})
		t.Run(name+" before the first byte", func(t *testing.T) {
			r := newRig(t)
			done := r.place()
			r.grant(r.asked(0))
			got := <-done
			r.NoErr(got.err)
			r.Pass(monotonic, pause)
			r.True(errors.Is(got.placement.Sent(), errExpired))
		})
	}
}

// Guards against answers that are refused although the process ran all the time: a
// request may wait for seconds while the owner tells that it is there.
func TestLongWaitIsNoPause(t *testing.T) {
	r := newRig(t)
	done := r.place()
	n := r.asked(0)
	for range 60 {
		r.Pass(100*time.Millisecond, 100*time.Millisecond)
		r.answer(placewire.Down{Term: 1})
	}
	r.grant(n)
	got := <-done
	r.NoErr(got.err)
	r.Equal(got.placement.(*placed).number, n)
	r.Pass(10*time.Minute, 10*time.Minute) // nobody asks; nobody looks
	done = r.place()
	n = r.asked(n)
	r.grant(n)
	got = <-done
	r.NoErr(got.err)
	r.NoErr(got.placement.Sent())
}
