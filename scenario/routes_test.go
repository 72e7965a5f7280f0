package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/proc"
	"nutmegrouter/internal/settings"
	"nutmegrouter/platform/standin"
)

// routesFleet is a fleet with the profile "routes" of one control and one entry instance, which are real
// processes, and stand-ins of the platform and of one target.
type routesFleet struct {
	t         *testing.T
	dir       string
	directory *standin.Directory
	target    *standin.Target
	processes proc.Group

	controlIP, entryIP                   string
	operators, listen, ready, entryAdmin string // addresses
	memoryMB                             float64
	rollouts                             *settings.Rollouts // nil = no rollouts
}

// routesFleets counts the fleets of this process.
var routesFleets atomic.Int32

// newRoutesFleet starts the stand-ins and no process.
func newRoutesFleet(t *testing.T) *routesFleet {
	is := is.New(t)
	f := &routesFleet{t: t, dir: t.TempDir(), memoryMB: 256}
	n := routesFleets.Add(1)
	f.controlIP, f.entryIP = fmt.Sprintf("127.42.%d.1", n), fmt.Sprintf("127.42.%d.2", n) // instances find each other by address
	f.operators, f.listen, f.ready, f.entryAdmin = f.controlIP+":8002", f.entryIP+":8000", f.entryIP+":8001", f.entryIP+":8003"
	var err error
	f.directory, err = standin.NewDirectory("127.0.0.1")
	is.NoErr(err)
	t.Cleanup(f.directory.Close)
	f.target = &standin.Target{ID: "t1", Service: "s", DataCentre: "dc-1", Slots: 64, RunLog: standin.NewRunLog(), StartedAt: time.Now().Add(-time.Hour)}
	is.NoErr(f.target.Start("127.0.0.1"))
	t.Cleanup(f.target.Close)
	f.directory.Add(f.target)
	t.Cleanup(f.processes.KillAll)
	return f
}

// startControl starts the control instance.
func (f *routesFleet) startControl() {
	s := f.settings("control", f.controlIP)
	s.DataDir, s.Routes.Operators = filepath.Join(f.dir, "data"), f.operators
	is.New(f.t).NoErr(os.MkdirAll(s.DataDir, 0o755))
	f.start(s)
}

// startEntry starts the entry instance.
func (f *routesFleet) startEntry() {
	s := f.settings("entry", f.entryIP)
	s.Listen, s.Routes.Ready = f.listen, f.ready
	f.start(s)
}

// settings returns the settings that both instances have.
func (f *routesFleet) settings(name, ip string) settings.Settings {
	return settings.Settings{
		Profile: settings.ProfileRoutes, Instance: name, DataCentre: "dc-1", Mesh: ip + ":7400", Admin: ip + ":8003",
		Routes: settings.Routes{
			Bootstrap: true, DataCentres: []string{"dc-1"}, MemoryMB: f.memoryMB, MaxFiles: 4096, Seeds: []string{f.operators},
			Rollouts:  f.rollouts,
			Directory: settings.Directory{Address: f.directory.Address(), CallsPerSecond: 40, MaxLagMs: 500},
			Bounds: settings.Bounds{ApplyMs: 2000, AcknowledgeMs: 4000, LeaveMs: 3000, OutMs: 5000, StopMs: 8000, CatchUpMs: 4000,
				ForwardMs: 120, RetryRatio: 0.2, RetrySlack: 54, RetryWindowMs: 10_000, ColdOverage: 1.5, ColdSlack: 5, ShareWindowMs: 4000},
		},
	}
}

func (f *routesFleet) start(s settings.Settings) {
	is := is.New(f.t)
	raw, err := json.Marshal(s)
	is.NoErr(err)
	file := filepath.Join(f.dir, s.Instance+".json")
	is.NoErr(os.WriteFile(file, raw, 0o644))
	is.NoErr(f.processes.Start(s.Instance, func() (*proc.Process, error) {
		return proc.Start(s.Instance, filepath.Join(binDir, "nutmegd"), filepath.Join(f.dir, s.Instance+".log"), "-settings", file)
	}))
}

// configure sends a configuration until it is accepted, and waits until the entry instance is ready.
func (f *routesFleet) configure(c standin.Config) {
	operator := standin.Operator{Client: &http.Client{Timeout: 3 * time.Second}}
	f.waitFor("configuration", func() bool {
		status, err := operator.Replace(context.Background(), f.operators, c.Document())
		return err == nil && status == http.StatusOK
	})
	f.waitFor("readiness", func() bool {
		resp, err := operator.Client.Get("http://" + f.ready + standin.PathReady)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *routesFleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > waitTimeout {
			f.t.Fatal("no " + what)
		}
	}
}
