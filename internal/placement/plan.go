package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateFactor is the multiple of the objective, counted from the request, after
	// which callers give up a stream that has not begun; lateLeast is the least time.
	lateFactor = 4
	lateLeast  = 2 * time.Second
	// adviceLeast and adviceMost bound the time after which refused callers are
	// told to come back.
	adviceLeast = 200 * time.Millisecond
	adviceMost  = 2 * time.Second
	// reviewInterval is how often the plan of a waiting request is looked at again.
	reviewInterval = 50 * time.Millisecond
	// lateReviewInterval is the same for one that is late anyway: each look is a choice
	// among hundreds of targets.
	lateReviewInterval = 200 * time.Millisecond
)

// decide grants or refuses a request, or plans it for the best target. One that no
// target can serve in time gets what the others leave.
func (o *Owner) decide(w *work, now time.Duration) {
	w.excess, w.late, w.pressed = 0, false, false
	if !w.ask.Resumes {
		w.excess = o.shares.excess(w.ask.Workspace, w.cost)
		w.pressed = o.shares.pressed(w.ask.Workspace)
	}
	c, ok := o.choose(w, now)
	if ok && !w.missed && !w.ask.Resumes && w.isLate(c.begin, now) {
		w.missed = true
		o.shares.miss(w.cost)
	}
	if ok && w.rank() < rankLate && w.isLate(c.begin, now) {
		w.late = true
		c, ok = o.choose(w, now)
	}
	if !ok {
		o.refuse(w, c, CodeNoTarget, 0, now)
		return
	}
	if code := o.refusal(w, c, now); code != "" {
		o.refuse(w, c, code, c.wait, now)
		return
	}
	if c.wait > 0 {
		c.target.enqueue(w, c.missing)
		w.reviewedAt = now
		o.waiting++
		return
	}
	o.grant(w, c, now)
}

// isLate reports whether a request is late if it begins after a time.
func (w *work) isLate(begin, now time.Duration) bool {
	return now+begin+margin > w.effective
}

// refusal returns why a request is refused, or "".
func (o *Owner) refusal(w *work, c choice, now time.Duration) string {
	if w.ask.Resumes {
		return ""
	}
	late := w.isLate(c.begin, now)
	if late {
		o.shares.deny(w.ask.Workspace, now)
	}
	beyond := o.shares.beyond(w.ask.Workspace, w.cost)
	switch {
	case beyond && c.wait > 0 && o.shares.overtakes(w.ask.Workspace, w.cost, now):
		return CodeYield
	case beyond && o.shares.outruns(w.ask.Workspace, w.cost, now):
		return CodeYield
	case late && (w.excess > 0 || o.shares.pressed(w.ask.Workspace)):
		return CodeShare
	case late && now+c.begin+margin > w.patience():
		return CodeLate
	}
	return ""
}

// patience returns until when the caller waits for the first event.
func (w *work) patience() time.Duration {
	asked := w.due - w.ask.Allowed // of the caller's first attempt
	return min(w.last, asked+max(lateLeast, lateFactor*w.ask.Allowed))
}

func (o *Owner) refuse(w *work, c choice, code string, wait, now time.Duration) {
	delete(o.works, w.key)
	if !w.ask.Resumes {
		o.repeats.note(ownPart(w.ask.Prompt), w.due, now)
	}
	if code == CodeYield {
		wait = o.shares.window / shareSlots
	}
	d := o.decision(w, c)
	d.Code, d.RetryAfter = code, min(max(wait, adviceLeast), adviceMost)
	o.out = append(o.out, d)
}

func (o *Owner) grant(w *work, c choice, now time.Duration) {
	c.target.start(w, now)
	if !w.ask.Resumes {
		o.shares.begin(w.ask.Workspace, w.cost)
	}
	d := o.decision(w, c)
	d.Target, d.Wait = c.target.info.ID, now-w.askedAt
	o.out = append(o.out, d)
}

func (o *Owner) decision(w *work, c choice) Decision {
	return Decision{
		Key: w.key, Excess: w.excess, Pass: o.shares.passShare(w.ask.Workspace), Wait: c.wait, Missing: c.missing, Least: c.least, LeastWait: c.leastWait,
	}
}

// unplan removes a waiting request from its plan.
func (o *Owner) unplan(w *work) {
	if w.planned != nil {
		w.planned.leave(w)
		o.waiting--
	}
}

// serve starts the requests that wait for a target as far as it has room, by rank.
func (o *Owner) serve(t *target, now time.Duration) {
	o.outdate(t, now)
	for len(t.plan) > 0 {
		w := slices.MinFunc(t.plan, before)
		if !t.free(w, o.startLimit(t, now), now) {
			return
		}
		o.unplan(w)
		c := o.assess(t, w, t.held.missing(w.ask.Prompt), now)
		c.wait, c.least = 0, c.missing
		if !w.ask.Resumes {
			w.excess = o.shares.excess(w.ask.Workspace, w.cost)
		}
		if code := o.refusal(w, c, now); code != "" {
			o.refuse(w, c, code, 0, now)
			continue
		}
		o.grant(w, c, now)
	}
}

// outdate gives the requests that have waited for too long to be in time on a target
// their rank.
func (o *Owner) outdate(t *target, now time.Duration) {
	for _, w := range t.plan {
		begin := t.readTime(float64(w.plannedMissing)) + baseTime
		if w.plannedRank < rankLate && !w.ask.Resumes && w.isLate(begin, now) {
			w.late = true
			t.rerank(w)
		}
	}
}

// before orders waiting requests by rank, and within a rank by due time; those beyond
// their share by how far they exceed it.
func before(a, b *work) int {
	if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.excess, b.excess); c != 0 {
		return c
	}
	return cmp.Compare(a.due, b.due)
}

// review places anew the requests that wait for a target and have become late
// there, or are better off elsewhere.
func (o *Owner) review(t *target, now time.Duration) {
	for _, w := range slices.Clone(t.plan) {
		interval := reviewInterval
		if w.late {
			interval = lateReviewInterval
		}
		if w.planned != t || now-w.reviewedAt < interval {
			continue
		}
		w.reviewedAt = now
		if !w.late && !w.isLate(o.assess(t, w, t.held.missing(w.ask.Prompt), now).begin, now) {
			continue
		}
		o.unplan(w)
		o.decide(w, now)
	}
}

// replan places anew all requests that wait for a target.
func (o *Owner) replan(t *target, now time.Duration) {
	for _, w := range slices.Clone(t.plan) {
		o.unplan(w)
		o.decide(w, now)
	}
}
