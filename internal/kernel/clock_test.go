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
	at := ClockReading{Monotonic: time.Minute, Wall: time.Hour}
	after := func(monotonic, wall time.Duration) time.Duration {
		return ClockReading{at.Monotonic + monotonic, at.Wall + wall}.Since(at)
	}
	is.Equal(after(time.Second, time.Second), time.Second)
	is.Equal(after(time.Millisecond, 5*time.Second), 5*time.Second) // suspended
	is.Equal(after(time.Second, -time.Minute), time.Second)         // the wall clock was set back
	begin := ReadClocks()
	time.Sleep(20 * time.Millisecond)
	is.True(ReadClocks().Since(begin) >= 20*time.Millisecond)
}

// Guards against a suspension that is not detected, and against a time without calls of
// Elapsed that counts as one.
func TestSuspensionDetector(t *testing.T) {
	is := is.New(t)
	var l SuspensionDetector
	at := ClockReading{}
	is.Equal(l.Elapsed(at), time.Duration(0))
	at.Wall += 4 * time.Second
	is.Equal(l.Elapsed(at), 4*time.Second)
	l.Reset()
	at.Wall += time.Hour
	is.Equal(l.Elapsed(at), time.Duration(0))
}
