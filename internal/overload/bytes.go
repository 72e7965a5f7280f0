package overload

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrNoMemory reports that the limit of the memory for a buffer is reached.
var ErrNoMemory = errors.New("the answers under way take all memory for answers")

// MemoryLimit limits the memory that concurrent requests or responses use together. It is
// safe for concurrent use.
type MemoryLimit struct {
	limit    int64
	reserved atomic.Int64
}

// NewMemoryLimit returns a limit of the given number of bytes, all of them free.
func NewMemoryLimit(limit int64) *MemoryLimit { return &MemoryLimit{limit: limit} }

// Reserve reserves n bytes. If that would exceed the limit, it reserves nothing and
// returns false.
func (m *MemoryLimit) Reserve(n int) bool {
	if m.reserved.Add(int64(n)) <= m.limit {
		return true
	}
	m.Release(n)
	return false
}

// Release releases n bytes that Reserve has reserved.
func (m *MemoryLimit) Release(n int) { m.reserved.Add(-int64(n)) }

// Reserved returns the number of reserved bytes.
func (m *MemoryLimit) Reserved() int64 { return m.reserved.Load() }

// Limit returns the limit in bytes.
func (m *MemoryLimit) Limit() int64 { return m.limit }

// Buffer is a byte buffer whose capacity is reserved from a MemoryLimit. Free must be called
// when the content is no longer needed. It is not safe for concurrent use.
type Buffer struct {
	memory   *MemoryLimit
	content  []byte
	expected int // size of the content in bytes if it is known, else 0
}

// minBufferSize is the smallest capacity of a buffer in bytes.
const minBufferSize = 512

// firstBufferSize is the first capacity in bytes of a buffer for content of a known size, unless that
// is smaller.
const firstBufferSize = 16 << 10

// NewBuffer returns an empty buffer that reserves its memory from m.
func NewBuffer(m *MemoryLimit) *Buffer { return &Buffer{memory: m} }

// NewBufferFor returns an empty buffer as NewBuffer does, for content of a known size in bytes. Its
// capacity grows with the content and exceeds that size only if the content does.
func NewBufferFor(m *MemoryLimit, size int) *Buffer { return &Buffer{memory: m, expected: size} }

// ReadFrom appends the data of r until EOF. It returns ErrNoMemory if the memory limit
// is reached, or the error of r.
func (b *Buffer) ReadFrom(r io.Reader) (n int64, err error) {
	for {
		if len(b.content) == cap(b.content) && !b.grow() {
			return n, ErrNoMemory
		}
		m, err := r.Read(b.content[len(b.content):cap(b.content)])
		b.content = b.content[:len(b.content)+m]
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

// Write implements io.Writer. If the memory limit is reached, it appends nothing and
// returns ErrNoMemory.
func (b *Buffer) Write(p []byte) (int, error) {
	for cap(b.content)-len(b.content) < len(p) {
		if !b.grow() {
			return 0, ErrNoMemory
		}
	}
	b.content = append(b.content, p...)
	return len(p), nil
}

// grow doubles the capacity. It reports false if the memory limit is reached. The memory of both
// arrays is reserved while the content is copied.
func (b *Buffer) grow() bool {
	old := cap(b.content)
	size := max(minBufferSize, 2*old)
	if b.expected > 0 && old == 0 {
		size = min(b.expected, firstBufferSize)
	} else if b.expected > old {
		size = min(size, b.expected)
	}
	if !b.memory.Reserve(size) {
		return false
	}
	larger := make([]byte, len(b.content), size)
	copy(larger, b.content)
	b.content = larger
	b.memory.Release(old)
	return true
}

// Bytes returns the content, which is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.content }

// Free discards the content and releases its memory.
func (b *Buffer) Free() {
	b.memory.Release(cap(b.content))
	b.content = nil
}
