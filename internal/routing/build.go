package routing

import (
	"fmt"
	"math"
	"sort"
	"strings"
)

// Problem is one error in a routing table.
type Problem struct {
	Field string // path of the invalid value, e.g. routes[3].service
	Text  string
}

// Problems is the list of all errors in a routing table.
type Problems []Problem

// Error implements error. The message has one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Field + ": " + p.Text
	}
	return strings.Join(lines, "\n")
}

// Build validates the table and builds its indexes. It must be called before the first
// lookup. The error is of type Problems; after an error the table must not be used.
func (t *Table) Build() error {
	var ps Problems
	addProblem := func(field, format string, args ...any) {
		ps = append(ps, Problem{field, fmt.Sprintf(format, args...)})
	}
	if t.Version == 0 {
		addProblem("version", "must be above 0")
	}
	t.routesByHost = map[string][]*Route{}
	routeNames := map[[2]string]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		t.checkRoute(field, r, addProblem)
		location := [2]string{r.Host, r.PathPrefix}
		if other, ok := routeNames[location]; ok {
			addProblem(field, "has the same host and path prefix as route %q", other)
		}
		routeNames[location] = r.Name
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, list := range t.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	t.indexKeys(addProblem)
	if len(ps) > 0 {
		return ps
	}
	return nil
}

func (t *Table) checkRoute(field string, r *Route, addProblem func(field, format string, args ...any)) {
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		addProblem(field+".kind", "is unknown")
	}
	if r.Timeout <= 0 {
		addProblem(field+".timeout", "must be above 0")
	}
	total := 0.0
	for _, s := range r.Split {
		if t.Services[s.Service] == nil {
			addProblem(field+".service", "%q is unknown", s.Service)
		}
		if s.Weight < 0 {
			addProblem(field+".weight", "must not be negative")
		}
		total += s.Weight
	}
	if total <= 0 || math.IsInf(total, 1) {
		addProblem(field+".weight", "the weights must add up to more than 0 and to a finite number")
	}
}

func (t *Table) indexKeys(addProblem func(field, format string, args ...any)) {
	t.workspacesByKey = map[KeyHash]*Workspace{}
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		for _, k := range w.Keys {
			if other := t.workspacesByKey[k]; other != nil && other != w {
				addProblem(fmt.Sprintf("workspaces[%d].keys", i), "workspaces %q and %q share a key", other.Name, w.Name)
			}
			t.workspacesByKey[k] = w
		}
	}
}
