package consensus

// position is the index and the term of an entry.
type position struct{ index, term uint64 }

// indexedMembership is a membership with the index of its entry, or of the snapshot
// that contains it.
type indexedMembership struct {
	index uint64
	Membership
}

// entryLog is the log in memory: the newest snapshot and the entries after base. Base
// may be before the snapshot, so that slow followers can be sent entries.
type entryLog struct {
	snap    Snapshot
	base    position // of the entry before entries[0]
	entries []Entry
	stable  uint64 // newest durable index
	commit  uint64 // newest index known to be committed
	applied uint64 // newest index applied by the caller
	// memberships holds the membership in force at base and all later ones.
	memberships []indexedMembership
}

func newEntryLog(snap Snapshot, entries []Entry) *entryLog {
	l := &entryLog{}
	l.reset(snap)
	for _, e := range entries {
		if e.Index > snap.Index {
			l.push(e)
		}
	}
	l.stable = l.lastIndex()
	return l
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.snap, l.base, l.entries = s, position{s.Index, s.Term}, nil
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.memberships = []indexedMembership{{s.Index, s.Members}}
}

func (l *entryLog) lastIndex() uint64 { return l.base.index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of an entry, or false if the index is before base or after the
// last entry.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base.index:
		return l.base.term, true
	case i > l.base.index && i <= l.lastIndex():
		return l.entries[i-l.base.index-1].Term, true
	}
	return 0, false
}

func (l *entryLog) members() Membership { return l.memberships[len(l.memberships)-1].Membership }

// membershipIndex returns the index of the newest membership.
func (l *entryLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membersAt returns the membership in force at an index.
func (l *entryLog) membersAt(i uint64) Membership {
	m := l.memberships[0]
	for _, h := range l.memberships {
		if h.index <= i {
			m = h
		}
	}
	return m.Membership
}

// push appends an entry and records a membership in it.
func (l *entryLog) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryMembers {
		return
	}
	if m, err := DecodeMembership(e.Data); err == nil {
		l.memberships = append(l.memberships, indexedMembership{e.Index, m})
	}
}

// truncate drops the entries and memberships from index i on.
func (l *entryLog) truncate(i uint64) {
	l.entries = l.entries[: i-l.base.index-1 : i-l.base.index-1]
	l.stable = min(l.stable, i-1)
	for len(l.memberships) > 1 && l.membershipIndex() >= i {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// appendFromLeader appends entries received from the leader. At the first entry whose
// term conflicts it drops the rest of the log.
func (l *entryLog) appendFromLeader(entries []Entry) {
	for _, e := range entries {
		if e.Index <= l.base.index || e.Index <= l.commit {
			continue
		}
		if t, ok := l.term(e.Index); ok {
			if t == e.Term {
				continue
			}
			l.truncate(e.Index)
		}
		l.push(e)
	}
}

// slice returns the entries from index lo to hi inclusive. If maxBytes is positive, it
// bounds the size of their data, but at least one entry is returned.
func (l *entryLog) slice(lo, hi uint64, maxBytes int) []Entry {
	if lo > hi {
		return nil
	}
	part := l.entries[lo-l.base.index-1 : hi-l.base.index]
	size := 0
	for i, e := range part {
		size += len(e.Data)
		if i > 0 && maxBytes > 0 && size > maxBytes {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

// findConflictByTerm returns the newest index up to i whose term is at most maxTerm, or
// the index of base. A log whose entry at i has term maxTerm cannot agree with this one
// beyond the result.
func (l *entryLog) findConflictByTerm(i, maxTerm uint64) uint64 {
	i = min(i, l.lastIndex())
	for i > l.base.index {
		if t, _ := l.term(i); t <= maxTerm {
			break
		}
		i--
	}
	return i
}

// compact stores a snapshot of the applied state. The newest entries before it stay, up
// to keepBytes of data and overhead, for followers that lag a little.
func (l *entryLog) compact(s Snapshot, keepBytes int) {
	l.snap = s
	cut, size := s.Index, 0
	for cut > l.base.index {
		size += len(l.entries[cut-l.base.index-1].Data) + entryOverheadBytes
		if size > keepBytes {
			break
		}
		cut--
	}
	if cut <= l.base.index {
		return
	}
	t, _ := l.term(cut)
	l.entries = append([]Entry(nil), l.entries[cut-l.base.index:]...)
	l.base = position{cut, t}
	for len(l.memberships) > 1 && l.memberships[1].index <= cut {
		l.memberships = l.memberships[1:]
	}
}

// entryOverheadBytes is the approximate memory of an entry besides its data.
const entryOverheadBytes = 64
