package orders

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	planner "nutmegrouter/internal/orders"
	"nutmegrouter/internal/settings"
)

// newOrders returns the plug-in without the services that it looks up.
func newOrders(t *testing.T) *Orders {
	t.Helper()
	is := is.New(t)
	k := kernel.NewContext(&settings.Settings{Instance: "a"}, slog.New(slog.DiscardHandler), kernel.NewClock())
	is.NoErr(kernel.Provide[api.Lease](k, struct{ api.Lease }{}))
	is.NoErr(kernel.Provide[api.Fleet](k, struct{ api.Fleet }{}))
	is.NoErr(kernel.Provide[api.Control](k, struct{ api.Control }{}))
	is.NoErr(kernel.Provide[api.TargetStates](k, struct{ api.TargetStates }{}))
	o := &Orders{}
	is.NoErr(o.Provision(k))
	return o
}

// serveOrder starts a target that responds to an order with a text and then closes the connection. It
// returns its address.
func serveOrder(t *testing.T, text string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}
			c.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against a broken response that is taken for the acceptance of an order, and against refusing
// sound ones.
func TestResponsesToOrders(t *testing.T) {
	for text, want := range map[string]planner.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                     planner.Accepted,
		"HTTP/1.1 202\r\n\r\n":                                             planner.Accepted,
		"HTTP/1.1 204 No Content\r\n\r\n":                                  planner.Accepted,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":             planner.Accepted,
		"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n":                      planner.TokenOutdated,
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n":                      planner.Failed,
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n":                     planner.Failed,
		"HTTP/1.1 000\r\n\r\n":                                             planner.Failed,
		"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                    planner.Failed,
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n":         planner.Failed,
		"HTTP/1.1 200 OK\r\nContent Length: 0\r\n\r\n":                     planner.Failed,
		"HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: 0\r\n\r\n":        planner.Failed,
		"HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\nContent-Length: 0\r\n\r\n":      planner.Failed,
		"HTTP/1.1 409 X\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n":          planner.Failed,
		"HTTP/1.1 200 OK\r\nX-Bad: 1\r\n Content-Length: 0\r\n\r\n":        planner.Failed,
		"HTTP/1.1 103 X\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":        planner.Failed,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart":                 planner.Failed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r": planner.Failed,
	} {
		o := newOrders(t)
		order := planner.Order{Target: fleetconfig.Target{Name: "t1", Address: serveOrder(t, text)}}
		got, err := o.post(order, 1)
		if got != want || (err != nil) != (want == planner.Failed) {
			t.Errorf("%q: outcome %v, %v, want %v", text, got, err, want)
		}
	}
}
