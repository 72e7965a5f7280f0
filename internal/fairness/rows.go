package fairness

import (
	"math"
	"sort"
)

// Row is the entry of one workspace in a copy of the table. RelativeService is its virtual
// service minus the pool's virtual time. MeanCosts holds its mean cost per cost class,
// in cost units, 0 after fewer than 4 completions (minSamples).
type Row struct {
	Workspace       string
	RelativeService float64
	MeanCosts       [NumCostClasses]float64
}

// minReportedDebt is the debt above which Rows includes a workspace that is not
// backlogged, as a multiple of the pool's mean request cost.
const minReportedDebt = 4

// Rows appends a row per account to dst, sorted by name, and returns it. If all is
// false, it omits accounts that are not backlogged and whose debt is at most 4 times
// (minReportedDebt) the pool's mean request cost. dst should be empty, because all of it
// is sorted.
func (t *Table) Rows(dst []Row, all bool) []Row {
	for _, w := range t.byName {
		if !all && w.heapIndex < 0 && (w.virtualService-t.virtualTime)*w.weight <= minReportedDebt*t.overallMean.value {
			continue
		}
		row := Row{Workspace: w.Name, RelativeService: w.virtualService - t.virtualTime}
		for k, m := range w.meansByClass {
			if m.count >= minSamples {
				row.MeanCosts[k] = m.value
			}
		}
		dst = append(dst, row)
	}
	sort.Slice(dst, func(i, j int) bool { return dst[i].Workspace < dst[j].Workspace })
	return dst
}

// maxCredit bounds the service that one instance may report for one workspace, in
// cost units.
const maxCredit = 1e12

// Load restores the accounts from a copy of the previous owner's table. It must be
// called before the first Charge. Values that are not finite are ignored. The virtual
// service of backlogged workspaces without a row is raised to the pool's virtual time.
func (t *Table) Load(virtualTime float64, rows []Row) {
	if !finite(virtualTime) {
		return
	}
	t.virtualTime = math.Max(t.virtualTime, virtualTime)
	for _, r := range rows {
		if !finite(r.RelativeService) {
			continue
		}
		w := t.Get(r.Workspace)
		w.virtualService = t.virtualTime + r.RelativeService
		for k, v := range r.MeanCosts {
			if v > 0 && finite(v) {
				w.meansByClass[k] = movingMean{clampCost(v), minSamples}
				t.meansByClass[k].add(clampCost(v))
				t.overallMean.add(clampCost(v))
			}
		}
		w.fromCopy = true
	}
	for _, w := range t.heap {
		if !w.fromCopy {
			w.virtualService = math.Max(w.virtualService, t.virtualTime)
		}
	}
	for i := len(t.heap)/2 - 1; i >= 0; i-- {
		t.down(i)
	}
}

// Credit adds service, in cost units, that the previous owner granted after it had
// sent the copy that Load restored. A workspace without a row in that copy starts
// at the pool's virtual time at least. Values that are not finite or exceed 1e12
// (maxCredit) are ignored.
func (t *Table) Credit(workspace string, service float64) {
	if !finite(service) || math.Abs(service) > maxCredit {
		return
	}
	w := t.Get(workspace)
	if !w.fromCopy {
		w.virtualService = math.Max(w.virtualService, t.virtualTime)
	}
	t.addService(w, service)
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
