package standin

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Seed returns the hash of a request body that determines all tokens of the response, so
// that a client can verify every byte of it.
func Seed(body []byte) uint64 { return xxhash.Sum64(body) }

// Token returns the i-th token of a response, counted from 1.
func Token(seed uint64, i int) string {
	// The multiplier and shifts are those of the splitmix64 mixing function.
	z := seed + uint64(i)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z ^= z >> 27
	return fmt.Sprintf("%08x", uint32(z))
}

// PromptTokens returns the simulated number of prompt tokens of a request body: one, and
// one more per 256 bytes, at most 4096.
func PromptTokens(body []byte) int { return min(1+len(body)/256, 4096) }

// appendEvent appends the i-th event of a stream. Events 1 to tokens hold one token each;
// the usage and [DONE] follow.
func appendEvent(b []byte, seed uint64, i, tokens, promptTokens int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, "\ndata: "...)
	switch {
	case i <= tokens:
		b = append(b, `{"choices":[{"index":0,"delta":{"content":"`...)
		b = append(b, Token(seed, i)...)
		b = append(b, `"}}]}`...)
	case i == tokens+1:
		b = append(b, `{"choices":[],"usage":`...)
		b = appendUsage(b, promptTokens, tokens)
		b = append(b, '}')
	default:
		b = append(b, "[DONE]"...)
	}
	return append(b, "\n\n"...)
}

func appendUsage(b []byte, promptTokens, tokens int) []byte {
	return fmt.Appendf(b, `{"prompt_tokens":%d,"completion_tokens":%d}`, promptTokens, tokens)
}

// StreamBody returns the complete streamed response of n tokens to a request body.
func StreamBody(body []byte, n int) []byte {
	var b []byte
	seed, promptTokens := Seed(body), PromptTokens(body)
	for i := 1; i <= n+2; i++ {
		b = appendEvent(b, seed, i, n, promptTokens)
	}
	return b
}

// UnstreamedBody returns the unstreamed response of n tokens to a request body.
func UnstreamedBody(body []byte, n int) []byte {
	return unstreamedFromSeed(Seed(body), PromptTokens(body), n)
}

func unstreamedFromSeed(seed uint64, promptTokens, tokens int) []byte {
	b := []byte(`{"choices":[{"index":0,"message":{"role":"assistant","content":"`)
	for i := 1; i <= tokens; i++ {
		b = append(b, Token(seed, i)...)
	}
	b = append(b, `"}}],"usage":`...)
	b = appendUsage(b, promptTokens, tokens)
	return append(b, '}')
}

// ServiceBody returns the response of a plain service to a request body. It has one token
// or as many as are needed for at least size bytes, whichever is more.
func ServiceBody(body []byte, size int) []byte {
	seed := Seed(body)
	b := []byte(`{"echo":"`)
	for i := 1; i == 1 || len(b) < size; i++ {
		b = append(b, Token(seed, i)...)
	}
	return append(b, `"}`...)
}
