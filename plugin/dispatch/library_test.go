package dispatch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// These tests hold fasthttp to the behaviour noted in section 13, on which the
// router's design rests. One that fails after an upgrade calls for a new look at
// the code that it names, not for a new expectation alone.

// serveLibrary runs a bare fasthttp server.
func serveLibrary(t testing.TB, s *fasthttp.Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String()
}

func rawGet(t *testing.T, addr string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must(t, err)
	defer c.Close()
	must(t, c.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	must(t, err)
	b, err := io.ReadAll(c)
	must(t, err)
	return string(b)
}

type failing struct{ n int }

func (f *failing) Read(p []byte) (int, error) {
	if f.n++; f.n > 1 {
		return 0, errors.New("target died")
	}
	return copy(p, "part"), nil
}

// Guards plugin/entry's body: a stream writer that stops early ends the response
// as if it were whole, a reader that returns an error does not.
func TestLibraryBodyStream(t *testing.T) {
	is := is.New(t)
	writer := serveLibrary(t, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { w.WriteString("part") })
	}})
	is.True(strings.HasSuffix(rawGet(t, writer), "\r\n0\r\n\r\n"))
	reader := serveLibrary(t, &fasthttp.Server{Logger: noLog{}, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStream(&failing{}, -1)
	}})
	got := rawGet(t, reader)
	is.True(strings.Contains(got, "4\r\npart\r\n"))
	is.True(!strings.HasSuffix(got, "0\r\n\r\n"))
}

type noLog struct{}

func (noLog) Printf(string, ...any) {}

// Guards connPool: fasthttp's client repeats a GET by itself, so the router
// keeps connections and counts sends on its own.
func TestLibraryRetries(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, "t1", numbered(closed))
	c := fasthttp.Client{}
	_, _, err := c.Get(nil, "http://"+target.addr+"/")
	is.True(err != nil)
	is.True(len(target.work()) > 1)

	r := newRig(t, target)
	before := len(target.work())
	_, f := r.d.open(t.Context(), &message{method: "GET", path: "/", host: target.addr}, true, farBounds(), nil)
	is.True(f != nil)
	is.Equal(len(target.work()), before+1) // the router's own exchange sends once
}

func farBounds() bounds {
	end := time.Now().Add(waitLimit)
	return bounds{silence: waitLimit, head: end, hard: end}
}

// Guards targetConn's deadlines: fasthttp's read timeout bounds a whole streamed
// body, so a long stream that keeps moving would be cut.
func TestLibraryReadTimeout(t *testing.T) {
	is := is.New(t)
	const limit, events = 100 * time.Millisecond, 15
	target := newTarget(t, "t1", numbered(func(w *wire, _ *seen, _ int) {
		w.stream("s1")
		for n := 1; n <= events; n++ {
			time.Sleep(limit / 5)
			w.events(n, n)
		}
		w.done(events + 1)
	}))
	c := fasthttp.Client{ReadTimeout: limit, StreamResponseBody: true}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + target.addr + "/")
	req.Header.SetMethod("POST")
	is.NoErr(c.Do(req, resp))
	_, err := io.ReadAll(resp.BodyStream())
	is.True(err != nil) // the client cut a stream that moved all the time

	r := newRig(t, target)
	r.want(engineRequest(), allEvents(events)) // the router's deadline is per read
}

// Guards exchange.read: a truncated body is an unexpected EOF with a length or
// chunks, but a plain EOF without either.
func TestLibraryTruncation(t *testing.T) {
	for head, looksWhole := range map[string]bool{
		"Content-Length: 99\r\n":         false,
		"Transfer-Encoding: chunked\r\n": false,
		"":                               true,
	} {
		is := is.New(t)
		resp := fasthttp.Response{StreamBody: true}
		raw := "HTTP/1.1 200 OK\r\n" + head + "\r\n4\r\nbody\r\n"
		is.NoErr(resp.ReadLimitBody(bufio.NewReader(strings.NewReader(raw)), 0))
		_, err := io.Copy(io.Discard, struct{ io.Reader }{resp.BodyStream()})
		is.Equal(err == nil, looksWhole)                           // by the head's framing
		is.Equal(errors.Is(err, io.ErrUnexpectedEOF), !looksWhole) // as above
	}
}

// Guards callerConn.watch: fasthttp's context does not end when the caller
// closes the connection.
func TestLibraryDisconnect(t *testing.T) {
	is := is.New(t)
	noticed, entered, leave := make(chan bool, 1), make(chan struct{}), make(chan struct{})
	addr := serveLibrary(t, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		close(entered)
		<-leave
		select {
		case <-ctx.Done():
			noticed <- true
		case <-time.After(50 * time.Millisecond):
			noticed <- false
		}
	}})
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	receive(t, entered)
	is.NoErr(c.Close())
	close(leave)
	is.Equal(receive(t, noticed), false)
}

// Guards Server.Drain: fasthttp's own shutdown waits for connections that have
// served nothing for as long as they may be starting a request.
func TestLibraryShutdown(t *testing.T) {
	is := is.New(t)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {}}
	addr := serveLibrary(t, s)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	eventually(t, "accepted", func() bool { return s.GetOpenConnectionsCount() == 1 })
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	is.Equal(s.ShutdownWithContext(ctx), context.DeadlineExceeded) // an unused connection holds it up
}
