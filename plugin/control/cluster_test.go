package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/settings"
)

// cluster runs several instances in one process. Only pump advances the replicas, so
// elections depend on ticks and not on the speed of the machine.
type cluster struct {
	t           *testing.T
	is          *is.I
	dir         string
	names       []string
	disks       int
	mu          sync.Mutex
	brokenLinks map[[2]string]bool // directed links (sender, receiver) that are down
	instances   map[string]*instance
	wallTime    time.Time
	delayed     *delayedCalls // nil = none
	// lossesTolerated is the setting of this name in a fleet that discovers its
	// instances; 0 = the instances are listed in the settings.
	lossesTolerated int
	bootstrapped    bool // the first start is over: instances start without bootstrap
}

// instance is a running instance, and its own fake of the mesh.
type instance struct {
	cluster  *cluster
	name     string
	control  *Control
	mu       sync.Mutex
	handlers map[string]api.Handler
	view     *api.View
	ctx      context.Context // cancelled when the instance is killed
	kill     context.CancelFunc
}

// newCluster starts instances that are listed in the settings: first those with a disk,
// then the others.
func newCluster(t *testing.T, disks, others int) *cluster {
	c := &cluster{
		t: t, is: is.New(t), dir: t.TempDir(), disks: disks,
		brokenLinks: map[[2]string]bool{}, instances: map[string]*instance{}, wallTime: time.Unix(1_800_000_000, 0),
	}
	for i := range disks + others {
		c.names = append(c.names, fmt.Sprintf("i%d", i))
	}
	for _, name := range c.names {
		c.start(name)
	}
	t.Cleanup(func() {
		for _, name := range c.names {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) settings(name string) *settings.Settings {
	if c.lossesTolerated > 0 {
		return c.routedSettings(name)
	}
	s := &settings.Settings{Instance: name}
	for i, n := range c.names {
		s.Peers = append(s.Peers, settings.Peer{Instance: n, HasDisk: i < c.disks})
		if n == name && i < c.disks {
			s.DataDir = filepath.Join(c.dir, name)
		}
	}
	return s
}

func (c *cluster) start(name string) {
	c.t.Helper()
	inst := &instance{cluster: c, name: name, handlers: map[string]api.Handler{}, view: &api.View{}}
	inst.ctx, inst.kill = context.WithCancel(context.Background())
	inst.control = &Control{}
	c.is.NoErr(inst.control.Provision(c.context(name, inst)))
	c.is.NoErr(inst.control.Validate())
	inst.control.wallClock = func() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.wallTime }
	c.mu.Lock()
	c.instances[name] = inst
	c.mu.Unlock()
}

func (c *cluster) context(name string, inst *instance) *kernel.Context {
	k := kernel.NewContext(c.settings(name), slog.New(slog.NewTextHandler(io.Discard, nil)), kernel.NewClock())
	c.is.NoErr(kernel.Provide[api.Mesh](k, inst))
	if c.lossesTolerated > 0 {
		c.is.NoErr(kernel.Provide[api.Topology](k, topology{inst}))
	} else {
		c.is.NoErr(kernel.Provide[api.Lease](k, lease{inst}))
	}
	c.is.NoErr(kernel.Provide[api.Fleet](k, fleet{inst}))
	return k
}

// stop kills an instance: it does not drain, so leadership is not transferred.
func (c *cluster) stop(name string) {
	c.mu.Lock()
	inst := c.instances[name]
	delete(c.instances, name)
	c.mu.Unlock()
	if inst != nil {
		inst.kill()
		c.is.NoErr(inst.control.Cleanup())
	}
}

// running returns a running instance by its name, or nil.
func (c *cluster) running(name string) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[name]
}

// pump runs one tick of every replica and distributes the views.
func (c *cluster) pump() {
	for _, name := range c.names {
		inst := c.running(name)
		if inst == nil {
			continue
		}
		ctl := inst.control
		if ctl.replica != nil && !ctl.replica.diskFailed {
			ctl.drainRings(ctl.replica)
			ctl.replica.tick()
			if err := ctl.replica.processReady(); err != nil {
				c.is.True(c.lossesTolerated > 0) // the tests fail writes only with discovered instances
				ctl.replica.failPendingCalls()
				ctl.replica.dropNode()
			}
		} else if ctl.replica != nil {
			ctl.drainWithoutNode(ctl.replica) // as the duty does until the log is open again
		}
		for _, p := range inst.Peers() { // as the lease plug-in distributes views
			if other := inst.peer(p); other != nil {
				fleet{inst}.Install(fleet{other}.View())
			}
		}
	}
}

// drainUntil lets the replicas handle calls and messages without ticks until the
// condition holds, for at most 10 s.
func (c *cluster) drainUntil(what string, cond func() bool) {
	c.t.Helper()
	for begin := time.Now(); !cond(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			c.t.Fatalf("not reached: %s", what)
		}
		for _, name := range c.names {
			if inst := c.running(name); inst != nil && inst.control.replica != nil {
				inst.control.drainRings(inst.control.replica)
				c.is.NoErr(inst.control.replica.processReady())
			}
		}
	}
}

// joinAll runs joinGroup once on every disk instance while pump serves its calls.
func (c *cluster) joinAll() {
	for _, name := range c.names[:c.disks] {
		if inst := c.running(name); inst != nil {
			c.pumpDuring(func() { inst.control.joinGroup(context.Background()) })
		}
	}
}

// pumpDuring calls pump until f has returned.
func (c *cluster) pumpDuring(f func()) {
	done := make(chan struct{})
	go func() { f(); close(done) }()
	for {
		select {
		case <-done:
			return
		default:
			c.pump()
		}
	}
}

// pumpUntil calls pump until the condition holds, for at most 4000 ticks, and joinAll
// every 20 ticks.
func (c *cluster) pumpUntil(what string, cond func() bool) {
	c.t.Helper()
	for i := range 4000 {
		if cond() {
			return
		}
		if i%20 == 0 {
			c.joinAll()
		}
		c.pump()
	}
	for _, name := range c.names {
		if inst := c.running(name); inst != nil {
			c.t.Logf("%s: %+v", name, inst.control.Status())
		}
	}
	c.t.Fatalf("not reached: %s", what)
}

// leader returns the first instance whose replica has the role of leader, or "".
func (c *cluster) leader() string {
	for _, name := range c.names {
		if inst := c.running(name); inst != nil && inst.control.Status().Role == "leader" {
			return name
		}
	}
	return ""
}

func (c *cluster) waitLeader() string {
	c.t.Helper()
	c.pumpUntil("a leader", func() bool { return c.leader() != "" })
	return c.leader()
}

// submit submits a change through an instance while pump drives the replicas.
func (c *cluster) submit(at string, s api.Submission) (r api.SubmitResult) {
	c.t.Helper()
	var err error
	c.pumpDuring(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		r, err = c.running(at).control.Submit(ctx, s)
	})
	c.is.NoErr(err)
	return r
}

func (c *cluster) setLink(a, b string, up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenLinks[[2]string{a, b}], c.brokenLinks[[2]string{b, a}] = !up, !up
}

// isolate takes all links of an instance down, or up again.
func (c *cluster) isolate(name string, up bool) {
	for _, other := range c.names {
		if other != name {
			c.setLink(name, other, up)
		}
	}
}

// peer returns the instance at the other end of a link, or nil if the link is down or
// an end of it is not running.
func (i *instance) peer(to string) *instance {
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	if i.cluster.brokenLinks[[2]string{i.name, to}] || i.cluster.instances[i.name] != i {
		return nil
	}
	return i.cluster.instances[to]
}

func (i *instance) Self() string { return i.name }

func (i *instance) Peers() []string {
	var out []string
	for _, n := range i.cluster.names {
		if n != i.name {
			out = append(out, n)
		}
	}
	return out
}

func (i *instance) Handle(method string, h api.Handler) { i.handlers[method] = h }

func (i *instance) Reachable(peer string) bool { return i.peer(peer) != nil }

func (i *instance) NotifyAll(to []string, method string, params any) error {
	for _, peer := range to {
		if err := i.Notify(peer, method, params); err != nil {
			return err
		}
	}
	return nil
}

func (i *instance) Notify(to, method string, params any) error {
	return i.Call(context.Background(), to, method, params, nil)
}

func (i *instance) Call(ctx context.Context, to, method string, params, result any) error {
	p := i.peer(to)
	if p == nil {
		return errors.Errorf("no link to %s", to)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if d := i.cluster.delayedCalls(i.name, method); d != nil {
		d.sent.Done()
		go func() {
			<-d.release
			if p := i.peer(to); p != nil {
				_, err := p.handlers[method](context.Background(), i.name, raw)
				i.cluster.is.NoErr(err)
			}
			d.delivered.Done()
		}()
		<-ctx.Done()
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)() // the link breaks when its peer is killed
	res, err := p.handlers[method](ctx, i.name, raw)
	if p.ctx.Err() != nil {
		return errors.Errorf("link to %s lost", to)
	}
	if err != nil || result == nil {
		return err
	}
	if raw, err = json.Marshal(res); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// delayedCalls holds up the next calls of a method from an instance. They are delivered on release,
// although their senders have given up meanwhile.
type delayedCalls struct {
	from, method    string
	calls           int
	release         chan struct{}
	sent, delivered sync.WaitGroup
}

// delay holds up a number of calls.
func (c *cluster) delay(from, method string, calls int) *delayedCalls {
	d := &delayedCalls{from: from, method: method, calls: calls, release: make(chan struct{})}
	d.sent.Add(calls)
	d.delivered.Add(calls)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayed = d
	return d
}

// delayedCalls returns what holds up a call, nil if nothing does.
func (c *cluster) delayedCalls(from, method string) *delayedCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.delayed
	if d == nil || d.calls == 0 || d.from != from || d.method != method {
		return nil
	}
	d.calls--
	return d
}

// fleet and lease are fakes of the plug-ins with these names.
type fleet struct{ *instance }

func (f fleet) View() *api.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f fleet) Install(v *api.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.Revision > f.view.Revision {
		f.view = v
	}
}

func (f fleet) OnChange(func(*api.View)) {}

type lease struct{ *instance }

func (l lease) PeerRevision(peer string) uint64 {
	if p := l.peer(peer); p != nil {
		return fleet{p}.View().Revision
	}
	return 0
}

func (lease) Valid() bool                         { return true }
func (lease) Owner(string) (string, uint64, bool) { return "", 0, false }
func (lease) Owns(string) (uint64, bool)          { return 0, false }
func (lease) MayHoldLease(string) bool            { return true }
func (lease) SeekOwnership([]string)              {}
func (lease) Resign(context.Context) error        { return nil }
func (lease) OnChange(func())                     {}

// document returns a valid document with two data centres.
func document() *fleetconfig.Config {
	return &fleetconfig.Config{
		Fleet:       "test",
		DataCentres: []fleetconfig.DataCentre{{Name: "a"}, {Name: "b"}},
		Workspaces:  []fleetconfig.Workspace{{Name: "w", Weight: 1, KeyHashes: []string{keyHash}}},
		Pools:       []fleetconfig.Pool{{Name: "p", Kind: fleetconfig.KindService}},
		Targets: []fleetconfig.Target{
			{Name: "t1", Pool: "p", DataCentre: "a", Address: "127.0.0.1:1001", WarmCapacity: 2, ColdCapacity: 1},
			{Name: "t2", Pool: "p", DataCentre: "b", Address: "127.0.0.1:1002", WarmCapacity: 2, ColdCapacity: 1},
		},
	}
}

const keyHash = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
