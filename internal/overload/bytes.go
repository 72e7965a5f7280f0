package overload

import "sync/atomic"

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
