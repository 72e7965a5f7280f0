package placement

import (
	"github.com/matryer/is"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against choose skipping the best target: compares it with a scan of all targets, for
// random loads, prompts, and targets that fail or leave.
func TestChooseMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSlotSim(rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "fetch") {
			s.enableFetch()
		}
		generateSlotMix(s, "w", rapid.Float64Range(0.1, 2).Draw(t, "factor"), 0, second)
		s.run(second)
		for i := range 5 {
			s.view.Targets[i].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		s.owner.SetView(s.view, s.now)
		for _, tg := range s.owner.sortedTargets {
			if rapid.IntRange(0, 9).Draw(t, "suspect") == 0 {
				tg.health.suspectUntil = s.now + second
			}
		}
		req := Request{Service: "m", Workspace: "w", PromptTokens: 3000, OutputTokens: rapid.IntRange(1, 400).Draw(t, "output"),
			Objective: time.Duration(rapid.IntRange(50, 800).Draw(t, "ms")) * time.Millisecond, Deadline: 10 * second, RouteObjective: second}
		req.Prompt = []Part{{ID: hashPart("compare", rapid.IntRange(0, 60).Draw(t, "part")), Tokens: 2000}, {ID: 1, Tokens: 1000}}
		if rapid.Bool().Draw(t, "alone") {
			req.Prompt = req.Prompt[1:]
		}
		w := newWork(Key{"x", 1}, req, s.now)
		w.effectiveObjectiveAt, w.predictedMiss = w.objectiveAt, rapid.Bool().Draw(t, "late")
		w.overShare, w.overloaded = rapid.Bool().Draw(t, "overShare"), rapid.Bool().Draw(t, "overloaded")
		got, rested := s.owner.choose(w, s.now)
		var want candidate
		wantIdle, wantRested := false, false
		for _, tg := range s.owner.sortedTargets {
			if !s.owner.inService(tg) {
				continue
			}
			c := s.owner.predict(tg, w, tg.cache.uncachedTokens(req.Prompt), s.now)
			if tg == s.owner.affinityTarget(w) {
				c.score -= affinityBonus
			}
			wantRested = wantRested || w.overloaded && c.wait == 0 && c.score < suspectPenalty && s.owner.hasRested(tg, c.uncached, s.now)
			wantIdle = wantIdle || w.overShare && s.owner.isIdle(tg, s.now)
			if want.target == nil || c.score < want.score {
				want = c
			}
		}
		if got.target == nil || got.target != want.target || got.score != want.score || got.uncached != want.uncached || got.fetch != want.fetch {
			t.Fatalf("chose %s with score %v, want %s with score %v", got.target.info.ID, got.score, want.target.info.ID, want.score)
		}
		if (rested.target != nil) != wantRested || rested.wait != 0 {
			t.Fatalf("rested target found: %v with wait %v, want one: %v", rested.target != nil, rested.wait, wantRested)
		}
		if got.idleTarget != wantIdle {
			t.Fatalf("idle target found: %v, want %v", got.idleTarget, wantIdle)
		}
		// The index lists only current targets that have cached the part.
		for id, all := range s.owner.cacheIndex {
			for tg := range all {
				if tg.cache.byID[id] == nil || s.owner.targets[tg.info.ID] != tg {
					t.Fatalf("the index lists %s for part %d, which the target has not cached", tg.info.ID, id)
				}
			}
		}
	})
}

// Guards against an affinity target that is kept although it no longer accepts requests, or another one is
// preferred since.
func TestAffinityTargetFollowsTheTargets(t *testing.T) {
	is := is.New(t)
	o := newIntakeOwner(8)
	_, r := askOf("w", 1)
	r.Prompt = []Part{{ID: 77, Tokens: 50}, {ID: 1, Tokens: 50}}
	affinity := func() *target { return o.affinityTarget(newWork(Key{"e", 1}, r, 0)) }
	fresh := func() *target { clear(o.affinity); return affinity() }
	first := affinity()
	is.Equal(affinity(), fresh())
	o.RecordNotice(TargetNotice{Target: first.info.ID, StartedUnixMs: first.info.StartedUnixMs, Leaving: true}, 0)
	second := affinity()
	is.True(second != first)
	is.Equal(second, fresh())
	v := o.view
	v.Targets = v.Targets[:1]
	o.SetView(v, 0)
	is.Equal(affinity(), fresh())
}
