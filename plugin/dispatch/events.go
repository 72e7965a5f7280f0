package dispatch

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds the memory that one server-sent event takes.
const maxEvent = 4 << 20 // bytes

var errEventTooLarge = errors.New("server-sent event exceeds the size limit")

// event is one block of a stream of server-sent events. Its slices are valid
// until the next call of the reader.
type event struct {
	raw     []byte // the block with its blank line, unchanged
	data    []byte // the data lines joined by line feeds
	id      uint64
	hasData bool
	hasID   bool
	badID   bool // an id that is not a decimal number
}

// done reports the end mark of engine streams.
func (e *event) done() bool { return e.hasData && string(e.data) == "[DONE]" }

// eventReader splits a byte stream into events. Lines end in LF or CRLF.
type eventReader struct {
	src   io.Reader
	buf   []byte
	begin int // start of the unread bytes
	scan  int // bytes before this offset hold no complete block
	err   error
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 0, 4<<10)}
}

// next returns the next whole event. Bytes after the last blank line are not an
// event: they are dropped and the source's error is returned.
func (r *eventReader) next() (event, error) {
	for {
		if end := r.blockEnd(); end > 0 {
			raw := r.buf[r.begin:end]
			r.begin, r.scan = end, end
			return parseEvent(raw), nil
		}
		if r.err != nil {
			return event{}, r.err
		}
		if len(r.buf)-r.begin > maxEvent {
			r.err = errEventTooLarge
			return event{}, r.err
		}
		r.fill()
	}
}

// blockEnd returns the offset after the first blank line, or 0.
func (r *eventReader) blockEnd() int {
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

func (r *eventReader) fill() {
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

func parseEvent(raw []byte) event {
	e := event{raw: raw}
	for rest := raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		e.field(bytes.TrimSuffix(line, []byte{'\r'}))
	}
	return e
}

func (e *event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if !e.hasData {
			e.data, e.hasData = value, true
			return
		}
		joined := make([]byte, 0, len(e.data)+1+len(value))
		joined = append(append(joined, e.data...), '\n')
		e.data = append(joined, value...)
	case "id":
		n, err := strconv.ParseUint(string(value), 10, 64)
		e.id, e.hasID, e.badID = n, err == nil, err != nil
	}
}
