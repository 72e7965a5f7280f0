package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/plugin/entry"
)

// serve runs the entry plug-in over the rig's dispatcher.
func (r *rig) serve() (*entry.Server, string) {
	r.t.Helper()
	s := &entry.Server{}
	must(r.t, s.Provision(r.c))
	ctx, stop := context.WithCancel(context.Background())
	d := kernel.NewDuties(ctx)
	must(r.t, s.Start(d))
	r.t.Cleanup(func() {
		stop()
		must(r.t, d.Wait())
		must(r.t, s.Cleanup())
	})
	return s, "http://" + s.Addr()
}

func newRequest(t testing.TB, method, url, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	must(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	return req
}

// Guards against a plain call or a streamed answer that does not get through
// from the caller to the target and back.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, "t1", func(w *wire, r *seen) {
		if r.URL.Path == "/count" {
			w.plain(200, "counted "+r.body, "X-Target-State: warm", "X-Target-Boot: 3")
			return
		}
		w.stream("s1", "X-Target-State: warm")
		w.events(1, 3)
		w.done(4)
	})
	r := newRig(t, target)
	_, url := r.serve()

	resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/pools/svc/count?x=1", "abc"))
	is.NoErr(err)
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), "counted abc")
	is.Equal(resp.Header.Get("X-Target"), "t1")
	is.Equal(resp.Header.Get("X-Served-By"), "a1")
	is.Equal(target.work()[0].URL.RawQuery, "x=1")
	is.Equal(target.work()[0].Header.Get("Authorization"), "") // the router's key stays here
	is.Equal(r.outcome().Boot, uint64(3))

	resp, err = http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", `{"model":"m1"}`))
	is.NoErr(err)
	b, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), allEvents(3))
	is.Equal(r.outcome().Cost, 9.0) // 7 generated tokens and a tenth of 20 prompt tokens
}
