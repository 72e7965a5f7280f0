package kernel

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a suspension of the machine that is not counted because the monotonic
// clock stands still.
func TestSinceCountsSuspension(t *testing.T) {
	is := is.New(t)
	at := Instant{Monotonic: time.Minute, Wall: time.Hour}
	after := func(monotonic, wall time.Duration) time.Duration {
		return Instant{at.Monotonic + monotonic, at.Wall + wall}.Since(at)
	}
	is.Equal(after(time.Second, time.Second), time.Second)
	is.Equal(after(time.Millisecond, 5*time.Second), 5*time.Second) // suspended
	is.Equal(after(time.Second, -time.Minute), time.Second)         // the wall clock was set back
	begin := Now()
	time.Sleep(20 * time.Millisecond)
	is.True(Now().Since(begin) >= 20*time.Millisecond)
}

// Guards against a suspension that is not detected, and against a time without calls of
// Look that counts as one.
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
