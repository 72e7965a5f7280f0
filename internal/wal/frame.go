package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A frame is a header, a body, and zeros up to a multiple of the alignment. The
// header holds the length of the body, the number of the frame in its file, the
// checksum of the body and the checksum of the header, 4 bytes each. Aligned
// headers never cross a disk sector, so an interrupted write leaves a header
// whole, zero or missing.
const (
	headerBytes = 16
	alignBytes  = 16
	sectorBytes = 512
	// maxBodyBytes bounds a frame; larger lengths are damage.
	maxBodyBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt reports damage other than a torn tail.
var ErrCorrupt = errors.New("wal: file is damaged")

func appendFrame(b []byte, number uint32, body []byte) []byte {
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(h[4:], number)
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(h[12:], crc32.Checksum(h[:12], castagnoli))
	b = append(b, h[:]...)
	b = append(b, body...)
	return append(b, make([]byte, padding(len(body)))...)
}

func padding(body int) int { return -body & (alignBytes - 1) }

// verdict is the result of reading one frame.
type verdict int

const (
	frameWhole verdict = iota
	frameTorn          // an interrupted write at the end of the file
	frameDamaged
)

// readFrame reads the frame at an offset of a file. It returns the body and the
// offset after the frame.
func readFrame(file []byte, off int, number uint32) (body []byte, next int, v verdict) {
	rest := file[off:]
	if len(rest) < headerBytes {
		return nil, off, frameTorn
	}
	h := rest[:headerBytes]
	if allZero(h) {
		return nil, off, tornUnlessFollowed(file, off+alignBytes)
	}
	size := int(binary.LittleEndian.Uint32(h[0:]))
	if !headerValid(h) || binary.LittleEndian.Uint32(h[4:]) != number || size > maxBodyBytes {
		return nil, off, frameDamaged
	}
	whole := headerBytes + size + padding(size)
	if whole > len(rest) {
		return nil, off, frameTorn
	}
	body = rest[headerBytes : headerBytes+size]
	if crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(h[8:]) {
		return body, off + whole, frameWhole
	}
	if whole == len(rest) && hasZeroSector(file, off+headerBytes, off+headerBytes+size) {
		return nil, off, frameTorn
	}
	return nil, off, frameDamaged
}

func headerValid(h []byte) bool {
	return crc32.Checksum(h[:12], castagnoli) == binary.LittleEndian.Uint32(h[12:])
}

// tornUnlessFollowed decides on a zero header: sectors may reach the disk in any
// order, so data may follow it, but no later frame was written before this one
// was synced.
func tornUnlessFollowed(file []byte, off int) verdict {
	for ; off+headerBytes <= len(file); off += alignBytes {
		if h := file[off : off+headerBytes]; !allZero(h) && headerValid(h) {
			return frameDamaged
		}
	}
	return frameTorn
}

// hasZeroSector reports whether a sector, or the part of it within [lo, hi), is
// zero, as it is when the write ended before the sector reached the disk.
func hasZeroSector(file []byte, lo, hi int) bool {
	for lo < hi {
		end := min((lo/sectorBytes+1)*sectorBytes, hi)
		if end-lo >= alignBytes && allZero(file[lo:end]) {
			return true
		}
		lo = end
	}
	return false
}

func allZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}
