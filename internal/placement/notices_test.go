package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
)

// Guards against a notice that outlives its target, holds for another target, or is forgotten while
// the platform's list still says ready.
func TestNoticesFollowTheIncarnation(t *testing.T) {
	is := is.New(t)
	n := NewNotices()
	old, next := api.Target{ID: "i", StartedUnixMs: 1, Address: "a"}, api.Target{ID: "i", StartedUnixMs: 2, Address: "a"}
	is.True(n.Record(TargetNotice{Target: "i", StartedUnixMs: 1, Leaving: true}, 0))
	is.True(!n.Record(TargetNotice{Target: "i", StartedUnixMs: 1, Leaving: true}, second)) // nothing new to tell
	is.True(n.Leaving(&old))
	is.True(!n.Leaving(&next))
	is.True(!n.Leaving(&api.Target{ID: "j", StartedUnixMs: 1, Address: "a"})) // another target on the same address
	n.Retain([]api.Target{old})
	is.True(n.Leaving(&old))
	n.Retain([]api.Target{next})
	is.Equal(len(n.byTarget), 0)
}

// Guards against a pause that is shortened by a later answer or ends before the time that the target has
// asked for, and one without an end.
func TestPauseIsKeptAndBounded(t *testing.T) {
	is := is.New(t)
	n, x := NewNotices(), api.Target{ID: "i"}
	n.Record(TargetNotice{Target: "i", Pause: 3 * second}, 0)
	n.Record(TargetNotice{Target: "i", Pause: second}, second)
	is.Equal(n.Pause(&x, second), 2*second)
	is.Equal(n.Pause(&x, 3*second), time.Duration(0))
	is.Equal(len(n.List(3*second)), 0)
	n.Record(TargetNotice{Target: "i", Pause: 3 * time.Hour}, 0)
	is.Equal(n.Pause(&x, 0), 3*time.Hour)
	n.Record(TargetNotice{Target: "i", Pause: 1000 * time.Hour}, 0)
	is.Equal(n.Pause(&x, 0), maxPause)
}

// Guards against a local choice of a target that leaves or pauses, and against a Retry-After that
// ends before or long after the first pause.
func TestLocalChoiceHeedsNotices(t *testing.T) {
	is := is.New(t)
	l, n := NewLocal("z"), NewNotices()
	q := Query{Service: "m", Notices: n}
	for i := range 3 {
		q.Targets = append(q.Targets, api.Target{ID: fmt.Sprint("t", i), Service: "m"})
	}
	n.Record(TargetNotice{Target: "t0", Leaving: true, Pause: second}, 0)
	n.Record(TargetNotice{Target: "t1", Pause: 5 * second}, 0)
	for range 10 {
		got, ok := l.Choose(q)
		is.True(ok)
		is.Equal(got.ID, "t2")
		l.Start(got)
	}
	n.Record(TargetNotice{Target: "t2", Pause: 3 * second}, 0)
	_, ok := l.Choose(q)
	is.True(!ok)
	is.Equal(q.PauseEnd(), 3*second) // t0 leaves
}

// Guards against an owner that grants targets which leave or pause although the list says ready,
// that takes a pause for a failure, and that sends all that waits when a pause ends.
func TestOwnerHeedsNotices(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 4, 64, 400_000, 400_000)
	s.tick()
	s.generatePrompts(20, 0, 50, 0, 20*second)
	s.after(5*second, func() { s.owner.RecordNotice(TargetNotice{Target: "e00", Leaving: true}, s.now) })
	s.after(5*second, func() { s.owner.RecordNotice(TargetNotice{Target: "e01", Pause: 5 * second}, s.now) })
	s.after(6*second, func() { s.owner.SetView(s.view, s.now) }) // the list has not changed
	s.run(25 * second)
	sentTo := map[string]int{}
	for _, c := range s.calls {
		switch {
		case c.target == "e00":
			is.True(c.sentAt <= 5*second)
		case c.target == "e01":
			is.True(c.sentAt <= 5*second || c.sentAt >= 10*second)
		}
		if c.sentAt > 10*second {
			sentTo[c.target]++
		}
	}
	is.True(sentTo["e01"] > 0) // it is used again
	is.Equal(s.owner.targets["e01"].health.failureRatio, 0.0)
}

// Guards against requests that wait although no target will take them in time, and against callers
// that return together or before there is room.
func TestAllTargetsPause(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 4, 64, 400_000, 400_000)
	s.tick()
	for id := range s.engines {
		s.owner.RecordNotice(TargetNotice{Target: id, Pause: 20 * second}, 0)
	}
	refused := map[time.Duration]bool{}
	for n := range uint64(50) {
		k := Key{"n0", n + 1}
		s.calls[k] = &call{}
		s.owner.Submit(k, Request{Service: "m", Workspace: "w", PromptTokens: 100, OutputTokens: 10, Prompt: prompt(1, PartID(100+n)),
			Objective: second, Deadline: 10 * second, RouteObjective: second}, 0)
		for _, d := range s.owner.Decisions() {
			is.Equal(d.Target, "")
			is.True(d.RetryAfter >= 20*second && d.RetryAfter <= 30*second)
			refused[d.RetryAfter] = true
		}
	}
	is.True(len(refused) > 40) // at once, each with another time
}

// Guards against callers that are told to stay away for hours because all targets ask for that, and against
// targets that are sent requests before that time.
func TestLongPause(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 2, 64, 400_000, 400_000)
	s.tick()
	for id := range s.engines {
		s.owner.RecordNotice(TargetNotice{Target: id, Pause: 3 * time.Hour}, 0)
	}
	for n, now := range []time.Duration{0, 2 * time.Minute, 2 * time.Hour} {
		k := Key{"n0", uint64(n + 1)}
		s.calls[k] = &call{}
		s.owner.Submit(k, Request{Service: "m", Workspace: "w", PromptTokens: 100, OutputTokens: 10, Prompt: prompt(1, PartID(100+n)),
			Objective: second, Deadline: 10 * second, RouteObjective: second}, now)
		s.owner.Tick(now)
		decisions := s.owner.Decisions()
		is.Equal(len(decisions), 1)
		is.Equal(decisions[0].Target, "")
		is.True(decisions[0].RetryAfter <= 90*second)
	}
}

// Guards against notices that grow with the number of pauses in place of the number of targets.
func TestNoticesStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := NewNotices()
		now := time.Duration(0)
		var listed []api.Target
		for i := range rapid.IntRange(1, 50).Draw(t, "targets") {
			listed = append(listed, api.Target{ID: fmt.Sprint(i), StartedUnixMs: int64(rapid.IntRange(1, 3).Draw(t, "started"))})
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			x := listed[rapid.IntRange(0, len(listed)-1).Draw(t, "target")]
			pause := time.Duration(rapid.IntRange(-1, 100).Draw(t, "pause")) * time.Second
			n.Record(TargetNotice{Target: x.ID, StartedUnixMs: x.StartedUnixMs, Pause: pause}, now)
			if got := n.Pause(&x, now); got > maxPause || (pause > 0 && got < min(pause, maxPause)) {
				t.Fatalf("pause of %v after a notice of %v", got, pause)
			}
		}
		n.Retain(listed)
		if len(n.byTarget) > len(listed) {
			t.Fatalf("%d notices of %d targets", len(n.byTarget), len(listed))
		}
	})
}
