package wal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/consensus"
)

func entry(i, term uint64) consensus.Entry {
	return consensus.Entry{Index: i, Term: term, Kind: consensus.EntryCommand, Data: fmt.Appendf(nil, "command %d of term %d", i, term)}
}

func entries(lo, hi, term uint64) (out []consensus.Entry) {
	for i := lo; i <= hi; i++ {
		out = append(out, entry(i, term))
	}
	return out
}

func mustOpen(t *testing.T, dir string) (*Log, *State) {
	t.Helper()
	l, st, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, st
}

func reopen(t *testing.T, l *Log) (*Log, *State) {
	t.Helper()
	_ = l.Close()
	return mustOpen(t, l.dir)
}

var members = consensus.Membership{Voters: []consensus.Member{{ID: "x", Instance: "i0"}}}

// TestStateSurvivesReopen guards against a restart that loses or changes saved state.
func TestStateSurvivesReopen(t *testing.T) {
	is := is.New(t)
	l, st := mustOpen(t, t.TempDir())
	id := st.Identity
	is.True(len(id) == 8 && st.Snapshot.Index == 0 && len(st.Entries) == 0)
	is.NoErr(l.Save(&consensus.HardState{Term: 3, Vote: "v"}, entries(1, 5, 2)))
	is.NoErr(l.Save(nil, entries(4, 8, 3))) // replaces 4 and 5
	is.NoErr(l.Save(nil, nil))
	l, st = reopen(t, l)
	is.Equal(st.Identity, id)
	is.Equal(st.HardState, consensus.HardState{Term: 3, Vote: "v"})
	is.Equal(st.Entries, append(entries(1, 3, 2), entries(4, 8, 3)...))

	snap := consensus.Snapshot{Index: 6, Term: 3, Members: members, Data: []byte("state")}
	is.NoErr(l.SaveSnapshot(snap, st.HardState, entries(7, 8, 3)))
	is.NoErr(l.Save(nil, entries(9, 9, 3)))
	l, st = reopen(t, l)
	is.Equal(st.Identity, id)
	is.Equal(st.Snapshot, snap)
	is.Equal(st.Entries, entries(7, 9, 3))
	is.Equal(st.HardState.Vote, "v")
	_ = l.Close()
	is.True(l.Save(nil, entries(10, 10, 3)) != nil) // a closed log refuses writes
}

// TestFolderLocked guards against two processes that use one folder at the same time.
func TestFolderLocked(t *testing.T) {
	is := is.New(t)
	l, _ := mustOpen(t, t.TempDir())
	_, _, err := Open(l.dir)
	is.True(errors.Is(err, ErrLocked))
	is.NoErr(l.Close())
	mustOpen(t, l.dir)
}

// logBeforeAndAfterSave returns a closed log and the content of its file before and
// after the last save.
func logBeforeAndAfterSave(t *testing.T) (l *Log, before, after []byte) {
	t.Helper()
	is := is.New(t)
	l, _ = mustOpen(t, t.TempDir())
	is.NoErr(l.Save(&consensus.HardState{Term: 1}, entries(1, 20, 1)))
	before, err := os.ReadFile(l.path(logName))
	is.NoErr(err)
	is.NoErr(l.Save(&consensus.HardState{Term: 2}, entries(21, 60, 2)))
	after, err = os.ReadFile(l.path(logName))
	is.NoErr(err)
	_ = l.Close()
	return l, before, after
}

// TestTornTail guards against a folder that cannot be opened after a crash of the process
// or machine between a write and its sync, and against synced entries that are truncated
// with the torn tail.
func TestTornTail(t *testing.T) {
	l, before, after := logBeforeAndAfterSave(t)
	torn := map[string][]byte{}
	for cut := len(before); cut < len(after); cut += 7 {
		torn[fmt.Sprintf("cut at %d", cut)] = after[:cut]
	}
	for lo := len(before); lo < len(after); lo = (lo/sectorBytes + 1) * sectorBytes {
		part := bytes.Clone(after)
		clear(part[lo:min((lo/sectorBytes+1)*sectorBytes, len(after))])
		torn[fmt.Sprintf("sector at %d not written", lo)] = part
	}
	torn["nothing written"] = append(bytes.Clone(before), make([]byte, len(after)-len(before))...)
	for name, raw := range torn {
		is := is.New(t)
		is.NoErr(os.WriteFile(l.path(logName), raw, 0o600))
		reopened, st, err := Open(l.dir)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		is.Equal(st.Entries, entries(1, 20, 1)) // only the synced entries
		is.Equal(st.HardState.Term, uint64(1))
		is.Equal(st.TornBytes, len(raw)-len(before))
		is.NoErr(reopened.Save(nil, entries(21, 22, 3)))
		reopened, st = reopen(t, reopened)
		is.Equal(len(st.Entries), 22)
		_ = reopened.Close()
	}
}

// TestDamagedLog guards against damage that is mistaken for a torn tail, which would
// silently drop synced entries, and against errors that do not name the damaged frame.
func TestDamagedLog(t *testing.T) {
	l, before, after := logBeforeAndAfterSave(t)
	for offset := range after {
		is := is.New(t)
		raw := bytes.Clone(after)
		raw[offset] ^= 0x40
		is.NoErr(os.WriteFile(l.path(logName), raw, 0o600))
		reopened, st, err := Open(l.dir)
		if err == nil { // the flipped bit is in the padding
			is.Equal(len(st.Entries), 60)
			_ = reopened.Close()
			continue
		}
		is.True(errors.Is(err, ErrCorrupt))
		is.True(bytes.Contains([]byte(err.Error()), []byte("frame")))
	}
	cases := map[string]func() []byte{
		"empty file":         func() []byte { return nil },
		"only half a header": func() []byte { return after[:8] },
		"zeros in the middle": func() []byte {
			raw := bytes.Clone(after)
			clear(raw[len(before)-64 : len(before)])
			return raw
		},
		"frame removed": func() []byte {
			_, first, _ := readFrame(after, 0, 1)
			return append(bytes.Clone(after[:first]), after[len(before):]...)
		},
		"frame doubled": func() []byte { return append(bytes.Clone(after), after[len(before):]...) },
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile(l.path(logName), raw(), 0o600))
			_, _, err := Open(l.dir)
			is.True(errors.Is(err, ErrCorrupt))
		})
	}
}

// TestDamagedSnapshot guards against opening a folder whose snapshot is damaged or
// missing, or whose log is missing although a snapshot exists.
func TestDamagedSnapshot(t *testing.T) {
	cases := map[string]func(l *Log) error{
		"damaged snapshot": func(l *Log) error {
			raw, err := os.ReadFile(l.path(snapshotName))
			raw[len(raw)/2] ^= 1
			return errors.Join(err, os.WriteFile(l.path(snapshotName), raw, 0o600))
		},
		"short snapshot":   func(l *Log) error { return os.Truncate(l.path(snapshotName), 20) },
		"missing log":      func(l *Log) error { return os.Remove(l.path(logName)) },
		"missing snapshot": func(l *Log) error { return os.Remove(l.path(snapshotName)) },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, _ := mustOpen(t, t.TempDir())
			is.NoErr(l.Save(nil, entries(1, 5, 1)))
			is.NoErr(l.SaveSnapshot(consensus.Snapshot{Index: 3, Term: 1, Data: []byte("a long enough state")}, consensus.HardState{}, entries(4, 5, 1)))
			_ = l.Close()
			is.NoErr(damage(l))
			_, _, err := Open(l.dir)
			is.True(errors.Is(err, ErrCorrupt))
		})
	}
}

// TestSnapshotInterrupted guards against a folder that cannot be opened, or loses
// entries, after the process ended between two steps of storing a snapshot.
func TestSnapshotInterrupted(t *testing.T) {
	cases := map[string]struct {
		snap consensus.Snapshot
		want []consensus.Entry
	}{
		"within the log":      {consensus.Snapshot{Index: 3, Term: 1}, entries(4, 5, 1)},
		"ahead of the log":    {consensus.Snapshot{Index: 9, Term: 2}, nil},
		"contradicts the log": {consensus.Snapshot{Index: 3, Term: 2}, nil},
		"at the end of it":    {consensus.Snapshot{Index: 5, Term: 1}, nil},
		"temporary file only": {consensus.Snapshot{}, entries(1, 5, 1)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, _ := mustOpen(t, t.TempDir())
			is.NoErr(l.Save(&consensus.HardState{Term: 2}, entries(1, 5, 1)))
			if tc.snap.Index > 0 { // the snapshot is stored, the log not yet replaced
				is.NoErr(l.replaceFile(snapshotName, appendFrame(nil, 1, snapshotBody(tc.snap))))
			}
			is.NoErr(os.WriteFile(filepath.Join(l.dir, snapshotName+tempSuffix), []byte("half"), 0o600))
			l, st := reopen(t, l)
			is.Equal(len(st.Entries), len(tc.want))
			is.Equal(st.HardState.Term, uint64(2))
			next := max(tc.snap.Index, 5)
			if len(tc.want) == 0 {
				next = tc.snap.Index
			}
			is.NoErr(l.Save(nil, entries(next+1, next+2, 3)))
			_, st = reopen(t, l)
			is.Equal(st.Entries, append(tc.want, entries(next+1, next+2, 3)...))
		})
	}
}

// FuzzDecode guards against panics, and against gaps between decoded entries, on damaged
// files.
func FuzzDecode(f *testing.F) {
	body := batchBody(&consensus.HardState{Term: 2, Vote: "v"}, entries(1, 3, 1))
	f.Add(appendFrame(appendFrame(nil, 1, identityBody("id")), 2, body), body)
	f.Add(appendFrame(nil, 1, identityBody("id"))[:20], snapshotBody(consensus.Snapshot{Index: 1, Members: members}))
	f.Fuzz(func(t *testing.T, file, body []byte) {
		// Random files fail at the checksums, so the body is also put into a valid
		// frame to reach the decoding of records.
		for _, raw := range [][]byte{file, appendFrame(appendFrame(nil, 1, identityBody("id")), 2, body)} {
			st := &State{}
			end, _, err := decodeLog(raw, st)
			if err != nil {
				continue
			}
			if end > len(raw) {
				t.Fatalf("complete frames end at %d of %d bytes", end, len(raw))
			}
			for i, e := range st.Entries {
				if e.Index != st.Entries[0].Index+uint64(i) {
					t.Fatalf("entry %d at position %d", e.Index, i)
				}
			}
		}
		_, _ = decodeSnapshot(body)
		_, _ = decodeIdentity(body)
	})
}

// TestRandomOperations guards against a folder that returns a state other than the last
// synced one, after random sequences of saves, snapshots, restarts and interrupted writes.
func TestRandomOperations(t *testing.T) {
	root := t.TempDir()
	run := 0
	rapid.Check(t, func(rt *rapid.T) {
		run++
		l, want, err := Open(filepath.Join(root, fmt.Sprint(run)))
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			if l, err = randomStep(rt, l, want); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// randomStep performs one random operation on the folder and updates the state that the
// folder must return.
func randomStep(t *rapid.T, l *Log, want *State) (*Log, error) {
	last := want.Snapshot.Index + uint64(len(want.Entries))
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0, 1:
		from := last + 1 - rapid.Uint64Range(0, uint64(len(want.Entries))).Draw(t, "replaced")
		want.HardState.Term++
		add := entries(from, from+rapid.Uint64Range(0, 5).Draw(t, "added"), want.HardState.Term)
		want.Entries = append(want.Entries[:from-want.Snapshot.Index-1:from-want.Snapshot.Index-1], add...)
		return l, l.Save(&want.HardState, add)
	case 2:
		cut := rapid.IntRange(0, len(want.Entries)).Draw(t, "cut")
		if cut > 0 {
			e := want.Entries[cut-1]
			want.Snapshot = consensus.Snapshot{Index: e.Index, Term: e.Term, Members: members, Data: e.Data}
			want.Entries = want.Entries[cut:]
		}
		return l, l.SaveSnapshot(want.Snapshot, want.HardState, want.Entries)
	case 3: // the process ends during the write of a frame
		frame := appendFrame(nil, l.nextFrame, batchBody(nil, entries(last+1, last+3, 99)))
		_, err := l.file.Write(frame[:rapid.IntRange(0, len(frame)-1).Draw(t, "written")])
		if err != nil {
			return l, err
		}
	}
	_ = l.Close()
	reopened, st, err := Open(l.dir)
	if err != nil {
		return l, err
	}
	st.TornBytes = 0
	if got, exp := fmt.Sprintf("%+v", *st), fmt.Sprintf("%+v", *want); got != exp {
		t.Fatalf("got %s\nwant %s", got, exp)
	}
	return reopened, nil
}
