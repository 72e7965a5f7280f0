package rollout

import (
	"math"
	"time"
)

const (
	// windowLength is the time over which the versions are compared, for rollouts of 12 s or more; a shorter
	// rollout has minWindows windows, none below minWindowLength.
	windowLength    = 500 * time.Millisecond
	minWindowLength = 250 * time.Millisecond
	minWindows      = 24
	// maxWindows bounds the memory of long rollouts: beyond it, the older half of the windows is merged in pairs.
	maxWindows = 128
	// fixedAfter is the number of windows after which the likelihoods of a window are no longer computed anew.
	fixedAfter = 4
)

// tally counts the outcomes of attempts.
type tally struct {
	failed, served float64
	pace           [NumPaceBuckets]float64
	paced          float64 // sum of pace
}

func (t *tally) add(o *tally) {
	t.failed += o.failed
	t.served += o.served
	t.paced += o.paced
	for i := range o.pace {
		t.pace[i] += o.pace[i]
	}
}

// cell is what one target of the new version did on one route in one window.
type cell struct {
	route, target int
	tally
	fail, slow ratios // log-likelihood ratios
	// slowCount is the number of slow responses; failExcess and slowExcess are the bad responses above what a good
	// version has.
	slowCount, failExcess, slowExcess float64
}

// window is the evidence that arrived in a period.
type window struct {
	from  time.Duration
	cells []cell
	index map[[2]int]int // (route, target) to cell
	old   []tally        // by route
	// running is, by route, the number of grants less that of attempts that finished: the requests that were added
	// to those that run. Failures finish sooner than good streams, so failures are compared with the attempts that
	// were started.
	running []float64
	fixed   bool // the likelihood ratios are not computed any more
}

func (w *window) cell(route, target int) *cell {
	i, ok := w.index[[2]int{route, target}]
	if !ok {
		i = len(w.cells)
		w.cells = append(w.cells, cell{route: route, target: target})
		w.index[[2]int{route, target}] = i
	}
	return &w.cells[i]
}

// reporter is what an entry instance has reported; after its restart, of several processes.
type reporter struct {
	process    string
	runningOld int
	seen       map[string]map[outcomeKey]Outcomes // by process
}

type outcomeKey struct{ route, target string }

// evidence collects the reports of entry instances in windows.
type evidence struct {
	windowLength time.Duration
	numWindows   float64 // in the whole rollout
	takenOver    bool    // an owner before has granted
	moved        bool
	rampAt       time.Duration // when the canary phase or the move began

	routes      []string
	routeIDs    map[string]int
	targets     []string
	targetIDs   map[string]int
	entries     map[string]*reporter
	agedFrom    time.Duration // time of the order according to the greatest reported age
	hasAge      bool
	oldTotal    []tally // by route, before the move
	newByTarget []tally
	newTotal    tally

	windows []*window
	changed bool
	result  result
}

func newEvidence(duration time.Duration, takenOver bool, now time.Duration) evidence {
	length := max(minWindowLength, min(windowLength, duration/minWindows))
	e := evidence{
		windowLength: length, numWindows: max(1, min(1000, float64(duration)/float64(length))), takenOver: takenOver,
		routeIDs: map[string]int{}, targetIDs: map[string]int{},
		entries: map[string]*reporter{},
		result:  result{strength: noStrength},
	}
	e.window(now)
	return e
}

func (e *evidence) routeIndex(route string) int {
	i, ok := e.routeIDs[route]
	if !ok {
		i = len(e.routes)
		e.routeIDs[route] = i
		e.routes = append(e.routes, route)
		e.oldTotal = append(e.oldTotal, tally{})
	}
	return i
}

func (e *evidence) targetIndex(target string) int {
	i, ok := e.targetIDs[target]
	if !ok {
		i = len(e.targets)
		e.targetIDs[target] = i
		e.targets = append(e.targets, target)
		e.newByTarget = append(e.newByTarget, tally{})
	}
	return i
}

// window returns the present window.
func (e *evidence) window(now time.Duration) *window {
	if n := len(e.windows); n > 0 && now-e.windows[n-1].from < e.windowLength {
		return e.windows[n-1]
	}
	if len(e.windows) >= maxWindows {
		e.mergeWindows()
	}
	w := &window{from: now, index: map[[2]int]int{}}
	e.windows = append(e.windows, w)
	return w
}

// mergeWindows merges the older half of the windows in pairs. Their likelihoods add up.
func (e *evidence) mergeWindows() {
	merged := e.windows[:0:0]
	for i := 0; i < maxWindows/2; i += 2 {
		a, b := e.windows[i], e.windows[i+1]
		for j := range b.cells {
			from := &b.cells[j]
			to := a.cell(from.route, from.target)
			to.tally.add(&from.tally)
			to.fail.add(&from.fail)
			to.slow.add(&from.slow)
			to.slowCount += from.slowCount
			to.failExcess += from.failExcess
			to.slowExcess += from.slowExcess
		}
		grow(&a.old, len(b.old))
		for j := range b.old {
			a.old[j].add(&b.old[j])
		}
		grow(&a.running, len(b.running))
		for j := range b.running {
			a.running[j] += b.running[j]
		}
		merged = append(merged, a)
	}
	e.windows = append(merged, e.windows[maxWindows/2:]...)
}

// grow lengthens a slice to at least n items.
func grow[T any](s *[]T, n int) {
	for len(*s) < n {
		var zero T
		*s = append(*s, zero)
	}
}

func (e *evidence) countGrant(route int, now time.Duration) {
	w := e.window(now)
	grow(&w.running, len(e.routes))
	w.running[route]++
}

// SetEvidence replaces the evidence of a process of an entry instance.
func (c *Controller) SetEvidence(entry, process string, r Evidence, now time.Duration) {
	c.evidence.set(entry, process, r, now)
}

func (e *evidence) set(entry, process string, r Evidence, now time.Duration) {
	if from := now - r.Age; !e.hasAge || from < e.agedFrom {
		e.agedFrom, e.hasAge = from, true
	}
	p := e.entries[entry]
	if p == nil {
		p = &reporter{seen: map[string]map[outcomeKey]Outcomes{}}
		e.entries[entry] = p
	}
	p.process, p.runningOld = process, r.RunningOld
	seen := p.seen[process]
	first := seen == nil
	if first {
		seen = map[outcomeKey]Outcomes{}
		p.seen[process] = seen
	}
	w := e.window(now)
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		key := outcomeKey{o.Route, o.Target}
		before := seen[key]
		if *o == before {
			continue
		}
		seen[key] = *o
		e.addOutcomes(w, o, &before, first && e.takenOver)
	}
}

// addOutcomes adds the difference of two reports to a window. The attempts of a first report to a new owner may have
// been granted by the owner before.
func (e *evidence) addOutcomes(w *window, o, before *Outcomes, grantedBefore bool) {
	route := e.routeIndex(o.Route)
	d := tally{
		failed: float64(max(0, o.Failed-before.Failed)),
		served: float64(max(0, o.Served-before.Served)),
	}
	for i := range o.Pace {
		d.pace[i] = float64(max(0, o.Pace[i]-before.Pace[i]))
		d.paced += d.pace[i]
	}
	e.changed = true
	if o.Target == "" {
		if e.moved {
			return // only the attempts that take longest are left, which are not like all others
		}
		grow(&w.old, len(e.routes))
		w.old[route].add(&d)
		e.oldTotal[route].add(&d)
		return
	}
	target := e.targetIndex(o.Target)
	w.cell(route, target).add(&d)
	e.newByTarget[target].add(&d)
	e.newTotal.add(&d)
	if !grantedBefore {
		grow(&w.running, len(e.routes))
		w.running[route] -= d.failed + d.served
	}
}

// age returns the greatest reported time since the order, continued to the present.
func (e *evidence) age(now time.Duration) time.Duration {
	if !e.hasAge {
		return 0
	}
	return now - e.agedFrom
}

// answered reports whether a target of the new version has answered a request.
func (e *evidence) answered() bool { return e.newTotal.served > 0 || e.newTotal.paced > 0 }

// runningOld returns the number of requests that run on old targets.
func (e *evidence) runningOld() int {
	n := 0
	for _, p := range e.entries {
		n += p.runningOld
	}
	return n
}

// suspects returns the targets that fail, or are slow, much more often than old targets.
func (e *evidence) suspects() map[string]bool {
	var old tally
	for i := range e.oldTotal {
		old.add(&e.oldTotal[i])
	}
	m := old.median()
	isSlow, maySlow := above(m*slowRatio), above(m*slowRatio/speedSpread)
	failed := upperShare(old.failed, old.failed+old.served)
	slow := upperShare(old.count(&maySlow), old.paced)
	exceeds := func(k, n, p float64) bool { return k >= 3 && k > n*p+3*math.Sqrt(n*p*(1-p)) }
	result := map[string]bool{}
	for i := range e.newByTarget {
		t := &e.newByTarget[i]
		if exceeds(t.failed, t.failed+t.served, failed) || exceeds(t.count(&isSlow), t.paced, slow) {
			result[e.targets[i]] = true
		}
	}
	return result
}
