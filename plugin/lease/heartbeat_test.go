package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/lease"
)

// Guards against urgent beats that put off the periodic ones until the lease
// ends, and against a burst of beats after a pause of the process.
func TestFollowingBeat(t *testing.T) {
	is := is.New(t)
	next, now := time.Duration(0), 10*time.Second
	for range 20 {
		next = following(next, now)
		is.True(next > now && next <= now+lease.BeatInterval)
		now += time.Millisecond // urgent beats in a row
	}
	next = following(time.Second, time.Minute) // late by most of a minute
	is.Equal(next, time.Minute+lease.BeatInterval/2)
}
