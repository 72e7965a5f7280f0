package placement

import (
	"math"
	"slices"
	"time"
)

// windowSlots is the number of slots into which the sliding window of the shares is divided.
const windowSlots = 8

// usage counts the tokens of one workspace within the window, in total and per slot.
type usage struct {
	requested, granted, shed [windowSlots]float64
	requestedSum             float64
	grantedSum               float64
	shedSum                  float64 // of requests that entry instances shed for lack of resources
	forwardControl           forwardControl
	// unmetAt is when the targets last lacked capacity for a request, or an entry instance
	// refused one.
	unmetAt   time.Duration
	everUnmet bool // unmetAt is set
}

// shares tracks the demand and the grants of each workspace over a sliding window and
// computes the max-min fair share. Tokens are prompt tokens plus twice the output tokens.
type shares struct {
	window      time.Duration
	countedFrom time.Duration // when counting began; -1 before the first advance
	slot        int64
	byName      map[string]*usage
	// fairShare is the max-min fair share of the configured throughput, in tokens per window.
	// It is infinite if all demands fit.
	fairShare float64
	// observedShare is the max-min fair share of the observed throughput where that is lower,
	// else fairShare. It decides the order of requests; where targets have capacity, grants
	// go up to fairShare.
	observedShare float64
	// maxGranted is the largest number of tokens granted to a workspace whose demand exceeds
	// fairShare.
	maxGranted float64
	// missed and granted count the tokens of all workspaces by slot: of requests that no
	// target could begin in time, and of granted requests.
	missed, granted [windowSlots]float64
	// late is whether the owner has refused requests for its own lateness, by slot: the throughput is then
	// bounded by the owner and not by the targets.
	late [windowSlots]bool
}

func newShares(window time.Duration) *shares {
	return &shares{
		window: max(window, time.Second), byName: map[string]*usage{},
		fairShare: math.Inf(1), observedShare: math.Inf(1), countedFrom: -1}
}

func (s *shares) slotAt(now time.Duration) int64 { return int64(now / (s.window / windowSlots)) }

// slotEnded reports whether a slot has ended since the last advance.
func (s *shares) slotEnded(now time.Duration) bool { return s.slotAt(now) != s.slot }

// advance moves the window to now and computes the shares of a capacity in tokens per second.
func (s *shares) advance(now time.Duration, capacity float64) {
	slot := s.slotAt(now)
	steps := min(slot-s.slot, windowSlots)
	for name, u := range s.byName {
		u.forwardControl.endInterval()
		for i := range steps {
			u.clear((slot - i) % windowSlots)
		}
		if u.requestedSum == 0 && u.grantedSum == 0 && u.shedSum == 0 {
			delete(s.byName, name)
		}
	}
	for i := range steps {
		s.missed[(slot-i)%windowSlots], s.granted[(slot-i)%windowSlots], s.late[(slot-i)%windowSlots] = 0, 0, false
	}
	s.slot = slot
	if s.countedFrom < 0 {
		s.countedFrom = now
	}
	span := s.countedTime(now).Seconds()
	s.fairShare = maxMinShare(s.demands(), capacity*span)
	s.observedShare = s.fairShare
	if observed := s.observedThroughput(); observed < capacity {
		s.observedShare = maxMinShare(s.demands(), observed*span)
	}
	s.maxGranted = 0
	for _, u := range s.byName {
		if u.requestedSum > s.fairShare {
			s.maxGranted = max(s.maxGranted, u.grantedSum)
		}
	}
}

const (
	// saturatedMissRatio is the ratio of missed to granted tokens above which the targets
	// count as saturated in a slot.
	saturatedMissRatio = 0.15
	// minSaturatedSlots is the number of saturated slots, each an eighth of the window, from
	// which their grants are used as the observed throughput.
	minSaturatedSlots = 2
)

// observedThroughput returns the tokens per second that were granted while the targets were
// saturated, or infinity if they were not saturated long enough.
func (s *shares) observedThroughput() float64 {
	sum, slots := 0.0, 0
	for i := range int64(windowSlots) {
		if i != s.slot%windowSlots && s.missed[i] > saturatedMissRatio*s.granted[i] {
			sum += s.granted[i]
			slots++
		}
	}
	if slots < minSaturatedSlots || sum == 0 {
		return math.Inf(1)
	}
	return sum / (float64(slots) * (s.window / windowSlots).Seconds())
}

// recordMissed counts the tokens of a request that no target could begin in time.
func (s *shares) recordMissed(tokens float64) { s.missed[s.slot%windowSlots] += tokens }

// recordLate counts the tokens of a request that the owner was too late for.
func (s *shares) recordLate(name string, tokens float64, now time.Duration) {
	s.late[s.slot%windowSlots] = true
	s.recordMissed(tokens)
	s.recordUnmet(name, now)
	u := s.usageOf(name)
	u.forwardControl.recordForwarded(tokens)
	u.forwardControl.recordRefused(tokens)
}

// throttledShare is the share from which entry instances throttle a workspace: that of the configured
// throughput, or of the observed one while the owner is what bounds it.
func (s *shares) throttledShare() float64 {
	if slices.Contains(s.late[:], true) {
		return s.observedShare
	}
	return s.fairShare
}

// minCountedTime is the shortest time over which shares are computed, half of the usual window
// of 4 s: over less, a few large requests look like an overload.
const minCountedTime = 2 * time.Second

// countedTime returns the time that the counts cover: the window, or less for an owner that
// has just taken over. With the whole window as a base, an overloaded workspace would count
// as within its share until it has received the tokens of a whole window.
func (s *shares) countedTime(now time.Duration) time.Duration {
	return min(s.window, max(now-s.countedFrom, minCountedTime))
}

func (u *usage) clear(slot int64) {
	u.requested[slot], u.granted[slot], u.shed[slot] = 0, 0, 0
	u.requestedSum, u.grantedSum, u.shedSum = 0, 0, 0
	for j := range u.requested {
		u.requestedSum += u.requested[j]
		u.grantedSum += u.granted[j]
		u.shedSum += u.shed[j]
	}
}

func (s *shares) demands() []float64 {
	out := make([]float64, 0, len(s.byName))
	for _, u := range s.byName {
		out = append(out, u.requestedSum)
	}
	return out
}

// maxMinShare returns the max-min fair share by water-filling: the level at which the
// demands, each cut off at that level, add up to the capacity. It is infinite if all demands
// fit. It sorts the demands in place.
func maxMinShare(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		remaining := float64(len(demands) - i)
		if d*remaining > capacity {
			return capacity / remaining
		}
		capacity -= d
	}
	return math.Inf(1)
}

func (s *shares) usageOf(name string) *usage {
	u := s.byName[name]
	if u == nil {
		u = &usage{}
		s.byName[name] = u
	}
	return u
}

// recordRequested adds to the demand of a workspace.
func (s *shares) recordRequested(name string, tokens float64) {
	u := s.usageOf(name)
	u.requested[s.slot%windowSlots] += tokens
	u.requestedSum += tokens
}

// charge is what a granted request has added to the grants of its workspace. The zero value is
// that of a request that was not charged.
type charge struct {
	tokens float64
	slot   int64
}

// recordGranted adds to the grants of a workspace and returns the charge.
func (s *shares) recordGranted(name string, tokens float64) charge {
	s.addGranted(name, tokens, s.slot)
	return charge{tokens, s.slot}
}

// refund takes a charge back. It does nothing if the charge has left the window.
func (s *shares) refund(name string, c charge) {
	if c.tokens > 0 && s.slot-c.slot < windowSlots {
		s.addGranted(name, -c.tokens, c.slot)
	}
}

func (s *shares) addGranted(name string, tokens float64, slot int64) {
	u := s.usageOf(name)
	u.granted[slot%windowSlots] += tokens
	u.grantedSum += tokens
	s.granted[slot%windowSlots] += tokens
}

// recordShed counts tokens that entry instances shed for lack of resources. As unmet demand
// they limit the lead of other workspaces, but they do not enter the demand on the targets.
func (s *shares) recordShed(name string, tokens float64, now time.Duration) {
	u := s.usageOf(name)
	u.shed[s.slot%windowSlots] += tokens
	u.shedSum += tokens
	u.forwardControl.recordRefused(tokens) // entry instances that shed cannot serve more either
	s.recordUnmet(name, now)
}

// unmetTime is how long the demand of a workspace counts as unmet after the targets lacked
// capacity for one of its requests. A refusal in favour of another workspace does not count:
// it would throttle all workspaces with larger grants.
const unmetTime = time.Second

// recordUnmet marks the demand of a workspace as unmet: the targets lacked capacity for a
// request, or an entry instance refused it.
func (s *shares) recordUnmet(name string, now time.Duration) {
	u := s.usageOf(name)
	u.unmetAt, u.everUnmet = now, true
}

// exceedsBusyLead reports whether further tokens would put a workspace too far ahead of
// another one with unmet demand, by the limit for busy targets.
func (s *shares) exceedsBusyLead(name string, tokens float64, now time.Duration) bool {
	return s.exceedsLead(name, tokens, busyLeadRatio, func(u *usage) bool { return u.recentlyUnmet(now) })
}

// exceedsIdleLead reports whether further tokens would put a workspace too far ahead of
// another one with unmet demand, by the limit that also holds where targets have capacity.
// Only overloaded workspaces that were granted less than satisfiedShare of their demand,
// including what entry instances shed, limit others in this way.
func (s *shares) exceedsIdleLead(name string, tokens float64, now time.Duration) bool {
	return s.exceedsLead(name, tokens, idleLeadRatio, func(u *usage) bool {
		requested := u.requestedSum + u.shedSum
		return u.recentlyUnmet(now) && requested > s.fairShare && u.grantedSum < satisfiedShare*requested
	})
}

const (
	// busyLeadRatio is the maximum ratio of the grants of a workspace to those of another one
	// with unmet demand while targets are busy, idleLeadRatio the one while they have capacity.
	// The promise to users is a factor of 2, over spans that differ from the window; both
	// ratios are lower to leave a margin.
	busyLeadRatio = 1.25
	idleLeadRatio = 1.6
	// satisfiedShare is the granted part of a workspace's demand from which it no longer
	// limits others where targets have capacity.
	satisfiedShare = 0.6
)

// exceedsLead reports whether a workspace's grants with further tokens would exceed the
// smallest grants of the other workspaces that count by more than a ratio. Smaller grants
// than the fair share are taken as the fair share.
func (s *shares) exceedsLead(name string, tokens, ratio float64, counts func(*usage) bool) bool {
	minGranted := math.Inf(1)
	for other, u := range s.byName {
		if other != name && counts(u) {
			minGranted = min(minGranted, u.grantedSum)
		}
	}
	return s.usageOf(name).grantedSum+tokens > ratio*max(minGranted, s.fairShare)
}

// recentlyUnmet reports whether recordUnmet was called within unmetTime.
func (u *usage) recentlyUnmet(now time.Duration) bool {
	return u.everUnmet && now-u.unmetAt <= unmetTime
}

// overloaded reports whether a workspace asks for more than its observed share. Its grants
// are better spent on requests that can meet their objective than on others.
func (s *shares) overloaded(name string) bool {
	u := s.byName[name]
	return u != nil && u.requestedSum > s.observedShare
}

// exceedsShare reports whether a workspace would exceed its share of the configured
// throughput with further tokens.
func (s *shares) exceedsShare(name string, tokens float64) bool {
	return s.fairShare > 0 && s.usageOf(name).grantedSum+tokens > s.fairShare
}

// excess returns the ratio of a workspace's grants with further tokens to its observed share,
// or 0 if they are within the share.
func (s *shares) excess(name string, tokens float64) float64 {
	if math.IsInf(s.observedShare, 1) || s.observedShare <= 0 {
		return 0
	}
	ratio := (s.usageOf(name).grantedSum + tokens) / s.observedShare
	if ratio <= 1 {
		return 0
	}
	return ratio
}
