package consensus

// position is an index with its term.
type position struct{ index, term uint64 }

// members is a membership and the index of the entry that made it.
type members struct {
	index uint64
	Membership
}

// entryLog is the log in memory: the newest snapshot, and the entries after base,
// which may begin before the snapshot's index to serve slow followers.
type entryLog struct {
	snap    Snapshot
	base    position
	entries []Entry
	stable  uint64 // durable up to here
	commit  uint64
	applied uint64
	// history holds the membership at or before base and all later ones.
	history []members
}

func newEntryLog(snap Snapshot, entries []Entry) *entryLog {
	l := &entryLog{}
	l.reset(snap)
	for _, e := range entries {
		if e.Index > snap.Index {
			l.push(e)
		}
	}
	l.stable = l.last()
	return l
}

func (l *entryLog) reset(s Snapshot) {
	l.snap, l.base, l.entries = s, position{s.Index, s.Term}, nil
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
	l.history = []members{{s.Index, s.Members}}
}

func (l *entryLog) last() uint64 { return l.base.index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base.index:
		return l.base.term, true
	case i > l.base.index && i <= l.last():
		return l.entries[i-l.base.index-1].Term, true
	}
	return 0, false
}

func (l *entryLog) members() Membership { return l.history[len(l.history)-1].Membership }

// membersIndex is the index of the entry that made the newest membership.
func (l *entryLog) membersIndex() uint64 { return l.history[len(l.history)-1].index }

func (l *entryLog) membersAt(i uint64) Membership {
	m := l.history[0]
	for _, h := range l.history {
		if h.index <= i {
			m = h
		}
	}
	return m.Membership
}

func (l *entryLog) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryMembers {
		return
	}
	if m, err := DecodeMembership(e.Data); err == nil {
		l.history = append(l.history, members{e.Index, m})
	}
}

// truncate drops the entries from index i on.
func (l *entryLog) truncate(i uint64) {
	l.entries = l.entries[: i-l.base.index-1 : i-l.base.index-1]
	l.stable = min(l.stable, i-1)
	for len(l.history) > 1 && l.membersIndex() >= i {
		l.history = l.history[:len(l.history)-1]
	}
}

// merge appends entries received from the leader and drops conflicting ones.
func (l *entryLog) merge(entries []Entry) {
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

// slice returns entries from index lo up to hi, at most maxBytes but at least one.
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

// agree returns the newest index up to i whose term is at most t.
func (l *entryLog) agree(i, t uint64) uint64 {
	i = min(i, l.last())
	for i > l.base.index {
		if have, _ := l.term(i); have <= t {
			break
		}
		i--
	}
	return i
}

// compact installs a snapshot of the applied state and keeps the newest
// entries before it, up to keepBytes of data, for followers that lag a little.
func (l *entryLog) compact(s Snapshot, keepBytes int) {
	l.snap = s
	cut, size := s.Index, 0
	for cut > l.base.index {
		size += len(l.entries[cut-l.base.index-1].Data) + entryOverhead
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
	for len(l.history) > 1 && l.history[1].index <= cut {
		l.history = l.history[1:]
	}
}

// entryOverhead is the approximate memory of an entry besides its data, in bytes.
const entryOverhead = 64
