package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegrouter/internal/overload"
)

// Guards against an instance without processor time that accepts requests which it
// cannot serve in time, while the retry of a refused one would reach another instance.
func TestRefusesWithoutProcessorTime(t *testing.T) {
	x := newTarget(t, "t1", echo("ok"))
	r := newRig(t, x).configured(1)
	c := r.dial()
	c.send(request("POST", "/look/1", "a1", "x"))
	c.want(http.StatusOK, "ok")
	for range 20 { // the processor is late and one request a period is wanted
		r.gateway.load.allow("w")
		r.gateway.load.tick(overload.Period + 100*time.Millisecond)
	}
	var refused *http.Response
	var body string
	for n := 0; refused == nil && n < 50; n++ {
		c.send(request("POST", "/look/1", "b", "x"))
		a, text, err := c.answer()
		r.is.NoErr(err)
		if a.StatusCode != http.StatusOK {
			refused, body = a, text
		}
	}
	r.is.True(refused != nil)
	r.is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	r.is.True(strings.Contains(body, codeBusy))
	r.is.Equal(refused.Header.Get("Retry-After"), "0.050")
}
