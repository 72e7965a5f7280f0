package standin

import (
	"sync"
	"time"
)

// Stats is the response to GET /stats.
type Stats struct {
	Name         string `json:"name"`
	Kind         Kind   `json:"kind"`
	State        string `json:"state"`
	Boot         uint64 `json:"boot"`
	Running      int    `json:"running"`
	WarmCapacity int    `json:"warm_capacity"`
	ColdCapacity int    `json:"cold_capacity"`
	Counters
	// BreachList holds the details of the first breaches.
	BreachList []Breach `json:"breach_list,omitempty"`
	// StartsMs are the wall times, in Unix ms, at which the newest requests
	// started, in the order of their start. Resumed streams are left out.
	StartsMs []int64 `json:"starts_ms,omitempty"`
	// Weights counts the downloads of a weight store.
	Weights *WeightStats `json:"weights,omitempty"`
	// ListedChanges lists the state changes that a platform's list shows by now.
	ListedChanges []ListedChange `json:"shown,omitempty"`
}

// stats returns a snapshot of the counters, with StartsMs only on request.
func (t *target) stats(withStarts bool) Stats {
	now := time.Now()
	r := t.admission.loadReport(now)
	a := t.admission
	a.mu.Lock()
	s := Stats{
		Name: t.spec.Name, Kind: t.spec.Kind, State: r.State, Boot: r.Boot, Running: r.Running,
		WarmCapacity: t.spec.WarmCapacity, ColdCapacity: t.spec.ColdCapacity,
		Counters: a.counters, BreachList: append([]Breach(nil), a.breaches...),
	}
	if withStarts {
		s.StartsMs = append(append([]int64(nil), a.startsMs[a.oldestStart:]...), a.startsMs[:a.oldestStart]...)
	}
	a.mu.Unlock()
	if t.weightStore != nil {
		w := t.weightStore.stats()
		s.Weights = &w
	}
	if t.platform != nil {
		s.ListedChanges = t.platform.visibleChanges(now)
	}
	return s
}

// runCounts counts started requests by tag, request id and idempotency key, so that tests
// detect requests that ran twice or not at all.
type runCounts struct {
	mu      sync.Mutex
	tables  map[string]map[string]int
	dropped uint64
}

// RunTable is the response to GET /runs?by=tag|request|key: the number of requests started
// by name.
type RunTable struct {
	Runs map[string]int `json:"runs"`
	// Dropped counts starts that are missing in one of the three tables because it
	// was full.
	Dropped uint64 `json:"dropped"`
}

func newRunCounts() *runCounts {
	return &runCounts{tables: map[string]map[string]int{"tag": {}, "request": {}, "key": {}}}
}

func (r *runCounts) add(tag, request, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.increment("tag", tag)
	r.increment("request", request)
	r.increment("key", key)
}

// increment counts a start in a table, or in dropped if the table is full. An empty name is
// not counted.
func (r *runCounts) increment(table, name string) {
	if name == "" {
		return
	}
	counts := r.tables[table]
	if _, ok := counts[name]; !ok && len(counts) >= maxRunNames {
		r.dropped++
		return
	}
	counts[name]++
}

// table returns a copy of the counts by "tag", "request" or "key"; "" means "tag".
func (r *runCounts) table(by string) RunTable {
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
