package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
)

func fingerprintOf(n int) api.Fingerprint {
	return api.Fingerprint{Selector: uint64(n % 7), Digest: [2]uint64{uint64(n), 1}}
}

// Guards against a request that crashes target after target, because each repeat counts as another
// request, and against a crash that counts several times or for a common cause.
func TestRequestThatCrashesTargetsIsBlocked(t *testing.T) {
	is := is.New(t)
	c, f := newRequestCrashes(), fingerprintOf(1)
	is.True(!c.recordCrash(f, "t0", second))
	is.True(!c.recordCrash(f, "t0", second+300*time.Millisecond)) // the same crash, from another instance
	_, refused := c.refuses(f, 2*second)
	is.True(!refused)
	is.Equal(len(c.list(2*second)), 0)
	is.True(!c.recordCrash(f, "t1", 2*second))
	is.True(!c.recordCrash(f, "t2", 2*second+20*time.Millisecond)) // a loss of power
	is.Equal(c.list(2*second), []SuspectRequest{{Fingerprint: f}})
	_, refused = c.refuses(f, 3*second)
	is.True(!refused) // one repeat
	remaining, refused := c.refuses(f, 3*second)
	is.True(refused && remaining == suspectTrialTime) // at a time
	is.True(c.recordCrash(f, "t2", 3*second+100*time.Millisecond))
	remaining, refused = c.refuses(f, 4*second)
	is.True(refused && remaining > 50*second)
	is.True(!c.recordCrash(f, "t3", 4*second)) // of a repeat that was under way
	_, refused = c.refuses(fingerprintOf(2), 4*second)
	is.True(!refused)
}

// Guards against a request that is blocked for good, that is tried by many instances at once, or whose
// next crashes cost as many targets as the first.
func TestBlockedRequestIsTriedAgain(t *testing.T) {
	is := is.New(t)
	c, f, now := newRequestCrashes(), fingerprintOf(1), second
	for i := range blockRequestCrashes {
		now += second
		c.recordCrash(f, fmt.Sprint("t", i), now)
	}
	now += initialBlockTime
	_, refused := c.refuses(f, now)
	is.True(!refused)
	for range 10 {
		_, refused = c.refuses(f, now+second)
		is.True(refused)
	}
	c.recordCrash(f, "t9", now+2*second)
	remaining, refused := c.refuses(f, now+3*second)
	is.True(refused && remaining > initialBlockTime)
	now += 3*second + 2*initialBlockTime
	_, refused = c.refuses(f, now)
	is.True(!refused)
	c.recordAnswered(f)
	for range 10 {
		_, refused = c.refuses(f, now)
		is.True(!refused)
	}
	is.Equal(c.listed, 0)
}

// Guards against a sound request that happens to run on targets which crash for other reasons and is
// refused although targets answer it.
func TestAnsweredRequestIsCleared(t *testing.T) {
	is := is.New(t)
	c, f := newRequestCrashes(), fingerprintOf(1)
	for i := range 20 {
		now := time.Duration(i) * 2 * second
		is.True(!c.recordCrash(f, fmt.Sprint("t", i), now))
		if i%2 == 1 {
			_, refused := c.refuses(f, now+second)
			is.True(!refused)
			c.recordAnswered(f)
		}
	}
	is.True(!c.recordCrash(f, "a", 100*second))
	is.True(!c.recordCrash(f, "b", 100*second+2*suspicionTime)) // the first is forgotten
	is.Equal(len(c.list(100*second+2*suspicionTime)), 0)
}

// Guards against memory that grows with failures, and against many deadly requests of one caller that
// keep another one from being blocked.
func TestManyCrashingRequestsStayBounded(t *testing.T) {
	is := is.New(t)
	c, now := newRequestCrashes(), second
	for n := range 3 * maxCrashRecords {
		now += 60 * time.Millisecond
		c.recordCrash(fingerprintOf(n), fmt.Sprint("t", n), now)
	}
	is.True(len(c.records) <= maxCrashRecords)
	for n := range 2 * maxListedRequests {
		for i := range blockRequestCrashes {
			now += 60 * time.Millisecond
			blocked := c.recordCrash(fingerprintOf(1_000_000+n), fmt.Sprint("t", i), now)
			is.Equal(blocked, i == blockRequestCrashes-1)
		}
		_, refused := c.refuses(fingerprintOf(1_000_000+n), now)
		is.True(refused)
	}
	is.True(len(c.list(now)) <= maxListedRequests)
	is.True(len(c.records) <= maxCrashRecords)
}

// Guards against a sequence of crashes, answers and repeats by which more than one repeat at a time
// reaches a target after the second crash, or any while the request is blocked.
func TestRepeatsAreTriedOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, f, now := newRequestCrashes(), fingerprintOf(1), second
		crashes, blockedAt := 0, time.Duration(-1)
		passedAt := time.Duration(-1) // since the last result
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += commonCauseTime + time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				c.recordCrash(f, fmt.Sprint("t", n), now)
				if crashes++; crashes >= blockRequestCrashes && blockedAt < 0 {
					blockedAt = now
				}
				passedAt = -1
			case 1:
				if rapid.IntRange(0, 3).Draw(t, "answered") == 0 {
					c.recordAnswered(f)
					crashes, blockedAt, passedAt = 0, -1, -1
				}
			default:
				_, refused := c.refuses(f, now)
				if refused || crashes < suspectRequestCrashes {
					continue
				}
				if blockedAt >= 0 && now-blockedAt < initialBlockTime {
					t.Fatalf("a repeat passes %v after the block", now-blockedAt)
				}
				if passedAt >= 0 && now-passedAt < suspectTrialTime {
					t.Fatalf("two repeats pass within %v", now-passedAt)
				}
				passedAt = now
			}
			listed := 0
			for _, r := range c.records {
				if r.isListed() {
					listed++
				}
			}
			if listed != c.listed {
				t.Fatalf("%d listed, counted %d", listed, c.listed)
			}
		}
	})
}

// Guards against a new owner that lets a request crash three more targets, and against one that forgets
// the remaining time.
func TestNewOwnerLearnsSuspectRequests(t *testing.T) {
	is := is.New(t)
	old, next := newRequestCrashes(), newRequestCrashes()
	for i := range blockRequestCrashes {
		old.recordCrash(fingerprintOf(1), fmt.Sprint("t", i), time.Duration(i+1)*second)
	}
	old.recordCrash(fingerprintOf(2), "t8", 4*second)
	old.recordCrash(fingerprintOf(2), "t9", 5*second)
	l := NewSuspectList()
	l.Set(old.list(6*second), 6*second)
	for range 2 { // each entry instance reports
		next.merge(l.Requests(10*second), second)
	}
	is.Equal(next.listed, 2)
	remaining, refused := next.refuses(fingerprintOf(1), second)
	is.True(refused && remaining > 50*second && remaining < 54*second)
	is.True(next.recordCrash(fingerprintOf(2), "t0", 2*second)) // its third
}
