// Package sse splits a byte stream into server-sent events without changing them.
package sse

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"nutmegrouter/internal/overload"
)

const (
	// MaxEvent bounds the memory that one server-sent event takes.
	MaxEvent = 4 << 20 // bytes
	// maxFiller bounds comments and other blocks without data in a row. A target that
	// sends a comment of a few bytes each second stays below it for an hour.
	maxFiller = 64 << 10 // bytes
	firstSize = 4 << 10  // bytes of a reader's buffer
)

// Errors of a stream that cannot be read on.
var (
	ErrTooLarge = errors.New("server-sent event exceeds the size limit")
	ErrFiller   = errors.New("comments without end instead of events")
)

// Event is one block of a stream of server-sent events. Its slices are valid
// until the next call of the reader.
type Event struct {
	Raw     []byte // the block with its blank line, unchanged
	Data    []byte // the data lines joined by line feeds
	ID      uint64
	HasData bool
	HasID   bool
	BadID   bool // an id that is not a decimal number

	joined bool // Data is a copy
}

// Done reports the end mark of engine streams.
func (e *Event) Done() bool { return e.HasData && string(e.Data) == "[DONE]" }

// Reader splits a byte stream into events. Lines end in LF or CRLF.
type Reader struct {
	src   io.Reader
	buf   []byte
	begin int // start of the unread bytes
	line  int // start of the line that is not complete
	scan  int // bytes from line to this offset hold no line feed
	err   error

	memory *overload.Bytes
	taken  int // bytes of memory
	filler int // bytes of blocks without data since the last event with data
}

// NewReader returns a reader of a stream. Its buffer grows within a bound on the memory
// of all readers; Release frees it.
func NewReader(src io.Reader, m *overload.Bytes) *Reader {
	return &Reader{src: src, memory: m, buf: make([]byte, 0, firstSize)}
}

// Release frees the memory. The reader must not be used any more.
func (r *Reader) Release() {
	r.memory.Free(r.taken)
	r.taken, r.buf = 0, nil
}

// Next returns the next whole event. Bytes after the last blank line are not an
// event: they are dropped and the source's error is returned.
func (r *Reader) Next() (Event, error) {
	for {
		if end := r.blockEnd(); end > 0 {
			raw := r.buf[r.begin:end]
			r.begin = end
			e := Parse(raw)
			if r.filler += len(raw); e.HasData {
				r.filler = 0
			}
			if r.filler > maxFiller {
				r.err = ErrFiller
				return Event{}, r.err
			}
			return e, nil
		}
		if r.err != nil {
			return Event{}, r.err
		}
		if len(r.buf)-r.begin > MaxEvent {
			r.err = ErrTooLarge
			return Event{}, r.err
		}
		if err := r.fill(); err != nil {
			r.err = err
			return Event{}, err
		}
	}
}

// blockEnd returns the offset after the first blank line, or 0. No byte is looked at
// twice: a target may send a long line byte by byte.
func (r *Reader) blockEnd() int {
	for r.scan < len(r.buf) {
		n := bytes.IndexByte(r.buf[r.scan:], '\n')
		if n < 0 {
			r.scan = len(r.buf)
			return 0
		}
		line := r.buf[r.line : r.scan+n]
		r.scan += n + 1
		r.line = r.scan
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return r.scan
		}
	}
	return 0
}

// fill reads once from the source, whose error Next returns later. Its own error is
// that there is no memory.
func (r *Reader) fill() error {
	if r.begin > 0 {
		n := copy(r.buf, r.buf[r.begin:])
		r.buf = r.buf[:n]
		r.scan -= r.begin
		r.line -= r.begin
		r.begin = 0
	}
	if len(r.buf) == cap(r.buf) {
		if !r.memory.Take(cap(r.buf)) {
			return overload.ErrNoMemory
		}
		r.taken += cap(r.buf)
		grown := make([]byte, len(r.buf), 2*cap(r.buf))
		copy(grown, r.buf)
		r.buf = grown
	}
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
	return nil
}

// Parse reads one block with its blank line.
func Parse(raw []byte) Event {
	e := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		e.field(bytes.TrimSuffix(line, []byte{'\r'}))
	}
	return e
}

func (e *Event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if !e.HasData {
			e.Data, e.HasData = value, true
			return
		}
		if !e.joined {
			e.Data, e.joined = bytes.Clone(e.Data), true
		}
		e.Data = append(append(e.Data, '\n'), value...)
	case "id":
		n, err := strconv.ParseUint(string(value), 10, 64)
		e.ID, e.HasID, e.BadID = n, err == nil, err != nil
	}
}

// Rest returns the number of bytes after the last whole event.
func (r *Reader) Rest() int { return len(r.buf) - r.begin }
