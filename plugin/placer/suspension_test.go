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

// harness runs a placer with a fake clock and mesh. The test sends the owner's messages.
type harness struct {
	*is.I
	p *Placer

	kerneltest.Clock

	mu   sync.Mutex
	sent []placewire.EntryMessage
}

// The methods of api.Mesh, api.Topology, api.Fleet and api.Directory that a placer uses.
func (r *harness) Reachable(string) bool { return true }
func (r *harness) Notify(_, _ string, v any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, v.(placewire.EntryMessage))
	return nil
}

var testTarget = api.Target{ID: "t1", Service: "m", DataCentre: "z", Slots: 4}

type (
	mesh      struct{ api.Mesh }
	topology  struct{ api.Topology }
	fleet     struct{ api.Fleet }
	directory struct{ api.Directory }
)

func (topology) EntryCount() int                      { return 2 }
func (fleet) View() *api.View                         { return &api.View{} }
func (directory) Targets() []api.Target               { return []api.Target{testTarget} }
func (directory) Target(id string) (api.Target, bool) { return testTarget, id == testTarget.ID }

type recordingMesh struct {
	mesh
	r *harness
}

func (m recordingMesh) Reachable(p string) bool               { return m.r.Reachable(p) }
func (m recordingMesh) Notify(to, method string, v any) error { return m.r.Notify(to, method, v) }

func newHarness(t *testing.T) *harness {
	r := &harness{I: is.New(t)}
	set := metrics.NewSet()
	r.p = &Placer{
		mesh: recordingMesh{r: r}, topology: topology{}, fleet: fleet{}, directory: directory{}, clock: r, log: slog.New(slog.DiscardHandler),
		dataCentre: "z", readClocks: r.ReadClocks, local: placement.NewLocal("z"), throttle: placement.NewThrottle(), blocked: placement.NewBlockList(), notices: placement.NewNotices(), suspects: placement.NewSuspectList(), localByWorkspace: map[string]int{}, starts: placement.NewStartShare(), recent: newRecentPrompts(), subsets: map[string]subset{}, listsKnown: make(chan struct{}), startedAt: -startTimeout,
		leavingNotices: set.NewCounter("g"), pauseNotices: set.NewCounter("h"), limitNotices: set.NewCounter("i"), unmeteredSends: set.NewCounter("j"),
		owner: ownerState{name: "o", term: 1}, waiting: map[uint64]*waiter{}, running: map[uint64]*assignment{},
		sendSignal: make(chan struct{}, 1), watchSignal: make(chan struct{}, 1),
		ownerGrants: set.NewCounter("a"), localPlacements: set.NewCounter("b"), ownerTimeouts: set.NewCounter("c"), throttled: set.NewCounter("d"),
		expiredGrants: set.NewCounter("e"), waitSeconds: set.NewHistogram("f"),
	}
	return r
}

// waitForAsk waits until a request with a number above after waits for the owner, and
// returns its number.
func (r *harness) waitForAsk(after uint64) uint64 {
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

// respond delivers a message from the owner.
func (r *harness) respond(d placewire.OwnerMessage) {
	raw, err := json.Marshal(d)
	r.NoErr(err)
	_, err = r.p.handleOwnerMessage(context.Background(), "o", raw)
	r.NoErr(err)
}

func (r *harness) grant(n uint64) {
	r.respond(placewire.OwnerMessage{Term: 1, Decisions: []placewire.Decision{{Number: n, Target: "t1"}}})
}

type result struct {
	placement api.Placement
	err       error
}

func (r *harness) place() chan result {
	done := make(chan result, 1)
	go func() {
		p, err := r.p.Place(context.Background(), &api.PlacementRequest{Service: "m", Engine: &routing.Engine{Slots: 4}, Route: &routing.Route{}})
		done <- result{p, err}
	}()
	return done
}

// endedRequests returns the numbers of the requests whose end is reported to the owner.
func (r *harness) endedRequests() (out []uint64) {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	for _, e := range r.p.pending.Ends {
		out = append(out, e.Number)
	}
	return out
}

// Guards against a process that was stopped or suspended for some seconds and then sends a
// request by an old grant: the owner may have granted the slot to another request, and a
// cold target would receive more starts per second than it can serve. The suspension lies
// before the owner's response is read, or between the response and the first byte of the
// request. The monotonic clock runs (stopped) or stands still (suspended).
func TestSuspendedEntryDoesNotSend(t *testing.T) {
	const suspension = 4 * time.Second
	for name, monotonic := range map[string]time.Duration{"stopped": suspension, "suspended": 0} {
		t.Run(name+" before the response", func(t *testing.T) {
			r := newHarness(t)
			done := r.place()
			first := r.waitForAsk(0)
			r.Advance(monotonic+time.Millisecond, suspension)
			r.grant(first)
			second := r.waitForAsk(first) // the placer asks the owner again
			r.Equal(r.endedRequests(), []uint64{first})
			r.grant(second)
			got := <-done
			r.NoErr(got.err)
			r.NoErr(got.placement.BeforeSend())
			r.Equal(got.placement.(*assignment).number, second)
		})
		t.Run(name+" before the first byte", func(t *testing.T) {
			r := newHarness(t)
			done := r.place()
			r.grant(r.waitForAsk(0))
			got := <-done
			r.NoErr(got.err)
			r.Advance(monotonic, suspension)
			r.True(errors.Is(got.placement.BeforeSend(), errExpired))
		})
	}
}

// Guards against grants that are rejected as expired although the process ran all the time:
// a request may wait for seconds while the owner sends heartbeats.
func TestLongWaitIsNoSuspension(t *testing.T) {
	r := newHarness(t)
	done := r.place()
	n := r.waitForAsk(0)
	for range 60 {
		r.Advance(100*time.Millisecond, 100*time.Millisecond)
		r.respond(placewire.OwnerMessage{Term: 1})
	}
	r.grant(n)
	got := <-done
	r.NoErr(got.err)
	r.Equal(got.placement.(*assignment).number, n)
	r.Advance(10*time.Minute, 10*time.Minute) // no request waits, so the clock is not checked
	done = r.place()
	n = r.waitForAsk(n)
	r.grant(n)
	got = <-done
	r.NoErr(got.err)
	r.NoErr(got.placement.BeforeSend())
}
