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

// patience bounds waiting in tests, far above the mesh's own times.
const patience = 20 * time.Second

// node is one running mesh.
type node struct {
	*Mesh
	ctx    *kernel.Context
	duties *kernel.Duties
	cancel context.CancelFunc
	heard  chan string // params of `note` notifications
}

func (n *node) stop() {
	n.cancel()
	_ = n.duties.Wait()
	_ = n.Cleanup()
}

// net is a set of meshes whose links go through relays.
type network struct {
	t     *testing.T
	names []string
	grid  *relay.Grid
	nodes map[string]*node
	// dialer replaces the one of the node a; nil keeps it.
	dialer func(ctx context.Context, network, address string) (net.Conn, error)
}

func newNetwork(t *testing.T, names ...string) *network {
	return newNetworkWith(t, nil, names...)
}

func newNetworkWith(t *testing.T, dialer func(context.Context, string, string) (net.Conn, error), names ...string) *network {
	w := &network{t: t, names: names, nodes: map[string]*node{}, dialer: dialer}
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
			if len(n.Unreached()) > 0 {
				return false
			}
		}
		return true
	})
	return w
}

func (w *network) start(name string) *node {
	s := &settings.Settings{Instance: name, Mesh: "127.0.0.1:0"}
	for _, p := range w.names {
		s.Peers = append(s.Peers, settings.Peer{Instance: p, Mesh: w.grid.Address(name, p)})
	}
	k := kernel.NewContext(s, slog.New(slog.NewTextHandler(io.Discard, nil)), kernel.NewClock())
	n := &node{Mesh: &Mesh{}, ctx: k, heard: make(chan string, 10000)}
	if err := n.Provision(k); err != nil {
		w.t.Fatal(err)
	}
	if w.dialer != nil && name == "a" {
		n.dialer = w.dialer
	}
	n.Handle("note", func(ctx context.Context, from string, p json.RawMessage) (any, error) {
		select {
		case n.heard <- from + " " + string(p):
		case <-ctx.Done():
		}
		return nil, nil
	})
	n.Handle("echo", func(_ context.Context, from string, p json.RawMessage) (any, error) {
		return fmt.Sprintf("%s %s", from, p), nil
	})
	n.Handle(beatMethod, func(context.Context, string, json.RawMessage) (any, error) { return 1, nil })
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

func (w *network) await(what string, cond func() bool) time.Duration {
	w.t.Helper()
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > patience {
			w.t.Fatalf("no %s within %s", what, patience)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(begin)
}

func (n *node) next(t *testing.T) string {
	t.Helper()
	select {
	case s := <-n.heard:
		return s
	case <-time.After(patience):
		t.Fatal("no notification")
		return ""
	}
}

func short(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

var _ api.Mesh = (*Mesh)(nil)

// Guards against lost or reordered notifications and mixed-up replies.
func TestNotifyAndCall(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, "a", "b", "c")
	a, b := w.nodes["a"], w.nodes["b"]
	for i := range 1000 {
		is.NoErr(a.Notify("b", "note", i))
	}
	for i := range 1000 {
		is.Equal(b.next(t), fmt.Sprintf("a %d", i))
	}
	for _, to := range []string{"a", "b", "c"} {
		var got string
		is.NoErr(a.Call(short(t), to, "echo", "hi", &got))
		is.Equal(got, `a "hi"`)
	}
	is.True(a.Notify("nobody", "note", 1) != nil) // unknown peer
}

// Guards against a message to many that reaches only those with a direct link, or reaches
// one of them in another form.
func TestNotifyAll(t *testing.T) {
	w := newNetwork(t, "a", "b", "c")
	is := is.New(t)
	is.NoErr(w.nodes["a"].NotifyAll([]string{"a", "b", "c", "unknown"}, "note", map[string]int{"x": 1}))
	for _, name := range []string{"a", "b", "c"} {
		select {
		case got := <-w.nodes[name].heard:
			is.Equal(got, `a {"x":1}`)
		case <-time.After(patience):
			t.Fatalf("%s heard nothing", name)
		}
	}
	is.True(w.nodes["a"].NotifyAll([]string{"b"}, "note", strings.Repeat("x", MaxFrame)) != nil)
	is.True(w.nodes["a"].NotifyAll([]string{"b"}, "note", make(chan int)) != nil)
}
