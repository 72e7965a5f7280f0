package rollout

import (
	"math"
	"slices"
	"time"
)

// The test compares two explanations of the evidence. With a good version, a target fails as often as old targets do,
// but a few targets may be faulty by themselves. With a bad version, all targets fail more often by the same amount,
// from the beginning or from a later moment, on all routes or on one. The strength of the evidence is the logarithm of
// the likelihood ratio, averaged over all forms of a bad version with fixed weights. Such an average exceeds 1/a with a
// probability of at most a against a good version, however often it is evaluated.
const (
	// verdictStrength is the strength that decides against a version at any time: ln 400. doubtStrength is that which
	// holds back the move, and decides at the end, when the version would get all requests: ln 30. Rollouts of at most
	// shortWindows windows have fewer responses and fewer evaluations; the thresholds there are ln 55 and 1. With the
	// upper ones more bad versions succeeded, with the lower ones long rollouts gave false verdicts.
	verdictStrength      = 6.0
	doubtStrength        = 3.4
	shortVerdictStrength = 4.0
	shortDoubtStrength   = 0.0
	shortWindows         = 24
	// While the version has had between limitedFrom and limitedTo bad responses (two of a slow stream), limitedStrength decides: after the
	// 50th there is little time left in which it may get requests.
	limitedFrom     = 45
	limitedTo       = 150
	limitedStrength = 1.0
	// noStrength is the strength without any sign against a version.
	noStrength = -20.0
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
	windowPrior = 20
	// comparedWindows is the number of windows with responses of the old version over which a window is compared.
	comparedWindows = 4
	// rampTime is the time after an increase of the requests to the version, by the canary phase or the move, for
	// which no moment after that increase is looked at: more of the failures of the requests started before than of
	// their good responses would lie after it.
	rampTime = 5 * time.Second
	// minDeviations is the number of standard deviations of bad responses below which the likelihoods are not
	// computed: they could not matter.
	minDeviations = 2.5
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

// weights holds what one bad and one good response add to the log-likelihood ratios.
type weights struct{ bad, good ratios }

// newWeights returns the weights for a share p of bad responses of the good version, times a factor.
func newWeights(p float64, excess *ratios, factor float64) weights {
	var w weights
	for i, x := range excess {
		w.bad[i] = factor * math.Log((p+(1-p)*x)/p)
		w.good[i] = factor * math.Log1p(-x)
	}
	return w
}

// of returns the log-likelihood ratios of some bad and good responses.
func (w *weights) of(bad, good float64) ratios {
	var r ratios
	for i := range r {
		r[i] = bad*w.bad[i] + good*w.good[i]
	}
	return r
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

// paceParts holds, by bucket, the part of the responses that is counted.
type paceParts [NumPaceBuckets]float64

// bucketBounds returns the bounds of a bucket. Those of the first and the last are as wide as most others.
func bucketBounds(i int) (low, high float64) {
	low, high = PaceBuckets[0]/math.Sqrt2, PaceBuckets[len(PaceBuckets)-1]*math.Sqrt2
	if i > 0 {
		low = PaceBuckets[i-1]
	}
	if i < len(PaceBuckets) {
		high = PaceBuckets[i]
	}
	return low, high
}

// above returns the parts of the buckets above a pace, as if paces were evenly distributed on a logarithmic scale.
func above(pace float64) paceParts {
	var parts paceParts
	for i := range parts {
		low, high := bucketBounds(i)
		parts[i] = max(0, min(1, math.Log(high/pace)/math.Log(high/low)))
	}
	return parts
}

func (t *tally) count(parts *paceParts) float64 {
	n := 0.0
	for i, part := range parts {
		n += part * t.pace[i]
	}
	return n
}

// median returns the median pace, 1 if there are too few to tell.
func (t *tally) median() float64 {
	if t.paced < 8 {
		return 1
	}
	n := 0.0
	for i, count := range t.pace {
		if n+count >= t.paced/2 {
			low, high := bucketBounds(i)
			return low * math.Pow(high/low, (t.paced/2-n)/count)
		}
		n += count
	}
	return 1
}

// routeNull holds what a good version is expected to do on a route.
type routeNull struct {
	failed, slow float64 // shares
	// isSlow counts slow responses; maySlow those that would be slow on a target that is slower by speedSpread.
	isSlow, maySlow paceParts
}

func (e *evidence) null(route int) routeNull {
	t := &e.oldTotal[route]
	m := t.median()
	null := routeNull{isSlow: above(m * slowRatio), maySlow: above(m * slowRatio / speedSpread)}
	null.failed = upperShare(t.failed, t.failed+t.served)
	null.slow = upperShare(t.count(&null.maySlow), t.paced)
	return null
}

// inWindow returns the shares at the time of a window: those of old targets in it and the windows before, with the
// shares in all windows as a prior. After the move these are the last ones that old targets had.
func (e *evidence) inWindow(index, route int, null routeNull) routeNull {
	var recent, own tally
	for i, found := index, 0; i >= 0 && found < comparedWindows; i-- {
		if w := e.windows[i]; route < len(w.old) && w.old[route].failed+w.old[route].served > 0 {
			recent.add(&w.old[route])
			if found++; i == index {
				own = w.old[route]
			}
		}
	}
	shrink := func(k, n, p float64) float64 {
		return max(minShare, min(0.95, (k+windowPrior*p)/(n+windowPrior)))
	}
	// Own responses count most, because both versions may begin to fail.
	for _, t := range []*tally{&recent, &own} {
		null.failed = shrink(t.failed, t.failed+t.served, null.failed)
		null.slow = shrink(t.count(&null.maySlow), t.paced, null.slow)
	}
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
	newBad         float64 // bad responses of the version in all
}

func (r *result) verdict() Verdict {
	reason := ReasonFailures
	if r.kind == kindSlow {
		reason = ReasonSlow
	}
	return Verdict{Reason: reason, Route: r.route, Attrs: []any{
		"route", r.route, "new_bad", r.bad, "new_all", r.all, "old_bad", r.oldBad, "old_all", r.oldAll,
		"targets", r.targets, "evidence", r.strength,
	}}
}

// evaluate computes the strength of the evidence against the version, of which some targets are listed and some are
// active: they get requests.
func (e *evidence) evaluate(now time.Duration, listedNew, active int) {
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
		case age >= nextAge && (w.from <= e.rampAt || now-e.rampAt > rampTime):
			ev.weigh(0.5 / e.numWindows)
			nextAge = age + 1 + age/4
		}
	}
	ev.result.strength = max(noStrength, math.Log(ev.likelihood))
	ev.result.newBad = 0
	for i := range ev.total {
		ev.result.newBad += ev.total[i].bad[kindFailed] + ev.total[i].bad[kindSlow]
	}
	e.result = ev.result
}

// weighWindows computes the likelihood ratios of the windows that are not fixed.
func (e *evidence) weighWindows(nulls []routeNull) {
	inWindow := make([]routeNull, len(nulls))
	failed, slow := make([]weights, len(nulls)), make([]weights, len(nulls))
	for i, w := range e.windows {
		if w.fixed {
			continue
		}
		w.fixed = i < len(e.windows)-fixedAfter
		for r := range nulls {
			inWindow[r] = e.inWindow(i, r, nulls[r])
			failed[r] = newWeights(inWindow[r].failed, &failExcess, 1)
			slow[r] = newWeights(inWindow[r].slow, &slowExcess, slowWeight)
		}
		for j := range w.cells {
			c := &w.cells[j]
			null := &inWindow[c.route]
			c.fail = failed[c.route].of(c.failed, c.served)
			c.failExcess = c.failed - (c.failed+c.served)*null.failed
			c.slowCount = c.count(&null.isSlow)
			c.slow = slow[c.route].of(c.slowCount, c.paced-c.slowCount)
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
	expected := bad - excess
	if bad < 2 || excess <= minDeviations*math.Sqrt(max(0, expected*(1-expected/all))) {
		return
	}
	answering := 0
	for t := range numTargets {
		if ev.answers(k, from, to, t) > 0 {
			answering++
		}
	}
	// The requests that run now and did not at the beginning of the suffix count as good until they finish, divided
	// evenly between the targets.
	var running ratios
	if k == kindFailed {
		for r := from; r < to; r++ {
			w := newWeights(ev.nulls[r].failed, &failExcess, 1)
			n := w.of(0, max(0, ev.running[r])/float64(max(1, ev.numActive, answering)))
			running.add(&n)
		}
	}
	var same, atLeast ratios // log-likelihood ratios: all targets with the same excess, or with at least that
	for t := range numTargets {
		if ev.answers(k, from, to, t) == 0 {
			continue
		}
		in := running
		var before ratios
		for r := from; r < to; r++ {
			s, whole := &ev.suffix[r*numTargets+t], &ev.total[r*numTargets+t]
			in.add(&s.ratios[k])
			for i := range before {
				before[i] += whole.ratios[k][i] - s.ratios[k][i]
			}
		}
		ev.addTarget(k, &in, &before, &same, &atLeast, 1)
	}
	if silent := ev.numActive - answering; silent > 0 {
		ev.addTarget(k, &running, &ratios{}, &same, &atLeast, float64(silent))
	}
	likelihood := 0.0
	for i := range same {
		likelihood += (math.Exp(min(same[i], 300)) + math.Exp(min(atLeast[i], 300))) / float64(2*len(same))
	}
	likelihood *= weight
	ev.likelihood += likelihood
	if likelihood > ev.result.best {
		ev.result = result{best: likelihood, kind: k, bad: bad, all: all, targets: answering}
		ev.describe(k, from, to)
	}
}

// answers returns the number of responses of a target on some routes in the suffix.
func (ev *evaluation) answers(k kind, from, to, target int) float64 {
	n := 0.0
	for r := from; r < to; r++ {
		n += ev.suffix[r*len(ev.e.targets)+target].all[k]
	}
	return n
}

// addTarget adds the log-likelihood ratios of a bad version to a good one on a number of targets with the same
// evidence. With a good version a target may be sound or faulty. If it was faulty before the suffix, it is likely that
// it still is. That no target is faulty is no evidence against a version, so a target counts as sound at least.
func (ev *evaluation) addTarget(k kind, in, before, same, atLeast *ratios, times float64) {
	// Logarithms of sums relative to the greatest item: a faulty target may have a ratio beyond exp(700).
	greatest := slices.Max(in[:])
	var tail ratios // sums of the likelihood ratios from each excess on
	sum := 0.0
	for i := len(in) - 1; i >= 0; i-- {
		sum += math.Exp(in[i] - greatest)
		tail[i] = max(sum, math.SmallestNonzeroFloat64)
	}
	null := 0.0
	if ev.faulty && greatest > 0 {
		prior, was := &targetPrior[k], 0.0
		for _, x := range before {
			was += math.Exp(min(x, 300)) / float64(len(before))
		}
		was *= prior.faulty
		q := max(was/(was+1-prior.faulty), prior.becomesFaulty)
		null = max(0, greatest+math.Log((1-q)*math.Exp(-greatest)+q*sum/float64(len(in))))
	}
	for i := range in {
		same[i] += times * (in[i] - null)
		atLeast[i] += times * (greatest + math.Log(tail[i]/float64(len(in)-i)) - null)
	}
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
			ev.result.oldBad += old.count(&ev.nulls[r].isSlow)
			ev.result.oldAll += old.paced
		}
	}
}
