package rollout

import (
	"math"
	"slices"
)

// The test compares two explanations of the evidence. With a good version, a target fails as often as old targets do,
// but a few targets may be faulty by themselves. With a bad version, all targets fail more often by the same amount,
// from the beginning or from a later moment, on all routes or on one. The strength of the evidence is the logarithm of
// the likelihood ratio, averaged over all forms of a bad version with fixed weights. Such an average exceeds 1/a with a
// probability of at most a against a good version, however often it is evaluated.
const (
	// verdictStrength is the strength that decides against a version at any time: ln 300.
	verdictStrength = 5.7
	// doubtStrength is the strength that holds back the move, and decides at the end, when the version would get all
	// requests: ln 15.
	doubtStrength = 2.7
	// enoughAnswers is the number of answers after which a target counts for the comparison of targets, and
	// enoughTargets that of such targets. Without them, after manyBad bad responses, no target counts as faulty by
	// itself: a bad version of which few targets work must not succeed.
	enoughAnswers = 10
	enoughTargets = 3
	manyBad       = 30
	// slowRatio is the time in medians of the old version above which a response is slow; speedSpread is the ratio
	// by which the speeds of good targets differ.
	slowRatio   = 2.6
	speedSpread = 2.2
	// slowWeight reduces the weight of slow responses, which depend on each other: a stream gives two, and requests
	// on one target delay each other.
	slowWeight = 0.5
	// minShare is the least share of bad responses that is assumed of a good version.
	minShare = 0.01
	// windowPrior is the number of old responses by which the share in all windows counts in that of one window.
	windowPrior = 30
)

// The excess shares of bad responses that are looked for, of the responses that would be good.
var (
	failExcess = ratios{0.08, 0.2, 0.4, 0.65, 0.95}
	slowExcess = ratios{0.25, 0.4, 0.6, 0.8, 0.95}
)

// targetPrior is the part of targets that may be faulty by themselves: of all, and of those that were sound before the
// moment that is looked at. Single targets that are slower than speedSpread explains are rare.
var targetPrior = [numKinds]struct{ faulty, becomesFaulty float64 }{
	kindFailed: {0.15, 0.03},
	kindSlow:   {0.03, 0.01},
}

// ratios holds a log-likelihood ratio for each excess.
type ratios [5]float64

func (r *ratios) add(o *ratios) {
	for i := range r {
		r[i] += o[i]
	}
}

// addCounts adds the log-likelihood ratios of n responses, k of which were bad, for a share p of the good version.
func (r *ratios) addCounts(k, n, p float64, excess *ratios, weight float64) {
	if n == 0 && k == 0 {
		return
	}
	for i, x := range excess {
		q := p + (1-p)*x
		r[i] += weight * (k*math.Log(q/p) + (n-k)*math.Log1p(-x))
	}
}

// upperShare returns a cautious upper value of the share of k in n.
func upperShare(k, n float64) float64 {
	p := (k + 1) / (n + 4)
	return max(minShare, min(0.95, p+math.Sqrt(p*(1-p)/(n+4))))
}

// kind is what makes a response bad.
type kind int

const (
	kindFailed kind = iota
	kindSlow
	numKinds
)

// shareAbove returns the share of paces above a ratio, interpolated within its bucket.
func (t *tally) countAbove(ratio float64) float64 {
	n, low := 0.0, PaceBuckets[0]/math.Sqrt2
	for i, count := range t.pace {
		high := low * math.Sqrt2
		if i < len(PaceBuckets) {
			high = PaceBuckets[i]
		}
		switch {
		case ratio <= low:
			n += count
		case ratio < high:
			n += count * math.Log(high/ratio) / math.Log(high/low)
		}
		low = high
	}
	return n
}

// median returns the median pace, 1 if there are too few to tell.
func (t *tally) median() float64 {
	if t.paced < 8 {
		return 1
	}
	lo, hi := math.Log(PaceBuckets[0]/math.Sqrt2), math.Log(PaceBuckets[len(PaceBuckets)-1])
	for range 20 {
		if mid := (lo + hi) / 2; t.countAbove(math.Exp(mid)) > t.paced/2 {
			lo = mid
		} else {
			hi = mid
		}
	}
	return math.Exp(lo)
}

// routeNull holds what a good version is expected to do on a route.
type routeNull struct {
	failed, slow float64 // shares
	median       float64 // of the paces of old targets
}

func (e *evidence) null(route int) routeNull {
	t := &e.oldTotal[route]
	m := t.median()
	return routeNull{
		failed: upperShare(t.failed, t.failed+t.served),
		slow:   upperShare(t.countAbove(m*slowRatio/speedSpread), t.paced),
		median: m,
	}
}

// inWindow returns the shares in a window: those of old targets in it, with the shares in all windows as a prior.
func (null routeNull) inWindow(w *window, route int) routeNull {
	if route >= len(w.old) {
		return null
	}
	t := &w.old[route]
	shrink := func(k, n, p float64) float64 {
		return max(minShare, min(0.95, (k+windowPrior*p)/(n+windowPrior)))
	}
	null.failed = shrink(t.failed, t.failed+t.served, null.failed)
	null.slow = shrink(t.countAbove(null.median*slowRatio/speedSpread), t.paced, null.slow)
	return null
}

// sum is the evidence on one target and route over several windows.
type sum struct {
	bad, all [numKinds]float64
	excess   [numKinds]float64 // bad responses above what a good version has
	ratios   [numKinds]ratios
}

func (s *sum) add(c *cell) {
	s.bad[kindFailed] += c.failed
	s.all[kindFailed] += c.failed + c.served
	s.bad[kindSlow] += c.slowCount
	s.all[kindSlow] += c.paced
	s.excess[kindFailed] += c.failExcess
	s.excess[kindSlow] += c.slowExcess
	s.ratios[kindFailed].add(&c.fail)
	s.ratios[kindSlow].add(&c.slow)
}

// result is the outcome of an evaluation.
type result struct {
	strength float64
	// The form of a bad version that explains the evidence best, with its counts.
	best           float64
	kind           kind
	route          string
	bad, all       float64
	oldBad, oldAll float64
	targets        int
}

func (r *result) verdict() Verdict {
	reason := ReasonFailures
	if r.kind == kindSlow {
		reason = ReasonSlow
	}
	return Verdict{Reason: reason, Route: r.route, Attrs: []any{
		"route", r.route, "new_bad", r.bad, "new_all", r.all, "old_bad", r.oldBad, "old_all", r.oldAll,
		"targets", r.targets, "evidence", r.strength, "bound", verdictStrength,
	}}
}

// evaluate computes the strength of the evidence against the version, of which some targets are listed and some are
// active: they get requests.
func (e *evidence) evaluate(listedNew, active int) {
	if !e.changed || e.newTotal.failed+e.newTotal.served+e.newTotal.paced == 0 {
		return
	}
	e.changed = false
	nulls := make([]routeNull, len(e.routes))
	for i := range nulls {
		nulls[i] = e.null(i)
	}
	e.weighWindows(nulls)

	ev := evaluation{e: e, nulls: nulls, numActive: active, running: make([]float64, len(e.routes))}
	size := len(e.routes) * len(e.targets)
	ev.total, ev.suffix = make([]sum, size), make([]sum, size)
	for _, w := range e.windows {
		for i := range w.cells {
			ev.total[w.cells[i].route*len(e.targets)+w.cells[i].target].add(&w.cells[i])
		}
	}
	ev.faulty = e.comparesTargets(listedNew, ev.total)
	ev.result.best = math.Inf(-1)
	nextAge := 1
	for i, w := range slices.Backward(e.windows) {
		for j := range w.cells {
			ev.suffix[w.cells[j].route*len(e.targets)+w.cells[j].target].add(&w.cells[j])
		}
		for r, n := range w.running {
			ev.running[r] += n
		}
		// The moments at which the version may have turned bad lie at growing distances, which bounds the work.
		switch age := len(e.windows) - i; {
		case i == 0:
			ev.weigh(0.5)
		case age == nextAge:
			ev.weigh(0.5 / e.numWindows)
			nextAge += 1 + age/4
		}
	}
	ev.result.strength = math.Log(max(ev.likelihood, 1e-9))
	e.result = ev.result
}

// weighWindows computes the likelihood ratios of the windows that are not fixed.
func (e *evidence) weighWindows(nulls []routeNull) {
	for i, w := range e.windows {
		if w.fixed {
			continue
		}
		w.fixed = i < len(e.windows)-fixedAfter
		inWindow := make([]routeNull, len(nulls))
		for r := range nulls {
			inWindow[r] = nulls[r].inWindow(w, r)
		}
		for j := range w.cells {
			c, null := &w.cells[j], inWindow[w.cells[j].route]
			c.fail, c.slow = ratios{}, ratios{}
			c.fail.addCounts(c.failed, c.failed+c.served, null.failed, &failExcess, 1)
			c.failExcess = c.failed - (c.failed+c.served)*null.failed
			c.slowCount = c.countAbove(null.median * slowRatio)
			c.slow.addCounts(c.slowCount, c.paced, null.slow, &slowExcess, slowWeight)
			c.slowExcess = c.slowCount - c.paced*null.slow
		}
	}
}

// comparesTargets reports whether there are enough targets to tell a faulty one from a bad version.
func (e *evidence) comparesTargets(listedNew int, total []sum) bool {
	enough := 0
	for i := range e.newByTarget {
		if t := &e.newByTarget[i]; t.failed+t.served >= enoughAnswers {
			enough++
		}
	}
	bad := 0.0
	for i := range total {
		bad += max(total[i].bad[kindFailed], total[i].bad[kindSlow])
	}
	return enough >= enoughTargets || listedNew >= enoughTargets && bad < manyBad
}

// evaluation is the state of one evaluation.
type evaluation struct {
	e             *evidence
	nulls         []routeNull
	total, suffix []sum     // by route and target
	running       []float64 // by route, in the suffix
	numActive     int       // targets that get requests
	faulty        bool      // targets may be faulty by themselves
	likelihood    float64
	result        result
}

// weigh adds the versions that are bad since the beginning of the suffix.
func (ev *evaluation) weigh(weight float64) {
	numRoutes := len(ev.e.routes)
	for k := range numKinds {
		w := weight / float64(numKinds)
		if numRoutes > 1 {
			w /= 2
			for r := range numRoutes {
				ev.weighRoutes(k, r, r+1, w/float64(numRoutes))
			}
		}
		ev.weighRoutes(k, 0, numRoutes, w)
	}
}

// weighRoutes adds the versions that are bad on some routes since the beginning of the suffix.
func (ev *evaluation) weighRoutes(k kind, from, to int, weight float64) {
	numTargets := len(ev.e.targets)
	var excess, bad, all float64
	for i := from * numTargets; i < to*numTargets; i++ {
		s := &ev.suffix[i]
		excess += s.excess[k]
		bad += s.bad[k]
		all += s.all[k]
	}
	if excess <= 0 || bad < 2 {
		return
	}
	// The requests that run now and did not at the beginning of the suffix count as good until they finish, divided
	// evenly between the targets.
	var running ratios
	if k == kindFailed {
		for r := from; r < to; r++ {
			n := max(0, ev.running[r]) / float64(max(1, ev.numActive))
			running.addCounts(0, n, ev.nulls[r].failed, &failExcess, 1)
		}
	}
	var same, atLeast ratios // log-likelihood ratios: all targets with the same excess, or with at least that
	targets := 0
	add := func(in, before *ratios) {
		null := ev.logNull(k, in, before)
		for i := range in {
			same[i] += in[i] - null
			atLeast[i] += logMean(in[i:]) - null
		}
	}
	for t := range numTargets {
		in := running
		var before ratios
		var answers float64
		for r := from; r < to; r++ {
			s, whole := &ev.suffix[r*numTargets+t], &ev.total[r*numTargets+t]
			in.add(&s.ratios[k])
			for i := range before {
				before[i] += whole.ratios[k][i] - s.ratios[k][i]
			}
			answers += s.all[k]
		}
		if answers > 0 {
			targets++
			add(&in, &before)
		}
	}
	for range ev.numActive - targets {
		add(&running, &ratios{})
	}
	likelihood := 0.0
	for i := range same {
		likelihood += (math.Exp(min(same[i], 300)) + math.Exp(min(atLeast[i], 300))) / float64(2*len(same))
	}
	likelihood *= weight
	ev.likelihood += likelihood
	if likelihood > ev.result.best {
		ev.result = result{best: likelihood, kind: k, bad: bad, all: all, targets: targets}
		ev.describe(k, from, to)
	}
}

// logNull returns the likelihood of a target's evidence with a good version, relative to that of a sound target. Of a
// target that was faulty before the suffix it is likely that it still is. That no target is faulty is no evidence
// against a version, so the result is not negative.
func (ev *evaluation) logNull(k kind, in, before *ratios) float64 {
	if !ev.faulty {
		return 0
	}
	prior := &targetPrior[k]
	was := prior.faulty * math.Exp(logMean(before[:]))
	q := max(was/(was+1-prior.faulty), prior.becomesFaulty)
	return max(0, math.Log(1-q+q*math.Exp(logMean(in[:]))))
}

// logMean returns the logarithm of the mean of the exponentials.
func logMean(logs []float64) float64 {
	sum := 0.0
	for _, x := range logs {
		sum += math.Exp(min(x, 300))
	}
	return math.Log(max(sum, 1e-300) / float64(len(logs)))
}

// describe sets the route and the counts of the old version for the log. Of several routes it names the one with the
// most bad responses.
func (ev *evaluation) describe(k kind, from, to int) {
	numTargets, most := len(ev.e.targets), -1.0
	for r := from; r < to; r++ {
		bad := 0.0
		for i := r * numTargets; i < (r+1)*numTargets; i++ {
			bad += ev.suffix[i].excess[k]
		}
		if bad > most {
			most, ev.result.route = bad, ev.e.routes[r]
		}
		old := &ev.e.oldTotal[r]
		if k == kindFailed {
			ev.result.oldBad += old.failed
			ev.result.oldAll += old.failed + old.served
		} else {
			ev.result.oldBad += old.countAbove(ev.nulls[r].median * slowRatio)
			ev.result.oldAll += old.paced
		}
	}
}
