package operators

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fleetstate"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/settings"
	"nutmegrouter/platform"
)

// stateLog is a control log with one replica, in memory.
type stateLog struct {
	api.Control
	mu        sync.Mutex
	state     *fleetstate.State
	nowMs     int64 // time of the log
	changes   int
	submitted []api.Submission // by the server
	readErr   error            // of ReadView
	submitErr error            // of Submit, which then applies nothing
	// afterRead is called once when ReadView has read the view.
	afterRead func()
}

func (l *stateLog) ReadView(context.Context) (*api.View, error) {
	l.mu.Lock()
	view, err, then := l.state.View(), l.readErr, l.afterRead
	l.afterRead = nil
	l.mu.Unlock()
	if then != nil {
		then()
	}
	return view, err
}

func (l *stateLog) Submit(_ context.Context, s api.Submission) (api.SubmitResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted = append(l.submitted, s)
	if l.submitErr != nil {
		return api.SubmitResult{}, l.submitErr
	}
	return l.apply(s)
}

func (l *stateLog) apply(s api.Submission) (api.SubmitResult, error) {
	c := fleetstate.Command{ID: s.ChangeID, UnixMs: l.nowMs, Submit: &fleetstate.Submit{Submission: s}}
	raw, err := c.Encode()
	if err != nil {
		return api.SubmitResult{}, err
	}
	return *l.state.Apply(raw).Submit, nil
}

// change applies a change that another instance has submitted, based on the newest revision.
func (l *stateLog) change(s api.Submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes++
	s.ChangeID, s.OnNewestRevision, s.BaseRevision = fmt.Sprint("other-", l.changes), true, l.state.Revision()
	if r, err := l.apply(s); err != nil || r.Error != "" || r.ConflictingChange != "" {
		panic(fmt.Sprint(r, err))
	}
}

// end ends the running rollout of service "s".
func (l *stateLog) end(state api.RolloutState) {
	r := l.state.View().Rollouts["s"]
	l.change(api.Submission{Rollout: &api.RolloutChange{Service: "s", Ends: r.Started, State: state}})
}

// start starts a rollout of service "s" for 12 s.
func (l *stateLog) start(version string) {
	l.change(api.Submission{Rollout: &api.RolloutChange{Service: "s", Version: version, DurationMs: 12_000}})
}

// configure accepts a configuration that has the services.
func (l *stateLog) configure(services ...string) {
	var list []string
	for _, s := range services {
		list = append(list, `{"name":"`+s+`","max_connections":1}`)
	}
	raw := fmt.Sprintf(`{"version":%d,"routes":[],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":1024,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		l.state.View().Version+1, strings.Join(list, ","))
	l.change(api.Submission{Version: l.state.View().Version + 1, Document: api.PackDocument([]byte(raw))})
}

// serveRollouts starts a server on a control log whose configuration has service "s", and returns its address.
func serveRollouts(t *testing.T, bounds *settings.Rollouts) (*stateLog, string) {
	is := is.New(t)
	l := &stateLog{state: fleetstate.New()}
	s := &settings.Settings{Routes: settings.Routes{DataCentres: []string{"a"}, Rollouts: bounds}}
	c := kernel.NewContext(s, slog.New(slog.DiscardHandler), kernel.NewClock())
	is.NoErr(kernel.Provide[api.Control](c, l))
	is.NoErr(kernel.Provide[api.Dialect](c, &platform.Dialect{}))
	server := &Server{}
	is.NoErr(server.Provision(c))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.http.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	l.configure("s", "t")
	return l, ln.Addr().String()
}

var testBounds = settings.Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackMs: 5000}

func call(t *testing.T, method, address, path, body string) (status int, contentType, response string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.SetBodyString(body)
	is.New(t).NoErr(fasthttp.DoTimeout(req, resp, 5*time.Second))
	return resp.StatusCode(), string(resp.Header.ContentType()), string(resp.Body())
}

// startOrder returns the body of an order.
func startOrder(service, version string, seconds float64) string {
	return fmt.Sprintf(`{"service":%q,"target":%q,"duration_s":%v}`, service, version, seconds)
}

// Guards against a wrong status for an order to start a rollout. Operators take 400 and 409 as final and send the
// same order again after 503; a repeated order must not be refused or start a second rollout.
func TestStartRollout(t *testing.T) {
	const toV2 = "v2 for 12 s"
	for _, c := range []struct {
		name   string
		before func(l *stateLog)
		body   string // toV2 = that order
		status int
		// version and state are those of the newest rollout of service "s" after the call; "" = none.
		version string
		state   api.RolloutState
	}{
		{"first", nil, toV2, 200, "v2", api.RolloutRunning},
		{"repeat", func(l *stateLog) { l.start("v2") }, toV2, 200, "v2", api.RolloutRunning},
		{"while another runs", func(l *stateLog) { l.start("v3") }, toV2, 409, "v3", api.RolloutRunning},
		{"with another duration", func(l *stateLog) { l.start("v2") }, startOrder("s", "v2", 13), 409, "v2", api.RolloutRunning},
		{"of another service", func(l *stateLog) { l.start("v3") }, startOrder("t", "v2", 12), 200, "v3", api.RolloutRunning},
		{"overtaken by a start", func(l *stateLog) { l.afterRead = func() { l.start("v3") } }, toV2, 503, "v3", api.RolloutRunning},
		{"overtaken by an end", func(l *stateLog) {
			l.start("v3")
			l.afterRead = func() { l.end(api.RolloutRolledBack) }
		}, toV2, 503, "v3", api.RolloutRolledBack},
		{"repeat overtaken by its end", func(l *stateLog) {
			l.start("v2")
			l.afterRead = func() { l.end(api.RolloutRolledBack) }
		}, toV2, 200, "v2", api.RolloutRolledBack},
		{"overtaken by itself", func(l *stateLog) { l.afterRead = func() { l.start("v2") } }, toV2, 200, "v2", api.RolloutRunning},
		{"overtaken by another change", func(l *stateLog) {
			l.afterRead = func() { l.change(api.Submission{DataCentre: "a", Out: true}) }
		}, toV2, 200, "v2", api.RolloutRunning},
		{"to the version that the service has moved to", func(l *stateLog) {
			l.start("v2")
			l.end(api.RolloutSucceeded)
		}, toV2, 200, "v2", api.RolloutSucceeded},
		{"repeat after it was rolled back", func(l *stateLog) { // its response was lost
			l.start("v2")
			l.end(api.RolloutRolledBack)
			l.nowMs += 6000
		}, toV2, 200, "v2", api.RolloutRolledBack},
		{"again later", func(l *stateLog) {
			l.start("v2")
			l.end(api.RolloutRolledBack)
			l.nowMs += 20_000
		}, toV2, 200, "v2", api.RolloutRunning},
		{"after another succeeded", func(l *stateLog) {
			l.start("v3")
			l.end(api.RolloutSucceeded)
		}, toV2, 200, "v2", api.RolloutRunning},
		{"unknown service", nil, startOrder("u", "v2", 12), 404, "", ""},
		{"removed service", func(l *stateLog) { l.configure("t") }, toV2, 404, "", ""},
		{"repeat for a removed service", func(l *stateLog) {
			l.start("v2")
			l.configure("t")
		}, toV2, 200, "v2", api.RolloutRunning},
		{"other version of a removed service", func(l *stateLog) {
			l.start("v3")
			l.configure("t")
		}, toV2, 404, "v3", api.RolloutRunning},
		{"no service", nil, `{"target":"v2","duration_s":12}`, 400, "", ""},
		{"bad duration", nil, startOrder("s", "v2", -1), 400, "", ""},
		{"not JSON", nil, `service=s`, 400, "", ""},
		{"empty", nil, ``, 400, "", ""},
		{"no configuration", func(l *stateLog) { l.state = fleetstate.New() }, toV2, 503, "", ""},
		{"not confirmed", func(l *stateLog) { l.readErr = errors.New("no leader") }, toV2, 503, "", ""},
		{"not decided", func(l *stateLog) { l.submitErr = errors.New("no leader") }, toV2, 503, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, address := serveRollouts(t, &testBounds)
			if c.before != nil {
				c.before(l)
			}
			body := c.body
			if body == toV2 {
				body = startOrder("s", "v2", 12)
			}
			status, _, response := call(t, "POST", address, "/rollouts/start", body)
			is.Equal(status, c.status)
			is.True(status == 200 || response != "") // a refusal has a reason
			got := l.state.View().Rollouts["s"]
			is.Equal(got.Version, c.version)
			is.Equal(got.State, c.state)
			for _, s := range l.submitted {
				is.True(s.ChangeID != "" && s.OnNewestRevision && s.Rollout.DurationMs > 0)
			}
		})
	}
}

// Guards against a read of a state that is not confirmed, that is of another service or that hides that there is none.
func TestReadRollout(t *testing.T) {
	is := is.New(t)
	l, address := serveRollouts(t, &testBounds)
	expect := func(service string, status int, response string) {
		t.Helper()
		got, contentType, body := call(t, "GET", address, "/rollouts/"+service+"/get", "")
		is.Equal(got, status)
		if status == 200 {
			is.Equal(body, response)
			is.Equal(contentType, "application/json")
		}
	}
	expect("s", 404, "")
	expect("u", 404, "")
	l.start("v2")
	expect("s", 200, `{"state":"running","target":"v2"}`)
	expect("t", 404, "")
	l.end(api.RolloutRolledBack)
	expect("s", 200, `{"state":"rolled_back","target":"v2"}`)
	l.start("v3")
	l.end(api.RolloutSucceeded)
	l.configure("t")
	expect("s", 200, `{"state":"succeeded","target":"v3"}`) // although the configuration has no such service any more
	l.readErr = errors.New("no leader")
	expect("s", 503, "")
	expect("u", 503, "")
}

// Guards against a fleet without bounds that starts rollouts, which nothing would limit.
func TestRolloutsWithoutSettings(t *testing.T) {
	is := is.New(t)
	l, address := serveRollouts(t, nil)
	status, _, _ := call(t, "POST", address, "/rollouts/start", startOrder("s", "v2", 12))
	is.Equal(status, 404)
	is.Equal(len(l.submitted), 0)
	l.start("v2")
	status, _, _ = call(t, "GET", address, "/rollouts/s/get", "")
	is.Equal(status, 404)
}

// Guards against an order that is submitted although its caller has gone while the view was read: the caller may
// have sent it, and a later one, to another instance meanwhile.
func TestRolloutOfDisconnectedCallerIsNotSubmitted(t *testing.T) {
	is := is.New(t)
	l, address := serveRollouts(t, &testBounds)
	reading, goOn := make(chan struct{}), make(chan struct{})
	l.afterRead = func() {
		close(reading)
		<-goOn
	}
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	body := startOrder("s", "v2", 12)
	_, err = fmt.Fprintf(conn, "POST /rollouts/start HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	is.NoErr(err)
	<-reading
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond) // until the close has arrived
	close(goOn)
	time.Sleep(50 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	is.Equal(len(l.submitted), 0)
}

// Guards against an order with a caller that waits which is taken for one without.
func TestRolloutOfConnectedCallerIsSubmitted(t *testing.T) {
	is := is.New(t)
	l, address := serveRollouts(t, &testBounds)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	body := startOrder("s", "v2", 12)
	for range 2 { // over one connection
		_, err = fmt.Fprintf(conn, "POST /rollouts/start HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		is.NoErr(err)
		var response fasthttp.Response
		is.NoErr(response.Read(bufio.NewReader(conn)))
		is.Equal(response.StatusCode(), 200)
	}
	is.Equal(len(l.submitted), 2)
	is.Equal(l.state.View().Rollouts["s"].Started, l.state.Revision())
}

// Guards against a name in a path that is decoded twice, so that the state of a service with a percent sign in its
// name cannot be read.
func TestReadRolloutDecodesNameOnce(t *testing.T) {
	is := is.New(t)
	l, address := serveRollouts(t, &testBounds)
	l.configure("100%25/a")
	status, _, _ := call(t, "POST", address, "/rollouts/start", `{"service":"100%25/a","target":"v2","duration_s":12}`)
	is.Equal(status, 200)
	resp, err := http.Get("http://" + address + "/rollouts/100%2525%2Fa/get") // fasthttp's client would change the path
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, 200)
}
