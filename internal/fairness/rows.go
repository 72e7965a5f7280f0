package fairness

import (
	"math"
	"sort"
)

// Row is one workspace's line in the virtual service table. Ahead is its virtual
// service less the pool's virtual time. Learned holds the mean cost of each kind,
// 0 if too few completions are known.
type Row struct {
	Workspace string
	Ahead     float64
	Learned   [Kinds]float64
}

// debtShown is the debt, in mean requests of the pool, from which an account is
// part of a copy although the workspace is not backlogged.
const debtShown = 4

// Rows appends the accounts, sorted by name: all of them, or only those that
// are backlogged or carry much debt.
func (t *Table) Rows(dst []Row, all bool) []Row {
	for _, w := range t.byName {
		if !all && w.pos < 0 && (w.virtual-t.now)*w.weight <= debtShown*t.all.value {
			continue
		}
		row := Row{Workspace: w.Name, Ahead: w.virtual - t.now}
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
	if !finite(virtualTime) {
		return
	}
	t.now = math.Max(t.now, virtualTime)
	for _, r := range rows {
		if !finite(r.Ahead) {
			continue
		}
		w := t.Get(r.Workspace)
		w.virtual = t.now + r.Ahead
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
