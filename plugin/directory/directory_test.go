package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/settings"
	"nutmegrouter/internal/targetlist"
	"nutmegrouter/platform"
)

// platformList is a list of targets in pages, of one each by default, that refuses calls
// beyond a rate.
type platformList struct {
	mu      sync.Mutex
	targets int
	size    int           // targets of a page
	gap     time.Duration // least time between two calls
	last    time.Time
	calls   int
	refused int
}

func (l *platformList) handle(ctx *fasthttp.RequestCtx) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if time.Since(l.last) < l.gap {
		l.refused++
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	l.last = time.Now()
	n := 0
	fmt.Sscanf(string(ctx.QueryArgs().Peek("page_token")), "p%d", &n)
	end := min(n+max(1, l.size), l.targets)
	next := "null"
	if end < l.targets {
		next = fmt.Sprintf(`"p%d"`, end)
	}
	var entries []string
	for ; n < end; n++ {
		entries = append(entries, fmt.Sprintf(`{"id":"t%d","service":"s","address":"10.0.%d.%d:80","zone":"z","slots":4,"state":"ready"}`, n, n/250, n%250+1))
	}
	fmt.Fprintf(ctx, `{"instances":[%s],"next":%s}`, strings.Join(entries, ","), next)
}

func (l *platformList) start(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &fasthttp.Server{Handler: l.handle}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// fleetOf is a control leader with linked peers that take notifications.
type fleetOf struct {
	api.Mesh
	api.Control
	peers []string
	mu    sync.Mutex
	told  map[string]int
	last  any
	role  string
	watch func(api.ControlStatus)
}

func (f *fleetOf) Peers() []string            { return f.peers }
func (f *fleetOf) Handle(string, api.Handler) {}
func (f *fleetOf) Status() api.ControlStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return api.ControlStatus{Role: f.role, Term: 3}
}
func (f *fleetOf) OnStatus(w func(api.ControlStatus)) { f.watch = w }
func (f *fleetOf) setRole(role string) {
	f.mu.Lock()
	f.role = role
	f.mu.Unlock()
	f.watch(f.Status())
}
func (f *fleetOf) Dial([]string)                 {}
func (f *fleetOf) OnLink(func(api.LinkChange))   {}
func (f *fleetOf) Controls() []string            { return []string{"c"} }
func (f *fleetOf) Leader() (string, uint64)      { return "c", 3 }
func (f *fleetOf) Entries() int                  { return len(f.peers) }
func (f *fleetOf) OnLeader(func(string, uint64)) {}
func (f *fleetOf) Notify(to, method string, params any) error {
	return f.NotifyAll([]string{to}, method, params)
}
func (f *fleetOf) NotifyAll(to []string, _ string, params any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range to {
		f.told[peer]++
	}
	f.last = params
	return nil
}

func newDirectory(t *testing.T, address string, rate float64) (*Directory, *fleetOf) {
	t.Helper()
	is := is.New(t)
	s := &settings.Settings{Profile: settings.ProfileRoutes, Instance: "c"}
	s.Routes.Directory = settings.Directory{Address: address, CallsPerSecond: rate}
	k := kernel.NewContext(s, slog.New(slog.NewTextHandler(io.Discard, nil)), kernel.NewClock())
	f := &fleetOf{peers: []string{"e1", "e2"}, told: map[string]int{}, role: "leader"}
	is.NoErr((&platform.Dialect{}).Provision(k))
	is.NoErr(kernel.Provide[api.Mesh](k, f))
	is.NoErr(kernel.Provide[api.Topology](k, f))
	is.NoErr(kernel.Provide[api.Roster](k, f))
	is.NoErr(kernel.Provide[api.Control](k, f))
	d := &Directory{}
	is.NoErr(d.Provision(k))
	ctx, cancel := context.WithCancel(context.Background())
	duties := kernel.NewDuties(ctx)
	is.NoErr(d.Start(duties))
	t.Cleanup(func() {
		cancel()
		_ = duties.Wait()
	})
	return d, f
}

// Guards against a list of many pages that is never read to its end, because calls
// beyond the platform's rate are refused and the read begins anew.
func TestReadsKeepToTheRate(t *testing.T) {
	is := is.New(t)
	list := &platformList{targets: 6, gap: 90 * time.Millisecond}
	d, f := newDirectory(t, list.start(t), 10)
	for begin := time.Now(); !d.Known() || len(d.Targets()) < 6; time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(begin) < 5*time.Second)
	}
	list.mu.Lock()
	is.Equal(list.refused, 0)
	list.mu.Unlock()
	told := func() bool { // after the list is known here
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.told["e1"] > 0 && f.told["e2"] > 0
	}
	for begin := time.Now(); !told(); time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < 5*time.Second)
	}
}

// Guards against a list with a page missing that makes its targets look gone.
func TestFailedReadKeepsTheList(t *testing.T) {
	is := is.New(t)
	list := &platformList{targets: 3}
	d, _ := newDirectory(t, list.start(t), 0)
	for begin := time.Now(); len(d.Targets()) < 3; time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(begin) < 5*time.Second)
	}
	list.mu.Lock()
	list.gap = time.Hour // from now on each call is refused
	list.mu.Unlock()
	time.Sleep(2 * readInterval)
	is.Equal(len(d.Targets()), 3)
	is.True(d.failures.Get() > 0)
}

// Guards against a new leader that reads the list only at its next interval, while no
// instance knows any target.
func TestNewLeaderReadsAtOnce(t *testing.T) {
	is := is.New(t)
	list := &platformList{targets: 2}
	d, f := newDirectory(t, list.start(t), 0)
	f.setRole("follower")
	time.Sleep(2*readInterval + readInterval/4) // between two intervals
	list.mu.Lock()
	list.targets = 4
	list.mu.Unlock()
	f.setRole("leader")
	for begin := time.Now(); len(d.Targets()) < 4; time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < readInterval/2)
	}
}

// asker is the mesh of an entry instance that reaches one control instance.
type asker struct {
	api.Mesh
	control *Directory
	calls   atomic.Int32
	bytes   atomic.Int32 // of the answers
	slow    time.Duration
}

func (a *asker) Call(ctx context.Context, _, _ string, params, result any) error {
	a.calls.Add(1)
	time.Sleep(a.slow)
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	got, err := a.control.handleFetch(ctx, "e", raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(got); err != nil {
		return err
	}
	a.bytes.Add(int32(len(raw)))
	return json.Unmarshal(raw, result)
}

// Guards against a leader that sends the whole list to every instance on every new link:
// with 300 instances and 3,000 targets its processor and its links were full of lists,
// links were cut for their silence, and no instance was served.
func TestLargeListIsPacked(t *testing.T) {
	is := is.New(t)
	const targets = 300
	list := &platformList{targets: targets, size: 50}
	leader, f := newDirectory(t, list.start(t), 100_000)
	sent := func() any {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.last
	}
	await := func(what string, ok func() bool) {
		t.Helper()
		for begin := time.Now(); !ok(); time.Sleep(time.Millisecond) {
			if time.Since(begin) > 10*time.Second {
				t.Fatal("not " + what)
			}
		}
	}
	await("sent", func() bool { return sent() != nil })
	first := sent().([]byte)
	is.True(len(first) < 30*targets)
	a := &asker{control: leader, slow: 20 * time.Millisecond}
	entry := &Directory{kernel: leader.kernel, mesh: a, log: leader.log}
	tell := func(u targetlist.Update) {
		raw, err := json.Marshal(u)
		is.NoErr(err)
		_, err = entry.handleUpdate(context.Background(), "c", raw)
		is.NoErr(err)
	}
	at := func() targetlist.Position {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.list.At()
	}
	raw, err := json.Marshal(first)
	is.NoErr(err)
	_, err = entry.handlePacked(context.Background(), "c", raw)
	is.NoErr(err)
	is.Equal(entry.Targets(), leader.Targets())

	// A new link tells the position; nothing is fetched.
	tell(targetlist.Update{At: at(), Base: at()})
	time.Sleep(2 * a.slow)
	is.Equal(a.calls.Load(), int32(0))

	// Targets come while the link is down. Many messages lead to one fetch of the changes.
	before := at()
	list.mu.Lock()
	list.targets += 20
	list.mu.Unlock()
	await("read", func() bool { return at() != before })
	for range 10 {
		tell(targetlist.Update{At: at(), Base: at()})
	}
	await("fetched", func() bool { return len(entry.Targets()) == targets+20 })
	is.Equal(a.calls.Load(), int32(1))
	is.True(a.bytes.Load() < 20*60) // the list has ten times as much
	is.Equal(entry.Targets(), leader.Targets())
}
