package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a choice that looks at fewer targets and misses the best one: against a
// look at all of them, for random loads, prompts and targets that fail or leave.
func TestChoiceIsTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := slotFleet(rapid.Uint64().Draw(t, "seed"))
		slotMix(s, "w", rapid.Float64Range(0.1, 2).Draw(t, "factor"), 0, second)
		s.run(second)
		for i := range 5 {
			s.view.Targets[i].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		s.owner.SetView(s.view, s.now)
		for _, tg := range s.owner.byName {
			if rapid.IntRange(0, 9).Draw(t, "suspect") == 0 {
				tg.health.until = s.now + second
			}
		}
		a := Ask{Service: "m", Workspace: "w", PromptTokens: 3000, OutputTokens: rapid.IntRange(1, 400).Draw(t, "output"),
			Objective: time.Duration(rapid.IntRange(50, 800).Draw(t, "ms")) * time.Millisecond, Last: 10 * second, Allowed: second}
		a.Prompt = []Part{{ID: hashPart("compare", rapid.IntRange(0, 60).Draw(t, "thing")), Tokens: 2000}, {ID: 1, Tokens: 1000}}
		if rapid.Bool().Draw(t, "alone") {
			a.Prompt = a.Prompt[1:]
		}
		w := newWork(Key{"x", 1}, a, s.now)
		w.effective, w.late = w.due, rapid.Bool().Draw(t, "late")
		got, ok := s.owner.choose(w, s.now)
		var want choice
		for _, tg := range s.owner.byName {
			if !s.owner.inService(tg) {
				continue
			}
			c := s.owner.assess(tg, w, tg.held.missing(a.Prompt), s.now)
			if tg == s.owner.home(w) {
				c.score -= homeBonus
			}
			if want.target == nil || c.score < want.score {
				want = c
			}
		}
		if !ok || got.target != want.target || got.score != want.score || got.missing != want.missing {
			t.Fatalf("%s at %v, the best is %s at %v", got.target.info.ID, got.score, want.target.info.ID, want.score)
		}
		// What is kept is known by its targets alone.
		for id, all := range s.owner.keepers {
			for tg := range all {
				if tg.held.byID[id] == nil || s.owner.targets[tg.info.ID] != tg {
					t.Fatalf("%s does not keep %d", tg.info.ID, id)
				}
			}
		}
	})
}
