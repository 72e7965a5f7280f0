package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/settings"
	"nutmegrouter/internal/standin/relay"
)

// waitLimit bounds waiting in tests. It is far above the timeouts of the mesh.
const waitLimit = 20 * time.Second

// node is one running mesh.
type node struct {
	*Mesh
	ctx           *kernel.Context
	duties        *kernel.Duties
	cancel        context.CancelFunc
	notifications chan string // params of `note` notifications
}

func (n *node) stop() {
	n.cancel()
	_ = n.duties.Wait()
	_ = n.Cleanup()
}

// testNetwork is a set of meshes whose connections go through proxies that can cut
// and silence them.
type testNetwork struct {
	t     *testing.T
	names []string
	grid  *relay.Grid
	nodes map[string]*node
	// dialer replaces the dialer of node a unless it is nil.
	dialer func(ctx context.Context, network, address string) (net.Conn, error)
}

func newTestNetwork(t *testing.T, names ...string) *testNetwork {
	return newTestNetworkWith(t, nil, names...)
}

func newTestNetworkWith(t *testing.T, dialer func(context.Context, string, string) (net.Conn, error), names ...string) *testNetwork {
	w := &testNetwork{t: t, names: names, nodes: map[string]*node{}, dialer: dialer}
	var err error
	if w.grid, err = relay.NewGrid(names...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.grid.Close)
	t.Cleanup(func() {
		for _, n := range w.nodes {
			n.stop()
		}
	})
	for _, name := range names {
		w.start(name)
	}
	w.await("links", func() bool {
		for _, n := range w.nodes {
			if len(n.PeersWithoutLink()) > 0 {
				return false
			}
		}
		return true
	})
	return w
}

func (w *testNetwork) start(name string) *node {
	s := &settings.Settings{Instance: name, Mesh: "127.0.0.1:0"}
	for _, p := range w.names {
		s.Peers = append(s.Peers, settings.Peer{Instance: p, Mesh: w.grid.Address(name, p)})
	}
	k := kernel.NewContext(s, slog.New(slog.NewTextHandler(io.Discard, nil)), kernel.NewClock())
	n := &node{Mesh: &Mesh{}, ctx: k, notifications: make(chan string, 10000)}
	if err := n.Provision(k); err != nil {
		w.t.Fatal(err)
	}
	if w.dialer != nil && name == "a" {
		n.dialer = w.dialer
	}
	n.Handle("note", func(ctx context.Context, from string, p json.RawMessage) (any, error) {
		select {
		case n.notifications <- from + " " + string(p):
		case <-ctx.Done():
		}
		return nil, nil
	})
	n.Handle("echo", func(_ context.Context, from string, p json.RawMessage) (any, error) {
		return fmt.Sprintf("%s %s", from, p), nil
	})
	n.Handle(heartbeatMethod, func(context.Context, string, json.RawMessage) (any, error) { return 1, nil })
	n.Handle("slow", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.duties = cancel, kernel.NewDuties(ctx)
	if err := n.Start(n.duties); err != nil {
		w.t.Fatal(err)
	}
	w.grid.Listen(name, n.Addr().String())
	w.nodes[name] = n
	return n
}

func (w *testNetwork) await(what string, cond func() bool) time.Duration {
	w.t.Helper()
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > waitLimit {
			w.t.Fatalf("no %s within %s", what, waitLimit)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(begin)
}

func (n *node) nextNotification(t *testing.T) string {
	t.Helper()
	select {
	case s := <-n.notifications:
		return s
	case <-time.After(waitLimit):
		t.Fatal("no notification")
		return ""
	}
}

func withTimeout(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

var _ api.Mesh = (*Mesh)(nil)

// Guards against lost or reordered notifications, and against replies to the wrong
// caller.
func TestNotifyAndCall(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(t, "a", "b", "c")
	a, b := w.nodes["a"], w.nodes["b"]
	for i := range 1000 {
		is.NoErr(a.Notify("b", "note", i))
	}
	for i := range 1000 {
		is.Equal(b.nextNotification(t), fmt.Sprintf("a %d", i))
	}
	for _, to := range []string{"a", "b", "c"} {
		var got string
		is.NoErr(a.Call(withTimeout(t), to, "echo", "hi", &got))
		is.Equal(got, `a "hi"`)
	}
	is.True(a.Notify("nobody", "note", 1) != nil) // unknown peer
}

// Guards against NotifyAll skipping this instance or a peer after an unknown one,
// delivering another encoding than Notify, or ignoring encoding errors.
func TestNotifyAll(t *testing.T) {
	w := newTestNetwork(t, "a", "b", "c")
	is := is.New(t)
	is.NoErr(w.nodes["a"].NotifyAll([]string{"a", "b", "c", "unknown"}, "note", map[string]int{"x": 1}))
	for _, name := range []string{"a", "b", "c"} {
		select {
		case got := <-w.nodes[name].notifications:
			is.Equal(got, `a {"x":1}`)
		case <-time.After(waitLimit):
			t.Fatalf("%s received nothing", name)
		}
	}
	is.True(w.nodes["a"].NotifyAll([]string{"b"}, "note", strings.Repeat("x", MaxFrameBytes)) != nil)
	is.True(w.nodes["a"].NotifyAll([]string{"b"}, "note", make(chan int)) != nil)
}
