package consensus

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// The binary form consists of unsigned varints and of byte strings that follow
// their length. Decoders refuse trailing bytes and allocate no more than a
// constant factor of the input.

// ErrEncoding reports a malformed binary form.
var ErrEncoding = errors.New("consensus: malformed encoding")

// AppendEntryTo appends the binary form of an entry.
func AppendEntryTo(b []byte, e Entry) []byte {
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = append(b, byte(e.Kind))
	return appendBytes(b, e.Data)
}

// ReadEntry reads an entry and returns the bytes after it.
func ReadEntry(b []byte) (Entry, []byte, error) {
	r := reader{b: b}
	e := r.entry()
	return e, r.b, r.err()
}

// EncodeMembership returns the binary form of a membership.
func EncodeMembership(m Membership) []byte { return appendMembership(nil, m) }

// DecodeMembership reads a membership.
func DecodeMembership(b []byte) (Membership, error) {
	r := reader{b: b}
	m := r.membership()
	return m, r.end()
}

// EncodeMessage returns the binary form of a message. Fields that are zero take
// no byte, because heartbeats make up most of the traffic of an idle group.
func EncodeMessage(m Message) []byte {
	b := []byte{byte(m.Type)}
	b = binary.AppendUvarint(b, present(&m))
	b = appendBytes(b, []byte(m.From))
	b = appendBytes(b, []byte(m.To))
	for _, v := range numbers(&m) {
		if *v != 0 {
			b = binary.AppendUvarint(b, *v)
		}
	}
	if len(m.Entries) > 0 {
		b = binary.AppendUvarint(b, uint64(len(m.Entries)))
		for _, e := range m.Entries {
			b = AppendEntryTo(b, e)
		}
	}
	if len(m.Chunk) > 0 {
		b = appendBytes(b, m.Chunk)
	}
	if m.Type == MsgSnapshot {
		b = appendMembership(b, m.Members)
	}
	return b
}

// Bits of the mask of present fields; the numbers follow from bit maskNumbers on.
const (
	maskReject = 1 << iota
	maskForce
	maskReply
	maskEntries
	maskChunk
	maskNumbers
)

// numbers returns the number fields in the order of the binary form.
func numbers(m *Message) []*uint64 {
	return []*uint64{&m.Term, &m.Commit, &m.Index, &m.LogTerm, &m.Hint, &m.Read, &m.Offset, &m.Total}
}

func present(m *Message) uint64 {
	var mask uint64
	for i, set := range [...]bool{m.Reject, m.Force, m.Reply, len(m.Entries) > 0, len(m.Chunk) > 0} {
		if set {
			mask |= maskReject << i
		}
	}
	for i, v := range numbers(m) {
		if *v != 0 {
			mask |= maskNumbers << i
		}
	}
	return mask
}

// DecodeMessage reads a message.
func DecodeMessage(b []byte) (Message, error) {
	r := reader{b: b}
	m := Message{Type: MessageType(r.byte())}
	mask := r.uvarint()
	m.Reject, m.Force, m.Reply = mask&maskReject != 0, mask&maskForce != 0, mask&maskReply != 0
	m.From, m.To = string(r.bytes()), string(r.bytes())
	for i, v := range numbers(&m) {
		if mask&(maskNumbers<<i) != 0 {
			*v = r.uvarint()
		}
	}
	if mask&maskEntries != 0 {
		for k := r.uvarint(); k > 0 && !r.bad; k-- {
			m.Entries = append(m.Entries, r.entry())
		}
	}
	if mask&maskChunk != 0 {
		m.Chunk = r.bytes()
	}
	if m.Type == MsgSnapshot {
		m.Members = r.membership()
	}
	if m.Type == 0 || m.Type >= msgEnd || mask != present(&m) || !consecutive(m) {
		r.bad = true
	}
	return m, r.end()
}

// consecutive reports whether the entries follow the previous index.
func consecutive(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term > m.Term {
			return false
		}
	}
	return true
}

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func appendMembership(b []byte, m Membership) []byte {
	for _, list := range [][]Member{m.Voters, m.Learners} {
		b = binary.AppendUvarint(b, uint64(len(list)))
		for _, x := range list {
			b = appendBytes(b, []byte(x.ID))
			b = appendBytes(b, []byte(x.Instance))
		}
	}
	return b
}

// reader consumes a binary form. After an error all reads return zero values.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) err() error {
	if r.bad {
		return ErrEncoding
	}
	return nil
}

func (r *reader) end() error {
	if len(r.b) > 0 {
		r.bad = true
	}
	return r.err()
}

func (r *reader) byte() byte {
	if r.bad || len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uvarint() uint64 {
	v, k := binary.Uvarint(r.b)
	if r.bad || k <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[k:]
	return v
}

func (r *reader) bytes() []byte {
	k := r.uvarint()
	if r.bad || k > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	if k == 0 {
		return nil
	}
	v := r.b[:k:k]
	r.b = r.b[k:]
	return v
}

func (r *reader) entry() Entry {
	e := Entry{Index: r.uvarint(), Term: r.uvarint(), Kind: EntryKind(r.byte())}
	e.Data = r.bytes()
	if e.Kind > EntryMembers {
		r.bad = true
	}
	return e
}

func (r *reader) membership() Membership {
	return Membership{Voters: r.memberList(), Learners: r.memberList()}
}

func (r *reader) memberList() []Member {
	var list []Member
	for k := r.uvarint(); k > 0 && !r.bad; k-- {
		list = append(list, Member{ID: string(r.bytes()), Instance: string(r.bytes())})
	}
	return list
}
