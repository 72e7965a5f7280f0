package consensus

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// The binary form consists of unsigned varints and of byte strings, each after its
// length. Decode functions reject trailing bytes and allocate at most a constant
// multiple of the size of the input. Decoded Data and Chunk fields share the memory of
// the input.

// ErrEncoding is the error of all decode functions for a malformed binary form.
var ErrEncoding = errors.New("consensus: malformed encoding")

// AppendEntryTo appends the binary form of an entry to b and returns the extended slice.
func AppendEntryTo(b []byte, e Entry) []byte {
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = append(b, byte(e.Kind))
	return appendBytes(b, e.Data)
}

// ReadEntry decodes the entry at the start of b and returns it with the bytes after it.
func ReadEntry(b []byte) (Entry, []byte, error) {
	d := decoder{b: b}
	e := d.entry()
	return e, d.b, d.err()
}

// EncodeMembership returns the binary form of a membership.
func EncodeMembership(m Membership) []byte { return appendMembership(nil, m) }

// DecodeMembership decodes a membership, which must take up all of b.
func DecodeMembership(b []byte) (Membership, error) {
	d := decoder{b: b}
	m := d.membership()
	return m, d.finish()
}

// EncodeMessage returns the binary form of a message. Zero fields are omitted and
// marked as absent in a bit mask, because heartbeats with few fields make up most of the
// traffic of an idle group.
func EncodeMessage(m Message) []byte {
	b := []byte{byte(m.Type)}
	b = binary.AppendUvarint(b, fieldMask(&m))
	b = appendBytes(b, []byte(m.From))
	b = appendBytes(b, []byte(m.To))
	for _, v := range numberFields(&m) {
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

// Bits of the mask of present fields. The bits from maskNumbers on stand for the fields
// of numberFields.
const (
	maskReject = 1 << iota
	maskForce
	maskReply
	maskEntries
	maskChunk
	maskNumbers
)

// numberFields returns pointers to the numeric fields in the order of the binary form.
func numberFields(m *Message) []*uint64 {
	return []*uint64{&m.Term, &m.Commit, &m.Index, &m.LogTerm, &m.Hint, &m.ReadSeq, &m.Offset, &m.Total}
}

// fieldMask returns the mask of the fields of a message that are not zero.
func fieldMask(m *Message) uint64 {
	var mask uint64
	for i, set := range [...]bool{m.Reject, m.LeaderTransfer, m.WantReply, len(m.Entries) > 0, len(m.Chunk) > 0} {
		if set {
			mask |= maskReject << i
		}
	}
	for i, v := range numberFields(m) {
		if *v != 0 {
			mask |= maskNumbers << i
		}
	}
	return mask
}

// DecodeMessage decodes a message, which must take up all of b. It also rejects unknown
// types, a mask that does not match the fields, and entries that do not follow each other.
func DecodeMessage(b []byte) (Message, error) {
	d := decoder{b: b}
	m := Message{Type: MessageType(d.byte())}
	mask := d.uvarint()
	m.Reject, m.LeaderTransfer, m.WantReply = mask&maskReject != 0, mask&maskForce != 0, mask&maskReply != 0
	m.From, m.To = string(d.bytes()), string(d.bytes())
	for i, v := range numberFields(&m) {
		if mask&(maskNumbers<<i) != 0 {
			*v = d.uvarint()
		}
	}
	if mask&maskEntries != 0 {
		for n := d.uvarint(); n > 0 && !d.malformed; n-- {
			m.Entries = append(m.Entries, d.entry())
		}
	}
	if mask&maskChunk != 0 {
		m.Chunk = d.bytes()
	}
	if m.Type == MsgSnapshot {
		m.Members = d.membership()
	}
	if m.Type == 0 || m.Type >= msgEnd || mask != fieldMask(&m) || !validEntries(m) {
		d.malformed = true
	}
	return m, d.finish()
}

// validEntries reports whether the indices of the entries follow m.Index without a gap
// and no term is above that of the message.
func validEntries(m Message) bool {
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

func appendMembership(b []byte, membership Membership) []byte {
	for _, list := range [][]Member{membership.Voters, membership.Learners} {
		b = binary.AppendUvarint(b, uint64(len(list)))
		for _, m := range list {
			b = appendBytes(b, []byte(m.ID))
			b = appendBytes(b, []byte(m.Instance))
		}
	}
	return b
}

// decoder consumes a binary form. After an error all its methods return zero values.
type decoder struct {
	b         []byte // rest of the input
	malformed bool
}

func (d *decoder) err() error {
	if d.malformed {
		return ErrEncoding
	}
	return nil
}

// finish returns an error if the input was malformed or is not consumed completely.
func (d *decoder) finish() error {
	if len(d.b) > 0 {
		d.malformed = true
	}
	return d.err()
}

func (d *decoder) byte() byte {
	if d.malformed || len(d.b) == 0 {
		d.malformed = true
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if d.malformed || n <= 0 {
		d.malformed = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if d.malformed || n > uint64(len(d.b)) {
		d.malformed = true
		return nil
	}
	if n == 0 {
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) entry() Entry {
	e := Entry{Index: d.uvarint(), Term: d.uvarint(), Kind: EntryKind(d.byte())}
	e.Data = d.bytes()
	if e.Kind > EntryMembers {
		d.malformed = true
	}
	return e
}

func (d *decoder) membership() Membership {
	return Membership{Voters: d.memberList(), Learners: d.memberList()}
}

func (d *decoder) memberList() []Member {
	var list []Member
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		list = append(list, Member{ID: string(d.bytes()), Instance: string(d.bytes())})
	}
	return list
}
