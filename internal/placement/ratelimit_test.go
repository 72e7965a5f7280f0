package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
)

// mostIn returns the largest number of times within a window.
func mostIn(times []time.Duration, window time.Duration) (most int) {
	slices.Sort(times)
	from := 0
	for i, t := range times {
		for t-times[from] >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// allowedIn is what a target with a rate limit takes in 4 s, by the users' rules.
func allowedIn4s(perSecond float64) int { return int(1.5*4*perSecond + 5) }

func limitNoticeOf(target string, perSecond float64, ago time.Duration) TargetNotice {
	return TargetNotice{Target: target, Limit: LimitNotice{Stated: true, Limited: true, PerSecond: perSecond, StatedAgo: ago}}
}

// Guards against an account that lets more pass than its rate and one burst in some window, or keeps
// back what the rate allows.
func TestRateAccountKeepsToRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 50).Draw(t, "rate")
		a := rateAccount{perSecond: rate, countedAt: 0}
		now := time.Duration(0)
		var sent []time.Duration
		for range 300 {
			now += time.Duration(rapid.Float64Range(0, 2/rate).Draw(t, "gap") * float64(time.Second))
			wait := a.wait(0, now)
			if wait > 0 && rapid.Bool().Draw(t, "waits") {
				now += wait
				wait = a.wait(0, now)
			}
			if wait == 0 {
				a.take(now)
				sent = append(sent, now)
			}
		}
		for _, window := range []time.Duration{time.Second, 4 * time.Second, 20 * time.Second} {
			if most, allowed := mostIn(sent, window), rate*window.Seconds()+max(1, rate*limitBurstTime.Seconds())+1; float64(most) > allowed {
				t.Fatalf("%d sent in %v at %v a second, allowed %v", most, window, rate, allowed)
			}
		}
	})
}

// Guards against an owner that sends a target more than it has named, by grants from the queue,
// retries, or idle targets that are preferred, and against one that leaves the rest of the limit unused
// or never uses the target again.
func TestOwnerKeepsToRateLimits(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		s := newSim(seed, 6, 64, 400_000, 60_000)
		s.retries = true
		s.tick()
		s.generate(workload{workspace: "w", kind: "k", perSecond: 90, uniqueTokens: 300, sharedTokens: 300, sharedParts: 5, output: 20, objective: second, last: 6 * second}, 0, 40*second)
		limits := map[string]float64{"e00": 4.4, "e01": 2, "e02": 0.7, "e03": 0}
		for id, perSecond := range limits {
			s.after(5*second, func() { s.owner.RecordNotice(limitNoticeOf(id, perSecond, 0), s.now) })
			s.after(25*second, func() {
				s.owner.RecordNotice(TargetNotice{Target: id, Limit: LimitNotice{Stated: true}}, s.now)
			})
		}
		s.run(45 * second)
		sent := map[string][]time.Duration{}
		for _, c := range s.calls {
			if c.target != "" && c.sentAt > 5*second && c.sentAt < 25*second {
				sent[c.target] = append(sent[c.target], c.sentAt)
			}
		}
		for id, perSecond := range limits {
			if most := mostIn(sent[id], 4*second); most > allowedIn4s(perSecond) {
				t.Errorf("seed %d: %s got %d requests in 4 s, allowed %d", seed, id, most, allowedIn4s(perSecond))
			}
			is.True(len(sent[id]) >= int(0.8*20*perSecond)) // its room is used
			is.True(s.engines[id].maxStarts > 6)            // it is used in full again
		}
		is.True(len(sent["e03"]) > 0) // only its answers tell that the limit has ended
	}
}

// Guards against a new owner that grants a whole burst at once beside what the former one has granted,
// and against one that takes an older report for the present limit.
func TestNewOwnerKeepsToRateLimit(t *testing.T) {
	is := is.New(t)
	var sent []time.Duration
	now := time.Duration(0)
	for term := range 6 {
		s := newSim(uint64(term), 1, 64, 400_000, 1e6)
		for _, n := range []TargetNotice{limitNoticeOf("e00", 3, 2*second), limitNoticeOf("e00", 40, 8*second)} {
			s.owner.RecordNotice(n, now)
		}
		for n := range uint64(200) {
			now += 5 * time.Millisecond
			s.owner.Submit(Key{"n", n}, Request{Service: "m", Workspace: "w", PromptTokens: 10, Prompt: []Part{{PartID(n), 10}},
				Objective: second, RouteObjective: second, Deadline: 4 * second}, now)
			s.owner.Tick(now)
			for _, d := range s.owner.Decisions() {
				if d.Target != "" {
					is.True(d.Metered)
					sent = append(sent, now)
				}
			}
		}
	}
	is.True(mostIn(sent, 4*second) <= allowedIn4s(3))
	is.True(len(sent) > 6)
}

// Guards against a limit that an answer to an earlier request ends, one that outlives its target or
// holds for another, and one that a statement which arrives late brings back.
func TestLimitFollowsNewestStatement(t *testing.T) {
	is := is.New(t)
	n, x := NewNotices(), api.Target{ID: "e00"}
	named := api.RateLimit{Limited: true, PerSecond: 4}
	_, isNew, due := n.RecordLimit(&x, named, second, 2*second)
	is.True(isNew && due)
	_, isNew, due = n.RecordLimit(&x, named, 2*second, 2*second+100*time.Millisecond)
	is.True(!isNew && !due)
	_, isNew, due = n.RecordLimit(&x, named, 2*second, 2*second+600*time.Millisecond)
	is.True(!isNew && due) // the owner sees that it still holds
	n.RecordLimit(&x, api.RateLimit{}, second, 3*second)
	n.RecordLimit(&x, api.RateLimit{Unknown: true}, 3*second, 4*second)
	is.True(n.Limited(&x))
	is.True(!n.Limited(&api.Target{ID: "e00", StartedUnixMs: 1}))
	ended, isNew, due := n.RecordLimit(&x, api.RateLimit{}, 3*second, 4*second)
	is.True(isNew && due && !ended.Limit.Limited)
	is.Equal(ended.Limit.StatedAgo, second) // the request was sent a second ago
	is.True(!n.Limited(&x))

	o := newSim(1, 1, 4, 1000, 1000).owner
	o.RecordNotice(limitNoticeOf("e00", 4, 0), 2*second)
	o.RecordNotice(ended, 2*second+500*time.Millisecond) // sent before
	is.Equal(len(o.Limits(3*second)), 1)
	o.RecordNotice(TargetNotice{Target: "e00", StartedUnixMs: 7, Limit: LimitNotice{Stated: true}}, 3*second)
	is.Equal(len(o.Limits(3*second)), 1)
	o.RecordNotice(ended, 4*second)
	is.Equal(len(o.Limits(4*second)), 0)
	o.ChangedLimits(4 * second)
	o.RecordNotice(limitNoticeOf("e00", 4, 2*second), 4*second) // of before the end
	is.Equal(len(o.Limits(4*second)), 0)
	changed := o.ChangedLimits(4 * second)
	is.Equal(len(changed), 1) // the instance that reported it is told
	is.True(!changed[0].Limit.Limited)

	fresh := NewNotices()
	fresh.MergeLimit(limitNoticeOf("e00", 9, 5*second), second) // stated before this process started
	is.True(fresh.Limited(&x))
	n.MergeLimit(limitNoticeOf("e00", 9, 2*second), 4*second) // older than what this instance has seen
	is.True(!n.Limited(&x))
	n.MergeLimit(limitNoticeOf("e00", 9, 0), 5*second)
	is.True(n.Limited(&x))
	n.Retain(nil)
	is.Equal(n.numLimited, 0)
}

// Guards against entry instances that lose the owner at the same moment and together send a target far
// more than their part of its limit.
func TestLocalSharesAddUp(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{8, 300} {
		rng := rand.New(rand.NewPCG(uint64(instances), 1))
		x := api.Target{ID: "e00"}
		var all []*Notices
		for range instances {
			n := NewNotices()
			n.MergeLimit(limitNoticeOf("e00", 4, 0), 0)
			all = append(all, n)
		}
		var sent []time.Duration
		for now := time.Duration(0); now < 400*second; now += 250 * time.Millisecond {
			for _, n := range all {
				if _, ok := n.TakeShare(&x, instances, rng.Float64(), now); ok {
					sent = append(sent, now)
				}
			}
		}
		is.True(mostIn(sent, 4*second) <= 2*4+5) // half of the limit and the slack: the owner may grant all of it to others
		is.True(len(sent) > 0)
		now := 500 * second
		for _, n := range all {
			_, ok := n.TakeShare(&x, instances, rng.Float64(), now)
			is.True(!ok) // nothing is saved while an owner responds
		}
	}
}

// Guards against plain requests that exceed the limits of their targets in sum, that wait or are
// refused while one has room, and against refused callers that are told to return together.
func TestPlainRequestsKeepToRateLimits(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 1, 4, 1000, 1000)
	for id, perSecond := range map[string]float64{"p0": 4, "p1": 2} {
		s.view.Targets = append(s.view.Targets, api.Target{ID: id, Service: "plain"})
		s.owner.SetView(s.view, 0)
		s.owner.RecordNotice(limitNoticeOf(id, perSecond, 0), 0)
	}
	sent, advice, refused := map[string][]time.Duration{}, map[time.Duration]bool{}, 0
	now := time.Duration(0)
	for n := range uint64(600) {
		now += 33 * time.Millisecond
		s.owner.Submit(Key{fmt.Sprint("n", n%7), n}, Request{Service: "plain", Plain: true, Candidates: []string{"p0", "p1"}, Deadline: second}, now)
		decisions := s.owner.Decisions()
		is.Equal(len(decisions), 1) // at once
		if d := decisions[0]; d.Target != "" {
			is.True(d.Metered)
			sent[d.Target] = append(sent[d.Target], now)
		} else {
			is.Equal(d.Code, CodeLimitReached)
			is.True(d.RetryAfter >= minRetryAfter && d.RetryAfter <= maxRetryAfter)
			refused++
			if now < 2*second {
				advice[d.RetryAfter] = true
			}
		}
	}
	is.True(mostIn(sent["p0"], 4*second) <= 4*4+2)
	is.True(mostIn(sent["p1"], 4*second) <= 2*4+1)
	is.True(len(sent["p0"])+len(sent["p1"]) >= int(0.9*6*now.Seconds()))
	is.True(len(advice) > 10)
	s.owner.Submit(Key{"n0", 1000}, Request{Service: "plain", Plain: true, Candidates: []string{"unknown"}, Deadline: second}, now)
	is.True(!s.owner.Decisions()[0].Metered) // the entry instance must report the limit first
}

// Guards against a choice that passes over a target with room for one with a limit, or that takes one
// with a limit for free of it.
func TestLocalChoiceKeepsLimitedTargetsApart(t *testing.T) {
	is := is.New(t)
	l, n := NewLocal("z"), NewNotices()
	q := Query{Service: "s", Notices: n}
	for i := range 20 {
		q.Targets = append(q.Targets, api.Target{ID: fmt.Sprint("t", i), Service: "s", DataCentre: "z"})
	}
	is.Equal(len(l.ChooseLimited(q)), 0)
	for i := range 19 {
		n.MergeLimit(limitNoticeOf(fmt.Sprint("t", i), 2, 0), 0)
		l.Start(q.Targets[i])
	}
	for i := range 3 {
		l.End(q.Targets[i], api.AttemptServed, 0, 0)
	}
	got, ok := l.Choose(q)
	is.True(ok)
	is.Equal(got.ID, "t19")
	limited := l.ChooseLimited(q)
	is.Equal(len(limited), maxCandidates)
	for i, x := range limited {
		is.Equal(slices.Contains([]string{"t0", "t1", "t2"}, x.ID), i < 3) // the least loaded first
	}
	is.True(!l.PrefersLimited(limited[0], got, q))
	l.Start(got)
	l.Start(got)
	is.True(l.PrefersLimited(limited[0], got, q)) // its room is used when the others are busy
}

// Guards against records that grow with what targets say in place of their number, and against messages
// for each answer.
func TestLimitsOfManyTargetsStayBounded(t *testing.T) {
	is := is.New(t)
	const targets = 12_000
	s, n := newSim(1, 0, 4, 1000, 1000), NewNotices()
	for i := range targets {
		s.view.Targets = append(s.view.Targets, api.Target{ID: fmt.Sprint("p", i), Service: "plain"})
	}
	s.owner.SetView(s.view, 0)
	reports := 0
	for round := range 4 {
		now := time.Duration(round) * 100 * time.Millisecond
		for i := range s.view.Targets {
			notice, _, due := n.RecordLimit(&s.view.Targets[i], api.RateLimit{Limited: true, PerSecond: 2 + 0.01*float64(round)}, 0, now)
			if due {
				reports++
				s.owner.RecordNotice(notice, now)
			}
		}
	}
	is.Equal(reports, targets)
	is.Equal(len(s.owner.ChangedLimits(second)), targets)
	is.Equal(len(s.owner.ChangedLimits(second)), 0)
	s.view.Targets = s.view.Targets[:10]
	s.owner.SetView(s.view, second)
	n.Retain(s.view.Targets)
	is.Equal(len(s.owner.limits), 10)
	is.Equal(n.numLimited, 10)
	is.Equal(len(n.byTarget), 10)
}
