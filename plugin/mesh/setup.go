// Package mesh carries JSON-RPC 2.0 messages between the instances of the
// fleet: one outgoing link for each peer, heartbeats by beats, and a relay
// through a third instance when a peer cannot be reached directly. It provides
// api.Mesh and api.Links.
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
		Name:   "mesh",
		Order:  kernel.OrderMesh,
		New:    func() kernel.Plugin { return &Mesh{} },
		Wanted: kernel.Everywhere,
	})
}

// Mesh implements api.Mesh and api.Links. The zero value must be provisioned
// before use.
type Mesh struct {
	self    string
	boot    string // random identity of this process, sent in hellos
	listen  string
	peers   []string         // sorted, without self
	links   map[string]*link // to the peers in the settings
	dialer  func(ctx context.Context, network, address string) (net.Conn, error)
	roster  *roster // links that come and go; nil with peers in the settings
	clock   kernel.Clock
	metrics *metrics.Set
	events  *kernel.Events
	log     *slog.Logger

	mu       sync.RWMutex
	origins  map[string]*origin // by name, self included; "" = before the hello
	duties   *kernel.Duties     // nil before Start
	handlers map[string]api.Handler
	reports  map[string]report
	incoming map[string]*session // newest incoming session by peer

	stopped bool // Cleanup has begun

	listener net.Listener
	running  sync.WaitGroup // calls and incoming connections
}

// Provision implements kernel.Plugin.
func (m *Mesh) Provision(c *kernel.Context) error {
	m.self, m.listen = c.Settings.MeshName(), c.Settings.MeshBind()
	m.boot = strconv.FormatUint(rand.Uint64(), 36)
	m.clock, m.events, m.log = c.Clock, c.Events, c.Log.With("plugin", "mesh")
	m.metrics = c.Metrics
	m.dialer = (&net.Dialer{}).DialContext
	m.links, m.origins = map[string]*link{}, map[string]*origin{}
	m.handlers, m.reports, m.incoming = map[string]api.Handler{}, map[string]report{}, map[string]*session{}
	m.origin("")
	m.origin(m.self)
	for _, p := range c.Settings.Peers {
		if p.Instance == m.self {
			continue
		}
		m.peers = append(m.peers, p.Instance)
		m.links[p.Instance] = newLink(m, p.Instance, p.Mesh, m.origin(p.Instance).count)
	}
	sort.Strings(m.peers)
	if c.Settings.Routed() {
		m.roster = newRoster(c.Settings)
		if err := kernel.Provide[api.Roster](c, m); err != nil {
			return err
		}
	}
	c.Metrics.NewGauge("nutmeg_mesh_links_up", func() float64 { return float64(len(m.Peers()) - len(m.Unreached())) })
	if err := kernel.Provide[api.Links](c, m); err != nil {
		return err
	}
	return kernel.Provide[api.Mesh](c, m)
}

// Start implements kernel.Starter. It opens the listener and starts one duty
// for each link and each inbox.
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
	for _, o := range m.origins {
		m.drain(o)
	}
	m.mu.Unlock()
	for _, l := range m.links {
		d.Go("mesh.link."+l.peer, l.run)
	}
	return nil
}

// Addr returns the address of the listener; nil before Start.
func (m *Mesh) Addr() net.Addr {
	if m.listener == nil {
		return nil
	}
	return m.listener.Addr()
}

// Cleanup implements kernel.Cleaner. It waits a bounded time for handlers.
func (m *Mesh) Cleanup() error {
	const limit = 2 * time.Second // handlers end with their context
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	done := make(chan struct{})
	go func() { m.running.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-time.After(limit):
		return errors.New("mesh: handlers still running after the stop")
	}
}

// run starts f unless Cleanup has begun: read loops may still deliver messages
// while it waits for what is running.
func (m *Mesh) run(f func()) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.stopped {
		m.running.Go(f)
	}
}

// Self implements api.Mesh.
func (m *Mesh) Self() string { return m.self }

// Peers implements api.Mesh. With a roster these are the linked instances.
func (m *Mesh) Peers() []string {
	if m.roster != nil {
		return m.linkedNames()
	}
	return append([]string(nil), m.peers...)
}

// Handle implements api.Mesh.
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

// known reports whether a method is one of this instance's.
func (m *Mesh) known(method string) bool {
	return method == helloMethod || method == relayMethod || m.handler(method) != nil
}
