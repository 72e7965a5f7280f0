package fleetstate

import (
	"time"

	"nutmegrouter/fleetconfig"
)

// MoveResult tells how a step of a planned move was decided.
type MoveResult string

// Results of the steps of a move.
const (
	MoveNone    MoveResult = ""        // nothing to do: not due, decided before, or not in the document
	MoveOut     MoveResult = "out"     // the data centre is out
	MoveSkipped MoveResult = "skipped" // not taken out: a pool would have no target left
	MoveBack    MoveResult = "back"    // the data centre is back
	MoveEnded   MoveResult = "ended"   // the time is over; an operator decides over the data centre
)

// MoveID identifies a move. Another out time makes another move.
func MoveID(m fleetconfig.Move) string { return m.Name + "|" + m.DataCentre + "|" + m.OutAt }

// Due returns the step that is due for a move at a time, if any.
func (s *State) Due(unixMs int64) []MoveStep {
	if s.config == nil {
		return nil
	}
	var due []MoveStep
	for _, m := range s.config.Moves {
		id := MoveID(m)
		switch s.next(m, unixMs) {
		case MoveOut:
			due = append(due, MoveStep{Move: id, Out: true})
		case MoveBack:
			due = append(due, MoveStep{Move: id})
		}
	}
	return due
}

// next returns MoveOut or MoveBack if that step of the move is due, else MoveNone.
func (s *State) next(m fleetconfig.Move, unixMs int64) MoveResult {
	out, ok := parseMs(m.OutAt)
	if !ok || unixMs < out {
		return MoveNone
	}
	back, hasBack := parseMs(m.BackAt)
	over := hasBack && unixMs >= back
	switch s.moves[MoveID(m)] {
	case MoveNone:
		if over {
			return MoveBack
		}
		return MoveOut
	case MoveOut, MoveSkipped:
		if over {
			return MoveBack
		}
	}
	return MoveNone
}

func parseMs(text string) (int64, bool) {
	t, err := time.Parse(time.RFC3339, text)
	return t.UnixMilli(), err == nil
}

// move applies a step if it is due by the time of the log.
func (s *State) move(step *MoveStep) MoveResult {
	m, ok := s.findMove(step.Move)
	if !ok {
		return MoveNone
	}
	want := s.next(m, s.nowMs)
	if want == MoveNone || (want == MoveOut) != step.Out {
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

func (s *State) moveOut(m fleetconfig.Move, id string) MoveResult {
	if _, out := s.out[m.DataCentre]; out {
		return MoveOut // by an operator, whose change stays in force after the move
	}
	if _, left := s.EmptyPool(m.DataCentre); !left {
		return MoveSkipped
	}
	s.out[m.DataCentre] = id
	s.accept("move:"+id+":out", "planned move "+m.Name, m.DataCentre+" out of service")
	return MoveOut
}

// moveBack brings the data centre back only if this move has taken it out.
func (s *State) moveBack(m fleetconfig.Move, id string) MoveResult {
	if s.out[m.DataCentre] != id {
		return MoveEnded
	}
	delete(s.out, m.DataCentre)
	s.accept("move:"+id+":back", "planned move "+m.Name, m.DataCentre+" back in service")
	return MoveBack
}

// EmptyPool names a pool that would lose its last target in service without the
// data centre. Left reports that there is none.
func (s *State) EmptyPool(dc string) (pool string, left bool) {
	remain, lost := map[string]bool{}, map[string]bool{}
	for _, t := range s.config.Targets {
		if t.DataCentre == dc {
			lost[t.Pool] = true
		} else if _, out := s.out[t.DataCentre]; !out {
			remain[t.Pool] = true
		}
	}
	for _, p := range s.config.Pools {
		if lost[p.Name] && !remain[p.Name] {
			return p.Name, false
		}
	}
	return "", true
}
