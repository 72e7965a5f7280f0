package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that was suspended, or has no processor time left, and
// counts the owner as silent because it has not read the owner's messages.
func TestSilenceTimer(t *testing.T) {
	is := is.New(t)
	var s silenceTimer
	at := 10 * time.Second
	s.reset(at)
	for range 5 {
		at += silenceCheckInterval
		s.advance(at)
	}
	is.Equal(s.advance(at), 5*silenceCheckInterval)
	is.Equal(s.advance(at+time.Hour), 5*silenceCheckInterval+maxSilenceStep) // suspended for an hour
	s.reset(at + time.Hour)
	is.Equal(s.advance(at+time.Hour), time.Duration(0))
}
