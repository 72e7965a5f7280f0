package placement

import (
	"slices"
	"time"
)

// Bounds and weights of the choice of a target.
const (
	// ahead is the reading time that may already wait on a target when another
	// request is sent to it. It covers the way of a message to the owner and back;
	// what waits longer waits here, where it can still be put in order.
	ahead = 60 * time.Millisecond
	// rereadWeight is what reading a part that another target keeps costs, as a
	// multiple of its time: the target could serve another request meanwhile.
	rereadWeight = 3.0
	// homeBonus is what the usual target of a prompt saves if no target keeps it,
	// so that owners that follow each other choose alike.
	homeBonus = 10 * time.Millisecond
	// farCost is what a target in another data centre than the caller's entry costs.
	farCost = 4 * time.Millisecond
	// crowdCost is what each running request on a target costs: it slows the others.
	crowdCost = 500 * time.Microsecond
	// failCost is what a target that always fails costs.
	failCost = 400 * time.Millisecond
	// latePenalty makes a target on which a request is on time better than any on
	// which it is not.
	latePenalty = 5 * time.Second
	// suspectPenalty keeps targets that failed lately, or that the request has
	// tried, for requests that have no other.
	suspectPenalty = time.Minute
	// longFactor is the multiple of its own reading time within which a prompt that
	// cannot be read within the objective counts as on time, so that the longest
	// requests are served, too.
	longFactor = 1.6
	// startShare is the part of the bound on starts of a cold target that is used:
	// starts are counted here when they are granted, and at the target later. On the
	// Quito site a target got at most one more in a second than was granted.
	startShare = 0.92
	// coldShare is the part of its own rate that a target known to be cold gets.
	coldShare = 0.8
	// margin is left of the objective for the way of the answer to the caller.
	margin = 15 * time.Millisecond
)

// choice is a target for a request.
type choice struct {
	target  *target
	wait    time.Duration // until it has room
	begin   time.Duration // until the first event
	score   time.Duration // the least is the best
	missing int           // prompt tokens to read

	// least and leastWait describe the target that must read least.
	least     int
	leastWait time.Duration
}

// lookMost is the number of targets that keep no part of a prompt at which one choice
// looks. The next choice begins where this one has ended.
const lookMost = 256

// choose returns the best target for a request: the one with the least time until
// the first event and the least work that others must wait for.
//
// Few targets keep a part of a prompt. These are looked at first; of the others, which
// must read the whole prompt, only those that may be better by their backlog alone. The
// cost of a choice does not grow with the number of targets beyond lookMost.
func (o *Owner) choose(w *work, now time.Duration) (choice, bool) {
	var best choice
	least, leastWait := -1, time.Duration(0)
	consider := func(t *target, missing int) choice {
		c := o.assess(t, w, missing, now)
		if least < 0 || missing < least || (missing == least && c.wait < leastWait) {
			least, leastWait = missing, c.wait
		}
		return c
	}
	take := func(c choice) {
		if best.target == nil || c.score < best.score || (c.score == best.score && c.target.info.ID < best.target.info.ID) {
			best = c
		}
	}
	home := o.home(w)
	if home != nil {
		c := consider(home, home.held.missing(w.ask.Prompt))
		c.score -= homeBonus
		take(c)
	}
	var keepers map[*target]struct{}
	if len(w.ask.Prompt) > 1 {
		keepers = o.keepers[w.ask.Prompt[0].ID]
	}
	for t := range keepers {
		if t != home && t.info.Service == w.ask.Service && o.inService(t) {
			take(consider(t, t.held.missing(w.ask.Prompt)))
		}
	}
	whole := 0
	for _, p := range w.ask.Prompt {
		whole += p.Tokens
	}
	others := o.usable[w.ask.Service]
	for i := range min(len(others), lookMost) {
		t := others[(o.next+i)%len(others)]
		if _, keeps := keepers[t]; keeps || t == home {
			continue
		}
		missing := whole
		if len(w.ask.Prompt) == 1 {
			missing = t.held.missing(w.ask.Prompt)
		}
		if best.target == nil || o.atLeast(t, w, missing, now) <= best.score {
			take(consider(t, missing))
		}
	}
	if len(others) > lookMost {
		o.next = (o.next + lookMost) % len(others)
	}
	best.least, best.leastWait = least, leastWait
	return best, best.target != nil
}

// atLeast returns a lower bound of the score of a request on a target.
func (o *Owner) atLeast(t *target, w *work, missing int, now time.Duration) time.Duration {
	read := t.readTime(float64(missing))
	begin := t.backlog(now) + read + baseTime
	score := begin + time.Duration(rereadWeight*float64(read)) + time.Duration(len(t.running))*crowdCost
	if w.isLate(begin, now) {
		score += latePenalty
	}
	if t.health.until > now {
		score += suspectPenalty
	}
	return score
}

// assess predicts a request's time on a target that must read so many tokens.
func (o *Owner) assess(t *target, w *work, missing int, now time.Duration) choice {
	c := choice{target: t, missing: missing}
	first := t.before(w)
	queue := t.backlog(now) + t.readTime(float64(first.tokens))
	c.wait = max(0, queue-ahead)
	if !t.room(w, missing) || t.freeSlots() <= first.requests {
		c.wait = max(c.wait, t.roomTime(first.requests, o.runTime(t.info.Service)))
	}
	c.wait = max(c.wait, t.startTime(o.startLimit(t, now), first.requests, now))
	read := t.readTime(float64(c.missing))
	c.begin = max(queue, c.wait) + read + baseTime
	c.score = c.begin + time.Duration(rereadWeight*float64(read)) + time.Duration(len(t.running))*crowdCost +
		time.Duration(t.health.failures*float64(failCost))
	if t.info.DataCentre != w.ask.DataCentre {
		c.score += farCost
	}
	if w.isLate(c.begin, now) {
		c.score += latePenalty
	}
	if t.health.until > now || slices.Contains(w.ask.Tried, t.info.ID) {
		c.score += suspectPenalty
	}
	return c
}

// startLimit bounds the starts a second on a target. One that is warm may turn
// cold at any moment, and the list tells it late, so the bound for cold targets
// holds always, but for what a cold target takes beyond its rate.
func (o *Owner) startLimit(t *target, now time.Duration) float64 {
	s := o.view.Services[t.info.Service]
	if s == nil || s.ColdPerSecond <= 0 {
		return 0
	}
	if t.info.ColdUntil > now {
		return s.ColdPerSecond * coldShare
	}
	return (s.ColdPerSecond*o.cfg.ColdOverage + o.cfg.ColdSlack) * startShare
}

// home returns the target on which the shared parts of a prompt are read first.
func (o *Owner) home(w *work) *target {
	all := o.usable[w.ask.Service]
	i := homeAmong(HomePart(w.ask.Prompt), len(all), func(i int) (uint64, bool) { return all[i].hash, true })
	if i < 0 {
		return nil
	}
	return all[i]
}

// homeAmong returns which of n targets is the home of a part: the one with the highest
// hash of part and target, so that all who know the same targets choose alike. The
// function tells the hash of a target's name, and whether the target may be used. -1 = none.
func homeAmong(part PartID, n int, target func(i int) (hash uint64, usable bool)) int {
	best, highest := -1, uint64(0)
	if part == 0 {
		return best
	}
	for i := range n {
		hash, usable := target(i)
		if !usable {
			continue
		}
		if h := mix(uint64(part), hash); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}

// HomePart returns the part by which a prompt's usual target is chosen: the last
// one that it shares with other requests. 0 = none.
func HomePart(prompt []Part) PartID {
	if len(prompt) < 2 {
		return 0
	}
	return prompt[len(prompt)-2].ID
}

// hashName returns the FNV-1a hash of a target's name.
func hashName(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

// mix combines the hashes of a part and a target.
func mix(part, target uint64) uint64 {
	h := part*0x9e3779b97f4a7c15 ^ target
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
