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

// entry returns a warm target of the platform's list.
func entry(id string, startedUnixMs int64) api.DirectoryEntry {
	return api.DirectoryEntry{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 4, StartedUnixMs: startedUnixMs}
}

// Guards against updates that lack a leaving target, a new incarnation or a cold
// start.
func TestChanges(t *testing.T) {
	is := is.New(t)
	var reader, follower List
	read := func(now time.Duration, entries ...api.DirectoryEntry) Update {
		u := reader.Replace(1, entries, nil, now)
		follower.Apply(u, now)
		is.Equal(follower.Targets(), reader.Targets())
		return u
	}
	read(0, entry("a", 1), entry("b", 1))
	is.Equal(len(read(time.Second, entry("a", 1), entry("b", 1)).Entries), 0) // nothing new
	leaving := entry("a", 1)
	leaving.Leaving = true
	read(2*time.Second, leaving, entry("b", 1))
	is.True(follower.Targets()[0].Leaving)
	cold := entry("b", 2)
	cold.ColdRemaining = 3 * time.Second
	read(3*time.Second, cold)
	is.Equal(len(follower.Targets()), 1)
	is.Equal(follower.Targets()[0].ColdUntil, 6*time.Second)
	cold.ColdRemaining = 2200 * time.Millisecond // the same end within the tolerance
	is.Equal(len(read(4*time.Second, cold).Entries), 0)
}

// Guards against an older incarnation of a target that replaces a newer one with the
// same ID.
func TestNewestIncarnationCounts(t *testing.T) {
	is := is.New(t)
	for _, entries := range [][]api.DirectoryEntry{{entry("a", 1), entry("a", 2)}, {entry("a", 2), entry("a", 1)}} {
		var l List
		l.Replace(1, entries, nil, 0)
		is.Equal(len(l.Targets()), 1)
		is.Equal(l.Targets()[0].StartedUnixMs, int64(2))
	}
}

// Guards against an entry of another writer that takes the place of a target's own because it stands
// before or after it in the list.
func TestOwnEntryCountsInAnyOrder(t *testing.T) {
	own := entry("a", 1)
	known := func(service string) bool { return service == "s" }
	for name, c := range map[string]struct {
		held    []api.DirectoryEntry // read before
		foreign func(e *api.DirectoryEntry)
	}{
		"of an unknown service":                    {nil, func(e *api.DirectoryEntry) { e.Service, e.StartedUnixMs = "x", 9 }},
		"without a start":                          {nil, func(e *api.DirectoryEntry) { e.DataCentre, e.StartedUnixMs = "other", 0 }},
		"in another data centre":                   {[]api.DirectoryEntry{own}, func(e *api.DirectoryEntry) { e.DataCentre = "other" }},
		"in another data centre that sorts before": {[]api.DirectoryEntry{own}, func(e *api.DirectoryEntry) { e.DataCentre = "a" }},
		"leaving at another address":               {[]api.DirectoryEntry{own}, func(e *api.DirectoryEntry) { e.Address, e.Leaving = "10.0.0.2:80", true }},
		"with more slots":                          {nil, func(e *api.DirectoryEntry) { e.Slots = 99 }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			foreign := own
			c.foreign(&foreign)
			for _, entries := range [][]api.DirectoryEntry{{own, foreign}, {foreign, own}, {foreign, own, foreign}} {
				var l List
				l.Replace(1, c.held, known, 0)
				l.Replace(1, entries, known, 0)
				is.Equal(l.Targets(), []api.Target{fromEntry(own, 0)})
			}
		})
	}
}

// Guards against a list that depends on the order of its entries, and against a target that is seen as
// ready although an entry read on a later page says that it leaves.
func TestOrderOfEntriesDoesNotCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) api.DirectoryEntry {
			e := entry(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.Int64Range(0, 1).Draw(t, "born"))
			e.Service = rapid.SampledFrom([]string{"s", "x"}).Draw(t, "service")
			e.DataCentre = rapid.SampledFrom([]string{"y", "z"}).Draw(t, "dc")
			e.Slots, e.Leaving = rapid.IntRange(1, 2).Draw(t, "slots"), rapid.Bool().Draw(t, "leaving")
			e.ColdRemaining = time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * 5 * time.Second
			return e
		})
		var known func(string) bool
		if rapid.Bool().Draw(t, "configured") {
			known = func(service string) bool { return service == "s" }
		}
		var a, b List
		before := rapid.SliceOfN(draw, 0, 4).Draw(t, "before")
		entries := rapid.SliceOfN(draw, 0, 6).Draw(t, "entries")
		for _, l := range []*List{&a, &b} {
			l.Replace(1, before, known, 0)
		}
		a.Replace(1, entries, known, 0)
		b.Replace(1, rapid.Permutation(entries).Draw(t, "shuffled"), known, 0)
		if !slices.Equal(a.Targets(), b.Targets()) {
			t.Fatalf("%v, and in another order %v", a.Targets(), b.Targets())
		}
	})
	is := is.New(t)
	leaving := entry("a", 1)
	leaving.Leaving = true
	var l List
	l.Replace(1, []api.DirectoryEntry{leaving, entry("a", 1)}, nil, 0)
	is.True(l.Targets()[0].Leaving)
}

// Guards against lost, duplicated and reordered updates, and updates of a former
// leader, that leave an instance with an older or wrong list.
func TestRandomUpdateDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leaders [3]List
		var follower List
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
			sent = append(sent, l.Replace(epoch, entries, nil, now))
			for range rapid.IntRange(0, 3).Draw(t, "delivered") {
				u := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
				before := follower.Position()
				_, missing := follower.Apply(u, now)
				if missing {
					follower.Apply(l.FullUpdate(now), now)
				}
				if follower.Position().Less(before) {
					t.Fatal("the position decreased")
				}
			}
			follower.Apply(l.FullUpdate(now), now)
			if follower.Position() != l.Position() || fmt.Sprint(follower.Targets()) != fmt.Sprint(l.Targets()) {
				t.Fatalf("%v %v, want %v %v", follower.Position(), follower.Targets(), l.Position(), l.Targets())
			}
		}
	})
}

// Guards against an instance that misses random updates and has another list than the
// reader after it has caught up with Since.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader, follower List
		now := time.Duration(0)
		missedUpdates := 0
		for range rapid.IntRange(1, 60).Draw(t, "reads") {
			now += 400 * time.Millisecond
			var entries []api.DirectoryEntry
			for i := range rapid.IntRange(0, 8).Draw(t, "targets") {
				entries = append(entries, api.DirectoryEntry{ID: fmt.Sprint("t", i), Service: "s", Leaving: rapid.Bool().Draw(t, "leaving"),
					StartedUnixMs: rapid.Int64Range(0, 1).Draw(t, "born")})
			}
			u := reader.Replace(1+uint64(now/(4*time.Second)), entries, nil, now)
			if rapid.IntRange(0, 3).Draw(t, "missed") > 0 {
				missedUpdates++
				continue
			}
			if _, missing := follower.Apply(u, now); missing {
				s := reader.Since(follower.Position(), now)
				if _, missing = follower.Apply(s, now); missing {
					t.Fatalf("update since %v has base %v", follower.Position(), s.Base)
				}
			}
			if follower.Position() == reader.Position() && !slices.Equal(follower.Targets(), reader.Targets()) {
				t.Fatalf("after %d missed updates: %v, want %v", missedUpdates, follower.Targets(), reader.Targets())
			}
		}
	})
}
