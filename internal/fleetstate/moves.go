package fleetstate

import (
	"time"

	"nutmegrouter/fleetconfig"
)

// MoveResult is the result of a step of a planned move.
type MoveResult string

// Results of the steps of a move.
const (
	// MoveNone means that nothing was done: the step is not due or already decided, or the
	// move is not in the document.
	MoveNone    MoveResult = ""
	MoveOut     MoveResult = "out"     // the data centre is out of service
	MoveSkipped MoveResult = "skipped" // not taken out: a pool would have no target left in service
	MoveBack    MoveResult = "back"    // the data centre is back in service
	// MoveEnded means that the move is over. The data centre stays as it is: this move is
	// not the reason if it is out of service.
	MoveEnded MoveResult = "ended"
)

// MoveID returns the identity of a move. A move with another out time is another move.
func MoveID(m fleetconfig.Move) string { return m.Name + "|" + m.DataCentre + "|" + m.OutAt }

// DueMoveSteps returns the steps of planned moves that are due at a Unix time in
// milliseconds, at most one per move.
func (s *State) DueMoveSteps(unixMs int64) []MoveStep {
	if s.config == nil {
		return nil
	}
	var steps []MoveStep
	for _, m := range s.config.Moves {
		id := MoveID(m)
		switch s.dueStep(m, unixMs) {
		case MoveOut:
			steps = append(steps, MoveStep{Move: id, Out: true})
		case MoveBack:
			steps = append(steps, MoveStep{Move: id})
		}
	}
	return steps
}

// dueStep returns MoveOut or MoveBack if that step of the move is due, else MoveNone.
func (s *State) dueStep(m fleetconfig.Move, unixMs int64) MoveResult {
	out, ok := parseMs(m.OutAt)
	if !ok || unixMs < out {
		return MoveNone
	}
	back, hasBack := parseMs(m.BackAt)
	backDue := hasBack && unixMs >= back
	switch s.moves[MoveID(m)] {
	case MoveNone:
		if backDue {
			return MoveBack
		}
		return MoveOut
	case MoveOut, MoveSkipped:
		if backDue {
			return MoveBack
		}
	}
	return MoveNone
}

// parseMs parses an RFC 3339 time and returns it as Unix time in milliseconds.
func parseMs(text string) (int64, bool) {
	t, err := time.Parse(time.RFC3339, text)
	return t.UnixMilli(), err == nil
}

// applyMove applies a step if it is due at the time of the newest log entry.
func (s *State) applyMove(step *MoveStep) MoveResult {
	m, ok := s.findMove(step.Move)
	if !ok {
		return MoveNone
	}
	due := s.dueStep(m, s.nowMs)
	if due == MoveNone || (due == MoveOut) != step.Out {
		return MoveNone
	}
	r := s.moveBack(m, step.Move)
	if step.Out {
		r = s.moveOut(m, step.Move)
	}
	s.moves[step.Move] = r
	return r
}

func (s *State) findMove(id string) (fleetconfig.Move, bool) {
	if s.config == nil {
		return fleetconfig.Move{}, false
	}
	for _, m := range s.config.Moves {
		if MoveID(m) == id {
			return m, true
		}
	}
	return fleetconfig.Move{}, false
}

// moveOut takes the data centre out of service unless a pool would lose its last target.
func (s *State) moveOut(m fleetconfig.Move, id string) MoveResult {
	if _, out := s.outOfService[m.DataCentre]; out {
		// An operator or another move took it out, whose change stays in force after this move.
		return MoveOut
	}
	if _, ok := s.poolWithoutTargets(m.DataCentre); !ok {
		return MoveSkipped
	}
	s.outOfService[m.DataCentre] = id
	s.addRevision("move:"+id+":out", "planned move "+m.Name, m.DataCentre+" out of service")
	return MoveOut
}

// moveBack brings the data centre back into service if this move has taken it out.
func (s *State) moveBack(m fleetconfig.Move, id string) MoveResult {
	if s.outOfService[m.DataCentre] != id {
		return MoveEnded
	}
	delete(s.outOfService, m.DataCentre)
	s.addRevision("move:"+id+":back", "planned move "+m.Name, m.DataCentre+" back in service")
	return MoveBack
}

// poolWithoutTargets returns the name of a pool that would lose its last target in service
// without the data centre, and false. It returns true if there is no such pool. It must not
// be called before a document has been accepted.
func (s *State) poolWithoutTargets(dc string) (pool string, ok bool) {
	retained, affected := map[string]bool{}, map[string]bool{}
	for _, t := range s.config.Targets {
		if t.DataCentre == dc {
			affected[t.Pool] = true
		} else if _, out := s.outOfService[t.DataCentre]; !out {
			retained[t.Pool] = true
		}
	}
	for _, p := range s.config.Pools {
		if affected[p.Name] && !retained[p.Name] {
			return p.Name, false
		}
	}
	return "", true
}
