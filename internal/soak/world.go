package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/proc"
	"nutmegrouter/internal/settings"
	"nutmegrouter/internal/standin/relay"
	"nutmegrouter/platform/standin"
)

// Options describe a world.
type Options struct {
	Seed           uint64
	Dir            string // for settings, data and logs
	Binary         string // path of nutmegd
	Controls       int
	Entries        int
	Engines, Plain int // targets of the two services
	RequestsPerS   float64
	TokensPerS     int           // what the engines produce together; workspaces beyond their share are refused
	Duration       time.Duration // of the load
	Quiet          bool          // no faults
	Log            func(format string, args ...any)
	Network        int // second byte of the loopback addresses, so that worlds can run beside each other
	Losses         int // control instances that may be lost at once
}

// Bounds that the settings promise. They are the platform's.
const (
	applyMs     = 2000
	leaveMs     = 3000
	outMs       = 5000
	stopMs      = 8000
	coldOverage = 1.5
	coldSlack   = 5
	retryRatio  = 0.2
	retrySlack  = 54
	retryWindow = 10 * time.Second
)

const (
	meshPort     = 7400
	listenPort   = 8000
	readyPort    = 8001
	operatorPort = 8002
	adminPort    = 8003
	bindPort     = 7500 // on which the mesh listens behind its relay
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c", "dc-d"}

// node is one process of the fleet.
type node struct {
	name, ip, dc string
	control      bool
	file         string
	dataDir      string
	relay        *relay.Relay // in front of the mesh
	bootstrapped bool
	frozen       bool
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// world is a fleet with all that surrounds it.
type world struct {
	opt       Options
	rng       *rand.Rand
	procs     proc.Group
	nodes     []*node
	directory *standin.Directory
	ledger    *standin.Ledger
	targets   []*standin.Target
	proxies   map[string]*relay.Relay // in front of targets, by target
	config    standin.Config
	operator  standin.Operator
	nextID    int
	accepted  int // newest version that was accepted
}

func newWorld(o Options) (*world, error) {
	w := &world{
		opt: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), ledger: standin.NewLedger(), proxies: map[string]*relay.Relay{},
		operator: standin.Operator{Client: &http.Client{Timeout: 1500 * time.Millisecond}},
	}
	var err error
	if w.directory, err = standin.NewDirectory(w.ip(0)); err != nil {
		return nil, err
	}
	for i := range o.Engines {
		if _, err := w.addTarget("model", true, 16, dataCentres[i%len(dataCentres)]); err != nil {
			return nil, err
		}
	}
	for i := range o.Plain {
		if _, err := w.addTarget("orders", false, 6, dataCentres[i%len(dataCentres)]); err != nil {
			return nil, err
		}
	}
	for i := range o.Controls {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("control-%d", i), ip: w.ip(10 + i), dc: dataCentres[i%len(dataCentres)], control: true})
	}
	for i := range o.Entries {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("entry-%d", i), ip: w.ip(100 + i), dc: dataCentres[i%len(dataCentres)]})
	}
	w.config = baseConfig()
	w.config.TokensPerSecond = o.TokensPerS
	return w, nil
}

func (w *world) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", w.opt.Network, host+1) }

// baseConfig has a route of each kind.
func baseConfig() standin.Config {
	return standin.Config{
		Callers:  standin.UsualCallers,
		Version:  1,
		Services: []standin.Service{{Name: "model", Engine: true, Slots: 16}, {Name: "orders"}},
		Routes: []standin.Route{
			{Name: "chat", Host: "fleet.example", Prefix: "/chat/", Service: "model", Kind: "streaming", TimeoutMs: 8000, ObjectiveMs: 500, MaxAttempts: 1},
			{Name: "draft", Host: "fleet.example", Prefix: "/draft/", Service: "model", Kind: "streaming", TimeoutMs: 10000, ObjectiveMs: 1000, MaxAttempts: 2, Resumable: true},
			{Name: "order", Host: "fleet.example", Prefix: "/order/", Service: "orders", Kind: "non_idempotent", TimeoutMs: 1500, ObjectiveMs: 200, MaxAttempts: 1, Public: true},
			{Name: "look", Host: "fleet.example", Prefix: "/look/", Service: "orders", Kind: "idempotent", TimeoutMs: 1500, ObjectiveMs: 200, MaxAttempts: 2, Public: true},
		},
		Workspaces: map[string][]string{"small": {"key-small"}, "large": {"key-large-1", "key-large-2"}, "other": {"key-other"}},
	}
}

// addTarget starts a target behind a relay and shows it in the list.
func (w *world) addTarget(service string, engine bool, slots int, dc string) (*standin.Target, error) {
	w.nextID++
	t := &standin.Target{
		ID: fmt.Sprintf("i-%s-%d", service, w.nextID), Service: service, DataCentre: dc, Engine: engine, Slots: slots,
		Ledger: w.ledger, ColdMost: standin.ColdPerSecond*coldOverage + coldSlack, Born: time.Now(),
	}
	if err := t.Start(w.ip(0)); err != nil {
		return nil, err
	}
	p, err := relay.New(t.Address())
	if err != nil {
		return nil, err
	}
	t.Shown = p.Addr()
	w.proxies[t.ID] = p
	w.targets = append(w.targets, t)
	w.directory.Add(t)
	return t, nil
}

// settings writes the settings of a node.
func (w *world) settings(n *node) error {
	s := settings.Settings{
		Profile: settings.ProfileRoutes, Instance: n.name, DataCentre: n.dc,
		Mesh: n.address(meshPort), MeshListen: n.address(bindPort), Admin: n.address(adminPort),
	}
	s.Routes = settings.Routes{
		Bootstrap: !n.bootstrapped, DataCentres: dataCentres, MemoryMB: 256, MaxFiles: 4096, LossesTolerated: w.opt.Losses,
		Directory: settings.Directory{Address: w.directory.Address(), CallsPerSecond: 40, MaxLagMs: 500},
		Bounds: settings.Bounds{
			ApplyMs: applyMs, AcknowledgeMs: 4000, LeaveMs: leaveMs, OutMs: outMs, StopMs: stopMs, CatchUpMs: 4000,
			ForwardMs: 120, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindowMs: float64(retryWindow.Milliseconds()),
			ColdOverage: coldOverage, ColdSlack: coldSlack, ShareWindowMs: 4000,
		},
	}
	for _, seed := range w.nodes[:min(3, w.opt.Controls)] {
		s.Routes.Seeds = append(s.Routes.Seeds, seed.address(operatorPort))
	}
	if n.control {
		s.DataDir, s.Routes.Operators = n.dataDir, n.address(operatorPort)
	} else {
		s.Listen, s.Routes.Ready = n.address(listenPort), n.address(readyPort)
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, raw, 0o644)
}

// start starts the process of a node, with the disk as it is.
func (w *world) start(n *node) error {
	if n.file == "" {
		n.file = filepath.Join(w.opt.Dir, n.name+".json")
		if n.control {
			n.dataDir = filepath.Join(w.opt.Dir, "data", n.name)
		}
		r, err := relay.NewAt(n.address(meshPort), n.address(bindPort))
		if err != nil {
			return err
		}
		n.relay = r
	}
	if err := w.settings(n); err != nil {
		return err
	}
	n.bootstrapped, n.frozen = true, false
	if n.dataDir != "" {
		if err := os.MkdirAll(n.dataDir, 0o755); err != nil {
			return errors.Wrap(err, n.name)
		}
	}
	return w.procs.Put(n.name, func() (*proc.Process, error) {
		return proc.Launch(n.name, w.opt.Binary, filepath.Join(w.opt.Dir, n.name+".log"), "-settings", n.file)
	})
}

func (w *world) signal(n *node, s syscall.Signal) {
	p, err := w.procs.Get(n.name)
	if err == nil {
		err = p.Signal(s)
	}
	if err != nil {
		w.opt.Log("signal %s: %v", n.name, err)
	}
}

func (w *world) controls() []*node { return w.nodes[:w.opt.Controls] }

func (w *world) entries() []*node { return w.nodes[w.opt.Controls : w.opt.Controls+w.opt.Entries] }

func (w *world) running(n *node) bool {
	p, err := w.procs.Get(n.name)
	return err == nil && p.Running()
}

// close ends everything that the world has started.
func (w *world) close() {
	w.procs.KillAll()
	for _, n := range w.nodes {
		if n.relay != nil {
			n.relay.Close()
		}
	}
	for _, t := range w.targets {
		t.Close()
	}
	for _, p := range w.proxies {
		p.Close()
	}
	w.directory.Close()
}

// up starts the fleet and waits until it serves.
func (w *world) up(ctx context.Context) error {
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return err
		}
	}
	if err := w.await(ctx, "first configuration", func() bool { return w.replace(ctx) }); err != nil {
		return err
	}
	return w.await(ctx, "readiness of all entries", func() bool {
		for _, n := range w.entries() {
			if !w.ready(ctx, n) {
				return false
			}
		}
		return true
	})
}

// replace sends the configuration to each control instance until one accepts it.
func (w *world) replace(ctx context.Context) bool {
	doc := w.config.Document()
	for _, i := range w.rng.Perm(w.opt.Controls) {
		status, err := w.operator.Replace(ctx, w.nodes[i].address(operatorPort), doc)
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

func (w *world) ready(ctx context.Context, n *node) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(readyPort)+standin.PathReady, nil)
	if err != nil {
		return false
	}
	resp, err := w.operator.Client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitLimit bounds the wait for a state of the fleet.
const awaitLimit = 30 * time.Second

func (w *world) await(ctx context.Context, what string, ok func() bool) error {
	end := time.Now().Add(awaitLimit)
	for !ok() {
		if time.Now().After(end) {
			return errors.Errorf("%s: not within %v", what, awaitLimit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}
