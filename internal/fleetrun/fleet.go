package fleetrun

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/proc"
)

const (
	standinName  = "standin"
	pollInterval = 50 * time.Millisecond
	probeLimit   = time.Second
)

// errEnded ends a wait early, because a process that ended stays so.
var errEnded = errors.New("process ended")

// Fleet runs the processes of a layout.
type Fleet struct {
	*Layout
	procs proc.Group
}

// New returns a fleet with no process running.
func New(o Options) (*Fleet, error) {
	l, err := Plan(o)
	if err != nil {
		return nil, err
	}
	return &Fleet{Layout: l}, nil
}

// Build compiles the programs into a folder.
func Build(ctx context.Context, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"nutmegrouter/cmd/nutmegd", "nutmegrouter/cmd/nutmegctl", "nutmegrouter/cmd/nutmegstandin")
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build programs: %s", out)
}

// StartStandins starts the stand-ins and waits until they listen.
func (f *Fleet) StartStandins(ctx context.Context) error {
	err := f.procs.Put(standinName, func() (*proc.Process, error) {
		return proc.Launch(standinName, filepath.Join(f.Bin, "nutmegstandin"), f.log(standinName), "-file", f.file("standin.json"))
	})
	if err != nil {
		return err
	}
	last := f.Specs[len(f.Specs)-1].Listen
	return f.poll(ctx, "stand-ins listen", func() error {
		c, err := net.DialTimeout("tcp", last, probeLimit)
		if err == nil {
			err = c.Close()
		}
		return err
	})
}

func (f *Fleet) log(name string) string { return filepath.Join(f.Dir, "logs", name+".log") }

// Start starts routers; no name means all.
func (f *Fleet) Start(names ...string) error {
	for _, name := range f.orAll(names) {
		r, err := f.Router(name)
		if err != nil {
			return err
		}
		err = f.procs.Put(name, func() (*proc.Process, error) {
			return proc.Launch(name, filepath.Join(f.Bin, "nutmegd"), f.log(name), "-settings", r.File)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) orAll(names []string) []string {
	if len(names) > 0 {
		return names
	}
	for _, r := range f.Routers {
		names = append(names, r.Instance)
	}
	return names
}

// Signal sends a signal to a router.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	p, err := f.procs.Get(name)
	if err != nil {
		return err
	}
	return p.Signal(s)
}

// Kill ends a router at once and waits until it is gone.
func (f *Fleet) Kill(name string) error {
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	p, err := f.procs.Get(name)
	if err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Freeze stops a router's process without ending it.
func (f *Fleet) Freeze(name string) error { return f.Signal(name, syscall.SIGSTOP) }

// Thaw lets a frozen router go on.
func (f *Fleet) Thaw(name string) error { return f.Signal(name, syscall.SIGCONT) }

// Stop asks a router for a planned stop and waits for its end with exit code 0.
func (f *Fleet) Stop(name string, limit time.Duration) error {
	if err := f.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	p, err := f.procs.Get(name)
	if err != nil {
		return err
	}
	return errors.Wrap(p.Wait(limit), "stop "+name)
}

// Running reports whether a router's process runs.
func (f *Fleet) Running(name string) bool {
	p, err := f.procs.Get(name)
	return err == nil && p.Running()
}

// Wipe deletes the data folder of a stopped router.
func (f *Fleet) Wipe(name string) error {
	r, err := f.Router(name)
	if err != nil {
		return err
	}
	if f.Running(name) || r.DataDir == "" {
		return errors.Errorf("wipe %s: it runs or has no data folder", name)
	}
	return errors.Wrap(os.RemoveAll(r.DataDir), "wipe")
}

// Close ends all processes.
func (f *Fleet) Close() { f.procs.KillAll() }

// WaitReady waits until the routers are ready for callers; no name means all.
func (f *Fleet) WaitReady(ctx context.Context, names ...string) error {
	client := &http.Client{Timeout: probeLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, name := range f.orAll(names) {
		r, err := f.Router(name)
		if err != nil {
			return err
		}
		err = f.poll(ctx, name+" ready", func() error {
			if !f.Running(name) {
				return errEnded
			}
			return probe(client, "http://"+r.Admin+"/ready")
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func probe(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	var text bytes.Buffer
	_, _ = text.ReadFrom(resp.Body)
	return errors.Errorf("%s: %s", resp.Status, strings.TrimSpace(text.String()))
}

// poll repeats ok until it gives no error or the context ends.
func (f *Fleet) poll(ctx context.Context, what string, ok func() error) error {
	for {
		err := ok()
		if err == nil {
			return nil
		}
		if errors.Is(err, errEnded) {
			return errors.Wrap(err, what)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "not in time: %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// admins returns the operators' addresses of the routers whose processes run.
func (f *Fleet) admins() (out []string) {
	for _, r := range f.Routers {
		if f.Running(r.Instance) {
			out = append(out, r.Admin)
		}
	}
	return out
}

// Ctl runs nutmegctl against the routers whose processes run.
func (f *Fleet) Ctl(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.Bin, "nutmegctl"), append([]string{"-admin", strings.Join(f.admins(), ",")}, args...)...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "nutmegctl %s: %s", strings.Join(args, " "), out)
}

// Up starts the stand-ins and all routers, submits the configuration and waits
// until all routers are ready.
func (f *Fleet) Up(ctx context.Context) error {
	if err := f.StartStandins(ctx); err != nil {
		return err
	}
	if err := f.Start(); err != nil {
		return err
	}
	if err := f.Apply(ctx); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

// Apply submits the layout's configuration and repeats it under one change id
// while the fleet still starts.
func (f *Fleet) Apply(ctx context.Context) error {
	return f.poll(ctx, "configuration accepted", func() error {
		if len(f.admins()) == 0 {
			return errors.Wrap(errEnded, "every router")
		}
		_, err := f.Ctl(ctx, "-change-id", "first-configuration", "apply", f.file("config.json"))
		return err
	})
}
