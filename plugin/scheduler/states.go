package scheduler

import (
	"nutmegrouter/internal/api"
)

// loadState is what a target's newest load report said.
type loadState struct {
	warmth api.Warmth
	boot   uint64
}

// States implements api.TargetStates. The slice is a copy that the caller may
// change.
func (s *Scheduler) States(pool string) []api.TargetState {
	published := s.states.Load()
	if published == nil {
		return nil
	}
	return append([]api.TargetState(nil), (*published)[pool]...)
}

// publishStates makes a snapshot of the targets of the owned pools.
func (s *Scheduler) publishStates() {
	out := make(map[string][]api.TargetState, len(s.runs))
	if v := s.fleet.View(); v.Config != nil {
		for _, t := range v.Config.Targets {
			r := s.runs[t.Pool]
			if r == nil {
				continue
			}
			load := r.loads[t.Name]
			out[t.Pool] = append(out[t.Pool], api.TargetState{
				Target: t, Warmth: load.warmth, Boot: load.boot,
				Leaving: s.leaving[t.Name], Out: v.Out[t.DataCentre],
			})
		}
	}
	s.states.Store(&out)
}
