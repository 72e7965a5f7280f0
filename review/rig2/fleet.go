//go:build review

// Command rig2 plays the cases of review/N/run.sh. It starts the project's nutmegd as the
// deploy file does, as separate processes on loopback addresses, with stand-ins of the
// platform's list, of targets and of clients around them.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nutmegrouter/internal/settings"
	"nutmegrouter/platform/standin"
)

// Ports of the processes; each has an address of its own in 127.0.0.0/8.
const (
	meshPort     = 7400
	frontPort    = 8783
	readyPort    = 8780
	operatorPort = 8785
	adminPort    = 9464
)

// zones are the data centres of the deployment.
var zones = []string{"quito-centro", "cumbaya", "tumbaco", "calderon"}

// process is one nutmegd.
type process struct {
	name, ip, zone string
	control        bool
	settingsFile   string
	started        bool
	cmd            *exec.Cmd
	exited         chan struct{}
}

// fleet is the processes with the stand-ins around them.
type fleet struct {
	dir, binary string
	subnet      int
	list        *list
	controls    []*process
	entries     []*process
	config      map[string]any
	replicas    []*replica // that close ends too
	rec         *record
	mu          sync.Mutex // held while a process is started again
	client      *http.Client
	memoryMB    map[bool]float64 // by control

	restarts atomic.Bool  // processes that end by themselves are started again, as the platform does
	closing  atomic.Bool  // the processes are being ended
	ends     atomic.Int64 // of processes by themselves
}

// newFleet lays out control and entry processes; nothing is started yet.
func newFleet(rec *record, controls, entries int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, binary: "target/nutmegd", subnet: subnet, rec: rec,
		client:   &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		memoryMB: map[bool]float64{true: 280, false: 134},
	}
	if f.list, err = newList(f.ip(1)); err != nil {
		return nil, err
	}
	for i := range controls {
		f.controls = append(f.controls, &process{name: fmt.Sprintf("core-%d", i), ip: f.ip(10 + i), zone: zones[i%len(zones)], control: true})
	}
	for i := range entries {
		f.entries = append(f.entries, &process{name: fmt.Sprintf("edge-%d", i), ip: f.ip(100 + i), zone: zones[i%len(zones)]})
	}
	return f, nil
}

// freeSubnet returns the second byte of loopback addresses at which the ports are free.
func freeSubnet() (int, error) {
	start := os.Getpid() % 150
	for i := range 150 {
		n := 60 + (start+i)%150
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.10:%d", n, meshPort))
		if err != nil {
			continue
		}
		l.Close()
		return n, nil
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", f.subnet, host) }

// writeSettings writes what the platform makes of deploy/entry.json and deploy/control.json
// with the bounds of the small deployments.
func (f *fleet) writeSettings(p *process) error {
	s := settings.Settings{
		Profile: settings.ProfileRoutes, Instance: p.name, DataCentre: p.zone,
		Mesh: fmt.Sprintf("%s:%d", p.ip, meshPort), Admin: fmt.Sprintf("%s:%d", p.ip, adminPort),
	}
	s.Routes = settings.Routes{
		Bootstrap: !p.started, DataCentres: zones, MemoryMB: f.memoryMB[p.control], MaxFiles: 4096, LossesTolerated: (len(f.controls) - 1) / 2,
		Directory: settings.Directory{Address: f.list.address, CallsPerSecond: 42, MaxLagMs: 800},
		Bounds: settings.Bounds{
			ApplyMs: 2000, AcknowledgeMs: 4000, LeaveMs: 3000, OutMs: 5000, StopMs: 8000, CatchUpMs: 4000, ForwardMs: 120,
			RetryRatio: 0.2, RetrySlack: 54, RetryWindowMs: 10000, ColdOverage: 1.5, ColdSlack: 5, ShareWindowMs: 4000,
		},
	}
	for _, c := range f.controls[:min(3, len(f.controls))] {
		s.Routes.Seeds = append(s.Routes.Seeds, fmt.Sprintf("%s:%d", c.ip, operatorPort))
	}
	if p.control {
		s.DataDir, s.Routes.Operators = filepath.Join(f.dir, "data-"+p.name), fmt.Sprintf("%s:%d", p.ip, operatorPort)
		if err := os.MkdirAll(s.DataDir, 0o755); err != nil {
			return err
		}
	} else {
		s.Listen, s.Routes.Ready = p.front(), fmt.Sprintf("%s:%d", p.ip, readyPort)
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	p.settingsFile = filepath.Join(f.dir, p.name+".json")
	return os.WriteFile(p.settingsFile, raw, 0o644)
}

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, frontPort) }

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process) error {
	if err := f.writeSettings(p); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(f.binary)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "NUTMEGROUTER_SETTINGS=" + p.settingsFile}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.started, p.exited = true, make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		f.rec.note("process", p.name, fmt.Sprintf("ended: %v", err))
		close(exited)
		if f.restarts.Load() && !f.closing.Load() {
			f.ends.Add(1)
			f.noteCause(p)
			time.Sleep(restartDelay)
			f.restart(p)
		}
	}(p.cmd, p.exited)
	return nil
}

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// restart starts a process again unless the play is over.
func (f *fleet) restart(p *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closing.Load() {
		if err := f.start(p); err != nil {
			f.rec.note("process", p.name, fmt.Sprintf("not started again: %v", err))
		}
	}
}

// noteCause records why a process has ended, from the end of its output.
func (f *fleet) noteCause(p *process) {
	raw, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
	for _, cause := range []string{"\npanic: ", "\nfatal error: "} {
		at := bytes.LastIndex(raw, []byte(cause))
		if at < 0 {
			continue
		}
		lines := bytes.SplitN(raw[at+1:], []byte{'\n'}, 25)
		for _, l := range lines[:min(len(lines), 24)] {
			if len(l) > 0 && l[0] != '\t' { // not the places in files
				f.rec.note("process", p.name, "said: "+string(l))
			}
		}
		return
	}
}

// running reports whether a process has not ended.
func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// startAll starts all processes, sends the configuration and waits until all entries are ready.
func (f *fleet) startAll() error {
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if err := f.start(p); err != nil {
			return err
		}
	}
	if !waitFor(20*time.Second, f.submit) {
		return fmt.Errorf("no configuration was acknowledged")
	}
	for _, e := range f.entries {
		if !waitFor(20*time.Second, func() bool { return f.ready(e) }) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	return nil
}

// submit sends the configuration to the control processes in turn; it reports whether one acknowledged it.
func (f *fleet) submit() bool {
	raw, err := json.Marshal(f.config)
	if err != nil {
		return false
	}
	for _, c := range f.controls {
		if status, _ := f.operate(c, http.MethodPost, "/config/replace", raw); status == http.StatusOK {
			f.rec.note("operator", c.name, fmt.Sprintf("acknowledged version %v", f.config["version"]))
			return true
		}
	}
	return false
}

// operate makes one call of the operator; status 0 = no answer.
func (f *fleet) operate(c *process, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", c.ip, operatorPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// ready asks an entry as the platform does.
func (f *fleet) ready(e *process) bool {
	resp, err := f.client.Get(fmt.Sprintf("http://%s:%d%s", e.ip, readyPort, standin.PathReady))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder. With KEEP set in the environment the logs stay.
func (f *fleet) close() {
	f.closing.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	all := append(append([]*process{}, f.controls...), f.entries...)
	for _, p := range all {
		if p.running() {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range all {
		if p.exited != nil {
			<-p.exited
		}
	}
	for _, r := range f.replicas {
		r.close()
	}
	f.list.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

func waitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// list is the platform's list of replicas.
type list struct {
	mu      sync.Mutex
	entries map[string]map[string]any
	server  *http.Server
	address string
}

func newList(ip string) (*list, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	out := &list{entries: map[string]map[string]any{}, address: l.Addr().String()}
	out.server = &http.Server{Handler: out}
	go func() { _ = out.server.Serve(l) }()
	return out, nil
}

// set adds or replaces a replica.
func (l *list) set(id, service, address, zone string, slots int, state string, born time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[id] = map[string]any{
		"id": id, "service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "born": born.UnixMilli(), "stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
}

func (l *list) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	all := []any{}
	for _, e := range l.entries {
		all = append(all, e)
	}
	raw, _ := json.Marshal(map[string]any{"instances": all, "next": nil})
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

func (l *list) close() { _ = l.server.Close() }

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// note adds one line: seconds since the start, who, what, detail.
func (r *record) note(who, what, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.4f %s %s %s", time.Since(r.start).Seconds(), who, what, detail))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b bytes.Buffer
	for _, l := range r.lines {
		b.WriteString(l + "\n")
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}

// route returns a route of a configuration.
func route(name, prefix, service, kind string, timeoutMs, objectiveMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": "fleet.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs,
		"target_latency_ms": objectiveMs, "priority": 1, "service": service, "max_attempts": attempts, "public": kind != "streaming",
		"sticky": kind == "streaming", "resumable": resumable, "target_gap_ms": 300,
	}
}

// configuration returns a configuration with the routes and services of a small deployment.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "/draft/", "tiza", "streaming", 15000, 800, 2, true),
			route("chat", "/chat/", "tiza", "streaming", 12000, 400, 1, false),
			route("confirm", "/confirm/", "reservas", "non_idempotent", 1000, 100, 1, false),
			route("check", "/check/", "reservas", "idempotent", 1000, 100, 2, false),
		},
		"services": []any{
			map[string]any{"name": "tiza", "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
				"cold_start_s": 3.0, "cold_per_s": 10.0, "engine": map[string]any{"slots": 64, "kv_capacity": 406682, "kv_token_bytes": 18432,
					"link_mbps": 180000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
					"models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "reservas", "health_check_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false,
				"cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 410000},
		"tenants": []any{
			map[string]any{"name": "hule930", "api_keys": []string{"asnmgkcuyj8pjbvk9m68"}, "priority": 1},
			map[string]any{"name": "puxa403", "api_keys": []string{"k7b2ex5wa5xwyhks8nbk"}, "priority": 1},
		},
	}
}
