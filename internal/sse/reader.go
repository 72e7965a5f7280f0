// Package sse splits a byte stream into server-sent events without changing them.
package sse

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEvent bounds the memory that one server-sent event takes.
const MaxEvent = 4 << 20 // bytes

var ErrTooLarge = errors.New("server-sent event exceeds the size limit")

// Event is one block of a stream of server-sent events. Its slices are valid
// until the next call of the reader.
type Event struct {
	Raw     []byte // the block with its blank line, unchanged
	Data    []byte // the data lines joined by line feeds
	ID      uint64
	HasData bool
	HasID   bool
	BadID   bool // an id that is not a decimal number
}

// Done reports the end mark of engine streams.
func (e *Event) Done() bool { return e.HasData && string(e.Data) == "[DONE]" }

// Reader splits a byte stream into events. Lines end in LF or CRLF.
type Reader struct {
	src   io.Reader
	buf   []byte
	begin int // start of the unread bytes
	scan  int // bytes before this offset hold no complete block
	err   error
}

// NewReader returns a reader of a stream.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, buf: make([]byte, 0, 4<<10)}
}

// Next returns the next whole event. Bytes after the last blank line are not an
// event: they are dropped and the source's error is returned.
func (r *Reader) Next() (Event, error) {
	for {
		if end := r.blockEnd(); end > 0 {
			raw := r.buf[r.begin:end]
			r.begin, r.scan = end, end
			return Parse(raw), nil
		}
		if r.err != nil {
			return Event{}, r.err
		}
		if len(r.buf)-r.begin > MaxEvent {
			r.err = ErrTooLarge
			return Event{}, r.err
		}
		r.fill()
	}
}

// blockEnd returns the offset after the first blank line, or 0.
func (r *Reader) blockEnd() int {
	for r.scan < len(r.buf) {
		n := bytes.IndexByte(r.buf[r.scan:], '\n')
		if n < 0 {
			return 0
		}
		line := r.buf[r.scan : r.scan+n]
		r.scan += n + 1
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return r.scan
		}
	}
	return 0
}

func (r *Reader) fill() {
	if r.begin > 0 {
		n := copy(r.buf, r.buf[r.begin:])
		r.buf = r.buf[:n]
		r.scan -= r.begin
		r.begin = 0
	}
	if len(r.buf) == cap(r.buf) {
		grown := make([]byte, len(r.buf), 2*cap(r.buf))
		copy(grown, r.buf)
		r.buf = grown
	}
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
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
		joined := make([]byte, 0, len(e.Data)+1+len(value))
		joined = append(append(joined, e.Data...), '\n')
		e.Data = append(joined, value...)
	case "id":
		n, err := strconv.ParseUint(string(value), 10, 64)
		e.ID, e.HasID, e.BadID = n, err == nil, err != nil
	}
}

// Rest returns the number of bytes after the last whole event.
func (r *Reader) Rest() int { return len(r.buf) - r.begin }
