package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. They are the same on all machines, as on the platform; each machine
// has a loopback address of its own.
const (
	frontPort   = 8783
	readyPort   = 8780
	controlPort = 8785
	meshPort    = 7400
	// innerMeshPort is where a control process listens behind a meshProxy.
	innerMeshPort = 7415
	metricsPort   = 9464
	platformPort  = 8781
	serverPort    = 8443
)

// Bounds of the deployment: those of site tapfinder-amman.
const (
	drainTime      = 3 * time.Second
	configApply    = 2 * time.Second
	evacuationTime = 5 * time.Second
	outerTime      = 5 * time.Second
	recoveryTime   = 12 * time.Second
	listLag        = 800 * time.Millisecond
)

// node is a machine that runs one role of the deploy file.
type node struct {
	name, zone, ip string
	control        bool
	settings       string // path of the settings file
	logPath        string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// deployment is a set of machines and the stand-ins around them.
type deployment struct {
	repo, dir string
	net       string // first three bytes of all addresses
	zones     []string
	entries   []*node
	controls  []*node
	proxied   bool // control processes are reached through a meshProxy
	proxy     *meshProxy
	platform  *platform
	rec       *record
	nextIP    int
	stopping  bool
}

// newDeployment reserves a loopback network whose ports are free.
func newDeployment(rec *record, zones []string) (*deployment, error) {
	repo, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(repo, "deploy/system.toml")); err != nil {
		return nil, fmt.Errorf("start in the root of the repository: %w", err)
	}
	if _, err := os.Stat(filepath.Join(repo, "target/nutmegd")); err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "nutmeg-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{repo: repo, dir: dir, zones: zones, rec: rec, nextIP: 10}
	for try := 0; try < 50; try++ {
		d.net = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try*7)%200, 1+(os.Getpid()/200+try)%250)
		if d.free() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no loopback network with free ports")
}

// free reports whether the ports can be bound on the first addresses of the network.
func (d *deployment) free() bool {
	for i := 10; i < 40; i++ {
		for _, port := range []int{frontPort, readyPort, controlPort, meshPort, innerMeshPort, metricsPort, platformPort, serverPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.net, i, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (d *deployment) newIP() string {
	d.nextIP++
	return fmt.Sprintf("%s.%d", d.net, d.nextIP-1)
}

// addMachines adds entry and control machines, one zone after the other.
func (d *deployment) addMachines(entries, controls int) {
	for i := range entries {
		z := d.zones[i%len(d.zones)]
		d.entries = append(d.entries, &node{name: fmt.Sprintf("edge-%s-%d", z, 1+i/len(d.zones)), zone: z, ip: d.newIP()})
	}
	for i := range controls {
		z := d.zones[i%len(d.zones)]
		d.controls = append(d.controls, &node{name: fmt.Sprintf("core-%s-%d", z, 1+i/len(d.zones)), zone: z, ip: d.newIP(), control: true})
	}
}

// fields are the platform's fields from which the templates are filled in.
func (d *deployment) fields(n *node, bootstrap bool) map[string]any {
	var seeds []any
	for _, c := range d.controls[:min(3, len(d.controls))] {
		seeds = append(seeds, c.address(controlPort))
	}
	zones := map[string]any{}
	for _, z := range d.zones {
		zones[z] = "region-1"
	}
	f := map[string]any{
		"node_name": n.name, "ip": n.ip, "zone": n.zone, "internal_ports": []any{meshPort, meshPort + 15},
		"seeds": seeds, "bootstrap": bootstrap, "zones": zones,
		"bounds": map[string]any{
			"connectivity_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
			"config_apply_ms": 2000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54,
			"cold_overage": 1.5, "cold_slack": 5, "evacuation_ms": 5000, "pass_ms": 120, "quota_window_s": 4,
		},
		"cloud":           map[string]any{"address": d.platform.address, "rate_per_s": 42.0, "max_lag_ms": listLag.Milliseconds()},
		"fault_tolerance": map[string]any{"machines": min(2, (len(d.controls)-1)/2)},
	}
	if n.control {
		f["listen"] = map[string]any{"control": n.address(controlPort)}
		f["data_dir"] = filepath.Join(d.dir, n.name+".data")
		f["limits"] = map[string]any{"memory_mb": 280, "max_fds": 4096}
	} else {
		f["listen"] = map[string]any{"front": n.address(frontPort), "ready": n.address(readyPort)}
		f["limits"] = map[string]any{"memory_mb": 284, "max_fds": 4100}
	}
	return f
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/(\w+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template, as far as the templates of this repository use the format.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(m string) string {
		p := section.FindStringSubmatch(m)
		table, _ := fields[p[1]].(map[string]any)
		var out []string
		for key := range table {
			out = append(out, strings.NewReplacer("{{@}}", key, "{{,}}", "").Replace(p[2]))
		}
		return strings.Join(out, ",")
	})
	return placeholder.ReplaceAllStringFunc(text, func(m string) string {
		p := placeholder.FindStringSubmatch(m)
		var v any = fields
		for _, part := range strings.Split(p[1], ".") {
			switch t := v.(type) {
			case map[string]any:
				v = t[part]
			case []any:
				v = t[0]
			}
		}
		if p[2] == "" {
			return fmt.Sprint(v)
		}
		raw, _ := json.Marshal(v) // plain values
		return string(raw)
	})
}

// writeSettings renders the settings file of a machine.
func (d *deployment) writeSettings(n *node, bootstrap bool) error {
	name := "entry.json"
	if n.control {
		name = "control.json"
	}
	raw, err := os.ReadFile(filepath.Join(d.repo, "deploy", name))
	if err != nil {
		return err
	}
	text := render(string(raw), d.fields(n, bootstrap))
	if n.control && d.proxied {
		text = strings.Replace(text, `"admin":`, fmt.Sprintf("\"meshListen\": %q,\n  \"admin\":", n.address(innerMeshPort)), 1)
	}
	n.settings = filepath.Join(d.dir, n.name+".json")
	n.logPath = filepath.Join(d.dir, n.name+".log")
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start writes the settings of all machines and starts their processes.
func (d *deployment) start() error {
	if d.proxied {
		d.proxy = &meshProxy{d: d, rec: d.rec}
		for _, c := range d.controls {
			if err := d.proxy.listen(c); err != nil {
				return err
			}
		}
	}
	for _, n := range d.machines() {
		if err := d.writeSettings(n, true); err != nil {
			return err
		}
		if n.control {
			if err := os.MkdirAll(filepath.Join(d.dir, n.name+".data"), 0o700); err != nil {
				return err
			}
		}
	}
	for _, n := range d.machines() {
		if err := d.run(n); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) machines() []*node {
	return append(append([]*node{}, d.entries...), d.controls...)
}

// run starts the process of a machine with the command of the deploy file.
func (d *deployment) run(n *node) error {
	logFile, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/nutmegd")
	cmd.Dir = d.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "NUTMEGROUTER_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	logFile.Close()
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	d.rec.printf("start %s (%s, %s)", n.name, n.zone, n.ip)
	return nil
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		d.rec.printf("signal %s to %s", s, n.name)
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends a process with SIGKILL and waits for it.
func (d *deployment) kill(n *node) {
	d.signal(n, syscall.SIGKILL)
	n.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) stop() {
	if d.stopping {
		return
	}
	d.stopping = true
	for _, n := range d.machines() {
		n.mu.Lock()
		cmd := n.cmd
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// leader returns the control machine that leads, from the newest log lines of the others.
func (d *deployment) leader() *node {
	var newest time.Time
	var name string
	for _, c := range d.controls {
		raw, _ := os.ReadFile(c.logPath)
		for _, line := range strings.Split(string(raw), "\n") {
			if !strings.Contains(line, "control replica status changed") {
				continue
			}
			var l struct {
				Time   time.Time `json:"time"`
				Leader string    `json:"leader"`
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Leader != "" && l.Time.After(newest) {
				newest, name = l.Time, l.Leader
			}
		}
	}
	for _, c := range d.controls {
		if c.address(meshPort) == name {
			return c
		}
	}
	return nil
}

// awaitReady waits until all entry machines are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range d.entries {
		for !ready(e) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", e.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
