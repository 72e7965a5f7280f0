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

// Guards against a key, a prompt or a body in a log line of a request that is served,
// refused, retried, truncated or malformed.
func TestNoSecretInLogLines(t *testing.T) {
	const secretBody, secretResponse, secretPart, secretKey = "body-7f1c", "answer-2b9d", "c0ffee77", "unknown-key-55aa"
	script := func(c net.Conn, r *http.Request, n int) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/draft"):
			write(c, streamHeader(attemptID(r))+chunk("id: 1\ndata: "+secretResponse+"\n\n"))
			resetConn(c)
		case n%2 == 0:
			write(c, fullResponse(500, attemptID(r), secretResponse))
		default:
			write(c, fullResponse(200, attemptID(r), secretResponse))
		}
	}
	r := newRig(t, newTarget(t, "t1", script), newTarget(t, "t2", script)).configure(1)
	prompt := standin.HeaderPrompt + ": " + secretPart + ":10"
	send := func(text string) {
		c := r.dial()
		c.send(text)
		_, _, _ = c.readResponse() // other tests check the response
	}
	for range 2 {
		send(request("POST", "/look/1", "a1", secretBody, prompt))
		send(request("POST", "/order/1", "a2", secretBody, prompt))
		send(request("POST", "/draft/1", "a3", secretBody, prompt, standin.HeaderModel+": m", standin.HeaderTokens+": 10,5"))
	}
	send("POST /chat/1 HTTP/1.1\r\nHost: f.example\r\n" + standin.HeaderAttempt + ": a4\r\nAuthorization: Bearer " + secretKey + "\r\nContent-Length: 9\r\n\r\n" + secretBody)
	send("POST /look/1 HTTP/1.1\r\nHost: f.example\r\nAuthorization: Bearer " + secretKey + "\r\nContent-Length: x" + secretBody + "\r\n\r\n")
	send(request("POST", "/nothing/1", "a5", secretBody))
	logged := r.logs.String()
	for _, msg := range []string{"admitted", "sent", "answered", "refused", "attempt failed"} {
		r.is.True(strings.Contains(logged, msg)) // each kind of line was logged
	}
	for _, secret := range []string{secretBody, secretResponse, secretPart, secretKey, "Bearer"} {
		if strings.Contains(logged, secret) {
			t.Errorf("%q was logged", secret)
		}
	}
}

// Guards against a failed request whose cause cannot be found from its id with the steps
// of docs/OPERATIONS.md: one shed under load, one whose stream broke, and a slow one.
func TestFailuresAreExplained(t *testing.T) {
	slow := 300 * time.Millisecond
	script := func(c net.Conn, r *http.Request, _ int) {
		if strings.HasPrefix(r.URL.Path, "/chat") {
			write(c, streamHeader(attemptID(r))+chunk(event(1)))
			resetConn(c)
			return
		}
		time.Sleep(slow)
		write(c, fullResponse(200, attemptID(r), "ok"))
	}
	r := newRig(t, newTarget(t, "t1", script)).configure(1)
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
		if line := regexp.MustCompile(`.*"code":"` + codeBusy + `".*\n`).FindString(r.logs.String()); line != "" {
			refusedID = regexp.MustCompile(`"request":"(load\d+)"`).FindStringSubmatch(line)[1]
		}
	}
	r.gateway.load.mu.Lock()
	r.gateway.load.gate = overload.New()
	r.gateway.load.mu.Unlock()
	brokenCaller, slowCaller := r.dial(), r.dial()
	brokenCaller.send(request("POST", "/chat/1", "broken1", "x"))
	_, _, _ = brokenCaller.readResponse()
	slowCaller.send(request("GET", "/look/1", "slow1", ""))
	slowCaller.want(http.StatusOK, "ok")

	readTrace := func(id string) explain.Trace {
		reader := explain.NewReader(id)
		r.is.NoErr(reader.Read(strings.NewReader(r.logs.String())))
		return reader.Trace()
	}
	field := func(s explain.Trace, msg, name string) any {
		for _, l := range s.Lines {
			if v, ok := l.Fields[name]; ok && l.Message == msg {
				return v
			}
		}
		t.Errorf("no line %q of %s has %s", msg, s.Request, name)
		return nil
	}
	// Shed under load: the code names the limit, the inputs give its values.
	s := readTrace(refusedID)
	r.is.Equal(field(s, "refused", "code"), codeBusy)
	r.is.True(field(s, "refused", "late_ms") != nil)
	r.is.Equal(field(s, "refused", "run"), "not-run")
	// Broken stream: which target, after how many events, and why it was not resumed.
	s = readTrace("broken1")
	r.is.Equal(field(s, "attempt failed", "target"), "t1")
	r.is.Equal(field(s, "stream broken", "events"), 1.0)
	r.is.True(field(s, "stream broken", "why") != "")
	// Slow response: where the time was spent.
	s = readTrace("slow1")
	r.is.Equal(field(s, "sent", "target"), "t1")
	r.is.True(field(s, "answered", "took_ms").(float64) >= float64(slow.Milliseconds()))
}
