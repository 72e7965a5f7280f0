package fleetconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Canonical returns the document as indented JSON with its lists sorted by
// name. Two documents with the same meaning have the same canonical form.
func Canonical(cfg *Config) ([]byte, error) {
	c := *cfg
	c.DataCentres = sorted(c.DataCentres, func(d DataCentre) string { return d.Name })
	c.Workspaces = sorted(c.Workspaces, func(w Workspace) string { return w.Name })
	c.Pools = sorted(c.Pools, func(p Pool) string { return p.Name })
	c.Targets = sorted(c.Targets, func(t Target) string { return t.Name })
	c.Moves = sorted(c.Moves, func(m Move) string { return m.Name })
	out, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return append(out, '\n'), nil
}

func sorted[T any](list []T, name func(T) string) []T {
	out := append([]T(nil), list...)
	sort.SliceStable(out, func(i, j int) bool { return name(out[i]) < name(out[j]) })
	return out
}

// Parse reads a document from JSON, with comments allowed, and validates it.
// Unknown fields are errors.
func Parse(raw []byte) (*Config, error) {
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	cfg := &Config{}
	if err := dec.Decode(cfg); err != nil {
		return nil, errors.Wrapf(err, "read configuration near byte %d", dec.InputOffset())
	}
	if dec.More() {
		return nil, errors.New("read configuration: more than one document")
	}
	if err := Validate(cfg); err != nil {
		return nil, err
	}
	return cfg, nil
}

// Change is one difference between two documents.
type Change struct {
	Op   string `json:"op"`   // add, remove or change
	Item string `json:"item"` // e.g. target matcher-1
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns one line as shown by nutmegctl apply -dry-run.
func (c Change) String() string {
	switch c.Op {
	case "add":
		return fmt.Sprintf("+ %s %s", c.Item, c.To)
	case "remove":
		return fmt.Sprintf("- %s %s", c.Item, c.From)
	default:
		return fmt.Sprintf("~ %s %s -> %s", c.Item, c.From, c.To)
	}
}

// Diff lists the changes that lead from one document to another, sorted by
// item. Either may be nil.
func Diff(from, to *Config) []Change {
	a, b := items(from), items(to)
	var out []Change
	for name, old := range a {
		if now, ok := b[name]; !ok {
			out = append(out, Change{Op: "remove", Item: name, From: old})
		} else if now != old {
			out = append(out, Change{Op: "change", Item: name, From: old, To: now})
		}
	}
	for name, now := range b {
		if _, ok := a[name]; !ok {
			out = append(out, Change{Op: "add", Item: name, To: now})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Item < out[j].Item })
	return out
}

// items flattens a document into named values.
func items(cfg *Config) map[string]string {
	out := map[string]string{}
	if cfg == nil {
		return out
	}
	put := func(kind, name string, v any) {
		raw, _ := json.Marshal(v) // the types of a document always encode
		out[kind+" "+name] = string(raw)
	}
	put("fleet", "name", cfg.Fleet)
	put("fleet", "weight_loads_per_minute", cfg.WeightLoadsPerMinute)
	for _, d := range cfg.DataCentres {
		put("data_centre", d.Name, d)
	}
	for _, w := range cfg.Workspaces {
		put("workspace", w.Name, w)
	}
	for _, p := range cfg.Pools {
		put("pool", p.Name, p)
	}
	for _, t := range cfg.Targets {
		put("target", t.Name, t)
	}
	for _, m := range cfg.Moves {
		put("move", m.Name, m)
	}
	return out
}
