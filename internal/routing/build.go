package routing

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a table.
type Problem struct {
	Field string // e.g. routes[3].service
	Text  string
}

// Problems are all errors of a table.
type Problems []Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Field + ": " + p.Text
	}
	return strings.Join(lines, "\n")
}

// Build checks a table and makes it ready for lookups. The error is of type
// Problems. A table with problems must not be used.
func (t *Table) Build() error {
	var ps Problems
	add := func(field, format string, args ...any) {
		ps = append(ps, Problem{field, fmt.Sprintf(format, args...)})
	}
	if t.Version == 0 {
		add("version", "must be above 0")
	}
	t.hosts = map[string][]*Route{}
	places := map[[2]string]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		t.checkRoute(field, r, add)
		place := [2]string{r.Host, r.PathPrefix}
		if other, ok := places[place]; ok {
			add(field, "has the same host and path prefix as route %q", other)
		}
		places[place] = r.Name
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	t.indexKeys(add)
	if len(ps) > 0 {
		return ps
	}
	return nil
}

func (t *Table) checkRoute(field string, r *Route, add func(field, format string, args ...any)) {
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		add(field+".kind", "is unknown")
	}
	if r.Timeout <= 0 {
		add(field+".timeout", "must be above 0")
	}
	total := 0.0
	for _, s := range r.Split {
		if t.Services[s.Service] == nil {
			add(field+".service", "%q is unknown", s.Service)
		}
		if s.Weight < 0 {
			add(field+".weight", "must not be negative")
		}
		total += s.Weight
	}
	if total <= 0 {
		add(field+".weight", "the weights must add up to more than 0")
	}
}

func (t *Table) indexKeys(add func(field, format string, args ...any)) {
	t.keys = map[KeyHash]*Workspace{}
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		for _, k := range w.Keys {
			if other := t.keys[k]; other != nil && other != w {
				add(fmt.Sprintf("workspaces[%d].keys", i), "workspaces %q and %q share a key", other.Name, w.Name)
			}
			t.keys[k] = w
		}
	}
}
