package gateway

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"nutmegrouter/internal/explain"
	"nutmegrouter/internal/overload"
	"nutmegrouter/platform/standin"
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
	prompt := standin.HeaderPrompt + ": " + secretPart + ":10"
	send := func(text string) {
		c := r.dial()
		c.send(text)
		_, _, _ = c.answer() // what the caller gets is tested elsewhere
	}
	for range 2 {
		send(request("POST", "/look/1", "a1", secretBody, prompt))
		send(request("POST", "/order/1", "a2", secretBody, prompt))
		send(request("POST", "/draft/1", "a3", secretBody, prompt, standin.HeaderModel+": m", standin.HeaderTokens+": 10,5"))
	}
	send("POST /chat/1 HTTP/1.1\r\nHost: f.example\r\n" + standin.HeaderAttempt + ": a4\r\nAuthorization: Bearer " + secretKey + "\r\nContent-Length: 9\r\n\r\n" + secretBody)
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

// Guards against a failed request whose cause cannot be found from its id: the steps of
// docs/OPERATIONS.md, for a request refused under load, one broken off midway and one
// answered late.
func TestFailuresAreExplained(t *testing.T) {
	slow := 300 * time.Millisecond
	script := func(c net.Conn, r *http.Request, _ int) {
		if strings.HasPrefix(r.URL.Path, "/chat") {
			write(c, streamHead(idOf(r))+chunk(event(1)))
			reset(c)
			return
		}
		time.Sleep(slow)
		write(c, whole(200, idOf(r), "ok"))
	}
	r := newRig(t, newTarget(t, "t1", script)).configured(1)
	for range 20 {
		r.gateway.load.allow("w")
		r.gateway.load.tick(overload.Period + 100*time.Millisecond)
	}
	for i := range 30 {
		r.dial().send(request("GET", "/look/1", fmt.Sprintf("load%d", i), ""))
	}
	refusedID := ""
	for begin := time.Now(); refusedID == ""; time.Sleep(time.Millisecond) {
		r.is.True(time.Since(begin) < 5*time.Second)
		if line := regexp.MustCompile(`.*"code":"` + codeBusy + `".*\n`).FindString(r.lines.String()); line != "" {
			refusedID = regexp.MustCompile(`"request":"(load\d+)"`).FindStringSubmatch(line)[1]
		}
	}
	r.gateway.load.mu.Lock()
	r.gateway.load.gate = overload.New()
	r.gateway.load.mu.Unlock()
	broken, late := r.dial(), r.dial()
	broken.send(request("POST", "/chat/1", "broken1", "x"))
	_, _, _ = broken.answer()
	late.send(request("GET", "/look/1", "late1", ""))
	late.want(http.StatusOK, "ok")

	story := func(id string) explain.Story {
		reader := explain.NewReader(id)
		r.is.NoErr(reader.Read(strings.NewReader(r.lines.String())))
		return reader.Story()
	}
	field := func(s explain.Story, msg, name string) any {
		for _, l := range s.Lines {
			if v, ok := l.Fields[name]; ok && l.Message == msg {
				return v
			}
		}
		t.Errorf("no line %q of %s has %s", msg, s.Request, name)
		return nil
	}
	// Refused under load: the code names the bound, the inputs its figures.
	s := story(refusedID)
	r.is.Equal(field(s, "refused", "code"), codeBusy)
	r.is.True(field(s, "refused", "late_ms") != nil)
	r.is.Equal(field(s, "refused", "run"), "not-run")
	// Broken off midway: which target, after how many events, and why no other went on.
	s = story("broken1")
	r.is.Equal(field(s, "attempt failed", "target"), "t1")
	r.is.Equal(field(s, "stream broken", "events"), 1.0)
	r.is.True(field(s, "stream broken", "why") != "")
	// Answered late: where the time went.
	s = story("late1")
	r.is.Equal(field(s, "sent", "target"), "t1")
	r.is.True(field(s, "answered", "took_ms").(float64) >= float64(slow.Milliseconds()))
}
