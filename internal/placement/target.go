package placement

import (
	"slices"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// Assumptions about engines until their answers have been seen. The rates adapt
// to what each target shows.
const (
	firstRate    = 35.0                   // prompt tokens read in a millisecond, beside running requests
	leastRate    = 1.0                    // lower bound of the learned rate
	baseTime     = 30 * time.Millisecond  // from the request to the first event without a prompt
	rateWeight   = 0.15                   // share of the newest observation in a rate
	leastSample  = 400                    // prompt tokens from which an answer tells the rate
	stuckFactor  = 2.5                    // multiple of the expected time after which the first request counts as stuck
	stuckMargin  = 250 * time.Millisecond // added to it
	headShare    = 0.95                   // most of the first request's prompt that counts as read before its answer
	startsWindow = time.Second            // over which the bound on starts of a cold target holds
	usualRun     = 2 * time.Second        // time of a request on a target until some have ended
	runWeight    = 0.02                   // share of the newest run in the mean time of a service's requests
)

// work is one request of an entry instance that waits or runs.
type work struct {
	key     Key
	ask     Ask
	cost    float64       // tokens of the share: read once, generated twice
	askedAt time.Duration // owner's clock
	due     time.Duration // when the first event is on time
	last    time.Duration // when it is of no use any more
	// effective is due, or later for a prompt that cannot be read until then.
	effective time.Duration
	excess    float64 // by how much its workspace exceeds the share
	pressed   bool    // its workspace asks for more than its share
	missed    bool    // it has counted as one that no target could begin in time
	late      bool    // it was predicted to be late when it was last looked at

	planned        *target // for which it waits; nil otherwise
	plannedMissing int     // prompt tokens that it would read there
	plannedRank    rank    // its rank when the wait began
	reviewedAt     time.Duration

	target  *target // on which it runs; nil while it waits
	missing int     // prompt tokens that the target must read
	sentAt  time.Duration
	began   bool
	passed  bool // a later request on the target began before it
}

func newWork(k Key, a Ask, now time.Duration) *work {
	return &work{
		key: k, ask: a, askedAt: now, due: now + a.Objective, last: now + a.Last,
		cost: float64(a.PromptTokens) + 2*float64(a.OutputTokens),
	}
}

// rank orders waiting requests: all of a lower rank go first.
type rank int

const (
	rankResumes rank = iota // a stream that goes on
	rankInTime              // within its workspace's share, and can be in time
	rankPressed             // the same, but its workspace asks for more than its share
	rankLate                // within its workspace's share, and late
	rankBeyond              // beyond its workspace's share
	ranks
)

func (w *work) rank() rank {
	switch {
	case w.ask.Resumes:
		return rankResumes
	case w.excess > 0:
		return rankBeyond
	case w.late:
		return rankLate
	case w.pressed:
		return rankPressed
	}
	return rankInTime
}

// target is the owner's model of one target.
type target struct {
	info   api.Target
	hash   uint64 // of its ID
	engine routing.Engine

	running map[Key]*work
	queue   []*work // not begun, oldest first
	outputs int     // tokens that the running requests generate
	held    *held
	rate    float64 // prompt tokens a millisecond
	beganAt time.Duration
	starts  []time.Duration // newest starts, oldest first
	health  health
	plan    []*work        // requests that wait for this target
	planned [ranks]waiting // counts the waiting requests

	counted   time.Duration // when queued was computed; -1 = it has changed
	queuedFor time.Duration
}

func newTarget(info api.Target, e routing.Engine, k keepers) *target {
	t := &target{
		info: info, hash: hashName(info.ID), engine: e, running: map[Key]*work{},
		held: newHeld(e.CacheTokens), rate: firstRate, counted: -1,
	}
	t.held.keepers, t.held.owner = k, t
	return t
}

// backlog returns the time until the target has read what was sent to it. It is
// asked for each target at each decision, so the answer is kept for a moment.
func (t *target) backlog(now time.Duration) time.Duration {
	const fresh = time.Millisecond
	if t.counted < 0 || now-t.counted >= fresh {
		t.queuedFor, t.counted = t.countBacklog(now), now
	}
	return t.queuedFor
}

func (t *target) changed() { t.counted = -1 }

func (t *target) countBacklog(now time.Duration) time.Duration {
	tokens, first := 0.0, true
	var stuck time.Duration
	for _, w := range t.queue {
		if w.passed {
			continue
		}
		n := float64(w.missing)
		if first {
			first = false
			elapsed := now - max(w.sentAt, t.beganAt)
			expected := t.readTime(n) + baseTime
			n -= min(headShare*n, elapsed.Seconds()*1e3*t.rate)
			if limit := time.Duration(stuckFactor*float64(expected)) + stuckMargin; elapsed > limit {
				stuck = elapsed - limit
			}
		}
		tokens += n
	}
	return t.readTime(tokens) + stuck
}

func (t *target) readTime(tokens float64) time.Duration {
	return time.Duration(tokens / t.rate * float64(time.Millisecond))
}

// waiting sums up requests that wait for a target.
type waiting struct{ requests, tokens int }

func (n *waiting) add(requests, tokens int) {
	n.requests, n.tokens = n.requests+requests, n.tokens+tokens
}

// before returns the waiting requests that may come before another one.
func (t *target) before(w *work) waiting {
	var n waiting
	last := w.rank()
	for _, r := range t.planned[:last+1] {
		n.add(r.requests, r.tokens)
	}
	if w.planned == t && w.plannedRank <= last {
		n.add(-1, -w.plannedMissing)
	}
	return n
}

// enqueue has a request wait for the target.
func (t *target) enqueue(w *work, missing int) {
	w.planned, w.plannedMissing, w.plannedRank = t, missing, w.rank()
	t.plan = append(t.plan, w)
	t.planned[w.plannedRank].add(1, missing)
}

// rerank counts a waiting request by its present rank.
func (t *target) rerank(w *work) {
	t.planned[w.plannedRank].add(-1, -w.plannedMissing)
	w.plannedRank = w.rank()
	t.planned[w.plannedRank].add(1, w.plannedMissing)
}

// leave ends the wait of a request.
func (t *target) leave(w *work) {
	if i := slices.Index(t.plan, w); i >= 0 {
		t.plan = slices.Delete(t.plan, i, i+1)
		t.planned[w.plannedRank].add(-1, -w.plannedMissing)
	}
	w.planned = nil
}

// free reports whether the target takes another request now.
func (t *target) free(w *work, startLimit float64, now time.Duration) bool {
	return t.backlog(now) <= ahead && t.room(w, t.held.missing(w.ask.Prompt)) && t.startTime(startLimit, 0, now) == 0
}

// room reports whether the target has a slot and memory for a request that must read so
// many tokens there.
func (t *target) room(w *work, missing int) bool {
	if slots := t.slots(); slots > 0 && len(t.running) >= slots {
		return false
	}
	capacity := t.engine.CacheTokens
	return capacity == 0 || len(t.running) == 0 ||
		t.held.inUse+t.outputs+missing+w.ask.OutputTokens <= capacity
}

func (t *target) slots() int {
	if t.info.Slots > 0 {
		return t.info.Slots
	}
	return t.engine.Slots
}

// freeSlots returns the slots without a request; without a number of slots there is
// always one more.
func (t *target) freeSlots() int {
	if slots := t.slots(); slots > 0 {
		return slots - len(t.running)
	}
	return len(t.plan) + 1
}

// roomTime is a guess of the time until a full target has room for a request that
// comes after others: ends of runs are spread evenly over their usual time.
func (t *target) roomTime(others int, run time.Duration) time.Duration {
	ends := max(1, others+1-max(0, t.freeSlots()))
	return run * time.Duration(ends) / time.Duration(max(1, len(t.running)))
}

// startTime returns the time until one more start, after those of others that wait,
// stays within a number of starts a second; 0 = no bound.
func (t *target) startTime(perSecond float64, others int, now time.Duration) time.Duration {
	for len(t.starts) > 0 && now-t.starts[0] >= startsWindow {
		t.starts = t.starts[1:]
	}
	most := max(1, int(perSecond))
	if perSecond <= 0 {
		return 0
	}
	// The start before which this one must wait is the most-th one before it, a start
	// that was or one of the others.
	i := len(t.starts) + others - most
	rounds := time.Duration(0)
	if n := len(t.starts); n > 0 && i >= n {
		full := (i-n)/most + 1
		i, rounds = i-full*most, time.Duration(full)
	}
	if i < 0 || len(t.starts) == 0 {
		return rounds * startsWindow
	}
	return t.starts[i] + startsWindow*(rounds+1) - now
}

// start puts a request on the target that is sent there now, or was sent before.
func (t *target) start(w *work, sentAt time.Duration) {
	w.target, w.sentAt = t, sentAt
	w.missing = t.held.missing(w.ask.Prompt)
	t.changed()
	t.running[w.key] = w
	t.queue = append(t.queue, w)
	t.outputs += w.ask.OutputTokens
	t.held.take(w.ask.Prompt, t.outputs)
	// Starts before those known come from the report to a new owner. Counted as
	// starts of now, they would close the target for a second.
	i, _ := slices.BinarySearch(t.starts, sentAt)
	t.starts = slices.Insert(t.starts, i, sentAt)
}

// begin notes the first event of a request and learns the rate from it.
func (t *target) begin(w *work, now time.Duration) {
	if w.began {
		return
	}
	w.began = true
	since := max(w.sentAt, t.beganAt)
	behind := t.beganAt > w.sentAt
	t.dequeue(w, true)
	t.beganAt = now
	if w.passed || w.missing < leastSample {
		return
	}
	took := now - since
	if !behind {
		took -= baseTime
	}
	rate := float64(w.missing) / max(1, took.Seconds()*1e3)
	t.rate = max(leastRate, t.rate+rateWeight*(min(rate, 2*t.rate)-t.rate))
}

// dequeue removes a request that has begun or ended. If it has begun, those before
// it do not hold others up: the target does not work on them.
func (t *target) dequeue(w *work, began bool) {
	t.changed()
	for i, q := range t.queue {
		if q != w {
			continue
		}
		if began {
			for _, before := range t.queue[:i] {
				before.passed = true
			}
		}
		t.queue = append(t.queue[:i], t.queue[i+1:]...)
		return
	}
}

// end removes a request.
func (t *target) end(w *work) {
	if t.running[w.key] != w {
		return
	}
	delete(t.running, w.key)
	t.dequeue(w, false)
	t.outputs -= w.ask.OutputTokens
	t.held.release(w.ask.Prompt, t.outputs)
}
