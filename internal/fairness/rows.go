package fairness

import (
	"math"
	"sort"
)

// Row is one workspace's line in the virtual service table. Learned holds the
// mean cost of each kind, 0 if too few completions are known.
type Row struct {
	Workspace string
	Virtual   float64
	Learned   [Kinds]float64
}

// Rows appends the accounts, sorted by name: all of them, or only those that
// are backlogged, have running work or carry debt.
func (t *Table) Rows(dst []Row, all bool) []Row {
	for _, w := range t.byName {
		if !all && w.pos < 0 && w.Running == 0 && w.virtual <= t.now {
			continue
		}
		row := Row{Workspace: w.Name, Virtual: w.virtual}
		for k, m := range w.means {
			if m.count >= enoughSamples {
				row.Learned[k] = m.value
			}
		}
		dst = append(dst, row)
	}
	sort.Slice(dst, func(i, j int) bool { return dst[i].Workspace < dst[j].Workspace })
	return dst
}

// maxCredit bounds service that one router reports for one workspace.
const maxCredit = 1e12

// Load takes over the table of a former owner. It must be called before the
// first charge.
func (t *Table) Load(virtualTime float64, rows []Row) {
	if finite(virtualTime) {
		t.now = math.Max(t.now, virtualTime)
	}
	for _, r := range rows {
		if !finite(r.Virtual) {
			continue
		}
		w := t.Get(r.Workspace)
		w.virtual = r.Virtual
		for k, v := range r.Learned {
			if v > 0 && finite(v) {
				w.means[k] = mean{clampCost(v), enoughSamples}
				t.means[k].add(clampCost(v))
				t.all.add(clampCost(v))
			}
		}
		w.loaded = true
	}
	for _, w := range t.heap {
		if !w.loaded {
			w.virtual = math.Max(w.virtual, t.now)
		}
	}
	for i := len(t.heap)/2 - 1; i >= 0; i-- {
		t.down(i)
	}
}

// Credit adds service that a former owner gave after it had sent its table. The
// copy does not contain workspaces at the pool's virtual time, so the service
// counts from there at least.
func (t *Table) Credit(workspace string, service float64) {
	if !finite(service) || math.Abs(service) > maxCredit {
		return
	}
	w := t.Get(workspace)
	if !w.loaded {
		w.virtual = math.Max(w.virtual, t.now)
	}
	t.add(w, service)
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
