// Package proc starts programs for tests and tools and ends them by their own ids.
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
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of the program; valid once done is closed
}

// Done is closed when the program has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Launch starts a program with its output appended to a log file. The kernel
// kills it if this process dies first.
func Launch(name, bin, log string, args ...string) (*Process, error) {
	if err := os.MkdirAll(filepath.Dir(log), 0o755); err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	defer out.Close()
	p := &Process{name: name, cmd: exec.Command(bin, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Running reports whether the program has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Running() {
		return errors.Errorf("signal %s: it is not running", p.name)
	}
	return errors.Wrap(p.cmd.Process.Signal(s), "signal "+p.name)
}

// Wait returns how the process ended.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return errors.Errorf("%s still runs after %v", p.name, limit)
	}
}

// Group holds the processes of a fleet by name.
type Group struct {
	mu   sync.Mutex
	list map[string]*Process
}

// Get returns the process with a name.
func (g *Group) Get(name string) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.list[name]; p != nil {
		return p, nil
	}
	return nil, errors.Errorf("%s was never started", name)
}

// Put registers a process unless one of the name still runs.
func (g *Group) Put(name string, start func() (*Process, error)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.list[name]; p != nil && p.Running() {
		return errors.Errorf("%s already runs", name)
	}
	p, err := start()
	if err != nil {
		return err
	}
	if g.list == nil {
		g.list = map[string]*Process{}
	}
	g.list[name] = p
	return nil
}

// KillAll ends all processes and waits for them.
func (g *Group) KillAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.list {
		if p.Running() {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range g.list {
		<-p.done
	}
}
