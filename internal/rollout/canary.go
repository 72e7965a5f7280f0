package rollout

import (
	"hash/fnv"
	"slices"
)

const (
	// minCanary is the number of canary targets below which a faulty target can hardly be told from a bad version.
	minCanary = 4
	// maxReplaced is the number of canary targets that are replaced because they fail, as a multiple of the set.
	maxReplaced = 3
)

// canarySet is the set of targets of the new version that get requests in the canary phase.
type canarySet struct {
	given    []string // the list as it was set
	listed   map[string]bool
	order    []string // listed targets in an order that mixes machines
	chosen   map[string]bool
	replaced map[string]bool // failed more often than old targets; others took their place
}

// setListed sets the usable targets of the new version. Targets that are no longer among them leave the set.
func (s *canarySet) setListed(targets []string) {
	if s.listed != nil && slices.Equal(targets, s.given) {
		return
	}
	s.given = slices.Clone(targets)
	s.listed = make(map[string]bool, len(targets))
	for _, t := range targets {
		s.listed[t] = true
	}
	s.order = slices.Clone(targets)
	slices.SortFunc(s.order, func(a, b string) int {
		if x, y := hash(a), hash(b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	for t := range s.chosen {
		if !s.listed[t] {
			delete(s.chosen, t)
		}
	}
	if s.chosen == nil {
		s.chosen, s.replaced = map[string]bool{}, map[string]bool{}
	}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// resize fits the set to a wanted number of targets. A target that fails more often than old ones is replaced by one
// that has had no request: it shows sooner whether the version fails or the target, and spares callers.
func (s *canarySet) resize(want int, suspects map[string]bool) {
	want = max(want, minCanary)
	for t := range s.chosen {
		if len(s.replaced) < maxReplaced*want && len(s.listed) > len(s.chosen)+s.listedReplaced() && suspects[t] {
			delete(s.chosen, t)
			s.replaced[t] = true
		}
	}
	for _, t := range slices.Backward(s.order) {
		if len(s.chosen) <= want {
			break
		}
		delete(s.chosen, t)
	}
	for _, withReplaced := range []bool{false, true} {
		for _, t := range s.order {
			if len(s.chosen) >= want {
				return
			}
			if withReplaced || !s.replaced[t] {
				s.chosen[t] = true
			}
		}
	}
}

// listedReplaced returns the number of replaced targets that are still listed.
func (s *canarySet) listedReplaced() int {
	n := 0
	for t := range s.replaced {
		if s.listed[t] {
			n++
		}
	}
	return n
}
