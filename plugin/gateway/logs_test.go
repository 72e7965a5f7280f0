package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a key, a prompt or a body in a log line, on the way of a request that
// is served, refused, repeated, cut and malformed.
func TestNoSecretInLogLines(t *testing.T) {
	const secretBody, secretAnswer, secretPart, secretKey = "body-7f1c", "answer-2b9d", "c0ffee77", "unknown-key-55aa"
	script := func(c net.Conn, r *http.Request, n int) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/draft"):
			write(c, streamHead(idOf(r))+chunk("id: 1\ndata: "+secretAnswer+"\n\n"))
			reset(c)
		case n%2 == 0:
			write(c, whole(500, idOf(r), secretAnswer))
		default:
			write(c, whole(200, idOf(r), secretAnswer))
		}
	}
	r := newRig(t, newTarget(t, "t1", script), newTarget(t, "t2", script)).configured(1)
	prompt := "X-Prompt-Prefix: " + secretPart + ":10"
	send := func(text string) {
		c := r.dial()
		c.send(text)
		_, _, _ = c.answer() // what the caller gets is tested elsewhere
	}
	for range 2 {
		send(request("POST", "/look/1", "a1", secretBody, prompt))
		send(request("POST", "/order/1", "a2", secretBody, prompt))
		send(request("POST", "/draft/1", "a3", secretBody, prompt, "X-Model: m", "X-Token-Usage: 10,5"))
	}
	send("POST /chat/1 HTTP/1.1\r\nHost: f.example\r\nX-Attempt-Id: a4\r\nAuthorization: Bearer " + secretKey + "\r\nContent-Length: 9\r\n\r\n" + secretBody)
	send("POST /look/1 HTTP/1.1\r\nHost: f.example\r\nAuthorization: Bearer " + secretKey + "\r\nContent-Length: x" + secretBody + "\r\n\r\n")
	send(request("POST", "/nothing/1", "a5", secretBody))
	logged := r.lines.String()
	for _, msg := range []string{"admitted", "sent", "answered", "refused", "attempt failed"} {
		r.is.True(strings.Contains(logged, msg)) // the lines were made
	}
	for _, secret := range []string{secretBody, secretAnswer, secretPart, secretKey, "Bearer"} {
		if strings.Contains(logged, secret) {
			t.Errorf("%q stands in a log line", secret)
		}
	}
}
