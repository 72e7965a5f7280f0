package owner

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/kernel/kerneltest"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
)

// rig is an owner whose clock, majority and entry instance tests play.
type rig struct {
	api.Mesh
	api.Control
	*is.I
	o *Owner

	kerneltest.Clock

	mu        sync.Mutex
	status    api.ControlStatus
	down      []placewire.Down
	confirmed chan error // answers of the majority
}

func (r *rig) Status() api.ControlStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

func (r *rig) ReadRevision(context.Context) (uint64, error) { return 1, <-r.confirmed }

func (r *rig) Notify(_, _ string, v any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = append(r.down, v.(placewire.Down))
	return nil
}

// told waits for the owner's next message.
func (r *rig) told() placewire.Down {
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		if len(r.down) > 0 {
			d := r.down[0]
			r.down = r.down[1:]
			r.mu.Unlock()
			return d
		}
		r.mu.Unlock()
	}
	r.Fail()
	return placewire.Down{}
}

// newRig starts an owner of term 7 with one target that has one slot.
func newRig(t *testing.T) *rig {
	r := &rig{I: is.New(t), status: api.ControlStatus{Role: "leader", Term: 7}, confirmed: make(chan error)}
	set := metrics.NewSet()
	o := &Owner{
		mesh: r, control: r, clock: r, instant: r.Instant, log: slog.New(slog.DiscardHandler), term: 7,
		inbox:  kernel.NewRing[func()](set, "owner", inboxSize),
		grants: set.NewCounter("a"), refusals: set.NewCounter("b"), decide: set.NewHistogram("c"),
		state: placement.NewOwner(placement.Config{ShareWindow: 4 * time.Second}),
	}
	e := &routing.Engine{Slots: 1, CacheTokens: 10_000}
	o.state.SetView(placement.View{
		Services: map[string]*routing.Service{"m": {Name: "m", Engine: e}}, Targets: []api.Target{{ID: "t1", Service: "m", Slots: 1}},
	}, 0)
	r.o = o
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = o.run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	r.looked()
	return r
}

// looked waits until the owner has looked at the clock.
func (r *rig) looked() {
	done := make(chan struct{})
	r.o.inbox.Push(func() { close(done) })
	<-done
}

// send plays a message of an entry instance.
func (r *rig) send(u placewire.Up) {
	u.Term = 7
	r.o.inbox.Push(func() { r.o.take("e", &u) })
}

func asks(n uint64) []placewire.Ask {
	return []placewire.Ask{placewire.NewAsk(n, &api.Work{Service: "m", Workspace: "w", PromptTokens: 10, OutputTokens: 1,
		Objective: time.Hour, Deadline: time.Hour, Route: &routing.Route{Objective: time.Hour}}, 0)}
}

// Guards against an owner that was stopped or suspended for some seconds and goes on
// granting although another one has followed meanwhile: it grants nothing until a majority
// has confirmed that it is still the leader. What waited before the pause gets no grant
// either.
func TestPausedOwnerDoesNotGrant(t *testing.T) {
	for name, monotonic := range map[string]time.Duration{"stopped": 4 * time.Second, "suspended": 0} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.send(placewire.Up{Asks: asks(1)})
			r.Equal(r.told().Grants[0].Target, "t1")
			r.send(placewire.Up{Asks: asks(2)}) // waits for the slot
			r.looked()
			r.Pass(monotonic, 4*time.Second)
			r.send(placewire.Up{Ends: []placewire.End{{Number: 1, Outcome: api.WorkServed}}})
			r.send(placewire.Up{Asks: asks(3)})
			for range 2 { // for request 2, whose turn it is, and for request 3
				d := r.told()
				r.True(d.Not)
				r.Equal(len(d.Grants), 0)
			}
			r.send(placewire.Up{Ends: []placewire.End{{Number: 2, Outcome: api.WorkUnsent}}}) // the entry places it by itself
			r.confirmed <- nil
			r.looked()
			for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
				r.send(placewire.Up{Asks: asks(4)})
				if d := r.told(); !d.Not {
					r.Equal(d.Grants[0].Target, "t1")
					return
				}
			}
			t.Fatal("it does not go on")
		})
	}
}

// Guards against an owner that goes on after a pause although it was replaced: the
// majority does not answer, then its replica hears of the other leader.
func TestReplacedOwnerStays(t *testing.T) {
	r := newRig(t)
	r.Pass(0, 4*time.Second)
	r.send(placewire.Up{Asks: asks(1)})
	r.True(r.told().Not)
	r.confirmed <- context.DeadlineExceeded
	r.mu.Lock()
	r.status = api.ControlStatus{Role: "follower", Term: 8}
	r.mu.Unlock()
	select {
	case r.confirmed <- context.DeadlineExceeded:
	case <-time.After(50 * time.Millisecond):
	}
	r.o.inbox.Push(func() { r.o.statusChanged(r.Status()) })
	r.send(placewire.Up{Asks: asks(2)})
	r.True(r.told().Not)
	r.looked()
}

// Guards against an owner that stays in doubt for good because the news of its confirmation
// found the queue of messages full.
func TestConfirmationIsNotLost(t *testing.T) {
	r := newRig(t)
	hold, held := make(chan struct{}), make(chan struct{})
	r.o.inbox.Push(func() { r.o.doubted = true; close(held); <-hold })
	<-held
	for r.o.inbox.Push(func() {}) { // until it is full
	}
	go r.o.confirm(context.Background(), 7)
	r.confirmed <- nil
	r.confirmed <- nil // it asks again
	close(hold)
	go func() { r.confirmed <- nil }()
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		doubted := make(chan bool, 1)
		if r.o.inbox.Push(func() { doubted <- r.o.doubted }) && !<-doubted {
			return
		}
	}
	t.Fatal("it stays in doubt")
}
