package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func exampleTable() *Table {
	return &Table{
		Version:  3,
		Services: map[string]*Service{"a": {Name: "a"}, "b": {Name: "b"}},
		Routes: []Route{
			{Name: "root", Host: "x.example", PathPrefix: "/", Kind: Idempotent, Timeout: time.Second, Split: []WeightedService{{"a", 1}}},
			{Name: "long", Host: "x.example", PathPrefix: "/p/q/", Kind: Streaming, Timeout: time.Second, Split: []WeightedService{{"a", 90}, {"b", 10}}},
			{Name: "short", Host: "x.example", PathPrefix: "/p/", Kind: NonIdempotent, Timeout: time.Second, Split: []WeightedService{{"b", 1}}},
			{Name: "other", Host: "y.example", PathPrefix: "/p/", Kind: Idempotent, Timeout: time.Second, Split: []WeightedService{{"b", 1}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []KeyHash{HashKey("k1"), HashKey("k2")}}, {Name: "v", Keys: []KeyHash{HashKey("k3")}}, {Name: "none"}},
	}
}

// Guards against a route other than the one with the longest matching prefix of the
// host.
func TestResolve(t *testing.T) {
	is := is.New(t)
	x := exampleTable()
	is.NoErr(x.Build())
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/p/q/1", "long"}, {"X.Example:8080", "/p/q/", "long"}, {"x.example", "/p/q", "short"},
		{"x.example", "/p", "root"}, {"x.example", "/P/q/", "root"}, {"y.example", "/p/q/1", "other"},
		{"y.example", "/", ""}, {"z.example", "/p/", ""}, {"", "/p/", ""},
	} {
		got := ""
		if r := x.Resolve(c.host, c.path); r != nil {
			got = r.Name
		}
		is.Equal(got, c.want) // route of the host and path
	}
}

// Guards against an API key that selects no workspace, or the wrong one.
func TestWorkspace(t *testing.T) {
	is := is.New(t)
	x := exampleTable()
	is.NoErr(x.Build())
	is.Equal(x.Workspace("k2").Name, "w")
	is.Equal(x.Workspace("k3").Name, "v")
	is.True(x.Workspace("") == nil)
	is.True(x.Workspace("k") == nil)
}

// Guards against services that get requests out of proportion to their weights.
func TestChoose(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []WeightedService{{"a", 0}, {"b", 3}, {"c", 1}}}
	count := map[string]int{}
	for i := range 400 {
		count[r.Choose(float64(i)/400)]++
	}
	is.Equal(count, map[string]int{"b": 300, "c": 100})
}

// Guards against Build accepting an invalid table or rejecting a valid one.
func TestBuild(t *testing.T) {
	is.New(t).NoErr(exampleTable().Build())
	for name, change := range map[string]func(*Table){
		"no version":           func(x *Table) { x.Version = 0 },
		"unknown service":      func(x *Table) { x.Routes[1].Split[1].Service = "gone" },
		"same host and prefix": func(x *Table) { x.Routes[3].Host = "x.example" },
		"no weight":            func(x *Table) { x.Routes[2].Split[0].Weight = 0 },
		"negative weight":      func(x *Table) { x.Routes[1].Split[1].Weight = -1 },
		"no split":             func(x *Table) { x.Routes[2].Split = nil },
		"no timeout":           func(x *Table) { x.Routes[0].Timeout = 0 },
		"unknown kind":         func(x *Table) { x.Routes[0].Kind = 0 },
		"shared key":           func(x *Table) { x.Workspaces[1].Keys = append(x.Workspaces[1].Keys, HashKey("k1")) },
	} {
		t.Run(name, func(t *testing.T) {
			x := exampleTable()
			change(x)
			is.New(t).True(x.Build() != nil)
		})
	}
	x := exampleTable()
	x.Workspaces[0].Keys = append(x.Workspaces[0].Keys, HashKey("k1")) // a workspace may list a key twice
	is.New(t).NoErr(x.Build())
}
