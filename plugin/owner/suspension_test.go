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

// harness runs an owner with a fake clock, control group and mesh. The test sends the
// messages of an entry instance.
type harness struct {
	api.Mesh
	api.Control
	*is.I
	o *Owner

	kerneltest.Clock

	mu            sync.Mutex
	status        api.ControlStatus
	sent          []placewire.OwnerMessage
	confirmations chan error // results of ReadRevision
}

func (r *harness) Status() api.ControlStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

func (r *harness) ReadRevision(context.Context) (uint64, error) { return 1, <-r.confirmations }

func (r *harness) Notify(_, _ string, v any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, v.(placewire.OwnerMessage))
	return nil
}

// nextMessage waits for the owner's next message and returns it.
func (r *harness) nextMessage() placewire.OwnerMessage {
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		if len(r.sent) > 0 {
			d := r.sent[0]
			r.sent = r.sent[1:]
			r.mu.Unlock()
			return d
		}
		r.mu.Unlock()
	}
	r.Fail()
	return placewire.OwnerMessage{}
}

// nextWith returns the next message for which a condition holds, without the others.
func (r *harness) nextWith(holds func(placewire.OwnerMessage) bool) placewire.OwnerMessage {
	for {
		if m := r.nextMessage(); holds(m) || m.Term == 0 { // none came
			return m
		}
	}
}

// newHarness starts an owner in term 7 with one target that has one slot.
func newHarness(t *testing.T) *harness {
	r := &harness{I: is.New(t), status: api.ControlStatus{Role: "leader", Term: 7}, confirmations: make(chan error)}
	set := metrics.NewSet()
	o := &Owner{
		mesh: r, control: r, clock: r, readClocks: r.ReadClocks, log: slog.New(slog.DiscardHandler), term: 7,
		inbox:  kernel.NewRing[func()](set, "owner", inboxSize),
		grants: set.NewCounter("a"), refusals: set.NewCounter("b"), retries: set.NewCounter("retries"), searches: set.NewCounter("s"), blocks: set.NewCounter("d"), blockedRequests: set.NewCounter("e"),
		entries: map[string]bool{}, peers: map[string]peer{}, reportsDue: map[string]time.Duration{}, blockedParts: newBroadcast(), suspects: newBroadcast(), limitsDue: map[string]bool{}, suspectsDue: map[string]bool{}, dropped: map[string]uint64{}, decideSeconds: set.NewHistogram("c"),
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
	r.waitForCheck()
	return r
}

// waitForCheck waits until the owner has checked its clock for a suspension.
func (r *harness) waitForCheck() {
	done := make(chan struct{})
	r.o.inbox.Push(func() { close(done) })
	<-done
}

// waitForRound waits for the end of a round of the owner that reads its clock after the call. Two calls of
// waitForCheck do not: one round may handle both and send its messages later.
func (r *harness) waitForRound() {
	rounds := func() (n int) {
		done := make(chan struct{})
		r.o.inbox.Push(func() { n = r.o.load.rounds; close(done) })
		<-done
		return n
	}
	for first := rounds(); rounds() == first; {
	}
}

// send delivers a message from an entry instance.
func (r *harness) send(u placewire.EntryMessage) {
	u.Term = 7
	r.o.inbox.Push(func() { r.o.applyUpdate("e", &u, r.o.clock.Now()) })
}

func newRequests(n uint64) []placewire.Request {
	return []placewire.Request{placewire.NewRequest(n, &api.PlacementRequest{Service: "m", Workspace: "w", PromptTokens: 10, ExpectedOutputTokens: 1,
		Objective: time.Hour, Deadline: time.Hour, Route: &routing.Route{Objective: time.Hour}}, 0)}
}

// Guards against an owner that was stopped or suspended for some seconds and still grants
// requests although another owner was elected meanwhile. It must grant nothing, also not
// to requests that were queued before the suspension, until a majority has confirmed its
// leadership.
func TestSuspendedOwnerDoesNotGrant(t *testing.T) {
	for name, monotonic := range map[string]time.Duration{"stopped": 4 * time.Second, "suspended": 0} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.send(placewire.EntryMessage{Requests: newRequests(1)})
			r.Equal(r.nextMessage().Decisions[0].Target, "t1")
			r.send(placewire.EntryMessage{Requests: newRequests(2)}) // queued until the slot is free
			r.waitForCheck()
			r.Advance(monotonic, 4*time.Second)
			r.send(placewire.EntryMessage{Ends: []placewire.End{{Number: 1, Outcome: api.AttemptServed}}})
			r.send(placewire.EntryMessage{Requests: newRequests(3)})
			for range 2 { // for request 2, which is next in the queue, and for request 3
				d := r.nextMessage()
				r.True(d.NotOwner)
				r.Equal(len(d.Decisions), 0)
			}
			r.send(placewire.EntryMessage{Ends: []placewire.End{{Number: 2, Outcome: api.AttemptUnsent}}}) // the entry instance places it locally
			r.confirmations <- nil
			r.waitForCheck()
			for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
				r.send(placewire.EntryMessage{Requests: newRequests(4)})
				if d := r.nextMessage(); !d.NotOwner {
					r.Equal(d.Decisions[0].Target, "t1")
					return
				}
			}
			t.Fatal("the owner grants nothing after the confirmation")
		})
	}
}

// Guards against an owner that grants requests after a suspension although it was
// replaced: no majority responds, then its replica learns of the new leader.
func TestReplacedOwnerDoesNotGrant(t *testing.T) {
	r := newHarness(t)
	r.Advance(0, 4*time.Second)
	r.send(placewire.EntryMessage{Requests: newRequests(1)})
	r.True(r.nextMessage().NotOwner)
	r.confirmations <- context.DeadlineExceeded
	r.mu.Lock()
	r.status = api.ControlStatus{Role: "follower", Term: 8}
	r.mu.Unlock()
	select {
	case r.confirmations <- context.DeadlineExceeded:
	case <-time.After(50 * time.Millisecond):
	}
	r.o.inbox.Push(func() { r.o.statusChanged(r.Status()) })
	r.send(placewire.EntryMessage{Requests: newRequests(2)})
	r.True(r.nextMessage().NotOwner)
	r.waitForCheck()
}

// Guards against an owner that stays unconfirmed forever because its inbox was full when
// the confirmation was to be queued.
func TestConfirmationSurvivesFullInbox(t *testing.T) {
	r := newHarness(t)
	release, blocked := make(chan struct{}), make(chan struct{})
	r.o.inbox.Push(func() { r.o.unconfirmed = true; close(blocked); <-release })
	<-blocked
	for r.o.inbox.Push(func() {}) { // until the inbox is full
	}
	go r.o.confirmLeadership(context.Background(), 7)
	r.confirmations <- nil
	r.confirmations <- nil // confirmLeadership reads again, because the inbox is full
	close(release)
	go func() { r.confirmations <- nil }()
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		unconfirmed := make(chan bool, 1)
		if r.o.inbox.Push(func() { unconfirmed <- r.o.unconfirmed }) && !<-unconfirmed {
			return
		}
	}
	t.Fatal("the ownership stays unconfirmed")
}

// Guards against an owner that is busy with a full inbox, takes the time that it needs for a suspension,
// and leaves its requests to entry instances, which cannot share the targets as well; and against
// decisions that wait until the inbox is empty.
func TestBusyOwnerGoesOnGranting(t *testing.T) {
	r := newHarness(t)
	start := make(chan struct{})
	r.o.inbox.Push(func() { <-start })
	r.send(placewire.EntryMessage{Requests: newRequests(1)})
	const functions = 600 // of 2 ms
	before := 0           // functions before the decision is sent
	for range functions {
		r.o.inbox.Push(func() {
			r.Advance(2*time.Millisecond, 2*time.Millisecond)
			if r.o.grants.Get() == 0 {
				before++
			}
		})
	}
	close(start)
	m := r.nextMessage()
	r.True(!m.NotOwner)
	r.Equal(m.Decisions[0].Target, "t1")
	r.o.inbox.Push(func() {
		r.True(!r.o.unconfirmed)
		r.True(before <= 100)
	})
	r.waitForCheck()
}
