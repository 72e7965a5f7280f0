package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{
  // one instance
  "instance": "a1",
  "dataCentre": "amman-a",
  "listen": "127.0.0.1:8080",
  "admin": "127.0.0.1:8081",
  "mesh": "127.0.0.1:8082",
  "peers": [
    {"instance": "a1", "dataCentre": "amman-a", "mesh": "127.0.0.1:8082", "disk": true},
  ],
  "dataDir": "run/a1",
  "limits": {},
}`

// Guards against a parser that rejects a valid file with comments.
func TestParseValid(t *testing.T) {
	is := is.New(t)
	s, err := Parse("good.json", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Instance, "a1")
	is.Equal(s.Peers[0].HasDisk, true)
	is.Equal(s.MaxBodyBytes(), DefaultMaxBodyBytes)
}

// Guards against problems without file, line or field, and against a parser that stops
// at the first problem.
func TestParseProblems(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown field", `"limits": {}`, `"limits": {"maxBody": 1}`, []string{"f.json:12: limits.maxBody: unknown field"}},
		{"wrong type", `"limits": {}`, `"limits": {"events": "x"}`, []string{"f.json:12: limits.events: want int"}},
		{"negative", `"limits": {}`, `"limits": {"events": -1}`, []string{"limits.events: must not be negative"}},
		{"bad address", `"listen": "127.0.0.1:8080"`, `"listen": "localhost"`, []string{"f.json:5: listen: want IP:port"}},
		{"two faults", `"instance": "a1",`, `"instance": "b", "x": 1, "y": 2,`, []string{"x: unknown field", "y: unknown field"}},
		{"not listed", `"instance": "a1",`, `"instance": "b",`, []string{`must list this instance "b"`}},
		{"duplicate field", `"instance": "a1",`, `"instance": "a1", "instance": "a1",`, []string{"instance: given twice"}},
		{"disk mismatch", `"dataDir": "run/a1",`, ``, []string{"dataDir: must be set"}},
		{"syntax", `"peers": [`, `"peers": `, []string{"f.json:"}},
		{"not an object", validSettings, `[]`, []string{"want an object"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("f.json", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			is.True(err != nil) // must be refused
			for _, w := range c.want {
				is.True(strings.Contains(err.Error(), w)) // names file, line and field
			}
		})
	}
}

// Guards against a panic on arbitrary input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"peers":[{}],"limits":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse("f.json", raw)
		if (s == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
	})
}

// Guards against an example file that the daemon rejects.
func TestExampleSettings(t *testing.T) {
	is := is.New(t)
	s, err := Load("../../examples/settings.json")
	is.NoErr(err)
	is.Equal(len(s.Peers), 7)
	is.Equal(len(s.Replicas()), 3)
}
