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
	// MaxEventBytes limits the size of one event: the stream fails if an event is larger.
	MaxEventBytes = 4 << 20 // bytes
	// maxBufferBytes is the largest size of a reader's buffer: one byte more than an event
	// may have.
	maxBufferBytes = MaxEventBytes + 1
	// maxNoDataBytes limits consecutive comments and other blocks without data. A target
	// that sends a comment of a few bytes each second reaches it only after an hour.
	maxNoDataBytes = 64 << 10 // bytes
	// maxEventReads limits the reads of the source for one event. A source that returns a few bytes each
	// time, such as a target that sends tiny chunks, takes much processor time for each byte.
	maxEventReads     = 128 << 10
	initialBufferSize = 4 << 10 // bytes
)

// Errors after which a stream cannot be read further. Their texts can reach callers in a
// refusal.
var (
	// ErrTooLarge reports an event of more than MaxEventBytes, or of more than 128 Ki parts.
	ErrTooLarge = errors.New("server-sent event exceeds the size limit")
	// ErrNoData reports more than 64 KiB of consecutive comments or other blocks without data.
	ErrNoData = errors.New("comments without end instead of events")
)

// Event is one block of a stream of server-sent events; a block of comments only is an Event
// without data. Its slices are valid until the next call of Reader.Next.
type Event struct {
	Raw       []byte // the block with its blank line, unchanged
	Data      []byte // the data lines joined by line feeds
	ID        uint64 // valid if HasID
	HasData   bool
	HasID     bool
	InvalidID bool // the id field is not a decimal number that fits 64 bits

	dataCopied bool // Data is a copy and not a part of Raw
}

// Done reports whether the event is the end mark of an engine's stream, "[DONE]".
func (e *Event) Done() bool { return e.HasData && string(e.Data) == "[DONE]" }

// Reader splits a byte stream into events. Lines end in LF or CRLF. It is not safe for
// concurrent use.
type Reader struct {
	src       io.Reader
	buf       []byte
	start     int // offset of the first byte that was not returned
	lineStart int // offset of the first line that was not scanned completely
	scanned   int // the bytes from lineStart to this offset contain no line feed
	reads     int // of the source since the last event
	err       error

	memory        *overload.MemoryLimit // shared by all readers
	reservedBytes int                   // bytes reserved from memory; the initial buffer is not counted
	noDataBytes   int                   // bytes of blocks without data since the last event with data
}

// NewReader returns a reader of a stream. It reserves memory from m when its buffer grows
// beyond 4 KiB; Release frees the memory.
func NewReader(src io.Reader, m *overload.MemoryLimit) *Reader {
	return &Reader{src: src, memory: m, buf: make([]byte, 0, initialBufferSize)}
}

// Release frees the memory. Next must not be called afterwards.
func (r *Reader) Release() {
	r.memory.Release(r.reservedBytes)
	r.reservedBytes, r.buf = 0, nil
}

// Next returns the next complete event. At the end of the source it returns the source's
// error; bytes after the last blank line are not an event and are not returned. Other errors
// are ErrTooLarge, ErrNoData and overload.ErrNoMemory. After an error Next keeps returning it.
func (r *Reader) Next() (Event, error) {
	for {
		if end := r.nextBlockEnd(); end > 0 {
			raw := r.buf[r.start:end]
			if len(raw) > MaxEventBytes {
				r.err = ErrTooLarge
				return Event{}, r.err
			}
			r.start, r.reads = end, 0
			e := Parse(raw)
			if r.noDataBytes += len(raw); e.HasData {
				r.noDataBytes = 0
			}
			if r.noDataBytes > maxNoDataBytes {
				r.err = ErrNoData
				return Event{}, r.err
			}
			return e, nil
		}
		if r.err != nil {
			return Event{}, r.err
		}
		if r.reads++; len(r.buf)-r.start > MaxEventBytes || r.reads > maxEventReads {
			r.err = ErrTooLarge
			return Event{}, r.err
		}
		if err := r.fill(); err != nil {
			r.err = err
			return Event{}, err
		}
	}
}

// nextBlockEnd returns the offset after the first blank line, or 0 if there is none yet. It
// scans each byte only once, because a target may send a long line byte by byte.
func (r *Reader) nextBlockEnd() int {
	for r.scanned < len(r.buf) {
		n := bytes.IndexByte(r.buf[r.scanned:], '\n')
		if n < 0 {
			r.scanned = len(r.buf)
			return 0
		}
		line := r.buf[r.lineStart : r.scanned+n]
		r.scanned += n + 1
		r.lineStart = r.scanned
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return r.scanned
		}
	}
	return 0
}

// fill reads once from the source and stores the source's error in r.err, which Next returns
// after the complete events. It returns overload.ErrNoMemory if the buffer cannot grow.
func (r *Reader) fill() error {
	if r.start > 0 {
		n := copy(r.buf, r.buf[r.start:])
		r.buf = r.buf[:n]
		r.scanned -= r.start
		r.lineStart -= r.start
		r.start = 0
	}
	if len(r.buf) == cap(r.buf) {
		size := min(2*cap(r.buf), maxBufferBytes)
		if !r.memory.Reserve(size - cap(r.buf)) {
			return overload.ErrNoMemory
		}
		r.reservedBytes += size - cap(r.buf)
		grown := make([]byte, len(r.buf), size)
		copy(grown, r.buf)
		r.buf = grown
	}
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
	return nil
}

// Parse parses one block with its blank line. Fields other than data and id are ignored.
func Parse(raw []byte) Event {
	e := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		e.parseLine(bytes.TrimSuffix(line, []byte{'\r'}))
	}
	return e
}

func (e *Event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if !e.HasData {
			e.Data, e.HasData = value, true
			return
		}
		if !e.dataCopied {
			e.Data, e.dataCopied = bytes.Clone(e.Data), true
		}
		e.Data = append(append(e.Data, '\n'), value...)
	case "id":
		n, err := strconv.ParseUint(string(value), 10, 64)
		e.ID, e.HasID, e.InvalidID = n, err == nil, err != nil
	}
}

// Unconsumed returns the number of bytes received after the last event that Next returned.
func (r *Reader) Unconsumed() int { return len(r.buf) - r.start }
