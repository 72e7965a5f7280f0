package responsehead

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// soundHead matches a head at the start of a text, by the grammar of RFC 9112 with the exceptions that
// fasthttp makes: empty lines before the head, several blanks before the status, and line feeds alone.
var soundHead = regexp.MustCompile(`^[\r\n]*HTTP/([0-9]\.[0-9]) +([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n` +
	"(?:[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[^\n]*\n)*\r?\n")

// transferCoding matches a head that announces a transfer coding, which only HTTP/1.1 has.
var transferCoding = regexp.MustCompile("(?im)^transfer-encoding:")

// soundHeads returns the length of the heads at the start of a text up to the final one, or -1 if one of
// them is malformed or missing.
func soundHeads(text []byte) int {
	latin := make([]rune, len(text)) // one rune for each byte, so that the pattern sees bytes
	for i, b := range text {
		latin[i] = rune(b)
	}
	s, length := string(latin), 0
	for {
		m := soundHead.FindStringSubmatchIndex(s)
		if m == nil {
			return -1
		}
		head, version, status := s[:m[1]], s[m[2]:m[3]], s[m[4]:m[5]]
		if version != "1.1" && transferCoding.MatchString(head) {
			return -1
		}
		length += len([]rune(head))
		s = s[m[1]:]
		if status[0] != '1' || status == "101" {
			return length
		}
	}
}

// FuzzRead checks that Read accepts a text only if its heads are sound, that it then gives what fasthttp
// alone gives, and that it does not depend on how the bytes are divided into reads.
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200\r\n\r\nok",
		"\r\nHTTP/1.0  404 Not Found\nX: \t y \n\nbody\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 101 X\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Bad: 1\r\n continued: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX\x7f: 1\r\n\r\nok",
		"HTTP/1.1 200 O\x00K\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\rX: 1\r\n\r\nok",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var plain fasthttp.Response
		plain.StreamBody = true
		plainReader := bufio.NewReader(bytes.NewReader(text))
		plainErr := plain.ReadLimitBody(plainReader, 0)
		for _, r := range []io.Reader{bytes.NewReader(text), iotest.OneByteReader(bytes.NewReader(text))} {
			var resp fasthttp.Response
			resp.StreamBody = true
			reader := bufio.NewReader(r)
			err := Read(&resp, reader)
			sound := soundHeads(text) >= 0
			if (err == nil) != (plainErr == nil && sound) {
				t.Fatalf("%q: %v, fasthttp: %v, sound: %v", text, err, plainErr, sound)
			}
			if err != nil {
				continue
			}
			if got, want := resp.Header.String(), plain.Header.String(); got != want {
				t.Fatalf("%q: header %q, want %q", text, got, want)
			}
			rest, err := io.ReadAll(reader)
			if want := text[soundHeads(text):]; err != nil || !bytes.Equal(rest, want) {
				t.Fatalf("%q: left %q, %v, want %q", text, rest, err, want)
			}
		}
	})
}

// malformed are beginnings of responses that no reader may take for an answer.
var malformed = []string{
	"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nok",
	"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 103 X\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX-Bad: 1\r\n Content-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX\x00Bad: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
}

// servePerRequest starts a server that responds to the n-th request of a connection with the n-th text,
// whole or byte by byte, and then closes the connection. It returns its address.
func servePerRequest(t *testing.T, split bool, texts ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for _, text := range texts {
					var req fasthttp.Request
					if req.Read(br) != nil {
						return
					}
					for i := 0; split && i < len(text); i++ {
						_, _ = io.WriteString(c, text[i:i+1])
					}
					if !split {
						_, _ = io.WriteString(c, text)
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a client that takes a malformed response for an answer, as the first or a later one on
// its connection, and against an error that does not say what was wrong.
func TestClientRefusesMalformedHeads(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n000 X Y: HTTP/1.1 000 \r\n\r\n X Y: 1"
	for _, text := range malformed {
		for _, split := range []bool{false, true} {
			t.Run(fmt.Sprintf("%.60q, split %v", text, split), func(t *testing.T) {
				is := is.New(t)
				for _, texts := range [][]string{{text}, {first, first, text}} {
					address := servePerRequest(t, split, texts...)
					c := &fasthttp.HostClient{Addr: address, DialTimeout: DialTimeout, MaxIdemponentCallAttempts: 1}
					for i := range texts {
						status, body, err := c.GetTimeout(nil, "http://"+address+"/", 5*time.Second)
						if i < len(texts)-1 {
							is.NoErr(err)
							is.Equal(status, 200)
							is.Equal(string(body), first[strings.Index(first, "000"):]) // a body is not checked
							continue
						}
						if !errors.Is(err, ErrMalformed) {
							t.Fatalf("status %d, body %q, error %v", status, body, err)
						}
					}
				}
			})
		}
	}
}

// Guards against a connection that refuses a byte which is no longer part of a head, and against one that
// returns bytes after a malformed one.
func TestNothingAfterMalformedByte(t *testing.T) {
	for _, text := range malformed {
		client, server := net.Pipe()
		c := &conn{Conn: client}
		go func() {
			_, _ = server.Read(make([]byte, 8))
			_, _ = io.WriteString(server, text)
			server.Close()
		}()
		_, err := c.Write([]byte("request"))
		is.New(t).NoErr(err)
		got, err := io.ReadAll(c)
		if !errors.Is(err, ErrMalformed) || !strings.HasPrefix(text, string(got)) || len(got) >= len(text)-len("\r\n\r\nok") {
			t.Errorf("%q: read %q, %v", text, got, err)
		}
		if _, err := c.Read(make([]byte, 8)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: then %v", text, err)
		}
		client.Close()
	}
}

// These are the faults of fasthttp for which the package exists. If one fails after an upgrade, review
// whether the check is still needed.
func TestFasthttpAcceptsMalformedHeads(t *testing.T) {
	is := is.New(t)
	var resp fasthttp.Response
	is.NoErr(resp.ReadLimitBody(bufio.NewReader(strings.NewReader("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok")), 0))
	is.Equal(resp.StatusCode(), 200)
	is.NoErr(resp.ReadLimitBody(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nokmore")), 0))
	is.Equal(string(resp.Body()), "okmore")
	is.Equal(string(resp.Header.Peek("Content Length")), "2")
	is.NoErr(resp.ReadLimitBody(bufio.NewReader(strings.NewReader("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")), 0))
	is.Equal(string(resp.Body()), "0\r\n\r\n")
	is.NoErr(resp.ReadLimitBody(bufio.NewReader(strings.NewReader("HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok")), 0))
	is.Equal(string(resp.Header.StatusMessage()), "O\x00K")
}

// Guards against a response head that exceeds the reader's buffer and is taken for a malformed one.
func TestLongHead(t *testing.T) {
	is := is.New(t)
	var resp fasthttp.Response
	err := Read(&resp, bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 2000)), 1000))
	is.True(err != nil && !errors.Is(err, ErrMalformed))
	is.Equal(err.Error(), "response head exceeds 1000 bytes")
}

// Guards against interim responses without end.
func TestInterimResponsesAreLimited(t *testing.T) {
	is := is.New(t)
	var resp fasthttp.Response
	interim := "HTTP/1.1 103 X\r\n\r\n"
	final := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	is.NoErr(Read(&resp, bufio.NewReader(strings.NewReader(strings.Repeat(interim, maxInterim)+final))))
	is.True(Read(&resp, bufio.NewReader(strings.NewReader(strings.Repeat(interim, maxInterim+1)+final))) != nil)
}

func BenchmarkScan(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Some-Header: some value of it\r\n", 8) + "Content-Length: 2\r\n\r\n")
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		var s scanner
		if n, err := s.scan(head); n != len(head) || err != nil {
			b.Fatal(n, err)
		}
	}
}
