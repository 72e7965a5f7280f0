package members

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/kernel/kerneltest"
)

// majority stands in for the control log.
type majority struct {
	api.Control
	newest uint64
	err    error
}

func (m majority) ReadRevision(context.Context) (uint64, error) { return m.newest, m.err }

// holder stands in for the views of an instance.
type holder struct {
	api.Fleet
	view atomic.Pointer[api.View]
}

func (h *holder) View() *api.View     { return h.view.Load() }
func (h *holder) Install(v *api.View) { h.view.Store(v) }

func holds(revision uint64) *holder {
	h := &holder{}
	h.Install(&api.View{Revision: revision})
	return h
}

func confirmed(t *testing.T, m *Members, want bool) (*api.View, error) {
	t.Helper()
	raw, err := json.Marshal(fetchRequest{Confirm: want})
	is.New(t).NoErr(err)
	v, err := m.handleFetch(context.Background(), "e", raw)
	if err != nil {
		return nil, err
	}
	return v.(*api.View), nil
}

// Guards against a key that was withdrawn, or a data centre that is out, and is in use
// again after the restart of an entry instance: it learned the configuration from a
// control instance that lags behind, because its disk is old or it is cut off.
func TestLaggingReplicaIsNotAsked(t *testing.T) {
	is := is.New(t)
	// Cut off: no majority confirms.
	cut := &Members{fleet: holds(3), control: majority{err: errors.New("no leader")}}
	_, err := confirmed(t, cut, true)
	is.True(err != nil)
	v, err := confirmed(t, cut, false) // an instance that has a view asks for any newer one
	is.NoErr(err)
	is.Equal(v.Revision, uint64(3))
	// Behind, and it stays so.
	_, err = confirmed(t, &Members{fleet: holds(3), control: majority{newest: 5}}, true)
	is.True(errors.Is(err, errLags))
	// Behind, and it catches up.
	h := holds(3)
	time.AfterFunc(30*time.Millisecond, func() { h.Install(&api.View{Revision: 5}) })
	v, err = confirmed(t, &Members{fleet: h, control: majority{newest: 5}}, true)
	is.NoErr(err)
	is.Equal(v.Revision, uint64(5))
}

// asker stands in for the mesh of an entry instance and keeps what it asks for.
type asker struct {
	api.Mesh
	asked chan fetchRequest
}

func (a asker) Call(_ context.Context, _, _ string, params, _ any) error {
	a.asked <- params.(fetchRequest)
	return errors.New("not now")
}

// Guards against an instance that takes any view at its start, and against one that
// never serves while there is no majority.
func TestStartAsksForConfirmedView(t *testing.T) {
	is := is.New(t)
	c, a := &kerneltest.Clock{}, asker{asked: make(chan fetchRequest, 1)}
	m := &Members{kernel: &kernel.Context{Clock: c}, mesh: a, fleet: holds(0), log: slog.New(slog.DiscardHandler),
		fetches: metrics.NewSet().NewCounter("a")}
	is.True(m.fetch(context.Background(), "p") != nil)
	is.True((<-a.asked).Confirm)
	c.Pass(sureFor, sureFor)
	is.True(m.fetch(context.Background(), "p") != nil)
	is.True(!(<-a.asked).Confirm)
	c.Pass(-sureFor, -sureFor)
	m.fleet = holds(1)
	is.True(m.fetch(context.Background(), "p") != nil)
	is.True(!(<-a.asked).Confirm)
}
