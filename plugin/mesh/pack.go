package mesh

import (
	"bytes"
	"strings"
)

// maxPackedBody is the largest body in bytes that is packed. Larger bodies gain
// little, and the bound keeps an unpacked body below 128 KiB.
const maxPackedBody = 4096

// dictionary lists the constant parts of JSON-RPC messages. On the wire each is
// replaced by one byte, its index plus one. Encoded JSON contains no control
// characters, so the codes are unambiguous, and unpacked text is accepted as
// well. The constant parts are more than half of a heartbeat, and so of the idle
// traffic. The order is part of the wire format: it must not change while
// instances of two versions run.
var dictionary = [...]string{
	`{"id":`,
	`,"jsonrpc":"2.0","method":"`,
	`","params":`,
	`{"jsonrpc":"2.0","method":"`,
	`,"result":`,
	`,"jsonrpc":"2.0"}`,
	`,"error":{"code":`,
	`,"message":"`,
}

var dictionaryReplacer = newDictionaryReplacer()

func newDictionaryReplacer() *strings.Replacer {
	var pairs []string
	for i, part := range dictionary {
		pairs = append(pairs, part, string(rune(i+1)))
	}
	return strings.NewReplacer(pairs...)
}

// pack replaces the dictionary parts of a body by their codes. Bodies above
// maxPackedBody are returned unchanged.
func pack(body []byte) []byte {
	if len(body) > maxPackedBody {
		return body
	}
	return []byte(dictionaryReplacer.Replace(string(body)))
}

// unpack expands the dictionary codes of a body. It accepts packed and unpacked
// text.
func unpack(body []byte) []byte {
	if len(body) > maxPackedBody || !bytes.ContainsFunc(body, isDictionaryCode) {
		return body
	}
	out := make([]byte, 0, 2*len(body)+64)
	for _, b := range body {
		if isDictionaryCode(rune(b)) {
			out = append(out, dictionary[b-1]...)
			continue
		}
		out = append(out, b)
	}
	return out
}

func isDictionaryCode(r rune) bool { return r >= 1 && int(r) <= len(dictionary) }
