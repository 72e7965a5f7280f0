package sse

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a stream that is cut because its numbers grow by more than one, against an event that is
// delivered twice, and against events that are missing after a resume.
func TestSequence(t *testing.T) {
	const resume = 0
	for name, c := range map[string]struct {
		after uint64
		ids   []uint64
		want  []Verdict // without one for resume
	}{
		"by one":                           {0, []uint64{1, 2, 3}, []Verdict{Deliver, Deliver, Deliver}},
		"by five":                          {0, []uint64{5, 10, 15}, []Verdict{Deliver, Deliver, Deliver}},
		"uneven":                           {0, []uint64{1, 2, 4, 9, 10}, []Verdict{Deliver, Deliver, Deliver, Deliver, Deliver}},
		"twice":                            {0, []uint64{1, 2, 2, 1, 3}, []Verdict{Deliver, Deliver, Duplicate, Duplicate, Deliver}},
		"resumed by one":                   {0, []uint64{1, 2, resume, 3, 4}, []Verdict{Deliver, Deliver, Deliver, Deliver}},
		"resumed by five":                  {0, []uint64{5, 10, resume, 15, 20}, []Verdict{Deliver, Deliver, Deliver, Deliver}},
		"resumed, uneven":                  {0, []uint64{1, 2, 4, resume, 9}, []Verdict{Deliver, Deliver, Deliver, Deliver}},
		"resumed from the beginning":       {0, []uint64{1, 2, resume, 1, 2, 3}, []Verdict{Deliver, Deliver, Duplicate, Duplicate, Deliver}},
		"missing after a resume":           {0, []uint64{1, 2, resume, 4}, []Verdict{Deliver, Deliver, Missing}},
		"missing, then resumed again":      {0, []uint64{1, 2, resume, 4, resume, 3}, []Verdict{Deliver, Deliver, Missing, Deliver}},
		"missing after the second resume":  {0, []uint64{1, 2, resume, 3, resume, 5}, []Verdict{Deliver, Deliver, Deliver, Missing}},
		"missing, by five":                 {0, []uint64{5, 10, resume, 20}, []Verdict{Deliver, Deliver, Missing}},
		"the caller's number":              {7, []uint64{7, 8, 9}, []Verdict{Duplicate, Deliver, Deliver}},
		"the caller's number, by five":     {10, []uint64{15, 20}, []Verdict{Deliver, Deliver}},
		"no step seen before the resume":   {0, []uint64{5, resume, 10}, []Verdict{Deliver, Deliver}},
		"two targets agree":                {0, []uint64{1, 2, resume, 4, resume, 4, 5}, []Verdict{Deliver, Deliver, Missing, Deliver, Deliver}},
		"two targets do not agree":         {0, []uint64{1, 2, resume, 4, resume, 5, resume, 3}, []Verdict{Deliver, Deliver, Missing, Missing, Deliver}},
		"the caller's, missing and resume": {7, []uint64{8, 9, resume, 11}, []Verdict{Deliver, Deliver, Missing}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sequence
			if c.after > 0 {
				s = After(c.after)
			}
			var got []Verdict
			for _, id := range c.ids {
				if id == resume {
					s.Resume()
					continue
				}
				got = append(got, s.Check(id))
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against events that are delivered twice, out of order or not at all, whatever the steps between
// their numbers, with targets that break off, repeat events, or lose some when they resume a stream with
// equal steps.
func TestGeneratedSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := rapid.Uint64Range(0, 6).Draw(t, "step") // 0 = uneven
		var ids []uint64
		id := uint64(0)
		for range rapid.IntRange(3, 30).Draw(t, "events") {
			d := step
			if d == 0 {
				d = rapid.Uint64Range(1, 6).Draw(t, "one step")
			}
			id += d
			ids = append(ids, id)
		}
		var s Sequence
		var delivered []uint64
		inOneRun := 0 // most events that one target delivered
		lostFrom := -1
		for run := 0; len(delivered) < len(ids); run++ {
			if run > 30 {
				t.Fatalf("stuck after %v of %v", delivered, ids)
			}
			from, until := rapid.IntRange(0, len(delivered)).Draw(t, "from"), len(ids)
			if run < 10 {
				until = rapid.IntRange(from, len(ids)).Draw(t, "until")
			}
			if step > 0 && inOneRun >= 2 && run < 10 && rapid.Bool().Draw(t, "loses events") {
				from = min(len(delivered)+rapid.IntRange(1, 3).Draw(t, "lost"), len(ids))
				if from == lostFrom {
					from = len(ids) // two targets that lose the same events are believed
				}
				if until = max(from, until); until > from {
					lostFrom = from
				}
			}
			before := len(delivered)
			for _, id := range ids[from:until] {
				verdict := s.Check(id)
				if verdict == Missing {
					break
				}
				if verdict == Deliver {
					delivered = append(delivered, id)
				}
			}
			for i, id := range delivered {
				if id != ids[i] {
					t.Fatalf("delivered %v of %v", delivered, ids)
				}
			}
			if len(delivered) > before {
				lostFrom = -1
			}
			inOneRun = max(inOneRun, len(delivered)-before)
			s.Resume()
		}
	})
}
