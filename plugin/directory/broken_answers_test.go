package directory

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// page is a page of the platform's list with one target.
const page = `{"instances":[{"id":"t0","service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0}],"next":null}`

// servePage starts a platform that responds to each request with a text and then closes the
// connection, in order or with a reset. It returns its address.
func servePage(t *testing.T, text string, reset bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				if reset {
					time.Sleep(10 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a list that is read from a broken response of the platform.
func TestBrokenPageIsNotRead(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d", len(page))
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\n" + length,
		"interim with status 000":  "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + length,
		"blank in a length's name": "HTTP/1.1 200 OK\r\nContent Length: 2",
		"blank before the colon":   "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n" + length,
		"continued line":           "HTTP/1.1 200 OK\r\nX-Bad: 1\r\n Content-Length: 2",
		"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n" + length,
		"reset without length":     "HTTP/1.1 200 OK",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _ := newDirectory(t, servePage(t, head+"\r\n\r\n"+page, name == "reset without length"), 0)
			for begin := time.Now(); d.readFailures.Get() == 0; time.Sleep(time.Millisecond) {
				is.True(!d.Loaded())
				is.True(time.Since(begin) < 5*time.Second)
			}
			is.Equal(len(d.Targets()), 0)
		})
	}
}

// Guards against refusing sound responses of the platform.
func TestSoundPagesAreRead(t *testing.T) {
	for name, text := range map[string]string{
		"no reason":                 fmt.Sprintf("HTTP/1.1 200\r\nContent-Length: %d\r\n\r\n%s", len(page), page),
		"ends with its connection":  "HTTP/1.1 200 OK\r\n\r\n" + page,
		"chunks":                    fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(page), page),
		"after an interim response": fmt.Sprintf("HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _ := newDirectory(t, servePage(t, text, false), 0)
			for begin := time.Now(); len(d.Targets()) != 1; time.Sleep(time.Millisecond) {
				is.True(time.Since(begin) < 5*time.Second)
			}
			is.Equal(d.readFailures.Get(), uint64(0))
		})
	}
}
