package placement

import (
	"math"
	"time"
)

const (
	// passSlack is how much more of a workspace's requests reach the owner than its
	// share, or than any workspace beyond its share was granted lately, so that the owner
	// can choose and finds out when there is room for more.
	passSlack = 1.5
	// passLeast is the least part that reaches the owner.
	passLeast = 0.05
	// passFor is how long an entry instance goes by the newest part that it was told.
	passFor = time.Second
	// floodAdvice is the advice to held back callers if nearly all requests reach the
	// owner. The fewer do, the longer it takes until one more has a chance. Callers
	// seldom wait for longer than floodAdviceMost.
	floodAdvice     = 500 * time.Millisecond
	floodAdviceMost = 4 * time.Second
)

// passShare returns the part of a workspace's requests for which the owner is to be
// asked: all of one within its share, else somewhat more than its share of what it asked
// for, or than the best served one of those beyond their share was granted.
func (s *shares) passShare(name string) float64 {
	u := s.byName[name]
	if u == nil || u.askedSum <= s.level {
		return 1
	}
	return min(1, max(passLeast, passSlack*max(u.begunSum, s.level, s.most)/u.askedSum))
}

// Flood refuses requests at an entry instance on the owner's behalf: of a workspace
// that asks for much more than it is granted, it lets pass the part that the owner has
// told. It answers for the load of one workspace that sends many times its share
// through one instance. It is not safe for concurrent use.
type Flood struct {
	byName map[string]passing
}

type passing struct {
	share float64
	until time.Duration
}

// NewFlood returns a Flood that holds nothing back.
func NewFlood() *Flood { return &Flood{byName: map[string]passing{}} }

// Tell notes the part of a workspace's requests that may pass, 1 for all.
func (f *Flood) Tell(workspace string, share float64, now time.Duration) {
	if share >= 1 {
		delete(f.byName, workspace)
		return
	}
	f.byName[workspace] = passing{share: share, until: now + passFor}
}

// Holds reports whether a request is refused here. The last part of its prompt decides,
// so that a caller that comes again through another instance is decided on alike.
func (f *Flood) Holds(workspace string, own PartID, now time.Duration) bool {
	p, ok := f.byName[workspace]
	if !ok {
		return false
	}
	if p.until <= now {
		delete(f.byName, workspace)
		return false
	}
	return float64(mix(uint64(own), hashName(workspace)))/math.MaxUint64 >= p.share
}

// Share returns the part of a workspace's requests that passes.
func (f *Flood) Share(workspace string) float64 {
	if p, ok := f.byName[workspace]; ok {
		return p.share
	}
	return 1
}

// Advice returns after what time a caller of a workspace that is held back may come
// again.
func (f *Flood) Advice(workspace string) time.Duration {
	return min(floodAdviceMost, time.Duration(float64(floodAdvice)/f.Share(workspace)))
}
