package placement

import "time"

// RequestHash is a hash of what all attempts of a caller's request have in common: its workspace, method, host, URL
// and prompt. A caller may repeat a request word for word; then both have the same. 0 = unknown.
type RequestHash uint32

// RequestIdentity identifies a caller's request. All of its attempts have the same one; the next request of its
// session, whose prompt may be the same, has another one.
type RequestIdentity struct {
	Hash RequestHash
	// CallerDeadline is when the caller stops waiting, on the owner's clock; 0 = not stated. Each attempt states the
	// time that is left, so that it ends at the same moment as that of the first one.
	CallerDeadline time.Duration
}

// deadlineTolerance is the largest difference between the deadlines of two attempts of one request. Attempts may come
// through different instances and take different times to arrive and to reach the owner.
const deadlineTolerance = 500 * time.Millisecond

// newIdentity returns the identity of a request whose caller stops waiting after a time from now on; 0 = not stated.
func newIdentity(hash RequestHash, callerDeadline, now time.Duration) RequestIdentity {
	id := RequestIdentity{Hash: hash}
	if callerDeadline > 0 {
		id.CallerDeadline = now + callerDeadline
	}
	return id
}

// maybeSame reports whether two identities may be those of attempts of one request, as far as they say.
func (id RequestIdentity) maybeSame(other RequestIdentity) bool {
	return id.Hash == other.Hash &&
		(id.CallerDeadline == 0 || other.CallerDeadline == 0 || id.deadlineDifference(other) <= deadlineTolerance)
}

// deadlineSlot numbers the spans of deadlineTolerance in which callers' deadlines lie.
func (id RequestIdentity) deadlineSlot() int64 { return int64(id.CallerDeadline / deadlineTolerance) }

// deadlineDifference returns the time between the deadlines of two identities.
func (id RequestIdentity) deadlineDifference(other RequestIdentity) time.Duration {
	return (id.CallerDeadline - other.CallerDeadline).Abs()
}
