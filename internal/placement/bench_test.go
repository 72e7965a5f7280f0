package placement

import (
	"fmt"
	"nutmegrouter/internal/api"
	"testing"
	"time"
)

// newBusyFleet returns a simulation in which all targets have running requests and cached
// parts.
func newBusyFleet(targets int, configure ...func(*sim)) *sim {
	s := newSim(1, targets, 12, 392_000, float64(targets)*16_000)
	for _, f := range configure {
		f(s)
	}
	for _, e := range s.engines {
		e.speed = 56
	}
	s.tokenPauseMs = 0
	s.tick()
	for i := range 20 {
		generateSlotMix(s, fmt.Sprint("w", i), 0.8*float64(targets)/35/20, 0, 2*second)
	}
	s.run(2 * second)
	return s
}

// Measures one decision of the owner in fleets of different sizes.
func BenchmarkDecide(b *testing.B) {
	for _, targets := range []int{8, 64, 256, 1024} {
		b.Run(fmt.Sprint(targets, " targets"), func(b *testing.B) {
			s := newBusyFleet(targets)
			req := Request{Service: "m", Workspace: "w1", PromptTokens: 12_000, OutputTokens: 378, Objective: 800 * time.Millisecond,
				RouteObjective: 800 * time.Millisecond, Deadline: 12 * second, DataCentre: "z1"}
			b.ResetTimer()
			for i := range b.N {
				req.Prompt = []Part{{ID: hashPart("compare", i%40), Tokens: 5382}, {ID: PartID(i + 1), Tokens: 6610}}
				k := Key{"n0", uint64(1_000_000 + i)}
				s.owner.Submit(k, req, s.now)
				s.owner.End(k, api.AttemptUnsent, s.now)
				s.owner.Decisions()
			}
		})
	}
}

// Measures one decision of the owner with and without fetches, for prompt parts that a few targets have
// cached, and where all targets have cached the first part.
func BenchmarkDecideWithFetch(b *testing.B) {
	for _, targets := range []int{64, 256, 1024} {
		for _, cachedByAll := range []bool{false, true} {
			for _, fetch := range []bool{false, true} {
				b.Run(fmt.Sprintf("%d targets, cached by all %v, fetch %v", targets, cachedByAll, fetch), func(b *testing.B) {
					s := newBusyFleet(targets, func(s *sim) {
						if fetch {
							s.enableFetch()
						}
					})
					first := Part{ID: 77, Tokens: 1000}
					if cachedByAll {
						for _, t := range s.owner.sortedTargets {
							t.cache.pin([]Part{first, {ID: 78, Tokens: 1}}, 0)
							t.cache.markPrefilled([]Part{first})
						}
					}
					now := s.now
					decide := func(i int) {
						now += second / time.Duration(10*targets)
						req := Request{Service: "m", Workspace: "w1", PromptTokens: 12_000, OutputTokens: 378, Objective: 800 * time.Millisecond,
							RouteObjective: 800 * time.Millisecond, Deadline: 12 * second, DataCentre: "z1",
							Prompt: []Part{{ID: hashPart("compare", i%40), Tokens: 5382}, {ID: PartID(i + 1), Tokens: 6610}}}
						if cachedByAll {
							req.Prompt = []Part{first, {ID: hashPart("compare", i%40), Tokens: 4382}, {ID: PartID(i + 1), Tokens: 6610}}
						}
						k := Key{"n0", uint64(1_000_000 + i)}
						s.owner.Submit(k, req, now)
						s.owner.RecordFirstEvent(k, now)
						s.owner.End(k, api.AttemptServed, now)
						s.owner.Decisions()
					}
					for i := range 10 * targets {
						decide(i)
					}
					b.ResetTimer()
					for i := range b.N {
						decide(i)
					}
				})
			}
		}
	}
}

// Measures one decision of an owner whose starts are reported by many entry instances, some of which do
// not acknowledge the owner's messages in time.
func BenchmarkDecideWithFollowers(b *testing.B) {
	const entries = 300
	for _, targets := range []int{64, 256, 1024} {
		for _, late := range []time.Duration{0, 500 * time.Millisecond} {
			b.Run(fmt.Sprintf("%d targets, %s late", targets, late), func(b *testing.B) {
				s := newBusyFleet(targets)
				now := s.now
				heard := func(i int) {
					s.owner.RecordHeard(fmt.Sprint("n", i), true, now-late-5*time.Millisecond, 2*time.Millisecond, now)
				}
				decide := func(i int) {
					req := Request{Service: "m", Workspace: "w1", PromptTokens: 12_000, OutputTokens: 378, Objective: 800 * time.Millisecond,
						RouteObjective: 800 * time.Millisecond, Deadline: 12 * second, DataCentre: "z1",
						Prompt: []Part{{ID: hashPart("compare", i%40), Tokens: 5382}, {ID: PartID(i + 1), Tokens: 6610}}}
					k := Key{fmt.Sprint("n", i%entries), uint64(1_000_000 + i)}
					s.owner.Submit(k, req, now)
					s.owner.RecordFirstEvent(k, now)
					s.owner.End(k, api.AttemptServed, now)
					s.owner.Decisions()
				}
				for i := range entries {
					heard(i)
				}
				perSecond := 10 * targets
				for i := range 2 * perSecond {
					now += second / time.Duration(perSecond)
					heard(i % entries)
					decide(i)
				}
				b.ResetTimer()
				for i := range b.N {
					now += second / time.Duration(perSecond)
					heard(i % entries)
					decide(i)
				}
			})
		}
	}
}
