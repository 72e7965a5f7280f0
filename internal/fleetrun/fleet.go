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
	probeTimeout = time.Second
)

// errProcessExited ends a poll early, because an exited process is not restarted.
var errProcessExited = errors.New("process exited")

// Fleet runs the processes of a layout.
type Fleet struct {
	*Layout
	procs proc.Group
}

// New writes the files of a fleet (see Plan) and returns it with no process running.
func New(o Options) (*Fleet, error) {
	l, err := Plan(o)
	if err != nil {
		return nil, err
	}
	return &Fleet{Layout: l}, nil
}

// Build compiles nutmegd, nutmegctl and nutmegstandin into a folder. The error
// contains the compiler's output.
func Build(ctx context.Context, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"nutmegrouter/cmd/nutmegd", "nutmegrouter/cmd/nutmegctl", "nutmegrouter/cmd/nutmegstandin")
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build programs: %s", out)
}

// StartStandins starts the process of the stand-ins and waits until the last of
// them accepts connections or the context ends.
func (f *Fleet) StartStandins(ctx context.Context) error {
	err := f.procs.Start(standinName, func() (*proc.Process, error) {
		return proc.Start(standinName, filepath.Join(f.Bin, "nutmegstandin"), f.logPath(standinName), "-file", f.filePath("standin.json"))
	})
	if err != nil {
		return err
	}
	lastAddress := f.StandinSpecs[len(f.StandinSpecs)-1].Listen
	return f.poll(ctx, "stand-ins listen", func() error {
		c, err := net.DialTimeout("tcp", lastAddress, probeTimeout)
		if err == nil {
			err = c.Close()
		}
		return err
	})
}

func (f *Fleet) logPath(name string) string { return filepath.Join(f.Dir, "logs", name+".log") }

// Start starts the named instances, or all if there is no name, without waiting for
// them to be ready. It fails if one is unknown or already running.
func (f *Fleet) Start(names ...string) error {
	for _, name := range f.namesOrAll(names) {
		r, err := f.Instance(name)
		if err != nil {
			return err
		}
		err = f.procs.Start(name, func() (*proc.Process, error) {
			return proc.Start(name, filepath.Join(f.Bin, "nutmegd"), f.logPath(name), "-settings", r.File)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// namesOrAll returns the names, or those of all instances if there are none.
func (f *Fleet) namesOrAll(names []string) []string {
	if len(names) > 0 {
		return names
	}
	for _, r := range f.InstanceList {
		names = append(names, r.Instance)
	}
	return names
}

// Signal sends a signal to an instance. It fails if the instance is not running.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	p, err := f.procs.Get(name)
	if err != nil {
		return err
	}
	return p.Signal(s)
}

// Kill sends SIGKILL to an instance and waits until its process has exited.
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

// Suspend suspends the process of an instance with SIGSTOP.
func (f *Fleet) Suspend(name string) error { return f.Signal(name, syscall.SIGSTOP) }

// Resume resumes a suspended instance with SIGCONT.
func (f *Fleet) Resume(name string) error { return f.Signal(name, syscall.SIGCONT) }

// Stop requests a planned stop of an instance with SIGTERM and waits until it has
// exited. Another exit code than 0 and a timeout are errors.
func (f *Fleet) Stop(name string, timeout time.Duration) error {
	if err := f.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	p, err := f.procs.Get(name)
	if err != nil {
		return err
	}
	return errors.Wrap(p.Wait(timeout), "stop "+name)
}

// Running reports whether the process of an instance is running.
func (f *Fleet) Running(name string) bool {
	p, err := f.procs.Get(name)
	return err == nil && p.Running()
}

// DeleteData deletes the data folder of a stopped instance. It fails if the instance is
// running or has no data folder.
func (f *Fleet) DeleteData(name string) error {
	r, err := f.Instance(name)
	if err != nil {
		return err
	}
	if f.Running(name) || r.DataDir == "" {
		return errors.Errorf("wipe %s: the instance is running or has no data folder", name)
	}
	return errors.Wrap(os.RemoveAll(r.DataDir), "wipe")
}

// Close kills all processes of the fleet and waits until they have exited.
func (f *Fleet) Close() { f.procs.KillAll() }

// WaitReady waits until the readiness probes of the named instances, or of all if
// there is no name, succeed. It fails if the context ends or an instance exits.
func (f *Fleet) WaitReady(ctx context.Context, names ...string) error {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, name := range f.namesOrAll(names) {
		r, err := f.Instance(name)
		if err != nil {
			return err
		}
		err = f.poll(ctx, name+" ready", func() error {
			if !f.Running(name) {
				return errProcessExited
			}
			return probe(client, "http://"+r.Admin+"/ready")
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// probe returns an error with the status and the body unless the response is 200.
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

// poll calls check until it returns nil or errProcessExited, or the context ends.
func (f *Fleet) poll(ctx context.Context, what string, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		if errors.Is(err, errProcessExited) {
			return errors.Wrap(err, what)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "condition not reached before the context ended: %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// adminAddresses returns the admin addresses of the running instances.
func (f *Fleet) adminAddresses() (out []string) {
	for _, r := range f.InstanceList {
		if f.Running(r.Instance) {
			out = append(out, r.Admin)
		}
	}
	return out
}

// Ctl runs nutmegctl against the running instances and returns its output, stdout
// and stderr combined. Another exit code than 0 is an error.
func (f *Fleet) Ctl(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.Bin, "nutmegctl"), append([]string{"-admin", strings.Join(f.adminAddresses(), ",")}, args...)...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "nutmegctl %s: %s", strings.Join(args, " "), out)
}

// StartAll starts the stand-ins and all instances, submits the configuration and waits
// until all instances are ready.
func (f *Fleet) StartAll(ctx context.Context) error {
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

// Apply submits the layout's configuration and retries while the fleet is starting,
// until the context ends. All retries use one change id, so that the change is
// applied once.
func (f *Fleet) Apply(ctx context.Context) error {
	return f.poll(ctx, "configuration accepted", func() error {
		if len(f.adminAddresses()) == 0 {
			return errors.Wrap(errProcessExited, "all instances")
		}
		_, err := f.Ctl(ctx, "-change-id", "first-configuration", "apply", f.filePath("config.json"))
		return err
	})
}
