package standin

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Seed is the value from which all tokens of the response to a body follow.
// A client that knows the body can check every byte of the response.
func Seed(body []byte) uint64 { return xxhash.Sum64(body) }

// Token returns the token with the number i, counted from 1.
func Token(seed uint64, i int) string {
	// The multiplier and shifts are those of the splitmix64 mixing function.
	z := seed + uint64(i)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z ^= z >> 27
	return fmt.Sprintf("%08x", uint32(z))
}

// PromptTokens returns the number of prompt tokens of a body.
func PromptTokens(body []byte) int { return min(1+len(body)/256, 4096) }

// appendEvent appends the event with the number i of a stream of n tokens:
// tokens, then the usage, then [DONE].
func appendEvent(b []byte, seed uint64, i, n, prompt int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, "\ndata: "...)
	switch {
	case i <= n:
		b = append(b, `{"choices":[{"index":0,"delta":{"content":"`...)
		b = append(b, Token(seed, i)...)
		b = append(b, `"}}]}`...)
	case i == n+1:
		b = append(b, `{"choices":[],"usage":`...)
		b = appendUsage(b, prompt, n)
		b = append(b, '}')
	default:
		b = append(b, "[DONE]"...)
	}
	return append(b, "\n\n"...)
}

func appendUsage(b []byte, prompt, tokens int) []byte {
	return fmt.Appendf(b, `{"prompt_tokens":%d,"completion_tokens":%d}`, prompt, tokens)
}

// StreamBody returns the whole streamed response to a body with n tokens.
func StreamBody(body []byte, n int) []byte {
	var b []byte
	seed, prompt := Seed(body), PromptTokens(body)
	for i := 1; i <= n+2; i++ {
		b = appendEvent(b, seed, i, n, prompt)
	}
	return b
}

// WholeBody returns the unstreamed response to a body with n tokens.
func WholeBody(body []byte, n int) []byte { return wholeFromSeed(Seed(body), PromptTokens(body), n) }

func wholeFromSeed(seed uint64, prompt, n int) []byte {
	b := []byte(`{"choices":[{"index":0,"message":{"role":"assistant","content":"`)
	for i := 1; i <= n; i++ {
		b = append(b, Token(seed, i)...)
	}
	b = append(b, `"}}],"usage":`...)
	b = appendUsage(b, prompt, n)
	return append(b, '}')
}

// ServiceBody returns the response of a plain service to a body, size bytes
// long or a little more.
func ServiceBody(body []byte, size int) []byte {
	seed := Seed(body)
	b := []byte(`{"echo":"`)
	for i := 1; i == 1 || len(b) < size; i++ {
		b = append(b, Token(seed, i)...)
	}
	return append(b, `"}`...)
}
