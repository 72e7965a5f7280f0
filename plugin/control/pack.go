package control

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// Messages of the log are mostly text: commands in JSON with recurring names.
// The claims of keyed calls make up most of the control traffic, so messages
// that carry entries are compressed.
const (
	packPlain    = 0
	packDeflated = 1
	// packAbove is the size above which a message is compressed. Heartbeats stay
	// below and would not shrink.
	packAbove = 128 // bytes
	// unpackedLimit bounds a message after decompression; it exceeds the largest
	// message of the log.
	unpackedLimit = 16 << 20 // bytes
)

var deflaters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // fails only on an invalid level
	return w
}}

// pack returns the wire form of an encoded message.
func pack(raw []byte) []byte {
	if len(raw) > packAbove {
		if out := deflate(raw); len(out) < len(raw) {
			return out
		}
	}
	return append([]byte{packPlain}, raw...)
}

func deflate(raw []byte) []byte {
	out := bytes.NewBuffer(make([]byte, 0, len(raw)))
	out.WriteByte(packDeflated)
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(out)
	_, _ = w.Write(raw) // a buffer accepts all writes
	_ = w.Close()
	return out.Bytes()
}

// unpack returns the encoded message of a wire form.
func unpack(wire []byte) ([]byte, error) {
	if len(wire) == 0 {
		return nil, errors.New("empty message")
	}
	switch wire[0] {
	case packPlain:
		return wire[1:], nil
	case packDeflated:
		raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(wire[1:])), unpackedLimit+1))
		if err == nil && len(raw) > unpackedLimit {
			err = errors.Errorf("message is larger than %d bytes", unpackedLimit)
		}
		return raw, errors.WithMessage(err, "decompress")
	}
	return nil, errors.Errorf("unknown form %d", wire[0])
}
