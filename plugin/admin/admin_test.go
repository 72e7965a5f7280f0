package admin

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/settings"
)

type fakeMesh struct {
	api.Mesh
	parts map[string]adminapi.InstanceEvents
}

func (m *fakeMesh) Handle(string, api.Handler) {}
func (m *fakeMesh) Peers() []string            { return []string{"b", "c"} }
func (m *fakeMesh) Reachable(p string) bool    { return p == "b" }
func (m *fakeMesh) Call(_ context.Context, to, _ string, _, result any) error {
	part, ok := m.parts[to]
	if !ok {
		return errors.New("no path")
	}
	*result.(*adminapi.InstanceEvents) = part
	return nil
}

type fakeLease struct {
	api.Lease
	valid     bool
	mayHold   map[string]bool
	revisions map[string]uint64
}

func (l *fakeLease) Valid() bool                         { return l.valid }
func (l *fakeLease) Owner(string) (string, uint64, bool) { return "b", 3, true }
func (l *fakeLease) MayHoldLease(p string) bool          { return l.mayHold[p] }
func (l *fakeLease) PeerRevision(p string) uint64        { return l.revisions[p] }

type fakeFleet struct {
	api.Fleet
	view api.View
}

func (f *fakeFleet) View() *api.View { return &f.view }

type fakeControl struct {
	api.Control
	err error
}

func (c *fakeControl) Status() api.ControlStatus { return api.ControlStatus{Role: "none"} }
func (c *fakeControl) Submit(context.Context, api.Submission) (api.SubmitResult, error) {
	return api.SubmitResult{Revision: 8}, c.err
}
func (c *fakeControl) History(context.Context, int) ([]api.HistoryEntry, error) { return nil, c.err }

type fixture struct {
	admin   *Admin
	mesh    *fakeMesh
	lease   *fakeLease
	fleet   *fakeFleet
	control *fakeControl
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	f := &fixture{
		admin: &Admin{},
		mesh:  &fakeMesh{parts: map[string]adminapi.InstanceEvents{}},
		lease: &fakeLease{valid: true, mayHold: map[string]bool{}, revisions: map[string]uint64{}},
		fleet: &fakeFleet{view: api.View{Revision: 7, Config: &fleetconfig.Config{
			Pools: []fleetconfig.Pool{{Name: "matcher"}},
		}, DataCentresOut: map[string]bool{"dc-b": true}}},
		control: &fakeControl{},
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := kernel.NewContext(&settings.Settings{Instance: "a", Admin: "127.0.0.1:0"}, log, kernel.NewClock())
	is.NoErr(kernel.Provide[api.Mesh](c, f.mesh))
	is.NoErr(kernel.Provide[api.Lease](c, f.lease))
	is.NoErr(kernel.Provide[api.Fleet](c, f.fleet))
	is.NoErr(kernel.Provide[api.Control](c, f.control))
	is.NoErr(f.admin.Provision(c))
	t.Cleanup(func() { f.admin.listener.Close() })
	return f
}

func (f *fixture) call(method, path, body string) (int, []byte) {
	var r fasthttp.RequestCtx
	r.Request.Header.SetMethod(method)
	r.Request.SetRequestURI(path)
	r.Request.SetBodyString(body)
	f.admin.handle(&r)
	return r.Response.StatusCode(), r.Response.Body()
}

// Guards against an instance that reports ready while it must not serve callers.
func TestReady(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fixture)
		want   int
	}{
		{"ready", func(*fixture) {}, 200},
		{"no lease", func(f *fixture) { f.lease.valid = false }, 503},
		{"no configuration", func(f *fixture) { f.fleet.view = api.View{} }, 503},
		{"stopping", func(f *fixture) { _ = f.admin.Drain(context.Background()) }, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.change(f)
			status, _ := f.call("GET", "/ready", "")
			is.New(t).Equal(status, c.want)
		})
	}
}

// Guards against a revision reported as in force while an instance that may still
// dispatch has an older one.
func TestInForce(t *testing.T) {
	cases := []struct {
		name    string
		mayHold bool
		seen    uint64
		want    bool
	}{
		{"peer has the revision", true, 7, true},
		{"peer is behind", true, 6, false},
		{"peer's lease has expired", false, 6, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.lease.mayHold["b"] = c.mayHold
			f.lease.revisions["b"] = c.seen
			status, body := f.call("GET", "/v1/in-force?revision=7", "")
			is.Equal(status, 200)
			var got adminapi.InForce
			is.NoErr(json.Unmarshal(body, &got))
			is.Equal(got.InForce, c.want)
		})
	}
}

// Guards against invalid input that is accepted, or refused without step and message.
func TestBadInput(t *testing.T) {
	cases := []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/none", "", 404},
		{"GET", "/v1/history?limit=0", "", 400},
		{"GET", "/v1/history?limit=x", "", 400},
		{"GET", "/v1/in-force", "", 400},
		{"GET", "/v1/events?since_ms=x", "", 400},
		{"GET", "/v1/changes", "", 405},
		{"POST", "/v1/changes", "{", 400},
		{"POST", "/v1/changes", `{"data_centre":"a"}`, 400},
		{"POST", "/v1/changes", `{"change_id":"x"}`, 400},
		{"POST", "/v1/changes", `{"change_id":"x","data_centre":"a","config":{}}`, 400},
		{"POST", "/v1/changes", `{"change_id":"x","data_centre":"a","newest":true,"rollout":{"service":"s","ends":3,"state":"succeeded"}}`, 400},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.path+" "+c.body, func(t *testing.T) {
			is := is.New(t)
			status, body := newFixture(t).call(c.method, c.path, c.body)
			is.Equal(status, c.want)
			var e adminapi.Error
			is.NoErr(json.Unmarshal(body, &e))
			is.True(e.Step != "" && e.Message != "")
		})
	}
}

// Guards against success reported for a change while the control log is unavailable.
func TestControlUnavailable(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	status, _ := f.call("POST", "/v1/changes", `{"change_id":"x","data_centre":"a"}`)
	is.Equal(status, 200)
	f.control.err = errors.New("no leader")
	status, _ = f.call("POST", "/v1/changes", `{"change_id":"x","data_centre":"a"}`)
	is.Equal(status, 503)
}

// Guards against a timeline out of causal order, or one that doesn't list instances that
// did not respond or dropped events.
func TestTimelineMerge(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.mesh.parts["b"] = adminapi.InstanceEvents{Instance: "b", Dropped: 4, Events: []kernel.Event{
		{Instance: "b", Kind: "second", Stamp: kernel.Stamp{UnixMs: 10, Count: 2}},
		{Instance: "b", Kind: "first", Stamp: kernel.Stamp{UnixMs: 10, Count: 1}},
	}}
	f.admin.kernel.Events.Record(kernel.Event{Kind: "third", Target: "m1"})
	_, body := f.call("GET", "/v1/events", "")
	var timeline adminapi.Timeline
	is.NoErr(json.Unmarshal(body, &timeline))
	var kinds []string
	for _, e := range timeline.Events {
		kinds = append(kinds, e.Kind)
	}
	is.Equal(kinds, []string{"first", "second", "third"})
	is.Equal(timeline.Missing, []string{"c"})
	is.Equal(timeline.Dropped["b"], uint64(4))
	is.Equal(len(f.admin.localEvents(adminapi.Filter{Target: "m2"}).Events), 0)
	is.Equal(len(f.admin.localEvents(adminapi.Filter{Target: "m1"}).Events), 1)
}

// Guards against a status without the owner of a pool or the reachability of a peer.
func TestStatus(t *testing.T) {
	is := is.New(t)
	s := newFixture(t).admin.status()
	is.Equal(s.Out, []string{"dc-b"})
	is.Equal(s.Pools, []adminapi.PoolStatus{{Pool: "matcher", Owner: "b", Epoch: 3}})
	is.Equal(s.Peers[0].Reachable, true)
	is.Equal(s.Peers[1].Reachable, false)
}
