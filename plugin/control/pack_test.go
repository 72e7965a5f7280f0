package control

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// TestPack guards against a message that changes when it is packed and unpacked, and
// against a small message that decompresses without bound.
func TestPack(t *testing.T) {
	is := is.New(t)
	for _, raw := range [][]byte{{}, {1}, bytes.Repeat([]byte("workspace "), 100), []byte("\x00\xff\x01")} {
		got, err := unpack(pack(raw))
		is.NoErr(err)
		is.True(bytes.Equal(got, raw))
	}
	is.True(len(pack(bytes.Repeat([]byte("workspace "), 100))) < 100)
	for _, wire := range [][]byte{nil, {7}, {packDeflated, 0xff}, deflate(make([]byte, maxUnpackedBytes+1))} {
		_, err := unpack(wire)
		is.True(err != nil) // malformed or too large
	}
}

// FuzzUnpack guards against a panic, or an unbounded result, on arbitrary bytes from a
// peer.
func FuzzUnpack(f *testing.F) {
	f.Add(pack([]byte("x")))
	f.Add(deflate([]byte("some text")))
	f.Fuzz(func(t *testing.T, wire []byte) {
		if raw, err := unpack(wire); err == nil && len(raw) > maxUnpackedBytes {
			t.Fatal("larger than the limit")
		}
	})
}
