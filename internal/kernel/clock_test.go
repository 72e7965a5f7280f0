package kernel

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against time that passed while the process or the machine was stopped and does
// not count: the monotonic clock stands still during a suspension.
func TestSinceCountsSuspension(t *testing.T) {
	is := is.New(t)
	at := Instant{Monotonic: time.Minute, Wall: time.Hour}
	after := func(monotonic, wall time.Duration) time.Duration {
		return Instant{at.Monotonic + monotonic, at.Wall + wall}.Since(at)
	}
	is.Equal(after(time.Second, time.Second), time.Second)
	is.Equal(after(time.Millisecond, 5*time.Second), 5*time.Second) // suspended
	is.Equal(after(time.Second, -time.Minute), time.Second)         // the time of day was set back
	begin := Now()
	time.Sleep(20 * time.Millisecond)
	is.True(Now().Since(begin) >= 20*time.Millisecond)
}

// Guards against a pause that is not told from a time in which nobody looked.
func TestLapse(t *testing.T) {
	is := is.New(t)
	var l Lapse
	at := Instant{}
	is.Equal(l.Look(at), time.Duration(0))
	at.Wall += 4 * time.Second
	is.Equal(l.Look(at), 4*time.Second)
	l.Forget()
	at.Wall += time.Hour
	is.Equal(l.Look(at), time.Duration(0))
}
