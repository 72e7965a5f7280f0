package fleetconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Canonical returns the document as indented JSON with its lists sorted by name.
// Documents that differ only in the order of these lists, in comments or in
// formatting have the same canonical form. The order of a workspace's key hashes is kept.
func Canonical(cfg *Config) ([]byte, error) {
	c := *cfg
	c.DataCentres = sortedByName(c.DataCentres, func(d DataCentre) string { return d.Name })
	c.Workspaces = sortedByName(c.Workspaces, func(w Workspace) string { return w.Name })
	c.Pools = sortedByName(c.Pools, func(p Pool) string { return p.Name })
	c.Targets = sortedByName(c.Targets, func(t Target) string { return t.Name })
	c.Moves = sortedByName(c.Moves, func(m Move) string { return m.Name })
	out, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return append(out, '\n'), nil
}

func sortedByName[T any](list []T, name func(T) string) []T {
	out := append([]T(nil), list...)
	sort.SliceStable(out, func(i, j int) bool { return name(out[i]) < name(out[j]) })
	return out
}

// Parse decodes a document from JSON with comments and validates it. Unknown fields
// are errors. If the document can be decoded but is invalid, the error is of type
// Problems.
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

// Change is one difference between two documents. From and To are the old and the
// new value of the item in JSON.
type Change struct {
	Op   string `json:"op"`   // add, remove or change
	Item string `json:"item"` // e.g. target matcher-1
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the change as one line in the format of nutmegctl apply -dry-run.
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

// Diff returns the changes from one document to another, sorted by item. A nil
// document is empty.
func Diff(from, to *Config) []Change {
	a, b := flatten(from), flatten(to)
	var out []Change
	for name, old := range a {
		if current, ok := b[name]; !ok {
			out = append(out, Change{Op: "remove", Item: name, From: old})
		} else if current != old {
			out = append(out, Change{Op: "change", Item: name, From: old, To: current})
		}
	}
	for name, current := range b {
		if _, ok := a[name]; !ok {
			out = append(out, Change{Op: "add", Item: name, To: current})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Item < out[j].Item })
	return out
}

// flatten returns the JSON of each item of a document by kind and name.
func flatten(cfg *Config) map[string]string {
	out := map[string]string{}
	if cfg == nil {
		return out
	}
	put := func(kind, name string, v any) {
		raw, _ := json.Marshal(v) // cannot fail for the types of a document
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
