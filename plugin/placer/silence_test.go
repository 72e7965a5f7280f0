package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that was frozen, or has no processor time left, and
// takes the owner for silent because it has not read its messages.
func TestSilence(t *testing.T) {
	is := is.New(t)
	var s silence
	at := 10 * time.Second
	s.heard(at)
	for range 5 {
		at += pulseEvery
		s.look(at)
	}
	is.Equal(s.look(at), 5*pulseEvery)
	is.Equal(s.look(at+time.Hour), 5*pulseEvery+pulseMost) // frozen for an hour
	s.heard(at + time.Hour)
	is.Equal(s.look(at+time.Hour), time.Duration(0))
}
