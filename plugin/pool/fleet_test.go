package pool_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/settings"
	"nutmegrouter/plugin/fleet"
	"nutmegrouter/plugin/pool"
	"nutmegrouter/plugin/scheduler"
)

// network is an in-process fake of the mesh and the lease of all instances.
type network struct {
	mu           sync.Mutex
	names        []string
	handlers     map[string]map[string]api.Handler
	owner        string
	epoch        uint64
	valid        map[string]bool
	onChange     []func()
	sentBytes    map[string]int
	disconnected map[string]bool
}

// node is one instance's view of the network. It implements api.Mesh and api.Lease.
type node struct {
	*network
	name string
}

func (n *network) setOwner(name string, epoch uint64) {
	n.mu.Lock()
	n.owner, n.epoch = name, epoch
	fs := n.onChange
	n.mu.Unlock()
	for _, f := range fs {
		f()
	}
}

func (n *network) setValid(name string, v bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.valid[name] = v
}

func (n node) Self() string { return n.name }
func (n node) Peers() []string {
	return slices.DeleteFunc(slices.Clone(n.names), func(x string) bool { return x == n.name })
}
func (n node) Handle(method string, h api.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[n.name] == nil {
		n.handlers[n.name] = map[string]api.Handler{}
	}
	n.handlers[n.name][method] = h
}

func (n node) NotifyAll(to []string, method string, params any) error {
	for _, peer := range to {
		if err := n.Notify(peer, method, params); err != nil {
			return err
		}
	}
	return nil
}

func (n node) Notify(to, method string, params any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	n.mu.Lock()
	h := n.handlers[to][method]
	n.sentBytes[n.name] += len(raw) + len(`{"jsonrpc":"2.0","method":"","params":}`) + len(method)
	disconnected := n.disconnected[to] || n.disconnected[n.name]
	n.mu.Unlock()
	if h == nil || disconnected {
		return fmt.Errorf("no path from %s to %s", n.name, to)
	}
	_, err = h(context.Background(), n.name, raw)
	return err
}

func (n node) Call(context.Context, string, string, any, any) error { return nil }
func (n node) Reachable(string) bool                                { return true }
func (n node) Valid() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.valid[n.name]
}
func (n node) Owner(string) (string, uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner, n.epoch, n.owner != ""
}
func (n node) Owns(string) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch, n.owner == n.name
}
func (n node) MayHoldLease(peer string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.valid[peer]
}
func (n node) PeerRevision(string) uint64   { return 1 }
func (n node) SeekOwnership([]string)       {}
func (n node) Resign(context.Context) error { return nil }
func (n node) OnChange(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onChange = append(n.onChange, f)
}

// platformList is the URL of the platform's list for the fleets of one test.
var platformList string

// instance holds the plug-ins of one instance under test.
type instance struct {
	client *pool.Client
	sched  *scheduler.Scheduler
	store  *fleet.Store
	k      *kernel.Context
}

// startFleet runs the scheduler and pool plug-ins of several instances until the test ends.
func startFleet(t testing.TB, cfg *fleetconfig.Config, names ...string) (*network, map[string]*instance) {
	n := &network{names: names, handlers: map[string]map[string]api.Handler{}, valid: map[string]bool{},
		sentBytes: map[string]int{}, disconnected: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	d := kernel.NewDuties(ctx)
	t.Cleanup(func() { cancel(); _ = d.Wait() })
	out := map[string]*instance{}
	for _, name := range names {
		out[name] = newInstance(t, n, name, names)
		n.valid[name] = true
	}
	for _, name := range names {
		x := out[name]
		x.store.Install(&api.View{Revision: 1, Config: cfg})
		for _, s := range []kernel.Starter{x.sched, x.client} {
			if err := s.Start(d); err != nil {
				t.Fatal(err)
			}
		}
	}
	return n, out
}

func newInstance(t testing.TB, n *network, name string, names []string) *instance {
	s := &settings.Settings{Instance: name, DataCentre: "dc", PlatformList: platformList}
	for _, p := range names {
		s.Peers = append(s.Peers, settings.Peer{Instance: p, DataCentre: "dc"})
	}
	k := kernel.NewContext(s, slog.New(slog.NewTextHandler(io.Discard, nil)), kernel.NewClock())
	x := &instance{client: &pool.Client{}, sched: &scheduler.Scheduler{}, store: &fleet.Store{}, k: k}
	check := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	check(kernel.Provide[api.Mesh](k, node{n, name}))
	check(kernel.Provide[api.Lease](k, node{n, name}))
	check(x.store.Provision(k))
	check(x.sched.Provision(k))
	check(x.client.Provision(k))
	return x
}

// oneTarget returns a configuration of one pool with one target without load reports.
func oneTarget(t testing.TB, cold, warm int) *fleetconfig.Config {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	return &fleetconfig.Config{
		Workspaces: []fleetconfig.Workspace{{Name: "w", Weight: 1}},
		Pools:      []fleetconfig.Pool{{Name: "p", Kind: fleetconfig.KindService, QueueLimit: 100}},
		Targets: []fleetconfig.Target{{Name: "t1", Pool: "p", DataCentre: "dc", Address: strings.TrimPrefix(server.URL, "http://"),
			WarmCapacity: warm, ColdCapacity: cold}},
	}
}

// await returns the grant of a ticket, and fails the test if there is none within 10 s.
func await(t testing.TB, tk api.Ticket) api.Grant {
	t.Helper()
	select {
	case g, ok := <-tk.Granted():
		if !ok {
			t.Fatalf("refused: %v", tk.Refusal())
		}
		return g
	case <-time.After(10 * time.Second):
		t.Fatal("no grant")
	}
	return api.Grant{}
}

// Guards against messages that do not arrive between an instance and the owner, remote or
// local, and against a slot that is not freed by Done.
func TestGrantAndDone(t *testing.T) {
	is := is.New(t)
	cfg := oneTarget(t, 1, 1)
	n, fleet := startFleet(t, cfg, "a", "b", "c")
	n.setOwner("b", 1)
	for i, from := range []string{"a", "b", "c", "a"} {
		tk, err := fleet[from].client.Enqueue(api.SlotRequest{ID: fmt.Sprint(i), Pool: "p", Workspace: "w"})
		is.NoErr(err)
		g := await(t, tk) // needs the slot that the previous request has freed
		is.Equal(g.Target, "t1")
		is.Equal(g.Address, cfg.Targets[0].Address)
		is.Equal(g.Epoch, uint64(1))
		tk.ResponseStarted(api.WarmthWarm, 1)
		tk.Done(api.GrantOutcome{Result: api.ResultOK, Cost: 5, Warmth: api.WarmthWarm, BootNumber: 1})
	}
}
