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

// fakeControl confirms revision newest, or fails with err.
type fakeControl struct {
	api.Control
	newest uint64
	err    error
}

func (m fakeControl) ReadRevision(context.Context) (uint64, error) { return m.newest, m.err }

// fakeFleet stores a view without checking its revision.
type fakeFleet struct {
	api.Fleet
	view atomic.Pointer[api.View]
}

func (h *fakeFleet) View() *api.View     { return h.view.Load() }
func (h *fakeFleet) Install(v *api.View) { h.view.Store(v) }

func fleetAtRevision(revision uint64) *fakeFleet {
	h := &fakeFleet{}
	h.Install(&api.View{Revision: revision})
	return h
}

// fetchView calls the fetch handler for an instance without a view.
func fetchView(t *testing.T, m *Members, confirm bool) (*api.View, error) {
	t.Helper()
	raw, err := json.Marshal(fetchRequest{Confirm: confirm})
	is.New(t).NoErr(err)
	v, err := m.handleViewFetch(context.Background(), "e", raw)
	if err != nil {
		return nil, err
	}
	return v.(*api.View), nil
}

// Guards against a restarted entry instance that uses a withdrawn key or a data centre
// that is out, because it fetched an outdated view from a control instance that has an
// old disk or is partitioned.
func TestLaggingReplicaRefusesConfirmedFetch(t *testing.T) {
	is := is.New(t)
	// Partitioned: the quorum read fails.
	partitioned := &Members{fleet: fleetAtRevision(3), control: fakeControl{err: errors.New("no leader")}}
	_, err := fetchView(t, partitioned, true)
	is.True(err != nil)
	v, err := fetchView(t, partitioned, false) // an instance that has a view requests any newer one
	is.NoErr(err)
	is.Equal(v.Revision, uint64(3))
	// Behind, and does not catch up.
	_, err = fetchView(t, &Members{fleet: fleetAtRevision(3), control: fakeControl{newest: 5}}, true)
	is.True(errors.Is(err, errReplicaBehind))
	// Behind, and catches up in time.
	h := fleetAtRevision(3)
	time.AfterFunc(30*time.Millisecond, func() { h.Install(&api.View{Revision: 5}) })
	v, err = fetchView(t, &Members{fleet: h, control: fakeControl{newest: 5}}, true)
	is.NoErr(err)
	is.Equal(v.Revision, uint64(5))
}

// fakeMesh records the fetch requests of an entry instance and fails them.
type fakeMesh struct {
	api.Mesh
	requests chan fetchRequest
}

func (a fakeMesh) Call(_ context.Context, _, _ string, params, _ any) error {
	a.requests <- params.(fetchRequest)
	return errors.New("not now")
}

// Guards against an instance that accepts an unconfirmed view right after its start, and
// against one that never serves while there is no majority.
func TestStartRequestsConfirmedView(t *testing.T) {
	is := is.New(t)
	c, a := &kerneltest.Clock{}, fakeMesh{requests: make(chan fetchRequest, 1)}
	m := &Members{kernel: &kernel.Context{Clock: c}, mesh: a, fleet: fleetAtRevision(0), log: slog.New(slog.DiscardHandler),
		viewFetches: metrics.NewSet().NewCounter("a")}
	is.True(m.fetch(context.Background(), "p") != nil)
	is.True((<-a.requests).Confirm)
	c.Advance(confirmedStartPeriod, confirmedStartPeriod)
	is.True(m.fetch(context.Background(), "p") != nil)
	is.True(!(<-a.requests).Confirm)
	c.Advance(-confirmedStartPeriod, -confirmedStartPeriod)
	m.fleet = fleetAtRevision(1)
	is.True(m.fetch(context.Background(), "p") != nil)
	is.True(!(<-a.requests).Confirm)
}
