package standin

import (
	"sync"
	"time"
)

// Stats is the answer of GET /stats.
type Stats struct {
	Name         string `json:"name"`
	Kind         Kind   `json:"kind"`
	State        string `json:"state"`
	Boot         uint64 `json:"boot"`
	Running      int    `json:"running"`
	WarmCapacity int    `json:"warm_capacity"`
	ColdCapacity int    `json:"cold_capacity"`
	Counters
	BreachList []Breach `json:"breach_list,omitempty"`
	// StartsMs are the wall times of the newest starts of new work, oldest first;
	// resumed streams are not among them.
	StartsMs []int64 `json:"starts_ms,omitempty"`
	// Weights counts the downloads of a weight store.
	Weights *WeightStats `json:"weights,omitempty"`
	// Shown tells when a platform's list showed its changes.
	Shown []ShownChange `json:"shown,omitempty"`
}

func (t *target) stats(withStarts bool) Stats {
	now := time.Now()
	r := t.gate.report(now)
	g := t.gate
	g.mu.Lock()
	s := Stats{
		Name: t.spec.Name, Kind: t.spec.Kind, State: r.State, Boot: r.Boot, Running: r.Running,
		WarmCapacity: t.spec.WarmCapacity, ColdCapacity: t.spec.ColdCapacity,
		Counters: g.count, BreachList: append([]Breach(nil), g.breaches...),
	}
	if withStarts {
		s.StartsMs = append(append([]int64(nil), g.starts[g.startAt:]...), g.starts[:g.startAt]...)
	}
	g.mu.Unlock()
	if t.weights != nil {
		w := t.weights.stats()
		s.Weights = &w
	}
	if t.platform != nil {
		s.Shown = t.platform.shown(now)
	}
	return s
}

// runs counts the starts of work by name, so that doubled and lost runs show.
type runs struct {
	mu      sync.Mutex
	tables  map[string]map[string]int
	dropped uint64
}

// RunTable is the answer of GET /runs?by=tag|request|key.
type RunTable struct {
	Runs map[string]int `json:"runs"`
	// Dropped counts names that the bounded table could not take.
	Dropped uint64 `json:"dropped"`
}

func newRuns() *runs {
	return &runs{tables: map[string]map[string]int{"tag": {}, "request": {}, "key": {}}}
}

func (r *runs) add(tag, request, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count("tag", tag)
	r.count("request", request)
	r.count("key", key)
}

func (r *runs) count(table, name string) {
	if name == "" {
		return
	}
	t := r.tables[table]
	if _, ok := t[name]; !ok && len(t) >= maxRuns {
		r.dropped++
		return
	}
	t[name]++
}

// table returns a copy; by "" means the tags.
func (r *runs) table(by string) RunTable {
	if by == "" {
		by = "tag"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := RunTable{Runs: make(map[string]int, len(r.tables[by])), Dropped: r.dropped}
	for k, n := range r.tables[by] {
		out.Runs[k] = n
	}
	return out
}
