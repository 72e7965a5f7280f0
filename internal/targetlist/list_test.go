package targetlist

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
)

func entry(id string, born int64) api.DirectoryEntry {
	return api.DirectoryEntry{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 4, BornMs: born}
}

// Guards against a leaving target, a new life or a cold start that other instances
// do not learn of.
func TestChanges(t *testing.T) {
	is := is.New(t)
	var reader, other List
	read := func(now time.Duration, entries ...api.DirectoryEntry) Update {
		u := reader.Read(1, entries, now)
		other.Apply(u, now)
		is.Equal(other.Targets(), reader.Targets())
		return u
	}
	read(0, entry("a", 1), entry("b", 1))
	is.Equal(len(read(time.Second, entry("a", 1), entry("b", 1)).Entries), 0) // nothing new
	leaving := entry("a", 1)
	leaving.Leaving = true
	read(2*time.Second, leaving, entry("b", 1))
	is.True(other.Targets()[0].Leaving)
	cold := entry("b", 2)
	cold.ColdFor = 3 * time.Second
	read(3*time.Second, cold)
	is.Equal(len(other.Targets()), 1)
	is.Equal(other.Targets()[0].ColdUntil, 6*time.Second)
	cold.ColdFor = 2200 * time.Millisecond // the same end, told a little later
	is.Equal(len(read(4*time.Second, cold).Entries), 0)
}

// Guards against an older life of a target that hides the newer one under its name.
func TestTwoLives(t *testing.T) {
	is := is.New(t)
	for _, order := range [][]api.DirectoryEntry{{entry("a", 1), entry("a", 2)}, {entry("a", 2), entry("a", 1)}} {
		var l List
		l.Read(1, order, 0)
		is.Equal(len(l.Targets()), 1)
		is.Equal(l.Targets()[0].BornMs, int64(2))
	}
}

// Guards against lost, doubled and reordered updates, and updates of a former
// leader, that leave an instance with another list than the newest it was told.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leaders [3]List
		var other List
		var sent []Update
		epoch := uint64(1)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := time.Duration(step) * time.Second
			if rapid.IntRange(0, 9).Draw(t, "elect") == 0 {
				epoch++
			}
			l := &leaders[epoch%3]
			var entries []api.DirectoryEntry
			for i := range 4 {
				if rapid.Bool().Draw(t, "there") {
					e := entry(fmt.Sprint("t", i), int64(rapid.IntRange(1, 2).Draw(t, "born")))
					e.Leaving = rapid.Bool().Draw(t, "leaving")
					entries = append(entries, e)
				}
			}
			sent = append(sent, l.Read(epoch, entries, now))
			for range rapid.IntRange(0, 3).Draw(t, "delivered") {
				u := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
				before := other.At()
				_, missing := other.Apply(u, now)
				if missing {
					other.Apply(l.Whole(now), now)
				}
				if other.At().Less(before) {
					t.Fatal("the list went back")
				}
			}
			other.Apply(l.Whole(now), now)
			if other.At() != l.At() || fmt.Sprint(other.Targets()) != fmt.Sprint(l.Targets()) {
				t.Fatalf("%v %v, want %v %v", other.At(), other.Targets(), l.At(), l.Targets())
			}
		}
	})
}

// Guards against an instance that missed updates and gets other targets than one that
// has read them all: for random changes and gaps.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader, follower List
		now := time.Duration(0)
		missed := 0
		for range rapid.IntRange(1, 60).Draw(t, "reads") {
			now += 400 * time.Millisecond
			var entries []api.DirectoryEntry
			for i := range rapid.IntRange(0, 8).Draw(t, "targets") {
				entries = append(entries, api.DirectoryEntry{ID: fmt.Sprint("t", i), Service: "s", Leaving: rapid.Bool().Draw(t, "leaving"),
					BornMs: rapid.Int64Range(0, 1).Draw(t, "born")})
			}
			u := reader.Read(1+uint64(now/(4*time.Second)), entries, now)
			if rapid.IntRange(0, 3).Draw(t, "missed") > 0 {
				missed++
				continue
			}
			if _, missing := follower.Apply(u, now); missing {
				s := reader.Since(follower.At(), now)
				if _, missing = follower.Apply(s, now); missing {
					t.Fatalf("changes since %v begin at %v", follower.At(), s.Base)
				}
			}
			if follower.At() == reader.At() && !slices.Equal(follower.Targets(), reader.Targets()) {
				t.Fatalf("after %d missed: %v, want %v", missed, follower.Targets(), reader.Targets())
			}
		}
	})
}
