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
// load for 8 s. Their usual load uses six tenths of the slots. Of each session the requests have the same last prompt
// part; without sessions each has one of its own.
func runFloodedSessions(seed uint64, sessions int, sameHash, retries bool) *sim {
	s := newSim(seed, 4, 12, 400_000, 20_000)
	s.tick()
	s.enableThrottling()
	s.retries, s.sameHash = retries, sameHash
	for i := range sessionWorkspaces {
		load := workload{fmt.Sprint("w", i), "chat", 4, 400, 500, 1, 160, 400 * time.Millisecond, 8 * second}
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

// Guards against throttling that draws sessions and not requests: one session is refused, and another one passes, for as
// long as the share stands, and the share that the owner sets does not pass. All sessions of a workspace in overload
// must be served, as often together as the same requests without sessions.
func TestSessionsAreThrottledByRequest(t *testing.T) {
	for _, sameHash := range []bool{false, true} {
		with, without := 0, 0
		for seed := range uint64(8) {
			s := runFloodedSessions(seed, usualSessions, sameHash, false)
			bySession := map[PartID]*outcome{}
			for _, c := range s.calls {
				if c.workspace != "w0" || c.submittedAt < sessionFloodFrom || c.submittedAt >= sessionFloodTo {
					continue
				}
				id := c.request.Prompt[len(c.request.Prompt)-1].ID
				if bySession[id] == nil {
					bySession[id] = &outcome{}
				}
				o := bySession[id]
				if o.asked++; c.firstEventAt > 0 {
					o.started++
				}
			}
			is := is.New(t)
			is.Equal(len(bySession), usualSessions)
			started := []int{}
			for _, o := range bySession {
				started = append(started, o.started)
				is.True(o.asked >= 4) // as often as a session must that counts as starved if it gets nothing
				is.True(o.started > 0)
			}
			t.Logf("same hash %v seed %d: started by session %v", sameHash, seed, started)
			with += s.summarize(sessionFloodFrom, sessionFloodTo, ofWorkspace("w0")).started
			without += runFloodedSessions(seed, 0, false, false).summarize(sessionFloodFrom, sessionFloodTo, ofWorkspace("w0")).started
		}
		t.Logf("same hash %v: %d started, %d without sessions", sameHash, with, without)
		is.New(t).True(float64(with) >= 0.9*float64(without))
	}
}

// Guards against a session without shared parts whose part is prefilled again although a target has it: the only part of a
// prompt was taken for that of one request, so no fetch from a busy target was considered. A part that only one request
// has must not be indexed.
func TestOnlyPartOfSessionIsFound(t *testing.T) {
	is := is.New(t)
	s := newFetchSim()
	run := func(n uint64, part PartID) {
		req := fetchRequest(0)
		req.Prompt = []Part{{part, fetchTokens}}
		s.owner.AddRunning(Key{"e01", n}, req, "e01", true, true, 2*second, s.now)
	}
	run(1, 50)
	run(2, 60)
	is.Equal(len(s.owner.cacheIndex[50]), 0)
	for n := range uint64(3) {
		run(10+n, 60) // all slots are in use
	}
	is.Equal(len(s.owner.cacheIndex[60]), 1)
	req := fetchRequest(0)
	req.Prompt = []Part{{60, fetchTokens}}
	s.owner.Submit(Key{"n", 1}, req, s.now)
	d := s.owner.Decisions()
	is.Equal(len(d), 1)
	is.True(d[0].Target != "" && d[0].Target != "e01")
	is.Equal(d[0].FetchFrom, "e01")
	s.view.Targets = s.view.Targets[:1]
	s.owner.SetView(s.view, s.now)
	is.Equal(len(s.owner.cacheIndex[60]), 0)
}
