package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/targetconn"
)

// largeBody is the size of an upload that exceeds the buffers of a connection, so that it is still
// being written while the target responds.
const largeBody = 32 << 20 // bytes

// serveRaw starts a target that reads the head of each request and lets a script respond to it. It
// returns the target's address.
func serveRaw(t *testing.T, script func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go func() {
				defer c.Close()
				br := bufio.NewReaderSize(c, 512) // leaves most of a body unread
				for r, err := http.ReadRequest(br); err == nil; r, err = http.ReadRequest(br) {
					script(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// respond returns a script that writes a text and then closes the connection.
func respond(text string) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		c.Close()
	}
}

// open sends a request with a body of a size to a target and reads the head of its response.
func open(t *testing.T, address string, size int) (*Exchange, *Failure) {
	t.Helper()
	return openOver(t, address, size, func(c net.Conn) net.Conn { return c })
}

// openOver is like open, over a wrapped connection.
func openOver(t *testing.T, address string, size int, wrap func(net.Conn) net.Conn) (*Exchange, *Failure) {
	t.Helper()
	pool := targetconn.NewPool(targetconn.Options{})
	t.Cleanup(pool.Close)
	conn, err := pool.Dial(context.Background(), address)
	is.New(t).NoErr(err)
	conn.Conn = wrap(conn.Conn)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI("/")
	req.Header.SetHost(address)
	deadline := time.Now().Add(10 * time.Second)
	return Open(context.Background(), pool, conn, Request{Header: &req.Header, Body: make([]byte, size)},
		Timeouts{IOTimeout: 10 * time.Second, HeaderDeadline: deadline, Deadline: deadline}, nil)
}

// readBody reads the body to its end and closes the exchange.
func readBody(x *Exchange) (string, error) {
	var b strings.Builder
	_, err := io.Copy(&b, x)
	x.Close(err == nil)
	return b.String(), err
}

// malformedHeads are heads that no response has, without the empty line at the end.
var malformedHeads = map[string]string{
	"status 000":                   "HTTP/1.1 000 OK\r\nContent-Length: 2",
	"status 000, no reason":        "HTTP/1.1 000\r\nContent-Length: 2",
	"status 000, HTTP/1.0":         "HTTP/1.0 000 OK\r\nContent-Length: 2",
	"status 000 without length":    "HTTP/1.1 000 OK",
	"chunks in HTTP/1.0":           "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
	"chunks in HTTP/1.0, length":   "HTTP/1.0 200 OK\r\nContent-Length: 2\r\ntransfer-encoding: chunked",
	"status 099":                   "HTTP/1.1 099 X\r\nContent-Length: 2",
	"status 600":                   "HTTP/1.1 600 X\r\nContent-Length: 2",
	"status 999":                   "HTTP/1.1 999 X\r\nContent-Length: 2",
	"NUL in the reason":            "HTTP/1.1 200 O\x00K\r\nContent-Length: 2",
	"CR in the reason":             "HTTP/1.1 200 OK\rX-Bad: 1\r\nContent-Length: 2",
	"blank in a name":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Bad: 1",
	"blank in the first name":      "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2",
	"blank in a length's name":     "HTTP/1.1 200 OK\r\nContent Length: 2",
	"blank in a coding's name":     "HTTP/1.1 200 OK\r\nTransfer- Encoding: chunked",
	"blank at the end of a name":   "HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: 2",
	"blank at the start of a name": "HTTP/1.1 200 OK\r\nX-Good: 1\r\n Content-Length: 2",
	"tab at the start of a name":   "HTTP/1.1 200 OK\r\nX-Good: 1\r\n\tContent-Length: 2",
	"blank at the head's start":    "HTTP/1.1 200 OK\r\n X-Bad: 1\r\nContent-Length: 2",
	"no name":                      "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2",
	"blanks as a name":             "HTTP/1.1 200 OK\r\n  : 1\r\nContent-Length: 2",
	"tab in a name":                "HTTP/1.1 200 OK\r\nX\tBad: 1\r\nContent-Length: 2",
	"NUL in a name":                "HTTP/1.1 200 OK\r\nX\x00Bad: 1\r\nContent-Length: 2",
	"0x01 in a length's name":      "HTTP/1.1 200 OK\r\nContent\x01-Length: 2",
	"CR in a name":                 "HTTP/1.1 200 OK\r\nX\rBad: 1\r\nContent-Length: 2",
	"0x7f in a name":               "HTTP/1.1 200 OK\r\nX\x7fBad: 1\r\nContent-Length: 2",
	"0x1f at the end of a name":    "HTTP/1.1 200 OK\r\nX-Bad\x1f: 1\r\nContent-Length: 2",
	"0x80 in a name":               "HTTP/1.1 200 OK\r\nX\x80Bad: 1\r\nContent-Length: 2",
	"line without a colon":         "HTTP/1.1 200 OK\r\nX-Bad\r\nContent-Length: 2",
	"NUL in a value":               "HTTP/1.1 200 OK\r\nX-Bad: \x00\r\nContent-Length: 2",
	"CR in a value":                "HTTP/1.1 200 OK\r\nX-Bad: 1\rX-More: 1\r\nContent-Length: 2",
}

// Guards against a response whose head is malformed and that is taken for an answer, or whose body is
// framed otherwise than its sender framed it: as the only response, after an interim response, as an
// interim response itself, and split into single bytes.
func TestMalformedHeadIsRefused(t *testing.T) {
	for name, head := range malformedHeads {
		interim := strings.NewReplacer(" 200 ", " 103 ", "\r\nContent-Length: 2", "").Replace(head)
		for form, text := range map[string]string{
			"response":           head + "\r\n\r\nok",
			"after an interim":   "HTTP/1.1 103 X\r\nLink: a\r\n\r\n" + head + "\r\n\r\nok",
			"interim":            interim + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"with the next head": head + "\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		} {
			if form == "interim" && strings.Contains(head, "Length:") && strings.Contains(name, "length's") {
				continue // nothing of it is left in an interim response
			}
			for _, split := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, split %v", name, form, split), func(t *testing.T) {
					x, failure := open(t, serveRaw(t, func(c *net.TCPConn, r *http.Request) {
						if !split {
							respond(text)(c, r)
							return
						}
						for i := range len(text) {
							_, _ = io.WriteString(c, text[i:i+1])
						}
						c.Close()
					}), 0)
					if failure == nil {
						status, head := x.Resp.StatusCode(), x.Resp.Header.String()
						body, err := readBody(x)
						t.Fatalf("an answer with status %d, head %q, body %q, %v", status, head, body, err)
					}
					is := is.New(t)
					is.Equal(failure.Step, "head")
					is.True(failure.Sent > 0)
					is.True(failure.Cause != io.EOF) // the cause says what was wrong
				})
			}
		}
	}
}

// Guards against a malformed head behind a response that is skipped because it belongs to an earlier
// request, and against a malformed head of the skipped response.
func TestMalformedHeadOfSkippedResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5"
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, failure := open(t, serveRaw(t, respond(sound+"\r\n\r\nstray"+head+"\r\n\r\nok")), 0)
			is.True(failure == nil)
			is.True(x.SkipResponse() != nil)
			x.Close(false)
			_, failure = open(t, serveRaw(t, respond(head+"\r\n\r\nok"+sound+"\r\n\r\nright")), 0)
			is.True(failure != nil)
		})
	}
}

// Guards against the malformed head of a target that refuses a request before it has read it and
// closes the connection.
func TestMalformedHeadOfEarlyRefusal(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			refusal := strings.Replace(head, " 200 ", " 413 ", 1)
			for _, size := range []int{maxInlineBody, largeBody} {
				x, failure := open(t, serveRaw(t, func(c *net.TCPConn, r *http.Request) {
					_, _ = io.WriteString(c, refusal+"\r\n\r\nno")
					c.Close()
				}), size)
				if failure == nil {
					t.Fatalf("an answer with status %d, head %q", x.Resp.StatusCode(), x.Resp.Header.String())
				}
			}
		})
	}
}

// Guards against refusing sound answers.
func TestSoundAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"length":                   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"},
		"trailer":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "ok"},
		"ends with its connection": {"HTTP/1.1 200 OK\r\n\r\nok", 200, "ok"},
		"no reason":                {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"empty reason":             {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"reason in UTF-8":          {"HTTP/1.1 200 gr\u00fcn\tX\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"no headers":               {"HTTP/1.0 200 OK\r\n\r\nok", 200, "ok"},
		"interim responses":        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"all token bytes":          {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"odd values":               {"HTTP/1.1 200 OK\r\nX-A:\r\nX-B:b\r\nX-C: \t a b:c \x80 \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"no content":               {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		"not modified":             {"HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n", 304, ""},
		"lowest error":             {"HTTP/1.1 400 X\r\nContent-Length: 2\r\n\r\nno", 400, "no"},
		"highest status":           {"HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nno", 599, "no"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x, failure := open(t, serveRaw(t, respond(c.text)), 0)
			if failure != nil {
				t.Fatalf("refused: %v", failure.Cause)
			}
			is.Equal(x.Resp.StatusCode(), c.status)
			body, err := readBody(x)
			is.NoErr(err)
			is.Equal(body, c.body)
		})
	}
}

// Guards against a part of a body that is taken for the whole one: the target responds without a
// length, sends a part of the body and resets the connection while the request is still being written.
// The kernel reports a reset once, to the reader or to the writer.
func TestResetDuringUpload(t *testing.T) {
	for delay, tries := range map[time.Duration]int{0: 15, 100 * time.Millisecond: 5} {
		complete := 0
		for range tries {
			x, failure := open(t, serveRaw(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2000))
				time.Sleep(30 * time.Millisecond)
				_ = c.SetLinger(0)
				c.Close()
			}), largeBody)
			if failure != nil {
				continue
			}
			time.Sleep(delay)
			if _, err := readBody(x); err == nil {
				complete++
			}
		}
		if complete > 0 {
			t.Errorf("read %v late: %d of %d broken responses are complete", delay, complete, tries)
		}
	}
}

// slowWriter delays each write but the first, so that a reset arrives between the first and the second.
type slowWriter struct {
	net.Conn
	written bool
}

func (w *slowWriter) Write(p []byte) (int, error) {
	if w.written {
		time.Sleep(100 * time.Millisecond)
	}
	w.written = true
	return w.Conn.Write(p)
}

// Guards against the same at an error response: the target resets the connection while a short request
// is being written, before the response is read.
func TestResetOfEarlyRefusal(t *testing.T) {
	for text, whole := range map[string]bool{
		"HTTP/1.1 400 X\r\n\r\npart":                                    false,
		"HTTP/1.1 400 X\r\nContent-Length: 9\r\n\r\npart":               false,
		"HTTP/1.1 400 X\r\nContent-Length: 4\r\n\r\npart":               true,
		"HTTP/1.1 400 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart": false,
		"HTTP/1.1 400 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": true,
		"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\npart":               false, // not an error response
	} {
		t.Run(text, func(t *testing.T) {
			address := serveRaw(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, text)
				time.Sleep(30 * time.Millisecond)
				_ = c.SetLinger(0)
				c.Close()
			})
			x, failure := openOver(t, address, maxInlineBody, func(c net.Conn) net.Conn { return &slowWriter{Conn: c} })
			if failure == nil {
				var err error
				if _, err = readBody(x); (err == nil) != whole {
					t.Fatalf("complete: %v, want %v", err == nil, whole)
				}
			} else if whole {
				t.Fatalf("refused: %v", failure.Cause)
			}
		})
	}
}

// Guards against refusing a sound answer to a request that is still being written.
func TestEarlyAnswers(t *testing.T) {
	half := func(read bool) func(c *net.TCPConn, r *http.Request) {
		return func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = c.CloseWrite()
			if read {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	for name, script := range map[string]func(c *net.TCPConn, r *http.Request){
		"length": func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			time.Sleep(500 * time.Millisecond)
		},
		"length, reset": func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			time.Sleep(30 * time.Millisecond)
			_ = c.SetLinger(0)
			c.Close()
		},
		"chunks, reset": func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
			time.Sleep(30 * time.Millisecond)
			_ = c.SetLinger(0)
			c.Close()
		},
		"ends with its direction, then reset": func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = c.CloseWrite()
			time.Sleep(30 * time.Millisecond)
			_ = c.SetLinger(0)
			c.Close()
		},
		"ends with its direction, request read":     half(true),
		"ends with its direction, request not read": half(false),
	} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, read %v late", name, delay), func(t *testing.T) {
				is := is.New(t)
				begin := time.Now()
				x, failure := open(t, serveRaw(t, script), largeBody)
				if failure != nil {
					t.Fatalf("refused: %v", failure.Cause)
				}
				time.Sleep(delay)
				body, err := readBody(x)
				is.NoErr(err)
				is.Equal(body, "whole")
				is.True(time.Since(begin) < 5*time.Second) // long before the deadline
			})
		}
	}
}
