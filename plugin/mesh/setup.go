// Package mesh carries JSON-RPC 2.0 messages between the instances of the
// fleet over TCP. Each instance keeps one outgoing link to each peer, detects
// silent links by heartbeats, and relays messages through a third instance when
// a peer cannot be reached directly. The package provides api.Mesh, api.Links and,
// with the profile "routes", api.LinkManager.
package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:    "mesh",
		Order:   kernel.OrderMesh,
		New:     func() kernel.Plugin { return &Mesh{} },
		Enabled: kernel.OnAllProfiles,
	})
}

// Mesh implements api.Mesh, api.Links and, with the profile "routes",
// api.LinkManager. Call Provision on the zero value before use.
type Mesh struct {
	self        string
	incarnation string // random identity of this process, sent in the handshake
	listen      string
	peers       []string         // sorted, without self
	links       map[string]*link // to the peers in the settings
	dialer      func(ctx context.Context, network, address string) (net.Conn, error)
	linkManager *linkManager // dynamic links; nil except with the profile "routes"
	clock       kernel.Clock
	metrics     *metrics.Set
	events      *kernel.Events
	log         *slog.Logger

	mu         sync.RWMutex
	peerStates map[string]*peerState // by name, self included; "" = connections before their handshake
	duties     *kernel.Duties        // nil before Start
	handlers   map[string]api.Handler
	reports    map[string]linkReport
	incoming   map[string]*session // newest incoming session by peer

	stopping bool // set by Cleanup; no new task starts

	listener net.Listener
	running  sync.WaitGroup // calls and incoming connections
}

// Provision implements kernel.Plugin. It reads the settings and provides the
// interfaces of the mesh.
func (m *Mesh) Provision(c *kernel.Context) error {
	m.self, m.listen = c.Settings.MeshName(), c.Settings.MeshBind()
	m.incarnation = strconv.FormatUint(rand.Uint64(), 36)
	m.clock, m.events, m.log = c.Clock, c.Events, c.Log.With("plugin", "mesh")
	m.metrics = c.Metrics
	m.dialer = (&net.Dialer{}).DialContext
	m.links, m.peerStates = map[string]*link{}, map[string]*peerState{}
	m.handlers, m.reports, m.incoming = map[string]api.Handler{}, map[string]linkReport{}, map[string]*session{}
	m.peerState("")
	m.peerState(m.self)
	for _, p := range c.Settings.Peers {
		if p.Instance == m.self {
			continue
		}
		m.peers = append(m.peers, p.Instance)
		m.links[p.Instance] = newLink(m, p.Instance, p.Mesh, m.peerState(p.Instance).counters)
	}
	sort.Strings(m.peers)
	if c.Settings.IsRoutes() {
		m.linkManager = newLinkManager(c.Settings)
		if err := kernel.Provide[api.LinkManager](c, m); err != nil {
			return err
		}
	}
	c.Metrics.NewGauge("nutmeg_mesh_links_up", func() float64 { return float64(len(m.Peers()) - len(m.PeersWithoutLink())) })
	if err := kernel.Provide[api.Links](c, m); err != nil {
		return err
	}
	return kernel.Provide[api.Mesh](c, m)
}

// Start implements kernel.Starter. It opens the listener and starts one duty for
// each link and each inbox. It returns an error if it cannot listen.
func (m *Mesh) Start(d *kernel.Duties) error {
	l, err := net.Listen("tcp", m.listen)
	if err != nil {
		return errors.WithMessage(err, "mesh: listen")
	}
	m.listener = l
	d.Go("mesh.accept", m.accept)
	d.Go("mesh.close", func(ctx context.Context) error {
		<-ctx.Done()
		_ = l.Close()
		return ctx.Err()
	})
	m.mu.Lock()
	m.duties = d
	for _, p := range m.peerStates {
		m.startInbox(p)
	}
	m.mu.Unlock()
	for _, l := range m.links {
		d.Go("mesh.link."+l.peer, l.run)
	}
	return nil
}

// Addr returns the address of the listener, or nil before Start.
func (m *Mesh) Addr() net.Addr {
	if m.listener == nil {
		return nil
	}
	return m.listener.Addr()
}

// Cleanup implements kernel.Cleaner. It waits up to 2 s for calls and incoming
// connections to end, and returns an error if some have not.
func (m *Mesh) Cleanup() error {
	const timeout = 2 * time.Second // ample, because handlers end with their context
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	done := make(chan struct{})
	go func() { m.running.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-time.After(timeout):
		return errors.New("mesh: handlers did not end before the cleanup timeout")
	}
}

// goTracked runs f in a goroutine that Cleanup waits for. It does nothing once
// Cleanup has been called, because read loops may still deliver messages while it
// waits.
func (m *Mesh) goTracked(f func()) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.stopping {
		m.running.Go(f)
	}
}

// Self implements api.Mesh. It returns the name of this instance.
func (m *Mesh) Self() string { return m.self }

// Peers implements api.Mesh. It returns the sorted names of the peers in the
// settings, or with a link manager of the instances with an open link.
func (m *Mesh) Peers() []string {
	if m.linkManager != nil {
		return m.linkedInstances()
	}
	return append([]string(nil), m.peers...)
}

// Handle implements api.Mesh. A later handler of the same method replaces the
// earlier one.
func (m *Mesh) Handle(method string, h api.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = h
}

func (m *Mesh) handler(method string) api.Handler {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.handlers[method]
}

// knownMethod reports whether this instance handles the method.
func (m *Mesh) knownMethod(method string) bool {
	return method == handshakeMethod || method == relayMethod || m.handler(method) != nil
}
