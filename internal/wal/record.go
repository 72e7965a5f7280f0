package wal

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"nutmegrouter/internal/consensus"
)

// version is the format of the files.
const version = 1

// Kinds of records within the body of a frame.
const (
	recordIdentity = 1 // version, identity; first frame of a log
	recordHard     = 2 // term, vote
	recordEntry    = 3
	recordSnapshot = 4 // index, term, members, data; only frame of a snapshot
)

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func identityBody(id string) []byte {
	return appendString([]byte{recordIdentity, version}, id)
}

func appendHard(b []byte, h consensus.HardState) []byte {
	b = binary.AppendUvarint(append(b, recordHard), h.Term)
	return appendString(b, h.Vote)
}

func batchBody(hard *consensus.HardState, entries []consensus.Entry) []byte {
	var b []byte
	if hard != nil {
		b = appendHard(b, *hard)
	}
	for _, e := range entries {
		b = consensus.AppendEntryTo(append(b, recordEntry), e)
	}
	return b
}

func snapshotBody(s consensus.Snapshot) []byte {
	b := binary.AppendUvarint([]byte{recordSnapshot, version}, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = appendString(b, string(consensus.EncodeMembership(s.Members)))
	return append(b, s.Data...)
}

func cutUvarint(b []byte) (uint64, []byte, error) {
	v, k := binary.Uvarint(b)
	if k <= 0 {
		return 0, nil, errors.WithMessage(ErrCorrupt, "bad number")
	}
	return v, b[k:], nil
}

func cutString(b []byte) (string, []byte, error) {
	k, b, err := cutUvarint(b)
	if err != nil {
		return "", nil, err
	}
	if k > uint64(len(b)) {
		return "", nil, errors.WithMessage(ErrCorrupt, "bad length")
	}
	return string(b[:k]), b[k:], nil
}

func decodeIdentity(b []byte) (string, error) {
	if len(b) < 2 || b[0] != recordIdentity {
		return "", errors.WithMessage(ErrCorrupt, "first frame holds no identity")
	}
	if b[1] != version {
		return "", errors.Errorf("wal: log has format %d, this program reads %d", b[1], version)
	}
	id, rest, err := cutString(b[2:])
	if err == nil && (len(rest) > 0 || id == "") {
		err = errors.WithMessage(ErrCorrupt, "bad identity")
	}
	return id, err
}

func decodeSnapshot(b []byte) (*consensus.Snapshot, error) {
	if len(b) < 2 || b[0] != recordSnapshot {
		return nil, errors.WithMessage(ErrCorrupt, "frame holds no snapshot")
	}
	if b[1] != version {
		return nil, errors.Errorf("wal: snapshot has format %d, this program reads %d", b[1], version)
	}
	s := &consensus.Snapshot{}
	var err error
	b = b[2:]
	if s.Index, b, err = cutUvarint(b); err != nil {
		return nil, err
	}
	if s.Term, b, err = cutUvarint(b); err != nil {
		return nil, err
	}
	raw, b, err := cutString(b)
	if err != nil {
		return nil, err
	}
	if s.Members, err = consensus.DecodeMembership([]byte(raw)); err != nil {
		return nil, errors.WithMessage(ErrCorrupt, err.Error())
	}
	s.Data = b
	return s, nil
}

// applyBatch adds the records of one frame to the state.
func (st *State) applyBatch(b []byte) error {
	for len(b) > 0 {
		var err error
		switch kind := b[0]; kind {
		case recordHard:
			b, err = st.applyHard(b[1:])
		case recordEntry:
			b, err = st.applyEntry(b[1:])
		default:
			err = errors.WithMessagef(ErrCorrupt, "unknown record kind %d", kind)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (st *State) applyHard(b []byte) ([]byte, error) {
	term, b, err := cutUvarint(b)
	if err != nil {
		return nil, err
	}
	vote, b, err := cutString(b)
	st.Hard = consensus.HardState{Term: term, Vote: vote}
	return b, err
}

// applyEntry adds an entry. One at or below the newest index replaces the
// entries from there on.
func (st *State) applyEntry(b []byte) ([]byte, error) {
	e, b, err := consensus.ReadEntry(b)
	if err != nil {
		return nil, errors.WithMessage(ErrCorrupt, err.Error())
	}
	if k := len(st.Entries); k > 0 {
		first, last := st.Entries[0].Index, st.Entries[k-1].Index
		if e.Index < first || e.Index > last+1 {
			return nil, errors.WithMessagef(ErrCorrupt, "entry %d does not follow entry %d", e.Index, last)
		}
		st.Entries = st.Entries[:e.Index-first]
	}
	st.Entries = append(st.Entries, e)
	return b, nil
}

// join drops the entries that the snapshot covers or contradicts, and checks
// that none is missing between them.
func (st *State) join() error {
	if len(st.Entries) == 0 {
		return nil
	}
	s, first := st.Snapshot, st.Entries[0].Index
	if first > s.Index+1 {
		return errors.WithMessagef(ErrCorrupt, "log begins at entry %d, snapshot ends at %d", first, s.Index)
	}
	at := int(s.Index) - int(first) // position of the entry that the snapshot ends with
	switch {
	case at >= len(st.Entries), at >= 0 && st.Entries[at].Term != s.Term:
		st.Entries = nil
	default:
		st.Entries = st.Entries[at+1:]
	}
	return nil
}
