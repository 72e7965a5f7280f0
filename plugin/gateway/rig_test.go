package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/settings"
	"nutmegrouter/platform"
	"nutmegrouter/platform/standin"
	"nutmegrouter/plugin/fleet"
	"nutmegrouter/plugin/forward"
)

// configOf returns a configuration with a route of each kind.
func configOf(version int) *standin.Config {
	model := func(name string, attempts int, resumable bool) standin.Route {
		return standin.Route{Name: name, Host: "f.example", Prefix: "/" + name + "/", Service: "m", Kind: "streaming",
			TimeoutMs: 4000, ObjectiveMs: 400, MaxAttempts: attempts, Resumable: resumable}
	}
	plain := func(name, kind string, attempts int) standin.Route {
		return standin.Route{Name: name, Host: "f.example", Prefix: "/" + name + "/", Service: "s", Kind: kind,
			TimeoutMs: 1500, ObjectiveMs: 100, MaxAttempts: attempts, Public: true}
	}
	return &standin.Config{
		Version: version, TokensPerSecond: 1000, Workspaces: map[string][]string{"w": {"key"}},
		Routes: []standin.Route{
			model("chat", 1, false), model("draft", 2, true),
			plain("order", "non_idempotent", 1), plain("twice", "non_idempotent", 2), plain("look", "idempotent", 2),
		},
		Services: []standin.Service{{Name: "m", Engine: true}, {Name: "s"}},
		Callers:  standin.CallerLimits{HeaderBytes: 2000, BodyBytes: 100000, HeaderTimeoutMs: 300, IdleTimeoutMs: 2000},
	}
}

// rig is a test rig of a gateway, a forwarder and scripted targets. It is its own placer.
type rig struct {
	t       testing.TB
	is      *is.I
	gateway *Gateway
	fleet   api.Fleet
	targets []*target

	mu       sync.Mutex
	outcomes []api.AttemptOutcome
	notices  []api.TargetNotice
	crashes  []string // targets and fingerprints
	placed   int
	precheck *api.Refusal // returned by Precheck
	hold     bool         // Place waits until RefuseWaiting is called
	refuse   chan *api.Refusal
	// shed has the ids of the requests that ReportShed reported.
	shed []string
	logs logBuffer
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// newRig starts a rig with one entry instance. The first attempt of a request goes to the
// first target, each further attempt to the next one.
func newRig(t testing.TB, targets ...*target) *rig {
	t.Helper()
	return newRigWithEntries(t, 1, targets...)
}

// newRigWithEntries starts a rig whose gateway is one of a number of entry instances.
func newRigWithEntries(t testing.TB, entries int, targets ...*target) *rig {
	t.Helper()
	r := &rig{t: t, is: is.New(t), targets: targets, refuse: make(chan *api.Refusal, 1)}
	return r.start(entries, slog.NewJSONHandler(&r.logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// start starts the gateway and the forwarder.
func (r *rig) start(entries int, h slog.Handler) *rig {
	t := r.t
	t.Helper()
	s := &settings.Settings{Profile: settings.ProfileRoutes, Instance: "e", DataCentre: "z", Listen: "127.0.0.1:0"}
	s.Routes = settings.Routes{Ready: "127.0.0.1:0", MemoryMB: 64, MaxFiles: 1000, Bounds: settings.Bounds{StopMs: 5000, RetryRatio: 0.2, RetrySlack: 100, RetryWindowMs: 10000}}
	k := kernel.NewContext(s, slog.New(h).With("instance", "e"), kernel.NewClock())
	store := &fleet.Store{}
	r.is.NoErr(store.Provision(k))
	r.fleet = store
	r.is.NoErr((&platform.Dialect{}).Provision(k))
	r.is.NoErr(kernel.Provide[api.Directory](k, emptyDirectory{}))
	r.is.NoErr(kernel.Provide[api.Placer](k, r))
	r.is.NoErr(kernel.Provide[api.Topology](k, entryCount(entries)))
	f := &forward.Forwarder{}
	r.is.NoErr(f.Provision(k))
	r.gateway = &Gateway{}
	r.is.NoErr(r.gateway.Provision(k))
	ctx, cancel := context.WithCancel(context.Background())
	d := kernel.NewDuties(ctx)
	r.is.NoErr(f.Start(d))
	r.is.NoErr(r.gateway.Start(d))
	t.Cleanup(func() {
		cancel()
		_ = d.Wait()
		_ = f.Cleanup()
	})
	return r
}

// configure activates a version of the configuration.
func (r *rig) configure(version int) *rig {
	r.fleet.Install(newView(version, configOf(version).Document()))
	return r
}

// emptyDirectory is a known directory without targets: the rig chooses the targets.
type emptyDirectory struct{}

func (emptyDirectory) Targets() []api.Target            { return nil }
func (emptyDirectory) Target(string) (api.Target, bool) { return api.Target{}, false }
func (emptyDirectory) Loaded() bool                     { return true }
func (emptyDirectory) OnChange(func())                  {}

// entryCount is a topology with a number of entry instances and no control instance.
type entryCount int

func (entryCount) ControlInstances() []string    { return nil }
func (entryCount) Leader() (string, uint64)      { return "", 0 }
func (a entryCount) EntryCount() int             { return int(a) }
func (entryCount) OnLeader(func(string, uint64)) {}

// Precheck implements api.Placer.
func (r *rig) Precheck(*api.PlacementRequest) *api.Refusal { return r.precheck }

// ReportShed implements api.Placer.
func (r *rig) ReportShed(w *api.PlacementRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shed = append(r.shed, w.RequestID)
}

// RefuseWaiting implements api.Placer. It ends the wait of one request.
func (r *rig) RefuseWaiting(refusal *api.Refusal) {
	if r.hold {
		r.refuse <- refusal
	}
}

// Place implements api.Placer.
func (r *rig) Place(ctx context.Context, w *api.PlacementRequest) (api.Placement, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hold {
		r.mu.Unlock()
		defer r.mu.Lock()
		select {
		case refusal := <-r.refuse:
			return nil, refusal
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if len(r.targets) == 0 || len(w.TriedTargets) >= len(r.targets) {
		return nil, &api.Refusal{Code: "no_target", Status: 503, Run: api.NotRun, Step: "place", RetryAfter: time.Second}
	}
	for _, t := range r.targets {
		if !slices.Contains(w.TriedTargets, t.id) {
			r.placed++
			return &placement{r, t}, nil
		}
	}
	return nil, ctx.Err()
}

type placement struct {
	r *rig
	t *target
}

func (p *placement) Target() api.Target { return api.Target{ID: p.t.id, Address: p.t.address} }
func (p *placement) FetchFrom() string  { return "" }
func (p *placement) BeforeSend() error  { return nil }
func (p *placement) ResponseStarted()   {}
func (p *placement) ReportEvents(int)   {}
func (p *placement) ReportNotice(n api.TargetNotice) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	if n == (api.TargetNotice{}) {
		return
	}
	p.r.notices = append(p.r.notices, n)
}
func (p *placement) ReportCrash(f api.Fingerprint) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.crashes = append(p.r.crashes, p.t.id+" "+f.String())
}
func (p *placement) End(o api.AttemptOutcome) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.outcomes = append(p.r.outcomes, o)
}

// waitOutcomes waits for the outcomes of n attempts and returns all, separated by spaces.
func (r *rig) waitOutcomes(n int) string {
	r.t.Helper()
	for begin := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		r.mu.Lock()
		out := make([]string, len(r.outcomes))
		for i, o := range r.outcomes {
			out[i] = string(o)
		}
		r.mu.Unlock()
		if len(out) >= n {
			return strings.Join(out, " ")
		}
		if time.Since(begin) > 10*time.Second {
			r.t.Fatalf("%d outcomes, want %d: %v", len(out), n, out)
		}
	}
}

// waitUntil waits for a condition, at most 10 s.
func (r *rig) waitUntil(what string, condition func() bool) {
	r.t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			r.t.Fatalf("not %s within 10 s", what)
		}
	}
}

// target is a server whose script writes raw responses; n counts its requests from 1.
type target struct {
	id, address string
	script      func(c net.Conn, r *http.Request, n int)
	listener    net.Listener

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	conns    int
	closed   chan struct{} // receives when the gateway has closed a connection
}

func newTarget(t testing.TB, id string, script func(c net.Conn, r *http.Request, n int)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &target{id: id, address: l.Addr().String(), listener: l, script: script, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			x.mu.Lock()
			x.conns++
			x.mu.Unlock()
			go x.serve(c)
		}
	}()
	return x
}

func (x *target) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			x.closed <- struct{}{}
			return
		}
		body := ""
		if !strings.Contains(r.URL.Path, "early") {
			raw, _ := io.ReadAll(r.Body)
			body = string(raw)
		}
		x.mu.Lock()
		x.requests, x.bodies = append(x.requests, r), append(x.bodies, body)
		n := len(x.requests)
		x.mu.Unlock()
		x.script(c, r, n)
	}
}

// count returns the numbers of requests and connections so far.
func (x *target) count() (requests, conns int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.requests), x.conns
}

// responseHeader returns the status line and headers of a response to a request, without
// the empty line at the end.
func responseHeader(status int, id string, extra ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n"+standin.HeaderAttempt+": %s\r\n"+standin.HeaderStamp+": stamp-%s\r\n%s", status, id, id, strings.Join(append(extra, ""), "\r\n"))
}

// fullResponse returns a response with Content-Length and a body.
func fullResponse(status int, id, body string, extra ...string) string {
	return responseHeader(status, id, append(extra, fmt.Sprintf("Content-Length: %d", len(body)))...) + "\r\n" + body
}

// notRunResponse returns a response by which a target declares that it did not execute the
// request.
func notRunResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 X\r\n"+standin.HeaderAttempt+": %s\r\n"+standin.HeaderNotRun+": 1\r\nContent-Length: 0\r\n\r\n", id)
}

func streamHeader(id string) string {
	return responseHeader(200, id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + "\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

func events(from, to int) (s string) {
	for n := from; n <= to; n++ {
		s += event(n)
	}
	return s
}

const endChunk = "0\r\n\r\n"

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func attemptID(r *http.Request) string { return r.Header.Get(standin.HeaderAttempt) }

// caller is a raw connection to the gateway.
type caller struct {
	t testing.TB
	net.Conn
	br *bufio.Reader
}

func (r *rig) dial() *caller {
	r.t.Helper()
	c, err := net.Dial("tcp", r.gateway.listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	return newCaller(r.t, c)
}

func newCaller(t testing.TB, c net.Conn) *caller {
	t.Cleanup(func() { c.Close() })
	return &caller{t, c, bufio.NewReader(c)}
}

// request returns the text of a request with typical headers.
func request(method, path, id, body string, extra ...string) string {
	h := []string{"Host: f.example", standin.HeaderAttempt + ": " + id, standin.HeaderDeadline + ": 4000", "Authorization: Bearer key"}
	if body != "" {
		h = append(h, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s\r\n\r\n%s", method, path, strings.Join(append(h, extra...), "\r\n"), body)
}

func (c *caller) send(s string) { write(c, s) }

// readResponse reads one response. With an error in the body it also returns what was
// read.
func (c *caller) readResponse() (*http.Response, string, error) {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// want reads a response and fails the test unless status and body match; "*" matches any
// body.
func (c *caller) want(status int, body string) *http.Response {
	c.t.Helper()
	resp, got, err := c.readResponse()
	if err != nil {
		c.t.Fatalf("response: %v after %q", err, got)
	}
	if resp.StatusCode != status || (body != "*" && got != body) {
		c.t.Fatalf("response %d %q, want %d %q", resp.StatusCode, got, status, body)
	}
	return resp
}

func newView(version int, doc []byte) *api.View {
	return &api.View{Revision: uint64(version), Version: uint64(version), Document: api.PackDocument(doc)}
}
