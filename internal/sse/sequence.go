package sse

// Verdict says what to do with a numbered event.
type Verdict uint8

// Verdicts.
const (
	Deliver   Verdict = iota
	Duplicate         // it was delivered already
	Missing           // events before it are missing
)

// Sequence checks the numbers of the events of one stream that is read from one target after another.
// The numbers increase, by any amounts: only their target knows which number follows, so a larger step
// within a target's response hides no event. After a change of the target events may be missing. That
// is found if all steps were equal so far; if the next target goes on with the same number, it is believed.
// The zero value is the sequence of a stream that begins.
type Sequence struct {
	last     uint64
	numbered bool // last is valid
	step     uint64
	steps    int    // number of steps seen, each between two events of one target
	uneven   bool   // not all of them were equal
	resumed  bool   // no event of the present target was delivered
	claimed  uint64 // the number with which a former target went on and that looked too large; 0 = none
}

// After returns the sequence of a stream that begins after the event with a number.
func After(id uint64) Sequence { return Sequence{last: id, numbered: true, resumed: true} }

// Last returns the number of the last delivered event; false before the first one.
func (s *Sequence) Last() (uint64, bool) { return s.last, s.numbered }

// Resume records that the following events are those of another target.
func (s *Sequence) Resume() { s.resumed = s.numbered }

// Check returns the verdict on the next event and records it if it is to be delivered.
func (s *Sequence) Check(id uint64) Verdict {
	if !s.numbered {
		s.last, s.numbered = id, true
		return Deliver
	}
	if id <= s.last {
		return Duplicate
	}
	step := id - s.last
	switch {
	case s.resumed && s.steps > 0 && !s.uneven && step > s.step && id != s.claimed:
		s.claimed = id
		return Missing
	case s.resumed: // the step may include events that no target sent
	case s.steps == 0:
		s.step, s.steps = step, 1
	default:
		s.steps++
		s.uneven = s.uneven || step != s.step
	}
	s.last, s.resumed, s.claimed = id, false, 0
	return Deliver
}
