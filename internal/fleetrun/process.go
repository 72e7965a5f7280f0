package fleetrun

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is one started program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of Wait; valid once done is closed
}

// launch starts a program with its output appended to a log file. The kernel
// kills it if this process dies first.
func launch(name, bin, log string, args ...string) (*process, error) {
	if err := os.MkdirAll(filepath.Dir(log), 0o755); err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	defer out.Close()
	p := &process{name: name, cmd: exec.Command(bin, args...), done: make(chan struct{})}
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

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return errors.Errorf("signal %s: it is not running", p.name)
	}
	return errors.Wrap(p.cmd.Process.Signal(s), "signal "+p.name)
}

// wait returns how the process ended.
func (p *process) wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return errors.Errorf("%s still runs after %v", p.name, limit)
	}
}

// group holds the processes of a fleet by name.
type group struct {
	mu   sync.Mutex
	list map[string]*process
}

func (g *group) get(name string) (*process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.list[name]; p != nil {
		return p, nil
	}
	return nil, errors.Errorf("%s was never started", name)
}

// put registers a process unless one of the name still runs.
func (g *group) put(name string, start func() (*process, error)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.list[name]; p != nil && p.running() {
		return errors.Errorf("%s already runs", name)
	}
	p, err := start()
	if err != nil {
		return err
	}
	if g.list == nil {
		g.list = map[string]*process{}
	}
	g.list[name] = p
	return nil
}

// killAll ends all processes and waits for them.
func (g *group) killAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.list {
		if p.running() {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range g.list {
		<-p.done
	}
}
