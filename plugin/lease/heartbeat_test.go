package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/lease"
)

// Guards against urgent heartbeats that delay the periodic ones until the lease
// expires, and against a burst of heartbeats after a suspension of the process.
func TestNextHeartbeat(t *testing.T) {
	is := is.New(t)
	next, now := time.Duration(0), 10*time.Second
	for range 20 {
		next = nextHeartbeat(next, now)
		is.True(next > now && next <= now+lease.HeartbeatInterval)
		now += time.Millisecond // urgent heartbeats in a row
	}
	next = nextHeartbeat(time.Second, time.Minute) // overdue by 59 s
	is.Equal(next, time.Minute+lease.HeartbeatInterval/2)
}
