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

// fakePlatform serves a list of targets in pages and refuses calls above a rate.
type fakePlatform struct {
	mu              sync.Mutex
	targets         int
	pageSize        int           // targets per page; 0 = 1
	foreign         string        // entry of another writer: first on the first page, last on the second, alone on the third
	minCallInterval time.Duration // calls that follow sooner get status 429
	lastCallAt      time.Time
	calls           int
	refused         int
}

func (l *fakePlatform) handle(ctx *fasthttp.RequestCtx) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if time.Since(l.lastCallAt) < l.minCallInterval {
		l.refused++
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	l.lastCallAt = time.Now()
	pages := l.pages()
	page := 0
	fmt.Sscanf(string(ctx.QueryArgs().Peek("page_token")), "p%d", &page)
	next := "null"
	if page+1 < len(pages) {
		next = fmt.Sprintf(`"p%d"`, page+1)
	}
	fmt.Fprintf(ctx, `{"instances":[%s],"next":%s}`, strings.Join(pages[page], ","), next)
}

// pages returns the entries of all pages.
func (l *fakePlatform) pages() (pages [][]string) {
	for n := 0; n < l.targets || n == 0; n += max(1, l.pageSize) {
		var entries []string
		for i := n; i < min(n+max(1, l.pageSize), l.targets); i++ {
			entries = append(entries, fmt.Sprintf(`{"id":"t%d","service":"s","address":"10.0.%d.%d:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0}`, i, i/250, i%250+1))
		}
		if l.foreign != "" {
			switch len(pages) {
			case 0:
				entries = append([]string{l.foreign}, entries...)
			case 1:
				entries = append(entries, l.foreign)
				pages = append(pages, entries)
				entries = []string{l.foreign}
				if n+l.pageSize < l.targets {
					pages = append(pages, entries)
					continue
				}
			}
		}
		pages = append(pages, entries)
	}
	return pages
}

func (l *fakePlatform) start(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &fasthttp.Server{Handler: l.handle}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// fakeCluster is the cluster as seen by a control leader; it counts the notifications to
// each peer and keeps the last one.
type fakeCluster struct {
	api.Mesh
	api.Control
	peers         []string
	mu            sync.Mutex
	notifications map[string]int
	lastParams    any
	role          string
	onStatus      func(api.ControlStatus)
}

func (f *fakeCluster) View() *api.View            { return &api.View{} }
func (f *fakeCluster) Install(*api.View)          {}
func (f *fakeCluster) OnChange(func(*api.View))   {}
func (f *fakeCluster) Peers() []string            { return f.peers }
func (f *fakeCluster) Handle(string, api.Handler) {}
func (f *fakeCluster) Status() api.ControlStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return api.ControlStatus{Role: f.role, Term: 3}
}
func (f *fakeCluster) OnStatus(w func(api.ControlStatus)) { f.onStatus = w }
func (f *fakeCluster) setRole(role string) {
	f.mu.Lock()
	f.role = role
	f.mu.Unlock()
	f.onStatus(f.Status())
}
func (f *fakeCluster) SetAddresses([]string)             {}
func (f *fakeCluster) OnLinkChange(func(api.LinkChange)) {}
func (f *fakeCluster) ControlInstances() []string        { return []string{"c"} }
func (f *fakeCluster) Leader() (string, uint64)          { return "c", 3 }
func (f *fakeCluster) EntryCount() int                   { return len(f.peers) }
func (f *fakeCluster) OnLeader(func(string, uint64))     {}
func (f *fakeCluster) Notify(to, method string, params any) error {
	return f.NotifyAll([]string{to}, method, params)
}
func (f *fakeCluster) NotifyAll(to []string, _ string, params any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range to {
		f.notifications[peer]++
	}
	f.lastParams = params
	return nil
}

func newDirectory(t *testing.T, address string, rate float64) (*Directory, *fakeCluster) {
	t.Helper()
	is := is.New(t)
	s := &settings.Settings{Profile: settings.ProfileRoutes, Instance: "c"}
	s.Routes.Directory = settings.Directory{Address: address, CallsPerSecond: rate}
	k := kernel.NewContext(s, slog.New(slog.NewTextHandler(io.Discard, nil)), kernel.NewClock())
	f := &fakeCluster{peers: []string{"e1", "e2"}, notifications: map[string]int{}, role: "leader"}
	is.NoErr((&platform.Dialect{}).Provision(k))
	is.NoErr(kernel.Provide[api.Mesh](k, f))
	is.NoErr(kernel.Provide[api.Topology](k, f))
	is.NoErr(kernel.Provide[api.LinkManager](k, f))
	is.NoErr(kernel.Provide[api.Control](k, f))
	is.NoErr(kernel.Provide[api.Fleet](k, f))
	d := &Directory{}
	is.NoErr(d.Provision(k))
	linked := make(chan struct{}) // a link may appear while the plug-ins start
	go func() {
		defer close(linked)
		d.linkChanged(api.LinkChange{Peer: "e1", Up: true})
	}()
	defer func() { <-linked }()
	ctx, cancel := context.WithCancel(context.Background())
	duties := kernel.NewDuties(ctx)
	is.NoErr(d.Start(duties))
	t.Cleanup(func() {
		cancel()
		_ = duties.Wait()
	})
	return d, f
}

// Guards against a list of many pages that is never read completely, because calls above
// the platform's rate limit are refused and the read restarts.
func TestReadsStayBelowCallRate(t *testing.T) {
	is := is.New(t)
	list := &fakePlatform{targets: 6, minCallInterval: 90 * time.Millisecond}
	d, f := newDirectory(t, list.start(t), 10)
	for begin := time.Now(); !d.Loaded() || len(d.Targets()) < 6; time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(begin) < 5*time.Second)
	}
	list.mu.Lock()
	is.Equal(list.refused, 0)
	list.mu.Unlock()
	allNotified := func() bool { // peers are notified after the list is published
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.notifications["e1"] > 0 && f.notifications["e2"] > 0
	}
	for begin := time.Now(); !allNotified(); time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < 5*time.Second)
	}
}

// Guards against an entry of another writer, whatever its bytes, that hides, changes or replaces targets on
// its page or on others, for instances that have the list already and for those that have just started.
func TestForeignEntriesOnPages(t *testing.T) {
	for name, foreign := range map[string]string{
		"unreadable": "{\"id\":\"\x03\x1f\xfe\",\"service\":\"s\"}", "cut off": `{"id":"x","service":`, "open list": `[1`, "end of a list": `1],"next":null}`,
		"copy without a zone": `{"id":"t1","service":"s","address":"10.0.0.9:80","version":"v1","slots":4,"state":"draining","cold_remaining_ms":0}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := &fakePlatform{targets: 6, pageSize: 2}
			address := list.start(t)
			clean, _ := newDirectory(t, address, 0)
			for begin := time.Now(); len(clean.Targets()) < 6; time.Sleep(time.Millisecond) {
				is.True(time.Since(begin) < 5*time.Second)
			}
			want := clean.Targets()
			list.mu.Lock()
			list.foreign = foreign
			is.Equal(len(list.pages()), 4)
			list.mu.Unlock()
			unreadable := clean.unreadableEntries.Get()
			started, _ := newDirectory(t, address, 0)
			for begin := time.Now(); !started.Loaded() || clean.unreadableEntries.Get() < unreadable+3; time.Sleep(time.Millisecond) {
				is.True(time.Since(begin) < 5*time.Second)
			}
			is.Equal(started.Targets(), want)
			is.Equal(clean.Targets(), want)
			is.Equal(started.readFailures.Get()+clean.readFailures.Get(), uint64(0))
			is.True(started.unreadableEntries.Get() >= 3)
		})
	}
}

// Guards against a failed read of a page that removes targets from the list.
func TestFailedReadKeepsList(t *testing.T) {
	is := is.New(t)
	list := &fakePlatform{targets: 3}
	d, _ := newDirectory(t, list.start(t), 0)
	for begin := time.Now(); len(d.Targets()) < 3; time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(begin) < 5*time.Second)
	}
	list.mu.Lock()
	list.minCallInterval = time.Hour // refuses all further calls
	list.mu.Unlock()
	time.Sleep(2 * readInterval)
	is.Equal(len(d.Targets()), 3)
	is.True(d.readFailures.Get() > 0)
}

// Guards against a new leader that reads the list only at the next interval: until then
// no instance may have a list.
func TestNewLeaderReadsAtOnce(t *testing.T) {
	is := is.New(t)
	list := &fakePlatform{targets: 2}
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

// fakeMesh is the mesh of an entry instance; it passes calls to the fetch handler of one
// control instance.
type fakeMesh struct {
	api.Mesh
	control       *Directory
	calls         atomic.Int32
	responseBytes atomic.Int32 // total size of the responses
	delay         time.Duration
}

func (a *fakeMesh) Call(ctx context.Context, _, _ string, params, result any) error {
	a.calls.Add(1)
	time.Sleep(a.delay)
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := a.control.handleFetch(ctx, "e", raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(response); err != nil {
		return err
	}
	a.responseBytes.Add(int32(len(raw)))
	return json.Unmarshal(raw, result)
}

// Guards against a leader that sends the whole list on every new link. With 300 instances
// and 3,000 targets the lists saturated its CPU and its links, silent links were closed,
// and no instance was served.
func TestLargeListIsPacked(t *testing.T) {
	is := is.New(t)
	const targets = 300
	list := &fakePlatform{targets: targets, pageSize: 50}
	leader, f := newDirectory(t, list.start(t), 100_000)
	lastSent := func() any {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.lastParams
	}
	await := func(what string, ok func() bool) {
		t.Helper()
		for begin := time.Now(); !ok(); time.Sleep(time.Millisecond) {
			if time.Since(begin) > 10*time.Second {
				t.Fatal("not " + what)
			}
		}
	}
	await("sent", func() bool { return lastSent() != nil })
	first := lastSent().([]byte)
	is.True(len(first) < 30*targets)
	a := &fakeMesh{control: leader, delay: 20 * time.Millisecond}
	entry := &Directory{kernel: leader.kernel, mesh: a, log: leader.log}
	deliver := func(u targetlist.Update) {
		raw, err := json.Marshal(u)
		is.NoErr(err)
		_, err = entry.handleUpdate(context.Background(), "c", raw)
		is.NoErr(err)
	}
	at := func() targetlist.Position {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.list.Position()
	}
	raw, err := json.Marshal(first)
	is.NoErr(err)
	_, err = entry.handlePacked(context.Background(), "c", raw)
	is.NoErr(err)
	is.Equal(entry.Targets(), leader.Targets())

	// The position sent over a new link is the local one: nothing is fetched.
	deliver(targetlist.Update{At: at(), Base: at()})
	time.Sleep(2 * a.delay)
	is.Equal(a.calls.Load(), int32(0))

	// Targets are added while the link is down. Many updates lead to one fetch of the changes.
	previous := at()
	list.mu.Lock()
	list.targets += 20
	list.mu.Unlock()
	await("read", func() bool { return at() != previous })
	for range 10 {
		deliver(targetlist.Update{At: at(), Base: at()})
	}
	await("fetched", func() bool { return len(entry.Targets()) == targets+20 })
	is.Equal(a.calls.Load(), int32(1))
	is.True(a.responseBytes.Load() < 20*60) // the whole list is about ten times as large
	is.Equal(entry.Targets(), leader.Targets())
}
