package main

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// fakeInstance serves the operators' API with preset responses and records the changes
// that it receives.
type fakeInstance struct {
	mu      sync.Mutex
	address string
	changes []api.Submission
	// failures is the number of changes rejected with status 503 before one is accepted.
	failures int
	result   api.SubmitResult
	inForce  bool
	rollouts map[string]api.Rollout
	metrics  string
}

func startFakeInstance(t *testing.T) *fakeInstance {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f := &fakeInstance{address: ln.Addr().String(), result: api.SubmitResult{Revision: 5}, inForce: true}
	go func() { _ = fasthttp.Serve(ln, f.handle) }()
	t.Cleanup(func() { ln.Close() })
	return f
}

func (f *fakeInstance) handle(r *fasthttp.RequestCtx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out any
	switch string(r.Path()) {
	case adminapi.PathView:
		out = api.View{Revision: 4, Rollouts: f.rollouts}
	case adminapi.PathMetrics:
		r.SetBodyString(f.metrics)
		return
	case adminapi.PathInForce:
		out = adminapi.InForce{Revision: 5, InForce: f.inForce, WaitingInstances: []string{"b"}}
	case adminapi.PathStatus:
		out = adminapi.Status{Instance: "a", Ready: true, Access: routing.AccessClosed, Control: api.ControlStatus{Role: "leader"}}
	case adminapi.PathChanges:
		var s api.Submission
		_ = json.Unmarshal(r.PostBody(), &s)
		f.changes = append(f.changes, s)
		if len(f.changes) <= f.failures {
			r.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		out = f.result
	}
	raw, _ := json.Marshal(out)
	r.SetBody(raw)
}

func runTool(in string, args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := run(args, strings.NewReader(in), &out, &errOut)
	return code, out.String(), errOut.String()
}

const exampleDocument = `{"fleet": "f", "data_centres": [{"name": "a"}], "workspaces": [], "pools": [], "targets": [],}`

// Guards against a retry after a lost response that makes a second change: every
// attempt must carry the same change id and base revision.
func TestSubmitRetriesSameChange(t *testing.T) {
	is := is.New(t)
	f := startFakeInstance(t)
	f.failures = 2
	code, out, errOut := runTool(exampleDocument, "-admin", "127.0.0.1:1,"+f.address, "apply", "-")
	is.Equal(errOut, "")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "revision 5 accepted and in force everywhere"))
	is.Equal(len(f.changes), 3)
	is.Equal(f.changes[0].BaseRevision, uint64(4))
	is.Equal(f.changes[0].ChangeID, f.changes[2].ChangeID)
	is.True(f.changes[0].ChangeID != "")
}

// Guards against a wrong exit code, and against an error that does not say what happened
// to a change.
func TestExitCodes(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.json")
	is.New(t).NoErr(os.WriteFile(invalid, []byte(`{"fleet": "", "targets": [{}]}`), 0o600))
	cases := []struct {
		name   string
		change func(*fakeInstance)
		args   []string
		code   int
		text   string
	}{
		{"conflict", func(f *fakeInstance) { f.result = api.SubmitResult{Revision: 6, ConflictingChange: "other"} }, []string{"out", "a"}, exitConflict, "change other won"},
		{"refused", func(f *fakeInstance) { f.result = api.SubmitResult{Error: "no such data centre"} }, []string{"back", "a"}, exitUsage, "no such data centre"},
		{"not in force", func(f *fakeInstance) { f.inForce = false }, []string{"wait", "5"}, exitUnknown, "waiting for [b]"},
		{"unknown outcome", func(f *fakeInstance) { f.failures = 1 << 30 }, []string{"out", "a"}, exitUnknown, "resend with -change-id"},
		{"invalid document", nil, []string{"apply", invalid}, exitUsage, "targets[0].pool"},
		{"missing file", nil, []string{"check", "none"}, exitUsage, "read configuration"},
		{"bad revision", nil, []string{"wait", "x"}, exitUsage, "revision wants a number"},
		{"unknown command", nil, []string{"nothing"}, exitUsage, "unknown command"},
		{"unknown flag", nil, []string{"apply", "-x"}, exitUsage, "not defined"},
		{"no command", nil, nil, exitUsage, "usage:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := startFakeInstance(t)
			if c.change != nil {
				c.change(f)
			}
			code, _, errOut := runTool("", append([]string{"-admin", f.address, "-timeout", "1s"}, c.args...)...)
			is.Equal(code, c.code)
			is.True(strings.Contains(errOut, c.text)) // the error says what happened
		})
	}
}

// Guards against a dry run that submits the change.
func TestDryRunChangesNothing(t *testing.T) {
	is := is.New(t)
	f := startFakeInstance(t)
	code, out, _ := runTool(exampleDocument, "-admin", f.address, "apply", "-dry-run", "-")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "+ data_centre a"))
	is.Equal(len(f.changes), 0)
}

// Guards against a status command that fails because one address does not respond, or
// that does not show this address.
func TestStatusWithUnreachableInstance(t *testing.T) {
	is := is.New(t)
	f := startFakeInstance(t)
	code, out, _ := runTool("", "-admin", f.address+",127.0.0.1:1", "status")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "leader"))
	is.True(strings.Contains(out, "127.0.0.1:1"))
	code, _, _ = runTool("", "-admin", "127.0.0.1:1", "status")
	is.Equal(code, exitFailure)
}

// Guards against a fleet that is closed to all callers, or open to all, without the operator seeing it.
func TestStatusShowsAccess(t *testing.T) {
	is := is.New(t)
	f := startFakeInstance(t)
	_, out, _ := runTool("", "-admin", f.address, "status")
	is.True(strings.Contains(out, "ACCESS"))
	is.True(strings.Contains(out, string(routing.AccessClosed)))
}

// Guards against one suspended instance using up the time of the whole command. The
// operating system still accepts connections for it, but it never responds.
func TestSuspendedInstance(t *testing.T) {
	is := is.New(t)
	suspended, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer suspended.Close()
	f := startFakeInstance(t)
	code, _, errOut := runTool("", "-admin", suspended.Addr().String()+","+f.address, "-timeout", "8s", "out", "a")
	is.Equal(errOut, "")
	is.Equal(code, exitOK)
	is.Equal(len(f.changes), 1)
}

// Guards against output without the outcome of the request, and against success although
// no line of the request was found.
func TestExplain(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "e1.log")
	lines := `{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"admitted","instance":"e1","request":"r1","version":7}
{"time":"2026-01-01T00:00:03.25Z","level":"WARN","msg":"refused","instance":"e1","request":"r1","code":"too_late","left_ms":80}
`
	is.NoErr(os.WriteFile(name, []byte(lines), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(run([]string{"explain", "r1", name}, nil, &out, &errOut), exitOK)
	is.True(strings.Contains(out.String(), "outcome: refused code=too_late left_ms=80"))
	out.Reset()
	is.Equal(run([]string{"explain", "-json", "r1"}, strings.NewReader(lines), &out, &errOut), exitOK)
	var trace struct{ Outcome struct{ Msg string } }
	is.NoErr(json.Unmarshal(out.Bytes(), &trace))
	is.Equal(trace.Outcome.Msg, "refused")
	is.Equal(run([]string{"explain", "r2", name}, nil, &out, &errOut), exitFailure)
	is.True(strings.Contains(errOut.String(), "no line of request r2"))
	is.Equal(run([]string{"explain"}, nil, &out, &errOut), exitUsage)
}

// Guards against a table that lacks a cause or a group, and against wrong flags that are accepted.
func TestLosses(t *testing.T) {
	is := is.New(t)
	lines := `{"time":"2026-01-01T00:00:03Z","msg":"admitted","instance":"e1","request":"r1","workspace":"w","kind":"streaming","objective_ms":500}
{"time":"2026-01-01T00:00:03.1Z","msg":"answered","instance":"e1","request":"r1","status":200}
{"time":"2026-01-01T00:00:05Z","msg":"refused","instance":"e1","request":"r2","workspace":"w","code":"not_ready"}
`
	var out, errOut bytes.Buffer
	is.Equal(run([]string{"losses", "-by", "workspace"}, strings.NewReader(lines), &out, &errOut), exitOK)
	is.True(strings.Contains(out.String(), "owner or configuration away"))
	is.True(strings.Contains(out.String(), "w          2         1        1"))
	out.Reset()
	is.Equal(run([]string{"losses", "-json"}, strings.NewReader(lines), &out, &errOut), exitOK)
	var got struct{ Groups []struct{ Attempts int } }
	is.NoErr(json.Unmarshal(out.Bytes(), &got))
	is.Equal(len(got.Groups), 2) // two spans of 2 s
	is.Equal(run([]string{"losses", "-by", "target"}, strings.NewReader(lines), &out, &errOut), exitUsage)
	is.Equal(run([]string{"losses", "-interval", "1ms"}, strings.NewReader(lines), &out, &errOut), exitUsage)
	is.Equal(run([]string{"losses"}, strings.NewReader(""), &out, &errOut), exitFailure)
}

// Guards against a rollout shown with the evidence of another one or of the wrong version, and against one that is
// hidden because its owner does not answer.
func TestRollouts(t *testing.T) {
	is := is.New(t)
	f := startFakeInstance(t)
	f.rollouts = map[string]api.Rollout{
		"s": {Service: "s", Version: "v2", DurationMs: 12_000, Started: 7, State: api.RolloutRolledBack, Reason: "failures"},
		"t": {Service: "t", Version: "v2", DurationMs: 60_000, Started: 9, State: api.RolloutSucceeded, Reason: "all_moved", Replaced: []string{"v0", "v1"}},
		"u": {Service: "u", Version: `v"1`, DurationMs: 500, Started: 10, State: api.RolloutRunning},
	}
	f.metrics = `nutmeg_ready 1
nutmeg_rollout_state{service="s",version="v1"} 10
nutmeg_rollout_state{service="s",version="v2"} 11
nutmeg_rollout_grants_total{service="s",version="v1"} 99
nutmeg_rollout_grants_total{service="s",version="v2"} 41
nutmeg_rollout_failed_total{service="s",version="v2"} 12
nutmeg_rollout_failed_total{service="s",version="other"} 3
nutmeg_rollout_slow_total{service="s",version="v2"} 5
nutmeg_rollout_slow_total{service="s",version="other"} 4
nutmeg_rollout_state{service="u",version="v\"1"} 2
`
	code, out, errOut := runTool("", "-admin", f.address, "-json", "rollouts")
	is.Equal(errOut, "")
	is.Equal(code, exitOK)
	var got []shownRollout
	is.NoErr(json.Unmarshal([]byte(out), &got))
	is.Equal(len(got), 3)
	is.Equal(got[0].Rollout, f.rollouts["s"])
	is.Equal(*got[0].Evidence, rolloutEvidence{Owner: "a", Phase: "rolled back", Granted: 41, Failed: 12, Slow: 5, OtherFailed: 3, OtherSlow: 4})
	is.True(got[1].Evidence == nil)
	is.Equal(got[2].Evidence.Phase, "canary")
	code, out, _ = runTool("", "-admin", f.address, "rollouts", "t")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "all_moved") && strings.Contains(out, "v0 v1") && !strings.Contains(out, "rolled_back"))
	code, _, errOut = runTool("", "-admin", f.address, "rollouts", "x")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(errOut, "has had no rollout"))
	f.mu.Lock()
	f.metrics = ""
	f.mu.Unlock()
	code, out, _ = runTool("", "-admin", f.address+",127.0.0.1:1", "rollouts")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "rolled_back"))
}
