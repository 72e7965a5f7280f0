package mesh

import (
	"bytes"
	"strings"
)

// packLimit is the largest frame in bytes that is packed. Larger ones gain
// little, and the bound keeps an unpacked frame below 128 KiB.
const packLimit = 4096

// phrases are the constant parts of JSON-RPC messages. On the wire each is one
// byte, its index plus one. JSON text from the encoder contains no control
// characters, so that the two cannot be confused; unpacked text is accepted as
// well. The constant parts are more than half of a beat, and so of the idle
// traffic. The order must not change while instances of two versions run.
var phrases = [...]string{
	`{"id":`,
	`,"jsonrpc":"2.0","method":"`,
	`","params":`,
	`{"jsonrpc":"2.0","method":"`,
	`,"result":`,
	`,"jsonrpc":"2.0"}`,
	`,"error":{"code":`,
	`,"message":"`,
}

var packer = newPacker()

func newPacker() *strings.Replacer {
	var pairs []string
	for i, p := range phrases {
		pairs = append(pairs, p, string(rune(i+1)))
	}
	return strings.NewReplacer(pairs...)
}

// pack replaces the phrases of a small message.
func pack(body []byte) []byte {
	if len(body) > packLimit {
		return body
	}
	return []byte(packer.Replace(string(body)))
}

// unpack reverses pack.
func unpack(body []byte) []byte {
	if len(body) > packLimit || !bytes.ContainsFunc(body, isPhrase) {
		return body
	}
	out := make([]byte, 0, 2*len(body)+64)
	for _, b := range body {
		if isPhrase(rune(b)) {
			out = append(out, phrases[b-1]...)
			continue
		}
		out = append(out, b)
	}
	return out
}

func isPhrase(r rune) bool { return r >= 1 && int(r) <= len(phrases) }
