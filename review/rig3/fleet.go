//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"nutmegrouter/internal/settings"
	"nutmegrouter/platform/standin"
)

var (
	dataCentres = []string{"quito-centro", "cumbaya", "tumbaco", "calderon"}
	keys        = []string{"key-1", "key-2", "key-3", "key-4"}
)

// Limits of the sheet of rayuela-uio.
const (
	entryMemoryMB   = 134
	controlMemoryMB = 280
	entryFiles      = 4100
	controlFiles    = 4096
	controlCount    = 5
	lossesTolerated = 2
)

// Ports of the instances, each on an address of its own.
const (
	meshPort     = 7400
	listenPort   = 8000
	readyPort    = 8001
	operatorPort = 8002
	adminPort    = 9464
)

// startTimeout bounds the start of the fleet.
const startTimeout = 25 * time.Second

// instance is one process of the system.
type instance struct {
	name, ip, dataCentre string
	control, started     bool
	memoryMB             float64
	cmd                  *exec.Cmd
	exited               chan struct{} // closed when cmd has ended
}

func (i *instance) at(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

func (i *instance) running() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(syscall.SIGKILL) // fails only if it has ended
		<-i.exited
	}
}

// fleet is a small deployment: its processes, the platform's list, and the targets.
type fleet struct {
	network   int // second byte of the loopback addresses
	dir       string
	controls  []*instance
	entries   []*instance
	directory *standin.Directory
	operator  standin.Operator
	targets   []*target
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", f.network, host) }

// newFleet lays out a fleet on loopback addresses whose ports are free.
func newFleet(entries int) (*fleet, error) {
	f := &fleet{operator: standin.Operator{Client: &http.Client{Timeout: 1500 * time.Millisecond}}}
	var err error
	if f.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	for f.network = 100 + os.Getpid()%100; !f.portsFree(entries); f.network++ {
		if f.network > 250 {
			return nil, fmt.Errorf("no free loopback ports")
		}
	}
	if f.directory, err = standin.NewDirectory(f.ip(1)); err != nil {
		return nil, err
	}
	for n := range controlCount {
		f.controls = append(f.controls, &instance{name: fmt.Sprintf("core-%d", n), ip: f.ip(10 + n), dataCentre: dataCentres[n%len(dataCentres)], control: true, memoryMB: controlMemoryMB})
	}
	for n := range entries {
		f.entries = append(f.entries, &instance{name: fmt.Sprintf("edge-%d", n), ip: f.ip(100 + n), dataCentre: dataCentres[n%len(dataCentres)], memoryMB: entryMemoryMB})
	}
	return f, nil
}

func (f *fleet) portsFree(entries int) bool {
	for _, host := range []int{10, 10 + controlCount - 1, 100, 100 + entries - 1} {
		for _, port := range []int{meshPort, listenPort, readyPort, operatorPort, adminPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(host), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) instances() []*instance {
	return append(append([]*instance{}, f.controls...), f.entries...)
}

// writeSettings writes the settings file of an instance, as the templates in deploy/ make it.
func (f *fleet) writeSettings(i *instance) (file string, err error) {
	s := settings.Settings{Profile: settings.ProfileRoutes, Instance: i.name, DataCentre: i.dataCentre, Mesh: i.at(meshPort), Admin: i.at(adminPort)}
	s.Routes = settings.Routes{
		Bootstrap: !i.started, DataCentres: dataCentres, MemoryMB: i.memoryMB, MaxFiles: entryFiles, LossesTolerated: lossesTolerated,
		Directory: settings.Directory{Address: f.directory.Address(), CallsPerSecond: 42, MaxLagMs: 800},
		Bounds: settings.Bounds{
			ApplyMs: 2000, AcknowledgeMs: 4000, LeaveMs: 3000, OutMs: 5000, StopMs: 8000, CatchUpMs: 4000, ForwardMs: 120,
			RetryRatio: 0.2, RetrySlack: 54, RetryWindowMs: 10000, ColdOverage: 1.5, ColdSlack: 5, ShareWindowMs: 4000,
		},
	}
	for _, seed := range f.controls[:3] {
		s.Routes.Seeds = append(s.Routes.Seeds, seed.at(operatorPort))
	}
	if i.control {
		s.DataDir, s.Routes.Operators, s.Routes.MaxFiles = filepath.Join(f.dir, "data", i.name), i.at(operatorPort), controlFiles
		if err := os.MkdirAll(s.DataDir, 0o755); err != nil {
			return "", err
		}
	} else {
		s.Listen, s.Routes.Ready = i.at(listenPort), i.at(readyPort)
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	file = filepath.Join(f.dir, i.name+".json")
	return file, os.WriteFile(file, raw, 0o644)
}

// start starts the process of an instance with the command of the deploy file.
func (f *fleet) start(i *instance) error {
	file, err := f.writeSettings(i)
	if err != nil {
		return err
	}
	i.started = true
	logFile, err := os.OpenFile(filepath.Join(f.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	i.cmd, i.exited = exec.Command("target/nutmegd"), make(chan struct{})
	i.cmd.Env = append(os.Environ(), "NUTMEGROUTER_SETTINGS="+file)
	i.cmd.Stdout, i.cmd.Stderr = logFile, logFile
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // how it ended stands in its log
		close(exited)
	}(i.cmd, i.exited)
	return nil
}

// startAll starts all processes, sends the configuration and waits until all entry instances are ready.
func (f *fleet) startAll(document []byte) error {
	for _, i := range f.instances() {
		if err := f.start(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for sent := false; !sent; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("the first configuration was not accepted")
		}
		status, err := f.operator.Replace(context.Background(), f.controls[0].at(operatorPort), document)
		sent = err == nil && status == http.StatusOK
	}
	for _, i := range f.entries {
		for !f.ready(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) ready(i *instance) bool {
	resp, err := f.operator.Client.Get("http://" + i.at(readyPort) + standin.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins and removes the folder.
func (f *fleet) close() {
	for _, i := range f.instances() {
		i.kill()
	}
	for _, t := range f.targets {
		t.close()
	}
	f.directory.Close()
	_ = os.RemoveAll(f.dir)
}

// residentMB returns the resident memory of the process in MB of 2^20 bytes.
func (i *instance) residentMB() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(raw) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "VmRSS:" {
			kb, _ := strconv.Atoi(string(fields[1])) // the kernel's own figure
			return float64(kb) / 1024
		}
	}
	return 0
}

// record is the record.txt of a case.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, format, args...)
	fmt.Printf(format, args...)
}
