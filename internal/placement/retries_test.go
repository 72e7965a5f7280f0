package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against two refused requests of one session, both of which come back, that get each other's place.
func TestRetriesOfOneSession(t *testing.T) {
	is := is.New(t)
	r := newRetryTracker()
	earlier, later := RequestIdentity{1, 20 * second}, RequestIdentity{1, 22 * second} // word for word the same
	other := RequestIdentity{2, 20 * second}                                           // at the same time
	r.recordRefusal(earlier, 9*second, 8*second)
	r.recordRefusal(later, 11*second, 10*second)
	r.recordRefusal(other, 9500*time.Millisecond, 8*second)
	for _, x := range []struct {
		id          RequestIdentity
		objectiveAt time.Duration
	}{{earlier, 9 * second}, {later, 11 * second}, {other, 9500 * time.Millisecond}} {
		for _, difference := range []time.Duration{-deadlineTolerance, -1, 0, 1, deadlineTolerance} {
			retry := x.id
			retry.CallerDeadline += difference
			refused, isRetry := r.firstAttempt(retry)
			is.True(isRetry)
			is.Equal(refused.objectiveAt, x.objectiveAt)
		}
		for _, difference := range []time.Duration{-deadlineTolerance - 1, deadlineTolerance + 1} {
			next := x.id
			next.CallerDeadline += difference
			_, isRetry := r.firstAttempt(next)
			is.True(!isRetry)
		}
	}
}

// Guards against requests without a stated deadline, or of unknown identity, that are taken for retries: their session
// would be refused as long as it asks.
func TestUnknownRequestIsNoRetry(t *testing.T) {
	is := is.New(t)
	r := newRetryTracker()
	for _, id := range []RequestIdentity{{}, newIdentity(1, 0, second), newIdentity(0, 5*second, second)} {
		r.recordRefusal(id, 2*second, second)
		_, isRetry := r.firstAttempt(id)
		is.True(!isRetry)
	}
}

// Guards against records that each refusal renews for the next request: a session that repeats a request word for word,
// faster than deadlineTolerance, is taken for retries of one request for no longer than that.
func TestRefusalsRenewNoOtherRequest(t *testing.T) {
	is := is.New(t)
	r := newRetryTracker()
	for at := second; at < 40*second; at += 100 * time.Millisecond {
		id, objectiveAt := newIdentity(1, 12*second, at), at+400*time.Millisecond
		if refused, isRetry := r.firstAttempt(id); isRetry {
			is.True(refused.objectiveAt >= objectiveAt-deadlineTolerance)
		}
		r.recordRefusal(id, objectiveAt, at)
	}
}

// Guards against a caller that returns again and again and loses its place, or is taken for a new one, while it waits.
func TestRetryKeepsFirstObjective(t *testing.T) {
	is := is.New(t)
	r := newRetryTracker()
	deadline, objectiveAt := 31*second, 2*second
	r.recordRefusal(RequestIdentity{1, deadline}, objectiveAt, second)
	for n := range 6 {
		now := second + time.Duration(n+1)*4*second // maxThrottleRetryAfter
		retry := RequestIdentity{1, deadline + time.Duration(n%2)*200*time.Millisecond}
		refused, isRetry := r.firstAttempt(retry)
		is.True(isRetry)
		is.Equal(refused.objectiveAt, objectiveAt)
		r.recordRefusal(retry, now+second, now)
	}
}

// Guards against a tracker that takes one request for the retry of another, or loses its place, in any order of refusals
// and returns.
func TestRetryTrackerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type refused struct {
			id          RequestIdentity
			objectiveAt time.Duration
			refusedAt   time.Duration // last
		}
		r, now, known := newRetryTracker(), second, []refused{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			id := newIdentity(RequestHash(rapid.IntRange(0, 3).Draw(t, "hash")), time.Duration(rapid.IntRange(0, 40).Draw(t, "left"))*500*time.Millisecond, now)
			first, isRetry := r.firstAttempt(id)
			var possible []refused
			for _, k := range known {
				if id.Hash != 0 && id.CallerDeadline != 0 && k.id.Hash == id.Hash && k.id.deadlineDifference(id) <= deadlineTolerance {
					possible = append(possible, k)
				}
			}
			if isRetry {
				if !slices.ContainsFunc(possible, func(k refused) bool { return k.id == first.identity && k.objectiveAt == first.objectiveAt }) {
					t.Fatalf("%v is taken for a retry of %v", id, first)
				}
			} else if slices.ContainsFunc(possible, func(k refused) bool { return now-k.refusedAt < refusalTTL }) {
				t.Fatalf("%v is no retry of any of %v", id, possible)
			}
			r.recordRefusal(id, now+second, now)
			switch {
			case isRetry:
				for i := range known {
					if known[i].id == first.identity {
						known[i].refusedAt = now
					}
				}
			case id.Hash != 0 && id.CallerDeadline != 0:
				known = append(known, refused{id, now + second, now})
			}
		}
	})
}
