// Package operator builds the configuration document of a fleet from a Go program
// that operators write. The program prints the document; operators review it and
// submit it with nutmegctl apply.
//
// The document is checked only at the end, by Config or Print, which report all errors
// at once.
//
//	f := operator.New("amman")
//	a := f.DataCentre("amman-a")
//	m := f.Engine("matcher-llm", "matcher-7b", "3")
//	m.Target("matcher-1", a, "10.0.0.1:8000", operator.Capacity{Warm: 8, Cold: 2})
//	f.Workspace("shop-1", 4, operator.HashKey(key))
//	f.Print(os.Stdout)
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
)

// Fleet builds one configuration document. Use New to make one.
type Fleet struct {
	config fleetconfig.Config
}

// DataCentre refers to a data centre of a Fleet.
type DataCentre struct{ name string }

// Pool refers to a pool of a Fleet. Its settings may be changed until Print.
type Pool struct {
	fleet *Fleet
	index int
}

// Capacity is the number of concurrent requests of a target when warm and when cold.
type Capacity struct {
	Warm int
	Cold int
}

// New returns an empty fleet with a name.
func New(name string) *Fleet {
	return &Fleet{config: fleetconfig.Config{Fleet: name}}
}

// HashKey returns the SHA-256 hash of a bearer key in lower-case hexadecimal. The
// configuration stores only the hash, so that the document contains no secret.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// DataCentre adds a data centre.
func (f *Fleet) DataCentre(name string) DataCentre {
	f.config.DataCentres = append(f.config.DataCentres, fleetconfig.DataCentre{Name: name})
	return DataCentre{name}
}

// RegionDataCentre adds a data centre in a region.
func (f *Fleet) RegionDataCentre(region, name string) DataCentre {
	f.config.DataCentres = append(f.config.DataCentres, fleetconfig.DataCentre{Name: name, Region: region})
	return DataCentre{name}
}

// Workspace adds a workspace with its weight in fair sharing (above 0) and the
// hashes of its bearer keys, as returned by HashKey.
func (f *Fleet) Workspace(name string, weight float64, keyHashes ...string) {
	f.config.Workspaces = append(f.config.Workspaces,
		fleetconfig.Workspace{Name: name, Weight: weight, KeyHashes: keyHashes})
}

// Engine adds a pool of model engines that serve a version of a model.
func (f *Fleet) Engine(name, model, version string) *Pool {
	return f.addPool(fleetconfig.Pool{Name: name, Kind: fleetconfig.KindEngine, Model: model, Version: version})
}

// Service adds a pool of plain services.
func (f *Fleet) Service(name string) *Pool {
	return f.addPool(fleetconfig.Pool{Name: name, Kind: fleetconfig.KindService})
}

func (f *Fleet) addPool(p fleetconfig.Pool) *Pool {
	f.config.Pools = append(f.config.Pools, p)
	return &Pool{f, len(f.config.Pools) - 1}
}

// Set calls change on the pool's settings, for example to set its time limits.
func (p *Pool) Set(change func(*fleetconfig.Pool)) *Pool {
	change(&p.fleet.config.Pools[p.index])
	return p
}

// Target adds a target to the pool. The address is IP:port.
func (p *Pool) Target(name string, dc DataCentre, address string, c Capacity) *Pool {
	return p.AddTarget(fleetconfig.Target{
		Name: name, DataCentre: dc.name, Address: address, WarmCapacity: c.Warm, ColdCapacity: c.Cold,
	})
}

// AddTarget adds a target with all its fields. It sets the field Pool.
func (p *Pool) AddTarget(t fleetconfig.Target) *Pool {
	t.Pool = p.fleet.config.Pools[p.index].Name
	p.fleet.config.Targets = append(p.fleet.config.Targets, t)
	return p
}

// Move schedules taking a data centre out of service at one time and bringing it
// back at another. With a zero back time it stays out until an operator brings it
// back.
func (f *Fleet) Move(name string, dc DataCentre, out, back time.Time) {
	m := fleetconfig.Move{Name: name, DataCentre: dc.name, OutAt: out.UTC().Format(time.RFC3339)}
	if !back.IsZero() {
		m.BackAt = back.UTC().Format(time.RFC3339)
	}
	f.config.Moves = append(f.config.Moves, m)
}

// Config validates the document and returns it. The error is of type
// fleetconfig.Problems.
func (f *Fleet) Config() (*fleetconfig.Config, error) {
	if err := fleetconfig.Validate(&f.config); err != nil {
		return nil, err
	}
	return &f.config, nil
}

// Print writes the canonical document. If the document is invalid it writes nothing
// and returns all problems.
func (f *Fleet) Print(w io.Writer) error {
	cfg, err := f.Config()
	if err != nil {
		return err
	}
	text, err := fleetconfig.Canonical(cfg)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return errors.Wrap(err, "print configuration")
}
