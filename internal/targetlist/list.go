// Package targetlist merges what the platform's list of targets says at different
// times into one numbered list, and carries its changes between instances.
//
// A List of the reading instance turns whole answers into updates; a List of
// another instance applies them in order. The package is pure: it answers for one
// list of any length; time is an argument.
package targetlist

import (
	"maps"
	"slices"
	"strings"
	"time"

	"nutmegrouter/internal/api"
)

// Position numbers the state of a list. Epoch is the term of the reader, Seq
// counts its changes.
type Position struct {
	Epoch uint64 `json:"e,omitempty"`
	Seq   uint64 `json:"s,omitempty"`
}

// Less orders positions.
func (p Position) Less(o Position) bool {
	return p.Epoch < o.Epoch || (p.Epoch == o.Epoch && p.Seq < o.Seq)
}

// Entry is a target on the wire.
type Entry struct {
	ID         string `json:"i"`
	Service    string `json:"s"`
	Address    string `json:"a"`
	DataCentre string `json:"z,omitempty"`
	Slots      int    `json:"n,omitempty"`
	Leaving    bool   `json:"l,omitempty"`
	ColdMs     int64  `json:"c,omitempty"` // from the time of sending on
	BornMs     int64  `json:"b,omitempty"`
}

// Update carries the changes from Base to At. A whole list has no base.
type Update struct {
	At   Position `json:"at"`
	Base Position `json:"base"`
	// Whole replaces the list.
	Whole   bool     `json:"w,omitempty"`
	Entries []Entry  `json:"c,omitempty"`
	Gone    []string `json:"g,omitempty"`
}

// coldTolerance is the difference between two reports of the end of a cold start
// that counts as a change: answers are cached by the platform and delayed.
const coldTolerance = time.Second

// List is the newest known state. The zero value is empty; it is not safe for
// concurrent use.
type List struct {
	at      Position
	targets map[string]api.Target
	history []Update // the newest ones, each with the one before as its base
}

// historyMost is the number of updates from which Since can tell changes. The platform's
// list is read every 0.4 s, so an instance may have missed some 12 s of them.
const historyMost = 32

// remember keeps an update that led to the present state.
func (l *List) remember(u Update) {
	if u.Whole || u.Base == (Position{}) { // Since tells the whole list to one that knows nothing
		l.history = nil
		return
	}
	if len(l.history) == historyMost {
		l.history = l.history[1:]
	}
	l.history = append(l.history, u)
}

// Since returns the changes from a position on, or the whole list if they are not known.
func (l *List) Since(p Position, now time.Duration) Update {
	if p == l.at {
		return Update{At: p, Base: p}
	}
	from := slices.IndexFunc(l.history, func(u Update) bool { return u.Base == p })
	if from < 0 {
		return l.Whole(now)
	}
	changed := map[string]bool{} // false = gone
	for _, u := range l.history[from:] {
		for _, e := range u.Entries {
			changed[e.ID] = true
		}
		for _, id := range u.Gone {
			changed[id] = false
		}
	}
	out := Update{At: l.at, Base: p}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if t, ok := l.targets[id]; ok {
			out.Entries = append(out.Entries, toEntry(t, now))
		} else {
			out.Gone = append(out.Gone, id)
		}
	}
	return out
}

// At returns the position of the list.
func (l *List) At() Position { return l.at }

// Targets returns the targets sorted by ID.
func (l *List) Targets() []api.Target {
	return slices.SortedFunc(maps.Values(l.targets), func(a, b api.Target) int { return strings.Compare(a.ID, b.ID) })
}

// Read takes a whole answer of the platform, read in an epoch, and returns the
// update for other instances. Of two entries under one ID the younger life
// counts. The update has no changes if the answer says nothing new.
func (l *List) Read(epoch uint64, entries []api.DirectoryEntry, now time.Duration) Update {
	next := make(map[string]api.Target, len(entries))
	for _, e := range entries {
		t := fromEntry(e, now)
		if old, ok := next[t.ID]; ok && old.BornMs > t.BornMs {
			continue
		}
		next[t.ID] = t
	}
	u := Update{Base: l.at}
	for id, t := range next {
		if old, ok := l.targets[id]; !ok || differs(old, t) {
			u.Entries = append(u.Entries, toEntry(t, now))
		} else {
			next[id] = old
		}
	}
	for id := range l.targets {
		if _, ok := next[id]; !ok {
			u.Gone = append(u.Gone, id)
		}
	}
	if epoch != l.at.Epoch || len(u.Entries)+len(u.Gone) > 0 {
		l.at = Position{epoch, l.at.Seq + 1}
	}
	l.targets, u.At = next, l.at
	if u.At != u.Base {
		l.remember(u)
	}
	return u
}

func fromEntry(e api.DirectoryEntry, now time.Duration) api.Target {
	t := api.Target{
		ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
		Slots: e.Slots, Leaving: e.Leaving, BornMs: e.BornMs,
	}
	if e.ColdFor > 0 {
		t.ColdUntil = now + e.ColdFor
	}
	return t
}

func toEntry(t api.Target, now time.Duration) Entry {
	return Entry{
		ID: t.ID, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre,
		Slots: t.Slots, Leaving: t.Leaving, BornMs: t.BornMs,
		ColdMs: max(0, t.ColdUntil-now).Milliseconds(),
	}
}

func differs(a, b api.Target) bool {
	cold := a.ColdUntil - b.ColdUntil
	a.ColdUntil, b.ColdUntil = 0, 0
	return a != b || cold > coldTolerance || cold < -coldTolerance
}

// Whole returns the update that replaces the list of another instance.
func (l *List) Whole(now time.Duration) Update {
	u := Update{At: l.at, Whole: true}
	for _, t := range l.Targets() {
		u.Entries = append(u.Entries, toEntry(t, now))
	}
	return u
}

// Apply takes an update. It reports whether the list changed, and whether a whole
// list must be fetched because updates are missing.
func (l *List) Apply(u Update, now time.Duration) (changed, missing bool) {
	if !l.at.Less(u.At) {
		return false, false
	}
	if !u.Whole && u.Base != l.at {
		return false, true
	}
	next := map[string]api.Target{}
	if !u.Whole {
		maps.Copy(next, l.targets)
	}
	for _, e := range u.Entries {
		next[e.ID] = fromEntry(api.DirectoryEntry{
			ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Slots: e.Slots,
			Leaving: e.Leaving, BornMs: e.BornMs, ColdFor: time.Duration(e.ColdMs) * time.Millisecond,
		}, now)
	}
	for _, id := range u.Gone {
		delete(next, id)
	}
	l.targets, l.at = next, u.At
	l.remember(u)
	return true, false
}
