package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	sessionWorkspaces  = 4
	usualSessions      = 10
	sessionFloodFrom   = 8 * second
	sessionFloodTo     = 16 * second
	sessionCalmFrom    = 24 * second // later than any caller of the flood waits
	sessionCalmTo      = 36 * second
	sessionFloodFactor = 9.9
)

// runFloodedSessions simulates four workspaces with ten sessions each, of which the first one sends 9.9 times its usual
// load for 8 s. Their usual load uses three quarters of the slots. Of each session the requests have the same last prompt
// part; without sessions each has one of its own.
func runFloodedSessions(seed uint64, sessions int, sameHash, retries bool) *sim {
	s := newSim(seed, 4, 12, 400_000, 20_000)
	s.tick()
	s.enableThrottling()
	s.retries, s.sameHash = retries, sameHash
	for i := range sessionWorkspaces {
		load := workload{fmt.Sprint("w", i), "chat", 5, 400, 500, 1, 160, 400 * time.Millisecond, 8 * second}
		if i > 0 {
			s.generateSessions(load, sessions, 0, sessionCalmTo)
			continue
		}
		s.generateSessions(load, sessions, 0, sessionFloodFrom)
		flood := load
		flood.perSecond *= sessionFloodFactor
		s.generateSessions(flood, sessions, sessionFloodFrom, sessionFloodTo)
		s.generateSessions(load, sessions, sessionFloodTo, sessionCalmTo)
	}
	s.run(60 * second)
	return s
}

func ofWorkspace(name string) func(*call) bool {
	return func(c *call) bool { return c.workspace == name }
}

// Guards against a session that is refused without an end after one of its requests was refused: its next requests were
// taken for retries of that one, because they have the same last prompt part.
func TestSessionIsServedAfterRefusal(t *testing.T) {
	for seed := range uint64(4) {
		for _, x := range []struct{ sameHash, retries bool }{{}, {retries: true}, {sameHash: true}, {true, true}} {
			s := runFloodedSessions(seed, usualSessions, x.sameHash, x.retries)
			flood := s.summarize(sessionFloodFrom, sessionFloodTo, ofWorkspace("w0"))
			calm := s.summarize(sessionCalmFrom, sessionCalmTo, ofWorkspace("w0"))
			t.Logf("%+v seed %d: flood %+v calm %+v", x, seed, flood, calm)
			is := is.New(t)
			is.True(flood.refused > 0)
			is.Equal(calm.refused, 0)
			is.Equal(calm.started, calm.asked)
		}
	}
}
