package kernel

import (
	"context"
	"io"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/settings"
)

// recorder is a plug-in that records the calls of the kernel and fails at failStep.
type recorder struct {
	name     string
	calls    *[]string
	failStep string
}

func (r *recorder) call(step string) error {
	*r.calls = append(*r.calls, step+" "+r.name)
	if r.failStep == step {
		return errors.New("broken")
	}
	return nil
}

func (r *recorder) Provision(*Context) error    { return r.call("provision") }
func (r *recorder) Validate() error             { return r.call("validate") }
func (r *recorder) Start(*Duties) error         { return r.call("start") }
func (r *recorder) Drain(context.Context) error { return r.call("drain") }
func (r *recorder) Cleanup() error              { return r.call("cleanup") }

// withPlugins replaces the registry for one test.
func withPlugins(t *testing.T, list ...*recorder) *[]string {
	t.Helper()
	calls := &[]string{}
	registry.Lock()
	old := registry.byName
	registry.byName = map[string]Registration{}
	registry.Unlock()
	t.Cleanup(func() { registry.byName = old })
	for i, r := range list {
		r.calls = calls
		Register(Registration{Name: r.name, Order: i, New: func() Plugin { return r }})
	}
	return calls
}

func runUntilStopped(t *testing.T) error {
	t.Helper()
	stop := make(chan os.Signal, 2)
	stop <- syscall.SIGTERM
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return Run(context.Background(), &settings.Settings{Instance: "i"}, Host{Log: log, StopSignals: stop})
}

// Guards against plug-ins that start out of order, or drain before those that depend
// on them.
func TestRunOrder(t *testing.T) {
	is := is.New(t)
	calls := withPlugins(t, &recorder{name: "a"}, &recorder{name: "b"})
	is.NoErr(runUntilStopped(t))
	is.Equal(*calls, []string{
		"provision a", "provision b", "validate a", "validate b", "start a", "start b",
		"drain b", "drain a", "cleanup b", "cleanup a",
	})
}

// Guards against an error of a step that does not name the step and the plug-in.
func TestRunErrors(t *testing.T) {
	for step, want := range map[string]string{
		"provision": "provision a: broken",
		"validate":  "validate a: broken",
	} {
		is := is.New(t)
		withPlugins(t, &recorder{name: "a", failStep: step})
		err := runUntilStopped(t)
		is.True(err != nil)
		is.Equal(err.Error(), want)
	}
}

// Guards against a failed start that leaves the process running or skips Cleanup.
func TestRunStartFails(t *testing.T) {
	is := is.New(t)
	calls := withPlugins(t, &recorder{name: "a", failStep: "start"}, &recorder{name: "b"})
	is.True(runUntilStopped(t) != nil)
	is.Equal((*calls)[len(*calls)-2:], []string{"cleanup b", "cleanup a"})
}

// Guards against a second registration that silently replaces a plug-in.
func TestRegisterTwice(t *testing.T) {
	is := is.New(t)
	withPlugins(t, &recorder{name: "a"})
	defer func() { is.True(recover() != nil) }()
	Register(Registration{Name: "a", New: func() Plugin { return nil }})
}

// Guards against a full ring that blocks its producer or does not count refused values.
func TestFullRingRefuses(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	r := NewRing[int](set, "test", 2)
	is.True(r.Push(1))
	is.True(r.Push(2))
	is.True(!r.Push(3))
	v, err := r.Pop(context.Background())
	is.NoErr(err)
	is.Equal(v, 1)
	is.Equal(set.GetOrCreateCounter(`nutmeg_ring_refused_total{ring="test"}`).Get(), uint64(1))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = r.Pop(context.Background())
	is.NoErr(err)
	_, err = r.Pop(ctx)
	is.True(errors.Is(err, context.Canceled))
}

// Guards against a stamp before one that the instance has already observed, also when
// the wall clock is set back.
func TestEventsCausalOrder(t *testing.T) {
	is := is.New(t)
	wall := time.UnixMilli(1000)
	e := NewEvents("i", 4)
	e.wall = func() time.Time { return wall }
	e.Observe(Stamp{UnixMs: 5000, Count: 7})
	first := e.Now()
	is.True(Stamp{UnixMs: 5000, Count: 7}.Less(first))
	wall = time.UnixMilli(500)
	is.True(first.Less(e.Now()))
}

// Guards against an event buffer that grows beyond its bound or loses the order.
func TestEventsBounded(t *testing.T) {
	is := is.New(t)
	e := NewEvents("i", 3)
	for _, k := range []string{"a", "b", "c", "d", "e"} {
		e.Record(Event{Kind: k})
	}
	got, dropped := e.Read()
	is.Equal(dropped, uint64(2))
	is.Equal(len(got), 3)
	is.Equal(got[0].Kind+got[1].Kind+got[2].Kind, "cde")
	is.True(got[0].Stamp.Less(got[1].Stamp) && got[1].Stamp.Less(got[2].Stamp))
}

// Guards against a failed duty that leaves the others running.
func TestDutiesEndTogether(t *testing.T) {
	is := is.New(t)
	d := NewDuties(context.Background())
	d.Go("waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	d.Go("fails", func(context.Context) error { return errors.New("broken") })
	is.Equal(d.Wait().Error(), "duty fails: broken")
}
