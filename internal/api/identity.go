package api

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request and its repeats: those of the same workspace with the same method,
// host, URL and body. The zero value is no request.
type Fingerprint struct {
	// Selector is a cheap hash of all but the contents of the body. Requests with different selectors
	// are different.
	Selector uint64
	// Digest is the beginning of a collision-resistant hash of the whole, so that no caller can make a
	// request that is taken for another one's.
	Digest [2]uint64
}

// String returns the fingerprint for log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x%016x", f.Digest[0], f.Digest[1]) }

// RequestIdentity computes the fingerprint of a request when it is needed, because that reads the whole
// body. It is not safe for concurrent use.
type RequestIdentity struct {
	workspace, method, host, url string
	body                         []byte
	headHash, selector           uint64
	fingerprint                  Fingerprint // zero until it is computed
}

// NewRequestIdentity returns the identity of a request. The body must not change while the identity is
// used.
func NewRequestIdentity(workspace string, method, host, url, body []byte) *RequestIdentity {
	i := &RequestIdentity{workspace: workspace, method: string(method), host: string(host), url: string(url), body: body}
	h := xxhash.New()
	write := func(b []byte) { _, _ = h.Write(b) }
	i.writeHead(write)
	i.headHash = h.Sum64()
	i.writeBodyLength(write)
	i.selector = h.Sum64()
	return i
}

// writeHead writes all that is known before the body has arrived, each part after its length.
func (i *RequestIdentity) writeHead(write func([]byte)) {
	var length [8]byte
	for _, part := range []string{i.workspace, i.method, i.host, i.url} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		write(length[:])
		write([]byte(part))
	}
}

func (i *RequestIdentity) writeBodyLength(write func([]byte)) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(i.body)))
	write(length[:])
}

// HeadHash returns a cheap hash of the workspace, method, host and URL. Other than the selector it is the same
// before and after the body has arrived.
func (i *RequestIdentity) HeadHash() uint64 { return i.headHash }

// Selector returns the selector of the fingerprint. It is cheap.
func (i *RequestIdentity) Selector() uint64 { return i.selector }

// Fingerprint returns the fingerprint. The first call reads the whole body.
func (i *RequestIdentity) Fingerprint() Fingerprint {
	if i.fingerprint == (Fingerprint{}) {
		h := sha256.New()
		write := func(b []byte) { _, _ = h.Write(b) }
		i.writeHead(write)
		i.writeBodyLength(write)
		write(i.body)
		sum := h.Sum(nil)
		i.fingerprint = Fingerprint{Selector: i.selector, Digest: [2]uint64{binary.BigEndian.Uint64(sum), binary.BigEndian.Uint64(sum[8:])}}
	}
	return i.fingerprint
}
