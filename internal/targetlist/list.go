// Package targetlist keeps a versioned copy of the platform's list of targets and
// replicates its changes between instances as incremental or full updates.
//
// The List of the instance that reads the platform compares each response with its
// state and returns the changes as an Update. The Lists of the other instances apply
// the updates in order. The package does no I/O and reads no clock: the caller
// passes the current time.
package targetlist

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"nutmegrouter/internal/api"
)

// Position is the version of a list. Epoch is the control leader's term in which
// the list was read; Seq increases with each change. The zero value is the position
// of a list that was never read or received.
type Position struct {
	Epoch uint64 `json:"e,omitempty"`
	Seq   uint64 `json:"s,omitempty"`
}

// Less reports whether p is older than other.
func (p Position) Less(other Position) bool {
	return p.Epoch < other.Epoch || (p.Epoch == other.Epoch && p.Seq < other.Seq)
}

// Entry is the wire form of a target.
type Entry struct {
	ID         string `json:"i"`
	Service    string `json:"s"`
	Address    string `json:"a"`
	DataCentre string `json:"z,omitempty"`
	Version    string `json:"v,omitempty"`
	Slots      int    `json:"n,omitempty"`
	Leaving    bool   `json:"l,omitempty"`
	ColdMs     int64  `json:"c,omitempty"` // rest of the cold start at the time of the update; 0 = warm
	// StartedUnixMs is the start of the target's incarnation as Unix time in milliseconds;
	// 0 = unknown.
	StartedUnixMs int64 `json:"b,omitempty"`
}

// Update is the changes of a list from position Base to position At, or the full list at
// position At.
type Update struct {
	At   Position `json:"at"`
	Base Position `json:"base"`
	// Full marks a full list, which replaces the receiver's list. Its Base is zero.
	Full    bool     `json:"w,omitempty"`
	Entries []Entry  `json:"c,omitempty"` // added or changed targets
	Removed []string `json:"g,omitempty"` // IDs of removed targets
}

// coldEndTolerance is the largest difference between two reported ends of a cold
// start that does not count as a change: the platform caches and delays its
// responses.
const coldEndTolerance = time.Second

// List is a versioned list of targets with its recent changes. The zero value is an
// empty list. It is not safe for concurrent use.
type List struct {
	position Position
	targets  map[string]api.Target // by ID
	history  []Update              // newest consecutive updates, oldest first
}

// maxHistory is the number of updates kept for Since. The platform's list is read
// every 0.4 s, so an instance that missed updates for up to about 12 s needs no full
// list.
const maxHistory = 32

// appendHistory stores an update that led to the current position. A full or first
// update clears the history.
func (l *List) appendHistory(u Update) {
	if u.Full || u.Base == (Position{}) { // an empty list gets the full list from Since
		l.history = nil
		return
	}
	if len(l.history) == maxHistory {
		l.history = l.history[1:]
	}
	l.history = append(l.history, u)
}

// Since returns the changes from position p to the current position, or the full
// list if the history does not reach back to p.
func (l *List) Since(p Position, now time.Duration) Update {
	if p == l.position {
		return Update{At: p, Base: p}
	}
	from := slices.IndexFunc(l.history, func(u Update) bool { return u.Base == p })
	if from < 0 {
		return l.FullUpdate(now)
	}
	changed := map[string]bool{} // by ID; false = removed
	for _, u := range l.history[from:] {
		for _, e := range u.Entries {
			changed[e.ID] = true
		}
		for _, id := range u.Removed {
			changed[id] = false
		}
	}
	out := Update{At: l.position, Base: p}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		if t, ok := l.targets[id]; ok {
			out.Entries = append(out.Entries, toEntry(t, now))
		} else {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// Position returns the current position.
func (l *List) Position() Position { return l.position }

// Targets returns the targets sorted by ID.
func (l *List) Targets() []api.Target {
	return slices.SortedFunc(maps.Values(l.targets), func(a, b api.Target) int { return strings.Compare(a.ID, b.ID) })
}

// Replace replaces the list by a complete response of the platform, read in the given
// epoch, and returns the changes as an update for other instances. Which of several
// entries with one ID counts follows from what they say, not from their order: see
// precedes. known reports whether the configuration has a service; nil if there is no
// configuration yet. If nothing changed, the update is empty, and a new epoch alone
// advances the position.
func (l *List) Replace(epoch uint64, entries []api.DirectoryEntry, known func(service string) bool, now time.Duration) Update {
	next := make(map[string]api.Target, len(entries))
	for _, e := range entries {
		t := fromEntry(e, now)
		if other, ok := next[t.ID]; ok && !l.precedes(&t, &other, known) {
			continue
		}
		next[t.ID] = t
	}
	u := Update{Base: l.position}
	for id, t := range next {
		if old, ok := l.targets[id]; !ok || isChanged(old, t) {
			u.Entries = append(u.Entries, toEntry(t, now))
		} else {
			next[id] = old
		}
	}
	for id := range l.targets {
		if _, ok := next[id]; !ok {
			u.Removed = append(u.Removed, id)
		}
	}
	if epoch != l.position.Epoch || len(u.Entries)+len(u.Removed) > 0 {
		l.position = Position{epoch, l.position.Seq + 1}
	}
	l.targets, u.At = next, l.position
	if u.At != u.Base {
		l.appendHistory(u)
	}
	return u
}

// precedes reports whether entry a counts, not b, if the platform's list has both under one ID. The
// list has several writers, and while pages are read a target may move from one to the next. An entry
// of a service that the configuration has precedes; then the one that started later; then the one at
// the place at which the target is held already, because a target does not move; then the one under
// which less is sent: leaving, cold for longer, with fewer slots. The last rule is any fixed order.
func (l *List) precedes(a, b *api.Target, known func(service string) bool) bool {
	if known != nil && known(a.Service) != known(b.Service) {
		return known(a.Service)
	}
	if a.StartedUnixMs != b.StartedUnixMs {
		return a.StartedUnixMs > b.StartedUnixMs
	}
	if held, ok := l.targets[a.ID]; ok && held.StartedUnixMs == a.StartedUnixMs && isSamePlace(&held, a) != isSamePlace(&held, b) {
		return isSamePlace(&held, a)
	}
	if a.Leaving != b.Leaving {
		return a.Leaving
	}
	return cmp.Or(
		cmp.Compare(b.ColdUntil, a.ColdUntil), cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Version, b.Version),
	) < 0
}

// isSamePlace reports whether two entries name the same service, address and data centre.
func isSamePlace(a, b *api.Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre
}

// fromEntry returns the target of an entry received at the time now.
func fromEntry(e api.DirectoryEntry, now time.Duration) api.Target {
	t := api.Target{
		ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version,
		Slots: e.Slots, Leaving: e.Leaving, StartedUnixMs: e.StartedUnixMs,
	}
	if e.ColdRemaining > 0 {
		t.ColdUntil = now + e.ColdRemaining
	}
	return t
}

// toEntry returns the wire form of a target at the time now.
func toEntry(t api.Target, now time.Duration) Entry {
	return Entry{
		ID: t.ID, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, Version: t.Version,
		Slots: t.Slots, Leaving: t.Leaving, StartedUnixMs: t.StartedUnixMs,
		ColdMs: max(0, t.ColdUntil-now).Milliseconds(),
	}
}

// isChanged reports whether two states of a target differ, apart from a shift of the
// end of a cold start by up to coldEndTolerance.
func isChanged(a, b api.Target) bool {
	coldShift := a.ColdUntil - b.ColdUntil
	a.ColdUntil, b.ColdUntil = 0, 0
	return a != b || coldShift > coldEndTolerance || coldShift < -coldEndTolerance
}

// FullUpdate returns the full list as an update that replaces another instance's list.
func (l *List) FullUpdate(now time.Duration) Update {
	u := Update{At: l.position, Full: true}
	for _, t := range l.Targets() {
		u.Entries = append(u.Entries, toEntry(t, now))
	}
	return u
}

// Apply applies an update received from another instance. It ignores an update that
// is not newer than the list. missing reports that earlier updates are missing: the
// update was not applied, and the caller must fetch the changes since Position or the
// full list. changed reports that the update was applied.
func (l *List) Apply(u Update, now time.Duration) (changed, missing bool) {
	if !l.position.Less(u.At) {
		return false, false
	}
	if !u.Full && u.Base != l.position {
		return false, true
	}
	next := map[string]api.Target{}
	if !u.Full {
		maps.Copy(next, l.targets)
	}
	for _, e := range u.Entries {
		next[e.ID] = fromEntry(api.DirectoryEntry{
			ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version, Slots: e.Slots,
			Leaving: e.Leaving, StartedUnixMs: e.StartedUnixMs, ColdRemaining: time.Duration(e.ColdMs) * time.Millisecond,
		}, now)
	}
	for _, id := range u.Removed {
		delete(next, id)
	}
	l.targets, l.position = next, u.At
	l.appendHistory(u)
	return true, false
}
