package fleetconfig

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func exampleConfig() *Config {
	return &Config{
		Fleet:       "amman",
		DataCentres: []DataCentre{{Name: "amman-a"}, {Name: "amman-b"}},
		Workspaces:  []Workspace{{Name: "shop", Weight: 1, KeyHashes: []string{strings.Repeat("a", 64)}}},
		Pools:       []Pool{{Name: "matcher", Kind: KindEngine, Model: "m"}, {Name: "counter", Kind: KindService}},
		Targets: []Target{
			{Name: "m1", Pool: "matcher", DataCentre: "amman-a", Address: "127.0.0.1:1", WarmCapacity: 8, ColdCapacity: 2},
			{Name: "c1", Pool: "counter", DataCentre: "amman-b", Address: "127.0.0.1:2", WarmCapacity: 8, ColdCapacity: 2},
		},
		Moves: []Move{{Name: "weekend", DataCentre: "amman-a", OutAt: "2026-12-05T08:00:00Z", BackAt: "2026-12-06T08:00:00Z"}},
	}
}

// Guards against invalid documents that are accepted, and against problems that do
// not name their field.
func TestValidateProblems(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		field  string
	}{
		{"no fleet name", func(c *Config) { c.Fleet = "" }, "fleet"},
		{"bad name", func(c *Config) { c.Workspaces[0].Name = "a b" }, "workspaces[0].name"},
		{"zero weight", func(c *Config) { c.Workspaces[0].Weight = 0 }, "workspaces[0].weight"},
		{"no key", func(c *Config) { c.Workspaces[0].KeyHashes = nil }, "workspaces[0].key_hashes"},
		{"short hash", func(c *Config) { c.Workspaces[0].KeyHashes = []string{"ab"} }, "workspaces[0].key_hashes[0]"},
		{"duplicate key", func(c *Config) {
			w := c.Workspaces[0]
			w.Name = "other"
			c.Workspaces = append(c.Workspaces, w)
		}, "workspaces[1].key_hashes[0]"},
		{"engine without model", func(c *Config) { c.Pools[0].Model = "" }, "pools[0].model"},
		{"service with model", func(c *Config) { c.Pools[1].Model = "m" }, "pools[1].model"},
		{"unknown kind", func(c *Config) { c.Pools[0].Kind = "x" }, "pools[0].kind"},
		{"negative limit", func(c *Config) { c.Pools[0].SilenceLimitMs = -1 }, "pools[0].silence_limit_ms"},
		{"unknown pool", func(c *Config) { c.Targets[0].Pool = "x" }, "targets[0].pool"},
		{"unknown data centre", func(c *Config) { c.Targets[0].DataCentre = "x" }, "targets[0].data_centre"},
		{"host name", func(c *Config) { c.Targets[0].Address = "host:1" }, "targets[0].address"},
		{"duplicate address", func(c *Config) { c.Targets[1].Address = c.Targets[0].Address }, "targets[1].address"},
		{"cold above warm", func(c *Config) { c.Targets[0].ColdCapacity = 9 }, "targets[0].cold_capacity"},
		{"no cold capacity", func(c *Config) { c.Targets[0].ColdCapacity = 0 }, "targets[0].cold_capacity"},
		{"bad time", func(c *Config) { c.Moves[0].OutAt = "Saturday" }, "moves[0].out_at"},
		{"back before out", func(c *Config) { c.Moves[0].BackAt = "2026-12-01T00:00:00Z" }, "moves[0].back_at"},
		{"overlap", func(c *Config) {
			m := c.Moves[0]
			m.Name = "second"
			c.Moves = append(c.Moves, m)
		}, "moves"},
	}
	is.New(t).NoErr(Validate(exampleConfig()))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cfg := exampleConfig()
			c.change(cfg)
			problems, ok := Validate(cfg).(Problems)
			is.True(ok)
			is.Equal(len(problems), 1) // one cause, one problem
			is.Equal(problems[0].Field, c.field)
		})
	}
}

// Guards against a document that changes when it is printed and parsed again.
func TestCanonicalRoundTrip(t *testing.T) {
	is := is.New(t)
	first, err := Canonical(exampleConfig())
	is.NoErr(err)
	cfg, err := Parse(first)
	is.NoErr(err)
	second, err := Canonical(cfg)
	is.NoErr(err)
	is.Equal(string(first), string(second))
	is.Equal(len(Diff(exampleConfig(), cfg)), 0)
}

// Guards against a diff that omits an item or reports it under a wrong name.
func TestDiff(t *testing.T) {
	is := is.New(t)
	to := exampleConfig()
	to.Workspaces[0].Weight = 2
	to.Targets = to.Targets[:1]
	to.DataCentres = append(to.DataCentres, DataCentre{Name: "amman-c"})
	var got []string
	for _, c := range Diff(exampleConfig(), to) {
		got = append(got, c.Op+" "+c.Item)
	}
	is.Equal(got, []string{"add data_centre amman-c", "remove target c1", "change workspace shop"})
}

// Guards against a parser that ignores unknown fields or trailing data.
func TestParseRejectsInvalid(t *testing.T) {
	for _, text := range []string{`{"fleets": "x"}`, `{} {}`, `[`, `null`, ``} {
		_, err := Parse([]byte(text))
		is.New(t).True(err != nil)
	}
}
