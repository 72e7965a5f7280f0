package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A frame is a header, a body, and zero padding up to a multiple of alignBytes. The
// header holds the length of the body, the number of the frame in its file (from 1),
// the CRC-32C of the body and the CRC-32C of the preceding 12 bytes, each as 4 bytes in
// little-endian order. Aligned headers never cross a disk sector, so an interrupted
// write leaves a header complete, zero or missing.
const (
	headerBytes = 16
	alignBytes  = 16
	sectorBytes = 512
	// maxBodyBytes bounds the body of a frame. A greater length in a header is damage.
	maxBodyBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt reports a damaged or missing file, other than a torn tail of the log.
// Returned errors wrap it.
var ErrCorrupt = errors.New("wal: file is damaged")

// appendFrame appends a frame with the given number and body to b.
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

// frameStatus is the result of reading one frame.
type frameStatus int

const (
	frameComplete frameStatus = iota
	frameTorn                 // an interrupted write at the end of the file
	frameDamaged
)

// readFrame reads the frame with the given number at an offset of a file. It returns
// the body and the offset of the next frame if the frame is complete.
func readFrame(file []byte, off int, number uint32) (body []byte, next int, status frameStatus) {
	rest := file[off:]
	if len(rest) < headerBytes {
		return nil, off, frameTorn
	}
	h := rest[:headerBytes]
	if allZero(h) {
		return nil, off, classifyZeroHeader(file, off+alignBytes)
	}
	size := int(binary.LittleEndian.Uint32(h[0:]))
	if !headerValid(h) || binary.LittleEndian.Uint32(h[4:]) != number || size > maxBodyBytes {
		return nil, off, frameDamaged
	}
	frameBytes := headerBytes + size + padding(size)
	if frameBytes > len(rest) {
		return nil, off, frameTorn
	}
	body = rest[headerBytes : headerBytes+size]
	if crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(h[8:]) {
		return body, off + frameBytes, frameComplete
	}
	if frameBytes == len(rest) && hasZeroSector(file, off+headerBytes, off+headerBytes+size) {
		return nil, off, frameTorn
	}
	return nil, off, frameDamaged
}

func headerValid(h []byte) bool {
	return crc32.Checksum(h[:12], castagnoli) == binary.LittleEndian.Uint32(h[12:])
}

// classifyZeroHeader returns the status of a frame whose header is zero; off is the
// offset after the header. Sectors may reach the disk in any order, so the body may
// follow a zero header. A valid header after it means damage, because no frame is
// written before the previous one is synced.
func classifyZeroHeader(file []byte, off int) frameStatus {
	for ; off+headerBytes <= len(file); off += alignBytes {
		if h := file[off : off+headerBytes]; !allZero(h) && headerValid(h) {
			return frameDamaged
		}
	}
	return frameTorn
}

// hasZeroSector reports whether a sector, or the part of it within [lo, hi), is all
// zeros, as after a write that was interrupted before the sector reached the disk.
// Parts shorter than alignBytes do not count.
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
