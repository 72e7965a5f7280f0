package placement

const (
	// forwardSlack is the ratio of the requests of an overloaded workspace that entry
	// instances forward to what it can expect to be granted. The surplus lets the owner
	// choose among requests.
	forwardSlack = 1.5
	// minForwardShare is the lower bound of the share of requests that is forwarded.
	minForwardShare = 0.05
	// forwardGrowth is the factor by which the forwarded share grows per interval while the
	// targets have room for what is forwarded. An interval is an eighth of the share window.
	forwardGrowth = 1.5
	// maxForwardGrowth is the largest growth: minForwardShare grows to all requests.
	maxForwardGrowth = 1 / minForwardShare
	// roomRefusalShare is the refused part of the forwarded tokens up to which the targets
	// have room.
	roomRefusalShare = 0.1
)

// forwardControl controls by how much the forwarded share of an overloaded workspace exceeds
// what follows from its grants. Grants alone are a slow measure of the room that targets have:
// they follow what is forwarded, so after a takeover or a loss of targets they would return by
// forwardSlack per window while targets are idle. The growth rises by forwardGrowth per interval
// and ends at once when the owner refuses requests, or when entry instances report that they
// shed some.
type forwardControl struct {
	growth             float64 // 0 counts as 1
	forwarded, refused float64 // tokens in the current interval
}

// factor returns the factor on the forwarded share, at least 1.
func (f *forwardControl) factor() float64 { return max(1, f.growth) }

// recordForwarded counts the tokens of a request that the owner received.
func (f *forwardControl) recordForwarded(tokens float64) { f.forwarded += tokens }

// recordRefused counts the tokens of a request that the owner refused or an entry instance
// shed.
func (f *forwardControl) recordRefused(tokens float64) { f.refused += tokens }

// endInterval adjusts the growth to the refusals of the interval that ends. It does not change
// if no request was received.
func (f *forwardControl) endInterval() {
	switch {
	case f.forwarded == 0 && f.refused == 0:
	case f.refused <= roomRefusalShare*f.forwarded:
		f.growth = min(maxForwardGrowth, forwardGrowth*f.factor())
	default:
		f.growth = 1
	}
	f.forwarded, f.refused = 0, 0
}

// forwardShare returns the share of a workspace's requests that entry instances forward to
// the owner. It is 1 for a workspace within its fair share. For an overloaded one it is
// forwardSlack times the part of its demand that it can expect to be granted: the largest of
// its own grants, its fair share, and the grants of the best served overloaded workspace. It is
// larger by the growth of forwardControl while the targets have room.
func (s *shares) forwardShare(name string) float64 {
	u, share := s.byName[name], s.throttledShare()
	if u == nil || u.requestedSum <= share {
		return 1
	}
	expected := max(u.grantedSum, share, s.maxGranted)
	return min(1, max(minForwardShare, u.forwardControl.factor()*forwardSlack*expected/u.requestedSum))
}
