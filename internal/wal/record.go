package wal

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"nutmegrouter/internal/consensus"
)

// formatVersion is the version of the file format.
const formatVersion = 1

// Kinds of records within the body of a frame.
const (
	recordIdentity  = 1 // version, identity; only record of a log's first frame
	recordHardState = 2 // term, vote
	recordEntry     = 3 // entry, encoded by package consensus
	recordSnapshot  = 4 // version, index, term, members, data; only frame of a snapshot file
)

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func identityBody(id string) []byte {
	return appendString([]byte{recordIdentity, formatVersion}, id)
}

func appendHardState(b []byte, h consensus.HardState) []byte {
	b = binary.AppendUvarint(append(b, recordHardState), h.Term)
	return appendString(b, h.Vote)
}

// batchBody encodes the hard state, if any, and entries as the body of one frame.
func batchBody(hard *consensus.HardState, entries []consensus.Entry) []byte {
	var b []byte
	if hard != nil {
		b = appendHardState(b, *hard)
	}
	for _, e := range entries {
		b = consensus.AppendEntryTo(append(b, recordEntry), e)
	}
	return b
}

func snapshotBody(s consensus.Snapshot) []byte {
	b := binary.AppendUvarint([]byte{recordSnapshot, formatVersion}, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = appendString(b, string(consensus.EncodeMembership(s.Members)))
	return append(b, s.Data...)
}

// readUvarint decodes a varint at the start of b and returns the bytes after it.
func readUvarint(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errors.WithMessage(ErrCorrupt, "malformed number")
	}
	return v, b[n:], nil
}

// readString decodes a length-prefixed string at the start of b and returns the bytes
// after it.
func readString(b []byte) (string, []byte, error) {
	n, b, err := readUvarint(b)
	if err != nil {
		return "", nil, err
	}
	if n > uint64(len(b)) {
		return "", nil, errors.WithMessage(ErrCorrupt, "string is longer than the remaining data")
	}
	return string(b[:n]), b[n:], nil
}

func decodeIdentity(b []byte) (string, error) {
	if len(b) < 2 || b[0] != recordIdentity {
		return "", errors.WithMessage(ErrCorrupt, "first frame has no identity record")
	}
	if b[1] != formatVersion {
		return "", errors.Errorf("wal: log has format version %d, this program supports %d", b[1], formatVersion)
	}
	id, rest, err := readString(b[2:])
	if err == nil && (len(rest) > 0 || id == "") {
		err = errors.WithMessage(ErrCorrupt, "malformed identity record")
	}
	return id, err
}

func decodeSnapshot(b []byte) (*consensus.Snapshot, error) {
	if len(b) < 2 || b[0] != recordSnapshot {
		return nil, errors.WithMessage(ErrCorrupt, "frame has no snapshot record")
	}
	if b[1] != formatVersion {
		return nil, errors.Errorf("wal: snapshot has format version %d, this program supports %d", b[1], formatVersion)
	}
	s := &consensus.Snapshot{}
	var err error
	b = b[2:]
	if s.Index, b, err = readUvarint(b); err != nil {
		return nil, err
	}
	if s.Term, b, err = readUvarint(b); err != nil {
		return nil, err
	}
	raw, b, err := readString(b)
	if err != nil {
		return nil, err
	}
	if s.Members, err = consensus.DecodeMembership([]byte(raw)); err != nil {
		return nil, errors.WithMessage(ErrCorrupt, err.Error())
	}
	s.Data = b
	return s, nil
}

// applyBatch applies the records of one frame to the state.
func (st *State) applyBatch(b []byte) error {
	for len(b) > 0 {
		var err error
		switch kind := b[0]; kind {
		case recordHardState:
			b, err = st.applyHardState(b[1:])
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

func (st *State) applyHardState(b []byte) ([]byte, error) {
	term, b, err := readUvarint(b)
	if err != nil {
		return nil, err
	}
	vote, b, err := readString(b)
	st.HardState = consensus.HardState{Term: term, Vote: vote}
	return b, err
}

// applyEntry appends an entry. An entry whose index is already present replaces that
// entry and all later ones.
func (st *State) applyEntry(b []byte) ([]byte, error) {
	e, b, err := consensus.ReadEntry(b)
	if err != nil {
		return nil, errors.WithMessage(ErrCorrupt, err.Error())
	}
	if n := len(st.Entries); n > 0 {
		first, last := st.Entries[0].Index, st.Entries[n-1].Index
		if e.Index < first || e.Index > last+1 {
			return nil, errors.WithMessagef(ErrCorrupt, "entry %d does not follow entry %d", e.Index, last)
		}
		st.Entries = st.Entries[:e.Index-first]
	}
	st.Entries = append(st.Entries, e)
	return b, nil
}

// trimToSnapshot drops the entries that the snapshot covers, or all entries if they
// conflict with it. It returns ErrCorrupt if entries are missing between the two.
func (st *State) trimToSnapshot() error {
	if len(st.Entries) == 0 {
		return nil
	}
	s, first := st.Snapshot, st.Entries[0].Index
	if first > s.Index+1 {
		return errors.WithMessagef(ErrCorrupt, "log starts at entry %d, but the snapshot ends at entry %d", first, s.Index)
	}
	position := int(s.Index) - int(first) // of the last entry in the snapshot
	switch {
	case position >= len(st.Entries), position >= 0 && st.Entries[position].Term != s.Term:
		st.Entries = nil
	default:
		st.Entries = st.Entries[position+1:]
	}
	return nil
}
