package kernel

import (
	"crypto/rand"
	"encoding/hex"
)

// NewID returns a random identifier of 96 bits as 24 hexadecimal digits.
func NewID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
