package adminapi

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
)

// serveText starts an instance that responds to each request with a text and then closes the
// connection. It returns its address.
func serveText(t *testing.T, text string) string {
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

// Guards against a broken response of an instance that an operator gets as an answer: reads and
// changes go on to the next address.
func TestBrokenResponseIsNoAnswer(t *testing.T) {
	const sound = "HTTP/1.1 200\r\n\r\n" // no reason, ends with its connection
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\nContent-Length: 17",
		"status 000, no length":    "HTTP/1.1 000 OK",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 17",
		"blank in an error's name": "HTTP/1.1 400 X\r\nX Bad: 1\r\nContent-Length: 17",
		"blank in a length's name": "HTTP/1.1 200 OK\r\nContent Length: 2",
		"blank before the colon":   "HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: 17",
		"continued line":           "HTTP/1.1 200 OK\r\nX-Bad: 1\r\n Content-Length: 17",
		"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\nContent-Length: 17",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &Client{Addresses: []string{
				serveText(t, head+"\r\n\r\n"+`{"revision":  66}`), serveText(t, sound+`{"revision":7}`)}}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			result, err := c.Submit(ctx, api.Submission{})
			is.NoErr(err)
			is.Equal(result.Revision, uint64(7))
			c.preferred = 0
			text, err := c.Metrics(ctx)
			is.NoErr(err)
			is.Equal(text, `{"revision":7}`)
		})
	}
}

// Guards against a part of a response that an operator gets as a whole one: the instance responds
// without a length while a long change is still being written, and resets the connection.
func TestResetDuringChange(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			_, _ = c.Read(make([]byte, 1000))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+`{"revision":66}`)
			time.Sleep(30 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	for range 10 {
		c := &Client{Addresses: []string{ln.Addr().String(), serveText(t, "HTTP/1.1 200 OK\r\n\r\n"+`{"revision":7}`)}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		result, err := c.Submit(ctx, api.Submission{Author: strings.Repeat("a", 16<<20)})
		cancel()
		is.NoErr(err)
		is.Equal(result.Revision, uint64(7))
	}
}
