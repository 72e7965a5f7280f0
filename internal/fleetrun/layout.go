package fleetrun

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/settings"
	"nutmegrouter/internal/standin"
)

// Names of the pools, the model and its version in every generated fleet.
const (
	EnginePool  = "matcher"
	ServicePool = "counter"
	Model       = "matcher-1"
	Version     = "v1"
)

// Options describe a fleet. Zero values select the defaults.
type Options struct {
	// Dir is the folder for settings, configuration, logs and data folders.
	Dir string
	// Bin is the folder of the programs (see Build).
	Bin string
	// DataCentres default to dc-a to dc-d.
	DataCentres []string
	// Instances, Replicas (instances with a data folder), Engines, Services and
	// Workspaces are counts; 0 = 7, 3, 8, 4 and 16. Instances and targets are
	// assigned to the data centres round robin.
	Instances, Replicas, Engines, Services, Workspaces int
	// Link returns the address of a relay through which instance from reaches
	// target, the mesh address of instance to; nil = instances connect directly.
	Link func(from, to, target string) (string, error)
	// Engine and Service are the templates of the stand-ins of the two pools.
	Engine, Service standin.Spec
	// Pool, if set, is called for each pool before the configuration is written and
	// may change it.
	Pool func(*fleetconfig.Pool)
	// Limits are written to the settings files of all instances.
	Limits settings.Limits
}

// Instance is one instance of the fleet, with its settings.
type Instance struct {
	settings.Settings
	File string // path of the settings file
}

// Workspace is one tenant with its bearer key and its configured weight.
type Workspace struct {
	Name, Key string
	Weight    float64
}

// Layout holds the addresses, settings, stand-ins and configuration of a fleet.
type Layout struct {
	Options
	InstanceList []Instance
	StandinSpecs []standin.Spec // targets, then the platform's instance list and the weight store
	Config       *fleetconfig.Config
	Workspaces   []Workspace
	Platform     string // address of the platform's instance list
	Weights      string // address of the weight store
}

// Plan assigns the addresses of a fleet and writes its settings, stand-in and
// configuration files. It fails if too few ports are free or the configuration is
// invalid.
func Plan(o Options) (*Layout, error) {
	l := &Layout{Options: o.withDefaults()}
	steps := []func() error{l.planTargets, l.planInstances, l.planConfig, l.write}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.WithMessage(err, "lay out fleet")
		}
	}
	return l, nil
}

func (o Options) withDefaults() Options {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"dc-a", "dc-b", "dc-c", "dc-d"}
	}
	for _, d := range []struct {
		field        *int
		defaultValue int
	}{{&o.Instances, 7}, {&o.Replicas, 3}, {&o.Engines, 8}, {&o.Services, 4}, {&o.Workspaces, 16},
		{&o.Engine.WarmCapacity, 8}, {&o.Engine.ColdCapacity, 2}, {&o.Service.WarmCapacity, 16}, {&o.Service.ColdCapacity, 4}} {
		if *d.field == 0 {
			*d.field = d.defaultValue
		}
	}
	return o
}

// dataCentreAt returns the data centre of the i-th instance or target of a kind.
func (o Options) dataCentreAt(i int) string { return o.DataCentres[i%len(o.DataCentres)] }

func (l *Layout) planTargets() error {
	ports, err := freePorts(l.Engines + l.Services + 2)
	if err != nil {
		return err
	}
	add := func(s standin.Spec, kind standin.Kind, name string) string {
		s.Kind, s.Name, s.Listen = kind, name, address(ports[len(l.StandinSpecs)])
		l.StandinSpecs = append(l.StandinSpecs, s)
		return s.Listen
	}
	for i := range l.Engines {
		add(l.Engine, standin.KindEngine, fmt.Sprintf("engine-%02d", i+1))
	}
	for i := range l.Services {
		add(l.Service, standin.KindService, fmt.Sprintf("service-%02d", i+1))
	}
	var listed []standin.Instance
	for _, s := range l.StandinSpecs {
		listed = append(listed, standin.Instance{Name: s.Name, Address: s.Listen, State: "live"})
	}
	l.Platform = add(standin.Spec{Instances: listed, ReportLagMs: 200}, standin.KindPlatform, "platform")
	l.Weights = add(standin.Spec{}, standin.KindWeights, "weights")
	return nil
}

func (l *Layout) planInstances() error {
	ports, err := freePorts(3 * l.Instances)
	if err != nil {
		return err
	}
	for i := range l.Instances {
		s := settings.Settings{Instance: fmt.Sprintf("r%d", i+1), DataCentre: l.dataCentreAt(i), Limits: l.Limits,
			Listen: address(ports[3*i]), Admin: address(ports[3*i+1]), Mesh: address(ports[3*i+2]),
			PlatformList: "http://" + l.Platform + "/instances", WeightStore: "http://" + l.Weights}
		if i < l.Replicas {
			s.DataDir = filepath.Join(l.Dir, "data", s.Instance)
		}
		l.InstanceList = append(l.InstanceList, Instance{Settings: s, File: filepath.Join(l.Dir, s.Instance+".json")})
	}
	for i := range l.InstanceList {
		if l.InstanceList[i].Peers, err = l.peersOf(l.InstanceList[i].Instance); err != nil {
			return err
		}
	}
	return nil
}

// peersOf returns all instances, with the mesh addresses at which the named one
// reaches them.
func (l *Layout) peersOf(name string) ([]settings.Peer, error) {
	var out []settings.Peer
	for _, r := range l.InstanceList {
		p := settings.Peer{Instance: r.Instance, DataCentre: r.DataCentre, Mesh: r.Mesh, HasDisk: r.DataDir != ""}
		if l.Link != nil && r.Instance != name {
			var err error
			if p.Mesh, err = l.Link(name, r.Instance, r.Mesh); err != nil {
				return nil, err
			}
		}
		out = append(out, p)
	}
	return out, nil
}

func (l *Layout) planConfig() error {
	c := &fleetconfig.Config{Fleet: "loopback"}
	for _, dc := range l.DataCentres {
		c.DataCentres = append(c.DataCentres, fleetconfig.DataCentre{Name: dc})
	}
	for i := range l.Options.Workspaces {
		w := Workspace{Name: fmt.Sprintf("ws-%02d", i+1), Key: fmt.Sprintf("key-of-workspace-%02d", i+1), Weight: 1}
		sum := sha256.Sum256([]byte(w.Key))
		c.Workspaces = append(c.Workspaces, fleetconfig.Workspace{Name: w.Name, Weight: w.Weight, KeyHashes: []string{hex.EncodeToString(sum[:])}})
		l.Workspaces = append(l.Workspaces, w)
	}
	c.Pools = []fleetconfig.Pool{
		{Name: EnginePool, Kind: fleetconfig.KindEngine, Model: Model, Version: Version},
		{Name: ServicePool, Kind: fleetconfig.KindService},
	}
	for i := range c.Pools {
		if l.Pool != nil {
			l.Pool(&c.Pools[i])
		}
	}
	l.addTargets(c)
	l.Config = c
	return fleetconfig.Validate(c)
}

func (l *Layout) addTargets(c *fleetconfig.Config) {
	countByKind := map[standin.Kind]int{}
	for _, s := range l.StandinSpecs {
		t := fleetconfig.Target{Name: s.Name, Address: s.Listen, DataCentre: l.dataCentreAt(countByKind[s.Kind]),
			WarmCapacity: s.WarmCapacity, ColdCapacity: s.ColdCapacity, ChecksFence: s.ChecksFencingToken}
		switch s.Kind {
		case standin.KindEngine:
			t.Pool = EnginePool
		case standin.KindService:
			t.Pool = ServicePool
		default:
			continue
		}
		countByKind[s.Kind]++
		c.Targets = append(c.Targets, t)
	}
}

func (l *Layout) write() error {
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return errors.Wrap(err, "write fleet files")
	}
	files := map[string]any{l.filePath("config.json"): l.Config, l.filePath("standin.json"): standin.File{Targets: l.StandinSpecs}}
	for _, r := range l.InstanceList {
		files[r.File] = r.Settings
	}
	for name, v := range files {
		raw, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return errors.Wrap(err, "write fleet files")
		}
		if err := os.WriteFile(name, raw, 0o644); err != nil {
			return errors.Wrap(err, "write fleet files")
		}
	}
	return nil
}

func (l *Layout) filePath(name string) string { return filepath.Join(l.Dir, name) }

// Instance returns the instance with a name, or an error if there is none.
func (l *Layout) Instance(name string) (*Instance, error) {
	for i := range l.InstanceList {
		if l.InstanceList[i].Instance == name {
			return &l.InstanceList[i], nil
		}
	}
	return nil, errors.Errorf("no instance %q", name)
}

// Target returns the stand-in with a name, or an error if there is none.
func (l *Layout) Target(name string) (standin.Spec, error) {
	for _, s := range l.StandinSpecs {
		if s.Name == name {
			return s, nil
		}
	}
	return standin.Spec{}, errors.Errorf("no stand-in %q", name)
}

// TargetAddresses returns the addresses of the targets of a pool in a data centre;
// "" means all pools or all data centres.
func (l *Layout) TargetAddresses(pool, dc string) []string {
	var out []string
	for _, t := range l.Config.Targets {
		if (pool == "" || t.Pool == pool) && (dc == "" || t.DataCentre == dc) {
			out = append(out, t.Address)
		}
	}
	return out
}

// Entries returns the caller-facing addresses and the readiness URLs of all
// instances, in the same order.
func (l *Layout) Entries() (entries, ready []string) {
	for _, r := range l.InstanceList {
		entries = append(entries, r.Listen)
		ready = append(ready, "http://"+r.Admin+"/ready")
	}
	return entries, ready
}
