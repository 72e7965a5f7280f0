package mesh

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// MaxFrame bounds the JSON text of one message in bytes.
const MaxFrame = 16 << 20

// Errors of the frame decoder. Both close the link.
var (
	ErrOversized = errors.New("frame larger than 16 MiB")
	ErrMalformed = errors.New("malformed frame")
)

// appendFrame appends a frame: the length of the body as unsigned varint, then
// the body.
func appendFrame(dst, body []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(body)))
	return append(dst, body...)
}

// readFrame reads one frame and returns its body and its size on the wire. The
// buffer grows with the bytes that arrive, so that a peer that announces a
// large frame and sends nothing costs no memory. io.EOF is returned only
// between frames.
func readFrame(r *bufio.Reader) (body []byte, size int, err error) {
	n, header, err := readLength(r)
	if err != nil {
		return nil, header, err
	}
	if n > MaxFrame {
		return nil, header, ErrOversized
	}
	if n == 0 {
		return nil, header, ErrMalformed
	}
	if n <= uint64(r.Size()) {
		body = make([]byte, n)
		_, err = io.ReadFull(r, body)
	} else {
		var buf bytes.Buffer
		_, err = io.CopyN(&buf, r, int64(n))
		body = buf.Bytes()
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return body, header + len(body), err
}

// readLength reads the varint. A length above 2^35 cannot be legitimate, so five
// bytes are enough.
func readLength(r *bufio.Reader) (n uint64, size int, err error) {
	const maxBytes = 5
	for size < maxBytes {
		b, err := r.ReadByte()
		if err != nil {
			if err == io.EOF && size > 0 {
				err = io.ErrUnexpectedEOF
			}
			return 0, size, err
		}
		n |= uint64(b&0x7f) << (7 * size)
		size++
		if b < 0x80 {
			return n, size, nil
		}
	}
	return 0, size, ErrMalformed
}
