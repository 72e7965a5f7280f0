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

// These tests check the behaviour of fasthttp, described in section 13, on which the
// router depends. If one fails after an upgrade, review the code that it names before
// changing the expectation.

// serveFasthttp runs a fasthttp server without the router and returns its address.
func serveFasthttp(t testing.TB, s *fasthttp.Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String()
}

func httpGet(t *testing.T, addr string) string {
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

type failingReader struct{ n int }

func (f *failingReader) Read(p []byte) (int, error) {
	if f.n++; f.n > 1 {
		return 0, errors.New("target failed")
	}
	return copy(p, "part"), nil
}

// Guards the response body of plugin/entry: a stream writer that stops early ends the
// response as if it were complete, a reader that returns an error does not.
func TestFasthttpBodyStream(t *testing.T) {
	is := is.New(t)
	writer := serveFasthttp(t, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { w.WriteString("part") })
	}})
	is.True(strings.HasSuffix(httpGet(t, writer), "\r\n0\r\n\r\n"))
	reader := serveFasthttp(t, &fasthttp.Server{Logger: noLog{}, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStream(&failingReader{}, -1)
	}})
	got := httpGet(t, reader)
	is.True(strings.Contains(got, "4\r\npart\r\n"))
	is.True(!strings.HasSuffix(got, "0\r\n\r\n"))
}

type noLog struct{}

func (noLog) Printf(string, ...any) {}

// Guards targetconn.Pool: fasthttp's client retries a GET by itself, so the router
// manages connections and counts sends itself.
func TestFasthttpRetries(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, "t1", runScript(closeConn))
	c := fasthttp.Client{}
	_, _, err := c.Get(nil, "http://"+target.addr+"/")
	is.True(err != nil)
	is.True(len(target.workRequests()) > 1)

	env := newTestEnv(t, target)
	before := len(target.workRequests())
	_, f := env.d.open(t.Context(), &targetRequest{method: "GET", path: "/", host: target.addr}, true, unreachedLimits(), nil)
	is.True(f != nil)
	is.Equal(len(target.workRequests()), before+1) // the router's exchange sends once
}

func unreachedLimits() timeLimits {
	end := time.Now().Add(waitLimit)
	return timeLimits{ioTimeout: waitLimit, headerDeadline: end, deadline: end}
}

// Guards the deadlines of targetconn.Conn: fasthttp's read timeout covers a whole
// streamed body, so it would end a long stream although events keep arriving.
func TestFasthttpReadTimeout(t *testing.T) {
	is := is.New(t)
	const limit, events = 100 * time.Millisecond, 15
	target := newTarget(t, "t1", runScript(func(w *scriptConn, _ *receivedRequest, _ int) {
		w.stream("s1")
		for n := 1; n <= events; n++ {
			time.Sleep(limit / 5)
			w.events(n, n)
		}
		w.endStream(events + 1)
	}))
	c := fasthttp.Client{ReadTimeout: limit, StreamResponseBody: true}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + target.addr + "/")
	req.Header.SetMethod("POST")
	is.NoErr(c.Do(req, resp))
	_, err := io.ReadAll(resp.BodyStream())
	is.True(err != nil) // the client ended a stream whose events kept arriving

	env := newTestEnv(t, target)
	env.wantBody(engineRequest(), wholeStreamText(events)) // the router's deadline is per read
}

// Guards exchange.read: a truncated body ends in io.ErrUnexpectedEOF if it has a
// length or chunks, and in io.EOF if it has neither.
func TestFasthttpTruncation(t *testing.T) {
	for head, looksComplete := range map[string]bool{
		"Content-Length: 99\r\n":         false,
		"Transfer-Encoding: chunked\r\n": false,
		"":                               true,
	} {
		is := is.New(t)
		resp := fasthttp.Response{StreamBody: true}
		raw := "HTTP/1.1 200 OK\r\n" + head + "\r\n4\r\nbody\r\n"
		is.NoErr(resp.ReadLimitBody(bufio.NewReader(strings.NewReader(raw)), 0))
		_, err := io.Copy(io.Discard, struct{ io.Reader }{resp.BodyStream()})
		is.Equal(err == nil, looksComplete)                           // depends on the framing
		is.Equal(errors.Is(err, io.ErrUnexpectedEOF), !looksComplete) // see above
	}
}

// Guards callerconn.Conn, which detects disconnected callers: fasthttp's context is not
// cancelled when the caller closes the connection.
func TestFasthttpDisconnect(t *testing.T) {
	is := is.New(t)
	noticed, entered, leave := make(chan bool, 1), make(chan struct{}), make(chan struct{})
	addr := serveFasthttp(t, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
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

// Guards entry.Server.Drain: fasthttp's own shutdown waits for connections on which no
// request has arrived yet.
func TestFasthttpShutdown(t *testing.T) {
	is := is.New(t)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {}}
	addr := serveFasthttp(t, s)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	eventually(t, "accepted", func() bool { return s.GetOpenConnectionsCount() == 1 })
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	is.Equal(s.ShutdownWithContext(ctx), context.DeadlineExceeded) // it waits for the unused connection
}
