package api

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests of different workspaces, paths or bodies that are taken for the same, so that
// one caller can have another one's request refused, and against repeats that are taken for different.
func TestFingerprintSeparatesRequests(t *testing.T) {
	is := is.New(t)
	fingerprint := func(workspace, method, host, url, body string) Fingerprint {
		return NewRequestIdentity(workspace, []byte(method), []byte(host), []byte(url), []byte(body)).Fingerprint()
	}
	base := fingerprint("w", "POST", "h", "/a/1", "body")
	is.Equal(base, fingerprint("w", "POST", "h", "/a/1", "body"))
	seen := map[Fingerprint]bool{base: true}
	for _, f := range []Fingerprint{
		fingerprint("v", "POST", "h", "/a/1", "body"), fingerprint("", "POST", "h", "/a/1", "body"),
		fingerprint("wP", "OST", "h", "/a/1", "body"), fingerprint("w", "POST", "h/", "a/1", "body"),
		fingerprint("w", "POST", "h", "/a/1b", "ody"), fingerprint("w", "POST", "h", "/a/1", "bodx"),
		fingerprint("w", "POST", "h", "/a/1?q", "body"), fingerprint("w", "GET", "h", "/a/1", "body"),
	} {
		is.True(!seen[f])
		is.True(f != Fingerprint{})
		seen[f] = true
	}
	same := NewRequestIdentity("w", []byte("POST"), []byte("h"), []byte("/a/1"), []byte("bodx"))
	is.Equal(same.Selector(), base.Selector) // cheap: it does not read the body
}
