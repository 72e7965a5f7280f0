package mesh

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// MaxFrameBytes is the largest size of a frame's body, the JSON text of one
// message, in bytes.
const MaxFrameBytes = 16 << 20

// Errors of the frame codec. When reading, both close the connection.
var (
	// ErrOversized is returned for a frame body above MaxFrameBytes, read or
	// written.
	ErrOversized = errors.New("frame larger than 16 MiB")
	// ErrMalformed is returned for an invalid length, an empty body, or a body
	// that is not a JSON-RPC message.
	ErrMalformed = errors.New("malformed frame")
)

// appendFrame appends a frame to dst: the length of the body as an unsigned
// varint, then the body.
func appendFrame(dst, body []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(body)))
	return append(dst, body...)
}

// readFrame reads one frame and returns its body and its size on the wire in
// bytes. The buffer grows with the received bytes, so that a peer cannot make
// the reader allocate memory by announcing a large frame and sending nothing.
// io.EOF is returned only between frames.
func readFrame(r *bufio.Reader) (body []byte, size int, err error) {
	n, header, err := readLength(r)
	if err != nil {
		return nil, header, err
	}
	if n > MaxFrameBytes {
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

// readLength reads the length of a frame and returns it with the number of bytes
// read. Five varint bytes hold 35 bits, far more than MaxFrameBytes needs; a
// longer varint is malformed.
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
