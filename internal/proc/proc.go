// Package proc starts programs for tests and tools and signals or kills them by
// their process ids.
package proc

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one started program.
type Process struct {
	name    string
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error // exit error; valid once exited is closed
}

// Done returns a channel that is closed when the program has exited.
func (p *Process) Done() <-chan struct{} { return p.exited }

// Start starts the program at binPath and appends its output to a log file, whose
// folder it creates. The operating system kills the program if this process exits
// first. name identifies the program in errors.
func Start(name, binPath, logPath string, args ...string) (*Process, error) {
	if err := os.MkdirAll(filepath.Dir(logPath), 0o755); err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	defer logFile.Close()
	p := &Process{name: name, cmd: exec.Command(binPath, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Running reports whether the program has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the program. It fails if the program has exited.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Running() {
		return errors.Errorf("signal %s: process is not running", p.name)
	}
	return errors.Wrap(p.cmd.Process.Signal(s), "signal "+p.name)
}

// Wait waits until the program has exited. It returns an error if the exit code is
// not 0, a signal ended the program, or it is still running after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(timeout):
		return errors.Errorf("%s is still running after %v", p.name, timeout)
	}
}

// Group is a set of processes by name. Its methods may be called concurrently.
type Group struct {
	mu        sync.Mutex
	processes map[string]*Process
}

// Get returns the process that was last started under a name, running or not, or an
// error if there was none.
func (g *Group) Get(name string) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.processes[name]; p != nil {
		return p, nil
	}
	return nil, errors.Errorf("%s was never started", name)
}

// Start calls start and registers its process under a name. It fails, without calling
// start, if the process of that name is still running.
func (g *Group) Start(name string, start func() (*Process, error)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.processes[name]; p != nil && p.Running() {
		return errors.Errorf("%s is already running", name)
	}
	p, err := start()
	if err != nil {
		return err
	}
	if g.processes == nil {
		g.processes = map[string]*Process{}
	}
	g.processes[name] = p
	return nil
}

// KillAll sends SIGKILL to all processes and waits until they have exited.
func (g *Group) KillAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.processes {
		if p.Running() {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range g.processes {
		<-p.exited
	}
}
