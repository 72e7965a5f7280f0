package placement

import (
	"math"
	"slices"
	"time"
)

// shareSlots divide the window over which workspaces share the tokens.
const shareSlots = 8

// usage counts the tokens of one workspace in the newest window.
type usage struct {
	asked, begun, turned [shareSlots]float64
	askedSum             float64
	begunSum             float64
	turnedSum            float64       // of requests that entry instances refused for want of means
	deniedAt             time.Duration // when the targets last had no room for a request in time
	denied               bool          // deniedAt is set
}

// shares keeps what each workspace asked for and got, and its max-min share.
type shares struct {
	window  time.Duration
	beganAt time.Duration // of the counts; negative before the first
	slot    int64
	byName  map[string]*usage
	// level is the share of a workspace that asks for more, in tokens a window: its part
	// of what the targets are to do.
	level float64
	// order is the same for what the targets have shown that they do, where that is less.
	// It decides who goes first; what targets have room for is granted up to level.
	order float64
	// most is what the best served workspace of those that ask for more has got.
	most float64
	// late and begun count the tokens of all workspaces: of requests that no target could
	// begin in time, and of those that began.
	late, begun [shareSlots]float64
}

func newShares(window time.Duration) *shares {
	return &shares{window: max(window, time.Second), byName: map[string]*usage{}, level: math.Inf(1), order: math.Inf(1), beganAt: -1}
}

func (s *shares) slotAt(now time.Duration) int64 { return int64(now / (s.window / shareSlots)) }

// due reports whether a slot has ended since the last advance.
func (s *shares) due(now time.Duration) bool { return s.slotAt(now) != s.slot }

// advance moves the window to a time and computes the shares for a capacity in
// tokens a second.
func (s *shares) advance(now time.Duration, capacity float64) {
	slot := s.slotAt(now)
	steps := min(slot-s.slot, shareSlots)
	for name, u := range s.byName {
		for i := range steps {
			u.clear((slot - i) % shareSlots)
		}
		if u.askedSum == 0 && u.begunSum == 0 && u.turnedSum == 0 {
			delete(s.byName, name)
		}
	}
	for i := range steps {
		s.late[(slot-i)%shareSlots], s.begun[(slot-i)%shareSlots] = 0, 0
	}
	s.slot = slot
	if s.beganAt < 0 {
		s.beganAt = now
	}
	span := s.counted(now).Seconds()
	s.level = waterLevel(s.demands(), capacity*span)
	s.order = s.level
	if shown := s.shown(); shown < capacity {
		s.order = waterLevel(s.demands(), shown*span)
	}
	s.most = 0
	for _, u := range s.byName {
		if u.askedSum > s.level {
			s.most = max(s.most, u.begunSum)
		}
	}
}

const (
	// fullFrom is the ratio of the tokens that were late to those that began from which the
	// targets had no room for more.
	fullFrom = 0.15
	// fullSlots is the number of slots, each an eighth of the window, in which the targets
	// had no room, from which what began there tells what they do.
	fullSlots = 2
)

// shown returns what the targets did in a second while they had no room for more, and
// infinity if they had.
func (s *shares) shown() float64 {
	sum, slots := 0.0, 0
	for i := range int64(shareSlots) {
		if i != s.slot%shareSlots && s.late[i] > fullFrom*s.begun[i] {
			sum += s.begun[i]
			slots++
		}
	}
	if slots < fullSlots || sum == 0 {
		return math.Inf(1)
	}
	return sum / (float64(slots) * (s.window / shareSlots).Seconds())
}

// miss counts a request that no target could begin in time.
func (s *shares) miss(tokens float64) { s.late[s.slot%shareSlots] += tokens }

// leastCounted is the shortest time over which shares are told apart: in less than
// half a window a few large requests look like a flood.
const leastCounted = 2 * time.Second

// counted returns the time that the counts cover: the window, or less for an owner
// that has just taken over. Measured by the whole window, a flood would count as
// within its share until it has got as much as in a whole one.
func (s *shares) counted(now time.Duration) time.Duration {
	return min(s.window, max(now-s.beganAt, leastCounted))
}

func (u *usage) clear(i int64) {
	u.asked[i], u.begun[i], u.turned[i] = 0, 0, 0
	u.askedSum, u.begunSum, u.turnedSum = 0, 0, 0
	for j := range u.asked {
		u.askedSum += u.asked[j]
		u.begunSum += u.begun[j]
		u.turnedSum += u.turned[j]
	}
}

func (s *shares) demands() []float64 {
	out := make([]float64, 0, len(s.byName))
	for _, u := range s.byName {
		out = append(out, u.askedSum)
	}
	return out
}

// waterLevel returns the max-min share of those that demand more than it: the
// level at which the demands, each cut at the level, add up to the capacity. It is
// infinite if all demands fit.
func waterLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		rest := float64(len(demands) - i)
		if d*rest > capacity {
			return capacity / rest
		}
		capacity -= d
	}
	return math.Inf(1)
}

func (s *shares) of(name string) *usage {
	u := s.byName[name]
	if u == nil {
		u = &usage{}
		s.byName[name] = u
	}
	return u
}

// ask counts what a workspace asks for.
func (s *shares) ask(name string, tokens float64) {
	u := s.of(name)
	u.asked[s.slot%shareSlots] += tokens
	u.askedSum += tokens
}

// begin counts what a workspace gets. A negative number takes back what a target
// did not run.
func (s *shares) begin(name string, tokens float64) {
	u := s.of(name)
	u.begun[s.slot%shareSlots] += tokens
	u.begunSum += tokens
	s.begun[s.slot%shareSlots] += tokens
}

// turnAway counts what entry instances refused a workspace for want of means. It bounds
// the others, as what is refused here does, but it is not asked of the targets.
func (s *shares) turnAway(name string, tokens float64, now time.Duration) {
	u := s.of(name)
	u.turned[s.slot%shareSlots] += tokens
	u.turnedSum += tokens
	s.deny(name, now)
}

// deniedFor is how long a workspace counts as one that wants more after the
// targets had no room for a request of it. A request that is refused in favour of
// another workspace does not count: it would hold back all that have got more.
const deniedFor = time.Second

// deny notes that the targets had no room for a request of a workspace.
func (s *shares) deny(name string, now time.Duration) {
	u := s.of(name)
	u.deniedAt, u.denied = now, true
}

// overtakes reports whether a workspace beyond its share would get further ahead of
// another one that wants more.
func (s *shares) overtakes(name string, tokens float64, now time.Duration) bool {
	return s.leads(name, tokens, leadRatio, func(u *usage) bool { return u.deniedLately(now) })
}

// outruns reports whether a workspace beyond its share would get much further ahead of
// another one that asks for more than its share and is refused most of it. It holds
// where the targets have room, too.
func (s *shares) outruns(name string, tokens float64, now time.Duration) bool {
	return s.leads(name, tokens, roomLead, func(u *usage) bool {
		asked := u.askedSum + u.turnedSum
		return u.deniedLately(now) && asked > s.level && u.begunSum < enough*asked
	})
}

const (
	// leadRatio is how far one workspace that wants more may be ahead of another where
	// targets are busy, and roomLead where they have room: half is promised, over spans
	// that differ from the window of the shares.
	leadRatio = 1.25
	roomLead  = 1.6
	// enough is the part of what it asks for above which a workspace bounds no other one
	// where targets have room.
	enough = 0.6
)

// leads reports whether a workspace that gets further tokens would be ahead of the
// least served of some others by more than a ratio. All are taken to have their share.
func (s *shares) leads(name string, tokens, ratio float64, counts func(*usage) bool) bool {
	least := math.Inf(1)
	for other, u := range s.byName {
		if other != name && counts(u) {
			least = min(least, u.begunSum)
		}
	}
	return s.of(name).begunSum+tokens > ratio*max(least, s.level)
}

// deniedLately reports whether the targets had no room for a request a moment ago.
func (u *usage) deniedLately(now time.Duration) bool {
	return u.denied && now-u.deniedAt <= deniedFor
}

// pressed reports whether a workspace asks for more than its share. What it gets is
// better spent on requests that can be on time than on late ones.
func (s *shares) pressed(name string) bool {
	u := s.byName[name]
	return u != nil && u.askedSum > s.order
}

// beyond reports whether a workspace would exceed its share of the promised capacity
// with further tokens.
func (s *shares) beyond(name string, tokens float64) bool {
	return s.level > 0 && s.of(name).begunSum+tokens > s.level
}

// excess returns by how much a workspace would exceed its share of what the targets do
// with further tokens: 0 up to the share, else the ratio.
func (s *shares) excess(name string, tokens float64) float64 {
	if math.IsInf(s.order, 1) || s.order <= 0 {
		return 0
	}
	ratio := (s.of(name).begunSum + tokens) / s.order
	if ratio <= 1 {
		return 0
	}
	return ratio
}
