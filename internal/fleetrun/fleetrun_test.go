package fleetrun

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/proc"
	"nutmegrouter/internal/settings"
	"nutmegrouter/internal/standin"
)

// Guards against settings and stand-in files that the programs would refuse, and
// against peers that are addressed directly instead of through their link.
func TestPlanWritesValidFiles(t *testing.T) {
	is := is.New(t)
	links := 0
	l, err := Plan(Options{Dir: t.TempDir(), Link: func(from, to, target string) (string, error) {
		links++
		return fmt.Sprintf("127.0.0.2:%d", links), nil
	}})
	is.NoErr(err)
	is.Equal(links, 42)
	meshAddresses := map[string]bool{}
	for _, r := range l.InstanceList {
		meshAddresses[r.Mesh] = true
	}
	for _, r := range l.InstanceList {
		s, err := settings.Load(r.File)
		is.NoErr(err)
		is.Equal(len(s.Replicas()), 3)
		for _, p := range s.Peers {
			is.Equal(meshAddresses[p.Mesh], p.Instance == s.Instance) // peers are reached through links
		}
	}
	specs, err := standin.LoadFile(l.filePath("standin.json"))
	is.NoErr(err)
	is.Equal(len(specs), 14)
	is.Equal(len(l.TargetAddresses(EnginePool, "dc-a")), 2)
	is.Equal(len(l.TargetAddresses("", "")), 12)
}

// Guards against a process that is reported as running after it exited, a second
// process with the name of a running one, and signals that do not reach it.
func TestProcess(t *testing.T) {
	is := is.New(t)
	var g proc.Group
	start := func() (*proc.Process, error) { return proc.Start("p", "/bin/sleep", t.TempDir()+"/log", "60") }
	is.NoErr(g.Start("p", start))
	is.True(g.Start("p", start) != nil) // it is already running
	p, err := g.Get("p")
	is.NoErr(err)
	is.NoErr(p.Signal(syscall.SIGTERM))
	is.True(p.Wait(10*time.Second) != nil) // exited by a signal, not with code 0
	is.True(!p.Running())
	is.True(p.Signal(syscall.SIGTERM) != nil)
	is.NoErr(g.Start("p", start))
	g.KillAll()
}

// Guards against a poll that goes on after its context has ended.
func TestPollEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	f := &Fleet{}
	is.True(f.poll(ctx, "x", func() error { return syscall.EAGAIN }) != nil)
}

// Guards against control traffic summed over lines of other metrics.
func TestSumByMethod(t *testing.T) {
	is := is.New(t)
	text := "a{peer=\"1\",method=\"x\"} 2\na{peer=\"2\",method=\"x\"} 3.5\na{peer=\"2\",method=\"y\"} 1\nab{method=\"x\"} 100\n# a{ 7\n"
	is.Equal(sumByMethod(text, "a{"), Traffic{"x": 5.5, "y": 1})
	is.Equal(sumByMethod(text, "a{").Total(), 6.5)
}
