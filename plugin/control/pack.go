package control

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// Wire format of a Raft message: one byte for the compression, then the encoded
// message. Entries are mostly JSON with recurring names, and claims of keyed requests
// make up most of the control traffic, so messages that carry entries are compressed.
const (
	packPlain    = 0
	packDeflated = 1
	// compressAboveBytes is the size above which a message is compressed. Heartbeats
	// are smaller and would not shrink.
	compressAboveBytes = 128
	// maxUnpackedBytes bounds a message after decompression. It exceeds the largest
	// Raft message.
	maxUnpackedBytes = 16 << 20
)

var deflateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // fails only on an invalid level
	return w
}}

// pack returns the wire format of an encoded message, compressed if it is large
// enough and shrinks.
func pack(raw []byte) []byte {
	if len(raw) > compressAboveBytes {
		if out := deflate(raw); len(out) < len(raw) {
			return out
		}
	}
	return append([]byte{packPlain}, raw...)
}

func deflate(raw []byte) []byte {
	out := bytes.NewBuffer(make([]byte, 0, len(raw)))
	out.WriteByte(packDeflated)
	w := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(w)
	w.Reset(out)
	_, _ = w.Write(raw) // a buffer accepts all writes
	_ = w.Close()
	return out.Bytes()
}

// unpack returns the encoded message from its wire format. It fails on an unknown
// compression, damaged data, or more than maxUnpackedBytes after decompression.
func unpack(wire []byte) ([]byte, error) {
	if len(wire) == 0 {
		return nil, errors.New("empty message")
	}
	switch wire[0] {
	case packPlain:
		return wire[1:], nil
	case packDeflated:
		raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(wire[1:])), maxUnpackedBytes+1))
		if err == nil && len(raw) > maxUnpackedBytes {
			err = errors.Errorf("message is larger than %d bytes", maxUnpackedBytes)
		}
		return raw, errors.WithMessage(err, "decompress")
	}
	return nil, errors.Errorf("unknown form %d", wire[0])
}
