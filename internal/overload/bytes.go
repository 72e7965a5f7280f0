package overload

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrNoMemory reports that a bound on memory is reached.
var ErrNoMemory = errors.New("the answers under way take all memory for answers")

// Bytes bounds memory that requests hold. It is safe for concurrent use.
type Bytes struct {
	limit int64
	held  atomic.Int64
}

// NewBytes returns a bound in bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// Take counts memory, in bytes. It reports false, and counts nothing, beyond the bound.
func (b *Bytes) Take(n int) bool {
	if b.held.Add(int64(n)) <= b.limit {
		return true
	}
	b.Free(n)
	return false
}

// Free ends what Take has counted.
func (b *Bytes) Free(n int) { b.held.Add(-int64(n)) }

// Held returns what is counted now, in bytes.
func (b *Bytes) Held() int64 { return b.held.Load() }

// Limit returns the bound in bytes.
func (b *Bytes) Limit() int64 { return b.limit }

// Buffer holds bytes within a bound. Free must be called once its content is of no use.
type Buffer struct {
	bound *Bytes
	bytes []byte
}

// leastGrown is the least size of a buffer in bytes.
const leastGrown = 512

// NewBuffer returns an empty buffer.
func NewBuffer(b *Bytes) *Buffer { return &Buffer{bound: b} }

// ReadFrom appends all that a source gives. Without memory left it returns ErrNoMemory.
func (b *Buffer) ReadFrom(r io.Reader) (n int64, err error) {
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow() {
			return n, ErrNoMemory
		}
		m, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+m]
		n += int64(m)
		switch err {
		case nil:
		case io.EOF:
			return n, nil
		default:
			return n, err
		}
	}
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	for cap(b.bytes)-len(b.bytes) < len(p) {
		if !b.grow() {
			return 0, ErrNoMemory
		}
	}
	b.bytes = append(b.bytes, p...)
	return len(p), nil
}

func (b *Buffer) grow() bool {
	size := max(leastGrown, 2*cap(b.bytes))
	if !b.bound.Take(size - cap(b.bytes)) {
		return false
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// Bytes returns the content.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Free drops the content.
func (b *Buffer) Free() {
	b.bound.Free(cap(b.bytes))
	b.bytes = nil
}
