package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
	"nutmegrouter/internal/settings"
	_ "nutmegrouter/plugin/owner"  // registers itself
	_ "nutmegrouter/plugin/placer" // registers itself
)

const (
	coldPerSecond = 10
	coldOverage   = 1.5
	coldSlack     = 5
	linkTimeout   = time.Second // until a link that carries nothing counts as lost
)

// fleet runs the owners and placers of a small fleet in virtual time, with a simulated network between
// them. Targets only record what arrives.
type fleet struct {
	rng      *rand.Rand
	targets  []api.Target
	controls []*node
	entries  []*node

	mu       sync.Mutex
	term     uint64
	leader   *node
	late     time.Duration // added to each message
	cut      map[[2]string]bool
	links    map[[2]string]*link
	arrivals map[string][]arrival
	refused  map[string]int // by code
	asked    []time.Time    // requests of run
	cost     *cost          // of the owner's work; nil = none
	begin    time.Time
	timeline []string
	rollouts rolloutLog
}

// cost is the processor time that control instances spend on a message, and on a search of a target. A
// control instance has one processor.
type cost struct{ received, sent, searched time.Duration }

// timeSlice is how long the owner's goroutine runs while others wait for the processor.
const timeSlice = 10 * time.Millisecond

// charge occupies the processor for the work that the owner's goroutine has done since the last charge, once
// this fills a time slice.
func (n *node) charge() {
	searches := n.searches.Get()
	n.owed += time.Duration(searches-n.charged) * n.f.cost.searched
	n.charged = searches
	if owed := n.owed; owed >= timeSlice {
		n.owed = 0
		n.use(owed)
	}
}

// ownerClock charges the work of the owner's goroutine whenever it reads the clock.
type ownerClock struct {
	kernel.Clock
	n *node
}

// Now implements kernel.Clock.
func (c ownerClock) Now() time.Duration {
	if c.n.f.cost != nil && c.n.reading.Load() == 0 {
		c.n.charge()
	}
	return c.Clock.Now()
}

// use occupies the processor of an instance for a time.
func (n *node) use(d time.Duration) {
	n.processor <- struct{}{}
	time.Sleep(d)
	<-n.processor
}

// link is the connection between an entry and a control instance.
type link struct {
	up   bool
	held []func() // messages sent while the link is cut
	next map[string]time.Time
	// reading is held while a control instance reads a message, so that they stay in order.
	reading chan struct{}
}

type arrival struct {
	at        time.Time
	workspace string
}

// node is one process of an instance.
type node struct {
	api.Mesh
	api.Topology
	api.LinkManager
	api.Control
	api.Fleet
	api.Directory
	api.Dialect

	f           *fleet
	name        string
	control     bool
	incarnation int
	cancel      context.CancelFunc
	duties      *kernel.Duties
	clock       kernel.Clock
	placer      api.Placer
	processor   chan struct{} // capacity 1
	searches    *metrics.Counter
	charged     uint64        // searches that the processor was charged for
	owed        time.Duration // of the owner's time slice
	reading     atomic.Int32  // goroutines other than the owner's that use its clock

	mu        sync.Mutex
	handlers  map[string]api.Handler
	onLink    []func(api.LinkChange)
	onStatus  []func(api.ControlStatus)
	onLeader  []func(string, uint64)
	onView    []func(*api.View)
	status    api.ControlStatus
	knownTerm uint64
}

func newFleet(seed uint64, controls, entries, targets int) *fleet {
	f := &fleet{begin: time.Now(), rng: rand.New(rand.NewPCG(seed, 0)), cut: map[[2]string]bool{}, links: map[[2]string]*link{}, arrivals: map[string][]arrival{}, refused: map[string]int{}}
	for i := range targets {
		f.targets = append(f.targets, api.Target{ID: fmt.Sprint("t", i), Service: "m", DataCentre: "z", Slots: 64, StartedUnixMs: 1})
	}
	for i := range controls {
		f.controls = append(f.controls, f.start(&node{name: fmt.Sprint("c", i), control: true}))
	}
	for i := range entries {
		f.entries = append(f.entries, f.start(&node{name: fmt.Sprint("e", i)}))
	}
	return f
}

// note adds a line to the timeline, which a failing test prints.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timeline = append(f.timeline, fmt.Sprintf("%8.3f s  ", time.Since(f.begin).Seconds())+fmt.Sprintf(format, args...))
}

// timelineHandler adds the log lines of a process to the timeline.
type timelineHandler struct {
	slog.Handler
	n *node
}

func (timelineHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level > slog.LevelInfo
}

func (h timelineHandler) Handle(_ context.Context, r slog.Record) error {
	var attrs []string
	r.Attrs(func(a slog.Attr) bool { attrs = append(attrs, a.String()); return true })
	h.n.f.note("%s: %s %s", h.n.name, r.Message, strings.Join(attrs, " "))
	return nil
}

func (h timelineHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// start starts a process and its links.
func (f *fleet) start(n *node) *node {
	n.f, n.handlers, n.processor = f, map[string]api.Handler{}, make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.duties = cancel, kernel.NewDuties(ctx)
	s := &settings.Settings{Instance: n.name, DataCentre: "z", Profile: settings.ProfileRoutes}
	s.Routes.Rollouts = &settings.Rollouts{ExposureShare: exposureShare, ExposureSlack: exposureSlack, RollbackMs: 5000}
	s.Routes.Bounds.ColdOverage, s.Routes.Bounds.ColdSlack, s.Routes.Bounds.ShareWindowMs = coldOverage, coldSlack, 4000
	n.clock = kernel.NewClock()
	if n.control {
		n.clock = ownerClock{n.clock, n}
	}
	c := kernel.NewContext(s, slog.New(timelineHandler{slog.DiscardHandler, n}), n.clock)
	n.searches = c.Metrics.GetOrCreateCounter("nutmeg_owner_searches_total")
	must(kernel.Provide[api.Mesh](c, n))
	must(kernel.Provide[api.Topology](c, (*topology)(n)))
	must(kernel.Provide[api.LinkManager](c, (*linkManager)(n)))
	must(kernel.Provide[api.Fleet](c, (*view)(n)))
	must(kernel.Provide[api.Directory](c, (*directory)(n)))
	must(kernel.Provide[api.Dialect](c, (*dialect)(n)))
	must(kernel.Provide[api.Control](c, (*control)(n)))
	name := "placer"
	if n.control {
		name = "owner"
	}
	for _, r := range kernel.Registered() {
		if r.Name != name {
			continue
		}
		p := r.New()
		must(p.Provision(c))
		must(p.(kernel.Starter).Start(n.duties))
		n.placer, _ = p.(api.Placer)
	}
	return n
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// stop ends a process. Its links are lost at once.
func (n *node) stop() {
	n.f.note("%s is killed", n.name)
	for _, p := range n.f.peers(n) {
		n.f.setLink(n, p, false)
	}
	n.cancel()
	must(n.duties.Wait())
}

// restart replaces a process that has stopped by a new one.
func (f *fleet) restart(list []*node, i int) {
	old := list[i]
	f.note("%s starts", old.name)
	n := f.start(&node{name: old.name, control: old.control, incarnation: old.incarnation + 1})
	f.mu.Lock()
	list[i] = n
	f.mu.Unlock()
	for _, p := range f.peers(n) {
		f.setLink(n, p, true)
	}
	n.tellView()
}

// peers returns the instances to which a process has links.
func (f *fleet) peers(n *node) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.control {
		return append([]*node(nil), f.entries...)
	}
	return append([]*node(nil), f.controls...)
}

func pair(a, b *node) [2]string {
	if a.control {
		a, b = b, a
	}
	return [2]string{a.name, b.name}
}

func (f *fleet) link(a, b *node) *link {
	l := f.links[pair(a, b)]
	if l == nil {
		l = &link{next: map[string]time.Time{}, reading: make(chan struct{}, 1)}
		f.links[pair(a, b)] = l
	}
	return l
}

// setLink changes a link and tells both ends.
func (f *fleet) setLink(a, b *node, up bool) {
	a, b = f.find(a.name), f.find(b.name) // of which there may be new processes
	f.mu.Lock()
	l := f.link(a, b)
	ended := a.duties.Context().Err() != nil || b.duties.Context().Err() != nil
	changed := l.up != up && !(up && (ended || f.cut[pair(a, b)]))
	if changed {
		l.up, l.held = up, nil
	}
	term, leader := f.term, f.leader
	f.mu.Unlock()
	if !changed {
		return
	}
	for _, ends := range [][2]*node{{a, b}, {b, a}} {
		n, peer := ends[0], ends[1]
		c := api.LinkChange{Peer: peer.name, Up: up, HasControlReplica: up && peer.control}
		if up {
			c.Incarnation, c.DataCentre = fmt.Sprint(peer.name, "/", peer.incarnation), "z"
		}
		for _, l := range n.onLink {
			l(c)
		}
	}
	if e, c := a, b; up && leader != nil {
		if e.control {
			e, c = c, e
		}
		c.mu.Lock()
		knows := c.knownTerm == term
		c.mu.Unlock()
		if knows {
			f.announce(e, leader.name, term)
		}
	}
}

// announce tells an entry instance of a leader after a delay.
func (f *fleet) announce(e *node, leader string, term uint64) {
	f.mu.Lock()
	delay := time.Duration(f.rng.IntN(200)) * time.Millisecond
	f.mu.Unlock()
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		known := e.knownTerm >= term
		e.knownTerm = max(e.knownTerm, term)
		e.mu.Unlock()
		if known {
			return
		}
		f.note("%s knows leader %s", e.name, leader)
		for _, l := range e.onLeader {
			l(leader, term)
		}
	})
}

// elect makes a control instance the leader of a new term.
func (f *fleet) elect(i int) {
	f.mu.Lock()
	f.term++
	n := f.controls[i]
	old := f.leader
	f.leader = n
	s := api.ControlStatus{Role: "leader", Leader: n.name, Term: f.term}
	controls, entries := append([]*node(nil), f.controls...), append([]*node(nil), f.entries...)
	f.mu.Unlock()
	f.note("%s leads term %d", n.name, s.Term)
	for _, c := range controls {
		c.mu.Lock()
		c.knownTerm = s.Term
		c.mu.Unlock()
	}
	if old != nil && old != n {
		old.setStatus(api.ControlStatus{Role: "follower", Leader: n.name, Term: s.Term})
	}
	n.setStatus(s)
	for _, e := range entries {
		f.mu.Lock()
		linked := false
		for _, c := range controls {
			linked = linked || f.link(e, c).up && !f.cut[pair(e, c)]
		}
		f.mu.Unlock()
		if linked {
			f.announce(e, n.name, s.Term)
		}
	}
}

func (n *node) setStatus(s api.ControlStatus) {
	n.mu.Lock()
	n.status = s
	n.mu.Unlock()
	for _, l := range n.onStatus {
		l(s)
	}
}

// setCut cuts an entry instance from a control instance, or ends the cut. What was sent meanwhile arrives
// then, unless the link was taken for lost.
func (f *fleet) setCut(e, c *node, cut bool) {
	f.note("cut between %s and %s: %v", e.name, c.name, cut)
	f.mu.Lock()
	f.cut[pair(e, c)] = cut
	l := f.link(e, c)
	held := l.held
	if !cut {
		l.held = nil
	}
	f.mu.Unlock()
	if cut {
		time.AfterFunc(linkTimeout, func() {
			f.mu.Lock()
			lost := f.cut[pair(e, c)]
			f.mu.Unlock()
			if lost {
				f.setLink(e, c, false)
			}
		})
		return
	}
	for _, deliver := range held {
		deliver()
	}
	f.setLink(e, c, true)
}

// Self implements api.Mesh.
func (n *node) Self() string { return n.name }

// Handle implements api.Mesh.
func (n *node) Handle(method string, h api.Handler) { n.handlers[method] = h }

// Reachable implements api.Mesh.
func (n *node) Reachable(peer string) bool {
	p := n.f.find(peer)
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return p != nil && n.f.link(n, p).up
}

func (f *fleet) find(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, list := range [][]*node{f.controls, f.entries} {
		for _, n := range list {
			if n.name == name {
				return n
			}
		}
	}
	return nil
}

// Notify implements api.Mesh.
func (n *node) Notify(to, method string, params any) error {
	p := n.f.find(to)
	if p == nil || !n.Reachable(to) {
		return errors.New("no link")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	f := n.f
	if _, ok := params.(placewire.OwnerMessage); ok && f.cost != nil {
		n.owed += f.cost.sent
		n.charge()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.link(n, p)
	deliver := func() {
		at := time.Now().Add(time.Millisecond + time.Duration(f.rng.IntN(4000))*time.Microsecond + f.late)
		if at.Before(l.next[n.name]) {
			at = l.next[n.name]
		}
		l.next[n.name] = at.Add(time.Microsecond)
		time.AfterFunc(time.Until(at), func() {
			f.mu.Lock()
			up := f.link(n, p).up
			f.mu.Unlock()
			if h := p.handlers[method]; up && h != nil {
				if p.control && f.cost != nil {
					l.reading <- struct{}{}
					defer func() { <-l.reading }()
					p.use(f.cost.received)
				}
				p.reading.Add(1)
				_, err := h(context.Background(), n.name, raw)
				p.reading.Add(-1)
				must(err)
			}
		})
	}
	if f.cut[pair(n, p)] {
		l.held = append(l.held, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			deliver()
		})
		return nil
	}
	deliver()
	return nil
}

type (
	topology    node
	linkManager node
	view        node
	directory   node
	dialect     node
	control     node
)

func (t *topology) EntryCount() int                 { return len(t.f.entries) }
func (t *topology) OnLeader(f func(string, uint64)) { t.onLeader = append(t.onLeader, f) }

func (l *linkManager) OnLinkChange(f func(api.LinkChange)) { l.onLink = append(l.onLink, f) }
func (l *linkManager) SetAddresses([]string)               {}

var packedDocument = api.PackDocument([]byte("{}"))

func (v *view) View() *api.View {
	return &api.View{Revision: 1, Version: 1, Document: packedDocument, Rollouts: (*node)(v).rollouts()}
}
func (v *view) OnChange(f func(*api.View)) { v.onView = append(v.onView, f) }

func (d *directory) Targets() []api.Target { return d.f.targets }
func (d *directory) OnChange(func())       {}
func (d *directory) Target(id string) (api.Target, bool) {
	for _, t := range d.f.targets {
		if t.ID == id {
			return t, true
		}
	}
	return api.Target{}, false
}

var engine = &routing.Engine{Slots: 64, CacheTokens: 1_000_000}

func (d *dialect) ParseConfig([]byte) (*routing.Table, error) {
	return &routing.Table{Version: 1, TokensPerSecond: 1e6, Services: map[string]*routing.Service{"m": {Name: "m", Engine: engine, ColdPerSecond: coldPerSecond}, "p": {Name: "p"}}}, nil
}

func (c *control) OnStatus(f func(api.ControlStatus)) { c.onStatus = append(c.onStatus, f) }
func (c *control) Status() api.ControlStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}
func (c *control) ReadRevision(context.Context) (uint64, error) { return 1, nil }

// request sends one request of one of eight workspaces through an entry instance.
func (f *fleet) request(e *node, number int) {
	_ = f.requestOf(e, fmt.Sprint("w", number%8), number)
}

// requestOf sends one request of a workspace through an entry instance. The error is an *api.Refusal, or
// that of the context.
func (f *fleet) requestOf(e *node, workspace string, number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f.mu.Lock()
	connecting := time.Duration(f.rng.IntN(10)) * time.Millisecond
	running := time.Duration(50+f.rng.IntN(1500)) * time.Millisecond
	f.mu.Unlock()
	now := e.clock.Now()
	p, err := e.placer.Place(ctx, &api.PlacementRequest{
		RequestID: fmt.Sprint(number), Workspace: workspace, Service: "m", Engine: engine, ColdPerSecond: coldPerSecond, Route: &routing.Route{Objective: time.Second},
		PromptTokens: 10, ExpectedOutputTokens: 5, Prompt: []api.PromptPart{{ID: fmt.Sprint(number), Tokens: 10}}, Objective: now + time.Second, Deadline: now + 3*time.Second,
	})
	if err != nil {
		code := "deadline"
		if r := (*api.Refusal)(nil); errors.As(err, &r) {
			code = r.Code
		}
		f.mu.Lock()
		f.refused[code]++
		f.mu.Unlock()
		return err
	}
	time.Sleep(connecting)
	if e.duties.Context().Err() != nil { // the process has ended
		return nil
	}
	if err := p.BeforeSend(); err != nil {
		p.End(api.AttemptUnsent)
		return err
	}
	f.mu.Lock()
	f.arrivals[p.Target().ID] = append(f.arrivals[p.Target().ID], arrival{time.Now(), workspace})
	f.mu.Unlock()
	time.Sleep(running / 2)
	p.ResponseStarted()
	time.Sleep(running / 2)
	p.End(api.AttemptServed)
	return nil
}
