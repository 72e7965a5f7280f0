package scheduler

import (
	"nutmegrouter/internal/api"
)

// loadState is the warmth and boot number of a target's newest load report.
type loadState struct {
	warmth api.Warmth
	boot   uint64
}

// States implements api.TargetStates. It returns the states of the targets of a pool, at
// most about a second old, or none if this instance does not own the pool. The caller may
// change the slice.
func (s *Scheduler) States(pool string) []api.TargetState {
	published := s.states.Load()
	if published == nil {
		return nil
	}
	return append([]api.TargetState(nil), (*published)[pool]...)
}

// publishStates stores a snapshot of the targets of the owned pools for States.
func (s *Scheduler) publishStates() {
	out := make(map[string][]api.TargetState, len(s.owned))
	if v := s.fleet.View(); v.Config != nil {
		for _, t := range v.Config.Targets {
			op := s.owned[t.Pool]
			if op == nil {
				continue
			}
			load := op.loadStates[t.Name]
			out[t.Pool] = append(out[t.Pool], api.TargetState{
				Target: t, Warmth: load.warmth, BootNumber: load.boot,
				Leaving: s.leaving[t.Name], Out: v.DataCentresOut[t.DataCentre],
			})
		}
	}
	s.states.Store(&out)
}
